"""Rolling upgrade of a simulated fleet under load, with new builds that may be broken."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from harness.constants import MS, SECOND
from harness.scenarios import ALL_RULES_HOLD
from orchidlane.config import Duration
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.lifecycle.rolling_upgrade import RollDriver
from orchidlane.runtime import CONTROL, EventLoop, Process
from orchidlane.runtime.simulated_backend import SimulatedBackend
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner
from orchidlane.simulation.simulated_fleet import SimulatedFleetBackend

COMMANDS = ("old", "new")
REQUESTS_BEFORE_ROLL = 120

Sabotage = Callable[[GatewayProcess], None]


class SimulatedNewProcesses:
    """Starts new processes in the simulated backend.

    ``sabotages`` maps the index of a process of the new build, in the order in which these processes are
    prepared, to the function that breaks it.
    """

    def __init__(self, fleet_backend: SimulatedFleetBackend, sabotages: dict[int, Sabotage]) -> None:
        self.fleet_backend = fleet_backend
        self.sabotages = sabotages
        self.processes: dict[int, Process] = {}
        self.released: set[int] = set()
        self.started: list[tuple[int, bool]] = []  # rank, whether it runs the new build

    def prepare(self, rank: int, new_build: bool) -> int:
        """Start a process that waits for ``release``, and return its process id."""
        backend = self.fleet_backend.backend
        number = sum(new for _, new in self.started)
        sabotage = self.sabotages.get(number) if new_build else None
        process = backend.start(f"gw-{rank}", self._run_new_process, rank, sabotage)
        pid = backend.process_id_of(process)
        self.processes[pid] = process
        self.started.append((rank, new_build))
        return pid

    def _run_new_process(self, rank: int, sabotage: Sabotage | None) -> None:
        fleet_backend = self.fleet_backend
        while fleet_backend.backend.process_id() not in self.released:
            fleet_backend.loop.sleep(MS)
        gateway = fleet_backend.make_gateway_process(fleet_backend.gateway_settings(rank), rank, True)
        if sabotage is not None:
            fleet_backend.loop.spawn(sabotage, gateway, priority=CONTROL)
        gateway.run()
        if not gateway.failure:
            fleet_backend.backend.kill(fleet_backend.loop.process)

    def release(self, pid: int) -> None:
        """Let a prepared process start its hot restart."""
        self.released.add(pid)

    def alive(self, pid: int) -> bool:
        """Return whether a process has not exited."""
        return not self.processes[pid].is_dead and bool(self.processes[pid].tasks)

    def kill(self, pid: int) -> None:
        """Kill a process."""
        self.fleet_backend.backend.kill(self.processes[pid])

    def kill_unreleased(self) -> None:
        """Kill the processes that still wait to be released by a driver that was killed."""
        for pid, process in self.processes.items():
            if pid not in self.released:
                self.fleet_backend.backend.kill(process)


class RollHarness:
    """A simulated fleet under load, all of whose responses are audited at the end."""

    def __init__(self, scenario: Any, sabotages: dict[int, Sabotage] | None = None) -> None:
        self.backend = SimulatedBackend(7)
        self.loop = EventLoop(self.backend)
        self.fleet_backend = SimulatedFleetBackend(self.loop, self.backend)
        self.plan = make_plan(scenario, "sim", self.fleet_backend.free_addresses)
        fleet = self.plan.fleet
        hot_restart_times = {"probation_us": Duration(800 * MS), "transfer_timeout_us": Duration(2 * SECOND)}
        self.plan.fleet = msgspec.structs.replace(
            fleet,
            hot_restart=msgspec.structs.replace(fleet.hot_restart, **hot_restart_times),
            rolling_upgrade=msgspec.structs.replace(fleet.rolling_upgrade, soak_us=Duration(800 * MS)),
        )
        self.fleet_backend.prepare(self.plan)
        self.starter = SimulatedNewProcesses(self.fleet_backend, sabotages or {})
        self.reports: list[str] = []

    def make_driver(self) -> RollDriver:
        """Return a driver of a rolling upgrade that has not started."""
        return RollDriver(self.loop, self.plan.fleet, self.starter, self.reports.append)

    def start_roll(self) -> RollDriver:
        """Return a driver that has started a rolling upgrade to the new build."""
        driver = self.make_driver()
        driver.begin(COMMANDS)
        return driver

    def builds(self) -> list[bool]:
        """Return for each gateway whether it runs the new build, according to its own status."""
        started = zip(self.starter.processes, self.starter.started, strict=True)
        new_pids = {pid for pid, (_, new_build) in started if new_build}
        ranks = range(len(self.plan.fleet.gateways))
        return [self.make_driver()._request_status(rank).pid in new_pids for rank in ranks]

    def run(self, drive: Callable[[RollHarness], None]) -> Any:
        """Run ``drive(harness)`` under load, and return the audit's verdict; no rule may be violated."""
        runner = ScenarioRunner(self.loop, self.plan, self.fleet_backend)
        verdicts: list[Any] = []

        def drive_under_load() -> None:
            while runner.http_clients is None or runner.http_clients.sent_count < REQUESTS_BEFORE_ROLL:
                self.loop.sleep(50 * MS)
            drive(self)
            runner.stop_load()

        def run_both() -> None:
            self.loop.spawn(drive_under_load, priority=CONTROL, process=self.loop.main_process)
            verdicts.append(runner.run())

        self.loop.run(run_both)
        (verdict,) = verdicts
        assert verdict.rules == ALL_RULES_HOLD, verdict.as_json()
        return verdict
