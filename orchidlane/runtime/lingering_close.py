"""Lingering close (RFC 9112 section 9.6): close connections without a reset that destroys the last response.

Closing a socket with unread bytes resets the connection, and the peer may process the reset before a response
that is still in flight. So the local end half-closes first. It reads and discards whatever arrives after
that, and never processes it: the sender only sees that the connection was closed, not whether its bytes were
read. The socket is closed once the peer has closed too, or when a limit of time or bytes is reached. When too
many connections linger, the one that has lingered longest is closed.
"""

from __future__ import annotations

from orchidlane.runtime.backend import Stream
from orchidlane.runtime.errors import ConnectionClosedError, DeadlineExceededError
from orchidlane.runtime.scheduler import EventLoop
from orchidlane.runtime.task_group import TaskGroup
from orchidlane.runtime.tasks import BACKGROUND, Task

MAX_DISCARDED_BYTES = 262_144  # per connection


class LingeringConnections:
    """Connections in lingering close: each for at most ``timeout_us``, and ``max_connections`` at a time."""

    def __init__(self, loop: EventLoop, scope: TaskGroup, timeout_us: int, max_connections: int) -> None:
        self.loop = loop
        self.scope = scope
        self.timeout_us = timeout_us
        self.max_connections = max_connections
        self._lingering: dict[Stream, None] = {}  # the one that has lingered longest comes first
        self._waiting_task: Task | None = None  # the task that is in ``wait``

    def __len__(self) -> int:
        return len(self._lingering)

    def close(self, stream: Stream) -> None:
        """Start to close a connection, without waiting; no other task may use it any more."""
        stream.half_close()
        remaining_bytes = _discard_available_input(stream, MAX_DISCARDED_BYTES)
        if not remaining_bytes:
            stream.close()
            return
        while len(self._lingering) >= self.max_connections:
            self._close_oldest()
        self._lingering[stream] = None
        self.scope.spawn(self._linger, stream, remaining_bytes, priority=BACKGROUND, name="lingering")

    def _close_oldest(self) -> None:
        oldest = next(iter(self._lingering))
        del self._lingering[oldest]
        oldest.close()  # wakes the task that discards its input, and that task finishes

    def _linger(self, stream: Stream, remaining_bytes: int) -> None:
        """Discard input until the peer closes, or until the limit of time or bytes is reached."""
        deadline = self.loop.now() + self.timeout_us
        try:
            while remaining_bytes:
                stream.await_input(deadline)
                remaining_bytes = _discard_available_input(stream, remaining_bytes)
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        finally:
            self._lingering.pop(stream, None)
            stream.close()
            if not self._lingering and self._waiting_task is not None:
                self.loop.wake(self._waiting_task)

    def wait(self, deadline: int) -> None:
        """Wait until no connection lingers or the deadline has passed; only one task may wait at a time."""
        self._waiting_task = self.loop.current
        try:
            while self._lingering:
                self.loop.park(deadline)
        except DeadlineExceededError:
            pass
        finally:
            self._waiting_task = None


def _discard_available_input(stream: Stream, remaining_bytes: int) -> int:
    """Discard the bytes that can be read without waiting.

    Return how many more bytes may be discarded; 0 if that limit is reached or the connection is closed.
    """
    try:
        while remaining_bytes > 0 and (data := stream.try_recv()) is not None:
            if not data:
                return 0
            remaining_bytes -= len(data)
    except ConnectionClosedError:
        return 0
    return max(0, remaining_bytes)
