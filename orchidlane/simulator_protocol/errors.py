"""Errors of the simulator's protocol."""

from __future__ import annotations


class ProtocolError(Exception):
    """The input does not follow the protocol; the message is one line for the operator."""
