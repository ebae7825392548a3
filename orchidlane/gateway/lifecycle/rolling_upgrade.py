"""Carries the roll of a fleet out; ``upgrade.roll`` decides.

The state is written down before anything follows from it. A successor is prepared first and let run only
once its number is kept, so that a roll that is killed anywhere can be resumed: whatever runs is known. The
gateways are looked at over their Unix sockets, a few at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import hot_restart_address
from orchidlane.gateway.lifecycle.status_query import ask_status
from orchidlane.hot_restart import messages, rolling_upgrade
from orchidlane.hot_restart.probation import Answers
from orchidlane.hot_restart.rolling_batches import Fleet as Layout
from orchidlane.hot_restart.rolling_batches import Limits, Member
from orchidlane.runtime import CONTROL, Loop, Scope

LOOK_EVERY = 200_000  # microseconds
LOOKS = 16  # gateways looked at each time, beside none but those under way
MEASURE = 2_000_000  # over which the load is taken
SERVING = "serving"  # the phase of a gateway in which no other process has a part


class Starter(Protocol):
    """Starts the successors."""

    def prepare(self, rank: int, new: bool) -> int:
        """A process that will be the successor once it is let run, and never if we end before; its number."""

    def release(self, pid: int) -> None:
        """Let it run."""

    def alive(self, pid: int) -> bool:
        """Whether it has not ended."""

    def kill(self, pid: int) -> None:
        """End it where it stands."""


class Kept(msgspec.Struct):
    """What a roll writes down: a resumed one needs nothing else but the settings."""

    names: list[str]
    programs: tuple[str, str]  # the commands of the old and the new build
    loads: list[float]
    state: rolling_upgrade.State


class UnfinishedRoll(ValueError):
    """A roll was begun and is not over."""


class Rolling:
    """One roll of a fleet, from its start or from where it was left."""

    def __init__(
        self, loop: Loop, fleet: FleetSettings, starter: Starter, tell: Callable[[str], None]
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.starter = starter
        self.tell = tell
        self.path = f"{fleet.state_directory}/roll.json"
        self.kept: Kept
        self.roller: rolling_upgrade.Roller
        self._written = b""
        self._next = 0  # the gateway to be looked at next

    # -- beginnings

    def left(self) -> Kept | None:
        """What an earlier roll wrote down. Raises ValueError where it is unreadable or is another fleet's."""
        data = self.loop.world.read_file(self.path)
        if data is None:
            return None
        try:
            kept = msgspec.json.decode(data, type=Kept)
        except msgspec.DecodeError as wrong:
            raise ValueError(f"{self.path}: {wrong}") from None
        if kept.names != self._names() or len(kept.state.ones) != len(kept.names):
            raise ValueError(f"{self.path}: it is of other gateways than the settings'")
        return kept

    def _names(self) -> list[str]:
        return [entry.name for entry in self.fleet.gateways]

    def begin(self, programs: tuple[str, str]) -> None:
        """Look at all gateways, twice, and decide on the first batch.

        Raises UnfinishedRoll, and ValueError where a gateway is not there to be upgraded.
        """
        left = self.left()
        if left is not None and left.state.phase not in rolling_upgrade.ENDS:
            raise UnfinishedRoll(
                f"{self.path}: a roll is {left.state.phase.value}; resume or recall it first"
            )
        before = self._look_at_all()
        self.loop.sleep(MEASURE)
        first = self._look_at_all()
        served = zip(first, before, strict=True)
        loads = [max(0, one.answers.all - earlier.answers.all) * 1e6 / MEASURE for one, earlier in served]
        self.roller = rolling_upgrade.begin(self._layout(loads), self._terms(), first)
        self.kept = Kept(self._names(), programs, loads, self.roller.state)
        self._save()

    def resume(self) -> list[rolling_upgrade.Action]:
        """Go on from where an earlier roll was left. Raises ValueError where there is none."""
        left = self.left()
        if left is None or left.state.phase in rolling_upgrade.ENDS:
            raise ValueError(f"{self.path}: no unfinished roll")
        self.kept = left
        self.roller = rolling_upgrade.Roller(self._layout(left.loads), self._terms(), left.state)
        actions = self.roller.resume(self.loop.now())
        self._save()
        return actions

    def _layout(self, loads: list[float]) -> Layout:
        halls = [entry.zone for entry in self.fleet.gateways]
        members = tuple(Member(rank, halls[rank], load) for rank, load in enumerate(loads))
        return Layout(members, tuple(sorted({plan.replica_set_size for plan in self.fleet.plans.values()})))

    def _terms(self) -> rolling_upgrade.Terms:
        terms = self.fleet.rolling_upgrade
        limits = Limits(terms.max_share, terms.max_replica_set_share, terms.max_zones, terms.max_load_share)
        return rolling_upgrade.Terms(
            limits, int(terms.soak_us), self.fleet.hot_restart.total_timeout_us, terms.max_batch_growth
        )

    # -- looks

    def _look_at_all(self) -> list[rolling_upgrade.Seen]:
        found = []
        for rank, entry in enumerate(self.fleet.gateways):
            status = self._ask(rank)
            if status is None:
                raise ValueError(f"{entry.name} does not answer: all gateways have to before a roll")
            if status.phase != SERVING:
                raise ValueError(f"{entry.name} is {status.phase}: an upgrade of it is under way")
            found.append(self._seen(rank, status, False))
        return found

    def _ask(self, rank: int) -> messages.Status | None:
        at = hot_restart_address(self.fleet, self.fleet.gateways[rank])
        assert at is not None
        return ask_status(self.loop, at)

    @staticmethod
    def _seen(rank: int, status: messages.Status, alive: bool) -> rolling_upgrade.Seen:
        answers = Answers(status.served, status.refused, status.failed)
        return rolling_upgrade.Seen(rank, status.pid, status.phase == SERVING, status.latest, answers, alive)

    def _look(self, rank: int) -> None:
        """Ask a gateway; whether its successor lives is looked up first, so that its end is never early."""
        pid = self.roller.state.ones[rank].pid
        alive = bool(pid) and self.starter.alive(pid)
        status = self._ask(rank)
        if self.roller.state.ones[rank].pid != pid:
            return  # decided meanwhile
        self._feed(rolling_upgrade.Silent(rank, alive) if status is None else self._seen(rank, status, alive))

    def _some(self) -> list[int]:
        """Those under way, and as many of the others in turn as there is room for."""
        found = self.roller.under_way()[:LOOKS]
        size = len(self.fleet.gateways)
        for _ in range(min(size, LOOKS - len(found))):
            if self._next not in found:
                found.append(self._next)
            self._next = (self._next + 1) % size
        return found

    # -- the run

    def run(
        self, actions: list[rolling_upgrade.Action] | None = None, recall: str = ""
    ) -> rolling_upgrade.State:
        """Until the end."""
        self._carry_out(actions or [])
        if recall:
            self._feed(rolling_upgrade.Recalled(recall))
        while self.roller.state.phase not in rolling_upgrade.ENDS:
            with Scope(self.loop) as scope:
                for rank in self._some():
                    scope.spawn(self._look, rank, kind=CONTROL, name="look")
            self._feed(rolling_upgrade.Ticked())
            self.loop.sleep(LOOK_EVERY)
        return self.roller.state

    def _feed(self, event: rolling_upgrade.Event) -> None:
        state = self.roller.state
        before = state.phase, [one.place for one in state.ones]
        actions = self.roller.handle(self.loop.now(), event)
        self._save()
        self._say(*before)
        self._carry_out(actions)

    def _save(self) -> None:
        data = msgspec.json.encode(self.kept)
        if data != self._written:
            self.loop.world.write_file(self.path, data)
            self._written = data

    def _say(self, phase: rolling_upgrade.Phase, places: list[rolling_upgrade.Place]) -> None:
        state = self.roller.state
        for rank, (was, one) in enumerate(zip(places, state.ones, strict=True)):
            if one.place is not was:
                self.tell(f"{self.fleet.gateways[rank].name}: {was.value} -> {one.place.value}")
        if state.phase is not phase:
            self.tell(f"{phase.value} -> {state.phase.value}" + (f": {state.why}" if state.why else ""))

    def _carry_out(self, actions: list[rolling_upgrade.Action]) -> None:
        for action in actions:
            if isinstance(action, rolling_upgrade.Start):
                pid = self.starter.prepare(action.rank, action.new)
                self._feed(rolling_upgrade.Prepared(action.rank, pid))
                self.starter.release(pid)
            elif isinstance(action, rolling_upgrade.Kill):
                self.starter.kill(action.pid)
