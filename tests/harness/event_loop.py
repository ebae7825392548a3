"""Running work on an event loop."""

from __future__ import annotations

from collections.abc import Callable

from orchidlane.runtime import EventLoop


def run_with_log(loop: EventLoop, work: Callable[[list], None]) -> list:
    """Run ``work`` with an empty list on an event loop; return the list, to which the work has added."""
    log: list = []
    loop.run(work, log)
    return log
