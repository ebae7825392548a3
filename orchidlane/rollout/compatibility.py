"""Which two versions may serve side by side, and so what a voter may approve. Decisions only, without I/O.

While a version is adopted, some gateways serve by the old version and some by the new one, and the retry of a
request may arrive at another gateway than the request did.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from orchidlane.policy import Idempotency
from orchidlane.routes import Generation, Operation

MAX_MIGRATING_CUSTOMERS = 10_000  # in one version: a gateway handles each of them as it adopts the version
MAX_NAMES_IN_REASON = 5  # of operations, classes or customers


@dataclass(frozen=True, slots=True)
class CustomerAssignment:
    """A customer's plan and its replica set: ``replica_count`` ranks from ``first_replica`` on.

    ``is_suspended``: no gateway serves the customer while its replica set changes.
    """

    plan: str
    first_replica: int
    replica_count: int
    has_ceiling: bool = False
    is_suspended: bool = False


Assignments = Mapping[int, CustomerAssignment]


@dataclass(frozen=True, slots=True)
class VersionConfiguration:
    """The contents of a version that its compatibility depends on; assignments by customer number."""

    generation: Generation
    assignments: Assignments


def incompatibility(old: VersionConfiguration, new: VersionConfiguration) -> str:
    """Return why gateways of these two versions may not serve side by side; "" where they may."""
    conflicts = [
        *_generation_conflicts(old.generation, new.generation),
        *_assignment_conflicts(old.assignments, new.assignments),
    ]
    return "; ".join(conflicts)


def _generation_conflicts(old: Generation, new: Generation) -> Iterator[str]:
    if old.class_names != new.class_names or old.classes != new.classes:
        names = _changed_classes(old, new)
        yield f"request classes change ({_shorten(names)}): this requires a restart of the gateways"
        return
    old_operations = {(operation.method, operation.path): operation for operation in old.operations}
    for operation in new.operations:
        old_operation = old_operations.get((operation.method, operation.path))
        if old_operation is None:
            continue
        conflict = _operation_conflict(old, old_operation, operation)
        if conflict:
            yield f"{operation.name}: {conflict}"


def _changed_classes(old: Generation, new: Generation) -> list[str]:
    """Return the class names that were added or removed; if there are none, those whose classes differ."""
    names = sorted(set(old.class_names) ^ set(new.class_names))
    return names or [
        name
        for name, before, after in zip(old.class_names, old.classes, new.classes, strict=False)
        if before != after
    ]


def _operation_conflict(generation: Generation, before: Operation, after: Operation) -> str:
    """Return why a retry through a gateway on the other version is less safe; "" where it is as safe."""
    old_class = generation.classes[before.class_index]
    new_class = generation.classes[after.class_index]
    if old_class.idempotency is not new_class.idempotency:
        return (
            f"from {old_class.idempotency.value} to {new_class.idempotency.value}: gateways on one version"
            " would retry requests that must not be executed twice under the other; add the operation under a"
            " new path, and remove the old path when it is no longer used"
        )
    if old_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return ""
    if before.idempotency_header != after.idempotency_header:
        return (
            "its idempotency key moves to another header: gateways would not recognize each other's retries"
        )
    if new_class.deduplication_scope is not old_class.deduplication_scope:
        return "its deduplication scope changes: a retry could reach a server that does not recognize it"
    if new_class.deduplication_window_us < old_class.deduplication_window_us:
        return (
            "its deduplication window shrinks: a retry that one gateway still allows would be executed again"
        )
    return ""


def _assignment_conflicts(old: Assignments, new: Assignments) -> Iterator[str]:
    migrating = migrating_customers(old, new)
    unsuspended = [number for number in migrating if not new[number].is_suspended]
    if unsuspended:
        yield f"replica sets change (customers {_shorten(unsuspended)}): both grant quota; suspend them first"
    if len(migrating) > MAX_MIGRATING_CUSTOMERS:
        yield f"{len(migrating)} replica sets change at once, allowed: {MAX_MIGRATING_CUSTOMERS}"
    replanned = [
        number for number, assignment in new.items() if number in old and assignment.plan != old[number].plan
    ]
    if replanned:
        yield f"plans of customers change ({_shorten(replanned)}): both plans would grant quota"


def has_other_replicas(old: CustomerAssignment, new: CustomerAssignment) -> bool:
    """Return whether a customer's replica set changes."""
    return (old.first_replica, old.replica_count) != (new.first_replica, new.replica_count)


def migrating_customers(old: Assignments, new: Assignments) -> list[int]:
    """Return the customers with a ceiling whose replica set changes."""
    return [
        number
        for number, assignment in new.items()
        if number in old and assignment.has_ceiling and has_other_replicas(old[number], assignment)
    ]


def customers_to_reset(old: Assignments, new: Assignments) -> list[int]:
    """Return the customers whose quotas are reset: those that migrate, are suspended or served again."""
    return [
        number
        for number, assignment in new.items()
        if number in old
        and (
            has_other_replicas(old[number], assignment) or old[number].is_suspended != assignment.is_suspended
        )
    ]


def _shorten(names: Sequence[str | int]) -> str:
    shown = ", ".join(map(str, names[:MAX_NAMES_IN_REASON]))
    omitted = len(names) - MAX_NAMES_IN_REASON
    return f"{shown} and {omitted} more" if omitted > 0 else shown
