"""One sample of each message type, generated from the types of its fields."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, get_args, get_type_hints

import msgspec

SIMPLE_SAMPLES: dict[Any, Callable[[int], Any]] = {  # by type: the value for a field's index
    int: lambda index: 1_000 + 37 * index,
    float: lambda index: index + 0.5,
    bool: lambda index: index % 2 == 0,
    str: lambda index: f"text {index}",
    bytes: lambda index: bytes((index, 0, 255)),
}


def sample(kind: Any, index: int) -> Any:
    """Return a value of a type that depends only on the field's index, so that renaming has no effect."""
    if kind in SIMPLE_SAMPLES:
        return SIMPLE_SAMPLES[kind](index)
    if isinstance(kind, type) and issubclass(kind, Enum):
        return next(iter(kind))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return sample_struct(kind)
    if isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields"):
        return kind(*_sample_each(get_type_hints(kind).values(), index))
    return _sample_generic(kind, index)


def _sample_generic(kind: Any, index: int) -> Any:
    parts = get_args(kind)
    if type(None) in parts:
        return sample(parts[0], index)
    if not parts:
        return [1, b"any", 0.5] if kind is list else 7
    origin = getattr(kind, "__origin__", None)
    if origin is dict:
        return {sample(parts[0], index): sample(parts[1], index)}
    if origin is tuple and parts[-1] is not Ellipsis:
        return tuple(_sample_each(parts, index))
    return origin(sample(parts[0], index + offset) for offset in range(2)) if origin else 7


def _sample_each(kinds: Any, index: int) -> list[Any]:
    return [sample(kind, index + offset) for offset, kind in enumerate(kinds)]


def sample_struct(kind: type[msgspec.Struct]) -> msgspec.Struct:
    """Return a message of a type with a sample value in each field."""
    fields = msgspec.structs.fields(kind)
    return kind(*(sample(field.type, index) for index, field in enumerate(fields)))


def samples(union: Any) -> dict[str, msgspec.Struct]:
    """Return a sample message of each type of a union, by its tag on the wire."""
    return {str(kind.__struct_config__.tag): sample_struct(kind) for kind in get_args(union)}
