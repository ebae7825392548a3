"""Limits of a RESP decoder."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits that a decoder enforces on each value."""

    max_line_bytes: int = 65_536
    max_bulk_bytes: int = 1 << 20
    max_items: int = 65_536  # of one aggregate
    max_total_items: int = 262_144  # of one value with all nested aggregates
    max_depth: int = 32
    max_big_number_digits: int = 4_096
