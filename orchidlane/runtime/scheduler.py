"""Greenlets, their owners, the run queues and timers.

Contract of every wait (``park`` and all that is built on it):

- it may take a deadline in microseconds of the loop's clock and then raises ``DeadlineExceededError``;
- it raises ``Cancelled`` once the task is cancelled, and so does every wait after that; a task that was
  cancelled before it ran still begins, so that what it owes at its end is done;
- what raised leaves nothing behind: no timer, no registration that could wake the task later.

A turn polls the world, then runs the queues by class, each within its budget: control (the node list) before
timers before requests before peers before background work. Control goes first so that a process that
stood still learns of drains before it acts on what its timers and requests ask for.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from types import TracebackType
from typing import Any

import greenlet

from orchidlane.runtime.backend import Backend
from orchidlane.runtime.errors import Cancelled, DeadlineExceededError, EventLoopError
from orchidlane.runtime.tasks import BACKGROUND, CONTROL, PEERS, REQUESTS, Process, Task
from orchidlane.runtime.timers import Timer, Timers

BUDGETS = (256, 128, 32, 8)  # tasks run in one turn, by class: bounds what one turn takes
TIMERS_A_TURN = 512
BREATH = 32  # operations that succeed without waiting before a task lets others run


class EventLoop:
    """The scheduler; one for each thread."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.now = backend.now  # microseconds; never goes backwards within a process
        self.timers = Timers()
        self.main_process = Process("home")
        self.process = self.main_process  # of the task or timer that runs now
        self.current: Task | None = None
        self.iterations = 0
        self.longest_iteration_us = 0
        self.on_unowned_failure: Callable[[Task, BaseException], None] = _raise
        self._queues: tuple[deque[tuple[Task, Any]], ...] = tuple(deque() for _ in BUDGETS)
        self._hub = greenlet.getcurrent()
        backend.attach(self)

    # -- the clock and timers

    def call_at(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Timer:
        """Have ``call(argument)`` made by the scheduler at ``when``; the call must not wait."""
        return self.timers.add(when, call, argument, self.process)

    def call_at_outside_processes(
        self, when: int, call: Callable[[Any], None], argument: Any = None
    ) -> Timer:
        """The same for what belongs to no process: a simulated network never stands still."""
        return self.timers.add(when, call, argument, self.main_process)

    # -- tasks

    def spawn(
        self,
        work: Callable[..., Any],
        *args: Any,
        priority: int | None = None,
        process: Process | None = None,
        scope: TaskGroup | None = None,
        name: str = "",
    ) -> Task:
        """Start ``work(*args)`` in a greenlet of its own; without a kind it takes its spawner's."""
        process = process or self.process
        if process.is_dead:
            raise Cancelled(f"process {process.name} is dead")
        if priority is None:
            priority = self.current.priority if self.current else REQUESTS
        run = greenlet.greenlet(self._begin, self._hub)
        task = Task(run, priority, process, scope, name or getattr(work, "__name__", "task"))
        process.tasks[task] = None
        if scope is not None:
            scope.children[task] = None
        self._queues[priority].append((task, (work, args)))
        return task

    def _begin(self, start: Any) -> None:
        task = self.current
        assert task is not None
        try:
            work, args = start
            if not task.process.is_dead:
                work(*args)
        except Cancelled:
            pass
        except BaseException as error:
            task.error = error
        task.is_done = True
        task.process.tasks.pop(task, None)
        if task.owner is not None:
            task.owner.child_ended(task)
        elif task.error is not None:
            self.on_unowned_failure(task, task.error)

    def wake(self, task: Task, value: Any = None) -> None:
        """Let a parked task go on with ``value``; one that is not parked is left alone."""
        if task.is_parked:
            task.is_parked = False
            self._queues[task.priority].append((task, value))

    def cancel(self, task: Task) -> None:
        """Raise ``Cancelled`` in a task at its wait, now and at every later one."""
        if not task.is_done and not task.is_cancelled:
            task.is_cancelled = True
            self.wake(task, Cancelled())

    def park(self, deadline: int | None = None) -> Any:
        """Wait to be woken; the value that came with the waking."""
        task = self.current
        if task is None:
            raise EventLoopError("a wait outside of any task")
        if task.is_cancelled:
            raise Cancelled()
        task.operations_without_yield = 0
        timer = None
        if deadline is not None:
            if deadline <= self.now():
                raise DeadlineExceededError()
            timer = self.call_at(deadline, self._expire, task)
        task.is_parked = True
        value = self._hub.switch()
        if timer is not None:
            self.timers.cancel(timer)
        if isinstance(value, BaseException):
            raise value
        if task.is_cancelled:
            raise Cancelled()
        return value

    def _expire(self, task: Task) -> None:
        self.wake(task, DeadlineExceededError())

    def sleep(self, duration_us: int) -> None:
        """Wait for so many microseconds."""
        if duration_us > 0:
            self.call_at(self.now() + duration_us, self._awake, self.current)
            self.park()
        else:
            self.yield_to_others()

    def _awake(self, task: Task) -> None:
        self.wake(task)

    def yield_to_others(self) -> None:
        """Let all others that are ready go first."""
        task = self.current
        assert task is not None
        task.is_parked = True
        self.wake(task)
        task.operations_without_yield = 0
        value = self._hub.switch()
        if isinstance(value, BaseException):
            raise value
        if task.is_cancelled:
            raise Cancelled()

    def yield_sometimes(self) -> None:
        """Called by each operation that did not need to wait: a busy task may not starve the others."""
        task = self.current
        if task is not None:
            task.operations_without_yield += 1
            if task.operations_without_yield >= BREATH:
                self.yield_to_others()

    # -- running

    def run(self, work: Callable[..., Any], *args: Any) -> None:
        """Run ``work(*args)`` and all that it starts until it ends; its exception is raised here."""
        root = self.spawn(work, *args, priority=CONTROL, process=self.main_process, scope=None, name="root")
        failures: list[BaseException] = []
        before, self.on_unowned_failure = self.on_unowned_failure, lambda _task, error: failures.append(error)
        try:
            while not root.is_done and not failures:
                self.run_once()
        finally:
            self.on_unowned_failure = before
            self._end_all()
        if failures:
            raise failures[0]

    def _end_all(self) -> None:
        """No task outlives the run: each is cancelled at its wait."""
        for task in list(self.main_process.tasks):
            self.cancel(task)
        for _ in range(1_000):
            if not any(self._queues):
                break
            for kind in range(len(BUDGETS)):
                self._run_queue(kind)

    def run_once(self) -> None:
        """One turn: poll, then each class within its budget."""
        self.iterations += 1
        wait: int | None = 0
        if not any(self._queues):
            due = self.timers.next_due()
            wait = None if due is None else max(0, due - self.now())
        self.backend.poll(wait)
        began = self.now()
        self._run_queue(CONTROL)
        self._fire_timers()
        for kind in (REQUESTS, PEERS, BACKGROUND):
            self._run_queue(kind)
        self.longest_iteration_us = max(self.longest_iteration_us, self.now() - began)

    def _run_queue(self, kind: int) -> None:
        queue = self._queues[kind]
        for _ in range(BUDGETS[kind]):  # those that become ready meanwhile, too: fewer polls for one request
            if not queue:
                return
            task, value = queue.popleft()
            self._resume(task, value)

    def _resume(self, task: Task, value: Any) -> None:
        process = task.process
        if process.is_frozen:
            process.deferred_calls.append(lambda: self._queues[task.priority].append((task, value)))
            return
        if task.is_done:
            return
        if task.is_cancelled and task.is_started:
            value = Cancelled()  # one that never ran begins all the same, and ends at its first wait
        task.is_started = True
        self.current, self.process = task, process
        task.greenlet.switch(value)
        self.current, self.process = None, self.main_process

    def _fire_timers(self) -> None:
        now = self.now()
        for _ in range(TIMERS_A_TURN):
            due = self.timers.pop_due(now)
            if due is None:
                return
            call, argument, process = due
            if process.is_frozen:
                process.deferred_calls.append(lambda c=call, a=argument, p=process: self._fire(c, a, p))
            elif not process.is_dead:
                self._fire(call, argument, process)

    def _fire(self, call: Callable[[Any], None], argument: Any, process: Process) -> None:
        self.process = process
        try:
            call(argument)
        finally:
            self.process = self.main_process

    # -- processes of a simulated world

    def freeze(self, process: Process) -> None:
        """Nothing of the process runs until it thaws; what comes meanwhile waits."""
        process.is_frozen = True

    def thaw(self, process: Process) -> None:
        """The process finds at once all that came due meanwhile, in order."""
        process.is_frozen = False
        held, process.deferred_calls = process.deferred_calls, []
        for again in held:
            again()

    def kill(self, process: Process) -> None:
        """End a process where it stands: its tasks get no further than their next wait."""
        process.is_dead, process.is_frozen, process.deferred_calls = True, False, []
        for task in list(process.tasks):
            task.owner = None  # nobody is told: the owners die with it
            task.is_cancelled = True
            task.is_parked = False
            if task.is_started:
                self._queues[task.priority].append((task, None))  # to be ended there
        process.tasks.clear()


def _raise(_task: Task, error: BaseException) -> None:
    raise error


class TaskGroup:
    """Owner of tasks: leaving the block waits for all; a failure of one ends the others and is raised.

    ``cancel`` ends the children. An exception that leaves the block cancels them first. No child outlives it.
    """

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.children: dict[Task, None] = {}
        self.owner: Task | None = None
        self.failure: BaseException | None = None
        self._leaving = False

    def spawn(
        self, work: Callable[..., Any], *args: Any, priority: int | None = None, name: str = ""
    ) -> Task:
        """A child of this scope."""
        return self.loop.spawn(work, *args, priority=priority, scope=self, name=name)

    def cancel(self) -> None:
        """Cancel all children."""
        for task in list(self.children):
            self.loop.cancel(task)

    def child_ended(self, task: Task) -> None:
        """The scheduler tells of each child's end."""
        self.children.pop(task, None)
        if task.error is not None and self.failure is None:
            self.failure = task.error
            self.cancel()
            if self.owner is not None and not self._leaving:
                self.loop.wake(self.owner, _ChildFailedError())
        if self._leaving and not self.children and self.owner is not None:
            self.loop.wake(self.owner)

    def __enter__(self) -> TaskGroup:
        self.owner = self.loop.current
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        self._leaving = True
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
                self._wait_cancelled()
        if self.failure is not None and (error is None or isinstance(error, _ChildFailedError)):
            raise self.failure
        if isinstance(error, Cancelled) and kind is None:
            raise error

    def _wait_cancelled(self) -> None:
        """The owner is itself cancelled: its children are, too, and need only to run to their ends."""
        owner = self.owner
        assert owner is not None
        owner.is_cancelled = False
        try:
            while self.children:
                self.loop.park()
        finally:
            owner.is_cancelled = True


class _ChildFailedError(EventLoopError):
    """Wakes an owner in the midst of its block when a child has failed; the failure itself is raised."""
