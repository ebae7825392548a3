"""The values of the protocol that Python has no type of its own for."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

Bulk = bytes
# None, bool, int, float, bytes (bulk), list (array), dict (map), and those below
Value = Any


@dataclass(frozen=True, slots=True)
class Simple:
    """A simple string: one line."""

    text: str


@dataclass(frozen=True, slots=True)
class ErrorReply:
    """An error: an upper-case code, a blank, and what is wrong."""

    text: str


@dataclass(frozen=True, slots=True)
class Verbatim:
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
class Attributed:
    """A value with attributes that stood before it."""

    attributes: list[tuple[Value, Value]]
    value: Value
