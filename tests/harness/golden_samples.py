"""One sample of each message type, made from its fields' types."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, get_args, get_type_hints

import msgspec

SIMPLE_SAMPLES: dict[Any, Callable[[int], Any]] = {  # type -> value for the number of a field
    int: lambda number: 1_000 + 37 * number,
    float: lambda number: number + 0.5,
    bool: lambda number: number % 2 == 0,
    str: lambda number: f"text {number}",
    bytes: lambda number: bytes((number, 0, 255)),
}


def sample(kind: Any, number: int) -> Any:
    """Return a value of a type, derived from nothing but its place: names play no part."""
    if kind in SIMPLE_SAMPLES:
        return SIMPLE_SAMPLES[kind](number)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return next(iter(kind))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return sample_struct(kind)
    if isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields"):
        return kind(*_sample_each(get_type_hints(kind).values(), number))
    return _sample_generic(kind, number)


def _sample_generic(kind: Any, number: int) -> Any:
    parts = get_args(kind)
    if type(None) in parts:
        return sample(parts[0], number)
    if not parts:
        return [1, b"any", 0.5] if kind is list else 7
    origin = getattr(kind, "__origin__", None)
    if origin is dict:
        return {sample(parts[0], number): sample(parts[1], number)}
    if origin is tuple and parts[-1] is not Ellipsis:
        return tuple(_sample_each(parts, number))
    return origin(sample(parts[0], number + place) for place in range(2)) if origin else 7


def _sample_each(kinds: Any, number: int) -> list[Any]:
    return [sample(kind, number + place) for place, kind in enumerate(kinds)]


def sample_struct(kind: type[msgspec.Struct]) -> msgspec.Struct:
    """Return a message with a value in each field."""
    fields = msgspec.structs.fields(kind)
    return kind(*(sample(field.type, number) for number, field in enumerate(fields)))


def samples(union: Any) -> dict[str, msgspec.Struct]:
    """Return a message of each type of a union, by the tag on the wire."""
    return {str(kind.__struct_config__.tag): sample_struct(kind) for kind in get_args(union)}
