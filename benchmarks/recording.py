"""Cost of recording: rates of gateways with and without it, in turn on one core, and bytes per request.

``python -m benchmarks.recording``.
"""

from __future__ import annotations

import argparse
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.comparison import load_alternately
from benchmarks.gateway import load_http
from benchmarks.processes import (
    SERVER_ROLES,
    pinned_processes,
    wait_until_listening,
    write_settings,
)
from orchidlane.simulation.loopback_addresses import free_ports

CONNECTION_COUNT = 32
WRITE_DELAY_SECONDS = 0.5  # after it, the last entries are on disk


def measure(rounds: int) -> None:
    """Print the ratio of the rates with and without recording, and the recorded bytes per request."""
    endpoint, endpoint_list, *ports = free_ports(6)
    plain, plain_peer, recording, recording_peer = ports
    with (
        tempfile.TemporaryDirectory() as plain_folder,
        tempfile.TemporaryDirectory() as record_folder,
        pinned_processes() as processes,
    ):
        plain_settings = write_settings(Path(plain_folder), plain, plain_peer, endpoint_list)
        recording_settings = write_settings(Path(record_folder), recording, recording_peer, endpoint_list)
        processes.start_server(SERVER_ROLES, "endpoint", endpoint)
        processes.start_server(SERVER_ROLES, "endpoint-list", endpoint_list, endpoint)
        processes.start_measured("orchidlane", "gateway", str(plain_settings))
        processes.start_measured("orchidlane", "gateway", str(recording_settings), "--record", record_folder)
        processes.pin_load()
        wait_until_listening(endpoint, endpoint_list, plain, recording)
        time.sleep(1)  # until the gateways have received their endpoint list
        gateways = {"plain": plain, "recording": recording}
        series = load_alternately(rounds, gateways, lambda port: load_http(port, CONNECTION_COUNT))
        time.sleep(WRITE_DELAY_SECONDS)
        record_bytes = sum(path.stat().st_size for path in Path(record_folder).glob("*.olr"))
    pairs = zip(series["recording"].rates, series["plain"].rates, strict=True)
    ratios = [recording_rate / plain_rate for recording_rate, plain_rate in pairs]
    print_ratios(ratios)
    print(f"{record_bytes / len(series['recording'].latencies_ms):.0f} bytes per request")


def print_ratios(ratios: list[float]) -> None:
    """Print the ratio of each round, and the median."""
    listed = ", ".join(f"{ratio:.2f}" for ratio in ratios)
    print(f"requests/s with recording over without: {listed}; median {statistics.median(ratios):.2f}")


def main() -> None:
    """Run the benchmark with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=8)
    arguments = parser.parse_args()
    measure(arguments.rounds)


if __name__ == "__main__":
    main()
