"""Bounds of one message."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ParserLimits:
    """Bounds that a parser enforces on each message."""

    max_line_bytes: int = 8_192  # request line, status line or trailer line
    max_head_bytes: int = 32_768  # all of a head, first line included; all trailers together
    max_header_lines: int = 100  # header lines, and again trailer lines
    max_body_bytes: int = 1 << 40
    max_chunk_line_bytes: int = 256  # size and extensions of one chunk
    max_chunk_bytes: int = 1 << 31
