"""Versions on a fleet of real processes under load: time to reach all gateways, and cost of a request."""

from __future__ import annotations

import http.client
import statistics
import tempfile
import time
from collections.abc import Callable
from typing import Any

import msgspec

from benchmarks.example_policy import MATERIALS
from benchmarks.simulated_rollout import SHEET_READ_COST
from benchmarks.timing import measure_seconds
from orchidlane.config import Duration
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.process_fleet import ProcessFleet, run_process_fleet
from orchidlane.simulation.scenario import load_scenario

GATEWAY_COUNT = 9
VOTERS = [f"gw-{rank}" for rank in range(5)]
CHANGED_COST = SHEET_READ_COST.replace("2", "3")
IDLE_SECONDS = 3.0
COST_REQUEST_COUNT = 400
COST_GATEWAY_COUNT = 3
COST_VOTERS = ["gw-0", "gw-1", "gw-2"]
ROLLOUT_SETTINGS = {"lease": "6s", "every": "100ms", "soak": "0s"}


def run_real_fleet(
    script: Callable[[ProcessFleet], None], gateways: int, voters: list[str]
) -> tuple[Verdict, ProcessFleet]:
    """Run a script on a fleet under steady load, and return the audit's verdict and the fleet."""
    scenario = msgspec.structs.replace(
        load_scenario(str(MATERIALS / "random.cue")),
        duration=Duration(600 * 1_000_000),
        steps=(),
        gateway_count=gateways,
        request_rate=80.0,
        quota_request_rate=0.0,
    )
    settings = {**ROLLOUT_SETTINGS, "voters": voters}
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        return run_process_fleet(
            scenario, folder, script, lambda fleet_settings: fleet_settings["change"].update(settings)
        )


class RepeatedRollouts:
    """A script that proposes a version and reverts it, several times."""

    def __init__(self, rounds: int) -> None:
        self._rounds = rounds
        self.adopted_ms: list[float] = []
        self.reverted_ms: list[float] = []
        self.idle_datagrams_per_second = 0.0

    @property
    def version_count(self) -> int:
        """The number of versions after the first one."""
        return 2 * self._rounds

    def run(self, fleet: ProcessFleet) -> None:
        """Measure datagrams of the idle fleet, and then the times of each round."""
        fleet.leader()
        self.idle_datagrams_per_second = _measure_idle_datagrams(fleet)
        for _ in range(self._rounds):
            fleet.edit_rules(SHEET_READ_COST, CHANGED_COST)
            self.adopted_ms.append(_measure_command_ms(fleet, "propose", "--reason", "measured"))
            self.reverted_ms.append(_measure_command_ms(fleet, "undo"))
            fleet.edit_rules(CHANGED_COST, SHEET_READ_COST)


def _measure_idle_datagrams(fleet: ProcessFleet) -> float:
    """Return the datagrams per second and gateway while no version changes."""
    datagrams: list[int] = []
    fleet.on_message(lambda *_: datagrams.append(1))
    seconds = measure_seconds(lambda: time.sleep(IDLE_SECONDS))
    return len(datagrams) / seconds / fleet.gateway_count


def _measure_command_ms(fleet: ProcessFleet, *arguments: str) -> float:
    """Return the milliseconds of a command that waits until all gateways run its version."""
    started_at_us = fleet.now()
    exit_code, *_ = fleet.command(*arguments)
    assert exit_code == 0
    return (fleet.now() - started_at_us) / 1_000


def measure_real_processes(rounds: int) -> dict[str, Any]:
    """Measure adoptions and reversals of versions on nine gateways, five of which are voters."""
    script = RepeatedRollouts(rounds)
    verdict, fleet = run_real_fleet(script.run, GATEWAY_COUNT, VOTERS)
    results = verdict.as_json()
    approved = set(range(script.version_count + 1))
    return {
        "lost": results["missing"],
        "doubled": results["doubled"],
        "late": results["late"],
        "ceiling_beyond": max(0.0, round(verdict.worst_ceiling_ratio - 1, 3)),
        "unapproved": len(fleet.served_versions().keys() - approved),
        "adopted_ms": _median_and_largest(script.adopted_ms),
        "undone_ms": _median_and_largest(script.reverted_ms),
        "idle_datagrams_s": round(script.idle_datagrams_per_second, 2),
    }


def _median_and_largest(times_ms: list[float]) -> list[int]:
    return [round(statistics.median(times_ms)), round(max(times_ms))]


def measure_cost_ratio() -> float:
    """Return the ratio of a request's times with and without versions, over one persistent connection."""
    without_versions = _median_request_seconds([])
    with_versions = _median_request_seconds(COST_VOTERS)
    return round(with_versions / without_versions, 3)


def _median_request_seconds(voters: list[str]) -> float:
    times: list[float] = []

    def script(fleet: ProcessFleet) -> None:
        host, port = fleet.runner.plan.gateways[0]
        client = http.client.HTTPConnection(host, port)

        def request() -> None:
            client.request("GET", "/v1/nowhere", headers={"X-Api-Key": "key-of-1"})
            client.getresponse().read()

        times.extend(measure_seconds(request) for _ in range(COST_REQUEST_COUNT))

    run_real_fleet(script, COST_GATEWAY_COUNT, voters)
    return statistics.median(times)
