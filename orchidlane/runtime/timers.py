"""A queue of pending timers, ordered by due time, in which cancelling is cheap.

A binary heap with lazy deletion: a cancelled entry stays in the heap, and once more than half of the entries
are cancelled the heap is rebuilt, so memory stays within twice that of the pending timers.
``benchmarks/timers.py`` compares the heap with a hierarchical timing wheel.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MIN_CANCELLED_FOR_REBUILD = 64  # a rebuild for fewer entries costs more than it saves


class Timer:
    """A function call scheduled for a time in microseconds."""

    __slots__ = ("argument", "call", "is_pending", "owner", "when")

    def __init__(self, when: int, call: Callable[[Any], None], argument: Any, owner: Any) -> None:
        self.when = when
        self.call: Callable[[Any], None] | None = call  # None once cancelled
        self.argument = argument
        self.owner = owner
        self.is_pending = True  # neither fired nor cancelled


class Timers:
    """A queue of timers. Times are microseconds; equal times keep the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Timer]] = []  # due time, order of addition: tuples compare fast
        self._added_count = 0
        self._cancelled_count = 0  # cancelled entries that are still in the heap

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled_count

    def add(self, when: int, call: Callable[[Any], None], argument: Any = None, owner: Any = None) -> Timer:
        """Add a timer for ``call(argument)`` at ``when`` and return it."""
        timer = Timer(when, call, argument, owner)
        self._added_count += 1
        heapq.heappush(self._heap, (when, self._added_count, timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer; does nothing if it has already fired or was cancelled."""
        if not timer.is_pending:
            return
        timer.is_pending = False
        timer.call = timer.argument = None
        self._cancelled_count += 1
        if self._cancelled_count > MIN_CANCELLED_FOR_REBUILD and 2 * self._cancelled_count > len(self._heap):
            self._rebuild()

    def _rebuild(self) -> None:
        """Remove the cancelled entries from the heap."""
        self._heap = [entry for entry in self._heap if entry[2].is_pending]
        heapq.heapify(self._heap)
        self._cancelled_count = 0

    def next_due(self) -> int | None:
        """Return the due time of the first pending timer, None if there is none."""
        heap = self._heap
        while heap and not heap[0][2].is_pending:
            heapq.heappop(heap)
            self._cancelled_count -= 1
        return heap[0][0] if heap else None

    def pop_due(self, now: int) -> Timer | None:
        """Remove and return the first timer that is due, None if there is none."""
        due = self.next_due()
        if due is None or due > now:
            return None
        timer = heapq.heappop(self._heap)[2]
        timer.is_pending = False
        return timer
