"""Commands: the transitions from one replicated state to the next.

    none ──Propose──> VOTING ──Approve──> ADOPTING ──Finish──> none; its version is the current one
                        │ Stop              │ Propose a version that reverts it: that rollout is VOTING and
                        └──> none           │ this one is halted
                                            ├── the reverting one is approved: it replaces the halted one
                                            └── the reverting one is stopped: the halted one continues

A command is data and ``apply`` is pure: the same command on the same state gives the same bytes everywhere.
Every command of a leader names the leader's term, and a state of a later term rejects it. A leader that was
replaced can therefore change nothing.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidlane.rollout.errors import CommandRejectedError, StaleTermError
from orchidlane.rollout.replicated_state import (
    DONE,
    MAX_HISTORY_ENTRIES,
    REJECTED,
    REVERTED,
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
        """Return the next state; a vote in progress starts again. Raises CommandRejectedError."""
        if state.term >= self.term:
            raise CommandRejectedError(
                f"term {state.term} has already started, led by gateway {state.leader}"
            )
        if self.rank not in {member.rank for member in state.members}:
            raise CommandRejectedError(f"gateway {self.rank} is no longer a voter")
        rollout = state.rollout
        if rollout is not None and rollout.phase is RolloutPhase.VOTING:
            rollout = msgspec.structs.replace(rollout, term=self.term)
        return _next_state(state, term=self.term, leader=self.rank, rollout=rollout)


class ProposeVersion(msgspec.Struct, frozen=True):
    """Start a rollout. ``base`` is the number of the latest version that its author had seen.

    ``proposal_id`` identifies a proposal that is sent again, so that it starts one rollout only.
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

        There is one rollout at a time, except that a second one may revert the rollout in progress.
        """
        _require_term(state, self.term)
        for version in state.versions():
            if version.proposal_id == self.proposal_id:
                raise CommandRejectedError(f"already proposed as version {version.number}")
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
                f"version {other.number} of {other.author} is still being rolled out: {other.reason}"
            )
        if state.halted_rollout is not None or active.version.reverts:
            raise CommandRejectedError("a rollout that reverts a version can't be reverted itself")
        if active.phase is not RolloutPhase.ADOPTING:
            raise CommandRejectedError(
                f"version {active.version.number} is not approved yet: stop it instead of reverting it"
            )
        if self.contents != state.current.version.contents:
            raise CommandRejectedError(
                "reverting a rollout in progress requires the contents of the current version"
            )

    def _check_base(self, latest: Version) -> None:
        if self.base != latest.number:
            raise CommandRejectedError(
                f"made from version {self.base}, but version {latest.number} of {latest.author} is later:"
                f" {latest.reason}"
            )
        if self.contents == latest.contents:
            raise CommandRejectedError(f"version {latest.number} already has these contents")

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
    """A quorum approved the version: the first gateways should run it.

    The sender has checked the seals of the votes.
    """

    term: int
    number: int
    votes: tuple[Vote, ...]
    target_ranks: bytes = msgspec.field(name="reach")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state; the halted rollout, if any, is replaced. Raises CommandRejectedError."""
        rollout = _require_voting(state, self.term, self.number)
        approving = tuple(vote for vote in self.votes if vote.approves)
        if not has_quorum(state.members, {vote.member for vote in approving}):
            raise CommandRejectedError("no quorum of the members approved the version")
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
            history = (*history, HistoryEntry(halted, REVERTED, f"by version {rollout.version.number}"))
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
            raise CommandRejectedError(f"the rollout is paused: {rollout.pause_reason}")
        union = bytes(a | b for a, b in zip(rollout.target_ranks, self.target_ranks, strict=True))
        if union == rollout.target_ranks:
            raise CommandRejectedError("the rollout already includes all of these gateways")
        return _next_state(state, rollout=msgspec.structs.replace(rollout, target_ranks=union))


class StopRollout(msgspec.Struct, frozen=True):
    """Reject a version that is voted on, or pause the rollout of one that is being adopted."""

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
            history = (*state.history, HistoryEntry(rollout.version, REJECTED, reason))
            return _next_state(state, rollout=state.halted_rollout, halted_rollout=None, history=history)
        if rollout.pause_reason:
            raise CommandRejectedError(f"the rollout is already paused: {rollout.pause_reason}")
        paused = msgspec.structs.replace(rollout, pause_reason=reason or "by command")
        return _next_state(state, rollout=paused)


class ResumeRollout(msgspec.Struct, frozen=True):
    """Continue a paused rollout."""

    term: int
    number: int
    command_id: str = msgspec.field(default="", name="id")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError."""
        rollout = _require_adopting(state, self.term, self.number)
        if not rollout.pause_reason:
            raise CommandRejectedError("the rollout is not paused")
        return _next_state(state, rollout=msgspec.structs.replace(rollout, pause_reason=""))


class FinishRollout(msgspec.Struct, frozen=True):
    """Every gateway runs the version or does not serve; ``reason`` names those that do not serve."""

    term: int
    number: int
    reason: str = msgspec.field(name="why")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state; the vote on a following version starts. Raises CommandRejectedError."""
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
    """A rank becomes a member, a member gets another store, or (with store 0) a member leaves."""

    term: int
    rank: int
    store_id: int = msgspec.field(name="store")

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError.

        One member changes at a time. Until the change is settled, a majority of the old members and a
        majority of the new ones have to agree on each state.
        """
        _require_term(state, self.term)
        if state.previous_members:
            raise CommandRejectedError("the previous membership change is not settled yet")
        members = tuple(member for member in state.members if member.rank != self.rank)
        if self.store_id:
            added = VotingMember(self.rank, self.store_id)
            members = tuple(sorted((*members, added), key=lambda member: member.rank))
        if members == state.members:
            raise CommandRejectedError("the membership is already as requested")
        if not members:
            raise CommandRejectedError("the last member can't leave")
        return _next_state(state, members=members, previous_members=state.members)


class SettleMembership(msgspec.Struct, frozen=True):
    """The state with this index is chosen, so the previous members no longer have to agree."""

    term: int
    index: int

    def apply(self, state: ReplicatedState) -> ReplicatedState:
        """Return the next state. Raises CommandRejectedError."""
        _require_term(state, self.term)
        if state.index != self.index or not state.previous_members:
            raise CommandRejectedError(
                "another state was chosen since, or no membership change is in progress"
            )
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
        raise CommandRejectedError(f"version {number} is not being rolled out")
    return state.rollout


def _require_voting(state: ReplicatedState, term: int, number: int) -> Rollout:
    _require_term(state, term)
    rollout = _require_rollout(state, number)
    if rollout.phase is not RolloutPhase.VOTING or rollout.term != term:
        raise CommandRejectedError(f"version {number} is not being voted on in term {term}")
    return rollout


def _require_adopting(state: ReplicatedState, term: int, number: int) -> Rollout:
    _require_term(state, term)
    rollout = _require_rollout(state, number)
    if rollout.phase is not RolloutPhase.ADOPTING:
        raise CommandRejectedError(f"version {number} is not approved, so it is not being adopted")
    return rollout


def _next_state(state: ReplicatedState, **changes: Any) -> ReplicatedState:
    history = changes.pop("history", state.history)
    return msgspec.structs.replace(
        state, index=state.index + 1, history=history[-MAX_HISTORY_ENTRIES:], **changes
    )
