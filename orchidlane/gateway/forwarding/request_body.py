"""The body of a client's request, kept for further attempts up to a size limit."""

from __future__ import annotations

from collections import deque

from orchidlane import http1
from orchidlane.runtime import EventLoop, Task


class RequestBody:
    """A body as it arrives: up to ``max_replay_bytes`` it is kept for further attempts.

    Of a larger body, pieces are dropped once an attempt has read them, and ``is_replayable`` becomes False.
    One task adds pieces, one attempt at a time reads them. ``length`` is None for a chunked body.
    """

    def __init__(self, loop: EventLoop, max_replay_bytes: int, length: int | None) -> None:
        self.loop = loop
        self.max_replay_bytes = max_replay_bytes
        self.length = length
        self.is_complete = length == 0
        self.trailers: http1.Headers = ()
        self.is_replayable = True
        self._pieces: deque[bytes] = deque()
        self._dropped_pieces = 0
        self._kept_bytes = 0
        self._reader: Task | None = None
        self._writer: Task | None = None
        self._read_pieces = 0

    @property
    def is_full(self) -> bool:
        """Whether the body is at its size limit, so that no piece can be added now."""
        return self._kept_bytes >= self.max_replay_bytes

    @property
    def is_settled(self) -> bool:
        """Whether an attempt may start: the body is complete, or at its size limit."""
        return self.is_complete or self.is_full

    def add(self, data: bytes) -> None:
        """Add a piece of the body."""
        self._pieces.append(data)
        self._kept_bytes += len(data)
        self._wake_reader()

    def end(self, trailers: http1.Headers) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self.trailers = trailers
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._reader is not None and (self.is_settled or self._read_pieces):
            task = self._reader
            self._reader = None
            self.loop.wake(task)

    def wait_settled(self, deadline: int) -> None:
        """Wait until an attempt may start. Raises DeadlineExceededError."""
        while not self.is_settled:
            self._wait(deadline)

    def _wait(self, deadline: int) -> None:
        self._reader = self.loop.current
        try:
            self.loop.park(deadline)
        finally:
            self._reader = None

    def piece(self, number: int, deadline: int) -> bytes | None:
        """Wait for piece ``number`` and return it, None after the last one. Raises DeadlineExceededError.

        Pieces have to be read in order. While the body is at its size limit and not complete, pieces before
        ``number`` are dropped.
        """
        self._read_pieces = max(self._read_pieces, number)
        self._drop_read_pieces()
        while number - self._dropped_pieces >= len(self._pieces):
            if self.is_complete:
                return None
            self._read_pieces = max(self._read_pieces, number, 1)
            self._wait(deadline)
        return self._pieces[number - self._dropped_pieces]

    def _drop_read_pieces(self) -> None:
        while self.is_full and not self.is_complete and self._dropped_pieces < self._read_pieces:
            self._kept_bytes -= len(self._pieces.popleft())
            self._dropped_pieces += 1
            self.is_replayable = False
        if not self.is_full and self._writer is not None:
            task = self._writer
            self._writer = None
            self.loop.wake(task)

    def wake_when_not_full(self, task: Task) -> None:
        """Wake the task once a piece can be added."""
        self._writer = task
