"""Lingering close (RFC 9112 section 9.6): close connections without a reset that destroys the last response.

A close over unread bytes resets the connection, and the reset may overtake a response that is in flight. So
our side half-closes first. Whatever arrives after that is read and discarded, never processed: its sender
finds the connection ended and can't know that it was read. The socket is closed once the peer has closed
too, or at a bound of time, of bytes, or of connections; beyond the last one the connection that has
lingered longest closes.
"""

from __future__ import annotations

from orchidlane.runtime.backend import Stream
from orchidlane.runtime.errors import ConnectionClosedError, DeadlineExceededError
from orchidlane.runtime.scheduler import EventLoop
from orchidlane.runtime.task_group import TaskGroup
from orchidlane.runtime.tasks import BACKGROUND, Task

MAX_DISCARDED_BYTES = 262_144  # of one connection


class LingeringConnections:
    """Closing connections: each for ``timeout_us`` at most, and ``max_connections`` at a time."""

    def __init__(self, loop: EventLoop, scope: TaskGroup, timeout_us: int, max_connections: int) -> None:
        self.loop = loop
        self.scope = scope
        self.timeout_us = timeout_us
        self.max_connections = max_connections
        self._ending: dict[Stream, None] = {}  # the one that has lingered longest comes first
        self._waiting: Task | None = None  # in ``wait``

    def __len__(self) -> int:
        return len(self._ending)

    def close(self, stream: Stream) -> None:
        """Close a connection without waiting. No other task may read or write it any more."""
        stream.half_close()
        remaining_bytes = _discard_input(stream, MAX_DISCARDED_BYTES)
        if not remaining_bytes:
            stream.close()
            return
        while len(self._ending) >= self.max_connections:
            self._close_oldest()
        self._ending[stream] = None
        self.scope.spawn(self._linger, stream, remaining_bytes, priority=BACKGROUND, name="lingering")

    def _close_oldest(self) -> None:
        oldest = next(iter(self._ending))
        del self._ending[oldest]
        oldest.close()  # wakes its task, which ends

    def _linger(self, stream: Stream, remaining_bytes: int) -> None:
        """Discard input until the peer closes, or until the bound of time or bytes."""
        deadline = self.loop.now() + self.timeout_us
        try:
            while remaining_bytes:
                stream.await_input(deadline)
                remaining_bytes = _discard_input(stream, remaining_bytes)
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        finally:
            self._ending.pop(stream, None)
            stream.close()
            if not self._ending and self._waiting is not None:
                self.loop.wake(self._waiting)

    def wait(self, deadline: int) -> None:
        """Wait until no connection lingers, at the latest until the deadline; one task at a time."""
        self._waiting = self.loop.current
        try:
            while self._ending:
                self.loop.park(deadline)
        except DeadlineExceededError:
            pass
        finally:
            self._waiting = None


def _discard_input(stream: Stream, remaining_bytes: int) -> int:
    """Discard what can be read without waiting.

    Return how many more bytes may come, 0 where the connection has ended or no more may be read.
    """
    try:
        while remaining_bytes > 0 and (data := stream.try_recv()) is not None:
            if not data:
                return 0
            remaining_bytes -= len(data)
    except ConnectionClosedError:
        return 0
    return max(0, remaining_bytes)
