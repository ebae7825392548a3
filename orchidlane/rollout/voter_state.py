"""A voter's state on disk, the actions that it requests, and its attempt to carry out a command."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import NamedTuple

import msgspec

from orchidlane.rollout.commands import Command
from orchidlane.rollout.messages import ZERO_BALLOT, Ballot, Message
from orchidlane.rollout.replicated_state import ReplicatedState
from orchidlane.rollout.version import Vote, VotingMember

STORE_ID_BITS = 53


class SeenVoteCount(NamedTuple):
    """The highest vote count that was seen of another voter's store."""

    store_id: int
    vote_count: int


class CastVote(NamedTuple):
    """A vote on a version, with the term and the version's number."""

    term: int
    number: int
    vote: Vote


class VoterState(msgspec.Struct, frozen=True):
    """What a voter has on disk.

    ``vote_count`` grows with every promise, acceptance and vote. ``seen_vote_counts`` has the counts that
    were seen of other voters' stores; they show whether such a store was replaced by an older copy.
    """

    store_id: int = msgspec.field(name="store")
    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    accepted_hash: str = msgspec.field(default="", name="name")
    vote_count: int = msgspec.field(default=0, name="mark")
    # by rank of the other voter
    seen_vote_counts: dict[int, SeenVoteCount] = msgspec.field(default_factory=dict, name="marks")
    latest_vote: CastVote | None = msgspec.field(default=None, name="said")


class VoterStart(NamedTuple):
    """What a voter starts with; ``now`` is in microseconds of its own clock.

    ``verifies_store`` is set for the disk of an earlier incarnation, which may be an old copy.
    """

    rank: int
    voter_state: VoterState
    accepted_state: ReplicatedState | None
    chosen_state: ReplicatedState | None
    random: Random
    now: int
    verifies_store: bool = False


# Actions


class Persist(NamedTuple):
    """Write to disk before any later action is carried out; on failure call ``Voter.persist_failed``."""

    voter_state: VoterState


class StoreBlob(NamedTuple):
    """Store a replicated state, so that other gateways can fetch it by its hash."""

    content_hash: str
    data: bytes


class Send(NamedTuple):
    """Send a datagram to another voter."""

    rank: int
    message: Message


class StateChosen(NamedTuple):
    """A state is chosen; ``command`` led to it, or is None where it was rejected (see ``rejection``)."""

    state: ReplicatedState
    state_hash: str
    ballot: Ballot
    command: Command | None
    rejection: str


class CommandDropped(NamedTuple):
    """This voter did not carry out the command. Unless ``is_final``, another attempt may still succeed."""

    command: Command
    reason: str
    is_final: bool = False


class LogWarning(NamedTuple):
    """Log a warning."""

    text: str


Action = Persist | StoreBlob | Send | StateChosen | CommandDropped | LogWarning


# A proposer's attempt


class ProposerPhase(Enum):
    """The phase of an attempt."""

    PREPARING = 0
    ACCEPTING = 1
    BACKING_OFF = 2


class AcceptedValue(NamedTuple):
    """What a voter had accepted when it gave its promise.

    ``state`` is None where it had accepted none since the first state.
    """

    ballot: Ballot
    state_hash: str
    state: ReplicatedState | None


class ProposalAttempt:
    """An attempt to have one command carried out."""

    def __init__(self, command: Command, now: int) -> None:
        self.command = command
        self.started_at = now
        self.sent_at = now  # when the last request was sent; while backing off: when to start again
        self.phase = ProposerPhase.PREPARING
        self.ballot = ZERO_BALLOT
        self.promises: dict[VotingMember, AcceptedValue] = {}
        self.acceptances: set[VotingMember] = set()
        self.state: ReplicatedState | None = None
        self.state_hash = ""
        self.rejection = ""
        self.is_final = False  # whether the rejection is final
        self.backoffs = 0

    def restart(self, ballot: Ballot, now: int) -> None:
        """Start again with a higher ballot."""
        self.ballot = ballot
        self.phase = ProposerPhase.PREPARING
        self.sent_at = now
        self.promises = {}
        self.acceptances = set()
        self.state = None
        self.state_hash = ""
        self.rejection = ""
