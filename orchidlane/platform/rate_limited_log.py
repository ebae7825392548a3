"""A log on standard output with a bound on the lines per second, so that many faults cost a bounded time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from contextlib import suppress

MAX_LINES_PER_SECOND = 10
MAX_LINE_CHARACTERS = 400


class RateLimitedLog:
    """Writes lines with a time stamp; ``now`` gives the clock in microseconds.

    Lines over the bound are omitted, and their number is written with the next line.
    """

    def __init__(self, now: Callable[[], int], name: str) -> None:
        self.now = now
        self.name = name
        self.omitted_lines = 0
        self._second = 0
        self._lines = 0  # in this second

    def write(self, text: str) -> None:
        """Write one line. Never raises OSError: a log that cannot be written must not end the gateway."""
        second = self.now() // 1_000_000
        if second != self._second:
            self._second = second
            self._lines = 0
        if self._lines >= MAX_LINES_PER_SECOND:
            self.omitted_lines += 1
            return
        self._lines += 1
        omitted = f" ({self.omitted_lines} lines left out)" if self.omitted_lines else ""
        self.omitted_lines = 0
        printable = "".join(
            character if character.isprintable() else "?" for character in text[:MAX_LINE_CHARACTERS]
        )
        with suppress(OSError, ValueError):
            sys.stdout.write(f"{self.now() / 1e6:.3f} {self.name} {printable}{omitted}\n")
            sys.stdout.flush()

    def write_failure(self, where: str, error: Exception) -> None:
        """Write one line on an exception that was contained, with the location that raised it."""
        frame = error.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        location = "?"
        if frame is not None:
            location = f"{frame.tb_frame.f_code.co_filename.rpartition('/')[2]}:{frame.tb_lineno}"
        self.write(f"contained in {where}: {type(error).__name__} at {location}: {error}")
