"""Carries the roll of a fleet out; ``upgrade.roll`` decides.

The state is written down before anything follows from it. A successor is prepared first and let run only
once its number is kept, so that a roll that is killed anywhere can be resumed: whatever runs is known. The
gateways are looked at over their Unix sockets, a few at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from orchidlane.gateway.control.settings import Fleet, upgrade_address
from orchidlane.gateway.lifecycle.status_query import request_status
from orchidlane.hot_restart import messages, rolling_upgrade
from orchidlane.hot_restart.probation import AnswerCounts
from orchidlane.hot_restart.rolling_batches import Fleet as Layout
from orchidlane.hot_restart.rolling_batches import Member, RiskLimits
from orchidlane.runtime import CONTROL, Loop, Scope

STATUS_INTERVAL_US = 200_000  # microseconds
MAX_CONCURRENT_STATUS_REQUESTS = 16  # gateways looked at each time, beside none but those under way
LOAD_SAMPLE_US = 2_000_000  # over which the load is taken
SERVING = "serving"  # the phase of a gateway in which no other process has a part


class SuccessorStarter(Protocol):
    """Starts the successors."""

    def prepare(self, rank: int, new: bool) -> int:
        """A process that will be the successor once it is let run, and never if we end before; its number."""

    def release(self, pid: int) -> None:
        """Let it run."""

    def alive(self, pid: int) -> bool:
        """Whether it has not ended."""

    def kill(self, pid: int) -> None:
        """End it where it stands."""


class StoredRoll(msgspec.Struct):
    """What a roll writes down: a resumed one needs nothing else but the settings."""

    names: list[str]
    commands: tuple[str, str] = msgspec.field(name="programs")  # of the old and of the new build
    loads: list[float]
    state: rolling_upgrade.RollState


class UnfinishedRollError(ValueError):
    """A roll was begun and is not over."""


class RollDriver:
    """One roll of a fleet, from its start or from where it was left."""

    def __init__(
        self, loop: Loop, fleet: Fleet, starter: SuccessorStarter, tell: Callable[[str], None]
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.starter = starter
        self.report = tell
        self.path = f"{fleet.state}/roll.json"
        self.stored: StoredRoll
        self.upgrade: rolling_upgrade.RollingUpgrade
        self._written = b""
        self._next = 0  # the gateway to be looked at next

    # -- beginnings

    def load_stored(self) -> StoredRoll | None:
        """What an earlier roll wrote down. Raises ValueError where it is unreadable or is another fleet's."""
        data = self.loop.world.read_file(self.path)
        if data is None:
            return None
        try:
            kept = msgspec.json.decode(data, type=StoredRoll)
        except msgspec.DecodeError as wrong:
            raise ValueError(f"{self.path}: {wrong}") from None
        if kept.names != self._names() or len(kept.state.gateways) != len(kept.names):
            raise ValueError(f"{self.path}: it is of other gateways than the settings'")
        return kept

    def _names(self) -> list[str]:
        return [entry.name for entry in self.fleet.gateways]

    def begin(self, programs: tuple[str, str]) -> None:
        """Look at all gateways, twice, and decide on the first batch.

        Raises UnfinishedRoll, and ValueError where a gateway is not there to be upgraded.
        """
        left = self.load_stored()
        if left is not None and left.state.phase not in rolling_upgrade.FINAL_PHASES:
            raise UnfinishedRollError(
                f"{self.path}: a roll is {left.state.phase.value}; resume or recall it first"
            )
        before = self._look_at_all()
        self.loop.sleep(LOAD_SAMPLE_US)
        first = self._look_at_all()
        served = zip(first, before, strict=True)
        loads = [
            max(0, one.answers.total - earlier.answers.total) * 1e6 / LOAD_SAMPLE_US
            for one, earlier in served
        ]
        self.upgrade = rolling_upgrade.start_roll(self._layout(loads), self._terms(), first)
        self.stored = StoredRoll(self._names(), programs, loads, self.upgrade.state)
        self._save()

    def resume(self) -> list[rolling_upgrade.Action]:
        """Go on from where an earlier roll was left. Raises ValueError where there is none."""
        left = self.load_stored()
        if left is None or left.state.phase in rolling_upgrade.FINAL_PHASES:
            raise ValueError(f"{self.path}: no unfinished roll")
        self.stored = left
        self.upgrade = rolling_upgrade.RollingUpgrade(self._layout(left.loads), self._terms(), left.state)
        actions = self.upgrade.resume(self.loop.now())
        self._save()
        return actions

    def _layout(self, loads: list[float]) -> Layout:
        halls = [entry.zone for entry in self.fleet.gateways]
        members = tuple(Member(rank, halls[rank], load) for rank, load in enumerate(loads))
        return Layout(members, tuple(sorted({plan.spread for plan in self.fleet.plans.values()})))

    def _terms(self) -> rolling_upgrade.RollSettings:
        terms = self.fleet.roll
        limits = RiskLimits(terms.share, terms.set_share, terms.halls, terms.load)
        return rolling_upgrade.RollSettings(limits, int(terms.soak), self.fleet.upgrade.most, terms.growth)

    # -- looks

    def _look_at_all(self) -> list[rolling_upgrade.StatusReceived]:
        found = []
        for rank, entry in enumerate(self.fleet.gateways):
            status = self._request_status(rank)
            if status is None:
                raise ValueError(f"{entry.name} does not answer: all gateways have to before a roll")
            if status.phase != SERVING:
                raise ValueError(f"{entry.name} is {status.phase}: an upgrade of it is under way")
            found.append(self._seen(rank, status, False))
        return found

    def _request_status(self, rank: int) -> messages.Status | None:
        at = upgrade_address(self.fleet, self.fleet.gateways[rank])
        assert at is not None
        return request_status(self.loop, at)

    @staticmethod
    def _seen(rank: int, status: messages.Status, alive: bool) -> rolling_upgrade.StatusReceived:
        answers = AnswerCounts(status.served, status.rejected, status.failed)
        return rolling_upgrade.StatusReceived(
            rank, status.pid, status.phase == SERVING, status.last_outcome, answers, alive
        )

    def _look(self, rank: int) -> None:
        """Ask a gateway; whether its successor lives is looked up first, so that its end is never early."""
        pid = self.upgrade.state.gateways[rank].successor_pid
        alive = bool(pid) and self.starter.alive(pid)
        status = self._request_status(rank)
        if self.upgrade.state.gateways[rank].successor_pid != pid:
            return  # decided meanwhile
        self._feed(
            rolling_upgrade.GatewayUnreachable(rank, alive)
            if status is None
            else self._seen(rank, status, alive)
        )

    def _some(self) -> list[int]:
        """Those under way, and as many of the others in turn as there is room for."""
        found = self.upgrade.in_progress()[:MAX_CONCURRENT_STATUS_REQUESTS]
        size = len(self.fleet.gateways)
        for _ in range(min(size, MAX_CONCURRENT_STATUS_REQUESTS - len(found))):
            if self._next not in found:
                found.append(self._next)
            self._next = (self._next + 1) % size
        return found

    # -- the run

    def run(
        self, actions: list[rolling_upgrade.Action] | None = None, recall: str = ""
    ) -> rolling_upgrade.RollState:
        """Until the end."""
        self._carry_out(actions or [])
        if recall:
            self._feed(rolling_upgrade.RollbackRequested(recall))
        while self.upgrade.state.phase not in rolling_upgrade.FINAL_PHASES:
            with Scope(self.loop) as scope:
                for rank in self._some():
                    scope.spawn(self._look, rank, kind=CONTROL, name="look")
            self._feed(rolling_upgrade.TimerFired())
            self.loop.sleep(STATUS_INTERVAL_US)
        return self.upgrade.state

    def _feed(self, event: rolling_upgrade.Event) -> None:
        state = self.upgrade.state
        before = state.phase, [one.phase for one in state.gateways]
        actions = self.upgrade.handle(self.loop.now(), event)
        self._save()
        self._say(*before)
        self._carry_out(actions)

    def _save(self) -> None:
        data = msgspec.json.encode(self.stored)
        if data != self._written:
            self.loop.world.write_file(self.path, data)
            self._written = data

    def _say(self, phase: rolling_upgrade.Phase, places: list[rolling_upgrade.GatewayPhase]) -> None:
        state = self.upgrade.state
        for rank, (was, one) in enumerate(zip(places, state.gateways, strict=True)):
            if one.phase is not was:
                self.report(f"{self.fleet.gateways[rank].name}: {was.value} -> {one.phase.value}")
        if state.phase is not phase:
            self.report(
                f"{phase.value} -> {state.phase.value}" + (f": {state.reason}" if state.reason else "")
            )

    def _carry_out(self, actions: list[rolling_upgrade.Action]) -> None:
        for action in actions:
            if isinstance(action, rolling_upgrade.StartSuccessor):
                pid = self.starter.prepare(action.rank, action.new_build)
                self._feed(rolling_upgrade.SuccessorPrepared(action.rank, pid))
                self.starter.release(pid)
            elif isinstance(action, rolling_upgrade.KillSuccessor):
                self.starter.kill(action.pid)
