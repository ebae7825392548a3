"""Messages between gateways about the replicated state: the bodies of the sealed datagrams of rollouts.

Each message fits into one datagram, whatever the size of the fleet or of the contents: states and contents
are named by their hash and fetched over HTTP.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

MAX_REASON_CHARACTERS = 80  # of a reason in a datagram
MAX_REASON_BYTES = 2 * MAX_REASON_CHARACTERS


class Ballot(NamedTuple):
    """A proposal number. Rank and store make it unique; ballots are compared field by field in order."""

    round: int
    rank: int
    store_id: int


ZERO_BALLOT = Ballot(0, -1, 0)


class GossipRequest(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Request for the latest state. The response repeats the nonce, by which its age is bounded."""

    nonce: int
    index: int


class GossipResponse(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Response: the latest state that the sender holds.

    A quorum confirmed the state ``age_us`` microseconds ago (-1: never). ``is_unbootstrapped``: the sender is
    a voter that has no state and has never voted.
    """

    nonce: int
    index: int  # 0: none
    state_hash: str
    age_us: int
    is_unbootstrapped: bool = False


class NewStateHint(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A state with this index exists: the receiver should request it."""

    index: int


class AdoptionReport(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """To the leader: the version that a gateway runs, and why it does not run its target version."""

    running_number: int
    target_number: int
    responses_per_second: int = 0
    reason: str = ""


class AdoptionReportAck(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The leader received the report with these numbers."""

    running_number: int
    target_number: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Phase 1 request: promise to accept no earlier ballot, and report what was accepted.

    ``vote_count`` is that of the sender, and includes its own promise.
    """

    ballot: Ballot
    vote_count: int


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Phase 1 response, with the hash of the accepted state ("" where there is none)."""

    ballot: Ballot
    accepted: Ballot
    state_hash: str
    store_id: int
    vote_count: int


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Rejection: a later ballot was promised."""

    ballot: Ballot
    promised: Ballot


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Phase 2 request: accept the state with this hash, which the sender has accepted itself."""

    ballot: Ballot
    state_hash: str
    vote_count: int


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Phase 2 response: the sender has accepted the state and written that to disk."""

    ballot: Ballot
    store_id: int
    vote_count: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The sender leads; ``ballot`` is the one under which the latest state that it has was chosen."""

    term: int
    ballot: Ballot
    sequence: int
    index: int
    state_hash: str


class HeartbeatAck(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The sender had promised no later ballot when it received the heartbeat."""

    sequence: int
    store_id: int


class VersionVote(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A member's vote on a version in a term."""

    term: int
    number: int
    store_id: int
    approves: bool
    seal: bytes
    reason: str


class AdmissionRequest(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Request of a voter whose store is not a member to be admitted.

    Contains a prefix of the combined hash of its files, and the seal of its vote for them as version 0.
    """

    store_id: int
    contents_prefix: str
    seal: bytes


class VoteCountRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Request of a voter that has started, for the highest vote count of its store that was seen."""

    store_id: int


class VoteCountResponse(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Response: the highest vote count seen (0: none), and whether the sender may vote itself."""

    store_id: int
    vote_count: int
    may_vote: bool


Message = (
    GossipRequest
    | GossipResponse
    | NewStateHint
    | AdoptionReport
    | AdoptionReportAck
    | Prepare
    | Promise
    | Nack
    | Accept
    | Accepted
    | Heartbeat
    | HeartbeatAck
    | VersionVote
    | AdmissionRequest
    | VoteCountRequest
    | VoteCountResponse
)
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as the body of a datagram."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> Message | None:
    """Decode the body of a datagram; None where it is not a message."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def truncate_reason(text: str) -> str:
    """Shorten a reason so that it fits into a datagram."""
    return text.encode()[:MAX_REASON_BYTES].decode(errors="ignore")[:MAX_REASON_CHARACTERS]
