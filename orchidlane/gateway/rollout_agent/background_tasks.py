"""Background work of the rollout agent: one task of a kind at a time, a delay between attempts."""

from __future__ import annotations

from collections.abc import Callable

from orchidlane.runtime import BACKGROUND, CONTROL, EventLoop, TaskGroup

RETRY_INTERVAL_US = 300_000


class BackgroundTasks:
    """Tasks in the agent's scope; ``scope`` is None while the agent does not take part."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self.scope: TaskGroup | None = None
        self._running: set[str] = set()
        self._retry_at: dict[str, int] = {}

    @property
    def is_started(self) -> bool:
        """Whether the agent takes part."""
        return self.scope is not None

    def is_due(self, kind: str) -> bool:
        """Tell whether a kind of work may be tried; if so, it may not be for the next retry interval."""
        now = self.loop.now()
        if now < self._retry_at.get(kind, 0):
            return False
        self._retry_at[kind] = now + RETRY_INTERVAL_US
        return True

    def make_due(self, kind: str) -> None:
        """Let a kind of work be tried at once."""
        self._retry_at.pop(kind, None)

    def is_running(self, kind: str) -> bool:
        """Tell whether a task of this kind goes on."""
        return kind in self._running

    def start(self, kind: str, work: Callable[[], None]) -> None:
        """Run long work in a background task."""
        assert self.scope is not None
        self._running.add(kind)

        def run() -> None:
            try:
                work()
            finally:
                self._running.discard(kind)

        self.scope.spawn(run, priority=BACKGROUND, name=kind)

    def start_fetch(self, fetch: Callable[[], None]) -> None:
        """Run a fetch that a voter may wait for, in a task of its own."""
        assert self.scope is not None
        self.scope.spawn(fetch, priority=CONTROL, name="replicated state")
