"""Errors that state from outside causes where it does not fit: rows of another process or of a file."""

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
