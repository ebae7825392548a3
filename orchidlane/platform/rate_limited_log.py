"""Lines of text on standard output, so many a second at most: a flood of troubles costs a bounded time."""

from __future__ import annotations

import sys
from collections.abc import Callable
from contextlib import suppress

LINES_MOST = 10  # a second
LINE_MOST = 400  # characters


class Log:
    """Writes lines; those over the bound are counted and told with the next one."""

    def __init__(self, now: Callable[[], int], name: str) -> None:
        self.now = now
        self.name = name
        self.left_out = 0
        self._second = 0
        self._lines = 0

    def say(self, text: str) -> None:
        """One line."""
        second = self.now() // 1_000_000
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= LINES_MOST:
            self.left_out += 1
            return
        self._lines += 1
        more = f" ({self.left_out} lines left out)" if self.left_out else ""
        self.left_out = 0
        plain = "".join(c if c.isprintable() else "?" for c in text[:LINE_MOST])
        with suppress(OSError, ValueError):  # a log that nobody takes may not end the gateway
            sys.stdout.write(f"{self.now() / 1e6:.3f} {self.name} {plain}{more}\n")
            sys.stdout.flush()

    def contain(self, where: str, wrong: Exception) -> None:
        """A failure that ended where it was."""
        place = wrong.__traceback__
        while place is not None and place.tb_next is not None:
            place = place.tb_next
        at = f"{place.tb_frame.f_code.co_filename.rpartition('/')[2]}:{place.tb_lineno}" if place else "?"
        self.say(f"contained in {where}: {type(wrong).__name__} at {at}: {wrong}")
