"""Errors of stored records, states and traffic segments."""

from __future__ import annotations


class FormatError(Exception):
    """Bytes that this build cannot read: damaged, or of a format that it does not know."""


class TruncatedHeaderError(FormatError):
    """A segment whose header or initial state was not written completely: its gateway ended meanwhile."""
