"""Carries out a rolling upgrade; the state machine is ``orchidlane.hot_restart.rolling_upgrade``.

Each state is stored before its actions are carried out. A new process is first prepared, and released only
once its process id is stored. A rolling upgrade that is killed at any point can therefore be resumed: every
process that it started is on record. The gateways' status is requested over their Unix sockets, with a limit
on concurrent requests.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import hot_restart_address
from orchidlane.gateway.lifecycle.status_query import request_status
from orchidlane.hot_restart import messages, rolling_upgrade
from orchidlane.hot_restart.probation import ResponseCounts
from orchidlane.hot_restart.rolling_batches import Fleet as FleetLayout
from orchidlane.hot_restart.rolling_batches import Member, RiskLimits
from orchidlane.runtime import CONTROL, EventLoop, TaskGroup

STATUS_INTERVAL_US = 200_000
MAX_CONCURRENT_STATUS_REQUESTS = 16
LOAD_SAMPLE_US = 2_000_000
SERVING = "serving"  # phase in the status of a gateway without a hot restart in progress


class NewProcessStarter(Protocol):
    """Starts the new processes of a rolling upgrade."""

    def prepare(self, rank: int, new_build: bool) -> int:
        """Create a process that takes over a gateway once it is released, and return its process id.

        The process must never run if this one exits before the release.
        """

    def release(self, pid: int) -> None:
        """Let a prepared process run."""

    def alive(self, pid: int) -> bool:
        """Return whether a process has not exited."""

    def kill(self, pid: int) -> None:
        """Kill a process."""


class StoredRoll(msgspec.Struct):
    """The stored state of a rolling upgrade; with the settings it is all that a resumption needs."""

    names: list[str]
    commands: tuple[str, str] = msgspec.field(name="programs")  # of the old and of the new build
    loads: list[float]  # responses per second of each gateway
    state: rolling_upgrade.RollState


class UnfinishedRollError(ValueError):
    """An earlier rolling upgrade has not finished."""


class RollDriver:
    """Drives one rolling upgrade ("roll" in the command), from its start or from its stored state."""

    def __init__(
        self, loop: EventLoop, fleet: FleetSettings, starter: NewProcessStarter, report: Callable[[str], None]
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.starter = starter
        self.report = report
        self.path = f"{fleet.state_directory}/roll.json"
        self.stored: StoredRoll
        self.upgrade: rolling_upgrade.RollingUpgrade
        self._last_written = b""
        self._next_rank = 0  # the gateway whose status is requested next

    # -- start and resumption

    def load_stored(self) -> StoredRoll | None:
        """Return the last stored state, if any.

        Raises ValueError if it is unreadable or belongs to another fleet.
        """
        data = self.loop.backend.read_file(self.path)
        if data is None:
            return None
        try:
            stored = msgspec.json.decode(data, type=StoredRoll)
        except msgspec.DecodeError as error:
            raise ValueError(f"{self.path}: {error}") from None
        if stored.names != self._names() or len(stored.state.gateways) != len(stored.names):
            raise ValueError(f"{self.path}: the gateways of this roll differ from those of the settings")
        return stored

    def _names(self) -> list[str]:
        return [entry.name for entry in self.fleet.gateways]

    def begin(self, commands: tuple[str, str]) -> None:
        """Start a rolling upgrade and store its state.

        The status of each gateway is requested twice, to measure its load.

        Raises UnfinishedRollError, and ValueError if a gateway can't be restarted now.
        """
        stored = self.load_stored()
        if stored is not None and stored.state.phase not in rolling_upgrade.FINAL_PHASES:
            phase = stored.state.phase.value
            raise UnfinishedRollError(f"{self.path}: a roll is {phase}; resume or recall it first")
        first_statuses = self._request_all()
        self.loop.sleep(LOAD_SAMPLE_US)
        statuses = self._request_all()
        loads = [
            max(0, status.responses.total - before.responses.total) * 1e6 / LOAD_SAMPLE_US
            for status, before in zip(statuses, first_statuses, strict=True)
        ]
        self.upgrade = rolling_upgrade.start_roll(self._layout(loads), self._settings(), statuses)
        self.stored = StoredRoll(self._names(), commands, loads, self.upgrade.state)
        self._store()

    def resume(self) -> list[rolling_upgrade.Action]:
        """Continue an unfinished rolling upgrade. Raises ValueError if there is none."""
        stored = self.load_stored()
        if stored is None or stored.state.phase in rolling_upgrade.FINAL_PHASES:
            raise ValueError(f"{self.path}: no unfinished roll")
        self.stored = stored
        self.upgrade = rolling_upgrade.RollingUpgrade(
            self._layout(stored.loads), self._settings(), stored.state
        )
        actions = self.upgrade.resume(self.loop.now())
        self._store()
        return actions

    def _layout(self, loads: list[float]) -> FleetLayout:
        zones = [entry.zone for entry in self.fleet.gateways]
        members = tuple(Member(rank, zones[rank], load) for rank, load in enumerate(loads))
        set_sizes = {plan.replica_set_size for plan in self.fleet.plans.values()}
        return FleetLayout(members, tuple(sorted(set_sizes)))

    def _settings(self) -> rolling_upgrade.RollSettings:
        settings = self.fleet.rolling_upgrade
        return rolling_upgrade.RollSettings(
            limits=RiskLimits(
                settings.max_share,
                settings.max_replica_set_share,
                settings.max_zones,
                settings.max_load_share,
            ),
            soak_us=int(settings.soak_us),
            upgrade_timeout_us=self.fleet.hot_restart.total_timeout_us,
            batch_growth=settings.max_batch_growth,
        )

    # -- status

    def _request_all(self) -> list[rolling_upgrade.StatusReceived]:
        received = []
        for rank, entry in enumerate(self.fleet.gateways):
            status = self._request_status(rank)
            if status is None:
                raise ValueError(
                    f"{entry.name} does not respond: a roll requires the status of every gateway"
                )
            if status.phase != SERVING:
                raise ValueError(f"{entry.name} is {status.phase}: a hot restart of it is in progress")
            received.append(_status_event(rank, status, new_process_alive=False))
        return received

    def _request_status(self, rank: int) -> messages.Status | None:
        address = hot_restart_address(self.fleet, self.fleet.gateways[rank])
        assert address is not None
        return request_status(self.loop, address)

    def _poll(self, rank: int) -> None:
        """Request a gateway's status and feed it to the state machine.

        Whether the new process lives is checked before the status is requested. In the opposite order, a new
        process that exits in between would look dead beside a status from before its exit.
        """
        gateways = self.upgrade.state.gateways
        pid = gateways[rank].new_process_pid
        alive = bool(pid) and self.starter.alive(pid)
        status = self._request_status(rank)
        if gateways[rank].new_process_pid != pid:
            return  # another event changed the new process during the request
        if status is None:
            self._feed(rolling_upgrade.GatewayUnreachable(rank, alive))
        else:
            self._feed(_status_event(rank, status, alive))

    def _ranks_to_poll(self) -> list[int]:
        """Return the ranks in progress, then other ranks in turn up to the limit of concurrent requests."""
        ranks = self.upgrade.in_progress()[:MAX_CONCURRENT_STATUS_REQUESTS]
        size = len(self.fleet.gateways)
        for _ in range(min(size, MAX_CONCURRENT_STATUS_REQUESTS - len(ranks))):
            if self._next_rank not in ranks:
                ranks.append(self._next_rank)
            self._next_rank = (self._next_rank + 1) % size
        return ranks

    # -- running

    def run(
        self, actions: list[rolling_upgrade.Action] | None = None, rollback_reason: str = ""
    ) -> rolling_upgrade.RollState:
        """Run until the rolling upgrade has finished; with a reason, roll back at once."""
        self._carry_out(actions or [])
        if rollback_reason:
            self._feed(rolling_upgrade.RollbackRequested(rollback_reason))
        while self.upgrade.state.phase not in rolling_upgrade.FINAL_PHASES:
            with TaskGroup(self.loop) as scope:
                for rank in self._ranks_to_poll():
                    scope.spawn(self._poll, rank, priority=CONTROL, name="status request")
            self._feed(rolling_upgrade.TimerFired())
            self.loop.sleep(STATUS_INTERVAL_US)
        return self.upgrade.state

    def _feed(self, event: rolling_upgrade.Event) -> None:
        state = self.upgrade.state
        phase = state.phase
        gateway_phases = [gateway.phase for gateway in state.gateways]
        actions = self.upgrade.handle(self.loop.now(), event)
        self._store()
        self._report_changes(phase, gateway_phases)
        self._carry_out(actions)

    def _store(self) -> None:
        data = msgspec.json.encode(self.stored)
        if data != self._last_written:
            self.loop.backend.write_file(self.path, data)
            self._last_written = data

    def _report_changes(
        self, phase: rolling_upgrade.Phase, gateway_phases: list[rolling_upgrade.GatewayPhase]
    ) -> None:
        state = self.upgrade.state
        for rank, (previous, gateway) in enumerate(zip(gateway_phases, state.gateways, strict=True)):
            if gateway.phase is not previous:
                name = self.fleet.gateways[rank].name
                self.report(f"{name}: {previous.value} -> {gateway.phase.value}")
        if state.phase is not phase:
            reason = f": {state.reason}" if state.reason else ""
            self.report(f"{phase.value} -> {state.phase.value}{reason}")

    def _carry_out(self, actions: list[rolling_upgrade.Action]) -> None:
        for action in actions:
            match action:
                case rolling_upgrade.StartNewProcess():
                    pid = self.starter.prepare(action.rank, action.new_build)
                    self._feed(rolling_upgrade.NewProcessPrepared(action.rank, pid))
                    self.starter.release(pid)
                case rolling_upgrade.KillNewProcess():
                    self.starter.kill(action.pid)


def _status_event(
    rank: int, status: messages.Status, new_process_alive: bool
) -> rolling_upgrade.StatusReceived:
    return rolling_upgrade.StatusReceived(
        rank=rank,
        pid=status.pid,
        serving=status.phase == SERVING,
        last_outcome=status.last_outcome,
        responses=ResponseCounts(status.served, status.rejected, status.failed),
        new_process_alive=new_process_alive,
    )
