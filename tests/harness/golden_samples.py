"""One sample of each message type, made from its fields' types."""

from __future__ import annotations

from enum import Enum
from typing import Any, get_args, get_type_hints

import msgspec


def sample(kind: Any, number: int) -> Any:
    """A value of a type, drawn from nothing but its place: names play no part."""
    if kind is int:
        return 1_000 + 37 * number
    if kind is float:
        return number + 0.5
    if kind is bool:
        return number % 2 == 0
    if kind is str:
        return f"text {number}"
    if kind is bytes:
        return bytes((number, 0, 255))
    if isinstance(kind, type) and issubclass(kind, Enum):
        return next(iter(kind))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return sample_struct(kind)
    if isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields"):
        parts = get_type_hints(kind).values()
        return kind(*(sample(part, number + place) for place, part in enumerate(parts)))
    parts = get_args(kind)
    if type(None) in parts:
        return sample(parts[0], number)
    if not parts:
        return [1, b"any", 0.5] if kind is list else 7
    origin = getattr(kind, "__origin__", None)
    if origin is dict:
        return {sample(parts[0], number): sample(parts[1], number)}
    if origin is tuple and parts[-1] is not Ellipsis:
        return tuple(sample(part, number + place) for place, part in enumerate(parts))
    return origin(sample(parts[0], number + place) for place in range(2)) if origin else 7


def sample_struct(kind: type[msgspec.Struct]) -> msgspec.Struct:
    """A message with a value in each field."""
    fields = msgspec.structs.fields(kind)
    return kind(*(sample(field.type, number) for number, field in enumerate(fields)))


def samples(union: Any) -> dict[str, msgspec.Struct]:
    """A message of each type of a union, by the tag on the wire."""
    return {str(kind.__struct_config__.tag): sample_struct(kind) for kind in get_args(union)}
