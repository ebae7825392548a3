"""Task groups under every order of wake-up, failure, cancel and expiry that meet one wait of the owner."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.task_orders import OwnerOfGroups, is_told, orders

from orchidlane.runtime import EventLoop, TaskGroup


# Guards against an owner that never hears of a child's failure: it served nobody and did not end.
@pytest.mark.parametrize("swallows", [False, True], ids=["", "owner ignores errors"])
@pytest.mark.parametrize("wait", ["park", "deadline", "sleep", "yield", "leave"])
def test_in_every_order_the_owner_hears_of_a_failure_and_leaves_no_child_behind(wait, swallows):
    untold = []
    for order in orders():
        ending = OwnerOfGroups(wait, swallows, order).run()
        if not is_told(ending):
            untold.append((order, ending))
    assert untold == []


# Guards against the order in which it was first seen: a wake-up, and a failure before the owner has run.
@pytest.mark.parametrize("waits_by", ["park", "yield"])
def test_a_child_that_fails_while_its_owner_is_ready_ends_the_owners_next_wait(
    loop: EventLoop, waits_by: str
) -> None:
    def fail() -> None:
        raise ZeroDivisionError

    def wait() -> None:
        if waits_by == "park":
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
