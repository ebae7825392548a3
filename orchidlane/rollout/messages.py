"""Messages between gateways about the replicated state: bodies of sealed datagrams of a kind of their own.

Each fits into one datagram, whatever the size of the fleet or of a content: states and contents are named by
their hash and fetched over HTTP.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

MAX_REASON_CHARACTERS = 80  # of a reason in a datagram
MAX_REASON_BYTES = 2 * MAX_REASON_CHARACTERS


class Ballot(NamedTuple):
    """A proposal number. Rank and store make it unique; ballots are compared in the order of the fields."""

    round: int
    rank: int
    store_id: int


ZERO_BALLOT = Ballot(0, -1, 0)


class GossipRequest(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Ask for the latest state; the nonce comes back, so that the sender can bound its age."""

    nonce: int
    index: int


class GossipResponse(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The latest state that the sender knows.

    A quorum confirmed it ``age_us`` microseconds ago (-1: never). ``is_unbootstrapped``: the sender is a
    voter and there is no state yet.
    """

    nonce: int
    index: int  # 0: none
    state_hash: str
    age_us: int
    is_unbootstrapped: bool = False


class NewStateHint(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A state with this index exists: the receiver should ask for it."""

    index: int


class AdoptionReport(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """To the leader: the version that a gateway runs, and what keeps it from the one that it should run."""

    running_number: int
    target_number: int
    answers_per_second: int = 0
    reason: str = ""


class AdoptionReportAck(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The leader received the report with these numbers."""

    running_number: int
    target_number: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Phase 1 request: promise to accept no earlier ballot, and tell what was accepted.

    ``vote_count`` includes the promise that the sender gave itself.
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
    """Phase 2 request: accept the state with this hash, as the sender did."""

    ballot: Ballot
    state_hash: str
    vote_count: int


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Phase 2 response: the state is accepted and on disk."""

    ballot: Ballot
    store_id: int
    vote_count: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The sender leads; ``ballot`` is the one under which the latest state that it knows was chosen."""

    term: int
    ballot: Ballot
    sequence: int
    index: int
    state_hash: str


class HeartbeatAck(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """No later ballot was promised when the heartbeat came."""

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
    """A voter whose store is no member asks to be admitted.

    It carries a prefix of the combined hash of its files, and the seal of its vote for them as version 0.
    """

    store_id: int
    contents_prefix: str
    seal: bytes


class VoteCountRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A voter that started asks for the latest vote of this store that the receiver has seen."""

    store_id: int


class VoteCountResponse(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The highest vote count seen; ``may_vote``: whether the sender votes itself."""

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
