"""Compares requests per second and latency of the gateway, a plain endpoint and an aiohttp forwarder.

``python -m benchmarks.gateway``. The gateway and the forwarder run on the same core; the endpoint and the
load run on other cores. For each number of connections the three servers are loaded in turn, in short rounds,
so that a drift in the machine's speed affects all of them alike.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

from benchmarks.comparison import ROUND_SECONDS, load_alternately, median_ratio
from benchmarks.load import HttpReplyReader, LoadResult, run_load
from benchmarks.processes import (
    API_KEY,
    SERVER_ROLES,
    pinned_processes,
    wait_until_listening,
    write_settings,
)
from orchidlane.simulation.loopback_addresses import free_ports

REQUEST = f"GET /v1/sheets/steel HTTP/1.1\r\nHost: g\r\nX-Api-Key: {API_KEY}\r\nAccept: */*\r\n\r\n".encode()
WARM_UP_SECONDS = 0.5


def load_http(port: int, connection_count: int, seconds: float = ROUND_SECONDS) -> LoadResult:
    """Load an HTTP server by repeating one GET request."""
    return run_load(port, connection_count, seconds, REQUEST, HttpReplyReader)


def measure(rounds: int, connection_counts: list[int]) -> None:
    """Start all servers, and print a comparison for each number of connections."""
    endpoint, endpoint_list, gateway, peer, forwarder = free_ports(5)
    with tempfile.TemporaryDirectory() as folder, pinned_processes() as processes:
        settings = write_settings(Path(folder), gateway, peer, endpoint_list)
        processes.start_server(SERVER_ROLES, "endpoint", endpoint)
        processes.start_server(SERVER_ROLES, "endpoint-list", endpoint_list, endpoint)
        processes.start_measured("orchidlane", "gateway", str(settings))
        processes.start_measured(SERVER_ROLES, "forwarder", forwarder, endpoint)
        processes.pin_load()
        wait_until_listening(endpoint, endpoint_list, gateway, forwarder)
        time.sleep(1)  # until the gateway has received its endpoint list
        for connection_count in connection_counts:
            compare(
                rounds, connection_count, {"endpoint": endpoint, "gateway": gateway, "forwarder": forwarder}
            )


def compare(rounds: int, connection_count: int, ports: dict[str, int]) -> None:
    """Print the servers' rates and latencies, and the ratio of the gateway's rate to the forwarder's."""
    for port in ports.values():
        load_http(port, connection_count, WARM_UP_SECONDS)
    series_by_name = load_alternately(rounds, ports, lambda port: load_http(port, connection_count))
    print(f"{connection_count} connections")
    for name, series in series_by_name.items():
        errors = f"not 200: {series.error_count} of {len(series.latencies_ms)}"
        print(f"  {name:10} {series.describe('requests')}  {errors}")
    ratio = median_ratio(series_by_name["gateway"], series_by_name["forwarder"])
    print(f"  gateway/forwarder {ratio:.2f}", flush=True)


def main() -> None:
    """Run the benchmark with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--connections", type=int, nargs="*", default=[1, 32, 256])
    arguments = parser.parse_args()
    measure(arguments.rounds, arguments.connections)


if __name__ == "__main__":
    main()
