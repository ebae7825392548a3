"""Types of RESP values that have no equivalent type in Python."""

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
    """An error: an upper-case code, a space and a description."""

    text: str


@dataclass(frozen=True, slots=True)
class VerbatimString:
    """Text with the three letters of its format, such as ``txt``."""

    kind: str
    text: bytes


@dataclass(frozen=True, slots=True)
class Push:
    """Data that the server sends without a request for it."""

    items: list[Value]


@dataclass(frozen=True, slots=True)
class SetReply:
    """An unordered collection."""

    items: list[Value]


@dataclass(frozen=True, slots=True)
class AttributedValue:
    """A value with the attributes that were sent before it."""

    attributes: list[tuple[Value, Value]]
    value: Value
