"""Writers of heads and chunks (RFC 9112 sections 2.1 and 7.1)."""

from __future__ import annotations

import re
from collections.abc import Iterable
from http import HTTPStatus

# All control characters but HTAB, which is allowed, and CR and LF, which ``_head`` counts.
_CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def request_head(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return a request's head. Raises ValueError for values that would break the framing."""
    if b" " in target:
        raise ValueError("the request target contains a space")
    return _head(method.encode("ascii") + b" " + target + b" HTTP/1.1", headers)


def response_head(status: int, headers: Iterable[tuple[bytes, bytes]], reason: bytes | None = None) -> bytes:
    """Return a response's head. Raises ValueError for values that would break the framing."""
    phrase = _REASON_PHRASES.get(status, b"") if reason is None else reason
    return _head(b"HTTP/1.1 %d %s" % (status, phrase), headers)


def chunk(data: bytes) -> bytes:
    """Return one chunk; no bytes for empty data, as an empty chunk would end the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def last_chunk(trailers: Iterable[tuple[bytes, bytes]] = ()) -> bytes:
    """Return the end of a chunked body."""
    return b"0\r\n" + b"".join(name + b": " + value + b"\r\n" for name, value in trailers) + b"\r\n"


def _head(first_line: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    data = b"\r\n".join(lines) + b"\r\n\r\n"
    line_ends = len(lines) + 1
    if data.count(b"\r") != line_ends or data.count(b"\n") != line_ends or _CONTROL_CHARACTER.search(data):
        raise ValueError("a head contains a control character")
    return data
