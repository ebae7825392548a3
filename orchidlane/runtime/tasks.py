"""Tasks and processes, and the part of the event loop that its backend uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import greenlet

from orchidlane.runtime.errors import Cancelled
from orchidlane.runtime.timers import Timers

# Priorities of tasks, the most urgent first: indexes of the event loop's run queues.
CONTROL = 0  # endpoint list, signals, hot restart
REQUESTS = 1
PEERS = 2  # gossip and token requests
BACKGROUND = 3


class TaskOwner(Protocol):
    """An object that owns tasks and is notified when one has finished, such as a task group."""

    children: dict[Task, None]  # the event loop adds each task that it starts

    def child_finished(self, task: Task) -> None:
        """Handle that a task of this owner has finished."""


class Process:
    """Tasks that are frozen and killed together: the whole program, or one process of a simulation."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.is_dead = False
        self.deferred_calls: list[Callable[[], None]] = []  # to be made when the process is thawed
        self.tasks: dict[Task, None] = {}


class Task:
    """A greenlet with its priority, owner and process."""

    __slots__ = (
        "error",
        "greenlet",
        "interruptions",
        "is_cancelled",
        "is_done",
        "is_parked",
        "is_shielded",
        "is_started",
        "name",
        "operations_without_yield",
        "owner",
        "priority",
        "process",
    )

    def __init__(
        self, run: greenlet.greenlet, priority: int, process: Process, owner: TaskOwner | None, name: str
    ) -> None:
        self.greenlet = run
        self.priority = priority
        self.process = process
        self.owner = owner
        self.name = name
        self.is_started = False
        self.is_parked = False  # waiting to be woken
        self.is_cancelled = False
        self.is_shielded = False  # its waits ignore cancellation, as it is waiting for its children
        self.interruptions: list[Cancelled] = []  # one per task group with a failed child, innermost last
        self.is_done = False
        self.error: BaseException | None = None  # the exception with which it failed
        self.operations_without_yield = 0


class SchedulerInterface(Protocol):
    """The part of ``orchidlane.runtime.scheduler.EventLoop`` that a backend uses."""

    current: Task | None
    process: Process
    main_process: Process
    timers: Timers
    now: Callable[[], int]

    def park(self, deadline: int | None = None) -> Any:
        """Wait to be woken; return the value passed to ``wake``.

        Raises DeadlineExceededError, Cancelled.
        """

    def sleep(self, duration_us: int) -> None:
        """Wait for a duration. Raises Cancelled."""

    def wake(self, task: Task, value: Any = None) -> None:
        """Resume a parked task, whose ``park`` returns ``value``."""

    def yield_if_due(self, priority: int | None = None, deadline: int | None = None) -> None:
        """Count an operation that did not wait; after many in a row, let other tasks run.

        With ``priority``, tasks down to that priority run. Raises Cancelled, DeadlineExceededError.
        """

    def call_at(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Any:
        """Schedule ``call(argument)`` in the current process; return the timer."""

    def call_at_outside_processes(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Any:
        """Schedule ``call(argument)`` outside of any simulated process; return the timer."""

    def spawn(
        self,
        work: Callable[..., Any],
        *args: Any,
        priority: int | None = None,
        process: Process | None = None,
        name: str = "",
    ) -> Task:
        """Start ``work(*args)`` as a task and return the task. Raises Cancelled if the process is dead."""

    def kill(self, process: Process) -> None:
        """Kill a process: each of its tasks stops at its current wait."""
