"""Who has heard of the ledger, and who may still serve. Decides without I/O.

Each gateway asks one other, drawn at random, every so often (pull gossip); who learns of a later ledger hints
it to a few. So work per event and bytes a gateway are the same at any size, and news take a number of rounds
that grows with the logarithm of the fleet.

An answer says how long ago a quorum of voters confirmed that ledger to whoever leads. The asker adds all the
time since it asked, by its own clock: whatever a datagram waited for in the network or in our own buffers is
counted as age. A gateway serves by a version until ``lease`` after the latest moment at which a quorum
confirmed a ledger that wants it there. So a lease after a ledger is chosen no gateway serves by what that
took back, whether it heard of it and could not follow, or did not hear; and one that starts anew serves
nothing before it has heard.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from orchidlane.rollout.messages import Ask, Hint, Message, Told

FAN = 2  # gateways that get a hint from each that learns of a later ledger
ASKED_MOST = 16  # questions that may still be answered
HURRY = 5  # times as often is asked by whoever may not serve yet
HINT_PAUSE = 20_000  # microseconds between two questions that hints cause


class Tell(NamedTuple):
    """A datagram to another gateway."""

    rank: int
    message: Message


class Fetch(NamedTuple):
    """A later ledger is to be fetched from a gateway; ``at``: when it was confirmed, None: never."""

    rank: int
    name: str
    number: int  # its index
    at: int | None


Action = Tell | Fetch


class Spread:
    """One gateway's view of the ledger's news. Times are microseconds of its own clock."""

    def __init__(
        self, rank: int, gateways: int, voters: Sequence[int], lease: int, every: int, rng: random.Random
    ) -> None:
        self.rank = rank
        self.gateways = gateways
        self.voters = tuple(voters)
        self.lease = lease
        self.every = every
        self.random = rng
        self.index = 0  # of the ledger that we know; 0: none
        self.name = ""
        self.fresh: int | None = None  # when a quorum confirmed it, at the latest
        self.valid: int | None = None  # when it was confirmed that what we run is wanted here, at the latest
        self.as_wanted = False  # what we run is what the ledger wants
        self._unfounded: dict[int, int] = {}  # voter -> when it was asked and said that there is no ledger
        self._asked: dict[int, int] = {}  # nonce -> when
        self._due = 0
        self._turn = 0
        self._hinted = 0

    # -- what is known

    def learned(self, now: int, index: int, name: str, at: int | None) -> list[Action]:
        """We hold a ledger; a later one than ours is hinted on."""
        if index < self.index or (index == self.index and at is None):
            return []
        news = index > self.index
        self.index, self.name = index, name
        self.as_wanted = self.as_wanted and not news  # until ``runs`` says so of this one
        self.confirmed(at)
        others = [rank for rank in range(self.gateways) if rank != self.rank]
        some = self.random.sample(others, min(FAN, len(others))) if news else []
        return [Tell(rank, Hint(index)) for rank in some]

    def confirmed(self, at: int | None) -> None:
        """A quorum confirmed what we know."""
        self.fresh = _later(self.fresh, at)
        if self.as_wanted:
            self.valid = _later(self.valid, self.fresh)

    def runs(self, as_wanted: bool, as_founded: bool = False) -> None:
        """Whether we run what the ledger wants; ``as_founded``: by the files that it was founded with."""
        self.as_wanted = as_wanted
        if as_founded:
            self.valid = _later(self.valid, self._unfounded_at())
        if as_wanted:
            self.valid = _later(self.valid, self.fresh)

    def _unfounded_at(self) -> int | None:
        """When a majority of the voters knew of no ledger, at the latest."""
        told = sorted(self._unfounded.values(), reverse=True)
        enough = len(self.voters) // 2
        return told[enough] if len(told) > enough else None

    def why_not_serve(self, now: int) -> str:
        """Why requests are turned away; "" where they are served."""
        if not self.index:
            at = self._unfounded_at()
            told = at is not None and now - at <= self.lease
            return "" if told else "no majority of the voters has told by which rules"
        if self.valid is not None and now - self.valid <= self.lease:
            return ""
        if self.fresh is not None and now - self.fresh <= self.lease:
            return "other rules are wanted, which are not here yet"
        return "the rules are not confirmed" + (" yet" if self.fresh is None else " any more")

    # -- events

    def tick(self, now: int) -> list[Action]:
        """Ask the next one, when it is time."""
        if now < self._due or self.gateways < 2:
            return []
        every = self.every if self.fresh is not None else self.every // HURRY
        self._due = now + int(every * (0.75 + 0.5 * self.random.random()))
        return [self._ask(now, self._next())]

    def _next(self) -> int:
        """Until there is a ledger only the voters can say that there is none."""
        self._turn += 1
        known = self.voters if not self.index else range(self.gateways)
        rank = known[self._turn % len(known)] if not self.index else self.random.choice(known)
        if rank == self.rank:
            rank = (rank + 1) % self.gateways if self.index else known[(self._turn + 1) % len(known)]
        return rank

    def _ask(self, now: int, rank: int) -> Tell:
        nonce = self.random.getrandbits(32)
        self._asked[nonce] = now
        while len(self._asked) > ASKED_MOST:
            del self._asked[next(iter(self._asked))]
        return Tell(rank, Ask(nonce, self.index))

    def hear(self, now: int, sender: int, message: Message, is_blank: bool = False) -> list[Action]:
        """A message about the latest ledger; ``is_blank``: we are a voter that knows of none."""
        match message:
            case Ask():
                age = -1 if self.fresh is None else max(0, now - self.fresh)
                told = Told(message.nonce, self.index, self.name, age, is_blank and not self.index)
                if message.index > self.index:
                    return [Tell(sender, told), *self._hint(now, sender)]
                return [Tell(sender, told)]
            case Told():
                return self._told(now, sender, message)
            case Hint():
                return self._hint(now, sender) if message.index > self.index else []
        return []

    def _hint(self, now: int, sender: int) -> list[Action]:
        if now - self._hinted < HINT_PAUSE:
            return []
        self._hinted = now
        return [self._ask(now, sender)]

    def _told(self, now: int, sender: int, message: Told) -> list[Action]:
        asked = self._asked.pop(message.nonce, None)
        if asked is None:
            return []  # too old, or nothing that we asked
        if message.unfounded and sender in self.voters:
            self._unfounded[sender] = asked
        at = asked - message.age if message.age >= 0 else None
        if message.index == self.index and message.index and message.name == self.name:
            self.confirmed(at)
        elif message.index > self.index:
            return [Fetch(sender, message.name, message.index, at)]
        return []


def _later(one: int | None, other: int | None) -> int | None:
    """The later of two moments, either of which may never have been."""
    return max((at for at in (one, other) if at is not None), default=None)
