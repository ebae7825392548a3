"""Hot restarts of one gateway under steady load, a third of them to broken builds, beside cold restarts.

``python -m benchmarks.upgrade [--upgrades 50] [--restarts 10] [--customers 100000]``, with real processes,
loopback sockets and signals. The three parts are:

1. Hot restarts: lost responses, response times during hot restarts and otherwise, the longest pause between
   the switch and the new process's first message, and the units that the gateway counted compared with those
   that endpoints saw.
2. Cold restarts under the same load: SIGTERM, a drain and a start.
3. One hot restart under load of a gateway with 100,000 accounts: its duration, the pause, and the slowest
   response during the hot restart.
"""

from __future__ import annotations

import argparse
import contextlib
import socket
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.loaded_gateway import LoadedGateway, print_response_times, print_verdict
from orchidlane import recording
from orchidlane.config import Duration
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.resp import encode
from orchidlane.simulation.background_load import run_during_load
from orchidlane.simulation.mutants import BROKEN_BUILDS, make_build
from orchidlane.simulation.scenario import FaultKind, Step

FOLDER_PREFIX = "orchidlane-"
SETTLE_SECONDS = 1.5  # between two hot restarts, for response times without one
COUNT_INTERVAL_SECONDS = 0.1
RESTART_INTERVAL_SECONDS = 4
FIRST_RESTART_SECONDS = 3
TAKES_IN_FLIGHT = 500
CONNECT_TIMEOUT_SECONDS = 60
RECEIVE_BYTES = 1 << 20


def measure_hot_restarts(count: int) -> None:
    """Measure ``count`` hot restarts, every third one to a broken build."""
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        gateway = LoadedGateway(folder, customers=4)
        programs = {
            name: make_build(Path(folder, f"build-{number}"), change)
            for number, (name, change) in enumerate(BROKEN_BUILDS.items())
        }
        counted_units = 0.0

        def restart_and_count() -> None:
            nonlocal counted_units
            for build in choose_builds(count):
                gateway.hot_restart(build, programs.get(build, ""))
                time.sleep(SETTLE_SECONDS)
            gateway.runner.stop_load()
            with contextlib.suppress(OSError):  # once the gateway has exited, the last count is complete
                while True:
                    counted_units = gateway.counted_units()
                    time.sleep(COUNT_INTERVAL_SECONDS)

        verdict = run_during_load(gateway.runner, restart_and_count)
        print_hot_restarts(gateway)
        print_verdict("load", verdict)
        print(f"  units counted {counted_units:.0f}, units that endpoints saw {verdict.units_used:.0f}")
        print_times_by_restart(gateway, "during hot restarts")
        pauses_ms = gateway.pauses_ms()
        median, longest = statistics.median(pauses_ms), max(pauses_ms)
        print(f"  {len(pauses_ms)} pauses: median {median:.1f}, longest {longest:.1f} ms")


def choose_builds(count: int) -> list[str]:
    """Return the builds of hot restarts: two good ones, whose name is empty, then a broken one, and so on."""
    broken = list(BROKEN_BUILDS)
    return [broken[index // 3 % len(broken)] if index % 3 == 2 else "" for index in range(count)]


def print_hot_restarts(gateway: LoadedGateway) -> None:
    """Print how many hot restarts passed, and the builds whose result is unexpected."""
    count = len(gateway.hot_restarts)
    passed = sum(hot_restart.passed for hot_restart in gateway.hot_restarts)
    unexpected = [
        hot_restart.build or "good" for hot_restart in gateway.hot_restarts if not hot_restart.is_as_expected
    ]
    print(
        f"{count} hot restarts: {passed} passed, {count - passed} failed; unexpected: {unexpected or 'none'}"
    )


def print_times_by_restart(gateway: LoadedGateway, title: str) -> None:
    """Print response times during hot restarts, with a title, and otherwise."""
    times = gateway.response_times()
    print_response_times(title, times.during_restarts_ms)
    print_response_times("otherwise", times.otherwise_ms)


def measure_cold_restarts(count: int) -> None:
    """Drain the gateway and start it again, ``count`` times."""
    drain_seconds = [FIRST_RESTART_SECONDS + RESTART_INTERVAL_SECONDS * index for index in range(count)]
    end_seconds = FIRST_RESTART_SECONDS + RESTART_INTERVAL_SECONDS * count
    steps = tuple(
        Step(Duration(seconds * 1_000_000), FaultKind.DRAIN_GATEWAY, (0,), Duration(0))
        for seconds in drain_seconds
    )
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        gateway = LoadedGateway(folder, customers=4, steps=steps)
        verdict = run_during_load(gateway.runner, lambda: time.sleep(end_seconds))
        print_verdict(f"{count} cold restarts", verdict)
        print_response_times("in all", gateway.response_times().otherwise_ms)


def create_accounts(gateway: LoadedGateway, customers: int) -> None:
    """Create an account for each customer at the gateway, by LIMIT.TAKE commands over RESP."""
    address = parse_host_port(gateway.plan.fleet.gateways[0].resp)
    with socket.create_connection(address, CONNECT_TIMEOUT_SECONDS) as connection:
        for first in range(0, customers, TAKES_IN_FLIGHT):
            numbers = range(first, min(customers, first + TAKES_IN_FLIGHT))
            takes = [encode(["LIMIT.TAKE", f"key-of-{number}", "1"]) for number in numbers]
            connection.sendall(b"".join(takes))
            replies = 0
            while replies < len(numbers):
                replies += connection.recv(RECEIVE_BYTES).count(b"*")


def measure_many_customers(customers: int) -> None:
    """Measure one hot restart of a gateway with an account for each of the customers."""
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        gateway = LoadedGateway(folder, customers=customers)
        account_counts: list[int] = []

        def restart_and_count() -> None:
            create_accounts(gateway, customers)
            account_counts.append(gateway.count_accounts())
            gateway.hot_restart()
            account_counts.append(gateway.count_accounts())

        verdict = run_during_load(gateway.runner, restart_and_count)
        print_verdict(f"{customers} customers", verdict)
        hot_restart = gateway.hot_restarts[0]
        seconds = (hot_restart.finished_at_us - hot_restart.started_at_us) / 1e6
        print(
            f"  accounts before and after {account_counts}; passed: {hot_restart.passed}, "
            f"in {seconds:.1f} s, of which 1 s on trial"
        )
        print(f"  pause {max(gateway.pauses_ms(), default=0.0):.1f} ms")
        print_times_by_restart(gateway, "during the hot restart")


def main() -> None:
    """Run the parts of the benchmark; an option of 0 skips its part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upgrades", type=int, default=50)
    parser.add_argument("--restarts", type=int, default=10)
    parser.add_argument("--customers", type=int, default=100_000)
    arguments = parser.parse_args()
    print(f"build {recording.build_name()}")
    if arguments.upgrades:
        measure_hot_restarts(arguments.upgrades)
    if arguments.restarts:
        measure_cold_restarts(arguments.restarts)
    if arguments.customers:
        measure_many_customers(arguments.customers)


if __name__ == "__main__":
    main()
