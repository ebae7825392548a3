"""A helper to run test code on an event loop."""

from __future__ import annotations

from collections.abc import Callable

from orchidlane.runtime import EventLoop


def run_with_log(loop: EventLoop, work: Callable[[list], None]) -> list:
    """Run ``work`` on an event loop with an empty list as its argument; return that list."""
    log: list = []
    loop.run(work, log)
    return log
