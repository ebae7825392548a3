"""The state that the voters agree on; ``commands`` has its transitions.

Invariants, which ``broken_invariant`` checks for each transition, and the tests for random commands:

- I1 the index grows by one; the term and the latest number never decrease;
- I2 the current version and one that is being adopted have a certificate, by a quorum of those who were the
  members at its approval;
- I3 at most one rollout is in progress, besides a halted one that it reverts;
- I4 a version that reverts a rollout in progress has the contents of the version before that rollout;
- I5 members change one at a time, and only once the previous change is settled.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from orchidlane.rollout.version import Certificate, Version, VotingMember, has_quorum

MAX_HISTORY_ENTRIES = 16  # gateways keep the contents of these versions

# Outcomes of a version, as they are stored
DONE = "done"
REJECTED = "refused"
REVERTED = "undone"


class RolloutPhase(Enum):
    """The phases of a rollout; the values are stored."""

    VOTING = "asked"
    ADOPTING = "adopting"


class Rollout(msgspec.Struct, frozen=True):
    """The rollout of a version, from the vote on it until all gateways have adopted it.

    ``target_ranks`` are the gateways that should run the version (see ``encode_ranks``). A rollout with a
    ``pause_reason`` is not extended to more gateways.
    """

    version: Version
    term: int
    phase: RolloutPhase = msgspec.field(default=RolloutPhase.VOTING, name="stage")
    certificate: Certificate | None = None
    target_ranks: bytes = msgspec.field(default=b"", name="reach")
    pause_reason: str = msgspec.field(default="", name="paused")

    def includes(self, rank: int) -> bool:
        """Return whether a gateway should run the version of this rollout."""
        return self.phase is RolloutPhase.ADOPTING and has_rank(self.target_ranks, rank)


class HistoryEntry(msgspec.Struct, frozen=True):
    """The outcome of a version: DONE, REJECTED or REVERTED."""

    version: Version
    outcome: str = msgspec.field(name="state")
    reason: str = msgspec.field(default="", name="why")


class ReplicatedState(msgspec.Struct, frozen=True):
    """The state that the voters agree on; everything else about rollouts is derived from it."""

    index: int
    members: tuple[VotingMember, ...] = msgspec.field(name="seats")
    current: Certificate
    term: int = 0
    leader: int = -1  # rank; -1: none yet
    # the members before their last change, until that is settled
    previous_members: tuple[VotingMember, ...] = msgspec.field(default=(), name="before")
    rollout: Rollout | None = msgspec.field(default=None, name="change")
    # the rollout that ``rollout`` reverts, if it reverts one in progress
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
        """Return all versions that the state contains, the latest first."""
        by_number = {entry.version.number: entry.version for entry in self.history}
        by_number[self.current.version.number] = self.current.version
        for rollout in (self.rollout, self.halted_rollout):
            if rollout is not None:
                by_number[rollout.version.number] = rollout.version
        return [by_number[number] for number in sorted(by_number, reverse=True)]


def encode(state: ReplicatedState) -> bytes:
    """Encode a state; equal states have equal bytes."""
    return msgspec.msgpack.encode(state)


def decode(data: bytes) -> ReplicatedState:
    """Decode a state from another process. Raises msgspec.DecodeError."""
    return msgspec.msgpack.decode(data, type=ReplicatedState)


def encode_ranks(ranks: Iterable[int], gateways: int) -> bytes:
    """Encode a set of ranks as a bitmap, which has the same length for all ranks of a fleet."""
    bits = bytearray(-(-gateways // 8))
    for rank in ranks:
        bits[rank >> 3] |= 1 << (rank & 7)
    return bytes(bits)


def has_rank(bits: bytes, rank: int) -> bool:
    """Return whether a rank is in a bitmap of ``encode_ranks``."""
    return 0 <= rank < 8 * len(bits) and bool(bits[rank >> 3] >> (rank & 7) & 1)


def broken_invariant(before: ReplicatedState, after: ReplicatedState) -> str:
    """Return which invariant the transition between two states violates; "" if none."""
    if (
        after.index != before.index + 1
        or after.term < before.term
        or after.latest_number < before.latest_number
    ):
        return "I1: the index did not grow by one, or the term or the latest number decreased"
    if any(_lacks_certificate(rollout) for rollout in (after.rollout, after.halted_rollout)):
        return "I2: a version is being adopted without the certificate of a quorum"
    if after.halted_rollout is not None:
        if after.rollout is None:
            return "I3: a rollout is halted, but none reverts it"
        if after.rollout.version.contents != after.current.version.contents:
            return "I4: a version that reverts a rollout does not have the contents of the current version"
    if _breaks_membership_change(before, after):
        return "I5: more than one member changed, or the previous change was not settled"
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
    changes_several = len({member.rank for member in changed}) > 1
    return bool(before.previous_members) or changes_several or after.previous_members != before.members
