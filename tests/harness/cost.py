"""Compares the processor time of two inputs in one run, so that no figure of a machine is needed."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

Input = TypeVar("Input")

REPETITIONS = 5
MIN_SAMPLE_S = 0.002  # shorter ones are repeated, as the clock and caches would dominate


def cost_ratio(work: Callable[[Input], object], short: Input, long: Input) -> float:
    """Return how many times the processor time of ``short`` the input ``long`` takes."""
    return _cost(work, long) / _cost(work, short)


def _cost(work: Callable[[Input], object], data: Input) -> float:
    """Return the least processor time in seconds of one call, of several samples."""
    return min(_sample(work, data) for _ in range(REPETITIONS))


def _sample(work: Callable[[Input], object], data: Input) -> float:
    calls = 0
    started_at = time.process_time()
    while True:
        work(data)
        calls += 1
        elapsed = time.process_time() - started_at
        if elapsed >= MIN_SAMPLE_S:
            return elapsed / calls
