"""The values of RESP that Python has no type of its own for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# None, bool, int, float, bytes (bulk string), list (array), dict (map), and the types below.
Value = Any

MIN_INTEGER = -(1 << 63)
MAX_INTEGER = (1 << 63) - 1


@dataclass(frozen=True, slots=True)
class SimpleString:
    """A simple string: one line."""

    text: str


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An error: an upper-case code, a blank, and what is wrong."""

    text: str


@dataclass(frozen=True, slots=True)
class VerbatimString:
    """Text with a format of three letters."""

    kind: str
    text: bytes


@dataclass(frozen=True, slots=True)
class Push:
    """Out-of-band data."""

    items: list[Value]


@dataclass(frozen=True, slots=True)
class SetReply:
    """An unordered collection."""

    items: list[Value]


@dataclass(frozen=True, slots=True)
class AttributedValue:
    """A value with attributes that stood before it."""

    attributes: list[tuple[Value, Value]]
    value: Value
