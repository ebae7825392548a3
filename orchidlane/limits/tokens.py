"""A take with a token is counted at most once, through whichever gateways it comes.
 Each token has up to three holders among the gateways of its customer's set (rendezvous hashing), which any
gateway can name. A gateway that gets a take *claims* the token at them; only with a majority of fresh
claims does it ask its own module for the units. Two claims can't both have a majority, so no token is
counted twice:

- Another's claim, not yet settled: under way; the claimant gives its own claims back and looks again.
- A settled claim: granted; the answer is repeated, nothing is counted.
- A holder that restarted forgot its claims. It answers UNSURE until a token's whole life has passed since its
  start, so that a majority never rests on what was forgotten.
- A claimant that died between claim and settlement leaves its claim behind: whether it counted is not
  known, and the token is not counted again; it ends with its life.

A claim that was refused is given back, so that a later try with the token may be granted.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

HOLDERS = 3


class State(IntEnum):
    """What a holder says of a token."""

    FRESH = 0  # claimed just now by the asker
    CLAIMED = 1  # by another, not settled
    GRANTED = 2
    UNSURE = 3  # the holder started lately, or its table is full
    UNKNOWN = 4  # asked without claiming: never heard of it


class Verdict(IntEnum):
    """What a claimant does next."""

    WAIT = 0
    DECIDE = 1  # ask the module
    REPEAT = 2  # it was granted before
    BUSY = 3  # under way elsewhere
    OUT_OF_REACH = 4  # no majority can be had


def token_name(customer: int, token: bytes) -> bytes:
    """What a token is called between gateways: 16 bytes, whatever its length."""
    return hashlib.blake2b(token, key=b"%d" % customer, digest_size=16).digest()


def holders_of(name: bytes, ranks: Iterable[int]) -> list[int]:
    """The holders of a token among the ranks of a set, the first ones by weight (rendezvous hashing)."""
    weighed = sorted(ranks, key=lambda rank: hashlib.blake2b(b"%d" % rank, key=name, digest_size=8).digest())
    return weighed[:HOLDERS]


@dataclass(slots=True)
class _Entry:
    """One claimed token."""

    claimant: tuple[int, int]  # rank, number of the claim there
    expires: int
    granted: bool = False
    units: float = 0.0


class Holder:
    """The tokens that one gateway holds for others; at most ``most``, each for ``life`` microseconds."""

    def __init__(self, life: int, most: int, now: int) -> None:
        self.life = life
        self.most = most
        self.sure_from = now + life
        self.touched: dict[bytes, None] | None = None  # tokens that changed, while somebody watches
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()  # in the order of their expiry

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, now: int, name: bytes, claimant: tuple[int, int]) -> tuple[State, int, float]:
        """State, the rank that claimed, and the units granted; the same claim again is told the same."""
        entry = self._find(now, name)
        if entry is not None:
            return self._tell(entry, claimant)
        if now < self.sure_from or len(self._entries) >= self.most:
            return State.UNSURE, -1, 0.0
        self._entries[name] = _Entry(claimant, now + self.life)
        self._touch(name)
        return State.FRESH, claimant[0], 0.0

    def look(self, now: int, name: bytes) -> tuple[State, int, float]:
        """The same without claiming."""
        entry = self._find(now, name)
        if entry is not None:
            return self._tell(entry, (-1, -1))
        return (State.UNSURE if now < self.sure_from else State.UNKNOWN), -1, 0.0

    def _tell(self, entry: _Entry, claimant: tuple[int, int]) -> tuple[State, int, float]:
        if entry.granted:
            return State.GRANTED, entry.claimant[0], entry.units
        state = State.FRESH if entry.claimant == claimant else State.CLAIMED
        return state, entry.claimant[0], 0.0

    def settle(self, now: int, name: bytes, claimant: tuple[int, int], units: float) -> None:
        """The claimant had a majority and counted the units: its word goes before a lone other claim's."""
        entry = self._find(now, name)
        if entry is not None and entry.granted:
            return
        if entry is not None:
            entry.claimant, entry.granted, entry.units = claimant, True, units
            self._touch(name)
        elif len(self._entries) < self.most:
            self._entries[name] = _Entry(claimant, now + self.life, True, units)
            self._touch(name)

    def give_up(self, now: int, name: bytes, claimant: tuple[int, int]) -> None:
        """The claimant counted nothing: its own unsettled claim goes."""
        entry = self._find(now, name)
        if entry is not None and not entry.granted and entry.claimant == claimant:
            del self._entries[name]
            self._touch(name)

    # -- to another process of this gateway

    def _touch(self, name: bytes) -> None:
        if self.touched is not None:
            self.touched[name] = None

    def names(self) -> list[bytes]:
        """All tokens that are held."""
        return list(self._entries)

    def row(self, name: bytes) -> list[object] | None:
        """A token as plain values, None where it is not held."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return [name, *entry.claimant, entry.expires, entry.granted, entry.units]

    def load(self, row: list[object]) -> None:
        """Hold a token as ``row`` told it."""
        name, rank, number, expires, granted, units = row
        self._entries[name] = _Entry((rank, number), expires, granted, units)  # type: ignore

    def forget(self, name: bytes) -> None:
        """A token that was told is not held any more."""
        self._entries.pop(name, None)

    def _find(self, now: int, name: bytes) -> _Entry | None:
        while self._entries:
            first = next(iter(self._entries.values()))
            if first.expires > now:
                break
            self._entries.popitem(last=False)
        entry = self._entries.get(name)  # loaded ones may stand out of their order
        return entry if entry is not None and entry.expires > now else None


@dataclass(slots=True)
class Claim:
    """One claimant's view of one token: feed the holders' answers, read the verdict."""

    holders: list[int]
    answers: dict[int, tuple[State, int, float]] = field(default_factory=dict)
    silent: set[int] = field(default_factory=set)

    @property
    def majority(self) -> int:
        """How many fresh claims suffice."""
        return len(self.holders) // 2 + 1

    def hear(self, rank: int, answer: tuple[State, int, float]) -> None:
        """One holder's answer; a later one of the same holder replaces it."""
        if rank in self.holders:
            self.answers[rank] = answer

    def miss(self, rank: int) -> None:
        """A holder did not answer in time."""
        if rank not in self.answers:
            self.silent.add(rank)

    def verdict(self) -> Verdict:
        """What the answers so far allow."""
        states = [state for state, _, _ in self.answers.values()]
        if State.GRANTED in states:
            return Verdict.REPEAT
        if states.count(State.FRESH) >= self.majority and State.CLAIMED not in states:
            return Verdict.DECIDE
        open_ = len(self.holders) - len(self.answers) - len(self.silent)
        if open_:
            return Verdict.WAIT
        if states.count(State.FRESH) >= self.majority:
            return Verdict.DECIDE  # a lone other claim has no majority
        return Verdict.BUSY if State.CLAIMED in states else Verdict.OUT_OF_REACH

    @property
    def granted(self) -> tuple[int, float]:
        """Who granted it before, and how many units."""
        return next((rank, units) for state, rank, units in self.answers.values() if state is State.GRANTED)
