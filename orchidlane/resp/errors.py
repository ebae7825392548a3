"""Errors of the RESP decoder."""

from __future__ import annotations


class ProtocolError(Exception):
    """Raised for input that violates RESP or a limit of the decoder; its text is sent to clients."""
