"""Compatibility: which versions may serve side by side."""

from __future__ import annotations

import pytest
from harness.descriptions import DESCRIPTION, with_cost

from orchidlane.rollout.compatibility import CustomerAssignment, VersionConfiguration, incompatibility
from orchidlane.routes import build, load_description


def configuration(data: bytes, **customers: tuple) -> VersionConfiguration:
    """Return a configuration; ``c2=(...)`` has the fields of the assignment of customer 2."""
    assignments = {int(key[1:]): CustomerAssignment(*fields) for key, fields in customers.items()}
    return VersionConfiguration(build(load_description(data, "o"), "o"), assignments)


# Each edit with the conflict that has to be named; "" where it is compatible
EDITS = {
    "cost of an operation": (with_cost(DESCRIPTION, b"readCurve", 7), ""),
    "effect of a request class": (
        DESCRIPTION.replace(b"effect: unsafe", b"effect: safe"),
        "request classes change (report-issue)",
    ),
    "request class of an operation": (
        DESCRIPTION.replace(
            b"readLatest\n      x-orchidlane: {class: sheet-read}",
            b"readLatest\n      x-orchidlane: {class: report-issue}",
        ),
        "readLatest: from safe to unsafe",
    ),
    "a request class is removed": (
        DESCRIPTION.replace(b"x-orchidlane: {class: report-issue}", b"x-orchidlane: {class: sheet-read}"),
        "request classes change (report-issue)",
    ),
    "header of the idempotency key": (
        DESCRIPTION.replace(b"name: Idempotency-Key", b"name: Other-Key"),
        "moves to another header",
    ),
}


@pytest.mark.parametrize("edit", EDITS)
def test_an_edit_of_a_description_is_compatible_or_its_conflict_is_named(edit):
    data, expected = EDITS[edit]
    conflict = incompatibility(configuration(DESCRIPTION), configuration(data))
    assert data != DESCRIPTION
    assert (expected in conflict) if expected else conflict == "", conflict


def test_migrating_customers_must_be_suspended_and_plans_must_not_change():
    def with_customer(
        first_replica: int, suspended: bool = False, ceiling: bool = True, plan: str = "amplio"
    ) -> VersionConfiguration:
        return configuration(DESCRIPTION, c2=(plan, first_replica, 3, ceiling, suspended))

    assert incompatibility(with_customer(1), configuration(DESCRIPTION, c3=("amplio", 0, 3, True))) == ""
    assert "replica sets change (customers 2): both grant quota" in incompatibility(
        with_customer(1), with_customer(2)
    )
    assert incompatibility(with_customer(1), with_customer(2, suspended=True)) == ""
    assert incompatibility(with_customer(2, suspended=True), with_customer(2)) == ""
    assert incompatibility(with_customer(1, ceiling=False), with_customer(2, ceiling=False)) == ""
    assert "plans of customers change (2)" in incompatibility(
        with_customer(1), with_customer(1, plan="basico")
    )
