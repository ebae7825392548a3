"""Agreement of the voters on one replicated state after another, without I/O: CASPaxos (Rystsov, 2018).

The state is one register. A proposer prepares a ballot at the voters, takes the state that was accepted under
the highest ballot, applies its command and has the result accepted. Safety needs no log, no snapshot and no
leader; the leader (``leader``) only avoids that proposers overrule each other's ballots.

    acceptor    Prepare b: b > promised -> promised = b, Promise | else Nack
                Accept b:  b >= promised -> accepted = b, Accepted | else Nack
    proposer    no attempt -> PREPARING -> ACCEPTING -> no attempt
                after a Nack: BACKING_OFF, then PREPARING with a higher ballot

Invariants, which the tests check by model checking:

- Q1 two different states with the same index are never both chosen;
- Q2 a promise or a vote is never withdrawn: ``Persist`` is on disk before any later action is carried out;
- Q3 membership: a state that changes the members, and every state until that is settled, is chosen by a
  majority of the old members and a majority of the new ones. A member is a rank with the store that it votes
  with, and a ballot names the store: a voter that lost its disk has another store, and is not a member.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidlane.rollout import replicated_state
from orchidlane.rollout.acceptor import RESEND_INTERVAL_US, Acceptor
from orchidlane.rollout.commands import Command
from orchidlane.rollout.errors import CommandRejectedError, StaleTermError
from orchidlane.rollout.messages import (
    ZERO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Message,
    Nack,
    Prepare,
    Promise,
    VoteCountRequest,
    VoteCountResponse,
)
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import VotingMember, content_hash, has_quorum
from orchidlane.rollout.voter_state import (
    AcceptedValue,
    Action,
    CommandDropped,
    ProposalAttempt,
    ProposerPhase,
    StateChosen,
    StoreBlob,
    VoterStart,
    VoterState,
)

PROPOSAL_TIMEOUT_US = 3_000_000  # after which an attempt is given up
INITIAL_BACKOFF_US = 25_000  # longest delay after a Nack, before it is doubled for each Nack in a row
MAX_BACKOFF_DOUBLINGS = 6


class Voter(Acceptor):
    """Acceptor and proposer of one voter. Each event returns the actions to carry out, in order."""

    def __init__(self, start: VoterStart) -> None:
        super().__init__(start)
        self.chosen_ballot = ZERO_BALLOT  # of the chosen state, if an attempt of this voter led to it
        self.attempt: ProposalAttempt | None = None

    # -- events

    def propose(self, now: int, command: Command) -> list[Action]:
        """Start an attempt to have a command carried out; there is one attempt at a time."""
        if not self.may_vote:
            return [
                CommandDropped(command, "this voter may not vote: its store is not admitted or not verified")
            ]
        if self.attempt is not None:
            return [CommandDropped(command, "another command of this voter is in progress")]
        return self._collect_actions(lambda: self._start_prepare(now, ProposalAttempt(command, now)))

    def receive(
        self, now: int, sender: int, message: Message, named_state: ReplicatedState | None = None
    ) -> list[Action]:
        """Handle a message of another voter; ``named_state`` is the state whose hash the message carries."""
        return self._collect_actions(lambda: self._on_message(now, sender, message, named_state))

    def _on_message(
        self, now: int, sender: int, message: Message, named_state: ReplicatedState | None
    ) -> None:
        match message:
            case Prepare():
                self._on_prepare(sender, message)
            case Accept() if named_state is not None:
                self._on_accept(sender, message, named_state)
            case Promise():
                self._on_promise(now, sender, message, named_state)
            case Accepted():
                self._on_accepted(sender, message)
            case Nack():
                self._on_nack(now, message)
            case VoteCountRequest():
                self._on_vote_count_request(sender, message)
            case VoteCountResponse():
                self._on_vote_count(sender, message)

    def learn_chosen(self, state: ReplicatedState) -> list[Action]:
        """Record a chosen state that was received from another gateway."""
        if self.chosen_state is None or state.index > self.chosen_state.index:
            self.chosen_state = state
        return []

    def tick(self, now: int) -> list[Action]:
        """Carry out what is due: resend a request, start the attempt again, or give it up."""
        return self._collect_actions(lambda: self._on_tick(now))

    def persist_failed(self, previous: VoterState, accepted_state: ReplicatedState | None) -> list[Action]:
        """Return to what the disk holds, as if the write that failed had not been requested."""
        self.voter_state = previous
        self.accepted_state = accepted_state
        attempt = self.attempt
        self.attempt = None
        return (
            [CommandDropped(attempt.command, "a write to this voter's disk failed")]
            if attempt is not None
            else []
        )

    def reset_store(self) -> None:
        """Create a new store and give up the attempt that was made with the present one."""
        super().reset_store()
        self.attempt = None

    # -- proposer

    def _start_prepare(self, now: int, attempt: ProposalAttempt) -> None:
        """Prepare a ballot that is higher than all that this voter has seen."""
        own = self.voter_state
        attempt.restart(Ballot(own.promised.round + 1, self.rank, own.store_id), now)
        self.attempt = attempt
        self._vote_with(promised=attempt.ballot)
        attempt.promises[self.member] = AcceptedValue(own.accepted, own.accepted_hash, self.accepted_state)
        self._send_requests(attempt)

    def _send_requests(self, attempt: ProposalAttempt) -> None:
        """Send the request of the present phase to all members that have not responded to it."""
        vote_count = self.voter_state.vote_count
        message: Message
        responded: Iterable[VotingMember]
        if attempt.phase is ProposerPhase.PREPARING:
            message = Prepare(attempt.ballot, vote_count)
            responded = attempt.promises
        else:
            message = Accept(attempt.ballot, attempt.state_hash, vote_count)
            responded = attempt.acceptances
        responded_ranks = {member.rank for member in responded}
        ranks = {member.rank for members in self._configurations(attempt) for member in members}
        for rank in sorted(ranks - responded_ranks - {self.rank}):
            self._send(rank, message)

    def _configurations(self, attempt: ProposalAttempt) -> list[tuple[VotingMember, ...]]:
        """Return the sets of members; the attempt needs a majority of each of them."""
        assert self.chosen_state is not None
        states = [attempt.state]
        if attempt.state is None:
            # A state older than the chosen one may name members that were replaced long ago.
            index = self.chosen_state.index
            accepted = (promise.state for promise in attempt.promises.values())
            states = [self.chosen_state, *(state for state in accepted if state and state.index > index)]
        configurations = [
            members
            for state in states
            if state is not None
            for members in (state.members, state.previous_members)
            if members
        ]
        return list(dict.fromkeys(configurations))

    def _on_promise(self, now: int, sender: int, message: Promise, state: ReplicatedState | None) -> None:
        self._record_vote_count(sender, message.store_id, message.vote_count)
        attempt = self._attempt_in(ProposerPhase.PREPARING, message.ballot)
        if attempt is None or (message.state_hash and state is None):
            return
        member = VotingMember(sender, message.store_id)
        attempt.promises[member] = AcceptedValue(message.accepted, message.state_hash, state)
        if self._has_all_quorums(attempt, attempt.promises):
            self._start_accept(now, attempt)
        else:
            self._prepare_new_members(attempt, sender)

    def _attempt_in(self, phase: ProposerPhase, ballot: Ballot) -> ProposalAttempt | None:
        """Return the attempt if it is in this phase of this ballot."""
        attempt = self.attempt
        if attempt is None or attempt.phase is not phase or attempt.ballot != ballot:
            return None
        return attempt

    def _has_all_quorums(self, attempt: ProposalAttempt, voters: Iterable[VotingMember]) -> bool:
        return all(has_quorum(members, voters) for members in self._configurations(attempt))

    def _prepare_new_members(self, attempt: ProposalAttempt, sender: int) -> None:
        """Send Prepare to members that are named only by the state that the sender has accepted."""
        promised = {member.rank for member in attempt.promises}
        prepared = {member.rank for member in (self.chosen_state.members if self.chosen_state else ())}
        member = next((member for member in attempt.promises if member.rank == sender), self.member)
        promise = attempt.promises.get(member)
        if promise is None or promise.state is None:
            return
        for member in (*promise.state.members, *promise.state.previous_members):
            if member.rank not in promised | prepared | {self.rank}:
                self._send(member.rank, Prepare(attempt.ballot, self.voter_state.vote_count))

    def _start_accept(self, now: int, attempt: ProposalAttempt) -> None:
        """Request acceptance of the command's result, or of the base state where the command is rejected."""
        if self.voter_state.promised > attempt.ballot:  # Q1: the voter's own acceptor has promised more
            self._back_off(now, attempt)
            return
        state = self._apply_command(attempt, self._base_state(attempt))
        data = replicated_state.encode(state)
        attempt.state = state
        attempt.state_hash = content_hash(data)
        attempt.phase = ProposerPhase.ACCEPTING
        attempt.sent_at = now
        self._actions.append(StoreBlob(attempt.state_hash, data))
        self.accepted_state = state
        self._vote_with(accepted=attempt.ballot, accepted_hash=attempt.state_hash)
        attempt.acceptances.add(self.member)
        self._send_requests(attempt)
        self._complete_if_chosen(attempt)

    def _base_state(self, attempt: ProposalAttempt) -> ReplicatedState:
        """Return the state that was accepted under the highest ballot, or the chosen one if none was."""
        assert self.chosen_state is not None
        latest = max(attempt.promises.values(), key=lambda promise: promise.ballot)
        if latest.state is None or latest.ballot == ZERO_BALLOT:
            return self.chosen_state
        return latest.state

    def _apply_command(self, attempt: ProposalAttempt, base: ReplicatedState) -> ReplicatedState:
        """Return the state that the command leads to, or the base where the command is rejected."""
        try:
            state = attempt.command.apply(base)
        except CommandRejectedError as error:
            state = base
            attempt.rejection = str(error)
            attempt.is_final = not isinstance(error, StaleTermError)
        else:
            violation = replicated_state.broken_invariant(base, state)
            assert not violation, violation
        if base.previous_members and base != self.chosen_state and not state.previous_members:
            attempt.rejection = (
                "the previous membership change is not settled yet"  # Q3: the base may not have been chosen
            )
            return base
        return state

    def _on_accepted(self, sender: int, message: Accepted) -> None:
        self._record_vote_count(sender, message.store_id, message.vote_count)
        attempt = self._attempt_in(ProposerPhase.ACCEPTING, message.ballot)
        if attempt is not None:
            attempt.acceptances.add(VotingMember(sender, message.store_id))
            self._complete_if_chosen(attempt)

    def _complete_if_chosen(self, attempt: ProposalAttempt) -> None:
        if not self._has_all_quorums(attempt, attempt.acceptances):
            return
        assert attempt.state is not None
        self.attempt = None
        self.chosen_state = attempt.state
        self.chosen_ballot = attempt.ballot
        # The vote counts of the members that accepted the state are written to disk.
        self._update(seen_vote_counts=dict(self.voter_state.seen_vote_counts))
        command = None if attempt.rejection else attempt.command
        self._actions.append(
            StateChosen(attempt.state, attempt.state_hash, attempt.ballot, command, attempt.rejection)
        )
        if attempt.rejection:
            self._actions.append(CommandDropped(attempt.command, attempt.rejection, attempt.is_final))

    def _on_nack(self, now: int, message: Nack) -> None:
        if not self.may_vote:
            return
        promised = self.voter_state.promised
        if message.promised > promised:
            self._vote_with(promised=promised._replace(round=message.promised.round))
        attempt = self.attempt
        if attempt is None or attempt.phase is ProposerPhase.BACKING_OFF:
            return
        if message.ballot == attempt.ballot:
            self._back_off(now, attempt)

    def _back_off(self, now: int, attempt: ProposalAttempt) -> None:
        """Start again after a random delay that is longer each time.

        Without it, two proposers could keep overruling each other's ballots.
        """
        attempt.phase = ProposerPhase.BACKING_OFF
        attempt.backoffs += 1
        max_delay_us = INITIAL_BACKOFF_US << min(attempt.backoffs, MAX_BACKOFF_DOUBLINGS)
        attempt.sent_at = now + int(max_delay_us * self.random.random())

    def _on_tick(self, now: int) -> None:
        if self.verifying_store:
            self._verify_store(now)
        attempt = self.attempt
        if attempt is None:
            return
        if now - attempt.started_at > PROPOSAL_TIMEOUT_US or not self.may_vote:
            self.attempt = None
            self._actions.append(CommandDropped(attempt.command, "no quorum of the voters responded in time"))
        elif attempt.phase is ProposerPhase.BACKING_OFF:
            if now >= attempt.sent_at:
                self._start_prepare(now, attempt)
        elif now - attempt.sent_at >= RESEND_INTERVAL_US:
            attempt.sent_at = now
            self._send_requests(attempt)
