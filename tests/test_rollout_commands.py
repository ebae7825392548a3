"""Certificates, the first state, and commands on the replicated state."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane.rollout import replicated_state
from orchidlane.rollout.bootstrap import admission_request, bootstrap_state
from orchidlane.rollout.commands import (
    ApproveVersion,
    ChangeMembership,
    ClaimLeadership,
    ExtendRollout,
    FinishRollout,
    ProposeVersion,
    ResumeRollout,
    SettleMembership,
    StopRollout,
)
from orchidlane.rollout.errors import CommandRejectedError, StaleTermError
from orchidlane.rollout.replicated_state import ReplicatedState, RolloutPhase, encode_ranks
from orchidlane.rollout.version import (
    Certificate,
    ContentHashes,
    Version,
    VotingMember,
    cast_vote,
    certificate_error,
    has_quorum,
)

SECRET = b"a secret that is long enough"
OTHER_SECRET = b"another secret, as long as that"
MEMBERS = tuple(VotingMember(rank, 100 + rank) for rank in range(3))
OLD = ContentHashes("a" * 64, "c" * 64)
NEW = ContentHashes("b" * 64, "c" * 64)
THIRD = ContentHashes("d" * 64, "c" * 64)
ALL_RANKS = encode_ranks(range(5), 5)


def first_state() -> ReplicatedState:
    """Return the first state, created by three voters with the same files."""
    requests = {rank: admission_request(SECRET, rank, 100 + rank, OLD) for rank in range(3)}
    state = bootstrap_state(SECRET, range(3), requests, OLD)
    assert isinstance(state, ReplicatedState)
    return state


def led_state() -> ReplicatedState:
    """Return the first state with voter 0 as its leader, in term 1."""
    return ClaimLeadership(0, 1).apply(first_state())


def proposed(
    state: ReplicatedState, contents: ContentHashes = NEW, proposal_id: str = "one", reverts: int = 0
) -> ReplicatedState:
    version = state.rollout.version if state.rollout else state.current.version
    return ProposeVersion(state.term, proposal_id, contents, version.number, "me", "because", reverts).apply(
        state
    )


def approved(state: ReplicatedState, voters=(0, 1), target_ranks: bytes = ALL_RANKS) -> ReplicatedState:
    rollout = state.rollout
    votes = tuple(
        cast_vote(SECRET, MEMBERS[rank], rollout.version, rollout.term, True, "") for rank in voters
    )
    return ApproveVersion(state.term, rollout.version.number, votes, target_ranks).apply(state)


def finished(state: ReplicatedState) -> ReplicatedState:
    return FinishRollout(state.term, state.rollout.version.number, "").apply(state)


# Certificates


def test_a_certificate_is_valid_only_for_its_version_and_by_a_majority():
    good = approved(proposed(led_state())).rollout.certificate
    assert certificate_error(SECRET, good) == ""
    assert "seal of a vote does not match" in certificate_error(OTHER_SECRET, good)
    other_version = msgspec.structs.replace(
        good, version=msgspec.structs.replace(good.version, contents=THIRD)
    )
    assert "seal of a vote does not match" in certificate_error(SECRET, other_version)
    later_term = msgspec.structs.replace(good, term=good.term + 1)
    assert "seal of a vote does not match" in certificate_error(SECRET, later_term)
    one_vote = msgspec.structs.replace(good, votes=good.votes[:1])
    assert certificate_error(SECRET, one_vote) == "1 of 3 members approved, which is not a quorum"
    same_vote_twice = msgspec.structs.replace(good, votes=good.votes[:1] * 2)
    assert "not a quorum" in certificate_error(SECRET, same_vote_twice)
    assert "certificate has no members" in certificate_error(
        SECRET, msgspec.structs.replace(good, members=())
    )


def test_a_certificate_needs_a_quorum_of_approving_votes_of_its_members():
    version = Version(1, NEW, 0)
    rejecting = cast_vote(SECRET, MEMBERS[0], version, 1, False, "it is bad")
    approving = cast_vote(SECRET, MEMBERS[1], version, 1, True, "")
    other_store = cast_vote(SECRET, VotingMember(2, 999), version, 1, True, "")
    error = certificate_error(SECRET, Certificate(version, 1, MEMBERS, (rejecting, approving, other_store)))
    assert error == "2 of 3 members approved, which is not a quorum"
    forged = msgspec.structs.replace(rejecting, approves=True)
    assert "seal of a vote does not match" in certificate_error(
        SECRET, Certificate(version, 1, MEMBERS, (forged, approving))
    )


@given(st.sets(st.integers(0, 6)), st.sets(st.integers(0, 6)))
def test_two_quorums_share_a_member(first_ranks, second_ranks):
    members = [VotingMember(rank, rank) for rank in range(7)]
    groups = [{members[rank] for rank in ranks} for ranks in (first_ranks, second_ranks)]
    if all(has_quorum(members, group) for group in groups):
        assert groups[0] & groups[1]


# The first state


def test_the_first_state_needs_all_voters_with_the_same_files():
    requests = {rank: admission_request(SECRET, rank, 100 + rank, OLD) for rank in range(2)}
    assert bootstrap_state(SECRET, range(3), requests, OLD) == "no admission request received from voters [2]"
    requests[2] = admission_request(SECRET, 2, 102, NEW)
    assert (
        bootstrap_state(SECRET, range(3), requests, OLD) == "files differ from the local ones at voters [2]"
    )
    requests[2] = admission_request(OTHER_SECRET, 2, 102, OLD)
    assert "seal of a vote does not match" in bootstrap_state(SECRET, range(3), requests, OLD)
    assert certificate_error(SECRET, first_state().current) == ""


# Commands


def test_a_rollout_is_approved_extended_and_finished():
    state = proposed(led_state())
    assert state.rollout.phase is RolloutPhase.VOTING
    assert state.target_certificate(4).version.number == 0
    state = approved(state, target_ranks=encode_ranks([1, 4], 5))
    assert [state.target_certificate(rank).version.number for rank in range(5)] == [0, 1, 0, 0, 1]
    state = ExtendRollout(state.term, 1, ALL_RANKS).apply(state)
    assert state.target_certificate(0).version.number == 1
    state = finished(state)
    assert (state.current.version.number, state.rollout) == (1, None)
    assert [entry.outcome for entry in state.history] == ["done", "done"]


def test_a_concurrent_proposal_is_rejected_and_the_first_one_is_named():
    state = proposed(led_state())
    with pytest.raises(CommandRejectedError, match="version 1 of me is still being rolled out: because"):
        ProposeVersion(1, "two", THIRD, 0, "you", "also").apply(state)
    state = finished(approved(state))
    with pytest.raises(
        CommandRejectedError, match="made from version 0, but version 1 of me is later: because"
    ):
        ProposeVersion(1, "two", THIRD, 0, "you", "also").apply(state)


def test_a_repeated_proposal_is_idempotent():
    state = finished(approved(proposed(led_state(), proposal_id="one")))
    with pytest.raises(CommandRejectedError, match="already proposed as version 1"):
        ProposeVersion(1, "one", NEW, 1, "me", "because").apply(state)


def test_a_proposal_without_a_change_is_rejected():
    with pytest.raises(CommandRejectedError, match="already has these contents"):
        proposed(led_state(), OLD)


@pytest.mark.parametrize(
    "command",
    [
        ProposeVersion(1, "two", THIRD, 1, "me", "x"),
        ApproveVersion(1, 1, (), ALL_RANKS),
        StopRollout(1, 1, "x"),
        ResumeRollout(1, 1),
        FinishRollout(1, 1, ""),
        ExtendRollout(1, 1, ALL_RANKS),
        ChangeMembership(1, 2, 5),
        SettleMembership(1, 1),
    ],
    ids=lambda command: type(command).__name__,
)
def test_commands_of_a_replaced_leader_are_rejected(command):
    state = ClaimLeadership(1, 2).apply(proposed(led_state()))
    with pytest.raises(StaleTermError, match="term 1 is over"):
        command.apply(state)


def test_a_claim_of_a_term_that_has_started_is_rejected():
    state = ClaimLeadership(1, 2).apply(proposed(led_state()))
    with pytest.raises(CommandRejectedError, match="term 2 has already started"):
        ClaimLeadership(0, 2).apply(state)


def test_votes_of_an_earlier_term_do_not_certify():
    state = ClaimLeadership(1, 2).apply(proposed(led_state()))
    assert state.rollout.term == 2
    earlier_votes = tuple(
        cast_vote(SECRET, MEMBERS[rank], state.rollout.version, 1, True, "") for rank in (0, 1)
    )
    certified = ApproveVersion(2, 1, earlier_votes, ALL_RANKS).apply(state)
    assert "seal of a vote does not match" in certificate_error(SECRET, certified.rollout.certificate)


def test_reverting_a_rollout_in_progress_replaces_it_by_the_prior_contents():
    state = approved(proposed(led_state()), target_ranks=encode_ranks([1], 5))
    with pytest.raises(CommandRejectedError, match="requires the contents of the current version"):
        ProposeVersion(1, "undo", THIRD, 1, "me", "a regression", reverts=1).apply(state)
    reverting = ProposeVersion(1, "undo", OLD, 1, "me", "a regression", reverts=1).apply(state)
    assert (
        reverting.target_certificate(1).version.number == 1
    )  # until a quorum has approved the reverting one
    assert reverting.target_certificate(0).version.number == 0
    reverted = approved(reverting)
    assert {reverted.target_certificate(rank).version.number for rank in range(5)} == {2}
    assert reverted.target_certificate(0).version.contents == OLD
    assert reverted.history[-1].outcome == "undone"
    stopped = StopRollout(1, 2, "no").apply(reverting)
    assert stopped.rollout.version.number == 1
    assert stopped.halted_rollout is None
    with pytest.raises(CommandRejectedError, match="can't be reverted itself"):
        ProposeVersion(1, "undo it", NEW, 2, "me", "x", reverts=2).apply(reverted)


def test_a_reverted_version_gets_a_new_number():
    state = finished(approved(proposed(led_state())))
    state = finished(approved(proposed(state, OLD, "undo", reverts=1)))
    assert state.current.version.number == 2
    assert state.current.version.combined_hash == first_state().current.version.combined_hash
    decreased = msgspec.structs.replace(state, index=state.index + 1, latest_number=1)
    assert (
        replicated_state.broken_invariant(state, decreased)
        == "I1: the index did not grow by one, or the term or the latest number decreased"
    )


def test_a_paused_rollout_is_not_extended_until_it_is_resumed():
    state = approved(proposed(led_state()), target_ranks=encode_ranks([1], 5))
    paused = StopRollout(1, 1, "wait").apply(state)
    with pytest.raises(CommandRejectedError, match="rollout is paused: wait"):
        ExtendRollout(1, 1, ALL_RANKS).apply(paused)
    with pytest.raises(CommandRejectedError, match="already paused: wait"):
        StopRollout(1, 1, "wait").apply(paused)
    assert (
        ExtendRollout(1, 1, ALL_RANKS)
        .apply(ResumeRollout(1, 1).apply(paused))
        .target_certificate(0)
        .version.number
        == 1
    )


def test_members_change_one_at_a_time_and_only_once_settled():
    state = ChangeMembership(1, 2, 555).apply(led_state())
    assert state.previous_members == MEMBERS
    with pytest.raises(CommandRejectedError, match="not settled"):
        ChangeMembership(1, 1, 556).apply(state)
    with pytest.raises(CommandRejectedError, match="another state"):
        SettleMembership(1, state.index - 1).apply(state)
    settled = SettleMembership(1, state.index).apply(state)
    assert settled.previous_members == ()
    assert VotingMember(2, 555) in settled.members
    with pytest.raises(CommandRejectedError, match="already as requested"):
        ChangeMembership(1, 2, 555).apply(settled)
    without_voter_2 = ChangeMembership(1, 2, 0).apply(settled)
    assert [member.rank for member in without_voter_2.members] == [0, 1]
    two_changed = msgspec.structs.replace(
        settled, index=settled.index + 1, members=(VotingMember(0, 1), VotingMember(1, 2))
    )
    assert replicated_state.broken_invariant(settled, two_changed).startswith("I5")


# Each command as its kind, a number that its arguments depend on, and a flag that does the same
RANDOM_COMMANDS = st.lists(st.tuples(st.integers(0, 8), st.integers(0, 4), st.booleans()), max_size=40)


@settings(max_examples=150, deadline=None)
@given(RANDOM_COMMANDS)
def test_invariants_hold_under_arbitrary_commands(random_commands):
    state = first_state()
    for number, (kind, value, flag) in enumerate(random_commands):
        version = state.rollout.version if state.rollout else state.current.version
        contents = state.current.version.contents if flag else ContentHashes(f"{value:064x}", "c" * 64)
        votes = tuple(
            cast_vote(SECRET, member, version, state.term, True, "") for member in state.members[: 1 + value]
        )
        command = (
            ClaimLeadership(value % 3, state.term + flag),
            ProposeVersion(
                state.term, f"p{number}", contents, version.number, "me", "x", version.number * flag
            ),
            ApproveVersion(state.term, version.number, votes, ALL_RANKS),
            StopRollout(state.term, version.number, "x"),
            FinishRollout(state.term, version.number, ""),
            ChangeMembership(state.term, value % 3, number * flag),
            SettleMembership(state.term, state.index),
            ExtendRollout(state.term, version.number, ALL_RANKS),
            ResumeRollout(state.term, version.number),
        )[kind]
        try:
            after = command.apply(state)
        except CommandRejectedError:
            continue
        assert replicated_state.broken_invariant(state, after) == "", (command, state)
        assert replicated_state.decode(replicated_state.encode(after)) == after
        state = after
    assert len(state.history) <= replicated_state.MAX_HISTORY_ENTRIES


def test_adoption_without_a_certificate_breaks_an_invariant():
    state = proposed(led_state())
    rollout = msgspec.structs.replace(state.rollout, phase=RolloutPhase.ADOPTING, target_ranks=ALL_RANKS)
    uncertified = msgspec.structs.replace(state, index=state.index + 1, rollout=rollout)
    assert (
        replicated_state.broken_invariant(state, uncertified)
        == "I2: a version is being adopted without the certificate of a quorum"
    )
