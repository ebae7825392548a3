"""Model checking of three voters; ``harness/consensus_model.py`` has the model and its invariants."""

from __future__ import annotations

import msgspec
import pytest
from harness.consensus_model import InvariantViolationError, search

from orchidlane.rollout import commands
from orchidlane.rollout.commands import ChangeMembership, ClaimLeadership, StopRollout
from orchidlane.rollout.consensus import Voter
from orchidlane.rollout.voter_state import VoterState

TWO_CLAIMS = {0: ClaimLeadership(0, 2), 1: ClaimLeadership(1, 2)}


def test_two_concurrent_claims_choose_one_state_without_faults():
    states, chosen = search(TWO_CLAIMS, (), 0)
    assert states > 500
    assert 2 in chosen


@pytest.mark.parametrize(
    "fault", ["restart", "old disk copy", "empty disk", "failed write", "duplicate datagram"]
)
def test_two_concurrent_claims_choose_one_state_under_two_faults(fault):
    states, chosen = search(TWO_CLAIMS, (fault,), 2)
    assert states > 5_000
    assert 2 in chosen


def test_a_membership_change_and_a_concurrent_claim_choose_one_state():
    commands_by_rank = {0: ChangeMembership(1, 2, 502), 1: ClaimLeadership(1, 2)}
    states, chosen = search(commands_by_rank, ("empty disk", "restart"), 2)
    assert states > 5_000
    assert 2 in chosen


class ForgetfulVoter(Voter):
    """Responds that it accepted a state, but does not store that: its next promise reports none."""

    def _on_accept(self, sender, message, state):
        super()._on_accept(sender, message, state)
        own = self.voter_state
        self.voter_state = VoterState(own.store_id, own.promised, vote_count=own.vote_count)
        self.accepted_state = None


class SelfOverrulingVoter(Voter):
    """Its proposer ignores what its acceptor has promised since, a fault that the search once found."""

    def _start_accept(self, now, attempt):
        promised = min(self.voter_state.promised, attempt.ballot)
        self.voter_state = msgspec.structs.replace(self.voter_state, promised=promised)
        super()._start_accept(now, attempt)


class TrustingVoter(Voter):
    """Votes again with any disk, even if others have seen later votes of its store."""

    def _on_vote_count(self, sender, _message):
        self._check_responses[sender] = True


class PromiscuousVoter(Voter):
    """Accepts a state under an earlier ballot than it has promised."""

    def _on_accept(self, sender, message, state):
        own = self.voter_state
        promised = min(own.promised, message.ballot)
        self.voter_state = VoterState(own.store_id, promised, own.accepted, own.accepted_hash, own.vote_count)
        super()._on_accept(sender, message, state)


@pytest.mark.parametrize(
    ("broken_voter", "faults", "max_faults"),
    [
        (ForgetfulVoter, (), 0),
        (PromiscuousVoter, (), 0),
        (SelfOverrulingVoter, (), 0),
        (TrustingVoter, ("old disk copy",), 1),
    ],
)
def test_the_search_detects_a_voter_that_violates_agreement(broken_voter, faults, max_faults):
    with pytest.raises(InvariantViolationError, match="Q1"):
        search(TWO_CLAIMS, faults, max_faults, broken_voter, bound=400_000)


def test_the_search_detects_that_commands_are_not_fenced_by_their_term(monkeypatch):
    commands_by_rank = {0: StopRollout(1, 7, "a command of the first term"), 1: ClaimLeadership(1, 2)}
    search(commands_by_rank, ("restart",), 1)
    monkeypatch.setattr(commands, "_require_term", lambda _state, _term: None)
    monkeypatch.setattr(
        StopRollout,
        "apply",
        lambda _self, state: commands._next_state(state, latest_number=state.latest_number + 1),
    )
    with pytest.raises(InvariantViolationError, match="fencing"):
        search(commands_by_rank, ("restart",), 1)
