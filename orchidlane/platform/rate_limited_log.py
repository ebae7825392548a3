"""A log on standard output with a limit of lines per second, which bounds the time spent on many faults."""

from __future__ import annotations

import sys
from collections.abc import Callable
from contextlib import suppress

MAX_LINES_PER_SECOND = 10
MAX_LINE_CHARACTERS = 400


class RateLimitedLog:
    """Writes lines with a timestamp and the gateway's name; ``now`` returns the clock in microseconds.

    Lines over the limit are omitted, and their number is written with the next line.
    """

    def __init__(self, now: Callable[[], int], name: str) -> None:
        self.now = now
        self.name = name
        self.omitted_lines = 0
        self._current_second = 0
        self._lines_this_second = 0

    def write(self, text: str) -> None:
        """Write one line. Never raises OSError: a log that can't be written must not stop the gateway."""
        second = self.now() // 1_000_000
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        if self._lines_this_second >= MAX_LINES_PER_SECOND:
            self.omitted_lines += 1
            return
        self._lines_this_second += 1
        omitted = f" ({self.omitted_lines} lines omitted)" if self.omitted_lines else ""
        self.omitted_lines = 0
        printable = "".join(
            character if character.isprintable() else "?" for character in text[:MAX_LINE_CHARACTERS]
        )
        with suppress(OSError, ValueError):
            sys.stdout.write(f"{self.now() / 1e6:.3f} {self.name} {printable}{omitted}\n")
            sys.stdout.flush()

    def write_failure(self, source: str, error: Exception) -> None:
        """Write one line on an exception: its source, such as a task, and the code that raised it."""
        frame = error.__traceback__
        while frame is not None and frame.tb_next is not None:
            frame = frame.tb_next
        location = "?"
        if frame is not None:
            location = f"{frame.tb_frame.f_code.co_filename.rpartition('/')[2]}:{frame.tb_lineno}"
        self.write(f"unhandled exception in {source}: {type(error).__name__} at {location}: {error}")
