"""The ``x-orchidlane`` extension of an OpenAPI description, and how its fields are inherited.

It may be set at the root (defaults, and ``classes`` by name), on a path and on an operation. Each field is
taken from the innermost object that sets it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from orchidlane.routes.description import Description

NAME = "x-orchidlane"
Value = TypeVar("Value")


class Extension(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={
        "class_name": "class",
        "latency_objective": "aim",
        "idempotency": "effect",
        "deduplication_scope": "group",
        "deduplication_window": "window",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
    },
):
    """One ``x-orchidlane`` object; a field that is absent is inherited from the enclosing object."""

    class_name: str | None = None
    cost: float | None = None
    latency_objective: str | None = None
    deadline: str | None = None
    idempotency: str | None = None
    deduplication_scope: str | None = None
    deduplication_window: str | None = None
    priority_weight: float | None = None
    late_priority_weight: float | None = None
    classes: dict[str, Extension] | None = None
    give_up_header: str | None = None
    idempotency_header: str | None = None


Sources = tuple[Extension, ...]  # innermost first


def read_extension(description: Description, holder: dict[str, Any], location: str) -> Extension:
    """Return the extension of an object; an empty one where it has none, or an invalid one (reported)."""
    if NAME not in holder:
        return Extension()
    try:
        return msgspec.convert(holder[NAME], Extension)
    except msgspec.ValidationError as error:
        description.report(f"{location}/{NAME}".lstrip("/"), str(error))
        return Extension()


def inherit(sources: Sources, field: Callable[[Extension], Value | None]) -> Value | None:
    """Return a field's value from the first source that sets it, or None."""
    for source in sources:
        value = field(source)
        if value is not None:
            return value
    return None
