"""The one value that the voters agree on. ``commands`` leads from one state to the next.

Invariants, checked by ``broken_invariant`` and searched in the tests:

- I1 the index, the term and the latest number only grow;
- I2 the current version and one that is adopted have a certificate by a quorum of the members of their time;
- I3 at most one rollout is in progress, beside one that it takes back;
- I4 a version that takes back a rollout in progress has the contents of the version before that one;
- I5 members change one at a time, and not while the previous change of them is not settled.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from orchidlane.rollout.version import Certificate, Version, VotingMember, has_quorum

MAX_HISTORY_ENTRIES = 16  # the contents of these versions are kept

# What became of a version, as it is stored
DONE = "done"
REFUSED = "refused"
UNDONE = "undone"


class RolloutPhase(Enum):
    """How far a rollout has come; the values are stored."""

    VOTING = "asked"
    ADOPTING = "adopting"


class Rollout(msgspec.Struct, frozen=True):
    """A version on its way to the gateways.

    ``target_ranks`` are the gateways that should run it (see ``encode_ranks``); a rollout with a
    ``pause_reason`` is not extended.
    """

    version: Version
    term: int
    phase: RolloutPhase = msgspec.field(default=RolloutPhase.VOTING, name="stage")
    certificate: Certificate | None = None
    target_ranks: bytes = msgspec.field(default=b"", name="reach")
    pause_reason: str = msgspec.field(default="", name="paused")

    def includes(self, rank: int) -> bool:
        """Tell whether a gateway should run its version."""
        return self.phase is RolloutPhase.ADOPTING and has_rank(self.target_ranks, rank)


class HistoryEntry(msgspec.Struct, frozen=True):
    """What became of a version: DONE, REFUSED or UNDONE."""

    version: Version
    outcome: str = msgspec.field(name="state")
    reason: str = msgspec.field(default="", name="why")


class ReplicatedState(msgspec.Struct, frozen=True):
    """What the voters agree on; all else follows from it."""

    index: int
    members: tuple[VotingMember, ...] = msgspec.field(name="seats")
    current: Certificate
    term: int = 0
    leader: int = -1  # rank, -1: none yet
    # the members before their last change, until that is settled
    previous_members: tuple[VotingMember, ...] = msgspec.field(default=(), name="before")
    rollout: Rollout | None = msgspec.field(default=None, name="change")
    # what the rollout takes back
    halted_rollout: Rollout | None = msgspec.field(default=None, name="halted")
    latest_number: int = msgspec.field(default=0, name="latest")
    history: tuple[HistoryEntry, ...] = ()

    def target_certificate(self, rank: int) -> Certificate:
        """Return the certificate of the version that a gateway should run."""
        for rollout in (self.rollout, self.halted_rollout):
            if rollout is not None and rollout.includes(rank):
                assert rollout.certificate is not None
                return rollout.certificate
        return self.current

    def versions(self) -> list[Version]:
        """Return all versions that it names, the latest first."""
        known = {entry.version.number: entry.version for entry in self.history}
        known[self.current.version.number] = self.current.version
        for rollout in (self.rollout, self.halted_rollout):
            if rollout is not None:
                known[rollout.version.number] = rollout.version
        return [known[number] for number in sorted(known, reverse=True)]


def encode(state: ReplicatedState) -> bytes:
    """Encode a state; equal states have equal bytes."""
    return msgspec.msgpack.encode(state)


def decode(data: bytes) -> ReplicatedState:
    """Decode a state from another process. Raises msgspec.DecodeError."""
    return msgspec.msgpack.decode(data, type=ReplicatedState)


def encode_ranks(ranks: Iterable[int], gateways: int) -> bytes:
    """Encode a set of ranks as a bit map."""
    bits = bytearray(-(-gateways // 8))
    for rank in ranks:
        bits[rank >> 3] |= 1 << (rank & 7)
    return bytes(bits)


def has_rank(bits: bytes, rank: int) -> bool:
    """Tell whether a rank is in such a bit map."""
    return 0 <= rank < 8 * len(bits) and bool(bits[rank >> 3] >> (rank & 7) & 1)


def broken_invariant(before: ReplicatedState, after: ReplicatedState) -> str:
    """Return which invariant the step from one state to the next broke; "" if none."""
    if (
        after.index != before.index + 1
        or after.term < before.term
        or after.latest_number < before.latest_number
    ):
        return "I1: something went back"
    if any(_lacks_certificate(rollout) for rollout in (after.rollout, after.halted_rollout)):
        return "I2: adopted without a quorum's certificate"
    if after.halted_rollout is not None:
        if after.rollout is None:
            return "I3: a rollout is halted without one that takes it back"
        if after.rollout.version.contents != after.current.version.contents:
            return "I4: a version that takes back a rollout has other contents than the prior version"
    if _breaks_membership_change(before, after):
        return "I5: more than one member changed"
    return ""


def _lacks_certificate(rollout: Rollout | None) -> bool:
    if rollout is None or rollout.phase is not RolloutPhase.ADOPTING:
        return False
    certificate = rollout.certificate
    if certificate is None or certificate.version != rollout.version:
        return True
    approving = {vote.member for vote in certificate.votes if vote.approves}
    return not has_quorum(certificate.members, approving)


def _breaks_membership_change(before: ReplicatedState, after: ReplicatedState) -> bool:
    changed = set(after.members) ^ set(before.members)
    if not changed:
        return False
    several = len({member.rank for member in changed}) > 1
    return bool(before.previous_members) or several or after.previous_members != before.members
