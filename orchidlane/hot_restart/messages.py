"""Protocol between the old and the new process of a hot restart, over one Unix socket.

    frame: u32 length, u32 CRC-32 of the body, body (MessagePack); little-endian

Frames have the same format as in the segments of a record (``orchidlane.recording.frames``). Each body is an
array: the type number of the message, then its fields. Type numbers are never reused, and fields are only
appended, with a default. ``PROTOCOL_VERSION`` is incremented when an old process could no longer understand a
new one. The docstring of a message says whether it passes a descriptor; the descriptor is sent with the first
byte of the frame (``Stream.send_with_handle``).
"""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple

import msgspec

from orchidlane.recording.frames import FRAME_HEADER, encode_frame
from orchidlane.recording.state_dump import StateDump

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 64 << 20


class RespSessionState(NamedTuple):
    """Session state that a RESP client has negotiated on its connection."""

    version: int
    name: bytes
    authorized: bool


INITIAL_RESP_SESSION = RespSessionState(2, b"", True)


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages."""


# Sent by the new process


class Hello(Message, frozen=True, tag=1):
    """First message: the sender's build, and the settings that it must share with the old process."""

    protocol_version: int
    build: str
    gateway: str
    rank: int
    gateway_count: int
    plan_names: tuple[str, ...]


class Ready(Message, frozen=True, tag=2):
    """The copied state is in place and the self-check passed."""


class Started(Message, frozen=True, tag=3):
    """The new process has started to serve."""


class Heartbeat(Message, frozen=True, tag=4):
    """Sent periodically in probation: counts of responses by kind, and the latest numbers in use."""

    served: int
    rejected: int
    failed: int
    datagram_sequence: int
    last_request_id: int


class Failure(Message, frozen=True, tag=5):
    """The new process has failed and gives up the hot restart."""

    reason: str


class UnitsReply(Message, frozen=True, tag=6):
    """Reply to ``UnitsRequest``."""

    request_id: int
    granted: bool


class PeerReply(Message, frozen=True, tag=7):
    """A peer's response to a token request of the old process."""

    sender: int
    body: bytes


class CustomerCount(Message, frozen=True, tag=8):
    """This gateway's own count of spent units of a customer; sent before the counted request is forwarded."""

    customer: int
    plan: int
    replica_set_start: int
    replica_set_size: int
    incarnation: int
    value: float


class ReadStarted(Message, frozen=True, tag=16):
    """Bytes are about to be read from this connection.

    Until the next message about the connection, only the sender has these bytes.
    """

    connection_id: int


class RequestStarted(Message, frozen=True, tag=9):
    """A request of the connection is in progress.

    Over RESP: at least one of the requests in the bytes that the latest ``ConnectionIdle`` sent as unread.
    """

    connection_id: int


class ResponseStarted(Message, frozen=True, tag=10):
    """The response to the connection's request is about to be written."""

    connection_id: int


class ConnectionIdle(Message, frozen=True, tag=11):
    """No request of the connection is in progress.

    ``unread`` holds the bytes that were read from the socket but belong to later requests. With ``returned``
    the connection belongs to the old process again. ``session`` is sent for RESP only.
    """

    connection_id: int
    returned: bool = False
    unread: bytes = b""
    session: RespSessionState | None = None


class ConnectionOpened(Message, frozen=True, tag=12):
    """A client has connected; passes a descriptor of its connection."""

    connection_id: int
    protocol: str


class ConnectionClosed(Message, frozen=True, tag=13):
    """A connection is closed."""

    connection_id: int


class ConnectionAdopted(Message, frozen=True, tag=14):
    """Reply to ``ConnectionHandover``: whether the descriptor was received."""

    connection_id: int
    adopted: bool


class ServingStopped(Message, frozen=True, tag=15):
    """The new process accepts no more requests; later messages belong to requests still in progress."""


# Sent by the old process


class Offer(Message, frozen=True, tag=20):
    """The handshake is accepted. The new process continues with this clock, incarnation and generation."""

    build: str
    clock_base_us: int
    incarnation: int
    generation: int
    socket_names: tuple[str, ...]  # of the listeners and the datagram socket, in the order sent


class InheritedSocket(Message, frozen=True, tag=21):
    """One listener or datagram socket; passes its descriptor."""

    name: str


class TableRows(Message, frozen=True, tag=22):
    """Current rows of a table, and keys removed from it; the latest row of a key replaces earlier ones."""

    table: str
    rows: list[Any]
    removed: list[Any] = []


class CopyComplete(Message, frozen=True, tag=23):
    """Every row was sent once; rows that changed since then follow."""


class FinalState(Message, frozen=True, tag=24):
    """The handover: the last part of the state. From here on the new process decides."""

    policy_state: StateDump  # without accounts
    limits: dict[str, Any]
    endpoints: dict[str, Any]
    peers: list[Any]  # received datagrams by peer: rank, incarnation, latest sequence, bitmap of earlier ones
    datagram_sequence: int
    last_request_id: int
    class_names: tuple[str, ...] = ()


class ConnectionHandover(Message, frozen=True, tag=25):
    """An idle client connection, with the bytes read of its next request; passes its descriptor."""

    connection_id: int
    protocol: str
    unread: bytes
    unread_since_us: int
    last_received_at_us: int
    session: RespSessionState = INITIAL_RESP_SESSION


class UnitsRequest(Message, frozen=True, tag=26):
    """Requests units of a customer's quota for a request that is still in progress in the old process."""

    request_id: int
    customer: int
    plan: int
    class_index: int
    units: float
    replica_set_start: int
    replica_set_size: int


class SendDatagram(Message, frozen=True, tag=27):
    """A datagram with token requests of the old process, to be sealed and sent by the new process."""

    rank: int
    body: bytes


class GrantRecorded(Message, frozen=True, tag=28):
    """A grant that the old process made from units granted by the new one.

    ``reserved_us`` is the duration of the reservation in microseconds, -1 for no reservation.
    """

    name: bytes
    customer: int
    units: float
    reserved_us: int


class Abort(Message, frozen=True, tag=29):
    """The old process aborts the hot restart and continues to serve."""

    reason: str


class Reclaim(Message, frozen=True, tag=30):
    """Probation has failed: the new process is to stop serving, return the clients and exit."""

    reason: str


class Release(Message, frozen=True, tag=31):
    """Probation has passed; the old process exits once its own requests have received their responses."""


# Sent by command-line tools, and the response


class StatusRequest(Message, frozen=True, tag=40):
    """Requests the status of a gateway's hot restart; the response is ``Status``."""


class Status(Message, frozen=True, tag=41):
    """Phase, build and process of a gateway, outcome of its latest hot restart, responses by kind."""

    phase: str
    build: str
    pid: int
    last_outcome: str
    served: int = 0
    rejected: int = 0
    failed: int = 0


AnyMessage = (
    Hello
    | Ready
    | Started
    | Heartbeat
    | Failure
    | UnitsReply
    | PeerReply
    | CustomerCount
    | ReadStarted
    | RequestStarted
    | ResponseStarted
    | ConnectionIdle
    | ConnectionOpened
    | ConnectionClosed
    | ConnectionAdopted
    | ServingStopped
    | Offer
    | InheritedSocket
    | TableRows
    | CopyComplete
    | FinalState
    | ConnectionHandover
    | UnitsRequest
    | SendDatagram
    | GrantRecorded
    | Abort
    | Reclaim
    | Release
    | StatusRequest
    | Status
)
_DECODER = msgspec.msgpack.Decoder(AnyMessage)


class ProtocolError(Exception):
    """The other process sent bytes that are not a message of the protocol, or a message out of order."""


def encode(message: Message) -> bytes:
    """Encode a message as a frame."""
    return encode_frame(msgspec.msgpack.encode(message))


class Parser:
    """Incremental parser: takes received bytes and returns messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def receive(self, data: bytes) -> None:
        """Append received bytes."""
        self._buffer += data

    def next_message(self) -> AnyMessage | None:
        """Return the next message, None if more bytes are needed. Raises ProtocolError."""
        body = self._next_body()
        if body is None:
            return None
        try:
            message: AnyMessage = _DECODER.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ProtocolError(f"not a message of the hot restart protocol: {error}") from None
        return message

    def _next_body(self) -> bytes | None:
        if len(self._buffer) < FRAME_HEADER.size:
            return None
        length, checksum = FRAME_HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise ProtocolError("frame length exceeds the maximum of 64 MiB")
        end = FRAME_HEADER.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[FRAME_HEADER.size : end])
        del self._buffer[:end]
        if zlib.crc32(body) != checksum:
            raise ProtocolError("frame checksum does not match its body")
        return body
