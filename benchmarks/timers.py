"""Timers: a hierarchical wheel beside the heap that the loop uses, mostly cancelled, at growing sizes.

Each run adds so many timers as are to be pending, then goes through as many steps: add one, cancel one that
was added before (nine of ten times) and take out what is due. ``python -m benchmarks.timers``.
"""

from __future__ import annotations

import random
import time

from orchidlane.runtime.timers import Timers

SLOT_BITS, LEVELS, TICK = 8, 5, 1_000  # 256 slots a level, 1 ms a tick


class Wheel:
    """A hierarchical timing wheel (Varghese and Lauck): slots of a level hold what one slot above spans."""

    def __init__(self) -> None:
        self.now = 0
        self.slots: list[list[list[list]]] = [[[] for _ in range(1 << SLOT_BITS)] for _ in range(LEVELS)]
        self.bits = [0] * LEVELS

    def add(self, when: int, call, argument=None) -> list:
        entry = [max(self.now + 1, -(-when // TICK)), call, argument]
        self._place(entry)
        return entry

    def _place(self, entry: list) -> None:
        tick = entry[0]
        for level in range(LEVELS):
            shift = SLOT_BITS * level
            if (tick >> shift) - (self.now >> shift) < 1 << SLOT_BITS:
                slot = tick >> shift & 255
                self.slots[level][slot].append(entry)
                self.bits[level] |= 1 << slot
                return
        raise ValueError("too far ahead")

    def cancel(self, entry: list) -> None:
        entry[1] = None

    def advance(self, now: int) -> list[list]:
        """All that is due by ``now``, in order of ticks."""
        due, end = [], now // TICK
        while self.now < end:
            self.now += 1
            for level in range(1, LEVELS):
                if self.now & ((1 << SLOT_BITS * level) - 1):
                    break
                self._empty(level, self.now >> SLOT_BITS * level & 255, self._place)
            self._empty(0, self.now & 255, due.append)
        return due

    def _empty(self, level: int, slot: int, take) -> None:
        entries, self.slots[level][slot] = self.slots[level][slot], []
        self.bits[level] &= ~(1 << slot)
        for entry in entries:
            if entry[1] is not None:
                take(entry)


def run_heap(pending: int, steps: int, rng: random.Random) -> float:
    timers, now = Timers(), 0
    held = [timers.add(rng.randrange(1, 60_000_000), print) for _ in range(pending)]
    began = time.perf_counter()
    for step in range(steps):
        now += 100
        held[step % pending], old = (
            timers.add(now + rng.randrange(1, 60_000_000), print),
            held[step % pending],
        )
        if step % 10:
            timers.cancel(old)
        while timers.pop_due(now):
            pass
    return time.perf_counter() - began


def run_wheel(pending: int, steps: int, rng: random.Random) -> float:
    wheel, now = Wheel(), 0
    held = [wheel.add(rng.randrange(1, 60_000_000), print) for _ in range(pending)]
    began = time.perf_counter()
    for step in range(steps):
        now += 100
        place = step % pending
        held[place], old = wheel.add(now + rng.randrange(1, 60_000_000), print), held[place]
        if step % 10:
            wheel.cancel(old)
        wheel.advance(now)
    return time.perf_counter() - began


def main() -> None:
    steps = 100_000
    print("pending    heap us/step   wheel us/step   wheel/heap")
    for pending in (100, 1_000, 10_000, 100_000, 1_000_000):
        pairs = [
            (run_heap(pending, steps, random.Random(n)), run_wheel(pending, steps, random.Random(n)))
            for n in range(3)
        ]
        heap, wheel = (sorted(column)[1] / steps * 1e6 for column in zip(*pairs, strict=True))
        print(f"{pending:8} {heap:13.2f} {wheel:15.2f} {wheel / heap:12.2f}", flush=True)


if __name__ == "__main__":
    main()
