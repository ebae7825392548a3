"""How a message's headers frame its body: Content-Length and Transfer-Encoding (RFC 9112 section 6)."""

from __future__ import annotations

import re
from enum import Enum, auto

from orchidlane.http1.errors import ProtocolError
from orchidlane.http1.header_fields import Headers

_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")


class Framing(Enum):
    """The framing of a body whose length the headers do not state."""

    CHUNKED = auto()
    UNSPECIFIED = auto()  # neither header is present


def body_framing(headers: Headers, minor_version: int, max_body_bytes: int) -> int | Framing:
    """Return the body's length in bytes, or the framing of a body whose length the headers don't state.

    Raises ProtocolError: 400 for contradictory or invalid headers, 413 for a body over the limit, 501 for a
    transfer coding other than chunked. Contradictory headers are always rejected, as they may serve to
    smuggle a request (RFC 9112 section 11.2).
    """
    by_name = dict(headers)
    if b"content-length" not in by_name and b"transfer-encoding" not in by_name:
        return Framing.UNSPECIFIED
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if not codings:
        return _content_length(lengths, max_body_bytes)
    if lengths:
        raise ProtocolError(400, "both Content-Length and Transfer-Encoding")
    if minor_version == 0:
        raise ProtocolError(400, "Transfer-Encoding in HTTP/1.0")
    _check_only_chunked(codings)
    return Framing.CHUNKED


def _content_length(values: list[bytes], max_body_bytes: int) -> int:
    if len(values) > 1 or not _CONTENT_LENGTH.fullmatch(values[0]):
        raise ProtocolError(400, "Content-Length is no single number")
    length = int(values[0])
    if length > max_body_bytes:
        raise ProtocolError(413, "the body is too large")
    return length


def _check_only_chunked(codings: list[bytes]) -> None:
    names = [part.strip(b" \t").lower() for value in codings for part in value.split(b",")]
    if names == [b"chunked"]:
        return
    if b"chunked" in names[:-1] or names[-1] != b"chunked":
        raise ProtocolError(400, "chunked is not the final transfer coding")
    raise ProtocolError(501, "a transfer coding other than chunked")
