"""Limits of one HTTP message."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ParserLimits:
    """Limits that a parser enforces on each message."""

    max_line_bytes: int = 8_192  # request line, status line or trailer line
    max_head_bytes: int = 32_768  # a whole head with its first line; also all trailers together
    max_header_lines: int = 100  # header lines of a head; also trailer lines of a body
    max_body_bytes: int = 1 << 40
    max_chunk_line_bytes: int = 256  # size and extensions in front of one chunk
    max_chunk_bytes: int = 1 << 31
