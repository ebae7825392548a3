"""Lingering close (RFC 9112 section 9.6): connections end without a reset that destroys what was sent last.

A close over bytes that nobody has read resets the connection, and a reset may overtake an answer that is
still on its way. So our side ends first. What comes after that is read and thrown away, never used: whoever
sent it finds the end and can't know that it was read. The socket is closed once the other side has ended,
too, or at a bound: of time, of bytes, or of connections that end at once, where the one that has lingered
longest goes.
"""

from __future__ import annotations

from orchidlane.runtime.backend import Stream
from orchidlane.runtime.errors import ConnectionClosedError, DeadlineExceededError
from orchidlane.runtime.scheduler import EventLoop, TaskGroup
from orchidlane.runtime.tasks import BACKGROUND, Task

READ_MOST = 262_144  # bytes read and thrown away of one connection


class LingeringConnections:
    """Connections that are ending: each at most for ``span`` microseconds, ``most`` at a time."""

    def __init__(self, loop: EventLoop, scope: TaskGroup, timeout_us: int, max_connections: int) -> None:
        self.loop = loop
        self.scope = scope
        self.timeout_us = timeout_us
        self.max_connections = max_connections
        self._ending: dict[Stream, None] = {}  # the longest first
        self._waiting: Task | None = None  # until none is ending

    def __len__(self) -> int:
        return len(self._ending)

    def close(self, stream: Stream) -> None:
        """End a connection; never waits. No other task may read or write it any more."""
        stream.half_close()
        left = _read_out(stream, READ_MOST)
        if not left:
            return stream.close()
        while len(self._ending) >= self.max_connections:
            longest = next(iter(self._ending))
            del self._ending[longest]
            longest.close()  # its task finds that and ends
        self._ending[stream] = None
        self.scope.spawn(self._linger, stream, left, priority=BACKGROUND, name="lingering")

    def _linger(self, stream: Stream, left: int) -> None:
        by = self.loop.now() + self.timeout_us
        try:
            while left:
                stream.await_input(by)
                left = _read_out(stream, left)
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        finally:
            self._ending.pop(stream, None)
            stream.close()
            if not self._ending and self._waiting is not None:
                self.loop.wake(self._waiting)

    def wait(self, by: int) -> None:
        """Wait until none is ending any more, at the latest until ``by``; one task at a time."""
        self._waiting = self.loop.current
        try:
            while self._ending:
                self.loop.park(by)
        except DeadlineExceededError:
            pass
        finally:
            self._waiting = None


def _read_out(stream: Stream, left: int) -> int:
    """Throw away what can be read at once; how many more bytes may come, 0 where nothing more is to be
    read.
    """
    try:
        while left > 0 and (data := stream.try_recv()) is not None:
            if not data:
                return 0
            left -= len(data)
    except ConnectionClosedError:
        return 0
    return max(0, left)
