"""Upgrades a fleet batch by batch, stops at the first failure and rolls back. No I/O.

    ROLLING --batch upgraded--> SOAKING --soak over--> ROLLING ... --all upgraded--> DONE
       | failure                   | failure
       +------> ROLLING_BACK <-----+ --none upgraded--> ROLLED_BACK, or STUCK if one could not be reverted

"Roll" is short for rolling upgrade. Each gateway is upgraded to the new build by a hot restart, and reverted
to the old build by another one.

The first batch is one gateway, of median load, so that it gives enough responses in probation. Each batch may
be larger than the one before by the factor ``RollSettings.batch_growth``, within ``RiskLimits``. An
unreachable gateway counts as at risk. A failure is: an upgrade that fails, an upgraded gateway that becomes
unreachable, or any gateway that serves a much smaller share of its requests than before
(``probation.degradation_reason``). Gateways that run the old build are included, since gossip from the new
build may degrade them.

The whole state is one value, ``RollState``, which is stored whenever it changes. A roll whose process was
killed resumes from it. The outcome of an upgrade that was in progress at that time is read from the status of
its gateway.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

import msgspec

from orchidlane.hot_restart.probation import ResponseCounts, degradation_reason
from orchidlane.hot_restart.rolling_batches import Fleet, RiskLimits, largest_batch

MAX_REVERT_ATTEMPTS = 3  # for each gateway


class Phase(Enum):
    """Phase of a roll; the values are stored and shown."""

    ROLLING = "rolling"
    SOAKING = "soaking"
    ROLLING_BACK = "returning"
    DONE = "done"
    ROLLED_BACK = "returned"
    STUCK = "stuck"


FINAL_PHASES = (Phase.DONE, Phase.ROLLED_BACK, Phase.STUCK)


class GatewayPhase(Enum):
    """Phase of one gateway in a roll; the values are stored and shown."""

    OLD = "old"
    UPGRADING = "going"
    UPGRADED = "new"
    REVERTING = "coming"
    STUCK = "stuck"  # runs the new build and could not be reverted


class GatewayState(msgspec.Struct):
    """State of one gateway in a roll. ``name=`` gives the name of a field in the stored file."""

    phase: GatewayPhase = msgspec.field(default=GatewayPhase.OLD, name="place")
    new_process_pid: int = msgspec.field(default=0, name="pid")  # 0 while no new process is prepared
    # when the new process was prepared, or the roll was resumed
    started_at_us: int = msgspec.field(default=0, name="began")
    attempts: int = msgspec.field(default=0, name="tries")  # failed attempts to revert it
    baseline: ResponseCounts = msgspec.field(default=ResponseCounts(), name="before")  # before the roll
    baseline_pid: int = msgspec.field(default=0, name="process")  # process that counted the baseline
    unreachable: bool = msgspec.field(default=False, name="silent")
    last_outcome: str = msgspec.field(default="", name="latest")  # of its latest hot restart
    # the roll was killed after it prepared the new process, which may therefore never have run
    start_unconfirmed: bool = msgspec.field(default=False, name="again")

    @property
    def in_progress(self) -> bool:
        """Whether an upgrade or a reversal is in progress."""
        return self.phase in (GatewayPhase.UPGRADING, GatewayPhase.REVERTING)


class RollState(msgspec.Struct):
    """State of a roll. ``name=`` gives the name of a field in the stored file."""

    gateways: list[GatewayState] = msgspec.field(name="ones")
    phase: Phase = Phase.ROLLING
    soak_started_at_us: int = msgspec.field(default=0, name="since")  # by the clock of the roll's process
    upgraded_since_soak: bool = msgspec.field(default=False, name="fresh")
    batch_size: int = msgspec.field(default=1, name="batch")  # maximum size of the next batch
    upgrade_order: list[int] = msgspec.field(default_factory=list, name="order")  # upgraded ranks, in order
    reason: str = msgspec.field(default="", name="why")  # of the rollback


class RollSettings(msgspec.Struct, frozen=True):
    """Settings of a roll; times in microseconds."""

    limits: RiskLimits = RiskLimits()
    soak_us: int = 5_000_000  # after each batch
    upgrade_timeout_us: int = 95_000_000  # for each gateway
    batch_growth: int = 2  # factor from one batch to the next


# Events


class NewProcessPrepared(NamedTuple):
    """A new process exists but does not run yet; it is released once this event is stored."""

    rank: int
    pid: int


class StatusReceived(NamedTuple):
    """The status of a gateway."""

    rank: int
    pid: int
    serving: bool  # whether it serves and no hot restart is in progress
    last_outcome: str
    responses: ResponseCounts
    new_process_alive: bool


class GatewayUnreachable(NamedTuple):
    """A gateway does not respond to status requests."""

    rank: int
    new_process_alive: bool


class TimerFired(NamedTuple):
    """Time has passed; nothing else is known to have changed."""


class RollbackRequested(NamedTuple):
    """The operator requests a rollback to the old build."""

    reason: str


Event = NewProcessPrepared | StatusReceived | GatewayUnreachable | TimerFired | RollbackRequested


# Actions


class StartNewProcess(NamedTuple):
    """Start a new process: of the new build to upgrade, of the old build to revert."""

    rank: int
    new_build: bool


class KillNewProcess(NamedTuple):
    """Kill a new process that takes too long; it may never have connected to the old one."""

    pid: int


class Finish(NamedTuple):
    """The roll has finished."""

    phase: Phase
    reason: str


Action = StartNewProcess | KillNewProcess | Finish


class RollingUpgrade:
    """Controls the roll of a fleet: feed it events, carry out the actions in their order."""

    def __init__(self, fleet: Fleet, settings: RollSettings, state: RollState) -> None:
        self.fleet = fleet
        self.settings = settings
        self.state = state
        # Actions that the current event requires at once; the next step of the roll waits for the next event.
        self._immediate_actions: list[Action] = []
        # The sum over all gateways, since a single one may have had too few responses before the roll.
        baselines = (gateway.baseline for gateway in state.gateways)
        self._fleet_baseline = ResponseCounts(*map(sum, zip(*baselines, strict=True)))

    def handle(self, now: int, event: Event) -> list[Action]:
        """Return the actions for one event; ``now`` is the clock in microseconds."""
        state = self.state
        if state.phase in FINAL_PHASES:
            return []
        match event:
            case NewProcessPrepared():
                gateway = state.gateways[event.rank]
                gateway.new_process_pid = event.pid
                gateway.started_at_us = now
            case StatusReceived():
                self._receive_status(now, event)
            case GatewayUnreachable():
                self._mark_unreachable(now, event)
            case RollbackRequested():
                self._roll_back(event.reason)
            case TimerFired():
                pass
        return self._advance(now)

    def resume(self, now: int) -> list[Action]:
        """Return the actions with which to continue from a stored state."""
        for rank in self.in_progress():
            gateway = self.state.gateways[rank]
            gateway.start_unconfirmed = True
            gateway.started_at_us = now
        self.state.soak_started_at_us = now
        unprepared = [rank for rank in self.in_progress() if not self.state.gateways[rank].new_process_pid]
        return [*self._start_new_processes(unprepared), *self._advance(now)]

    def in_progress(self) -> list[int]:
        """Return the ranks whose upgrade or reversal is in progress."""
        return [rank for rank, gateway in enumerate(self.state.gateways) if gateway.in_progress]

    # -- status of one gateway

    def _receive_status(self, now: int, status: StatusReceived) -> None:
        gateway = self.state.gateways[status.rank]
        gateway.unreachable = False
        if gateway.in_progress:
            return self._follow_upgrade(now, status, gateway)
        gateway.last_outcome = status.last_outcome
        reason = self._degradation_reason(gateway, status)
        if reason is not None:
            self._roll_back(f"{_gateway_name(status.rank)} {reason}")
        return None

    def _degradation_reason(self, gateway: GatewayState, status: StatusReceived) -> str | None:
        """Compare the responses since the start of the roll with the baseline of the fleet.

        A new process counts from zero; the count of a process that ran before the roll includes its baseline.
        """
        responses = status.responses
        if status.pid == gateway.baseline_pid:
            responses = responses.since(gateway.baseline)
        return degradation_reason(self._fleet_baseline, responses)

    def _follow_upgrade(self, now: int, status: StatusReceived, gateway: GatewayState) -> None:
        if not gateway.new_process_pid:
            return
        if status.serving and status.pid == gateway.new_process_pid:
            self._succeed(status.rank, gateway)
        elif not status.serving or status.new_process_alive:
            self._kill_overdue(now, gateway, status.new_process_alive)
        elif gateway.start_unconfirmed and status.last_outcome == gateway.last_outcome:
            # The new process may never have run, so another one is started.
            gateway.start_unconfirmed = False
            gateway.new_process_pid = 0
            self._immediate_actions.extend(self._start_new_processes([status.rank]))
        else:
            self._fail(status.rank, gateway, status.last_outcome)

    def _kill_overdue(self, now: int, gateway: GatewayState, new_process_alive: bool) -> None:
        """Kill a new process after the timeout; the outcome is then read from the gateway's status."""
        if new_process_alive and now - gateway.started_at_us > self.settings.upgrade_timeout_us:
            self._immediate_actions.append(KillNewProcess(gateway.new_process_pid))

    def _mark_unreachable(self, now: int, event: GatewayUnreachable) -> None:
        gateway = self.state.gateways[event.rank]
        gateway.unreachable = True
        if gateway.in_progress:
            if gateway.new_process_pid and not event.new_process_alive:
                self._fail(event.rank, gateway, "the gateway is unreachable and its new process has exited")
            else:
                self._kill_overdue(now, gateway, event.new_process_alive)
        elif gateway.phase is GatewayPhase.UPGRADED:
            self._roll_back(f"{_gateway_name(event.rank)} became unreachable after its upgrade")

    # -- outcomes

    def _succeed(self, rank: int, gateway: GatewayState) -> None:
        upgraded = gateway.phase is GatewayPhase.UPGRADING
        gateway.phase = GatewayPhase.UPGRADED if upgraded else GatewayPhase.OLD
        gateway.attempts = 0
        gateway.new_process_pid = 0
        gateway.start_unconfirmed = False
        if upgraded:
            self.state.upgrade_order.append(rank)
            self.state.upgraded_since_soak = True
        else:
            self.state.upgrade_order.remove(rank)

    def _fail(self, rank: int, gateway: GatewayState, reason: str) -> None:
        gateway.new_process_pid = 0
        gateway.start_unconfirmed = False
        if gateway.phase is GatewayPhase.UPGRADING:
            gateway.phase = GatewayPhase.OLD
            return self._roll_back(f"{_gateway_name(rank)}: {reason}")
        gateway.attempts += 1
        can_retry = gateway.attempts < MAX_REVERT_ATTEMPTS
        gateway.phase = GatewayPhase.UPGRADED if can_retry else GatewayPhase.STUCK
        return None

    def _roll_back(self, reason: str) -> None:
        """Start the rollback; only the first reason is kept."""
        if self.state.phase is not Phase.ROLLING_BACK:
            self.state.phase = Phase.ROLLING_BACK
            self.state.reason = reason

    # -- next step

    def _advance(self, now: int) -> list[Action]:
        state = self.state
        if self._immediate_actions:
            immediate_actions = self._immediate_actions
            self._immediate_actions = []
            return immediate_actions
        if state.phase is Phase.ROLLING_BACK:
            return self._revert_next()
        if self.in_progress():
            return []
        if state.phase is Phase.ROLLING and state.upgraded_since_soak:
            state.phase = Phase.SOAKING
            state.soak_started_at_us = now
            state.upgraded_since_soak = False
        if state.phase is Phase.SOAKING:
            if now - state.soak_started_at_us < self.settings.soak_us:
                return []
            state.phase = Phase.ROLLING
            state.batch_size *= self.settings.batch_growth
        return self._start_next_batch()

    def _start_next_batch(self) -> list[Action]:
        gateways = self.state.gateways
        candidates = [rank for rank, gateway in enumerate(gateways) if gateway.phase is GatewayPhase.OLD]
        if not candidates:
            return self._finish(Phase.DONE)
        candidates = [rank for rank in candidates if not gateways[rank].unreachable]
        if not self.state.upgrade_order:
            candidates = self._choose_canary(candidates)
        unreachable = [rank for rank, gateway in enumerate(gateways) if gateway.unreachable]
        batch = largest_batch(
            self.fleet, self.settings.limits, candidates, unreachable, self.state.batch_size
        )
        return self._start(batch, GatewayPhase.UPGRADING)

    def _choose_canary(self, candidates: list[int]) -> list[int]:
        """Choose the gateway of median load: enough responses to judge it by, and few clients at risk."""
        by_load = sorted(candidates, key=lambda rank: (self.fleet.members[rank].load, rank))
        return by_load[len(by_load) // 2 :][:1]

    def _revert_next(self) -> list[Action]:
        """Revert as many gateways as may be at risk, the latest first, once no upgrade is in progress."""
        gateways = self.state.gateways
        if any(gateway.phase is GatewayPhase.UPGRADING for gateway in gateways):
            return []
        upgraded = [
            rank
            for rank in reversed(self.state.upgrade_order)
            if gateways[rank].phase is GatewayPhase.UPGRADED
        ]
        reverting = [rank for rank, gateway in enumerate(gateways) if gateway.phase is GatewayPhase.REVERTING]
        if upgraded:  # unreachable gateways don't count as at risk here, since a revert is to recover them
            batch = largest_batch(self.fleet, self.settings.limits, upgraded, reverting, len(gateways))
            return self._start(batch, GatewayPhase.REVERTING)
        if reverting:
            return []
        stuck = any(gateway.phase is GatewayPhase.STUCK for gateway in gateways)
        return self._finish(Phase.STUCK if stuck else Phase.ROLLED_BACK)

    def _start(self, ranks: list[int], phase: GatewayPhase) -> list[Action]:
        for rank in ranks:
            gateway = self.state.gateways[rank]
            gateway.phase = phase
            gateway.new_process_pid = 0
        return self._start_new_processes(ranks)

    def _start_new_processes(self, ranks: list[int]) -> list[Action]:
        gateways = self.state.gateways
        return [StartNewProcess(rank, gateways[rank].phase is GatewayPhase.UPGRADING) for rank in ranks]

    def _finish(self, phase: Phase) -> list[Action]:
        self.state.phase = phase
        return [Finish(phase, self.state.reason)]


def _gateway_name(rank: int) -> str:
    return f"gateway {rank}"


def start_roll(fleet: Fleet, settings: RollSettings, statuses: Sequence[StatusReceived]) -> RollingUpgrade:
    """Return a roll before its first step; ``statuses`` are those of all gateways, by rank."""
    gateways = [
        GatewayState(baseline=status.responses, baseline_pid=status.pid, last_outcome=status.last_outcome)
        for status in statuses
    ]
    return RollingUpgrade(fleet, settings, RollState(gateways))
