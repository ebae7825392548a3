"""Parsers of requests and responses (RFC 9112).

A parser walks through these states, once for each message:

    IDLE -> head complete -> LENGTH, CHUNK_LINE, UNTIL_END or DONE
    LENGTH -> DONE once so many bytes came
    CHUNK_LINE -> CHUNK -> CHUNK_CRLF -> CHUNK_LINE ... -> TRAILERS -> DONE
    UNTIL_END -> DONE when the input ends (responses only)
    DONE -> IDLE by ``next_message``: bytes that came early wait until then (pipelining)

Any breach raises ``ProtocolError`` and leaves the parser dead: what follows can't be told from an attack
(RFC 9112 section 11.2), so nothing is ever guessed. Bytes are fed by ``receive``, events taken by
``next_event`` until it gives None; a parser holds no more than one head or one chunk line beyond what the
caller fed it at a time.
"""

from __future__ import annotations

import re
from enum import Enum, auto
from typing import ClassVar

from orchidlane.http1.events import (
    Data,
    End,
    Event,
    Headers,
    ParserLimits,
    ProtocolError,
    Request,
    Response,
    header_tokens,
)

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
VALUE = rb"(?:[\x21-\x7e\x80-\xff](?:[\x20-\x7e\x80-\xff\t]*[\x21-\x7e\x80-\xff])?)?"
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") ([\x21-\x7e\x80-\xff]+) HTTP/([0-9])\.([0-9])")
STATUS_LINE = re.compile(rb"HTTP/([0-9])\.([0-9]) ([1-9][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")
FIELD = re.compile(rb"(" + TOKEN + rb"):[ \t]*(" + VALUE + rb")[ \t]*")
FIELDS = re.compile(rb"\r\n(" + TOKEN + rb"):[ \t]*(" + VALUE + rb")[ \t]*(?=\r\n|\Z)")
CHUNK = re.compile(
    rb"([0-9A-Fa-f]{1,16})"
    rb"((?:[ \t]*;[ \t]*" + TOKEN + rb"(?:[ \t]*=[ \t]*(?:" + TOKEN + rb'|"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]'
    rb'|\\[\t\x20-\x7e\x80-\xff])*"))?)*)[ \t]*'
)
LENGTH_VALUE = re.compile(rb"[0-9]{1,18}")
HOST = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9\-._~%!$&'()*+,;=]*)(?::[0-9]*)?")
EMPTY_LINES = 2  # before a request line: forgiven (RFC 9112 section 2.2)
SINGLE = (b"content-length", b"host", b"transfer-encoding", b"expect")


class State(Enum):
    """Where a parser stands."""

    IDLE = auto()
    LENGTH = auto()
    CHUNK_LINE = auto()
    CHUNK = auto()
    CHUNK_CRLF = auto()
    TRAILERS = auto()
    UNTIL_END = auto()
    DONE = auto()
    DEAD = auto()


class _Parser:
    """What both sides share."""

    def __init__(self, limits: ParserLimits | None = None) -> None:
        self.limits = limits or ParserLimits()
        self.state = State.IDLE
        self.input_ended = False  # the other side sends no more
        self._buffer = bytearray()
        self._searched = 0  # no end of a head lies before this place
        self._left = 0  # of a body or chunk of known length
        self._body = 0  # bytes of a chunked body so far
        self._trailers: list[tuple[bytes, bytes]] = []
        self._trailer_bytes = 0
        self._empty_lines = 0

    @property
    def pending_bytes(self) -> int:
        """Bytes that were fed and not yet told."""
        return len(self._buffer)

    def receive(self, data: bytes) -> None:
        """Feed bytes; none at all means that the input has ended."""
        if data:
            self._buffer += data
        else:
            self.input_ended = True

    def next_event(self) -> Event | None:
        """The next event, or None until more bytes come. Raises ProtocolError."""
        try:
            return self._STEPS[self.state](self)
        except ProtocolError:
            self.state = State.DEAD
            raise

    @property
    def unread(self) -> bytes:
        """The bytes that no event was made of yet; between two messages they are all that is known."""
        return bytes(self._buffer)

    def next_message(self) -> None:
        """Go on to the message after this one."""
        assert self.state is State.DONE, self.state
        self.state = State.IDLE
        self._searched = self._body = self._trailer_bytes = self._empty_lines = 0
        self._trailers, self._owes_end = [], False

    # -- heads

    def _head(self) -> Event | None:
        self._skip_empty_lines()
        buffer = self._buffer
        end = buffer.find(b"\r\n\r\n", max(0, self._searched - 3))
        if end < 0:
            self._check_unfinished_head()
            return None
        if end > self.limits.max_head_bytes:
            raise ProtocolError(self._too_long(), "the head is too long")
        head = bytes(buffer[:end])
        del buffer[: end + 4]
        self._searched = 0
        first = head.find(b"\r\n")
        line = head if first < 0 else head[:first]
        if len(line) > self.limits.max_line_bytes:
            raise ProtocolError(self._long_line_status, "the first line is too long")
        return self._start(line, self._fields(head[len(line) :]))

    def _skip_empty_lines(self) -> None:
        while self._buffer[:2] == b"\r\n" and self._empty_lines < EMPTY_LINES:
            del self._buffer[:2]
            self._empty_lines += 1
        if self._buffer[:2] == b"\r\n":
            raise ProtocolError(400, "empty lines in place of a message")

    def _check_unfinished_head(self) -> None:
        buffer = self._buffer
        at = buffer.find(b"\n", self._searched)
        while at >= 0:  # a bare LF would otherwise be waited upon for ever
            if at == 0 or buffer[at - 1] != 13:
                raise ProtocolError(400, "a line ends with a bare LF")
            at = buffer.find(b"\n", at + 1)
        self._searched = max(0, len(buffer) - 1)
        if len(buffer) > self.limits.max_head_bytes or (
            len(buffer) > self.limits.max_line_bytes
            and buffer.find(b"\r\n", 0, self.limits.max_line_bytes + 2) < 0
        ):
            raise ProtocolError(self._too_long(), "the head is too long")
        if self.input_ended and buffer:
            raise ProtocolError(400, "the input ended within a head")

    def _too_long(self) -> int:
        first = self._buffer.find(b"\r\n", 0, self.limits.max_line_bytes + 2)
        return self._long_line_status if first < 0 else 431

    _long_line_status = 400

    def _fields(self, block: bytes) -> Headers:
        """All header lines, each after its CRLF: in one go, or line by line to say what is wrong."""
        count = block.count(b"\r\n")
        if count > self.limits.max_header_lines:
            raise ProtocolError(431, "too many header lines")
        found = FIELDS.findall(block)
        if len(found) != count or block.count(b"\r") != count or block.count(b"\n") != count:
            for line in block.split(b"\r\n")[1:]:
                self._field(line)
            raise ProtocolError(400, "header lines that can't be told apart")
        return tuple([(name.lower(), value) for name, value in found])

    def _field(self, line: bytes) -> tuple[bytes, bytes]:
        match = FIELD.fullmatch(line)
        if match is None:
            raise ProtocolError(400, _what_is_wrong(line))
        return match[1].lower(), match[2]

    def _start(self, line: bytes, headers: Headers) -> Event:
        raise NotImplementedError

    # -- bodies

    def _frame(self, headers: Headers, minor: int) -> int | bool | None:
        """The length that the headers state, None for chunked, False for neither (RFC 9112 section 6)."""
        by_name = dict(headers)
        if b"content-length" not in by_name and b"transfer-encoding" not in by_name:
            return False
        lengths = [value for name, value in headers if name == b"content-length"]
        codings = [value for name, value in headers if name == b"transfer-encoding"]
        if codings:
            if lengths:
                raise ProtocolError(400, "both Content-Length and Transfer-Encoding")
            if minor == 0:
                raise ProtocolError(400, "Transfer-Encoding in HTTP/1.0")
            self._check_chunked(codings)
            return None
        if len(lengths) > 1 or not LENGTH_VALUE.fullmatch(lengths[0]):
            raise ProtocolError(400, "Content-Length is no single number")
        length = int(lengths[0])
        if length > self.limits.max_body_bytes:
            raise ProtocolError(413, "the body is too large")
        return length

    def _check_chunked(self, codings: list[bytes]) -> None:
        names = [part.strip(b" \t").lower() for value in codings for part in value.split(b",")]
        if names == [b"chunked"]:
            return
        if b"chunked" in names[:-1] or names[-1] != b"chunked":
            raise ProtocolError(400, "chunked is not the final transfer coding")
        raise ProtocolError(501, "a transfer coding other than chunked")

    def _enter_body(self, length: int | None) -> None:
        if length is None:
            self.state = State.CHUNK_LINE
        elif length:
            self._left = length
            self.state = State.LENGTH
        else:
            self.state = State.DONE
            self._owes_end = True

    _owes_end = False

    def _done(self) -> Event | None:
        if self._owes_end:
            self._owes_end = False
            return End(tuple(self._trailers))
        return None

    def _finish(self) -> Event:
        self.state = State.DONE
        self._owes_end = False
        return End(tuple(self._trailers))

    def _take(self) -> Event | None:
        data = bytes(self._buffer[: self._left])
        if not data:
            self._check_not_ended()
            return None
        del self._buffer[: len(data)]
        self._left -= len(data)
        return Data(data)

    def _check_not_ended(self) -> None:
        if self.input_ended:
            raise ProtocolError(400, "the input ended within a body")

    def _length(self) -> Event | None:
        event = self._take()
        if event is not None and not self._left:
            self.state = State.DONE
            self._owes_end = True
        return event

    def _chunk(self) -> Event | None:
        event = self._take()
        if event is not None and not self._left:
            self.state = State.CHUNK_CRLF
        return event

    def _line(self, most: int, status: int) -> bytes | None:
        """One line of framing, without its CRLF."""
        end = self._buffer.find(b"\n", 0, most + 2)
        if end < 0:
            if len(self._buffer) > most:
                raise ProtocolError(status, "a line of the framing is too long")
            self._check_not_ended()
            return None
        if end == 0 or self._buffer[end - 1] != 13:
            raise ProtocolError(400, "a line ends with a bare LF")
        line = bytes(self._buffer[: end - 1])
        del self._buffer[: end + 1]
        return line

    def _chunk_line(self) -> Event | None:
        line = self._line(self.limits.max_chunk_line_bytes, 400)
        if line is None:
            return None
        match = CHUNK.fullmatch(line)
        if match is None:
            raise ProtocolError(400, "a chunk's size is no number")
        self._left = int(match[1], 16)
        self._body += self._left
        if self._left > self.limits.max_chunk_bytes or self._body > self.limits.max_body_bytes:
            raise ProtocolError(413, "the body is too large")
        self.state = State.CHUNK if self._left else State.TRAILERS
        return self.next_event()

    def _chunk_crlf(self) -> Event | None:
        if len(self._buffer) < 2:
            if self._buffer and self._buffer[0] != 13:
                raise ProtocolError(400, "a chunk is longer than its size")
            self._check_not_ended()
            return None
        if self._buffer[:2] != b"\r\n":
            raise ProtocolError(400, "a chunk is longer than its size")
        del self._buffer[:2]
        self.state = State.CHUNK_LINE
        return self.next_event()

    def _trailer(self) -> Event | None:
        while (line := self._line(self.limits.max_line_bytes, 431)) is not None:
            if not line:
                return self._finish()
            self._trailer_bytes += len(line)
            if (
                len(self._trailers) >= self.limits.max_header_lines
                or self._trailer_bytes > self.limits.max_head_bytes
            ):
                raise ProtocolError(431, "too many trailers")
            self._trailers.append(self._field(line))
        return None

    def _until_end(self) -> Event | None:
        if self._buffer:
            data = bytes(self._buffer)
            self._buffer.clear()
            return Data(data)
        return self._finish() if self.input_ended else None

    def _dead(self) -> Event | None:
        raise ProtocolError(400, "the connection is out of step")

    _STEPS: ClassVar = {
        State.IDLE: _head,
        State.LENGTH: _length,
        State.CHUNK_LINE: _chunk_line,
        State.CHUNK: _chunk,
        State.CHUNK_CRLF: _chunk_crlf,
        State.TRAILERS: _trailer,
        State.UNTIL_END: _until_end,
        State.DONE: _done,
        State.DEAD: _dead,
    }


class RequestParser(_Parser):
    """A server's side: what clients send."""

    _long_line_status = 414

    def _start(self, line: bytes, headers: Headers) -> Request:
        match = REQUEST_LINE.fullmatch(line)
        if match is None:
            raise ProtocolError(400, "no request line of HTTP")
        method, target, minor = match[1].decode("ascii"), match[2], int(match[4])
        if match[3] != b"1" or minor > 1:
            raise ProtocolError(505, "HTTP/1.0 and HTTP/1.1 are spoken here")
        self._check_host(headers, minor)
        self._check_target(method, target)
        framed = self._frame(headers, minor)
        length = 0 if framed is False else framed
        self._enter_body(length)
        keep = _keeps_alive(headers, minor)
        return Request(method, target, minor, headers, length, keep, self._expects(headers, minor))

    def _check_host(self, headers: Headers, minor: int) -> None:
        hosts = [value for name, value in headers if name == b"host"]
        if len(hosts) > 1 or (not hosts and minor == 1):
            raise ProtocolError(400, "not exactly one Host")
        if hosts and not HOST.fullmatch(hosts[0]):
            raise ProtocolError(400, "Host is no authority")

    def _check_target(self, method: str, target: bytes) -> None:
        if method == "CONNECT":
            raise ProtocolError(501, "no tunnels here")
        if target == b"*":
            if method != "OPTIONS":
                raise ProtocolError(400, "the target * is for OPTIONS only")
        elif not target.startswith(b"/") and not re.match(rb"https?://[^/?#@]+(?:[/?]|$)", target, re.I):
            raise ProtocolError(400, "the target is neither a path nor an absolute URI")
        if b"#" in target:
            raise ProtocolError(400, "a fragment in the target")

    def _expects(self, headers: Headers, minor: int) -> bool:
        expected = header_tokens(headers, b"expect")
        if not expected or minor == 0:
            return False
        if expected != [b"100-continue"]:
            raise ProtocolError(417, "only 100-continue can be expected")
        return True


class ResponseParser(_Parser):
    """A client's side: what servers answer. Tell each request's method by ``expect`` before its answer."""

    def __init__(self, limits: ParserLimits | None = None) -> None:
        super().__init__(limits)
        self._method = "GET"

    def expect_response_to(self, method: str) -> None:
        """The next response answers a request of this method."""
        self._method = method

    def _start(self, line: bytes, headers: Headers) -> Response:
        match = STATUS_LINE.fullmatch(line)
        if match is None or match[1] != b"1" or int(match[2]) > 1:
            raise ProtocolError(502, "no status line of HTTP/1")
        status, minor = int(match[3]), int(match[2])
        if status == 101:
            raise ProtocolError(502, "an upgrade that nobody asked for")
        keep = _keeps_alive(headers, minor)
        if status < 200:
            return Response(status, match[4] or b"", minor, headers, 0, keep)  # the final one follows
        framed = self._frame(headers, minor)
        if self._method == "HEAD" or status in (204, 304):
            self._enter_body(0)
            return Response(status, match[4] or b"", minor, headers, 0, keep)
        if framed is False:
            self.state = State.UNTIL_END
            return Response(status, match[4] or b"", minor, headers, None, False)
        self._enter_body(framed)
        return Response(status, match[4] or b"", minor, headers, framed, keep)


def _keeps_alive(headers: Headers, minor: int) -> bool:
    if not any(name == b"connection" for name, _ in headers):
        return minor == 1
    tokens = header_tokens(headers, b"connection")
    if b"close" in tokens:
        return False
    return minor == 1 or b"keep-alive" in tokens


def _what_is_wrong(line: bytes) -> str:
    """A message that quotes nothing: header values may be secrets."""
    if line[:1] in b" \t":
        return "a folded header line"
    if b"\x00" in line or b"\r" in line or b"\n" in line:
        return "a control character in a header"
    if b":" not in line:
        return "a header without a colon"
    if line.partition(b":")[0] != line.partition(b":")[0].strip(b" \t"):
        return "a blank before a header's colon"
    return "a header with a character that is not allowed"
