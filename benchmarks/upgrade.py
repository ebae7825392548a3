"""Upgrades of one gateway under steady load, a third of them broken; cold restarts beside; 100,000 customers.

``python -m benchmarks.upgrade [--upgrades 50] [--customers 100000]``. Real processes, loopback sockets, real
signals. First the upgrades: what clients lost, how long answers took while one was under way and else, the
longest pause between the switch and the successor's first word, units counted beside units that endpoints
saw. Then the same load over cold restarts (SIGTERM, a drain, a start). Then one gateway that has met so many
customers is upgraded under load: how long it takes, the pause, and the slowest answer meanwhile.
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
SETTLE_SECONDS = 1.5  # answers without an upgrade, between two
COUNT_INTERVAL_SECONDS = 0.1
RESTART_INTERVAL_SECONDS = 4
FIRST_RESTART_SECONDS = 3
TAKES_IN_FLIGHT = 500
CONNECT_TIMEOUT_SECONDS = 60
RECEIVE_BYTES = 1 << 20


def measure_upgrades(count: int) -> None:
    """Upgrade so many times, every third time to a broken build."""
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        gateway = LoadedGateway(folder, customers=4)
        programs = {
            name: make_build(Path(folder, f"build-{number}"), change)
            for number, (name, change) in enumerate(BROKEN_BUILDS.items())
        }
        counted_units = 0.0

        def upgrade_and_count() -> None:
            nonlocal counted_units
            for build in choose_builds(count):
                gateway.upgrade(build, programs.get(build, ""))
                time.sleep(SETTLE_SECONDS)
            gateway.runner.stop_load()
            with contextlib.suppress(OSError):  # until the gateway ends: the last count is complete
                while True:
                    counted_units = gateway.counted_units()
                    time.sleep(COUNT_INTERVAL_SECONDS)

        verdict = run_during_load(gateway.runner, upgrade_and_count)
        print_upgrades(gateway)
        print_verdict("load", verdict)
        print(f"  units counted {counted_units:.0f}, units that nodes saw {verdict.units_used:.0f}")
        print_times_beside_upgrades(gateway, "with an upgrade under way")
        pauses_ms = gateway.pauses_ms()
        median, longest = statistics.median(pauses_ms), max(pauses_ms)
        print(f"  {len(pauses_ms)} pauses: median {median:.1f}, longest {longest:.1f} ms")


def choose_builds(count: int) -> list[str]:
    """Return the builds to upgrade to: two good ones, whose name is empty, then a broken one, and so on."""
    broken = list(BROKEN_BUILDS)
    return [broken[index // 3 % len(broken)] if index % 3 == 2 else "" for index in range(count)]


def print_upgrades(gateway: LoadedGateway) -> None:
    """Print how many upgrades passed, and those that should not have passed or failed."""
    count = len(gateway.upgrades)
    passed = sum(upgrade.passed for upgrade in gateway.upgrades)
    unexpected = [upgrade.build or "good" for upgrade in gateway.upgrades if not upgrade.is_as_expected]
    print(
        f"{count} upgrades: {passed} passed, {count - passed} did not; unlike wanted: {unexpected or 'none'}"
    )


def print_times_beside_upgrades(gateway: LoadedGateway, title: str) -> None:
    """Print response times during upgrades and otherwise."""
    times = gateway.response_times()
    print_response_times(title, times.during_upgrades_ms)
    print_response_times("else", times.otherwise_ms)


def measure_cold_restarts(count: int) -> None:
    """Drain the gateway and start it anew so many times."""
    starts = [FIRST_RESTART_SECONDS + RESTART_INTERVAL_SECONDS * index for index in range(count)]
    end = FIRST_RESTART_SECONDS + RESTART_INTERVAL_SECONDS * count
    steps = tuple(
        Step(Duration(start * 1_000_000), FaultKind.DRAIN_GATEWAY, (0,), Duration(0)) for start in starts
    )
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        gateway = LoadedGateway(folder, customers=4, steps=steps)
        verdict = run_during_load(gateway.runner, lambda: time.sleep(end))
        print_verdict(f"{count} cold restarts", verdict)
        print_response_times("over all", gateway.response_times().otherwise_ms)


def create_accounts(gateway: LoadedGateway, customers: int) -> None:
    """Have the gateway meet so many customers, by takes over RESP."""
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
    """Upgrade once a gateway that knows so many customers."""
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
        gateway = LoadedGateway(folder, customers=customers)
        account_counts: list[int] = []

        def upgrade_and_count() -> None:
            create_accounts(gateway, customers)
            account_counts.append(gateway.count_accounts())
            gateway.upgrade()
            account_counts.append(gateway.count_accounts())

        verdict = run_during_load(gateway.runner, upgrade_and_count)
        print_verdict(f"{customers} customers", verdict)
        upgrade = gateway.upgrades[0]
        seconds = (upgrade.ended_us - upgrade.began_us) / 1e6
        print(
            f"  accounts before and after {account_counts}; passed: {upgrade.passed}, "
            f"in {seconds:.1f} s with 1 s of trial"
        )
        print(f"  pause {max(gateway.pauses_ms(), default=0.0):.1f} ms")
        print_times_beside_upgrades(gateway, "meanwhile")


def main() -> None:
    """Measure what the arguments ask for; 0 leaves a part out."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upgrades", type=int, default=50)
    parser.add_argument("--restarts", type=int, default=10)
    parser.add_argument("--customers", type=int, default=100_000)
    arguments = parser.parse_args()
    print(f"build {recording.build_name()}")
    if arguments.upgrades:
        measure_upgrades(arguments.upgrades)
    if arguments.restarts:
        measure_cold_restarts(arguments.restarts)
    if arguments.customers:
        measure_many_customers(arguments.customers)


if __name__ == "__main__":
    main()
