"""The canonical form of a path, so that no other spelling bypasses a rule (RFC 3986 section 6.2.2)."""

from __future__ import annotations

import re

ESCAPE = re.compile(rb"%([0-9A-Fa-f]{2})")
INVALID_ESCAPE = re.compile(rb"%(?![0-9A-Fa-f]{2})")
UNRESERVED = frozenset(b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
CANONICAL = re.compile(rb"(?:/[A-Za-z0-9\-_~][A-Za-z0-9\-._~]*)+")


class PathError(ValueError):
    """The path has no canonical form, or is ambiguous. The message is sent to the client."""


def canonical_path(raw: bytes) -> str:
    """Return a path with unreserved octets decoded, escapes in upper case and no dot segments.

    A path with an escaped slash, backslash or NUL, with a raw backslash, an empty segment, or dot segments
    that climb above the root is rejected, since servers disagree on what these mean. Raises PathError.
    """
    if CANONICAL.fullmatch(raw):
        return raw.decode("ascii")
    if not raw.startswith(b"/"):
        raise PathError("the path does not begin with a slash")
    if INVALID_ESCAPE.search(raw):
        raise PathError("a percent sign without two hexadecimal digits")
    decoded = ESCAPE.sub(_escape, raw)
    if re.search(rb"%(?:2F|5C|00)", decoded) or b"\\" in decoded or b"\0" in decoded:
        raise PathError("an escaped slash, a backslash or a NUL in the path")
    return _without_dot_segments(decoded).decode("latin-1")


def _escape(match: re.Match[bytes]) -> bytes:
    octet = int(match[1], 16)
    return bytes((octet,)) if octet in UNRESERVED else b"%%%02X" % octet


def _without_dot_segments(path: bytes) -> bytes:
    segments: list[bytes] = []
    parts = path.split(b"/")[1:]
    for index, part in enumerate(parts):
        is_last = index == len(parts) - 1
        if part == b"..":
            if not segments:
                raise PathError("dot segments that climb above the root")
            segments.pop()
        elif part == b"" and not is_last:
            raise PathError("an empty segment in the path")
        elif part != b".":
            segments.append(part)
            continue
        if is_last:
            segments.append(b"")
    return b"/" + b"/".join(segments)
