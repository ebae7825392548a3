"""A model of three voters: two commands at once, up to two faults, datagrams in any order.

Faults: a voter dies and restarts with its disk, an old copy or an empty one; a write fails; a datagram is
duplicated. A lost datagram is one that is never delivered. Invariants: two states of one index are never both
chosen, and a command is applied in its own term alone.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

import msgspec

from orchidlane.rollout import replicated_state
from orchidlane.rollout.commands import ClaimLeadership, Command
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
NOW = 1_000_000


class InvariantViolationError(AssertionError):
    """A state that must never be reached."""


class Datagram(NamedTuple):
    """A message in flight."""

    sender: int
    receiver: int
    message: Any


class ModelState:
    """One state: the voters, their disks, the datagrams in flight, and what was chosen."""

    def __init__(self, voter_type: type[Voter]) -> None:
        self.voter_type = voter_type
        # Shared by all states: a hash determines its content
        self.states_by_hash = {content_hash(replicated_state.encode(FIRST)): FIRST}
        self.disks = {rank: VoterState(100 + rank) for rank in VOTERS}
        self.old_disks = dict(self.disks)
        self.voters = {
            rank: voter_type(rank, self.disks[rank], None, FIRST, FixedRandom(), 0) for rank in VOTERS
        }
        self.datagrams: frozenset[Datagram] = frozenset()
        self.chosen: dict[int, str] = {}
        self.faults = 0
        self.started: frozenset[int] = frozenset()

    def copy(self) -> ModelState:
        """Return a state that can change by itself."""
        other = copy.copy(self)
        other.disks, other.old_disks, other.chosen = dict(self.disks), dict(self.old_disks), dict(self.chosen)
        other.voters = {rank: _copy(voter) for rank, voter in self.voters.items()}
        return other

    def key(self) -> Any:
        """Return what distinguishes this state from others."""
        return (
            tuple(_key(voter) for voter in self.voters.values()),
            self.datagrams,
            tuple(sorted(self.chosen.items())),
            self.faults,
            self.started,
        )

    def carry_out(self, rank: int, actions: list[Any], write_fails: bool = False) -> None:
        """Carry out a voter's actions; where a write fails, those after it are dropped."""
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
            raise InvariantViolationError(f"Q1: two states of index {index}")
        command = chosen.command
        if command is None or isinstance(command, ClaimLeadership):
            return
        if command.term != chosen.state.term:
            raise InvariantViolationError(
                f"fencing: a command of term {command.term} in term {chosen.state.term}"
            )

    def deliver(self, datagram: Datagram, write_fails: bool = False) -> None:
        """Deliver a datagram, and carry out what follows."""
        message = datagram.message
        has_state = isinstance(message, Promise | Accept)
        state = self.states_by_hash.get(message.state_hash) if has_state else None
        voter = self.voters[datagram.receiver]
        self.carry_out(datagram.receiver, voter.receive(NOW, datagram.sender, message, state), write_fails)

    def drop_idle_datagrams(self) -> None:
        """Drop datagrams that change nothing now and never will: replies to an attempt that is over."""
        for datagram in list(self.datagrams):
            attempt = self.voters[datagram.receiver].attempt
            is_reply = isinstance(datagram.message, Promise | Accepted | Nack)
            is_over = attempt is None or attempt.ballot != datagram.message.ballot
            is_late = isinstance(datagram.message, Promise) and (
                is_over or attempt.phase is not ProposerPhase.PREPARING
            )
            if is_reply and (is_over or is_late):
                self.datagrams -= {datagram}

    def restart(self, rank: int, voter_state: VoterState) -> None:
        """Restart a voter with what its disk has."""
        self.disks[rank] = voter_state
        chosen = FIRST  # its chosen state may be as old as that
        self.voters[rank] = self.voter_type(
            rank,
            voter_state,
            self.states_by_hash.get(voter_state.accepted_hash),
            chosen,
            FixedRandom(),
            0,
            verifying_store=True,
        )

    def verify_store(self, rank: int) -> None:
        """Let a voter verify its store with both others, which then accept nothing of its past incarnation.

        The incarnation in datagrams ensures that (``gateway/peers/datagrams.py``).
        """
        voter = self.voters[rank]
        self.datagrams = frozenset(datagram for datagram in self.datagrams if datagram.sender != rank)
        for other, peer in self.voters.items():
            if other != rank and voter.verifying_store:
                store_id, vote_count = peer.voter_state.seen_vote_counts.get(rank, (0, 0))
                own_id = voter.voter_state.store_id
                seen = vote_count if store_id == own_id else 0
                response = VoteCountResponse(own_id, seen, True)
                self.carry_out(rank, voter.receive(NOW, other, response))
        self.carry_out(rank, voter.tick(NOW))


class FixedRandom(random.Random):
    """Gives the same numbers in each state."""

    def random(self) -> float:
        """Return one half."""
        return 0.5

    def getrandbits(self, _bits: int) -> int:
        """Return a number of no meaning."""
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
    attempt_key = None
    if attempt is not None:
        attempt_key = (
            attempt.phase,
            attempt.ballot,
            frozenset((member, promise[0], promise[1]) for member, promise in attempt.promises.items()),
            frozenset(attempt.acceptances),
            attempt.state_hash,
        )
    index = voter.chosen_state.index if voter.chosen_state is not None else 0
    seen_vote_counts = tuple(sorted(voter_state.seen_vote_counts.items()))
    return (
        voter_state.store_id,
        voter_state.promised,
        voter_state.accepted,
        voter_state.accepted_hash,
        voter_state.vote_count,
        seen_vote_counts,
        voter.verifying_store,
        index,
        attempt_key,
    )


def moves(
    state: ModelState, plan: dict[int, Command], max_faults: int, faults: tuple[str, ...]
) -> Iterator[ModelState]:
    """Return every next state."""
    for rank, command in plan.items():
        if rank not in state.started and state.voters[rank].may_vote:
            after = state.copy()
            after.started |= {rank}
            after.carry_out(rank, after.voters[rank].propose(NOW, command))
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


def failures(state: ModelState, faults: tuple[str, ...]) -> Iterator[ModelState]:
    """Return every next state that a fault leads to."""
    for rank in VOTERS:
        restored = {
            "dies": state.disks[rank],
            "old disk": state.old_disks[rank],
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
    plan: dict[int, Command],
    faults: tuple[str, ...],
    max_faults: int,
    voter_type: type[Voter] = Voter,
    bound: int = 60_000,
) -> tuple[int, set[int]]:
    """Return the number of states, and the indexes that were ever chosen.

    Raises InvariantViolationError where a state violates an invariant.
    """
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
