"""Durations and sizes, which settings write as strings such as ``250ms`` and ``64KiB``."""

from __future__ import annotations

import re

DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(us|ms|s|m|h)")
SIZE = re.compile(r"([0-9]+)(B|KiB|MiB|GiB)")
MICROSECONDS_OF_UNIT = {"us": 1, "ms": 1_000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
BYTES_OF_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class Duration(int):
    """Microseconds, written like ``250ms``."""

    @classmethod
    def parse(cls, text: str) -> Duration:
        """Return the duration that a text states. Raises ValueError if it is not a duration."""
        match = DURATION.fullmatch(text)
        if match is None:
            raise ValueError(f"{text!r} is not a duration such as 250ms, 2s or 1m")
        return cls(round(float(match[1]) * MICROSECONDS_OF_UNIT[match[2]]))


class Size(int):
    """Bytes, written like ``64KiB``."""

    @classmethod
    def parse(cls, text: str) -> Size:
        """Return the size that a text states. Raises ValueError if it is not a size."""
        match = SIZE.fullmatch(text)
        if match is None:
            raise ValueError(f"{text!r} is not a size such as 64KiB or 1MiB")
        return cls(int(match[1]) * BYTES_OF_UNIT[match[2]])
