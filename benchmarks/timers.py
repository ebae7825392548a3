"""Compares the event loop's timer heap with a hierarchical timing wheel, for growing numbers of timers.

``python -m benchmarks.timers``. Each run first adds as many timers as are to be pending. In each of its steps
it then adds a timer, cancels an earlier one (in nine of ten steps), and removes the timers that are due.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from orchidlane.runtime.timers import Timers

SLOT_BITS = 8
SLOTS_PER_LEVEL = 1 << SLOT_BITS
SLOT_MASK = SLOTS_PER_LEVEL - 1
LEVELS = 5
TICK_US = 1_000

STEPS = 100_000
STEP_US = 100
MAX_DELAY_US = 60_000_000
PENDING_TIMERS = (100, 1_000, 10_000, 100_000, 1_000_000)
RUNS = 3
STEPS_PER_KEPT_TIMER = 10  # in all other steps, a timer is cancelled


@dataclass(slots=True)
class WheelTimer:
    """A timer in the wheel."""

    tick: int
    call: Callable[[Any], None] | None  # None once cancelled
    argument: Any


class TimingWheel:
    """A hierarchical timing wheel (Varghese and Lauck, 1987).

    A slot of one level spans as much time as all slots of the level below.
    """

    def __init__(self) -> None:
        self.tick = 0
        self.levels: list[list[list[WheelTimer]]] = [
            [[] for _ in range(SLOTS_PER_LEVEL)] for _ in range(LEVELS)
        ]
        self.occupied_slots = [0] * LEVELS  # by level, with a bit for each slot

    def add(self, when: int, call: Callable[[Any], None], argument: Any = None) -> WheelTimer:
        """Add a timer for ``call(argument)`` at ``when`` in microseconds and return it."""
        timer = WheelTimer(max(self.tick + 1, -(-when // TICK_US)), call, argument)
        self._insert(timer)
        return timer

    def _insert(self, timer: WheelTimer) -> None:
        for level in range(LEVELS):
            shift = SLOT_BITS * level
            if (timer.tick >> shift) - (self.tick >> shift) < SLOTS_PER_LEVEL:
                slot = timer.tick >> shift & SLOT_MASK
                self.levels[level][slot].append(timer)
                self.occupied_slots[level] |= 1 << slot
                return
        raise ValueError("the timer is due after the time that the last level covers")

    def cancel(self, timer: WheelTimer) -> None:
        """Cancel a timer; its entry stays until its slot is emptied."""
        timer.call = None

    def advance(self, now: int) -> list[WheelTimer]:
        """Remove and return all timers that are due, in the order of their ticks."""
        due: list[WheelTimer] = []
        end = now // TICK_US
        while self.tick < end:
            self.tick += 1
            for level in range(1, LEVELS):
                shift = SLOT_BITS * level
                if self.tick & ((1 << shift) - 1):
                    break
                self._empty_slot(level, self.tick >> shift & SLOT_MASK, self._insert)
            self._empty_slot(0, self.tick & SLOT_MASK, due.append)
        return due

    def _empty_slot(self, level: int, slot: int, take_timer: Callable[[WheelTimer], None]) -> None:
        timers, self.levels[level][slot] = self.levels[level][slot], []
        self.occupied_slots[level] &= ~(1 << slot)
        for timer in timers:
            if timer.call is not None:
                take_timer(timer)


def ignore(_argument: Any) -> None:
    """Do nothing; all timers of the benchmark call this function."""


def time_heap(pending: int, rng: random.Random) -> float:
    """Return the seconds that the steps take with the heap."""
    timers, now = Timers(), 0
    added = [timers.add(rng.randrange(1, MAX_DELAY_US), ignore) for _ in range(pending)]
    started_at = time.perf_counter()
    for step in range(STEPS):
        now += STEP_US
        index = step % pending
        earlier, added[index] = added[index], timers.add(now + rng.randrange(1, MAX_DELAY_US), ignore)
        if step % STEPS_PER_KEPT_TIMER:
            timers.cancel(earlier)
        while timers.pop_due(now):
            pass
    return time.perf_counter() - started_at


def time_wheel(pending: int, rng: random.Random) -> float:
    """Return the seconds that the steps take with the wheel."""
    wheel, now = TimingWheel(), 0
    added = [wheel.add(rng.randrange(1, MAX_DELAY_US), ignore) for _ in range(pending)]
    started_at = time.perf_counter()
    for step in range(STEPS):
        now += STEP_US
        index = step % pending
        earlier, added[index] = added[index], wheel.add(now + rng.randrange(1, MAX_DELAY_US), ignore)
        if step % STEPS_PER_KEPT_TIMER:
            wheel.cancel(earlier)
        wheel.advance(now)
    return time.perf_counter() - started_at


def us_per_step(durations: list[float]) -> float:
    """Return the median of the runs' durations, given in seconds, as microseconds per step."""
    return statistics.median(durations) / STEPS * 1e6


def main() -> None:
    """Print a table with a line for each number of pending timers."""
    print("pending    heap us/step   wheel us/step   wheel/heap")
    for pending in PENDING_TIMERS:
        heap_durations, wheel_durations = [], []
        for seed in range(RUNS):  # alternating, so that a drift in speed affects both alike
            heap_durations.append(time_heap(pending, random.Random(seed)))
            wheel_durations.append(time_wheel(pending, random.Random(seed)))
        heap, wheel = us_per_step(heap_durations), us_per_step(wheel_durations)
        print(f"{pending:8} {heap:13.2f} {wheel:15.2f} {wheel / heap:12.2f}", flush=True)


if __name__ == "__main__":
    main()
