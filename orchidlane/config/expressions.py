"""Expressions of the settings' language: what the parser makes of a file, each with its position."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidlane.config.errors import SourcePosition


@dataclass(frozen=True, slots=True, eq=False)
class Literal:
    """A concrete scalar."""

    position: SourcePosition
    value: Any


@dataclass(frozen=True, slots=True, eq=False)
class Bound:
    """``>=1``, ``=~"re"`` and their like."""

    position: SourcePosition
    operator: str
    operand: Expression


@dataclass(frozen=True, slots=True, eq=False)
class Reference:
    """``a.b`` or ``#Definition``."""

    position: SourcePosition
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Conjunction:
    """``a & b``."""

    position: SourcePosition
    parts: tuple[Expression, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Disjunction:
    """``*a | b``: the options, each with whether it is a default."""

    position: SourcePosition
    options: tuple[tuple[bool, Expression], ...]


@dataclass(frozen=True, slots=True, eq=False)
class Field:
    """One field of a struct."""

    position: SourcePosition
    name: str
    optional: bool
    value: Expression


@dataclass(frozen=True, slots=True, eq=False)
class Struct:
    """Fields, patterns for names that no field names, and whether ``...`` stands in it."""

    position: SourcePosition
    fields: tuple[Field, ...]
    patterns: tuple[Expression, ...]
    is_open: bool


@dataclass(frozen=True, slots=True, eq=False)
class List:
    """Items, and what further ones must be (None: there may be none)."""

    position: SourcePosition
    items: tuple[Expression, ...]
    rest: Expression | None


Expression = Literal | Bound | Reference | Conjunction | Disjunction | Struct | List
