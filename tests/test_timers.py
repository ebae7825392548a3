"""Tests of the timer queue."""

from __future__ import annotations

from orchidlane.runtime.timers import Timers


def test_timers_fire_in_order_and_cancelled_ones_do_not_accumulate() -> None:
    timers = Timers()
    fired: list[int] = []
    added = [timers.add(number * 7 % 1_000, fired.append, number) for number in range(1_000)]
    for number, timer in enumerate(added):
        if number % 10:
            timers.cancel(timer)
            timers.cancel(timer)
    assert len(timers) == 100
    assert len(timers._heap) < 300
    while timer := timers.pop_due(10_000):
        timer.call(timer.argument)
    assert fired == sorted(range(0, 1_000, 10), key=lambda number: number * 7 % 1_000)
