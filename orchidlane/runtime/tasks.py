"""Tasks and processes, and the part of the event loop that its backend uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import greenlet

from orchidlane.runtime.errors import Cancelled
from orchidlane.runtime.timers import Timers

# Priorities of tasks, the most urgent first. Plain numbers: they index the run queues at each wake-up.
CONTROL = 0  # endpoint list, signals, hot restart
REQUESTS = 1
PEERS = 2  # gossip and token requests
BACKGROUND = 3


class TaskOwner(Protocol):
    """What is notified of the ends of its tasks, such as a task group."""

    children: dict[Task, None]  # the event loop adds each task that it starts

    def child_finished(self, task: Task) -> None:
        """Note that a task of this owner has ended."""


class Process:
    """Tasks that are killed and frozen together: the whole program, or one process of a simulation."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.is_dead = False
        self.deferred_calls: list[Callable[[], None]] = []  # made when a frozen process is thawed
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
        self.is_parked = False  # waits to be woken
        self.is_cancelled = False
        self.is_shielded = False  # waits for its children, whatever interrupts it
        self.interruptions: list[Cancelled] = []  # of its task groups that had a failure, innermost last
        self.is_done = False
        self.error: BaseException | None = None  # that ended it
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
        """Let a parked task go on with ``value``."""

    def yield_if_due(self) -> None:
        """Let other tasks run after many operations that did not wait."""

    def call_at(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Any:
        """Schedule ``call(argument)`` in the current process; return the timer."""

    def call_at_outside_processes(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Any:
        """Schedule ``call(argument)`` in no simulated process; return the timer."""

    def spawn(
        self,
        work: Callable[..., Any],
        *args: Any,
        priority: int | None = None,
        process: Process | None = None,
        name: str = "",
    ) -> Task:
        """Start a task. Raises Cancelled where the process is dead."""

    def kill(self, process: Process) -> None:
        """End a process: its tasks run no further than their current wait."""
