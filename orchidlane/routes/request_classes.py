"""Request classes of a description, made from its extensions."""

from __future__ import annotations

import enum
from typing import NamedTuple, TypeVar

from orchidlane.config.quantity import Duration
from orchidlane.policy import DeduplicationScope, Idempotency, RequestClass
from orchidlane.routes.description import Description
from orchidlane.routes.extension import Extension, Sources, inherit

SAFE_METHODS = ("get", "head", "options")  # RFC 9110 section 9.2.1
DEFAULT_DEADLINE = "10s"
DEFAULT_OBJECTIVE_DIVISOR = 4  # the default objective is the deadline divided by this
INVALID_DURATION_US = 1_000_000  # placeholder for an invalid duration; the description is rejected
Choice = TypeVar("Choice", bound=enum.Enum)


class _Definition(NamedTuple):
    request_class: RequestClass
    location: str


class RequestClasses:
    """The request classes of one description, in the order of their declaration, then of first use."""

    def __init__(self, description: Description, root: Extension) -> None:
        self._description = description
        self._root = root
        self._definitions: dict[str, _Definition] = {}

    def names(self) -> tuple[str, ...]:
        """Return the names in their final order: as declared, then by first use.

        So a declared class keeps its number when operations are reordered in the description.
        """
        declared = {name: index for index, name in enumerate(self._root.classes or {})}
        return tuple(sorted(self._definitions, key=lambda name: declared.get(name, len(declared))))

    def values(self) -> tuple[RequestClass, ...]:
        """Return the classes in the order of ``names``."""
        return tuple(self._definitions[name].request_class for name in self.names())

    def declared(self, name: str) -> Extension:
        """Return the extension of a class in the root's ``classes``; an empty one if it is not declared."""
        return (self._root.classes or {}).get(name, Extension())

    def add(self, name: str, method: str, inner_extensions: Sources, location: str) -> None:
        """Add the class of an operation; report a class that differs from an earlier one of that name."""
        sources = (*inner_extensions, self.declared(name), self._root)
        request_class = self._make(name, method, sources, location)
        first = self._definitions.setdefault(name, _Definition(request_class, location))
        if first.request_class != request_class:
            self._description.report(location, f"class {name} differs from the one at {first.location}")

    def _make(self, name: str, method: str, sources: Sources, location: str) -> RequestClass:
        idempotency = self._choose(
            "effect",
            inherit(sources, lambda source: source.idempotency),
            Idempotency.IDEMPOTENT if method in SAFE_METHODS else Idempotency.NOT_IDEMPOTENT,
            location,
        )
        scope = self._choose(
            "group",
            inherit(sources, lambda source: source.deduplication_scope),
            DeduplicationScope.ALL,
            location,
        )
        deadline = inherit(sources, lambda source: source.deadline) or DEFAULT_DEADLINE
        deadline_us = self._duration("deadline", deadline, location)
        objective = inherit(sources, lambda source: source.latency_objective)
        objective_us = self._duration("aim", objective, location) or deadline_us // DEFAULT_OBJECTIVE_DIVISOR
        window_us = self._duration(
            "window", inherit(sources, lambda source: source.deduplication_window), location
        )
        if idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not window_us:
            self._description.report(location, f"class {name} has the effect keyed and needs a window")
        if objective_us > deadline_us:
            self._description.report(location, f"class {name} has an aim longer than its deadline")
        weight = inherit(sources, lambda source: source.priority_weight)
        late_weight = inherit(sources, lambda source: source.late_priority_weight)
        return RequestClass(
            latency_objective_us=objective_us,
            deadline_us=deadline_us,
            priority_weight=1.0 if weight is None else float(weight),
            late_priority_weight=0.0 if late_weight is None else float(late_weight),
            idempotency=idempotency,
            deduplication_scope=scope,
            deduplication_window_us=window_us,
        )

    def _choose(self, field: str, text: str | None, default: Choice, location: str) -> Choice:
        if not text:
            return default
        choices = type(default)
        try:
            return choices(text)
        except ValueError:
            allowed = ", ".join(choice.value for choice in choices)
            self._description.report(location, f"found {field} {text!r}, allowed: {allowed}")
            return default

    def _duration(self, field: str, text: str | None, location: str) -> int:
        """Return a duration in microseconds, 0 where none is set."""
        if not text:
            return 0
        try:
            return int(Duration.parse(text))
        except ValueError as error:
            self._description.report(location, f"{field}: {error}")
            return INVALID_DURATION_US
