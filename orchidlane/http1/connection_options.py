"""The Connection header: hop-by-hop headers and persistence (RFC 9110 section 7.6.1, RFC 9112 section 9)."""

from __future__ import annotations

from orchidlane.http1.header_fields import Headers, header_tokens

HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer "
    b"transfer-encoding upgrade".split()
)


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers that an intermediary forwards: neither hop-by-hop nor named by Connection."""
    forwarded = [field for field in headers if field[0] not in HOP_BY_HOP_HEADERS]
    if any(name == b"connection" for name, _ in headers):
        options = frozenset(header_tokens(headers, b"connection"))
        return [field for field in forwarded if field[0] not in options]
    return forwarded


def keeps_alive(headers: Headers, minor_version: int) -> bool:
    """Return whether the connection persists after the message (RFC 9112 section 9.3)."""
    if not any(name == b"connection" for name, _ in headers):
        return minor_version == 1
    options = header_tokens(headers, b"connection")
    if b"close" in options:
        return False
    return minor_version == 1 or b"keep-alive" in options
