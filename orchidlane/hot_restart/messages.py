"""What the two sides of an upgrade say to each other, over one Unix socket.

    frames as in a record's segments: u32 length, u32 CRC-32 of the body, body (MessagePack), little-endian

Each body is an array: a number for the message's type, then its fields. Numbers are never used again, fields
are added at the end with a default; ``FORMAT`` grows when an old side could no longer understand a new one.
What a handle comes with is said with each message; it travels beside the frame's first byte
(``Stream.send_with``).
"""

from __future__ import annotations

import zlib
from typing import Any

import msgspec

from orchidlane.recording.frames import FRAME_HEADER, encode_frame
from orchidlane.recording.state_dump import StateDump

FORMAT = 1
FRAME_MOST = 64 << 20  # bytes of one frame


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Any of the below."""


# Of the successor, from the first word on


class Hello(Message, frozen=True, tag=1):
    """Who calls, and what its state must fit: the names of plans, and how many gateways the fleet has."""

    format: int
    build: str
    gateway: str
    rank: int
    gateways: int
    plan_names: tuple[str, ...]


class Warm(Message, frozen=True, tag=2):
    """All that was told is in place and passed the successor's own check."""


class Started(Message, frozen=True, tag=3):
    """It serves."""


class Pulse(Message, frozen=True, tag=4):
    """How it fares in its trial: answers so far by kind, and the numbers that it has used."""

    served: int
    refused: int
    failed: int
    sequence: int
    number: int


class Unfit(Message, frozen=True, tag=5):
    """It gives up by itself, and says why."""

    why: str


class Taken(Message, frozen=True, tag=6):
    """The answer to ``Take``."""

    id: int
    granted: bool


class Heard(Message, frozen=True, tag=7):
    """A peer's answer to a question of the old side."""

    sender: int
    body: bytes


class Count(Message, frozen=True, tag=8):
    """Our count of a customer is this now; said before what it counts is passed on."""

    customer: int
    plan: int
    first: int
    size: int
    start: int
    value: float


class Reading(Message, frozen=True, tag=16):
    """Bytes of this connection are about to be read: until the next word on it nobody else has them."""

    connection: int


class Began(Message, frozen=True, tag=9):
    """A request of this connection is under way; over RESP, one or more of those told last as unread."""

    connection: int


class Answering(Message, frozen=True, tag=10):
    """Its answer is about to be written."""

    connection: int


class Idle(Message, frozen=True, tag=11):
    """Nothing of the connection is under way. ``unread``: what was read of the next request, or more.

    ``back``: it is yours. ``session``: over RESP, version, name, and whether it is authorized.
    """

    connection: int
    back: bool = False
    unread: bytes = b""
    session: tuple[int, bytes, bool] | None = None


class Opened(Message, frozen=True, tag=12):
    """A new client, with a handle of its connection."""

    connection: int
    front: str


class Ended(Message, frozen=True, tag=13):
    """A connection is over."""

    connection: int


class Took(Message, frozen=True, tag=14):
    """Whether a connection that was passed could be taken."""

    connection: int
    taken: bool


class Returned(Message, frozen=True, tag=15):
    """It has stopped serving: whatever is told after this belongs to requests that it still holds."""


# Of the old side


class Offer(Message, frozen=True, tag=20):
    """The call is welcome. The clock is the one to go on with; the rest names the life that goes on."""

    build: str
    clock: int
    incarnation: int
    generation: int
    places: tuple[str, ...]  # of the listeners and datagrams that follow


class Place(Message, frozen=True, tag=21):
    """One of them, with its handle."""

    name: str


class Rows(Message, frozen=True, tag=22):
    """Some of a table as it is now; a later row of the same key replaces an earlier one."""

    table: str
    rows: list[Any]
    gone: list[Any] = []


class Whole(Message, frozen=True, tag=23):
    """Every row was told once; what changed since follows."""


class Final(Message, frozen=True, tag=24):
    """The moment: all before it was told, and from here on the successor decides."""

    module: StateDump  # without accounts
    limits: dict[str, Any]
    nodes: dict[str, Any]
    peers: list[Any]  # what of theirs came: rank, incarnation, latest number, which before it
    sequence: int
    number: int  # of the latest request
    class_names: tuple[str, ...] = ()


class Connection(Message, frozen=True, tag=25):
    """A client between two requests, with a handle of its connection and the bytes read of the next one."""

    id: int
    front: str
    unread: bytes
    since: int
    last: int
    session: tuple[int, bytes, bool] = (2, b"", True)  # RESP: version, name, authorized


class Take(Message, frozen=True, tag=26):
    """Units that the old side needs for what it still holds."""

    id: int
    customer: int
    plan: int
    kind: int
    units: float
    first: int
    size: int


class Tell(Message, frozen=True, tag=27):
    """A datagram of the old side's limits, to be sealed and sent as ours."""

    rank: int
    body: bytes


class Granted(Message, frozen=True, tag=28):
    """A grant that the old side made of units it had taken; ``span`` -1: not a reservation."""

    name: bytes
    customer: int
    units: float
    span: int


class Abort(Message, frozen=True, tag=29):
    """Nothing becomes of it; the old side goes on."""

    why: str


class Recall(Message, frozen=True, tag=30):
    """The trial failed: stop serving, give the clients back, and end."""

    why: str


class Release(Message, frozen=True, tag=31):
    """The trial is passed; the old side ends once its own requests have."""


class Ask(Message, frozen=True, tag=40):
    """Of a tool: how an upgrade stands. Answered by ``Status``."""


class Status(Message, frozen=True, tag=41):
    """Phase, build and process of who answers, what became of the latest upgrade, and its answers by kind."""

    phase: str
    build: str
    pid: int
    latest: str
    served: int = 0
    refused: int = 0
    failed: int = 0


AnyMessage = (
    Hello
    | Warm
    | Started
    | Pulse
    | Unfit
    | Taken
    | Heard
    | Count
    | Reading
    | Began
    | Answering
    | Idle
    | Opened
    | Ended
    | Took
    | Returned
    | Offer
    | Place
    | Rows
    | Whole
    | Final
    | Connection
    | Take
    | Tell
    | Granted
    | Abort
    | Recall
    | Release
    | Ask
    | Status
)
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


class Garbled(Exception):
    """Bytes that are no message of the protocol."""


def encode(message: Message) -> bytes:
    """A message as a frame."""
    return encode_frame(msgspec.msgpack.encode(message))


class Parser:
    """Bytes in, messages out."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def receive(self, data: bytes) -> None:
        """Feed bytes."""
        self._buffer += data

    def next_message(self) -> Any:
        """The next message, None until more bytes come. Raises Garbled."""
        if len(self._buffer) < FRAME_HEADER.size:
            return None
        length, checksum = FRAME_HEADER.unpack_from(self._buffer)
        if length > FRAME_MOST:
            raise Garbled("a frame of impossible length")
        if len(self._buffer) < FRAME_HEADER.size + length:
            return None
        body = bytes(self._buffer[FRAME_HEADER.size : FRAME_HEADER.size + length])
        del self._buffer[: FRAME_HEADER.size + length]
        if zlib.crc32(body) != checksum:
            raise Garbled("a frame does not fit its checksum")
        try:
            return _DECODER.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
            raise Garbled(f"no message of the protocol: {wrong}") from None
