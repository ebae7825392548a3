"""Reverting edits of descriptions and customers' files, also after later edits."""

from __future__ import annotations

import msgspec
import pytest
from harness.descriptions import DESCRIPTION, operation_costs, with_cost

from orchidlane.rollout.errors import RollbackConflictError
from orchidlane.rollout.rollback import revert_customers_edit, revert_description_edit


def test_reverting_the_latest_edit_returns_the_same_bytes():
    edited = with_cost(DESCRIPTION, b"readCurve", 7)
    assert operation_costs(edited)["readCurve"] == 7
    assert revert_description_edit(DESCRIPTION, edited, edited) is DESCRIPTION


def test_reverting_an_older_edit_keeps_later_edits_of_other_operations():
    first = with_cost(DESCRIPTION, b"readCurve", 7)
    second = with_cost(first, b"readSheet", 5)
    third = with_cost(second, b"issueReport", 9)
    reverted = operation_costs(revert_description_edit(first, second, third))
    assert (reverted["readCurve"], reverted["readSheet"], reverted["issueReport"]) == (
        7,
        operation_costs(DESCRIPTION)["readSheet"],
        9,
    )


def test_reverting_an_edit_whose_operation_was_edited_again_is_a_conflict():
    first = with_cost(DESCRIPTION, b"readCurve", 7)
    second = with_cost(first, b"readCurve", 8)
    with pytest.raises(
        RollbackConflictError, match=r"edited again since: paths /sheets/\{material\}/curves.* get"
    ):
        revert_description_edit(DESCRIPTION, first, second)


def test_reverting_removes_added_operations_and_restores_removed_ones():
    start = DESCRIPTION.index(b"  /sheets/latest:")
    without_latest = DESCRIPTION[:start] + DESCRIPTION[DESCRIPTION.index(b"  /tests/{test}:") :]
    later = with_cost(without_latest, b"readSheet", 5)
    reverted = operation_costs(revert_description_edit(DESCRIPTION, without_latest, later))
    assert reverted["readLatest"] == operation_costs(DESCRIPTION)["readLatest"]
    assert reverted["readSheet"] == 5
    later = with_cost(DESCRIPTION, b"readSheet", 5)
    assert "readLatest" not in operation_costs(revert_description_edit(without_latest, DESCRIPTION, later))


def customers(**plans: str) -> bytes:
    """Return a customers' file; ``c1="basico"`` is customer 1 with that plan."""
    entries = [{"id": int(key[1:]), "plan": plan, "keys": []} for key, plan in plans.items()]
    return msgspec.json.encode({"customers": entries})


def test_edits_of_different_customers_are_reverted_independently():
    before, after = customers(c1="basico"), customers(c1="basico", c2="basico")
    latest = customers(c1="amplio", c2="basico")
    assert msgspec.json.decode(revert_customers_edit(before, after, latest)) == msgspec.json.decode(
        customers(c1="amplio")
    )
    with pytest.raises(RollbackConflictError, match="edited again since: 2"):
        revert_customers_edit(before, after, customers(c1="basico", c2="amplio"))
