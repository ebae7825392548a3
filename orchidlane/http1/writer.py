"""Heads and chunks as bytes, and what may pass a gateway (RFC 9110 section 7.6.1)."""

from __future__ import annotations

import re
from collections.abc import Iterable
from http import HTTPStatus

from orchidlane.http1.events import Headers, header_tokens

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer "
    b"transfer-encoding upgrade".split()
)
BAD = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")  # CR and LF are counted
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """The headers that a gateway passes on: hop-by-hop ones and those named by Connection stay behind."""
    kept = [field for field in headers if field[0] not in HOP_BY_HOP]
    if any(name == b"connection" for name, _ in headers):
        named = header_tokens(headers, b"connection")
        return [field for field in kept if field[0] not in named]
    return kept


def request_head(method: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """A request's head. Raises ValueError on what would break the framing."""
    if b" " in target:
        raise ValueError("a target with a blank")
    return _head(method.encode("ascii") + b" " + target + b" HTTP/1.1", headers)


def response_head(status: int, headers: Iterable[tuple[bytes, bytes]], reason: bytes | None = None) -> bytes:
    """A response's head. Raises ValueError on what would break the framing."""
    phrase = REASONS.get(status, b"") if reason is None else reason
    return _head(b"HTTP/1.1 %d %s" % (status, phrase), headers)


def _head(first: bytes, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    lines = [first]
    lines += [name + b": " + value for name, value in headers]
    data = b"\r\n".join(lines) + b"\r\n\r\n"
    ends = len(lines) + 1
    if data.count(b"\r") != ends or data.count(b"\n") != ends or BAD.search(data):
        raise ValueError("a control character in a head")
    return data


def chunk(data: bytes) -> bytes:
    """One chunk; empty data would end the body and gives no bytes."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def last_chunk(trailers: Iterable[tuple[bytes, bytes]] = ()) -> bytes:
    """The end of a chunked body."""
    return b"0\r\n" + b"".join(name + b": " + value + b"\r\n" for name, value in trailers) + b"\r\n"
