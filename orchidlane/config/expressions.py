"""Expressions of the settings language, as the parser returns them, each with its position."""

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
    """A bound such as ``>=1`` or ``=~"re"``."""

    position: SourcePosition
    operator: str
    operand: Expression


@dataclass(frozen=True, slots=True, eq=False)
class Reference:
    """A reference such as ``a.b`` or ``#Definition``."""

    position: SourcePosition
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Conjunction:
    """A conjunction such as ``a & b``."""

    position: SourcePosition
    parts: tuple[Expression, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Disjunction:
    """A disjunction such as ``*a | b``: its options, each with whether it is marked as a default."""

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
    """Fields, constraints of ``[string]: T`` for undeclared fields, and whether ``...`` allows any others."""

    position: SourcePosition
    fields: tuple[Field, ...]
    patterns: tuple[Expression, ...]
    is_open: bool


@dataclass(frozen=True, slots=True, eq=False)
class List:
    """Items, and the type of further items; None allows no further ones."""

    position: SourcePosition
    items: tuple[Expression, ...]
    rest: Expression | None


Expression = Literal | Bound | Reference | Conjunction | Disjunction | Struct | List
