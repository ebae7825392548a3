"""Structured concurrency: a block of code that owns tasks and does not end before them."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any

from orchidlane.runtime.errors import Cancelled, EventLoopError
from orchidlane.runtime.scheduler import EventLoop
from orchidlane.runtime.tasks import Task


class TaskGroup:
    """The owner of tasks: leaving the block waits for all of them.

    A task that fails cancels the others, and its exception is raised at the end of the block. An exception
    that leaves the block cancels the tasks first. ``cancel`` ends them early.
    """

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.children: dict[Task, None] = {}  # in the order in which they were spawned
        self.owner: Task | None = None  # the task that runs the block
        self.failure: BaseException | None = None  # of the first child that failed
        self._is_leaving = False

    def spawn(
        self, work: Callable[..., Any], *args: Any, priority: int | None = None, name: str = ""
    ) -> Task:
        """Start ``work(*args)`` as a task of this group and return the task."""
        return self.loop.spawn(work, *args, priority=priority, owner=self, name=name)

    def cancel(self) -> None:
        """Cancel all tasks of the group."""
        for task in list(self.children):
            self.loop.cancel(task)

    def child_ended(self, task: Task) -> None:
        """Note the end of a task; the event loop calls this."""
        self.children.pop(task, None)
        if task.error is not None and self.failure is None:
            self.failure = task.error
            self.cancel()
            if self.owner is not None and not self._is_leaving:
                self.loop.wake(self.owner, _ChildFailedError())
        if self._is_leaving and not self.children and self.owner is not None:
            self.loop.wake(self.owner)

    def __enter__(self) -> TaskGroup:
        self.owner = self.loop.current
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        self._is_leaving = True
        if error is not None:
            self.cancel()
        while self.children:
            try:
                self.loop.park()
            except Cancelled as cancelled:
                self.cancel()
                if error is None:
                    error = cancelled
                if self.owner is not None and self.owner.process.is_dead:
                    raise
                self._wait_while_cancelled()
        if self.failure is not None and (error is None or isinstance(error, _ChildFailedError)):
            raise self.failure
        if isinstance(error, Cancelled) and kind is None:
            raise error

    def _wait_while_cancelled(self) -> None:
        """Wait for the children although the owner is cancelled: they are too, and run to their ends."""
        owner = self.owner
        assert owner is not None
        owner.is_cancelled = False
        try:
            while self.children:
                self.loop.park()
        finally:
            owner.is_cancelled = True


class _ChildFailedError(EventLoopError):
    """Wakes the owner within its block when a child has failed; the child's own error is raised."""
