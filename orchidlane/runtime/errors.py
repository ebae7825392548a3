"""What a wait can end with besides its value."""

from __future__ import annotations


class Cancelled(BaseException):
    """The task was ended by its owner; every later wait of it raises this again."""


class EventLoopError(Exception):
    """Any failure of a wait or of I/O."""


class DeadlineExceededError(EventLoopError):
    """The deadline of a wait has passed; what was waited for is untouched."""


class ConnectionClosedError(EventLoopError):
    """The stream was reset by the other side, or closed on ours."""


class ConnectionFailedError(EventLoopError):
    """No connection was made: refused, unreachable, or out of descriptors. No byte has left."""
