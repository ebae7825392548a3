"""How a wait or an I/O operation ends other than by its value."""

from __future__ import annotations


class Cancelled(BaseException):
    """The task was cancelled by its owner; each of its later waits raises this again.

    A request to end, not an error: like ``asyncio.CancelledError`` no ``except Exception`` catches it.
    """


class EventLoopError(Exception):
    """A wait or an I/O operation has failed."""


class DeadlineExceededError(EventLoopError):
    """The deadline of a wait has passed; nothing was read or written."""


class ConnectionClosedError(EventLoopError):
    """The connection was reset by the peer, or closed on our side."""


class ConnectionFailedError(EventLoopError):
    """No connection was made: refused, unreachable, or out of descriptors. No byte was sent."""
