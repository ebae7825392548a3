"""Tests of task groups whose owner is woken, cancelled or failed in every order during one wait."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.task_orders import GroupOwner, all_orders, is_notified_without_leftovers

from orchidlane.runtime import EventLoop, TaskGroup


# Guards against an owner that is never notified of a child's failure: the affected process neither served
# requests nor exited.
@pytest.mark.parametrize("ignores_errors", [False, True], ids=["", "owner ignores errors"])
@pytest.mark.parametrize("wait", ["park", "deadline", "sleep", "yield", "leave"])
def test_in_every_order_the_owner_is_notified_and_no_child_is_left(wait, ignores_errors):
    failing_orders = []
    for order in all_orders():
        outcome = GroupOwner(wait, ignores_errors, order).run()
        if not is_notified_without_leftovers(outcome):
            failing_orders.append((order, outcome))
    assert failing_orders == []


# Guards against a child's failure that is lost when the owner was woken just before and has not run yet.
@pytest.mark.parametrize("wait_kind", ["park", "yield"])
def test_a_failure_while_the_owner_is_ready_ends_the_owners_next_wait(
    loop: EventLoop, wait_kind: str
) -> None:
    def fail() -> None:
        raise ZeroDivisionError

    def wait() -> None:
        if wait_kind == "park":
            loop.park()
        else:
            loop.yield_to_others()

    def run_group(started_at: list) -> None:
        with TaskGroup(loop) as group:
            owner = loop.current
            assert owner is not None
            started_at.append(loop.now())
            group.spawn(lambda: loop.wake(owner))
            group.spawn(fail)
            wait()
            loop.park(loop.now() + 10 * SECOND)

    def work() -> None:
        started_at: list[int] = []
        with pytest.raises(ZeroDivisionError):
            run_group(started_at)
        assert loop.now() - started_at[0] < 500 * MS

    loop.run(work)
