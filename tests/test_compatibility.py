"""Which versions may serve side by side."""

from __future__ import annotations

import pytest
from harness.descriptions import DESCRIPTION, with_cost

from orchidlane.rollout.compatibility import CustomerAssignment, VersionConfiguration, incompatibility
from orchidlane.routes import build, load_description


def configuration(data: bytes, **customers: tuple) -> VersionConfiguration:
    known = {int(key[1:]): CustomerAssignment(*fields) for key, fields in customers.items()}
    return VersionConfiguration(build(load_description(data, "o"), "o"), known)


EDITS = {
    "a cost": (with_cost(DESCRIPTION, b"readCurve", 7), ""),
    "a class's effect": (
        DESCRIPTION.replace(b"effect: unsafe", b"effect: safe"),
        "classes change (report-issue)",
    ),
    "an operation's class": (
        DESCRIPTION.replace(
            b"readLatest\n      x-orchidlane: {class: sheet-read}",
            b"readLatest\n      x-orchidlane: {class: report-issue}",
        ),
        "readLatest: from safe to unsafe",
    ),
    "a class that goes": (
        DESCRIPTION.replace(b"x-orchidlane: {class: report-issue}", b"x-orchidlane: {class: sheet-read}"),
        "classes change (report-issue)",
    ),
    "the key's header": (
        DESCRIPTION.replace(b"name: Idempotency-Key", b"name: Other-Key"),
        "moves to another header",
    ),
}


@pytest.mark.parametrize("what", EDITS)
def test_edits_of_a_description_are_compatible_or_name_the_conflict(what):
    data, reason = EDITS[what]
    conflict = incompatibility(configuration(DESCRIPTION), configuration(data))
    assert data != DESCRIPTION
    assert (reason in conflict) if reason else conflict == "", conflict


def test_migrating_customers_must_be_suspended_and_plans_must_not_change():
    def with_customer(
        first: int, held: bool = False, ceiling: bool = True, plan: str = "amplio"
    ) -> VersionConfiguration:
        return configuration(DESCRIPTION, c2=(plan, first, 3, ceiling, held))

    assert incompatibility(with_customer(1), configuration(DESCRIPTION, c3=("amplio", 0, 3, True))) == ""
    assert "sets move (customers 2): both sets would have" in incompatibility(
        with_customer(1), with_customer(2)
    )
    assert incompatibility(with_customer(1), with_customer(2, held=True)) == ""
    assert incompatibility(with_customer(2, held=True), with_customer(2)) == ""
    assert incompatibility(with_customer(1, ceiling=False), with_customer(2, ceiling=False)) == ""
    assert "plans of customers change (2)" in incompatibility(
        with_customer(1), with_customer(1, plan="basico")
    )
