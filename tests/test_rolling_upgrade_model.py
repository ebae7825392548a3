"""Model checking of a rolling upgrade: all states of three gateways, with faults."""

from __future__ import annotations

import copy
from collections.abc import Iterable
from typing import Any

import msgspec
import pytest

from orchidlane.hot_restart import rolling_upgrade
from orchidlane.hot_restart.probation import ResponseCounts
from orchidlane.hot_restart.rolling_batches import Fleet, Member, RiskLimits, is_allowed
from orchidlane.simulation.state_exploration import explore

LIMITS = RiskLimits(fleet_share=0.7, replica_set_share=1.0, max_zones=2, load_share=1.0)
FLEET = Fleet(tuple(Member(rank, "h", 1.0) for rank in range(3)), ())
SETTINGS = rolling_upgrade.RollSettings(LIMITS, soak_us=10, upgrade_timeout_us=1_000)
HEALTHY, DEGRADED = ResponseCounts(50, 0, 0), ResponseCounts(50, 0, 500)
AFTER_ALL_TIMEOUTS_US = 100_000


class ModelGateway(msgspec.Struct):
    """The actual state of one gateway: its process, the build that it runs, and the new process, if any."""

    pid: int = 1
    new_build: bool = False
    next_pid: int = 0  # of the process of a hot restart in progress, 0 if none is alive
    next_is_new_build: bool = False
    running: bool = False  # whether that process was released
    hanging: bool = False
    last_outcome: str = ""
    unreachable: bool = False


class RollModel:
    """A rolling upgrade, its gateways and faults. When the driver is killed only the stored state remains."""

    machine = rolling_upgrade.RollingUpgrade

    def __init__(self, faults: int) -> None:
        self.gateways = [ModelGateway() for _ in FLEET.members]
        statuses = [
            rolling_upgrade.StatusReceived(rank, 1, True, "", HEALTHY, False)
            for rank in range(len(self.gateways))
        ]
        self.upgrade = self.machine(
            FLEET, SETTINGS, rolling_upgrade.start_roll(FLEET, SETTINGS, statuses).state
        )
        self.pending: tuple[rolling_upgrade.Action, ...] = ()
        self.faults = faults  # that may still happen
        self._feed(0, rolling_upgrade.TimerFired())

    def key(self):
        return msgspec.json.encode((self.upgrade.state, self.gateways, self.faults)), repr(self.pending)

    def _feed(self, now: int, event: rolling_upgrade.Event) -> None:
        self.pending += tuple(self.upgrade.handle(now, event))

    def broken_invariant(self) -> str | None:
        state = self.upgrade.state
        unreachable = {rank for rank, gateway in enumerate(self.gateways) if gateway.unreachable}
        at_risk = {rank for rank, gateway in enumerate(self.gateways) if gateway.next_pid and gateway.running}
        if not is_allowed(FLEET, LIMITS, at_risk):
            return "too many gateways at risk"
        builds = {gateway.new_build for rank, gateway in enumerate(self.gateways) if rank not in unreachable}
        if state.phase is rolling_upgrade.Phase.DONE and builds != {True}:
            return "done, but a gateway runs the old build"
        if state.phase is rolling_upgrade.Phase.ROLLED_BACK and builds - {False}:
            return "rolled back, but a gateway runs the new build"
        return None

    def is_goal(self) -> bool:
        return self.upgrade.state.phase in rolling_upgrade.FINAL_PHASES

    def moves(self) -> Iterable[tuple[str, RollModel]]:
        for name, change in self._possible_steps():
            after = copy.copy(self)
            after.gateways = [copy.copy(gateway) for gateway in self.gateways]
            after.upgrade = self.machine(FLEET, SETTINGS, copy.deepcopy(self.upgrade.state))
            if name.startswith("!"):
                after.faults -= 1
            change(after)
            yield name, after

    def _possible_steps(self) -> Iterable[tuple[str, Any]]:
        if self.upgrade.state.phase in rolling_upgrade.FINAL_PHASES:
            return
        for action in self.pending[:1]:
            yield repr(action), lambda m, a=action: m._carry_out(a)
        for rank, gateway in enumerate(self.gateways):
            if not self.pending:
                yield f"poll {rank}", lambda m, r=rank: m._poll(r, 0)
            if gateway.next_pid and gateway.running and not gateway.hanging:
                yield f"pass {rank}", lambda m, r=rank: m._finish_upgrade(r, True)
        if not self.pending:
            yield (
                "time",
                lambda m: m._feed(
                    m.upgrade.state.soak_started_at_us + SETTINGS.soak_us, rolling_upgrade.TimerFired()
                ),
            )
            yield "late", lambda m: [m._poll(rank, AFTER_ALL_TIMEOUTS_US) for rank in m.upgrade.in_progress()]
        if self.faults:
            yield from self._faults()

    def _faults(self) -> Iterable[tuple[str, Any]]:
        for rank, gateway in enumerate(self.gateways):
            if gateway.next_pid and gateway.running and not gateway.hanging:
                yield f"!fail {rank}", lambda m, r=rank: m._finish_upgrade(r, False)
                yield f"!hang {rank}", lambda m, r=rank: setattr(m.gateways[r], "hanging", True)
            if gateway.new_build and not self.pending:
                yield f"!degraded {rank}", lambda m, r=rank: m._poll(r, 0, DEGRADED)
                if not gateway.next_pid:
                    yield (
                        f"!unreachable {rank}",
                        lambda m, r=rank: setattr(m.gateways[r], "unreachable", True),
                    )
        yield "!kill", lambda m: m._kill_and_resume()

    def _carry_out(self, action: rolling_upgrade.Action) -> None:
        self.pending = self.pending[1:]
        if isinstance(action, rolling_upgrade.StartNewProcess):
            gateway = self.gateways[action.rank]
            gateway.next_pid = 3 - gateway.pid
            gateway.next_is_new_build = action.new_build
            gateway.running = False
            gateway.hanging = False
            self._feed(0, rolling_upgrade.NewProcessPrepared(action.rank, gateway.next_pid))
            gateway.running = True
            if gateway.unreachable:
                gateway.next_pid = 0  # no old process hands over to it
        elif isinstance(action, rolling_upgrade.KillNewProcess):
            for rank, gateway in enumerate(self.gateways):
                if gateway.next_pid == action.pid and gateway.hanging:
                    self._finish_upgrade(rank, False)

    def _finish_upgrade(self, rank: int, passed: bool) -> None:
        gateway = self.gateways[rank]
        if passed:
            gateway.pid = gateway.next_pid
            gateway.new_build = gateway.next_is_new_build
            gateway.last_outcome = ""
        else:
            gateway.last_outcome = "resumed"
        gateway.next_pid = 0
        gateway.running = False
        gateway.hanging = False

    def _poll(self, rank: int, now: int, responses: ResponseCounts = HEALTHY) -> None:
        gateway = self.gateways[rank]
        if gateway.unreachable:
            self._feed(now, rolling_upgrade.GatewayUnreachable(rank, bool(gateway.next_pid)))
            return
        serving = not (gateway.next_pid and gateway.running)
        self._feed(
            now,
            rolling_upgrade.StatusReceived(
                rank, gateway.pid, serving, gateway.last_outcome, responses, bool(gateway.next_pid)
            ),
        )

    def _kill_and_resume(self) -> None:
        """Kill the driver and resume at once; a new process that was not yet released is killed, too."""
        for gateway in self.gateways:
            if gateway.next_pid and not gateway.running:
                gateway.next_pid = 0
        self.pending = ()
        self.pending += tuple(self.upgrade.resume(0))


def test_every_roll_can_finish_with_one_build_within_the_risk_limits():
    result = explore(RollModel(2), max_states=400_000)
    assert result.violations == []
    assert result.stuck_paths == []
    assert result.state_count > 2_000


class IgnoresFailures(rolling_upgrade.RollingUpgrade):
    """Treats a new process that failed as one that never ran."""

    def _fail(self, _rank: int, gateway: rolling_upgrade.GatewayState, _reason: str) -> None:
        gateway.new_process_pid = 0
        gateway.phase = rolling_upgrade.GatewayPhase.OLD


class StartsAllAtOnce(rolling_upgrade.RollingUpgrade):
    """Upgrades all gateways in one batch."""

    def _start_next_batch(self) -> list[rolling_upgrade.Action]:
        candidates = [
            rank
            for rank, gateway in enumerate(self.state.gateways)
            if gateway.phase is rolling_upgrade.GatewayPhase.OLD
        ]
        return (
            self._start(candidates, rolling_upgrade.GatewayPhase.UPGRADING)
            if candidates
            else self._finish(rolling_upgrade.Phase.DONE)
        )


@pytest.mark.parametrize("broken", [IgnoresFailures, StartsAllAtOnce])
def test_search_finds_a_broken_roll(broken, monkeypatch):
    monkeypatch.setattr(RollModel, "machine", broken)
    result = explore(RollModel(1))
    assert result.violations or result.stuck_paths
