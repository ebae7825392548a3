"""What gateways tell each other of the ledger: bodies of sealed datagrams of a kind of their own.

Each fits into one datagram, however large the fleet or a content is: ledgers and contents are told by name
and fetched over HTTP.
"""

from __future__ import annotations

import msgspec

Ballot = tuple[int, int, int]  # round, rank, store: no two attempts have the same one
ZERO: Ballot = (0, -1, 0)


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """What is the latest ledger? The nonce comes back, so that the asker knows how old the answer may be."""

    nonce: int
    index: int


class Told(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The latest ledger that the teller knows; a quorum confirmed it ``age`` microseconds ago, -1: never."""

    nonce: int
    index: int  # 0: none
    name: str
    age: int
    unfounded: bool = False  # the teller is a voter, and no ledger is founded


class Hint(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """There is a later ledger: ask."""

    index: int


class Report(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """To whoever leads: the version that a gateway runs, and what keeps it from the one that it is to run."""

    number: int
    wanted: int
    load: int = 0  # answers a second
    why: str = ""


class Noted(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The report of this version was heard."""

    number: int
    wanted: int


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Promise to take no earlier ballot, and say what was accepted. The sender's own promise is its mark."""

    ballot: Ballot
    mark: int


class Promise(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The promise; ``name`` of the accepted ledger, "" where there is none."""

    ballot: Ballot
    accepted: Ballot
    name: str
    store: int
    mark: int


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A later ballot was promised."""

    ballot: Ballot
    promised: Ballot


class Accept(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Accept the ledger of this name; the sender did."""

    ballot: Ballot
    name: str
    mark: int


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """It is accepted and on disk."""

    ballot: Ballot
    store: int
    mark: int


class Beat(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Whoever leads says so; the ballot is of the latest ledger that it knows to be chosen."""

    term: int
    ballot: Ballot
    number: int  # of this beat
    index: int
    name: str


class Beaten(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """No later ballot was promised as this beat came."""

    number: int
    store: int


class Voted(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A voter's vote on a version, in a term."""

    term: int
    number: int
    store: int
    yes: bool
    seal: bytes
    why: str


class Waiting(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """A voter whose store has no seat; its files' content, and its vote for that as the first version."""

    store: int
    content: str
    seal: bytes


class MarkAsk(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """A voter that started anew: which was the latest vote of this store that you saw?"""

    store: int


class MarkTold(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The latest one; whether the teller votes itself."""

    store: int
    mark: int
    votes: bool


Message = (
    Ask | Told | Hint | Report | Noted | Prepare | Promise | Nack | Accept | Accepted | Beat | Beaten | Voted
    | Waiting | MarkAsk | MarkTold
)  # fmt: skip
WHY_MOST = 80  # characters of a reason in a datagram, at most 160 bytes
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """A message as a datagram's body."""
    return msgspec.msgpack.encode(message)


def decode(body: bytes) -> Message | None:
    """The message of a body; None where it is none."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


def short(text: str) -> str:
    """A reason that fits into a datagram."""
    return text.encode()[: 2 * WHY_MOST].decode(errors="ignore")[:WHY_MOST]
