"""Exceptions raised by waits and I/O operations."""

from __future__ import annotations


class Cancelled(BaseException):
    """The task was cancelled by its owner; each of its later waits raises this again.

    This is a request to finish, not an error. Like ``asyncio.CancelledError`` it derives from BaseException,
    so that no ``except Exception`` catches it.
    """


class EventLoopError(Exception):
    """A wait or an I/O operation has failed."""


class DeadlineExceededError(EventLoopError):
    """The deadline of a wait has passed; nothing was read or written."""


class ConnectionClosedError(EventLoopError):
    """The connection was reset by the peer or closed locally."""


class ConnectionFailedError(EventLoopError):
    """The connection was not made: refused, unreachable, or out of file descriptors. No byte was sent."""
