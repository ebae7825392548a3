"""Pending timers in the order of their time, cheap to cancel.

A binary heap with lazy deletion: cancelling marks an entry, and once more than half of the heap is marked it
is built anew, so memory stays within twice the live timers. ``benchmarks/timers.py`` measures it against a
hierarchical wheel.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

COMPACT_FROM = 64  # marked entries: fewer are not worth a rebuild


class Timer:
    """One pending call; cancelled when ``call`` is None."""

    __slots__ = ("argument", "call", "owner", "when")

    def __init__(self, when: int, call: Callable[[Any], None], argument: Any, owner: Any) -> None:
        self.when = when
        self.call: Callable[[Any], None] | None = call
        self.argument = argument
        self.owner = owner


class Timers:
    """A queue of timers; times are microseconds, equal times keep the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []
        self._added = 0
        self._marked = 0

    def __len__(self) -> int:
        return len(self._heap) - self._marked

    def add(self, when: int, call: Callable[[Any], None], argument: Any = None, owner: Any = None) -> Timer:
        """Have ``call(argument)`` made at ``when``."""
        timer = Timer(when, call, argument, owner)
        self._added += 1
        heapq.heappush(self._heap, (when, self._added, timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        """Forget a timer; one that fired or was cancelled is passed over."""
        if timer.call is None:
            return
        timer.call = timer.argument = None
        self._marked += 1
        if self._marked > COMPACT_FROM and 2 * self._marked > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._marked = 0

    def next_due(self) -> int | None:
        """When the first pending timer is due, if there is one."""
        heap = self._heap
        while heap and heap[0][2].call is None:
            heapq.heappop(heap)
            self._marked -= 1
        return heap[0][0] if heap else None

    def pop_due(self, now: int) -> tuple[Callable[[Any], None], Any, Any] | None:
        """Take out one timer that is due: its call, argument and owner."""
        due = self.next_due()
        if due is None or due > now:
            return None
        timer = heapq.heappop(self._heap)[2]
        call, argument = timer.call, timer.argument
        assert call is not None
        timer.call = timer.argument = None
        return call, argument, timer.owner
