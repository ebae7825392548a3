"""Idempotency tokens: a quota request with a token is counted at most once, whichever gateways receive it.

Each token has up to three owners among the gateways of its customer's replica set, chosen by rendezvous
hashing, so that any gateway can compute them. A gateway that receives such a request *claims* the token at
its owners, and requests the units from its own policy only with a majority of fresh claims. Two claims cannot
both have a majority, so no token is counted twice. An owner that does not make a fresh claim replies:

- CLAIMED by another claimant and not settled: the other request is in progress. The claimant withdraws its
  own claims and tries again.
- GRANTED: the claim was settled. The claimant repeats the response and counts nothing.
- UNSURE: an owner that restarted has lost its claims. It gives this reply until a whole token lifetime has
  passed since its start, so that a majority never depends on lost claims.

A claimant that exits between claim and settlement leaves its claim in place. Whether it counted the units is
unknown, so the token is not counted again; the claim expires after the token lifetime. A claim whose units
the policy rejected is withdrawn, so that a later request with the token may be granted.
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
    """The state of a token at one owner; the values are sent between gateways."""

    FRESH = 0  # held by the claim that the query names
    CLAIMED = 1  # held by another claim, not settled
    GRANTED = 2  # settled: the units were counted
    UNSURE = 3  # the owner started less than a token lifetime ago, or is full
    UNKNOWN = 4  # result of a look-up: not claimed


class ClaimVerdict(IntEnum):
    """What a claimant has to do next."""

    WAIT = 0  # for more replies or timeouts
    DECIDE = 1  # request the units from the policy
    ALREADY_GRANTED = 2  # repeat the response
    BUSY = 3  # another claim is in progress; withdraw and try again
    NO_MAJORITY = 4  # too few owners replied with a fresh claim


class ClaimId(NamedTuple):
    """A claim: the claimant's replica number, and a number that is unique at the claimant."""

    claimant: int
    number: int


class OwnerReply(NamedTuple):
    """An owner's reply on a token; ``units`` are those granted."""

    state: TokenState
    claimant: int = NO_CLAIMANT
    units: float = 0.0


def token_name(customer: int, token: bytes) -> bytes:
    """Return the name of a token in messages between gateways: a hash of ``TOKEN_NAME_BYTES``."""
    return hashlib.blake2b(token, key=b"%d" % customer, digest_size=TOKEN_NAME_BYTES).digest()


def owners_of(name: bytes, replicas: Iterable[int]) -> list[int]:
    """Return the owners of a token: the first ``OWNERS_PER_TOKEN`` replicas of a set by hash weight."""

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
    """The tokens that one gateway owns: at most ``max_tokens``, each for ``lifetime_us`` microseconds."""

    def __init__(self, lifetime_us: int, max_tokens: int, now: int) -> None:
        self.lifetime_us = lifetime_us
        self.max_tokens = max_tokens
        self.reliable_from_us = now + lifetime_us
        # Names of changed tokens, collected while an observer has set this.
        self.changed_names: dict[Hashable, None] | None = None
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()  # in the order of their expiry

    def __len__(self) -> int:
        return len(self._entries)

    def claim(self, now: int, name: bytes, claim: ClaimId) -> OwnerReply:
        """Claim a token; a repeated claim gets the same reply."""
        entry = self._get(now, name)
        if entry is not None:
            return _reply(entry, claim)
        if now < self.reliable_from_us or len(self._entries) >= self.max_tokens:
            return OwnerReply(TokenState.UNSURE)
        self._entries[name] = _Entry(claim, now + self.lifetime_us)
        self._record_change(name)
        return OwnerReply(TokenState.FRESH, claim.claimant)

    def look_up(self, now: int, name: bytes) -> OwnerReply:
        """Return the state of a token without claiming it."""
        entry = self._get(now, name)
        if entry is not None:
            return _reply(entry, None)
        return OwnerReply(TokenState.UNSURE if now < self.reliable_from_us else TokenState.UNKNOWN)

    def settle(self, now: int, name: bytes, claim: ClaimId, units: float) -> None:
        """Record that the claimant had a majority and counted the units; overrides a minority claim."""
        entry = self._get(now, name)
        if entry is not None and entry.granted:
            return
        if entry is not None:
            entry.claim = claim
            entry.granted = True
            entry.units = units
            self._record_change(name)
        elif len(self._entries) < self.max_tokens:
            self._entries[name] = _Entry(claim, now + self.lifetime_us, True, units)
            self._record_change(name)

    def withdraw(self, now: int, name: bytes, claim: ClaimId) -> None:
        """Drop a claim whose claimant counted nothing; settled claims and claims of others are kept."""
        entry = self._get(now, name)
        if entry is not None and not entry.granted and entry.claim == claim:
            del self._entries[name]
            self._record_change(name)

    # Transfer to another process of this gateway (hot restart)

    def _record_change(self, name: bytes) -> None:
        if self.changed_names is not None:
            self.changed_names[name] = None

    def names(self) -> list[bytes]:
        """Return the names of all owned tokens."""
        return list(self._entries)

    def row(self, name: bytes) -> list[object] | None:
        """Return a token as plain values, or None if it is not owned."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return [name, *entry.claim, entry.expires_at_us, entry.granted, entry.units]

    def load(self, row: list[Any]) -> None:
        """Add a token from its ``row``. Raises ValueError."""
        name, claimant, number, expires_at, granted, units = row
        self._entries[name] = _Entry(ClaimId(claimant, number), expires_at, granted, units)

    def forget(self, name: bytes) -> None:
        """Remove a token that the other process has removed."""
        self._entries.pop(name, None)

    def _get(self, now: int, name: bytes) -> _Entry | None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if oldest.expires_at_us > now:
                break
            self._entries.popitem(last=False)
        entry = self._entries.get(name)
        # Entries added by ``load`` may not be in the order of their expiry.
        return entry if entry is not None and entry.expires_at_us > now else None


def _reply(entry: _Entry, claim: ClaimId | None) -> OwnerReply:
    if entry.granted:
        return OwnerReply(TokenState.GRANTED, entry.claim.claimant, entry.units)
    state = TokenState.FRESH if entry.claim == claim else TokenState.CLAIMED
    return OwnerReply(state, entry.claim.claimant)


@dataclass(slots=True)
class TokenClaim:
    """One claimant's claim on one token: collects the owners' replies and computes the verdict."""

    owners: list[int]
    replies: dict[int, OwnerReply] = field(default_factory=dict)
    timed_out_owners: set[int] = field(default_factory=set)

    @property
    def majority(self) -> int:
        """The number of fresh claims that is a majority of the owners."""
        return len(self.owners) // 2 + 1

    def add_reply(self, owner: int, reply: OwnerReply) -> None:
        """Add an owner's reply; it replaces an earlier reply of that owner."""
        if owner in self.owners:
            self.replies[owner] = reply

    def add_timeout(self, owner: int) -> None:
        """Record that an owner did not reply in time; ignored if it has replied."""
        if owner not in self.replies:
            self.timed_out_owners.add(owner)

    def verdict(self) -> ClaimVerdict:
        """Return the verdict from the replies and timeouts so far."""
        states = [reply.state for reply in self.replies.values()]
        has_majority = states.count(TokenState.FRESH) >= self.majority
        if TokenState.GRANTED in states:
            return ClaimVerdict.ALREADY_GRANTED
        if has_majority and TokenState.CLAIMED not in states:
            return ClaimVerdict.DECIDE
        if len(self.replies) + len(self.timed_out_owners) < len(self.owners):
            return ClaimVerdict.WAIT
        if has_majority:
            return ClaimVerdict.DECIDE  # the other claim cannot have a majority, too
        return ClaimVerdict.BUSY if TokenState.CLAIMED in states else ClaimVerdict.NO_MAJORITY

    @property
    def fresh_owners(self) -> list[int]:
        """The owners that replied with a fresh claim."""
        return [owner for owner, reply in self.replies.items() if reply.state is TokenState.FRESH]
