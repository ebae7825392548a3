"""Functions that remove bytes and lines from the front of a parser's input buffer."""

from __future__ import annotations

from orchidlane.http1.errors import ProtocolError

CR = 0x0D


def take_bytes(buffer: bytearray, max_bytes: int) -> bytes:
    """Remove and return the first ``max_bytes`` bytes, or all if the buffer holds fewer."""
    data = bytes(buffer[:max_bytes])
    del buffer[: len(data)]
    return data


def take_line(buffer: bytearray, max_bytes: int, too_long_status: int) -> bytes | None:
    """Remove one line and return it without its CRLF, or return None while it is incomplete.

    Raises ProtocolError: ``too_long_status`` for a line over the limit, 400 for one that ends with a bare LF.
    """
    end = buffer.find(b"\n", 0, max_bytes + 2)
    if end < 0:
        if len(buffer) > max_bytes:
            raise ProtocolError(too_long_status, "a line of the framing is too long")
        return None
    if end == 0 or buffer[end - 1] != CR:
        raise ProtocolError(400, "a line ends with a bare LF")
    line = bytes(buffer[: end - 1])
    del buffer[: end + 1]
    return line
