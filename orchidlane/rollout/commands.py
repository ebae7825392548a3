"""Commands: the transitions from one replicated state to the next.

    none ──Propose──> VOTING ──Approve──> ADOPTING ──Finish──> none, its version is the current one
                        │ Stop              │ Propose that reverts it: the new one is VOTING, this one halted
                        └──> none           └──> approved, it replaces the halted one; stopped, that goes on

A command is data and ``apply`` is pure: the same command on the same state gives the same bytes anywhere.
Every command of a leader names its term, and a state of a later term rejects it; a leader that was replaced
can therefore change nothing.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidlane.rollout.errors import CommandRejectedError, StaleTermError
from orchidlane.rollout.replicated_state import (
    DONE,
    MAX_HISTORY_ENTRIES,
    REFUSED,
    UNDONE,
    HistoryEntry,
    ReplicatedState,
    Rollout,
    RolloutPhase,
)
from orchidlane.rollout.version import (
    MAX_TEXT_CHARACTERS,
    Certificate,
    ContentHashes,
    Version,
    Vote,
    VotingMember,
    has_quorum,
)


class ClaimLeadership(msgspec.Struct, frozen=True):
    """A voter becomes the leader of a new term."""

    rank: int
    term: int

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state; voting starts anew in each term. Raises CommandRejectedError."""
        if state.term >= self.term:
            raise CommandRejectedError(f"term {state.term} has begun, led by gateway {state.leader}")
        if self.rank not in {member.rank for member in state.members}:
            raise CommandRejectedError(f"gateway {self.rank} is no voter any more")
        rollout = state.rollout
        if rollout is not None and rollout.phase is RolloutPhase.VOTING:
            rollout = msgspec.structs.replace(rollout, term=self.term)
        return _next_state(state, term=self.term, leader=self.rank, rollout=rollout)


class ProposeVersion(msgspec.Struct, frozen=True):
    """Start a rollout; ``base`` is the latest version that its author knew of.

    ``proposal_id`` makes it idempotent.
    """

    term: int
    proposal_id: str = msgspec.field(name="id")
    contents: ContentHashes = msgspec.field(name="parts")
    base: int
    author: str
    reason: str
    reverts: int = msgspec.field(default=0, name="undoes")
    followed_by: tuple[ContentHashes, ...] = msgspec.field(default=(), name="then")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError.

        There is one rollout at a time, but for one that takes back the rollout in progress.
        """
        _require_term(state, self.term)
        for known in state.versions():
            if known.proposal_id == self.proposal_id:
                raise CommandRejectedError(f"known already as version {known.number}")
        active = state.rollout
        if active is None:
            latest = state.current.version
        else:
            self._check_may_halt(state, active)
            latest = active.version
        self._check_base(latest)
        version = self._make_version(state.latest_number + 1)
        return _next_state(
            state,
            rollout=Rollout(version, state.term),
            halted_rollout=active,
            latest_number=version.number,
        )

    def _check_may_halt(self, state: ReplicatedState, active: Rollout) -> None:
        if not active.version.number == self.reverts != 0:
            other = active.version
            raise CommandRejectedError(
                f"version {other.number} of {other.author} is on its way: {other.reason}"
            )
        if state.halted_rollout is not None or active.version.reverts:
            raise CommandRejectedError("what takes a change back is itself on its way")
        if active.phase is not RolloutPhase.ADOPTING:
            raise CommandRejectedError(
                f"version {active.version.number} is not approved yet: stop it instead"
            )
        if self.contents != state.current.version.contents:
            raise CommandRejectedError("to take a change back on its way, the prior contents are wanted")

    def _check_base(self, latest: Version) -> None:
        if self.base != latest.number:
            raise CommandRejectedError(
                f"made from version {self.base}, but {latest.number} of {latest.author} came since:"
                f" {latest.reason}"
            )
        if self.contents == latest.contents:
            raise CommandRejectedError(f"version {latest.number} has these contents already")

    def _make_version(self, number: int) -> Version:
        return Version(
            number=number,
            contents=self.contents,
            base=self.base,
            author=self.author[:MAX_TEXT_CHARACTERS],
            reason=self.reason[:MAX_TEXT_CHARACTERS],
            reverts=self.reverts,
            proposal_id=self.proposal_id,
            followed_by=self.followed_by,
        )


class ApproveVersion(msgspec.Struct, frozen=True):
    """A quorum approved the version: the first gateways should run it. The votes' seals were checked."""

    term: int
    number: int
    votes: tuple[Vote, ...]
    target_ranks: bytes = msgspec.field(name="reach")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state; a rollout that it takes back is over. Raises CommandRejectedError."""
        rollout = _require_voting(state, self.term, self.number)
        approving = tuple(vote for vote in self.votes if vote.approves)
        if not has_quorum(state.members, {vote.member for vote in approving}):
            raise CommandRejectedError("no quorum said yes")
        certificate = Certificate(rollout.version, rollout.term, state.members, approving)
        rollout = msgspec.structs.replace(
            rollout,
            phase=RolloutPhase.ADOPTING,
            certificate=certificate,
            target_ranks=self.target_ranks,
        )
        history = state.history
        if state.halted_rollout is not None:
            halted = state.halted_rollout.version
            history = (*history, HistoryEntry(halted, UNDONE, f"by version {rollout.version.number}"))
        return _next_state(state, rollout=rollout, halted_rollout=None, history=history)


class ExtendRollout(msgspec.Struct, frozen=True):
    """More gateways should run the version."""

    term: int
    number: int
    target_ranks: bytes = msgspec.field(name="reach")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state; gateways are only added. Raises CommandRejectedError."""
        rollout = _require_adopting(state, self.term, self.number)
        if rollout.pause_reason:
            raise CommandRejectedError(f"it is stopped: {rollout.pause_reason}")
        union = bytes(a | b for a, b in zip(rollout.target_ranks, self.target_ranks, strict=True))
        if union == rollout.target_ranks:
            raise CommandRejectedError("nobody is added")
        return _next_state(state, rollout=msgspec.structs.replace(rollout, target_ranks=union))


class StopRollout(msgspec.Struct, frozen=True):
    """End a rollout that is voted on, or pause one that is being adopted."""

    term: int
    number: int
    reason: str = msgspec.field(name="why")
    command_id: str = msgspec.field(default="", name="id")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError."""
        _require_term(state, self.term)
        rollout = _require_rollout(state, self.number)
        reason = self.reason[:MAX_TEXT_CHARACTERS]
        if rollout.phase is RolloutPhase.VOTING:
            history = (*state.history, HistoryEntry(rollout.version, REFUSED, reason))
            return _next_state(state, rollout=state.halted_rollout, halted_rollout=None, history=history)
        if rollout.pause_reason:
            raise CommandRejectedError(f"it is stopped already: {rollout.pause_reason}")
        paused = msgspec.structs.replace(rollout, pause_reason=reason or "by command")
        return _next_state(state, rollout=paused)


class ResumeRollout(msgspec.Struct, frozen=True):
    """Let a paused rollout go on."""

    term: int
    number: int
    command_id: str = msgspec.field(default="", name="id")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError."""
        rollout = _require_adopting(state, self.term, self.number)
        if not rollout.pause_reason:
            raise CommandRejectedError("it is not stopped")
        return _next_state(state, rollout=msgspec.structs.replace(rollout, pause_reason=""))


class FinishRollout(msgspec.Struct, frozen=True):
    """Every gateway runs the version or does not serve; ``reason`` names those that do not serve."""

    term: int
    number: int
    reason: str = msgspec.field(name="why")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state; a version that follows is voted on at once. Raises CommandRejectedError."""
        rollout = _require_adopting(state, self.term, self.number)
        assert rollout.certificate is not None
        done = rollout.version
        following = None
        latest_number = state.latest_number
        if done.followed_by:
            latest_number += 1
            following = Rollout(_following_version(done, latest_number), state.term)
        return _next_state(
            state,
            rollout=following,
            current=rollout.certificate,
            history=(*state.history, HistoryEntry(done, DONE, self.reason[:MAX_TEXT_CHARACTERS])),
            latest_number=latest_number,
        )


def _following_version(done: Version, number: int) -> Version:
    contents, *later = done.followed_by
    return msgspec.structs.replace(
        done, number=number, contents=contents, base=done.number, reverts=0, followed_by=tuple(later)
    )


class ChangeMembership(msgspec.Struct, frozen=True):
    """A member votes with another store, a rank becomes a member, or (store 0) it leaves."""

    term: int
    rank: int
    store_id: int = msgspec.field(name="store")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError.

        One member changes at a time; until that is settled the old and the new members both have to agree.
        """
        _require_term(state, self.term)
        if state.previous_members:
            raise CommandRejectedError("the last membership change is not settled")
        members = tuple(member for member in state.members if member.rank != self.rank)
        if self.store_id:
            added = VotingMember(self.rank, self.store_id)
            members = tuple(sorted((*members, added), key=lambda member: member.rank))
        if members == state.members:
            raise CommandRejectedError("the members are so already")
        if not members:
            raise CommandRejectedError("the last voter can't leave")
        return _next_state(state, members=members, previous_members=state.members)


class SettleMembership(msgspec.Struct, frozen=True):
    """The state with this index is chosen: the previous members no longer have to agree."""

    term: int
    index: int

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError."""
        _require_term(state, self.term)
        if state.index != self.index or not state.previous_members:
            raise CommandRejectedError("another state was chosen since")
        return _next_state(state, previous_members=())


Command = (
    ClaimLeadership
    | ProposeVersion
    | ApproveVersion
    | ExtendRollout
    | StopRollout
    | ResumeRollout
    | FinishRollout
    | ChangeMembership
    | SettleMembership
)


def _require_term(state: ReplicatedState, term: int) -> None:
    if state.term != term:
        raise StaleTermError(f"term {term} is over: gateway {state.leader} leads in term {state.term}")


def _require_rollout(state: ReplicatedState, number: int) -> Rollout:
    if state.rollout is None or state.rollout.version.number != number:
        raise CommandRejectedError(f"version {number} is not on its way")
    return state.rollout


def _require_voting(state: ReplicatedState, term: int, number: int) -> Rollout:
    _require_term(state, term)
    rollout = _require_rollout(state, number)
    if rollout.phase is not RolloutPhase.VOTING or rollout.term != term:
        raise CommandRejectedError(f"version {number} is not asked about in term {term}")
    return rollout


def _require_adopting(state: ReplicatedState, term: int, number: int) -> Rollout:
    _require_term(state, term)
    rollout = _require_rollout(state, number)
    if rollout.phase is not RolloutPhase.ADOPTING:
        raise CommandRejectedError(f"version {number} is not approved")
    return rollout


def _next_state(state: ReplicatedState, **changes: Any) -> ReplicatedState:
    history = changes.pop("history", state.history)
    return msgspec.structs.replace(
        state, index=state.index + 1, history=history[-MAX_HISTORY_ENTRIES:], **changes
    )
