"""The record of a case: one line for each event, with the seconds since the case began."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes ``record.txt``; times are seconds of the machine's monotonic clock since the case began."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write one line with the time in front."""
        self._file.write(f"{self.now():9.3f} {text}\n")

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()
