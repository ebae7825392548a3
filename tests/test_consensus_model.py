"""Model checking of three voters: two commands at once, up to two faults, datagrams in any order.

Faults: a voter dies and restarts with its disk, an old copy or an empty one; a write fails; a datagram is
duplicated. A lost datagram is one that is never delivered. Invariants: two states of one index are never both
chosen, and a command is carried out in its own term alone.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from typing import Any, NamedTuple

import msgspec
import pytest

from orchidlane.rollout import commands, replicated_state
from orchidlane.rollout.commands import ChangeMembership, ClaimLeadership, StopRollout
from orchidlane.rollout.consensus import Voter
from orchidlane.rollout.messages import Accept, Accepted, Nack, Promise, VoteCountResponse
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import Certificate, ContentHashes, Version, VotingMember, content_hash
from orchidlane.rollout.voter_state import (
    Persist,
    ProposerPhase,
    Send,
    StateChosen,
    StoreBlob,
    VoterStart,
    VoterState,
)

VOTERS = range(3)
FIRST = ReplicatedState(
    1,
    tuple(VotingMember(rank, 100 + rank) for rank in VOTERS),
    Certificate(Version(0, ContentHashes("r", "c"), 0), 0, (), ()),
    term=1,
    leader=0,
)
NOW = 1_000_000


class InvariantViolationError(AssertionError):
    """What must never be."""


class Datagram(NamedTuple):
    sender: int
    receiver: int
    message: Any


class ModelState:
    """One state: the voters, their disks, what is on its way, what was chosen."""

    def __init__(self, voter_type: type[Voter]) -> None:
        self.voter_type = voter_type
        self.states_by_hash = {
            content_hash(replicated_state.encode(FIRST)): FIRST
        }  # shared by all states: names say it all
        self.disks = {rank: VoterState(100 + rank) for rank in VOTERS}
        self.old = dict(self.disks)
        self.voters = {
            rank: voter_type(VoterStart(rank, self.disks[rank], None, FIRST, FixedRandom(), 0))
            for rank in VOTERS
        }
        self.datagrams: frozenset[Datagram] = frozenset()
        self.chosen: dict[int, str] = {}
        self.faults = 0
        self.started: frozenset[int] = frozenset()

    def copy(self) -> ModelState:
        other = copy.copy(self)
        other.disks, other.old, other.chosen = dict(self.disks), dict(self.old), dict(self.chosen)
        other.voters = {rank: _copy(voter) for rank, voter in self.voters.items()}
        return other

    def key(self) -> Any:
        return (
            tuple(_key(voter) for voter in self.voters.values()),
            self.datagrams,
            tuple(sorted(self.chosen.items())),
            self.faults,
            self.started,
        )

    def carry_out(self, rank: int, actions: list[Any], write_fails: bool = False) -> None:
        voter = self.voters[rank]
        for action in actions:
            match action:
                case StoreBlob():
                    self.states_by_hash[action.content_hash] = replicated_state.decode(action.data)
                case Persist():
                    if write_fails:
                        before = self.disks[rank]
                        voter.persist_failed(before, self.states_by_hash.get(before.accepted_hash))
                        return
                    self.disks[rank] = action.voter_state
                case Send():
                    self.datagrams |= {Datagram(rank, action.rank, action.message)}
                case StateChosen():
                    self._choose(action)

    def _choose(self, chosen: StateChosen) -> None:
        index = chosen.state.index
        if self.chosen.setdefault(index, chosen.state_hash) != chosen.state_hash:
            raise InvariantViolationError(f"Q1: two states_by_hash of index {index}")
        step = chosen.command
        if step is not None and not isinstance(step, ClaimLeadership) and step.term != chosen.state.term:
            raise InvariantViolationError(
                f"fencing: a command of term {step.term} in term {chosen.state.term}"
            )

    def deliver(self, datagram: Datagram, write_fails: bool = False) -> None:
        message = datagram.message
        named = self.states_by_hash.get(message.state_hash) if isinstance(message, Promise | Accept) else None
        voter = self.voters[datagram.receiver]
        self.carry_out(datagram.receiver, voter.receive(NOW, datagram.sender, message, named), write_fails)

    def drop_idle_datagrams(self) -> None:
        """Mail that changes nothing now and never will: answers to an attempt that is over."""
        for datagram in list(self.datagrams):
            attempt = self.voters[datagram.receiver].attempt
            answer = isinstance(datagram.message, Promise | Accepted | Nack)
            over = attempt is None or attempt.ballot != datagram.message.ballot
            late = isinstance(datagram.message, Promise) and (
                over or attempt.phase is not ProposerPhase.PREPARING
            )
            if answer and (over or late):
                self.datagrams -= {datagram}

    def restart(self, rank: int, voter_state: VoterState) -> None:
        self.disks[rank] = voter_state
        chosen = FIRST  # what it knows to be chosen may be as old as that
        accepted = self.states_by_hash.get(voter_state.accepted_hash)
        start = VoterStart(rank, voter_state, accepted, chosen, FixedRandom(), 0, verifies_store=True)
        self.voters[rank] = self.voter_type(start)

    def verify_store(self, rank: int) -> None:
        """It asks both others, and hears both; from its question on they take nothing of its earlier life.

        The datagrams' incarnation sees to that (``gateway/peers/datagrams.py``).
        """
        voter = self.voters[rank]
        self.datagrams = frozenset(datagram for datagram in self.datagrams if datagram.sender != rank)
        for other, theirs in self.voters.items():
            if other != rank and voter.verifying_store:
                store, mark = theirs.voter_state.seen_vote_counts.get(rank, (0, 0))
                mark = mark if store == voter.voter_state.store_id else 0
                self.carry_out(
                    rank,
                    voter.receive(NOW, other, VoteCountResponse(voter.voter_state.store_id, mark, True)),
                )
        self.carry_out(rank, voter.tick(NOW))


class FixedRandom(random.Random):
    """The same numbers in each state."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _bits: int) -> int:
        return 900


def _copy(voter: Voter) -> Voter:
    other = copy.copy(voter)
    other._check_responses = dict(voter._check_responses)
    if voter.attempt is not None:
        attempt = other.attempt = copy.copy(voter.attempt)
        attempt.promises, attempt.acceptances = dict(voter.attempt.promises), set(voter.attempt.acceptances)
    other.voter_state = msgspec.structs.replace(
        voter.voter_state, seen_vote_counts=dict(voter.voter_state.seen_vote_counts)
    )
    return other


def _key(voter: Voter) -> Any:
    voter_state, attempt = voter.voter_state, voter.attempt
    told = None
    if attempt is not None:
        told = (
            attempt.phase,
            attempt.ballot,
            frozenset((seat, promise[0], promise[1]) for seat, promise in attempt.promises.items()),
            frozenset(attempt.acceptances),
            attempt.state_hash,
        )
    index = voter.chosen_state.index if voter.chosen_state is not None else 0
    marks = tuple(sorted(voter_state.seen_vote_counts.items()))
    return (
        voter_state.store_id,
        voter_state.promised,
        voter_state.accepted,
        voter_state.accepted_hash,
        voter_state.vote_count,
        marks,
        voter.verifying_store,
        index,
        told,
    )


def moves(state: ModelState, plan: dict[int, Any], max_faults: int, faults: tuple[str, ...]):
    """Every next state."""
    for rank, step in plan.items():
        if rank not in state.started and state.voters[rank].may_vote:
            after = state.copy()
            after.started |= {rank}
            after.carry_out(rank, after.voters[rank].propose(NOW, step))
            yield after
    for datagram in state.datagrams:
        after = state.copy()
        after.datagrams -= {datagram}
        after.deliver(datagram)
        if "old disk" not in faults:
            after.drop_idle_datagrams()
        yield after
    for rank, voter in state.voters.items():
        if voter.verifying_store:
            after = state.copy()
            after.verify_store(rank)
            yield after
    if state.faults < max_faults:
        yield from failures(state, faults)


def failures(state: ModelState, faults: tuple[str, ...]):
    """Every next state that a fault leads to."""
    for rank in VOTERS:
        restored = {
            "dies": state.disks[rank],
            "old disk": state.old[rank],
            "no disk": VoterState(500 + rank),
        }
        for name in faults:
            if name in restored:
                after = state.copy()
                after.faults += 1
                after.restart(rank, restored[name])
                yield after
    for datagram in state.datagrams if "write" in faults else ():
        after = state.copy()
        after.faults += 1
        after.datagrams -= {datagram}
        after.deliver(datagram, write_fails=True)
        yield after
    for datagram in state.datagrams if "twice" in faults else ():
        after = state.copy()
        after.faults += 1
        after.deliver(datagram)
        yield after


def search(
    plan: dict[int, Any],
    faults: tuple[str, ...],
    max_faults: int,
    voter_type: type[Voter] = Voter,
    bound: int = 60_000,
) -> tuple[int, set[int]]:
    """How many states there are, and which indexes were ever chosen. Raises InvariantViolationError."""
    first = ModelState(voter_type)
    seen, queue, indexes = {first.key()}, deque([first]), set()
    while queue and len(seen) < bound:
        state = queue.popleft()
        for after in moves(state, plan, max_faults, faults):
            key = after.key()
            if key not in seen:
                seen.add(key)
                queue.append(after)
                indexes |= after.chosen.keys()
    return len(seen), indexes


TWO_CLAIMS = {0: ClaimLeadership(0, 2), 1: ClaimLeadership(1, 2)}


def test_two_concurrent_claims_choose_one_state_without_faults():
    states, chosen = search(TWO_CLAIMS, (), 0)
    assert states > 500
    assert 2 in chosen


@pytest.mark.parametrize("fault", ["dies", "old disk", "no disk", "write", "twice"])
def test_two_concurrent_claims_choose_one_state_with_two_faults_of_a_kind(fault):
    states, chosen = search(TWO_CLAIMS, (fault,), 2)
    assert states > 5_000
    assert 2 in chosen


def test_a_membership_change_and_a_concurrent_claim_choose_one_state():
    plan = {0: ChangeMembership(1, 2, 502), 1: ClaimLeadership(1, 2)}
    states, chosen = search(plan, ("no disk", "dies"), 2)
    assert states > 5_000
    assert 2 in chosen


class ForgetfulVoter(Voter):
    """Accepts and keeps nothing of it: the next promise tells of nothing."""

    def _on_accept(self, sender, message, state):
        super()._on_accept(sender, message, state)
        own = self.voter_state
        self.voter_state = VoterState(own.store_id, own.promised, vote_count=own.vote_count)
        self.accepted_state = None


class SelfOverrulingVoter(Voter):
    """Its proposer goes on whatever its acceptor promised since; the search found this once."""

    def _start_accept(self, now, attempt):
        promised = min(self.voter_state.promised, attempt.ballot)
        self.voter_state = msgspec.structs.replace(self.voter_state, promised=promised)
        super()._start_accept(now, attempt)


class TrustingVoter(Voter):
    """Goes on with whatever disk it finds."""

    def _on_vote_count(self, sender, message):
        self._check_responses[sender] = True


class PromiscuousVoter(Voter):
    """Accepts what it promised not to."""

    def _on_accept(self, sender, message, state):
        own = self.voter_state
        promised = min(own.promised, message.ballot)
        self.voter_state = VoterState(own.store_id, promised, own.accepted, own.accepted_hash, own.vote_count)
        super()._on_accept(sender, message, state)


@pytest.mark.parametrize(
    ("broken", "faults", "max_faults"),
    [
        (ForgetfulVoter, (), 0),
        (PromiscuousVoter, (), 0),
        (SelfOverrulingVoter, (), 0),
        (TrustingVoter, ("old disk",), 1),
    ],
)
def test_a_broken_voter_violates_agreement(broken, faults, max_faults):
    with pytest.raises(InvariantViolationError, match="Q1"):
        search(TWO_CLAIMS, faults, max_faults, broken, bound=400_000)


def test_a_leader_without_fencing_violates_it(monkeypatch):
    plan = {0: StopRollout(1, 7, "a step of the first term"), 1: ClaimLeadership(1, 2)}
    search(plan, ("dies",), 1)
    monkeypatch.setattr(commands, "_require_term", lambda state, term: None)
    monkeypatch.setattr(
        StopRollout,
        "apply",
        lambda self, state: commands._next_state(state, latest_number=state.latest_number + 1),
    )
    with pytest.raises(InvariantViolationError, match="fencing"):
        search(plan, ("dies",), 1)
