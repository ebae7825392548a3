"""The event loop: greenlets, their run queues and timers.

Contract of every wait (``park`` and all functions built on it):

- It may take a deadline, a time of the loop's clock in microseconds, and raises ``DeadlineExceededError``
  when that has passed.
- It raises ``Cancelled`` once the task is cancelled, and so does every later wait. A task that is cancelled
  before its first run is still started, so that its cleanup runs.
- In the block of a task group it raises a ``Cancelled`` of that group once a child of the group has failed;
  so does every later wait until the block is left.
- Both are states of the task, not values of a wake-up, so they also reach a task that is ready to run rather
  than parked.
- After an exception no timer and no registration remains that could wake the task later.

An iteration polls the backend, then runs the queues by priority, each within its budget: control (such as
the endpoint list), then timers, then requests, peers and background work. Control precedes timers so that a
process that was stopped (SIGSTOP) for a while processes a drain before its timers and requests.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any, NoReturn

import greenlet

from orchidlane.runtime.backend import Backend
from orchidlane.runtime.errors import Cancelled, DeadlineExceededError, EventLoopError
from orchidlane.runtime.tasks import BACKGROUND, CONTROL, PEERS, REQUESTS, Process, Task, TaskOwner
from orchidlane.runtime.timers import Timer, Timers

TASK_BUDGETS = (256, 128, 32, 8)  # tasks resumed in one iteration, by priority
TIMER_BUDGET = 512  # timers fired in one iteration
MAX_OPERATIONS_WITHOUT_YIELD = 32  # I/O operations in a row without a wait, before other tasks get a turn
MAX_SHUTDOWN_PASSES = 1_000  # over the run queues, so that a cancelled task that keeps spawning is abandoned


class EventLoop:
    """The scheduler of all tasks of one thread."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.now = backend.now  # microseconds; never goes backwards
        self.timers = Timers()
        self.main_process = Process("main")
        self.process = self.main_process  # the process of the running task or timer
        self.current: Task | None = None
        self.iterations = 0
        self.longest_iteration_us = 0
        self.on_unowned_failure: Callable[[Task, BaseException], None] = _raise
        self._queues: tuple[deque[tuple[Task, Any]], ...] = tuple(deque() for _ in TASK_BUDGETS)
        self._hub = greenlet.getcurrent()  # runs the loop; tasks switch to it when they wait
        backend.attach(self)

    # -- the clock and timers

    def call_at(self, when: int, call: Callable[[Any], None], argument: Any = None) -> Timer:
        """Schedule ``call(argument)`` in the current process; return the timer. The call must not wait."""
        return self.timers.add(when, call, argument, self.process)

    def call_at_outside_processes(
        self, when: int, call: Callable[[Any], None], argument: Any = None
    ) -> Timer:
        """Schedule a call that is made even if the current process is frozen or dead, such as a delivery."""
        return self.timers.add(when, call, argument, self.main_process)

    # -- tasks

    def spawn(
        self,
        work: Callable[..., Any],
        *args: Any,
        priority: int | None = None,
        process: Process | None = None,
        owner: TaskOwner | None = None,
        name: str = "",
    ) -> Task:
        """Start ``work(*args)`` as a task and return the task.

        Priority and process default to those of the spawning task. Raises Cancelled if the process is dead.
        """
        process = process or self.process
        if process.is_dead:
            raise Cancelled(f"cannot spawn a task: process {process.name} is dead")
        if priority is None:
            priority = self.current.priority if self.current else REQUESTS
        run = greenlet.greenlet(self._run_task, self._hub)
        task = Task(run, priority, process, owner, name or getattr(work, "__name__", "task"))
        process.tasks[task] = None
        if owner is not None:
            owner.children[task] = None
        self._queues[priority].append((task, (work, args)))
        return task

    def _run_task(self, start: tuple[Callable[..., Any], tuple[Any, ...]]) -> None:
        """Run a task from start to finish, in its own greenlet."""
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
            task.owner.child_finished(task)
        elif task.error is not None:
            self.on_unowned_failure(task, task.error)

    def wake(self, task: Task, value: Any = None) -> None:
        """Resume a parked task, whose ``park`` returns ``value``; does nothing if it is not parked.

        A ``value`` that is an exception is raised in the task instead.
        """
        if task.is_parked:
            task.is_parked = False
            self._queues[task.priority].append((task, value))

    def cancel(self, task: Task) -> None:
        """Raise ``Cancelled`` in a task at its current wait and at every later one."""
        if not task.is_done and not task.is_cancelled:
            task.is_cancelled = True
            self._end_wait(task)

    def interrupt(self, task: Task, interruption: Cancelled) -> None:
        """Raise ``interruption`` at a task's current wait and at every later one, until it is withdrawn."""
        task.interruptions.append(interruption)
        self._end_wait(task)

    def withdraw_interruption(self, task: Task, interruption: Cancelled) -> None:
        """Withdraw an interruption: the task's later waits no longer raise it."""
        task.interruptions.remove(interruption)

    def _end_wait(self, task: Task) -> None:
        """Resume a task that was cancelled or interrupted; its wait then raises the reason."""
        if not task.is_shielded:
            self.wake(task)

    def park(self, deadline: int | None = None) -> Any:
        """Wait to be woken; return the value passed to ``wake``.

        Raises Cancelled, DeadlineExceededError, and EventLoopError if no task is running.
        """
        task = self.current
        if task is None:
            raise EventLoopError("waiting is allowed only inside a task of the event loop")
        if task.is_cancelled or task.interruptions:
            self._raise_interruption(task)
        task.operations_without_yield = 0
        timer = None
        if deadline is not None:
            if deadline <= self.now():
                raise DeadlineExceededError
            timer = self.call_at(deadline, self._expire, task)
        task.is_parked = True
        value = self._hub.switch()
        if timer is not None:
            self.timers.cancel(timer)
        if task.is_cancelled or task.interruptions:
            self._raise_interruption(task)
        if isinstance(value, BaseException):
            raise value
        return value

    def _raise_interruption(self, task: Task) -> None:
        """Raise a task's cancellation or interruption, unless it is shielded and its process is alive."""
        if task.is_shielded and not task.process.is_dead:
            return
        if task.is_cancelled:
            raise Cancelled
        raise task.interruptions[-1]

    def _expire(self, task: Task) -> None:
        self.wake(task, DeadlineExceededError())

    def sleep(self, duration_us: int) -> None:
        """Wait for a duration. Raises Cancelled."""
        if duration_us > 0:
            timer = self.call_at(self.now() + duration_us, self._wake_sleeper, self.current)
            try:
                self.park()
            finally:
                self.timers.cancel(timer)  # otherwise it could end a later wait of the task
        else:
            self.yield_to_others()

    def _wake_sleeper(self, task: Task) -> None:
        self.wake(task)

    def yield_to_others(self, priority: int | None = None) -> None:
        """Let all other ready tasks of the same priority run first; with ``priority``, those of that one.

        Raises Cancelled.
        """
        task = self.current
        assert task is not None
        task.operations_without_yield = 0
        self._queues[task.priority if priority is None else priority].append((task, None))
        self._hub.switch()
        if task.is_cancelled or task.interruptions:
            self._raise_interruption(task)

    def yield_if_due(self, priority: int | None = None, deadline: int | None = None) -> None:
        """Count an operation that did not wait; after many in a row, let other tasks run.

        An operation takes about as long as a system call. Work whose amount a peer decides, such as parsing,
        passes a lower ``priority``: then the tasks of all higher ones run first, and an iteration continues
        no more such work than the budget of that priority, however many tasks have some. Raises Cancelled,
        and DeadlineExceededError if the deadline has passed once the others have run.
        """
        task = self.current
        if task is None:
            return
        task.operations_without_yield += 1
        if task.operations_without_yield < MAX_OPERATIONS_WITHOUT_YIELD:
            return
        self.yield_to_others(priority)
        if deadline is not None and self.now() >= deadline:
            raise DeadlineExceededError

    # -- running

    def run(self, work: Callable[..., Any], *args: Any) -> None:
        """Run ``work(*args)`` as a task until it finishes, then cancel all other tasks of the main process.

        Raises the exception of ``work``, or of the first other task without an owner that failed.
        """
        root = self.spawn(work, *args, priority=CONTROL, process=self.main_process, name="root")
        failures: list[BaseException] = []
        previous_handler = self.on_unowned_failure
        self.on_unowned_failure = lambda _task, error: failures.append(error)
        try:
            while not root.is_done and not failures:
                self.run_once()
        finally:
            self.on_unowned_failure = previous_handler
            self._cancel_all()
        if failures:
            raise failures[0]

    def _cancel_all(self) -> None:
        """Cancel all tasks of the main process and run them until they finish."""
        for task in list(self.main_process.tasks):
            self.cancel(task)
        for _ in range(MAX_SHUTDOWN_PASSES):
            if not any(self._queues):
                break
            for priority in range(len(TASK_BUDGETS)):
                self._run_queue(priority)

    def run_once(self) -> None:
        """Run one iteration: poll, then run each queue within its budget."""
        self.iterations += 1
        self.backend.poll(self._poll_timeout())
        started_at = self.now()
        self._run_queue(CONTROL)
        self._fire_timers()
        for priority in (REQUESTS, PEERS, BACKGROUND):
            self._run_queue(priority)
        self.longest_iteration_us = max(self.longest_iteration_us, self.now() - started_at)

    def _poll_timeout(self) -> int | None:
        """Return how long the backend may wait for I/O, in microseconds; None for no limit."""
        if any(self._queues):
            return 0
        due = self.timers.next_due()
        return None if due is None else max(0, due - self.now())

    def _run_queue(self, priority: int) -> None:
        """Resume the ready tasks of a priority.

        Tasks that become ready in the meantime are resumed too, which saves polls.
        """
        queue = self._queues[priority]
        for _ in range(TASK_BUDGETS[priority]):
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
        task.is_started = True
        self.current, self.process = task, process
        task.greenlet.switch(value)
        self.current, self.process = None, self.main_process

    def _fire_timers(self) -> None:
        now = self.now()
        for _ in range(TIMER_BUDGET):
            timer = self.timers.pop_due(now)
            if timer is None:
                return
            process = timer.owner
            if process.is_frozen:
                process.deferred_calls.append(partial(self._fire, timer))
            elif not process.is_dead:
                self._fire(timer)

    def _fire(self, timer: Timer) -> None:
        """Call a timer's function in its process."""
        assert timer.call is not None
        self.process = timer.owner
        try:
            timer.call(timer.argument)
        finally:
            self.process = self.main_process

    # -- processes of a simulation

    def freeze(self, process: Process) -> None:
        """Stop a process until ``thaw``: its timers and wake-ups are deferred."""
        process.is_frozen = True

    def thaw(self, process: Process) -> None:
        """Continue a frozen process, starting with the deferred timers and wake-ups in their order."""
        process.is_frozen = False
        deferred_calls, process.deferred_calls = process.deferred_calls, []
        for call in deferred_calls:
            call()

    def kill(self, process: Process) -> None:
        """Kill a process: each of its tasks stops at its current wait."""
        process.is_dead = True
        process.is_frozen = False
        process.deferred_calls = []
        for task in list(process.tasks):
            task.owner = None  # the owner dies with the process and must not be notified
            task.is_cancelled = True
            task.is_parked = False
            if task.is_started:
                self._queues[task.priority].append((task, None))  # resumed once more to run its cleanup
        process.tasks.clear()


def _raise(_task: Task, error: BaseException) -> NoReturn:
    raise error
