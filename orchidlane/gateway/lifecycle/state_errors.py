"""Errors that invalid state from another process or from a file may cause while it is restored."""

from __future__ import annotations

import msgspec

from orchidlane import recording

INVALID_STATE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    IndexError,
    msgspec.ValidationError,
    recording.FormatError,
)
