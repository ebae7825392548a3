"""Runs of a task group's owner that is woken, cancelled or failed, in all orders, during one wait."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import NamedTuple

from harness.constants import MS, SECOND
from orchidlane.runtime import Cancelled, DeadlineExceededError, EventLoop, Task, TaskGroup
from orchidlane.runtime.simulated_backend import SimulatedBackend

ACTIONS_AT_US = 5 * MS  # after the start; all actions happen at this time
OWNER_WAIT_US = ACTIONS_AT_US  # so that the owner's own deadline passes at the time of the actions
SECOND_WAIT_US = 10 * SECOND
STUCK_OWNER_TIMEOUT_US = 60 * SECOND  # after this an owner that still waits is cancelled
ACTIONS = ("wake", "fail", "cancel", "fail outer")


class Order(NamedTuple):
    """Actions in their order, and for each of them whether other tasks run before it."""

    actions: tuple[str, ...]
    yields_before: tuple[bool, ...]


class Outcome(NamedTuple):
    """How the owner's outer block was left."""

    error: type[BaseException] | None
    after_us: int
    children_left: int
    timers_left: int
    failed: bool  # a child of the outer or inner group has failed
    cancelled: bool  # the owner was cancelled, by an action or as stuck
    was_stuck: bool  # the owner still waited at the timeout for stuck owners


def all_orders() -> Iterator[Order]:
    """Yield every order of up to three different actions, each action with and without a yield before it."""
    for count in range(1, 4):
        for actions in itertools.permutations(ACTIONS, count):
            for yields_before in itertools.product((False, True), repeat=count):
                yield Order(actions, yields_before)


class GroupOwner:
    """A task with an outer and an inner task group, each with one child that fails on request."""

    def __init__(self, wait: str, ignores_errors: bool, order: Order) -> None:
        self.loop = EventLoop(SimulatedBackend(1))
        self.wait = wait
        self.ignores_errors = ignores_errors
        self.order = order
        self.owner: Task
        self.started_at = 0
        self.children: dict[str, Task] = {}
        self.requested_failures: set[str] = set()
        self.outcome: Outcome | None = None
        self.was_stuck = False

    def run(self) -> Outcome:
        """Run the actions in their order; return how the owner's outer block was left."""
        self.loop.run(self._main)
        assert self.outcome is not None
        return self.outcome

    def _main(self) -> None:
        self.started_at = self.loop.now()
        self.owner = self.loop.spawn(self._own_groups)
        self.loop.sleep(ACTIONS_AT_US)
        for action, yields_before in zip(self.order.actions, self.order.yields_before, strict=True):
            if yields_before:
                self.loop.yield_to_others()
            self._perform(action)
        self.loop.sleep(STUCK_OWNER_TIMEOUT_US)
        if not self.owner.is_done:
            self.was_stuck = True
            self.loop.cancel(self.owner)
            self.loop.sleep(SECOND)

    def _perform(self, action: str) -> None:
        if action == "wake":
            self.loop.wake(self.owner)
        elif action == "cancel":
            self.loop.cancel(self.owner)
        elif action in self.children:
            self.requested_failures.add(action)
            self.loop.wake(self.children[action])

    def _own_groups(self) -> None:
        error: type[BaseException] | None = None
        try:
            self._run_outer_group()
        except BaseException as raised:
            error = type(raised)
        children = list(self.children.values())
        self.outcome = Outcome(
            error,
            self.loop.now() - self.started_at,
            sum(not child.is_done for child in children),
            len(self.loop.timers) - 1,  # without the timer of the main task's sleep
            any(child.error is not None for child in children),
            self.owner.is_cancelled,
            self.was_stuck,
        )

    def _run_outer_group(self) -> None:
        with TaskGroup(self.loop) as outer:
            self.children["fail outer"] = outer.spawn(self._fail_on_request, "fail outer")
            with TaskGroup(self.loop) as inner:
                self.children["fail"] = inner.spawn(self._fail_on_request, "fail")
                if self.wait != "leave":
                    self._wait_twice()
                    inner.cancel()
            outer.cancel()

    def _fail_on_request(self, name: str) -> None:
        while name not in self.requested_failures:
            self.loop.park()
        raise ZeroDivisionError

    def _wait_twice(self) -> None:
        suppressed: tuple[type[Exception], ...] = (
            (Exception,) if self.ignores_errors else (DeadlineExceededError,)
        )
        with suppress(*suppressed):
            self._wait_functions()[self.wait]()
        with suppress(*suppressed):
            self.loop.park(self.loop.now() + SECOND_WAIT_US)

    def _wait_functions(self) -> dict[str, Callable[[], object]]:
        loop = self.loop
        return {
            "park": loop.park,
            "deadline": lambda: loop.park(loop.now() + OWNER_WAIT_US),
            "sleep": lambda: loop.sleep(OWNER_WAIT_US),
            "yield": self._yield_during_the_actions,
        }

    def _yield_during_the_actions(self) -> None:
        self.loop.sleep(ACTIONS_AT_US)
        for _ in range(6):
            self.loop.yield_to_others()


def is_notified_without_leftovers(outcome: Outcome) -> bool:
    """Return whether the owner was notified of a failure or cancel in time, and left no child or timer.

    If no child failed and no action cancelled the owner, there is nothing to be notified of.
    """
    if outcome.children_left or outcome.timers_left:
        return False
    if outcome.failed:
        return outcome.error is ZeroDivisionError and outcome.after_us < SECOND
    if outcome.cancelled and not outcome.was_stuck:
        return outcome.error is Cancelled and outcome.after_us < SECOND
    return True
