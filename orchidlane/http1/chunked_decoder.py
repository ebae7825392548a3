"""Decoder of a chunked body and its trailers (RFC 9112 section 7.1)."""

from __future__ import annotations

import re

from orchidlane.http1.errors import ProtocolError
from orchidlane.http1.events import Data, End
from orchidlane.http1.header_fields import TOKEN, parse_header_line
from orchidlane.http1.input_buffer import take_bytes, take_line
from orchidlane.http1.limits import ParserLimits

_QUOTED_STRING = rb'"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\[\t\x20-\x7e\x80-\xff])*"'
_EXTENSION = rb"[ \t]*;[ \t]*" + TOKEN + rb"(?:[ \t]*=[ \t]*(?:" + TOKEN + rb"|" + _QUOTED_STRING + rb"))?"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:" + _EXTENSION + rb")*[ \t]*")


class ChunkedDecoder:
    """Decodes one chunked body from the front of a parser's input buffer."""

    def __init__(self, buffer: bytearray, limits: ParserLimits) -> None:
        self._buffer = buffer
        self._limits = limits
        self._chunk_remaining = 0  # bytes of the current chunk's data that are still to be read
        self._expects_data_crlf = False  # the CRLF after a chunk's data comes next
        self._in_trailers = False
        self._body_bytes = 0  # sum of the sizes of all chunks so far
        self._trailers: list[tuple[bytes, bytes]] = []
        self._trailer_bytes = 0

    def next_event(self) -> Data | End | None:
        """Return the next event, or None until the buffer holds more bytes.

        Raises ProtocolError: 400 for invalid framing, 413 for a chunk or body over its limit, 431 for
        trailers over their limits.
        """
        if not self._chunk_remaining and not self._in_trailers and not self._start_chunk():
            return None
        if self._in_trailers:
            return self._read_trailers()
        return self._read_data()

    def _start_chunk(self) -> bool:
        """Read up to the next chunk's data or the trailers; return False if not all of that has arrived."""
        if self._expects_data_crlf and not self._read_data_crlf():
            return False
        line = take_line(self._buffer, self._limits.max_chunk_line_bytes, 400)
        if line is None:
            return False
        match = _SIZE_LINE.fullmatch(line)
        if match is None:
            raise ProtocolError(400, "a chunk's size is no number")
        size = int(match[1], 16)
        self._body_bytes += size
        if size > self._limits.max_chunk_bytes or self._body_bytes > self._limits.max_body_bytes:
            raise ProtocolError(413, "the body is too large")
        self._chunk_remaining = size
        self._in_trailers = not size
        return True

    def _read_data(self) -> Data | None:
        data = take_bytes(self._buffer, self._chunk_remaining)
        if not data:
            return None
        self._chunk_remaining -= len(data)
        self._expects_data_crlf = not self._chunk_remaining
        return Data(data)

    def _read_data_crlf(self) -> bool:
        """Read the CRLF after a chunk's data; return False if it has not arrived."""
        buffer = self._buffer
        if buffer.startswith(b"\r\n"):
            del buffer[:2]
            self._expects_data_crlf = False
            return True
        if buffer and buffer != b"\r":
            raise ProtocolError(400, "a chunk is longer than its size")
        return False

    def _read_trailers(self) -> End | None:
        limits = self._limits
        while (line := take_line(self._buffer, limits.max_line_bytes, 431)) is not None:
            if not line:
                return End(tuple(self._trailers))
            self._trailer_bytes += len(line)
            if len(self._trailers) >= limits.max_header_lines or self._trailer_bytes > limits.max_head_bytes:
                raise ProtocolError(431, "too many trailers")
            self._trailers.append(parse_header_line(line))
        return None
