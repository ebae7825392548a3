"""Errors of the RESP decoder."""

from __future__ import annotations


class ProtocolError(Exception):
    """The other side broke the protocol or a limit."""
