"""Wall-clock time of calls."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")


def measure_seconds(work: Callable[[], object]) -> float:
    """Return the seconds that a call takes."""
    started_at = time.perf_counter()
    work()
    return time.perf_counter() - started_at


def measure_ms(work: Callable[[], object]) -> float:
    """Return the milliseconds that a call takes."""
    return measure_seconds(work) * 1e3


def timed_result(work: Callable[[], Result]) -> tuple[float, Result]:
    """Return the seconds that a call takes, and the result of the call."""
    started_at = time.perf_counter()
    result = work()
    return time.perf_counter() - started_at, result
