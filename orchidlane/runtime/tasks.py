"""Tasks and processes, and what a backend needs of the scheduler that runs them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import greenlet

from orchidlane.runtime.timers import Timers

CONTROL, REQUESTS, PEERS, BACKGROUND = range(4)


class TaskOwner(Protocol):
    """Is notified of the end of its tasks."""

    def child_ended(self, task: Task) -> None:
        """Note that a task of this owner has ended."""


class Process:
    """What is killed and stands still together: the whole program, or a part of a simulated world."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.is_frozen = False
        self.is_dead = False
        self.deferred_calls: list[Callable[[], None]] = []  # what comes due while it stands still
        self.tasks: dict[Task, None] = {}


class Task:
    """One greenlet with its class of work, its owner and its process."""

    __slots__ = (
        "error",
        "greenlet",
        "is_cancelled",
        "is_done",
        "is_parked",
        "is_started",
        "name",
        "operations_without_yield",
        "owner",
        "priority",
        "process",
    )

    def __init__(
        self, run: greenlet.greenlet, kind: int, process: Process, scope: TaskOwner | None, name: str
    ) -> None:
        self.greenlet = run
        self.priority = kind
        self.process = process
        self.owner = scope
        self.name = name
        self.is_parked = False
        self.is_cancelled = False
        self.is_done = False
        self.error: BaseException | None = None
        self.operations_without_yield = 0
        self.is_started = False


class SchedulerInterface(Protocol):
    """What a backend needs of the loop that runs in it; see ``orchidlane.runtime.scheduler.EventLoop``."""

    current: Task | None
    process: Process
    main_process: Process
    timers: Timers
    now: Callable[[], int]

    def park(self, deadline: int | None = None) -> Any:
        """Wait to be woken. Raises DeadlineExceededError, Cancelled."""

    def sleep(self, duration_us: int) -> None:
        """Wait for so many microseconds. Raises Cancelled."""

    def wake(self, task: Task, value: Any = None) -> None:
        """Let a parked task go on."""

    def yield_sometimes(self) -> None:
        """Let others run after many operations that did not wait."""

    def call_at(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Any:
        """Have a call made at a time, in the current process."""

    def call_at_outside_processes(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Any:
        """Have a call made at a time, in no process."""

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
        """End a process where it stands."""
