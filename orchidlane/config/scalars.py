"""Scalars of the settings language: types, bounds, and the text of expressions in error messages."""

from __future__ import annotations

import re
from typing import Any

from orchidlane.config.expressions import (
    Bound,
    Conjunction,
    Disjunction,
    Expression,
    List,
    Literal,
    Reference,
    Struct,
)

BUILTIN_TYPES = ("int", "float", "number", "string", "bool", "bytes", "_")


PYTHON_TYPES: dict[str, tuple[type, ...]] = {
    "int": (int,),
    "float": (float,),
    "number": (int, float),
    "string": (str,),
    "bool": (bool,),
    "bytes": (bytes,),
}


def is_builtin_type(expression: Expression) -> bool:
    """Return whether an expression is a single name that is one of the built-in types."""
    if not isinstance(expression, Reference) or len(expression.names) != 1:
        return False
    return expression.names[0] in BUILTIN_TYPES


def is_top(expression: Expression) -> bool:
    """Return whether an expression is ``_``, which any value satisfies."""
    return isinstance(expression, Reference) and expression.names == ("_",)


def has_type(name: str, value: Any) -> bool:
    """Return whether a value is of a built-in type; a bool is not an int."""
    return type(value) in PYTHON_TYPES.get(name, ())


def satisfies(operator: str, value: Any, operand: Any) -> bool:
    """Return whether a value satisfies a bound such as ``>=1`` or ``=~"re"``."""
    if operator in ("=~", "!~"):
        return isinstance(value, str) and (re.search(operand, value) is not None) == (operator == "=~")
    if operator == "!=":
        return bool(value != operand)
    if not _are_comparable(value, operand):
        return False
    match operator:
        case ">=":
            return bool(value >= operand)
        case "<=":
            return bool(value <= operand)
        case ">":
            return bool(value > operand)
        case _:
            return bool(value < operand)


def _are_comparable(value: Any, operand: Any) -> bool:
    are_numbers = type(value) in (int, float) and type(operand) in (int, float)
    return are_numbers or (isinstance(value, str) and isinstance(operand, str))


def describe(expression: Expression) -> str:
    """Return an expression in the settings language; structs and lists are abbreviated."""
    match expression:
        case Literal():
            return _literal_text(expression.value)
        case Bound():
            return f"{expression.operator}{describe(expression.operand)}"
        case Reference():
            return ".".join(expression.names)
        case Conjunction():
            return " & ".join(describe(part) for part in expression.parts)
        case Disjunction():
            return " | ".join("*" * default + describe(option) for default, option in expression.options)
        case Struct():
            return "{" + ", ".join(field.name for field in expression.fields) + "}"
        case List():
            return "[...]"


def _literal_text(value: Any) -> str:
    if isinstance(value, str):
        return repr(value).replace("'", '"')
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)
