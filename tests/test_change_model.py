"""The register of three voters, searched: two steps at once, two faults anywhere, messages in any order.

Faults: a voter dies and comes back with its disk, an old one or an empty one; a write that fails; a message
twice. A message that is lost is one that never comes. What has to hold in every state: two ledgers of one
index are never both chosen, and a step is taken in its own term alone.
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
from orchidlane.rollout.voter_state import Persist, ProposerPhase, Send, StateChosen, StoreBlob, VoterState

VOTERS = range(3)
FIRST = ReplicatedState(
    1,
    tuple(VotingMember(rank, 100 + rank) for rank in VOTERS),
    Certificate(Version(0, ContentHashes("r", "c"), 0), 0, (), ()),
    term=1,
    leader=0,
)
TIMELESS = 1_000_000


class Broken(AssertionError):
    """What must never be."""


class Mail(NamedTuple):
    sender: int
    receiver: int
    message: Any


class World:
    """One state: the voters, their disks, what is on its way, what was chosen."""

    def __init__(self, kind: type[Voter]) -> None:
        self.kind = kind
        self.ledgers = {
            content_hash(replicated_state.encode(FIRST)): FIRST
        }  # shared by all states: names say it all
        self.disks = {rank: VoterState(100 + rank) for rank in VOTERS}
        self.old = dict(self.disks)
        self.voters = {rank: kind(rank, self.disks[rank], None, FIRST, Fixed(), 0) for rank in VOTERS}
        self.mail: frozenset[Mail] = frozenset()
        self.chosen: dict[int, str] = {}
        self.faults = 0
        self.started: frozenset[int] = frozenset()

    def copy(self) -> World:
        other = copy.copy(self)
        other.disks, other.old, other.chosen = dict(self.disks), dict(self.old), dict(self.chosen)
        other.voters = {rank: _copy(voter) for rank, voter in self.voters.items()}
        return other

    def key(self) -> Any:
        return (
            tuple(_key(voter) for voter in self.voters.values()),
            self.mail,
            tuple(sorted(self.chosen.items())),
            self.faults,
            self.started,
        )

    def carry(self, rank: int, actions: list[Any], write_fails: bool = False) -> None:
        voter = self.voters[rank]
        for action in actions:
            match action:
                case StoreBlob():
                    self.ledgers[action.content_hash] = replicated_state.decode(action.data)
                case Persist():
                    if write_fails:
                        before = self.disks[rank]
                        voter.persist_failed(before, self.ledgers.get(before.accepted_hash))
                        return
                    self.disks[rank] = action.voter_state
                case Send():
                    self.mail |= {Mail(rank, action.rank, action.message)}
                case StateChosen():
                    self._choose(action)

    def _choose(self, chosen: StateChosen) -> None:
        index = chosen.state.index
        if self.chosen.setdefault(index, chosen.state_hash) != chosen.state_hash:
            raise Broken(f"Q1: two ledgers of index {index}")
        step = chosen.command
        if step is not None and not isinstance(step, ClaimLeadership) and step.term != chosen.state.term:
            raise Broken(f"fencing: a step of term {step.term} in term {chosen.state.term}")

    def deliver(self, mail: Mail, write_fails: bool = False) -> None:
        message = mail.message
        named = self.ledgers.get(message.state_hash) if isinstance(message, Promise | Accept) else None
        voter = self.voters[mail.receiver]
        self.carry(mail.receiver, voter.receive(TIMELESS, mail.sender, message, named), write_fails)

    def drop_idle_mail(self) -> None:
        """Mail that changes nothing now and never will: answers to an attempt that is over."""
        for mail in list(self.mail):
            attempt = self.voters[mail.receiver].attempt
            answer = isinstance(mail.message, Promise | Accepted | Nack)
            over = attempt is None or attempt.ballot != mail.message.ballot
            late = isinstance(mail.message, Promise) and (
                over or attempt.phase is not ProposerPhase.PREPARING
            )
            if answer and (over or late):
                self.mail -= {mail}

    def restart(self, rank: int, kept: VoterState) -> None:
        self.disks[rank] = kept
        chosen = FIRST  # what it knows to be chosen may be as old as that
        self.voters[rank] = self.kind(
            rank, kept, self.ledgers.get(kept.accepted_hash), chosen, Fixed(), 0, verifying_store=True
        )

    def check_marks(self, rank: int) -> None:
        """It asks both others, and hears both; from its question on they take nothing of its earlier life.

        The datagrams' incarnation sees to that (``gateway/peers/datagrams.py``).
        """
        voter = self.voters[rank]
        self.mail = frozenset(mail for mail in self.mail if mail.sender != rank)
        for other, theirs in self.voters.items():
            if other != rank and voter.verifying_store:
                store, mark = theirs.voter_state.seen_vote_counts.get(rank, (0, 0))
                mark = mark if store == voter.voter_state.store_id else 0
                self.carry(
                    rank,
                    voter.receive(TIMELESS, other, VoteCountResponse(voter.voter_state.store_id, mark, True)),
                )
        self.carry(rank, voter.tick(TIMELESS))


class Fixed(random.Random):
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
    kept, attempt = voter.voter_state, voter.attempt
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
    marks = tuple(sorted(kept.seen_vote_counts.items()))
    return (
        kept.store_id,
        kept.promised,
        kept.accepted,
        kept.accepted_hash,
        kept.vote_count,
        marks,
        voter.verifying_store,
        index,
        told,
    )


def moves(world: World, plan: dict[int, Any], most: int, faults: tuple[str, ...]):
    """Every next state."""
    for rank, step in plan.items():
        if rank not in world.started and world.voters[rank].may_vote:
            after = world.copy()
            after.started |= {rank}
            after.carry(rank, after.voters[rank].propose(TIMELESS, step))
            yield after
    for mail in world.mail:
        after = world.copy()
        after.mail -= {mail}
        after.deliver(mail)
        if "old disk" not in faults:
            after.drop_idle_mail()
        yield after
    for rank, voter in world.voters.items():
        if voter.verifying_store:
            after = world.copy()
            after.check_marks(rank)
            yield after
    if world.faults < most:
        yield from failures(world, faults)


def failures(world: World, faults: tuple[str, ...]):
    """Every next state that a fault leads to."""
    for rank in VOTERS:
        kept = {"dies": world.disks[rank], "old disk": world.old[rank], "no disk": VoterState(500 + rank)}
        for name in faults:
            if name in kept:
                after = world.copy()
                after.faults += 1
                after.restart(rank, kept[name])
                yield after
    for mail in world.mail if "write" in faults else ():
        after = world.copy()
        after.faults += 1
        after.mail -= {mail}
        after.deliver(mail, write_fails=True)
        yield after
    for mail in world.mail if "twice" in faults else ():
        after = world.copy()
        after.faults += 1
        after.deliver(mail)
        yield after


def search(
    plan: dict[int, Any],
    faults: tuple[str, ...],
    most: int,
    kind: type[Voter] = Voter,
    bound: int = 60_000,
) -> tuple[int, set[int]]:
    """How many states there are, and which indexes were ever chosen. Raises Broken."""
    first = World(kind)
    seen, queue, indexes = {first.key()}, deque([first]), set()
    while queue and len(seen) < bound:
        world = queue.popleft()
        for after in moves(world, plan, most, faults):
            key = after.key()
            if key not in seen:
                seen.add(key)
                queue.append(after)
                indexes |= after.chosen.keys()
    return len(seen), indexes


TWO_CLAIMS = {0: ClaimLeadership(0, 2), 1: ClaimLeadership(1, 2)}


def test_two_that_want_to_lead_without_a_fault():
    states, chosen = search(TWO_CLAIMS, (), 0)
    assert states > 500
    assert 2 in chosen


@pytest.mark.parametrize("fault", ["dies", "old disk", "no disk", "write", "twice"])
def test_two_faults_of_a_kind_anywhere(fault):
    states, chosen = search(TWO_CLAIMS, (fault,), 2)
    assert states > 5_000
    assert 2 in chosen


def test_a_voter_is_admitted_while_another_claims():
    plan = {0: ChangeMembership(1, 2, 502), 1: ClaimLeadership(1, 2)}
    states, chosen = search(plan, ("no disk", "dies"), 2)
    assert states > 5_000
    assert 2 in chosen


class Forgets(Voter):
    """Accepts and keeps nothing of it: the next promise tells of nothing."""

    def _on_accept(self, sender, message, state):
        super()._on_accept(sender, message, state)
        own = self.voter_state
        self.voter_state = VoterState(own.store_id, own.promised, vote_count=own.vote_count)
        self.accepted_state = None


class OverrulesItself(Voter):
    """Its proposer goes on whatever its acceptor promised since; the search found this once."""

    def _start_accept(self, now, attempt):
        promised = min(self.voter_state.promised, attempt.ballot)
        self.voter_state = msgspec.structs.replace(self.voter_state, promised=promised)
        super()._start_accept(now, attempt)


class TrustsItsDisk(Voter):
    """Goes on with whatever disk it finds."""

    def _on_vote_count(self, sender, message):
        self._check_responses[sender] = True


class TakesAnyBallot(Voter):
    """Accepts what it promised not to."""

    def _on_accept(self, sender, message, state):
        own = self.voter_state
        promised = min(own.promised, message.ballot)
        self.voter_state = VoterState(own.store_id, promised, own.accepted, own.accepted_hash, own.vote_count)
        super()._on_accept(sender, message, state)


@pytest.mark.parametrize(
    ("broken", "faults", "most"),
    [(Forgets, (), 0), (TakesAnyBallot, (), 0), (OverrulesItself, (), 0), (TrustsItsDisk, ("old disk",), 1)],
)
def test_a_voter_that_forgets_its_vote_is_found(broken, faults, most):
    with pytest.raises(Broken, match="Q1"):
        search(TWO_CLAIMS, faults, most, broken, bound=400_000)


def test_a_leader_without_fencing_is_found(monkeypatch):
    plan = {0: StopRollout(1, 7, "a step of the first term"), 1: ClaimLeadership(1, 2)}
    search(plan, ("dies",), 1)
    monkeypatch.setattr(commands, "_require_term", lambda state, term: None)
    monkeypatch.setattr(
        StopRollout,
        "apply",
        lambda self, state: commands._next_state(state, latest_number=state.latest_number + 1),
    )
    with pytest.raises(Broken, match="fencing"):
        search(plan, ("dies",), 1)
