"""The upgrade of a fleet, batch by batch: stops at the first sign of harm and goes back. Decides without I/O.

    ROLLING ──batch passed──> SOAKING ──calm──> ROLLING ... ──all are new──> DONE
       │ harm                    │ harm
       └────────────> RETURNING <┘ ──none is new──> RETURNED, or STUCK where one could not be brought back

The first batch is one gateway, of middle load, so that its trial says something; each next may be twice as
large, within ``batch.Limits``. A gateway that answers nobody counts as at risk as well. Harm is: an upgrade
that fails, an upgraded gateway that falls silent, and any gateway that serves much less of its requests than
before (``health.why_sick``; a new build's gossip may hurt the others, too).

What is known is one value, ``State``: written down whenever it changes, a roll that was killed goes on from
it. An upgrade that was under way then is told by its processes: a gateway that runs the successor passed.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

import msgspec

from orchidlane.hot_restart.probation import Answers, why_sick
from orchidlane.hot_restart.rolling_batches import Fleet, Limits, largest

TRIES = 3  # to bring one gateway back


class Phase(Enum):
    """Where a roll stands."""

    ROLLING = "rolling"
    SOAKING = "soaking"
    RETURNING = "returning"
    DONE = "done"
    RETURNED = "returned"
    STUCK = "stuck"


ENDS = (Phase.DONE, Phase.RETURNED, Phase.STUCK)


class Place(Enum):
    """Where one gateway stands."""

    OLD = "old"
    GOING = "going"  # an upgrade is under way
    NEW = "new"
    COMING = "coming"  # it is being brought back
    STUCK = "stuck"  # new, and could not be brought back


class One(msgspec.Struct):
    """What is known of one gateway."""

    place: Place = Place.OLD
    pid: int = 0  # the successor of an upgrade under way; 0 until it is there
    began: int = 0
    tries: int = 0
    before: Answers = Answers()  # until the roll began
    process: int = 0  # that gave these answers
    silent: bool = False
    latest: str = ""  # what became of its latest upgrade, by its own word
    again: bool = False  # the roll was killed: whether the successor was let run is not known


class State(msgspec.Struct):
    """All that a roll has to remember. Times are microseconds of the roll's own clock."""

    ones: list[One]
    phase: Phase = Phase.ROLLING
    since: int = 0  # when the soak began
    fresh: bool = False  # something passed since the last soak
    batch: int = 1  # the size of the next one
    order: list[int] = msgspec.field(default_factory=list)  # those that passed, in turn
    why: str = ""


class Terms(msgspec.Struct, frozen=True):
    """Spans in microseconds."""

    limits: Limits = Limits()
    soak: int = 5_000_000  # after each batch, before the next
    upgrade: int = 95_000_000  # at most for one gateway
    growth: int = 2


# Events


class Prepared(NamedTuple):
    """A successor's process is there, and runs once this is written down."""

    rank: int
    pid: int


class Seen(NamedTuple):
    """What a gateway says of itself; ``alive``: whether the successor's process, if any, is."""

    rank: int
    pid: int
    serving: bool  # and no other process has a part in it
    latest: str
    answers: Answers
    alive: bool


class Silent(NamedTuple):
    """A gateway does not answer."""

    rank: int
    alive: bool


class Ticked(NamedTuple):
    """Time has passed."""


class Recalled(NamedTuple):
    """The operator wants the old build back."""

    why: str


Event = Prepared | Seen | Silent | Ticked | Recalled


class Start(NamedTuple):
    """Start a successor: of the new build, or of the old one again."""

    rank: int
    new: bool


class Kill(NamedTuple):
    """End a successor that takes too long: it may never have called."""

    pid: int


class End(NamedTuple):
    """The roll is over."""

    phase: Phase
    why: str


Action = Start | Kill | End


class Roller:
    """Decides the roll of a fleet."""

    def __init__(self, fleet: Fleet, terms: Terms, state: State) -> None:
        self.fleet = fleet
        self.terms = terms
        self.state = state
        self._first: list[Action] = []  # what an event asks for by itself
        # Of all gateways until the roll began: one alone may have had too little to do.
        self._usual = Answers(*map(sum, zip(*(one.before for one in state.ones), strict=True)))

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event, and say what is to be done."""
        state = self.state
        if state.phase in ENDS:
            return []
        match event:
            case Prepared():
                one = state.ones[event.rank]
                one.pid, one.began = event.pid, now
            case Seen():
                self._seen(now, event)
            case Silent():
                self._silent(now, event)
            case Recalled():
                self._harm(event.why)
            case Ticked():
                pass
        return self._go_on(now)

    def resume(self, now: int) -> list[Action]:
        """Go on from a state that was written down."""
        for rank in self.under_way():
            one = self.state.ones[rank]
            one.again, one.began = True, now
        self.state.since = now
        never = [rank for rank in self.under_way() if not self.state.ones[rank].pid]
        return [*self._starts(never), *self._go_on(now)]

    def under_way(self) -> list[int]:
        """The gateways whose upgrade has no outcome yet."""
        return [rank for rank, one in enumerate(self.state.ones) if self._is_under_way(one)]

    @staticmethod
    def _is_under_way(one: One) -> bool:
        return one.place in (Place.GOING, Place.COMING)

    # -- what is heard of one gateway

    def _seen(self, now: int, seen: Seen) -> None:
        one = self.state.ones[seen.rank]
        one.silent = False
        if self._is_under_way(one):
            return self._follow(now, seen, one)
        one.latest = seen.latest
        sick = self._why_sick(one, seen)
        if sick is not None:
            self._harm(f"{self._name(seen.rank)} {sick}")

    def _why_sick(self, one: One, seen: Seen) -> str | None:
        """A new process counts from nothing, an old one goes on from what it had when the roll began."""
        answers = seen.answers.since(one.before) if seen.pid == one.process else seen.answers
        return why_sick(self._usual, answers)

    def _follow(self, now: int, seen: Seen, one: One) -> None:
        """An upgrade under way: it passed, it failed, or it goes on."""
        if not one.pid:
            return
        if seen.serving and seen.pid == one.pid:
            return self._passed(seen.rank, one)
        if seen.serving and not seen.alive:
            if one.again and seen.latest == one.latest:  # it may never have run
                one.again, one.pid = False, 0
                return self._first.extend(self._starts([seen.rank]))
            return self._failed(seen.rank, one, seen.latest)
        self._end_late(now, one, seen.alive)

    def _end_late(self, now: int, one: One, alive: bool) -> None:
        """Once it is killed its gateway tells what became of it, as always."""
        if alive and now - one.began > self.terms.upgrade:
            self._first.append(Kill(one.pid))

    def _silent(self, now: int, silent: Silent) -> None:
        one = self.state.ones[silent.rank]
        one.silent = True
        if self._is_under_way(one):
            if one.pid and not silent.alive:
                return self._failed(silent.rank, one, "no process of it answers")
            self._end_late(now, one, silent.alive)
        elif one.place is Place.NEW:
            self._harm(f"{self._name(silent.rank)} does not answer any more")

    # -- outcomes

    def _passed(self, rank: int, one: One) -> None:
        going = one.place is Place.GOING
        one.place, one.tries, one.pid, one.again = (Place.NEW if going else Place.OLD), 0, 0, False
        if going:
            self.state.order.append(rank)
            self.state.fresh = True
        else:
            self.state.order.remove(rank)

    def _failed(self, rank: int, one: One, why: str) -> None:
        one.pid, one.again = 0, False
        if one.place is Place.GOING:
            one.place = Place.OLD
            return self._harm(f"{self._name(rank)}: {why}")
        one.tries += 1
        one.place = Place.NEW if one.tries < TRIES else Place.STUCK

    def _harm(self, why: str) -> None:
        """The first sign of it ends the roll: what follows is the way back."""
        if self.state.phase is not Phase.RETURNING:
            self.state.phase, self.state.why = Phase.RETURNING, why

    def _name(self, rank: int) -> str:
        return f"gateway {rank}"

    # -- what is next

    def _go_on(self, now: int) -> list[Action]:
        state = self.state
        first, self._first = self._first, []
        if first:
            return first
        if state.phase is Phase.RETURNING:
            return self._return()
        if self.under_way():
            return []
        if state.phase is Phase.ROLLING and state.fresh:
            state.phase, state.since, state.fresh = Phase.SOAKING, now, False
        if state.phase is Phase.SOAKING:
            if now - state.since < self.terms.soak:
                return []
            state.phase, state.batch = Phase.ROLLING, state.batch * self.terms.growth
        return self._next_batch()

    def _next_batch(self) -> list[Action]:
        state = self.state
        wanted = [rank for rank, one in enumerate(state.ones) if one.place is Place.OLD]
        if not wanted:
            return self._end(Phase.DONE)
        wanted = [rank for rank in wanted if not state.ones[rank].silent]
        if not state.order:
            wanted = self._canary(wanted)
        chosen = largest(self.fleet, self.terms.limits, wanted, self._lost(), state.batch)
        return self._start(chosen, Place.GOING)

    def _canary(self, wanted: list[int]) -> list[int]:
        """The first: of middle load, so that its answers say something and few clients are at risk."""
        by_load = sorted(wanted, key=lambda rank: (self.fleet.members[rank].load, rank))
        return by_load[len(by_load) // 2 :][:1]

    def _lost(self) -> list[int]:
        return [rank for rank, one in enumerate(self.state.ones) if one.silent]

    def _return(self) -> list[Action]:
        """Bring back, the latest first, as many as may be at risk, once all under way have an outcome."""
        state = self.state
        if any(one.place is Place.GOING for one in state.ones):
            return []
        wanted = [rank for rank in reversed(state.order) if state.ones[rank].place is Place.NEW]
        coming = [rank for rank, one in enumerate(state.ones) if one.place is Place.COMING]
        if wanted:  # those that are lost don't count here: this is to bring them back
            chosen = largest(self.fleet, self.terms.limits, wanted, coming, len(state.ones))
            return self._start(chosen, Place.COMING)
        if coming:
            return []
        stuck = any(one.place is Place.STUCK for one in state.ones)
        return self._end(Phase.STUCK if stuck else Phase.RETURNED)

    def _start(self, ranks: list[int], place: Place) -> list[Action]:
        for rank in ranks:
            one = self.state.ones[rank]
            one.place, one.pid = place, 0
        return self._starts(ranks)

    def _starts(self, ranks: list[int]) -> list[Action]:
        return [Start(rank, self.state.ones[rank].place is Place.GOING) for rank in ranks]

    def _end(self, phase: Phase) -> list[Action]:
        self.state.phase = phase
        return [End(phase, self.state.why)]


def begin(fleet: Fleet, terms: Terms, first: Sequence[Seen]) -> Roller:
    """A roll in which nothing happened yet; by rank what the gateways said of themselves before it."""
    ones = [One(before=one.answers, process=one.pid, latest=one.latest) for one in first]
    return Roller(fleet, terms, State(ones))
