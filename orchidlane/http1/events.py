"""What the parsers tell, their bounds, and the error they raise."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

Headers = tuple[tuple[bytes, bytes], ...]  # (lower-case name, value without surrounding blanks), in order


@dataclass(frozen=True, slots=True)
class ParserLimits:
    """Bounds of one message, in bytes but for the counts."""

    max_line_bytes: int = 8_192  # request or status line
    max_head_bytes: int = 32_768  # all of a head, first line included
    max_header_lines: int = 100  # header lines, and again trailer lines
    max_body_bytes: int = 1 << 40
    max_chunk_line_bytes: int = 256  # size and extensions of one chunk
    max_chunk_bytes: int = 1 << 31


class ProtocolError(Exception):
    """The other side broke the protocol; ``status`` is what a server answers (RFC 9110 section 15)."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class Request(msgspec.Struct, frozen=True, gc=False):
    """A request's head. ``length`` is None for chunked, 0 where there is no body."""

    method: str
    target: bytes
    minor_version: int  # 0 or 1: the version is HTTP/1.minor
    headers: Headers
    body_length: int | None
    keep_alive: bool
    expects_continue: bool


class Response(msgspec.Struct, frozen=True, gc=False):
    """A response's head; 1xx ones come before the final one. ``length`` None: chunked, or until the end."""

    status: int
    reason: bytes
    minor_version: int
    headers: Headers
    body_length: int | None
    keep_alive: bool


class Data(msgspec.Struct, frozen=True, gc=False):
    """A piece of a body, framing taken off."""

    data: bytes


class End(msgspec.Struct, frozen=True, gc=False):
    """The message is complete."""

    trailers: Headers = ()


Event = Request | Response | Data | End


def header(headers: Headers, name: bytes) -> bytes | None:
    """The first value of a header, by its lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def header_tokens(headers: Headers, name: bytes) -> list[bytes]:
    """The elements of a comma-separated header, lower case, over all its lines."""
    found = []
    for key, value in headers:
        if key == name:
            found += [part.strip(b" \t").lower() for part in value.split(b",") if part.strip(b" \t")]
    return found
