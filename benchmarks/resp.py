"""Compares LIMIT.TAKE commands per second of the gateway and of a plain server that always grants them.

``python -m benchmarks.resp``. Both servers run on the same core and are loaded in turn; the load runs on
another core.
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from benchmarks.comparison import ROUND_SECONDS, load_alternately, median_ratio
from benchmarks.load import LoadResult, run_load
from benchmarks.processes import (
    API_KEY,
    SERVER_ROLES,
    pinned_processes,
    wait_until_listening,
    write_settings,
)
from orchidlane.simulation.loopback_addresses import free_ports

TAKE = b"*3\r\n$10\r\nLIMIT.TAKE\r\n$%d\r\n%s\r\n$1\r\n1\r\n" % (len(API_KEY), API_KEY.encode())
GRANTED = b"*3\r\n:1\r\n"


class TakeReplyReader:
    """Checks that each reply grants the units; a reply must arrive in one piece."""

    error_count = 0

    def receive(self, data: bytes) -> bool:
        """Return True, as the reply is complete. Raises RuntimeError if it does not grant the units."""
        if not data.startswith(GRANTED):
            raise RuntimeError(data.decode())
        return True


def load_takes(port: int, connection_count: int) -> LoadResult:
    """Load a RESP server for one round with commands that take one unit each."""
    return run_load(port, connection_count, ROUND_SECONDS, TAKE, TakeReplyReader)


def measure(rounds: int, connection_counts: list[int]) -> None:
    """Start both servers, and print a comparison for each number of connections."""
    endpoint, endpoint_list, gateway, peer, gateway_resp, plain_resp = free_ports(6)
    with tempfile.TemporaryDirectory() as folder, pinned_processes() as processes:
        settings = write_settings(Path(folder), gateway, peer, endpoint_list, gateway_resp)
        processes.start_server(SERVER_ROLES, "endpoint-list", endpoint_list, endpoint)
        processes.start_measured("orchidlane", "gateway", str(settings))
        processes.start_measured(SERVER_ROLES, "resp", plain_resp)
        processes.pin_load()
        wait_until_listening(gateway_resp, plain_resp)
        for connection_count in connection_counts:
            compare(rounds, connection_count, {"gateway": gateway_resp, "plain": plain_resp})


def compare(rounds: int, connection_count: int, ports: dict[str, int]) -> None:
    """Print the rates and latencies of both servers, and their ratio."""
    series_by_name = load_alternately(rounds, ports, lambda port: load_takes(port, connection_count))
    print(f"{connection_count} connections")
    for name, series in series_by_name.items():
        print(f"  {name:8} {series.describe('takes')}")
    ratio = median_ratio(series_by_name["gateway"], series_by_name["plain"])
    print(f"  gateway/plain {ratio:.2f}", flush=True)


def main() -> None:
    """Run the benchmark with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--connections", type=int, nargs="*", default=[1, 50, 500])
    arguments = parser.parse_args()
    measure(arguments.rounds, arguments.connections)


if __name__ == "__main__":
    main()
