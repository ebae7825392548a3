"""Structured concurrency: a block of code that owns tasks and waits for all of them before it is left."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any

from orchidlane.runtime.errors import Cancelled
from orchidlane.runtime.scheduler import EventLoop
from orchidlane.runtime.tasks import Task


class TaskGroup:
    """The owner of tasks: leaving the block waits for all of them.

    A child that fails cancels the others and interrupts the block at its current or next wait. Its exception
    is then raised at the end of the block, even if the task that runs the block was cancelled in the
    meantime. An exception raised by the block itself cancels all children first. ``cancel`` stops the
    children early.
    """

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.children: dict[Task, None] = {}  # in the order in which they were spawned
        self.owner: Task | None = None  # the task that runs the block
        self.failure: BaseException | None = None  # the exception of the first child that failed
        self._interruption: _ChildFailed | None = None  # raised by waits of the block until it is left
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

    def child_finished(self, task: Task) -> None:
        """Remove a finished task and handle its failure; the event loop calls this."""
        self.children.pop(task, None)
        if task.error is not None and self.failure is None:
            self.failure = task.error
            self.cancel()
            self._interrupt_block()
        if self._is_leaving and not self.children and self.owner is not None:
            self.loop.wake(self.owner)

    def _interrupt_block(self) -> None:
        """Interrupt the block at its current wait, or at the next one if it is not waiting."""
        if self.owner is not None and not self._is_leaving:
            self._interruption = _ChildFailed()
            self.loop.interrupt(self.owner, self._interruption)

    def __enter__(self) -> TaskGroup:
        self.owner = self.loop.current
        return self

    def __exit__(
        self, _kind: type[BaseException] | None, error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        self._is_leaving = True
        if self._interruption is not None and self.owner is not None:
            self.loop.withdraw_interruption(self.owner, self._interruption)
        if error is not None:
            self.cancel()
        interruption = self._wait_for_children()
        if self.failure is not None and (error is None or isinstance(error, Cancelled)):
            raise self.failure
        if error is None and interruption is not None:
            raise interruption

    def _wait_for_children(self) -> Cancelled | None:
        """Wait until all children have finished; return what interrupted that wait.

        An interruption or a cancellation of the owner cancels the children.
        """
        if not self.children:
            return None
        try:
            while self.children:
                self.loop.park()
        except Cancelled as interruption:
            owner = self.owner
            if owner is None or owner.process.is_dead:
                raise
            self.cancel()
            self._wait_shielded(owner)
            return interruption
        return None

    def _wait_shielded(self, owner: Task) -> None:
        """Wait until the cancelled children have finished, even if the owner is cancelled or interrupted."""
        owner.is_shielded = True
        try:
            while self.children:
                self.loop.park()
        finally:
            owner.is_shielded = False


class _ChildFailed(Cancelled):
    """Interrupts a group's block after a child has failed; the group then raises the child's exception."""
