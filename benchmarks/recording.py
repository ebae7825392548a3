"""What recording costs a gateway: the same requests with and without, in turn on one core; bytes a request.

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
WRITE_DELAY_SECONDS = 0.5  # the last entries are on disk then


def measure(rounds: int) -> None:
    """Print the ratio of each round's rates, and the bytes of a request."""
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
        time.sleep(1)  # the gateways have their endpoint
        gateways = {"plain": plain, "recording": recording}
        series = load_alternately(rounds, gateways, lambda port: load_http(port, CONNECTION_COUNT))
        time.sleep(WRITE_DELAY_SECONDS)
        record_bytes = sum(path.stat().st_size for path in Path(record_folder).glob("*.olr"))
    pairs = zip(series["recording"].rates, series["plain"].rates, strict=True)
    ratios = [rate / without for rate, without in pairs]
    print_ratios(ratios)
    print(f"{record_bytes / len(series['recording'].latencies_ms):.0f} bytes a request")


def print_ratios(ratios: list[float]) -> None:
    """Print all ratios and their median."""
    listed = ", ".join(f"{ratio:.2f}" for ratio in ratios)
    print(f"requests/s recording beside not: {listed}; median {statistics.median(ratios):.2f}")


def main() -> None:
    """Measure as the arguments say."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=8)
    arguments = parser.parse_args()
    measure(arguments.rounds)


if __name__ == "__main__":
    main()
