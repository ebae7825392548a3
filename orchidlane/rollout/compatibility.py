"""Which two versions may serve side by side; decides what a voter may approve, without I/O.

While a version is adopted some gateways serve by the old version and some by the new one, and a request's
retry may come through another gateway than the request did.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from orchidlane.policy import Idempotency
from orchidlane.routes import Generation, Operation

MAX_MIGRATING_CUSTOMERS = 10_000  # in one version: each gateway looks at each of them as it adopts
MAX_NAMED_IN_REASON = 5  # operations or customers


@dataclass(frozen=True, slots=True)
class CustomerAssignment:
    """A customer's plan and its replica set: ``replica_count`` ranks from ``first_replica`` on.

    ``is_suspended``: nothing is served while its replica set changes.
    """

    plan: str
    first_replica: int
    replica_count: int
    has_ceiling: bool = False
    is_suspended: bool = False


Assignments = Mapping[int, CustomerAssignment]


@dataclass(frozen=True, slots=True)
class VersionConfiguration:
    """What a version's contents say, as far as it matters here; assignments by customer number."""

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
        yield f"classes change ({_shorten(names)}): that takes a restart of the gateways"
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
    """Return the names that came or went, or failing these the names whose classes differ."""
    names = sorted(set(old.class_names) ^ set(new.class_names))
    return names or [
        name
        for name, before, after in zip(old.class_names, old.classes, new.classes, strict=False)
        if before != after
    ]


def _operation_conflict(generation: Generation, before: Operation, after: Operation) -> str:
    """Return why a retry through a gateway of the other version is less safe; "" where it is as safe."""
    old_class = generation.classes[before.class_index]
    new_class = generation.classes[after.class_index]
    if old_class.idempotency is not new_class.idempotency:
        return (
            f"from {old_class.idempotency.value} to {new_class.idempotency.value}: one gateway would repeat"
            " what another holds for done once; let it go under a new path, and drop the old one when nobody"
            " asks for it"
        )
    if old_class.idempotency is not Idempotency.IDEMPOTENT_WITH_KEY:
        return ""
    if before.idempotency_header != after.idempotency_header:
        return "its key moves to another header: one gateway would not know the other's repeats"
    if new_class.deduplication_scope is not old_class.deduplication_scope:
        return "servers that drop its repeats change: a repeat could reach one that does not know it"
    if new_class.deduplication_window_us < old_class.deduplication_window_us:
        return "the window of its keys shrinks: a repeat that one gateway allows would run again"
    return ""


def _assignment_conflicts(old: Assignments, new: Assignments) -> Iterator[str]:
    migrating = migrating_customers(old, new)
    unsuspended = [number for number in migrating if not new[number].is_suspended]
    if unsuspended:
        yield f"sets move (customers {_shorten(unsuspended)}): both sets would have rights; hold them first"
    if len(migrating) > MAX_MIGRATING_CUSTOMERS:
        yield f"{len(migrating)} sets move at once, allowed: {MAX_MIGRATING_CUSTOMERS}"
    replanned = [
        number for number, assignment in new.items() if number in old and assignment.plan != old[number].plan
    ]
    if replanned:
        yield f"plans of customers change ({_shorten(replanned)}): rights would be created while both serve"


def has_other_replicas(old: CustomerAssignment, new: CustomerAssignment) -> bool:
    """Tell whether a customer's replica set changes."""
    return (old.first_replica, old.replica_count) != (new.first_replica, new.replica_count)


def migrating_customers(old: Assignments, new: Assignments) -> list[int]:
    """Return the customers with a ceiling whose replica set changes."""
    return [
        number
        for number, assignment in new.items()
        if number in old and assignment.has_ceiling and has_other_replicas(old[number], assignment)
    ]


def customers_to_reset(old: Assignments, new: Assignments) -> list[int]:
    """Return the customers whose quotas begin anew: those that migrate, are suspended or served again."""
    return [
        number
        for number, assignment in new.items()
        if number in old
        and (
            has_other_replicas(old[number], assignment) or old[number].is_suspended != assignment.is_suspended
        )
    ]


def _shorten(names: Sequence[str | int]) -> str:
    shown = ", ".join(map(str, names[:MAX_NAMED_IN_REASON]))
    more = len(names) - MAX_NAMED_IN_REASON
    return f"{shown} and {more} more" if more > 0 else shown
