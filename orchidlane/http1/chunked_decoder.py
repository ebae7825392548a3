"""Decoder of a chunked body and its trailers (RFC 9112 section 7.1)."""

from __future__ import annotations

import re

from orchidlane.http1.errors import ProtocolError
from orchidlane.http1.events import Data, End
from orchidlane.http1.header_fields import TOKEN, parse_header_line
from orchidlane.http1.input_buffer import take_bytes, take_line
from orchidlane.http1.limits import ParserLimits

MAX_CHUNKS_PER_EVENT = 8  # bounds the time that one event takes

# Possessive quantifiers bound the time that a line takes by its length
_TOKEN = TOKEN + rb"+"
_QUOTED_STRING = rb'"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]++|\\[\t\x20-\x7e\x80-\xff])*+"'
_EXTENSION_VALUE = rb"[ \t]*+=[ \t]*+(?:" + _TOKEN + rb"|" + _QUOTED_STRING + rb")"
_EXTENSION = rb"[ \t]*+;[ \t]*+" + _TOKEN + rb"(?:" + _EXTENSION_VALUE + rb")?"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:" + _EXTENSION + rb")*+[ \t]*+")


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

        The data of small chunks that have arrived together is returned in one event. Raises ProtocolError:
        400 for invalid framing, 413 for a chunk or body over its limit, 431 for trailers over their limits.
        """
        pieces: list[bytes] = []
        while len(pieces) < MAX_CHUNKS_PER_EVENT and (piece := self._read_data()):
            pieces.append(piece)
        if pieces:
            return Data(b"".join(pieces))
        return self._read_trailers() if self._in_trailers else None

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

    def _read_data(self) -> bytes:
        """Return the next bytes of one chunk, none before the trailers and where none have arrived."""
        if self._in_trailers or not (self._chunk_remaining or self._start_chunk()):
            return b""
        data = take_bytes(self._buffer, self._chunk_remaining)
        self._chunk_remaining -= len(data)
        self._expects_data_crlf = bool(data) and not self._chunk_remaining
        return data

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
