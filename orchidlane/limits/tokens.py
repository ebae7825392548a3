"""A quota request with an idempotency token is counted at most once, through whichever gateways it comes.

Each token has up to three owners among the gateways of its customer's replica set (rendezvous hashing), which
any gateway can name. A gateway that gets such a request *claims* the token at them; only with a majority of
fresh claims does it ask its own policy for the units. Two claims can't both have a majority, so no token is
counted twice:

- Another's claim that is not settled: in progress; the claimant withdraws its own claims and tries again.
- A settled claim: granted; the response is repeated, nothing is counted.
- An owner that restarted forgot its claims. It answers UNSURE until a token's whole lifetime has passed since
  its start, so that a majority never rests on what was forgotten.
- A claimant that died between claim and settlement leaves its claim behind: whether it counted is not known,
  and the token is not counted again; it ends with its lifetime.

A claim that was rejected is withdrawn, so that a later request with the token may be granted.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, NamedTuple

OWNERS_PER_TOKEN = 3
TOKEN_NAME_BYTES = 16
NO_CLAIMANT = -1


class TokenState(IntEnum):
    """What an owner answers about a token; values are on the wire."""

    FRESH = 0  # claimed just now by the asker
    CLAIMED = 1  # by another, not settled
    GRANTED = 2
    UNSURE = 3  # the owner started lately, or its table is full
    UNKNOWN = 4  # looked up without claiming: never claimed


class ClaimVerdict(IntEnum):
    """What a claimant does next."""

    WAIT = 0
    DECIDE = 1  # ask the policy
    ALREADY_GRANTED = 2
    BUSY = 3  # in progress elsewhere
    NO_MAJORITY = 4  # and none can be had


class ClaimId(NamedTuple):
    """A claim: the claimant's replica number, and the number of the claim there."""

    claimant: int
    number: int


class TokenAnswer(NamedTuple):
    """An owner's answer; ``units`` are those granted."""

    state: TokenState
    claimant: int = NO_CLAIMANT
    units: float = 0.0


def token_name(customer: int, token: bytes) -> bytes:
    """Return the name of a token between gateways: ``TOKEN_NAME_BYTES``, whatever its length."""
    return hashlib.blake2b(token, key=b"%d" % customer, digest_size=TOKEN_NAME_BYTES).digest()


def owners_of(name: bytes, replicas: Iterable[int]) -> list[int]:
    """Return the owners of a token among the replicas of a set: the first by weight (rendezvous hashing)."""

    def weight(replica: int) -> bytes:
        return hashlib.blake2b(b"%d" % replica, key=name, digest_size=8).digest()

    return sorted(replicas, key=weight)[:OWNERS_PER_TOKEN]


@dataclass(slots=True)
class _Entry:
    """One claimed token."""

    claim: ClaimId
    expires_at_us: int
    granted: bool = False
    units: float = 0.0


class TokenOwner:
    """The tokens that one gateway owns; at most ``max_tokens``, each for ``lifetime_us``."""

    def __init__(self, lifetime_us: int, max_tokens: int, now: int) -> None:
        self.lifetime_us = lifetime_us
        self.max_tokens = max_tokens
        self.reliable_from_us = now + lifetime_us
        self.touched: dict[Hashable, None] | None = None  # tokens that changed, while somebody observes them
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()  # in the order of their expiry

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, now: int, name: bytes, claim: ClaimId) -> TokenAnswer:
        """Claim a token; the same claim again gets the same answer."""
        entry = self._get(now, name)
        if entry is not None:
            return _answer(entry, claim)
        if now < self.reliable_from_us or len(self._entries) >= self.max_tokens:
            return TokenAnswer(TokenState.UNSURE)
        self._entries[name] = _Entry(claim, now + self.lifetime_us)
        self._touch(name)
        return TokenAnswer(TokenState.FRESH, claim.claimant)

    def look_up(self, now: int, name: bytes) -> TokenAnswer:
        """Return the state of a token without claiming it."""
        entry = self._get(now, name)
        if entry is not None:
            return _answer(entry, None)
        return TokenAnswer(TokenState.UNSURE if now < self.reliable_from_us else TokenState.UNKNOWN)

    def settle(self, now: int, name: bytes, claim: ClaimId, units: float) -> None:
        """Note that the claimant had a majority and counted the units; overrides another's lone claim."""
        entry = self._get(now, name)
        if entry is not None and entry.granted:
            return
        if entry is not None:
            entry.claim = claim
            entry.granted = True
            entry.units = units
            self._touch(name)
        elif len(self._entries) < self.max_tokens:
            self._entries[name] = _Entry(claim, now + self.lifetime_us, True, units)
            self._touch(name)

    def withdraw(self, now: int, name: bytes, claim: ClaimId) -> None:
        """Drop a claim whose claimant counted nothing; only its own unsettled claim."""
        entry = self._get(now, name)
        if entry is not None and not entry.granted and entry.claim == claim:
            del self._entries[name]
            self._touch(name)

    # Handing over to another process of this gateway

    def _touch(self, name: bytes) -> None:
        if self.touched is not None:
            self.touched[name] = None

    def names(self) -> list[bytes]:
        """Return the names of all owned tokens."""
        return list(self._entries)

    def row(self, name: bytes) -> list[object] | None:
        """Return a token as plain values, None where it is not owned."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return [name, *entry.claim, entry.expires_at_us, entry.granted, entry.units]

    def load(self, row: list[Any]) -> None:
        """Own a token from its ``row``. Raises ValueError."""
        name, claimant, number, expires_at, granted, units = row
        self._entries[name] = _Entry(ClaimId(claimant, number), expires_at, granted, units)

    def forget(self, name: bytes) -> None:
        """Forget a token that the other process does not own any more."""
        self._entries.pop(name, None)

    def _get(self, now: int, name: bytes) -> _Entry | None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.expires_at_us > now:
                break
            self._entries.popitem(last=False)
        entry = self._entries.get(name)
        # Loaded entries may stand out of the order of their expiry.
        return entry if entry is not None and entry.expires_at_us > now else None


def _answer(entry: _Entry, asker: ClaimId | None) -> TokenAnswer:
    if entry.granted:
        return TokenAnswer(TokenState.GRANTED, entry.claim.claimant, entry.units)
    state = TokenState.FRESH if entry.claim == asker else TokenState.CLAIMED
    return TokenAnswer(state, entry.claim.claimant)


@dataclass(slots=True)
class TokenClaim:
    """One claimant's view of one token: add the owners' answers, read the verdict."""

    owners: list[int]
    answers: dict[int, TokenAnswer] = field(default_factory=dict)
    unanswered: set[int] = field(default_factory=set)

    @property
    def majority(self) -> int:
        """How many fresh claims suffice."""
        return len(self.owners) // 2 + 1

    def add_answer(self, owner: int, answer: TokenAnswer) -> None:
        """Add one owner's answer; a later one of the same owner replaces it."""
        if owner in self.owners:
            self.answers[owner] = answer

    def add_timeout(self, owner: int) -> None:
        """Note that an owner did not answer in time."""
        if owner not in self.answers:
            self.unanswered.add(owner)

    def verdict(self) -> ClaimVerdict:
        """Return what the answers so far allow."""
        states = [answer.state for answer in self.answers.values()]
        has_majority = states.count(TokenState.FRESH) >= self.majority
        if TokenState.GRANTED in states:
            return ClaimVerdict.ALREADY_GRANTED
        if has_majority and TokenState.CLAIMED not in states:
            return ClaimVerdict.DECIDE
        if len(self.answers) + len(self.unanswered) < len(self.owners):
            return ClaimVerdict.WAIT
        if has_majority:
            return ClaimVerdict.DECIDE  # a lone other claim has no majority
        return ClaimVerdict.BUSY if TokenState.CLAIMED in states else ClaimVerdict.NO_MAJORITY

    @property
    def fresh_owners(self) -> list[int]:
        """The owners at which this claim was made."""
        return [owner for owner, answer in self.answers.items() if answer.state is TokenState.FRESH]
