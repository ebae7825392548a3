"""Errors on reading stored records, states and traffic segments."""

from __future__ import annotations


class FormatError(Exception):
    """Bytes that this build cannot read: damaged, or of a format that it does not know."""


class TruncatedHeaderError(FormatError):
    """A segment whose header or initial state is incomplete: its gateway exited while writing it."""
