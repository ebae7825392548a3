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
OTHER = b"another secret, as long as that"
MEMBERS = tuple(VotingMember(rank, 100 + rank) for rank in range(3))
OLD = ContentHashes("a" * 64, "c" * 64)
NEW = ContentHashes("b" * 64, "c" * 64)
THIRD = ContentHashes("d" * 64, "c" * 64)
ALL = encode_ranks(range(5), 5)


def first_state() -> ReplicatedState:
    requests = {rank: admission_request(SECRET, rank, 100 + rank, OLD) for rank in range(3)}
    state = bootstrap_state(SECRET, range(3), requests, OLD)
    assert isinstance(state, ReplicatedState)
    return state


def led_state() -> ReplicatedState:
    return ClaimLeadership(0, 1).apply(first_state())


def proposed(
    state: ReplicatedState, contents: ContentHashes = NEW, proposal_id: str = "one", reverts: int = 0
) -> ReplicatedState:
    version = state.rollout.version if state.rollout else state.current.version
    return ProposeVersion(state.term, proposal_id, contents, version.number, "me", "because", reverts).apply(
        state
    )


def approved(state: ReplicatedState, yes=(0, 1), reach: bytes = ALL) -> ReplicatedState:
    rollout = state.rollout
    votes = tuple(cast_vote(SECRET, MEMBERS[rank], rollout.version, rollout.term, True, "") for rank in yes)
    return ApproveVersion(state.term, rollout.version.number, votes, reach).apply(state)


def finished(state: ReplicatedState) -> ReplicatedState:
    return FinishRollout(state.term, state.rollout.version.number, "").apply(state)


# Certificates


def test_a_certificate_is_valid_for_its_version_and_a_majority_of_its_members_alone():
    good = approved(proposed(led_state())).rollout.certificate
    assert certificate_error(SECRET, good) == ""
    assert "sealed" in certificate_error(OTHER, good)
    other = msgspec.structs.replace(good, version=msgspec.structs.replace(good.version, contents=THIRD))
    assert "sealed" in certificate_error(SECRET, other)
    later = msgspec.structs.replace(good, term=good.term + 1)
    assert "sealed" in certificate_error(SECRET, later)
    one = msgspec.structs.replace(good, votes=good.votes[:1])
    assert certificate_error(SECRET, one) == "1 of 3 voters are no quorum"
    twice = msgspec.structs.replace(good, votes=good.votes[:1] * 2)
    assert "no quorum" in certificate_error(SECRET, twice)
    assert "names no voters" in certificate_error(SECRET, msgspec.structs.replace(good, members=()))


def test_rejections_and_votes_of_other_stores_do_not_count_for_a_certificate():
    version = Version(1, NEW, 0)
    no = cast_vote(SECRET, MEMBERS[0], version, 1, False, "it is bad")
    yes = cast_vote(SECRET, MEMBERS[1], version, 1, True, "")
    stranger = cast_vote(SECRET, VotingMember(2, 999), version, 1, True, "")
    error = certificate_error(SECRET, Certificate(version, 1, MEMBERS, (no, yes, stranger)))
    assert error == "2 of 3 voters are no quorum"
    turned = msgspec.structs.replace(no, approves=True)
    assert "sealed" in certificate_error(SECRET, Certificate(version, 1, MEMBERS, (turned, yes)))


@given(st.sets(st.integers(0, 6)), st.sets(st.integers(0, 6)))
def test_two_quorums_share_a_member(ones, others):
    seats = [VotingMember(rank, rank) for rank in range(7)]
    both = [{seats[rank] for rank in ranks} for ranks in (ones, others)]
    if all(has_quorum(seats, those) for those in both):
        assert both[0] & both[1]


# The first state


def test_the_first_state_needs_all_voters_with_the_same_files():
    requests = {rank: admission_request(SECRET, rank, 100 + rank, OLD) for rank in range(2)}
    assert bootstrap_state(SECRET, range(3), requests, OLD) == "voters not heard of: [2]"
    requests[2] = admission_request(SECRET, 2, 102, NEW)
    assert bootstrap_state(SECRET, range(3), requests, OLD) == "voters whose files differ from ours: [2]"
    requests[2] = admission_request(OTHER, 2, 102, OLD)
    assert "not sealed" in bootstrap_state(SECRET, range(3), requests, OLD)
    assert certificate_error(SECRET, first_state().current) == ""


# Commands


def test_a_rollout_is_approved_extended_and_finished():
    state = proposed(led_state())
    assert state.rollout.phase is RolloutPhase.VOTING
    assert state.target_certificate(4).version.number == 0
    state = approved(state, reach=encode_ranks([1, 4], 5))
    assert [state.target_certificate(rank).version.number for rank in range(5)] == [0, 1, 0, 0, 1]
    state = ExtendRollout(state.term, 1, ALL).apply(state)
    assert state.target_certificate(0).version.number == 1
    state = finished(state)
    assert (state.current.version.number, state.rollout) == (1, None)
    assert [entry.outcome for entry in state.history] == ["done", "done"]


def test_a_concurrent_proposal_is_rejected_with_author_and_reason_of_the_first():
    state = proposed(led_state())
    with pytest.raises(CommandRejectedError, match="version 1 of me is on its way: because"):
        ProposeVersion(1, "two", THIRD, 0, "you", "also").apply(state)
    state = finished(approved(state))
    with pytest.raises(CommandRejectedError, match="made from version 0, but 1 of me came since: because"):
        ProposeVersion(1, "two", THIRD, 0, "you", "also").apply(state)


def test_a_repeated_proposal_is_idempotent():
    state = finished(approved(proposed(led_state(), proposal_id="one")))
    with pytest.raises(CommandRejectedError, match="known already as version 1"):
        ProposeVersion(1, "one", NEW, 1, "me", "because").apply(state)


def test_a_proposal_without_a_change_is_rejected():
    with pytest.raises(CommandRejectedError, match="has these contents already"):
        proposed(led_state(), OLD)


def test_commands_of_a_replaced_leader_are_rejected():
    state = ClaimLeadership(1, 2).apply(proposed(led_state()))
    for step in (
        ProposeVersion(1, "two", THIRD, 1, "me", "x"),
        ApproveVersion(1, 1, (), ALL),
        StopRollout(1, 1, "x"),
        ResumeRollout(1, 1),
        FinishRollout(1, 1, ""),
        ExtendRollout(1, 1, ALL),
        ChangeMembership(1, 2, 5),
        SettleMembership(1, 1),
    ):
        with pytest.raises(StaleTermError, match="term 1 is over"):
            step.apply(state)
    with pytest.raises(CommandRejectedError, match="term 2 has begun"):
        ClaimLeadership(0, 2).apply(state)


def test_votes_of_an_earlier_term_do_not_certify():
    state = ClaimLeadership(1, 2).apply(proposed(led_state()))
    assert state.rollout.term == 2
    old = tuple(cast_vote(SECRET, MEMBERS[rank], state.rollout.version, 1, True, "") for rank in (0, 1))
    made = ApproveVersion(2, 1, old, ALL).apply(state)
    assert "sealed" in certificate_error(SECRET, made.rollout.certificate)


def test_reverting_a_rollout_in_progress_replaces_it_by_the_prior_contents():
    state = approved(proposed(led_state()), reach=encode_ranks([1], 5))
    with pytest.raises(CommandRejectedError, match="prior contents are wanted"):
        ProposeVersion(1, "undo", THIRD, 1, "me", "harm", reverts=1).apply(state)
    asked = ProposeVersion(1, "undo", OLD, 1, "me", "harm", reverts=1).apply(state)
    assert asked.target_certificate(1).version.number == 1  # until a quorum approved it
    assert asked.target_certificate(0).version.number == 0
    back = approved(asked)
    assert {back.target_certificate(rank).version.number for rank in range(5)} == {2}
    assert back.target_certificate(0).version.contents == OLD
    assert back.history[-1].outcome == "undone"
    refused = StopRollout(1, 2, "no").apply(asked)
    assert refused.rollout.version.number == 1
    assert refused.halted_rollout is None
    with pytest.raises(CommandRejectedError, match="itself on its way"):
        ProposeVersion(1, "undo it", NEW, 2, "me", "x", reverts=2).apply(back)


def test_a_reverted_version_gets_a_new_number():
    state = finished(approved(proposed(led_state())))
    state = finished(approved(proposed(state, OLD, "undo", reverts=1)))
    assert state.current.version.number == 2
    assert state.current.version.combined_hash == first_state().current.version.combined_hash
    turned = msgspec.structs.replace(state, index=state.index + 1, latest_number=1)
    assert replicated_state.broken_invariant(state, turned) == "I1: something went back"


def test_a_paused_rollout_is_not_extended_until_it_is_resumed():
    state = approved(proposed(led_state()), reach=encode_ranks([1], 5))
    stopped = StopRollout(1, 1, "wait").apply(state)
    with pytest.raises(CommandRejectedError, match="stopped: wait"):
        ExtendRollout(1, 1, ALL).apply(stopped)
    with pytest.raises(CommandRejectedError, match="stopped already"):
        StopRollout(1, 1, "wait").apply(stopped)
    assert (
        ExtendRollout(1, 1, ALL)
        .apply(ResumeRollout(1, 1).apply(stopped))
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
    with pytest.raises(CommandRejectedError, match="so already"):
        ChangeMembership(1, 2, 555).apply(settled)
    smaller = ChangeMembership(1, 2, 0).apply(settled)
    assert [member.rank for member in smaller.members] == [0, 1]
    both = msgspec.structs.replace(
        settled, index=settled.index + 1, members=(VotingMember(0, 1), VotingMember(1, 2))
    )
    assert replicated_state.broken_invariant(settled, both).startswith("I5")


CHANCES = st.lists(st.tuples(st.integers(0, 8), st.integers(0, 4), st.booleans()), max_size=40)


@settings(max_examples=150, deadline=None)
@given(CHANCES)
def test_invariants_hold_under_arbitrary_commands(chances):
    state = first_state()
    for number, (what, some, flag) in enumerate(chances):
        version = state.rollout.version if state.rollout else state.current.version
        parts = state.current.version.contents if flag else ContentHashes(f"{some:064x}", "c" * 64)
        yes = tuple(
            cast_vote(SECRET, member, version, state.term, True, "") for member in state.members[: 1 + some]
        )
        step = (
            ClaimLeadership(some % 3, state.term + flag),
            ProposeVersion(state.term, f"p{number}", parts, version.number, "me", "x", version.number * flag),
            ApproveVersion(state.term, version.number, yes, ALL),
            StopRollout(state.term, version.number, "x"),
            FinishRollout(state.term, version.number, ""),
            ChangeMembership(state.term, some % 3, number * flag),
            SettleMembership(state.term, state.index),
            ExtendRollout(state.term, version.number, ALL),
            ResumeRollout(state.term, version.number),
        )[what]
        try:
            after = step.apply(state)
        except CommandRejectedError:
            continue
        assert replicated_state.broken_invariant(state, after) == "", (step, state)
        assert replicated_state.decode(replicated_state.encode(after)) == after
        state = after
    assert len(state.history) <= replicated_state.MAX_HISTORY_ENTRIES


def test_adoption_without_a_certificate_breaks_an_invariant():
    state = proposed(led_state())
    rollout = msgspec.structs.replace(state.rollout, phase=RolloutPhase.ADOPTING, target_ranks=ALL)
    cheat = msgspec.structs.replace(state, index=state.index + 1, rollout=rollout)
    assert replicated_state.broken_invariant(state, cheat) == "I2: adopted without a quorum's certificate"
