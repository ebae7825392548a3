"""Election of a leader among the voters, and the leader's next command. Contains decisions only, without I/O.

A leader is needed for progress, not for safety: the term of the replicated state fences its commands. A
voter that receives no heartbeat for a while claims the next term. A heartbeat that a quorum acknowledges
proves that no later state had been chosen when the heartbeat was sent; the leases of all gateways count from
that moment (``dissemination``).

A rollout depends only on the replicated state and on messages that voters and gateways repeat, so that a new
leader can continue it: votes are sent to the leader of the term, and adoption reports until the leader has
acknowledged them.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from orchidlane.rollout.commands import ChangeMembership, ClaimLeadership, Command, SettleMembership
from orchidlane.rollout.consensus import Voter
from orchidlane.rollout.messages import AdmissionRequest, Heartbeat, HeartbeatAck
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.rollout_driver import RolloutDriver, RolloutSettings
from orchidlane.rollout.version import VotingMember, has_quorum
from orchidlane.rollout.voter_state import Send

MAX_QUEUED_COMMANDS = 8
MAX_CLAIM_BACKOFF_DOUBLINGS = 4  # of the random part of the delay before a claim
MAX_OUTSTANDING_HEARTBEATS = 16
ADMISSION_REQUEST_TTL_US = 2_000_000  # after which an admission request is ignored


@dataclass(frozen=True)
class LeadershipSettings:
    """Intervals of leader election in microseconds, and the settings of rollouts."""

    heartbeat_interval_us: int
    election_timeout_us: int  # time without a heartbeat after which another voter may claim to lead
    rollout: RolloutSettings


def longest_election_us(heartbeat_interval_us: int, election_timeout_us: int) -> int:
    """Return the longest time from the last confirmation of a leader that dies to the next leader's first.

    The last confirmation is up to one heartbeat interval old when the leader dies. A voter then claims after
    at most twice the timeout; where its claim fails because of a concurrent one, it claims again after at
    most one and a half times that delay.
    """
    first_claim_us = _longest_claim_delay_us(election_timeout_us, 0)
    second_claim_us = _longest_claim_delay_us(election_timeout_us, 1)
    return heartbeat_interval_us + first_claim_us + second_claim_us


def _longest_claim_delay_us(election_timeout_us: int, claims: int) -> int:
    """Return the longest delay before a claim that follows ``claims`` unsuccessful ones."""
    return election_timeout_us * (1 + (1 << min(claims, MAX_CLAIM_BACKOFF_DOUBLINGS)))


class ReceivedRequest(NamedTuple):
    """An admission request of a voter, and when it was received."""

    request: AdmissionRequest
    received_at: int


@dataclass
class SentHeartbeat:
    """A heartbeat that this voter sent as leader, and the members that acknowledged it."""

    sent_at: int
    acknowledged: set[VotingMember] = field(default_factory=set)


class Leadership:
    """One voter's part in leader election, and the leader's commands. Times are microseconds of its clock.

    ``confirmed_at`` is the latest moment at which a quorum is known to have confirmed this voter as leader.
    """

    def __init__(
        self,
        voter: Voter,
        gateway_count: int,
        secret: bytes,
        settings: LeadershipSettings,
        rng: random.Random,
        now: int,
    ) -> None:
        self.voter = voter
        self.settings = settings
        self.random = rng
        self.driver = RolloutDriver(gateway_count, secret, settings.rollout, now)
        self.commands: deque[Command] = deque()
        self.admission_requests: dict[int, ReceivedRequest] = {}
        self.confirmed_at: int | None = None
        self._claimed_term = -1
        self._claimed_at = now
        self._claims = 0  # claims of this voter since the last heartbeat of a leader
        self._leader_seen_at = now
        self._followed_rank = -1  # rank of the sender of the latest heartbeat
        self._election_delay_us = self._random_election_delay()
        self._heartbeats: dict[int, SentHeartbeat] = {}  # by sequence number
        self._heartbeat_sequence = 0
        self._heartbeat_sent_at = now

    @property
    def state(self) -> ReplicatedState | None:
        """The latest state that this voter knows to be chosen."""
        return self.voter.chosen_state

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads, as far as it knows."""
        state = self.state
        return (
            state is not None
            and self.voter.may_vote
            and state.leader == self.voter.rank
            and state.term == self._claimed_term
        )

    def claim_immediately(self) -> None:
        """Claim without a delay: this voter created the first state, so there is no leader yet."""
        self._election_delay_us = -1

    def _random_election_delay(self) -> int:
        """Return a random delay, longer after each claim.

        With a constant range, claims on a slow network could keep overruling each other.
        """
        factor = 1 << min(self._claims, MAX_CLAIM_BACKOFF_DOUBLINGS)
        return int(self.settings.election_timeout_us * (1 + factor * self.random.random()))

    def _us_without_quorum(self, now: int) -> int:
        """Return how long this voter has led without the acknowledgement of a quorum."""
        return now - max(self.confirmed_at or 0, self._claimed_at)

    # -- heartbeats

    def heartbeats(self, now: int) -> list[Send]:
        """Return the heartbeats to the other members, when they are due.

        A leader that no quorum acknowledges stops sending them. Otherwise a leader that can send but not
        receive would keep the others from claiming.
        """
        state = self.state
        if not self.is_leader or state is None:
            return []
        if now - self._heartbeat_sent_at < self.settings.heartbeat_interval_us:
            return []
        if self._us_without_quorum(now) > self.settings.election_timeout_us:
            return []
        self._heartbeat_sent_at = now
        self._heartbeat_sequence += 1
        heartbeat = Heartbeat(
            state.term,
            self.voter.chosen_ballot,
            self._heartbeat_sequence,
            state.index,
            self.voter.voter_state.accepted_hash,
        )
        self._track_heartbeat(now)
        ranks = {member.rank for member in (*state.members, *state.previous_members)} - {self.voter.rank}
        return [Send(rank, heartbeat) for rank in sorted(ranks)]

    def _track_heartbeat(self, now: int) -> None:
        heartbeat = SentHeartbeat(now)
        if self.voter.voter_state.promised == self.voter.chosen_ballot:
            heartbeat.acknowledged.add(self.voter.member)
        self._heartbeats[self._heartbeat_sequence] = heartbeat
        while len(self._heartbeats) > MAX_OUTSTANDING_HEARTBEATS:
            del self._heartbeats[next(iter(self._heartbeats))]
        self._confirm_if_acknowledged(heartbeat)

    def _confirm_if_acknowledged(self, heartbeat: SentHeartbeat) -> None:
        state = self.state
        if state is None or not self.is_leader:
            return
        configurations = [members for members in (state.members, state.previous_members) if members]
        if all(has_quorum(members, heartbeat.acknowledged) for members in configurations):
            self.confirmed_at = max(heartbeat.sent_at, self.confirmed_at or heartbeat.sent_at)

    def receive_heartbeat(self, now: int, sender: int, heartbeat: Heartbeat) -> list[Send]:
        """Follow the sender, and acknowledge unless a later ballot was promised."""
        state = self.state
        if state is not None and heartbeat.term < state.term:
            return []
        self._claims = 0
        self._leader_seen_at = now
        self._election_delay_us = self._random_election_delay()
        self._followed_rank = sender
        if not self.voter.may_vote or heartbeat.ballot < self.voter.voter_state.promised:
            return []
        return [Send(sender, HeartbeatAck(heartbeat.sequence, self.voter.voter_state.store_id))]

    def receive_heartbeat_ack(self, sender: int, message: HeartbeatAck) -> None:
        """Record the acknowledgement of a heartbeat that this voter sent."""
        heartbeat = self._heartbeats.get(message.sequence)
        if heartbeat is not None:
            heartbeat.acknowledged.add(VotingMember(sender, message.store_id))
            self._confirm_if_acknowledged(heartbeat)

    def accepts_ballot_of(self, now: int, sender: int) -> bool:
        """Return whether to handle a Prepare of this sender: not while another voter leads and is connected.

        A voter that receives nothing claims again and again, and each of its ballots would overrule the
        leader. Ignoring a ballot has the same effect as losing the datagram, so it is safe.
        """
        timeout_us = self.settings.election_timeout_us
        if self.is_leader:
            return self.confirmed_at is None or now - self.confirmed_at > timeout_us
        return sender == self._followed_rank or now - self._leader_seen_at > timeout_us

    # -- commands

    def receive_admission_request(self, now: int, sender: int, request: AdmissionRequest) -> None:
        """Record the admission request of a voter whose store is not a member."""
        self.admission_requests[sender] = ReceivedRequest(request, now)

    def recent_admission_requests(self, now: int) -> dict[int, AdmissionRequest]:
        """Return the admission requests that have not expired, by rank."""
        return {
            rank: received.request
            for rank, received in self.admission_requests.items()
            if now - received.received_at < ADMISSION_REQUEST_TTL_US
        }

    def enqueue(self, command: Command) -> bool:
        """Queue a command, and set its term when it is attempted; return False where the queue is full."""
        if len(self.commands) >= MAX_QUEUED_COMMANDS:
            return False
        self.commands.append(command)
        return True

    def next_command(self, now: int) -> Command | None:
        """Return the command to attempt now, if any."""
        if not self.voter.may_vote or self.voter.attempt is not None:
            return None
        state = self.state
        assert state is not None
        if not self.is_leader:
            if now - self._leader_seen_at <= self._election_delay_us:
                return None
            return self._claim(now, state)
        max_us_without_quorum = 3 * self.settings.election_timeout_us + self._election_delay_us
        if self._us_without_quorum(now) > max_us_without_quorum:
            return self._claim(now, state)  # acknowledgements end once a later ballot is promised
        self.driver.track_progress(now, state)
        return (
            self._membership_command(now, state)
            or self.driver.next_command(now, state)
            or self._queued_command()
        )

    def _claim(self, now: int, state: ReplicatedState) -> Command:
        self._claims += 1
        self._leader_seen_at = now
        self._election_delay_us = self._random_election_delay()
        self._claimed_at = now
        self._claimed_term = state.term + 1
        self.confirmed_at = None
        self.driver.votes.clear()
        self.driver.reports.clear()  # of an earlier term; each gateway reports again to a new leader
        return ClaimLeadership(self.voter.rank, self._claimed_term)

    def _membership_command(self, now: int, state: ReplicatedState) -> Command | None:
        if state.previous_members:
            return SettleMembership(state.term, state.index)
        for rank, request in sorted(self.recent_admission_requests(now).items(), key=lambda item: item[0]):
            member = next((member for member in state.members if member.rank == rank), None)
            if member is not None and member.store_id != request.store_id:
                return ChangeMembership(state.term, rank, request.store_id)
        return None

    def _queued_command(self) -> Command | None:
        if not self.commands:
            return None
        return msgspec.structs.replace(self.commands.popleft(), term=self._claimed_term)
