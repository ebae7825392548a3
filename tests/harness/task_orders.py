"""Orders of wake-ups, failures and cancels that meet one wait of a task group's owner."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import NamedTuple

from harness.constants import MS, SECOND
from orchidlane.runtime import Cancelled, DeadlineExceededError, EventLoop, Task, TaskGroup
from orchidlane.runtime.simulated_backend import SimulatedBackend

MEETING_US = 5 * MS  # after the start: when all actions come
EXPIRING_US = MEETING_US  # the owner's own deadline comes with them
LATER_WAIT_US = 10 * SECOND
RESCUE_US = 60 * SECOND  # by then an owner that waits for ever is cancelled
ACTIONS = ("wake", "fail", "cancel", "fail outer")


class Order(NamedTuple):
    """Actions in their order, and whether other tasks run before each of them."""

    actions: tuple[str, ...]
    yields: tuple[bool, ...]


class Ending(NamedTuple):
    """How the owner's block ended."""

    error: type[BaseException] | None
    after_us: int
    children_left: int
    timers_left: int
    failed: bool  # a child of its groups has failed
    cancelled: bool
    rescued: bool


def orders() -> Iterator[Order]:
    """Every order of up to three different actions, with and without a turn of the others between them."""
    for count in range(1, 4):
        for actions in itertools.permutations(ACTIONS, count):
            for yields in itertools.product((False, True), repeat=count):
                yield Order(actions, yields)


class OwnerOfGroups:
    """An owner of an outer and an inner group, each with one child that can be made to fail."""

    def __init__(self, wait: str, swallows: bool, order: Order) -> None:
        self.loop = EventLoop(SimulatedBackend(1))
        self.wait = wait
        self.swallows = swallows
        self.order = order
        self.owner: Task
        self.started_at = 0
        self.children: dict[str, Task] = {}
        self.told_to_fail: set[str] = set()
        self.ending: Ending | None = None
        self.rescued = False

    def run(self) -> Ending:
        """Run the order; return how the block ended."""
        self.loop.run(self._main)
        assert self.ending is not None
        return self.ending

    def _main(self) -> None:
        self.started_at = self.loop.now()
        self.owner = self.loop.spawn(self._own_groups)
        self.loop.sleep(MEETING_US)
        for action, yields in zip(self.order.actions, self.order.yields, strict=True):
            if yields:
                self.loop.yield_to_others()
            self._act(action)
        self.loop.sleep(RESCUE_US)
        if not self.owner.is_done:
            self.rescued = True
            self.loop.cancel(self.owner)
            self.loop.sleep(SECOND)

    def _act(self, action: str) -> None:
        if action == "wake":
            self.loop.wake(self.owner)
        elif action == "cancel":
            self.loop.cancel(self.owner)
        elif action in self.children:
            self.told_to_fail.add(action)
            self.loop.wake(self.children[action])

    def _own_groups(self) -> None:
        error: type[BaseException] | None = None
        try:
            self._run_outer_group()
        except BaseException as caught:
            error = type(caught)
        children = list(self.children.values())
        self.ending = Ending(
            error,
            self.loop.now() - self.started_at,
            sum(not child.is_done for child in children),
            len(self.loop.timers) - 1,  # the main task sleeps by one
            any(child.error is not None for child in children),
            self.owner.is_cancelled,
            self.rescued,
        )

    def _run_outer_group(self) -> None:
        with TaskGroup(self.loop) as outer:
            self.children["fail outer"] = outer.spawn(self._fail_when_told, "fail outer")
            with TaskGroup(self.loop) as inner:
                self.children["fail"] = inner.spawn(self._fail_when_told, "fail")
                if self.wait != "leave":
                    self._wait_twice()
                    inner.cancel()
            outer.cancel()

    def _fail_when_told(self, name: str) -> None:
        while name not in self.told_to_fail:
            self.loop.park()
        raise ZeroDivisionError

    def _wait_twice(self) -> None:
        ignored: tuple[type[Exception], ...] = (Exception,) if self.swallows else (DeadlineExceededError,)
        with suppress(*ignored):
            self._waits()[self.wait]()
        with suppress(*ignored):
            self.loop.park(self.loop.now() + LATER_WAIT_US)

    def _waits(self) -> dict[str, Callable[[], object]]:
        loop = self.loop
        return {
            "park": loop.park,
            "deadline": lambda: loop.park(loop.now() + EXPIRING_US),
            "sleep": lambda: loop.sleep(EXPIRING_US),
            "yield": self._yield_through_the_meeting,
        }

    def _yield_through_the_meeting(self) -> None:
        self.loop.sleep(MEETING_US)
        for _ in range(6):
            self.loop.yield_to_others()


def is_told(ending: Ending) -> bool:
    """Return whether the owner heard in time of what happened, and left nothing behind.

    Where nothing failed and nobody cancelled it, there is nothing to hear of.
    """
    if ending.children_left or ending.timers_left:
        return False
    if ending.failed:
        return ending.error is ZeroDivisionError and ending.after_us < SECOND
    if ending.cancelled and not ending.rescued:
        return ending.error is Cancelled and ending.after_us < SECOND
    return True
