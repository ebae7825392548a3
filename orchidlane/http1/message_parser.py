"""Base class of the parsers of requests and responses (RFC 9112).

A parser goes through these states for each message:

    HEAD -> FIXED_LENGTH_BODY, CHUNKED_BODY, BODY_UNTIL_CLOSE or BODY_READ
    FIXED_LENGTH_BODY -> BODY_READ once all its bytes are read
    BODY_READ -> COMPLETE with the End event
    CHUNKED_BODY -> COMPLETE with the End event after the trailers
    BODY_UNTIL_CLOSE -> COMPLETE with the End event when the input ends (responses only)
    COMPLETE -> HEAD by ``next_message``; bytes of a pipelined message stay in the buffer until then

After an error the parser stays in FAILED and holds no input. It does not guess where the next message starts,
as that would allow request smuggling (RFC 9112 section 11.2). A parser buffers no more than one head or one
chunk line besides the bytes of the latest ``receive``.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum, auto
from typing import ClassVar

from orchidlane.http1.body_framing import Framing
from orchidlane.http1.chunked_decoder import ChunkedDecoder
from orchidlane.http1.errors import ProtocolError
from orchidlane.http1.events import Data, End, Event, Request, Response
from orchidlane.http1.header_fields import Headers, parse_header_block
from orchidlane.http1.input_buffer import CR, take_bytes
from orchidlane.http1.limits import ParserLimits

MAX_EMPTY_LINES = 2  # ignored before the first line of a message (RFC 9112 section 2.2)
_END_OF_HEAD = b"\r\n\r\n"
_END_OF_HEAD_BYTES = len(_END_OF_HEAD)


class ParserState(Enum):
    """The part of the message that the parser reads next."""

    HEAD = auto()
    FIXED_LENGTH_BODY = auto()
    CHUNKED_BODY = auto()
    BODY_UNTIL_CLOSE = auto()
    BODY_READ = auto()
    COMPLETE = auto()
    FAILED = auto()


class MessageParser(ABC):
    """Parses input into the events of one message after the other.

    Bytes are fed by ``receive``; events are taken by ``next_event`` until it returns None.
    """

    too_long_line_status: ClassVar[int] = 400

    def __init__(self, limits: ParserLimits | None = None) -> None:
        self.limits = limits or ParserLimits()
        self.state = ParserState.HEAD
        self.input_ended = False
        self._buffer = bytearray()
        self._searched_bytes = 0  # no head ends before this index
        self._empty_lines = 0
        self._body_remaining = 0  # bytes of a fixed-length body that are still to be read
        self._chunked_decoder: ChunkedDecoder

    @property
    def pending_bytes(self) -> int:
        """Number of bytes received that are not part of an event yet."""
        return len(self._buffer)

    @property
    def unread(self) -> bytes:
        """Bytes received that are not part of an event yet; between two messages, the parser's only state."""
        return bytes(self._buffer)

    def receive(self, data: bytes) -> None:
        """Append input; empty data means that the input has ended."""
        if data:
            self._buffer += data
        else:
            self.input_ended = True

    def next_event(self) -> Event | None:
        """Return the next event, or None until more input arrives.

        Raises ProtocolError for invalid input, and at each call after that.
        """
        try:
            return self._READERS[self.state](self)
        except ProtocolError:
            self.state = ParserState.FAILED
            self._buffer.clear()
            raise

    def next_message(self) -> None:
        """Start the next message; the current one must be complete."""
        assert self.state is ParserState.COMPLETE or self.state is ParserState.BODY_READ, self.state
        self.state = ParserState.HEAD
        self._searched_bytes = 0
        self._empty_lines = 0

    @abstractmethod
    def _parse_head(self, first_line: bytes, headers: Headers) -> Request | Response:
        """Return the head's event and enter the state of its body. Raises ProtocolError."""

    def _read_head(self) -> Event | None:
        self._skip_empty_lines()
        buffer = self._buffer
        end = buffer.find(_END_OF_HEAD, max(0, self._searched_bytes - _END_OF_HEAD_BYTES + 1))
        if end < 0:
            self._check_incomplete_head()
            return None
        if end > self.limits.max_head_bytes:
            raise ProtocolError(self._too_long_head_status(), "the head is too long")
        head = bytes(buffer[:end])
        del buffer[: end + _END_OF_HEAD_BYTES]
        self._searched_bytes = 0
        line_end = head.find(b"\r\n")
        first_line = head if line_end < 0 else head[:line_end]
        if len(first_line) > self.limits.max_line_bytes:
            raise ProtocolError(self.too_long_line_status, "the first line is too long")
        header_block = head[len(first_line) :]
        return self._parse_head(first_line, parse_header_block(header_block, self.limits.max_header_lines))

    def _skip_empty_lines(self) -> None:
        while self._buffer[:2] == b"\r\n" and self._empty_lines < MAX_EMPTY_LINES:
            del self._buffer[:2]
            self._empty_lines += 1
        if self._buffer[:2] == b"\r\n":
            raise ProtocolError(400, "empty lines in place of a message")

    def _check_incomplete_head(self) -> None:
        """Raise ProtocolError if no further input could make the head valid."""
        buffer = self._buffer
        line_feed = buffer.find(b"\n", self._searched_bytes)
        while line_feed >= 0:
            if line_feed == 0 or buffer[line_feed - 1] != CR:
                raise ProtocolError(400, "a line ends with a bare LF")
            line_feed = buffer.find(b"\n", line_feed + 1)
        self._searched_bytes = max(0, len(buffer) - 1)
        if len(buffer) > self.limits.max_head_bytes or self._has_too_long_first_line():
            raise ProtocolError(self._too_long_head_status(), "the head is too long")
        if self.input_ended and buffer:
            raise ProtocolError(400, "the input ended within a head")

    def _has_too_long_first_line(self) -> bool:
        return len(self._buffer) > self.limits.max_line_bytes and not self._has_first_line()

    def _has_first_line(self) -> bool:
        """Return whether the first line ends within its limit."""
        return self._buffer.find(b"\r\n", 0, self.limits.max_line_bytes + 2) >= 0

    def _too_long_head_status(self) -> int:
        return 431 if self._has_first_line() else self.too_long_line_status

    def _enter_body(self, framing: int | Framing) -> int | None:
        """Enter the state that reads a body of this framing; return its length in bytes, None if unknown."""
        if isinstance(framing, int):
            self._body_remaining = framing
            self.state = ParserState.FIXED_LENGTH_BODY if framing else ParserState.BODY_READ
            return framing
        if framing is Framing.CHUNKED:
            self._chunked_decoder = ChunkedDecoder(self._buffer, self.limits)
            self.state = ParserState.CHUNKED_BODY
        else:
            self.state = ParserState.BODY_UNTIL_CLOSE
        return None

    def _read_fixed_length_body(self) -> Event | None:
        data = take_bytes(self._buffer, self._body_remaining)
        if not data:
            self._check_input_not_ended()
            return None
        self._body_remaining -= len(data)
        if not self._body_remaining:
            self.state = ParserState.BODY_READ
        return Data(data)

    def _read_chunked_body(self) -> Event | None:
        event = self._chunked_decoder.next_event()
        if event is None:
            self._check_input_not_ended()
        elif isinstance(event, End):
            self.state = ParserState.COMPLETE
        return event

    def _read_body_until_close(self) -> Event | None:
        if self._buffer:
            return Data(take_bytes(self._buffer, len(self._buffer)))
        return self._read_end() if self.input_ended else None

    def _read_end(self) -> Event:
        self.state = ParserState.COMPLETE
        return End()

    def _read_nothing(self) -> Event | None:
        return None

    def _fail_again(self) -> Event | None:
        raise ProtocolError(400, "the connection is out of step")

    def _check_input_not_ended(self) -> None:
        if self.input_ended:
            raise ProtocolError(400, "the input ended within a body")

    _READERS: ClassVar = {
        ParserState.HEAD: _read_head,
        ParserState.FIXED_LENGTH_BODY: _read_fixed_length_body,
        ParserState.CHUNKED_BODY: _read_chunked_body,
        ParserState.BODY_UNTIL_CLOSE: _read_body_until_close,
        ParserState.BODY_READ: _read_end,
        ParserState.COMPLETE: _read_nothing,
        ParserState.FAILED: _fail_again,
    }
