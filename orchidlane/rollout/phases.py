"""A version is adopted stage by stage, and goes back by itself at harm. Decides without I/O.

    batch ──all of it run the version──> soak ──no harm, answers enough──> a larger batch ... ──> all
                                           │ harm, a silent one, or too little to tell for too long
                                           └──> an undo is proposed: a new version with the prior contents

Which gateways may be at risk together is ``upgrade.batch``'s to say: a share of all, of any customer's set,
of the load, and of so many halls. What the ledger says is all that has to last: whoever leads next judges
the stage anew, from its beginning.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from orchidlane.hot_restart.rolling_batches import Fleet, Member, RiskLimits, largest_batch
from orchidlane.rollout.canary_analysis import Judge, Tallies, sum_of

SAMPLE = 8  # gateways of each side that are asked for their counts
PATIENCE = 6  # soaks until it is given up where too little can be told
SILENT = 3_000_000  # microseconds that a gateway on the new version may not answer


class Terms(msgspec.Struct, frozen=True):
    """How a fleet adopts; the span in microseconds, 0: all at once."""

    soak: int
    growth: int
    limits: RiskLimits
    halls: tuple[str, ...]  # of each gateway
    spreads: tuple[int, ...]


class Look(NamedTuple):
    """What a sample of both sides answered since the last look, by rank; who did not answer."""

    new: Mapping[int, Tallies]
    old: Mapping[int, Tallies]
    silent: Sequence[int]  # of those on the new version


class Stager:
    """The stages of one change, as whoever leads sees them."""

    def __init__(self, terms: Terms, number: int, now: int) -> None:
        self.terms = terms
        self.number = number
        self.reach = b""
        self.judge = Judge()
        self.harm = ""
        self._silent: dict[int, int] = {}  # since when
        self._since = now  # when all of the stage ran it
        self._enough = False
        self._running = False

    def at(self, now: int, reach: bytes, missing: Iterable[int]) -> None:
        """Where the stage stands: what it reaches, and who does not run it yet."""
        if reach != self.reach:
            self.reach, self._running, self._enough = reach, False, False
            self.judge = Judge()  # other gateways are compared from here on
        if not self._running and not list(missing):
            self._running, self._since = True, now

    def look(self, now: int, look: Look) -> None:
        """Weigh what was answered."""
        verdict = self.judge.look(sum_of(look.new.values()), sum_of(look.old.values()))
        self._enough = verdict.enough
        self.harm = self.harm or verdict.harm
        self._silent = {rank: self._silent.get(rank, now) for rank in look.silent}
        late = [rank for rank, since in self._silent.items() if now - since > SILENT]
        if late and not self.harm:
            self.harm = f"gateway {late[0]} does not answer any more"

    def verdict(self, now: int) -> str | None:
        """None: wait; "": the stage passed; else why it goes back."""
        if self.harm:
            return self.harm
        if not self._running or now - self._since < self.terms.soak:
            return None
        if self._enough:
            return ""
        if now - self._since > PATIENCE * self.terms.soak:
            return "too few answers to tell whether it does harm"
        return None


def first_batch(terms: Terms, loads: Sequence[float]) -> list[int]:
    """The first: one of middle load, so that its answers say something and few clients are at risk."""
    if not terms.soak:
        return list(range(len(loads)))
    by_load = sorted(range(len(loads)), key=lambda rank: (loads[rank], rank))
    return by_load[len(by_load) // 2 :][:1]


def next_batch(terms: Terms, loads: Sequence[float], reached: Sequence[int]) -> list[int]:
    """So many more as may be at risk at once, beside those that passed and are at risk no more."""
    rest = [rank for rank in range(len(loads)) if rank not in set(reached)]
    members = tuple(Member(rank, hall, loads[rank]) for rank, hall in enumerate(terms.halls))
    most = max(1, len(reached) * terms.growth)
    chosen = largest_batch(Fleet(members, terms.spreads), terms.limits, rest, [], most)
    return chosen or rest[:1]


def sample(ranks: Sequence[int], turn: int) -> list[int]:
    """A bounded sample that goes round with the turns, so that the work is the same at any size."""
    if len(ranks) <= SAMPLE:
        return list(ranks)
    start = turn * SAMPLE % len(ranks)
    return [ranks[(start + i) % len(ranks)] for i in range(SAMPLE)]
