"""Background tasks of the rollout agent: one task of each kind at a time, with a delay between attempts."""

from __future__ import annotations

from collections.abc import Callable

from orchidlane.runtime import BACKGROUND, CONTROL, EventLoop, TaskGroup

RETRY_INTERVAL_US = 300_000


class BackgroundTasks:
    """Starts tasks in the task group ``scope``, which is None before the agent's start and after its stop."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.scope: TaskGroup | None = None
        self._running: set[str] = set()
        self._retry_at: dict[str, int] = {}

    @property
    def is_started(self) -> bool:
        """Whether the agent is started, so that tasks can be started."""
        return self.scope is not None

    def is_due(self, kind: str) -> bool:
        """Return whether work of this kind may be attempted now.

        If so, the attempt counts as made, and the next one is due after ``RETRY_INTERVAL_US``.
        """
        now = self.loop.now()
        if now < self._retry_at.get(kind, 0):
            return False
        self._retry_at[kind] = now + RETRY_INTERVAL_US
        return True

    def make_due(self, kind: str) -> None:
        """Allow the next attempt at work of this kind immediately."""
        self._retry_at.pop(kind, None)

    def is_running(self, kind: str) -> bool:
        """Return whether a task of this kind is running."""
        return kind in self._running

    def start(self, kind: str, work: Callable[[], None]) -> None:
        """Run long work of this kind in a task of background priority."""
        assert self.scope is not None
        self._running.add(kind)

        def run() -> None:
            try:
                work()
            finally:
                self._running.discard(kind)

        self.scope.spawn(run, priority=BACKGROUND, name=kind)

    def start_fetch(self, fetch: Callable[[], None]) -> None:
        """Run a fetch in a separate task of control priority, as a voter may be waiting for its result."""
        assert self.scope is not None
        self.scope.spawn(fetch, priority=CONTROL, name="replicated state")
