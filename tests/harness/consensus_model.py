"""A model of three voters: two concurrent commands, up to two faults, and datagrams in any order.

The faults are "restart" (a voter dies and restarts with its disk), "old disk copy" and "empty disk" (the same
with such a disk), "failed write" and "duplicate datagram". A lost datagram needs no fault: it is one that is
never delivered.

Invariants: two different states with the same index are never both chosen, and a command is applied only in
its own term.
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
FIRST_STATE = ReplicatedState(
    1,
    tuple(VotingMember(rank, 100 + rank) for rank in VOTERS),
    Certificate(Version(0, ContentHashes("r", "c"), 0), 0, (), ()),
    term=1,
    leader=0,
)
NOW_US = 1_000_000


class InvariantViolationError(AssertionError):
    """The search reached a state that violates an invariant."""


class Datagram(NamedTuple):
    """A message in flight."""

    sender: int
    receiver: int
    message: Any


class ModelState:
    """One state of the model: the voters, their disks, the datagrams in flight, and the states chosen."""

    def __init__(self, voter_type: type[Voter]) -> None:
        self.voter_type = voter_type
        # Shared by all model states, as a hash determines its content
        self.states_by_hash = {content_hash(replicated_state.encode(FIRST_STATE)): FIRST_STATE}
        self.disks = {rank: VoterState(100 + rank) for rank in VOTERS}
        self.old_disks = dict(self.disks)
        self.voters = {
            rank: voter_type(VoterStart(rank, self.disks[rank], None, FIRST_STATE, FixedRandom(), 0))
            for rank in VOTERS
        }
        self.datagrams: frozenset[Datagram] = frozenset()
        self.chosen: dict[int, str] = {}  # index -> hash
        self.faults = 0
        self.started: frozenset[int] = frozenset()  # ranks that have proposed their command

    def copy(self) -> ModelState:
        """Return a copy that can be changed independently."""
        other = copy.copy(self)
        other.disks, other.old_disks, other.chosen = dict(self.disks), dict(self.old_disks), dict(self.chosen)
        other.voters = {rank: _copy(voter) for rank, voter in self.voters.items()}
        return other

    def key(self) -> Any:
        """Return a value that is equal for equal states only."""
        return (
            tuple(_key(voter) for voter in self.voters.values()),
            self.datagrams,
            tuple(sorted(self.chosen.items())),
            self.faults,
            self.started,
        )

    def carry_out(self, rank: int, actions: list[Any], write_fails: bool = False) -> None:
        """Carry out a voter's actions; where a write fails, the actions after it are dropped."""
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
            raise InvariantViolationError(f"Q1: two different chosen states with index {index}")
        command = chosen.command
        if command is None or isinstance(command, ClaimLeadership):
            return
        if command.term != chosen.state.term:
            raise InvariantViolationError(
                f"fencing: a command of term {command.term} was applied in term {chosen.state.term}"
            )

    def deliver(self, datagram: Datagram, write_fails: bool = False) -> None:
        """Deliver a datagram, and carry out the actions of its receiver."""
        message = datagram.message
        has_state = isinstance(message, Promise | Accept)
        state = self.states_by_hash.get(message.state_hash) if has_state else None
        voter = self.voters[datagram.receiver]
        self.carry_out(datagram.receiver, voter.receive(NOW_US, datagram.sender, message, state), write_fails)

    def drop_idle_datagrams(self) -> None:
        """Drop responses to attempts that are over: they can't change anything any more."""
        for datagram in list(self.datagrams):
            attempt = self.voters[datagram.receiver].attempt
            is_response = isinstance(datagram.message, Promise | Accepted | Nack)
            is_over = attempt is None or attempt.ballot != datagram.message.ballot
            is_late = isinstance(datagram.message, Promise) and (
                is_over or attempt.phase is not ProposerPhase.PREPARING
            )
            if is_response and (is_over or is_late):
                self.datagrams -= {datagram}

    def restart(self, rank: int, voter_state: VoterState) -> None:
        """Restart a voter with this state on its disk."""
        self.disks[rank] = voter_state
        chosen = FIRST_STATE  # the oldest chosen state that it may have
        accepted = self.states_by_hash.get(voter_state.accepted_hash)
        start = VoterStart(rank, voter_state, accepted, chosen, FixedRandom(), 0, verifies_store=True)
        self.voters[rank] = self.voter_type(start)

    def verify_store(self, rank: int) -> None:
        """Let a voter verify its store with both others, and drop the datagrams of its earlier incarnation.

        The gateways drop those by the incarnation in each datagram (``gateway/peers/datagrams.py``).
        """
        voter = self.voters[rank]
        self.datagrams = frozenset(datagram for datagram in self.datagrams if datagram.sender != rank)
        for other, peer in self.voters.items():
            if other != rank and voter.verifying_store:
                store_id, vote_count = peer.voter_state.seen_vote_counts.get(rank, (0, 0))
                own_id = voter.voter_state.store_id
                seen = vote_count if store_id == own_id else 0
                response = VoteCountResponse(own_id, seen, True)
                self.carry_out(rank, voter.receive(NOW_US, other, response))
        self.carry_out(rank, voter.tick(NOW_US))


class FixedRandom(random.Random):
    """Returns the same numbers in each state, so that equal states have equal successors."""

    def random(self) -> float:
        """Return one half."""
        return 0.5

    def getrandbits(self, _bits: int) -> int:
        """Return an arbitrary number."""
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


def next_states(
    state: ModelState, commands_by_rank: dict[int, Command], max_faults: int, faults: tuple[str, ...]
) -> Iterator[ModelState]:
    """Yield every state that can follow: a command is proposed, a datagram delivered, a store verified."""
    for rank, command in commands_by_rank.items():
        if rank not in state.started and state.voters[rank].may_vote:
            after = state.copy()
            after.started |= {rank}
            after.carry_out(rank, after.voters[rank].propose(NOW_US, command))
            yield after
    for datagram in state.datagrams:
        after = state.copy()
        after.datagrams -= {datagram}
        after.deliver(datagram)
        if "old disk copy" not in faults:
            after.drop_idle_datagrams()
        yield after
    for rank, voter in state.voters.items():
        if voter.verifying_store:
            after = state.copy()
            after.verify_store(rank)
            yield after
    if state.faults < max_faults:
        yield from faulty_states(state, faults)


def faulty_states(state: ModelState, faults: tuple[str, ...]) -> Iterator[ModelState]:
    """Yield every state that can follow by a fault."""
    for rank in VOTERS:
        disk_after = {
            "restart": state.disks[rank],
            "old disk copy": state.old_disks[rank],
            "empty disk": VoterState(500 + rank),
        }
        for name in faults:
            if name in disk_after:
                after = state.copy()
                after.faults += 1
                after.restart(rank, disk_after[name])
                yield after
    for datagram in state.datagrams if "failed write" in faults else ():
        after = state.copy()
        after.faults += 1
        after.datagrams -= {datagram}
        after.deliver(datagram, write_fails=True)
        yield after
    for datagram in state.datagrams if "duplicate datagram" in faults else ():
        after = state.copy()
        after.faults += 1
        after.deliver(datagram)
        yield after


def search(
    commands_by_rank: dict[int, Command],
    faults: tuple[str, ...],
    max_faults: int,
    voter_type: type[Voter] = Voter,
    bound: int = 60_000,
) -> tuple[int, set[int]]:
    """Search all reachable states, and return their number and the indexes of the states chosen in them.

    ``commands_by_rank`` has the command that each rank proposes. The search stops after ``bound`` states.

    Raises InvariantViolationError where a state violates an invariant.
    """
    first = ModelState(voter_type)
    seen, queue, indexes = {first.key()}, deque([first]), set()
    while queue and len(seen) < bound:
        state = queue.popleft()
        for after in next_states(state, commands_by_rank, max_faults, faults):
            key = after.key()
            if key not in seen:
                seen.add(key)
                queue.append(after)
                indexes |= after.chosen.keys()
    return len(seen), indexes
