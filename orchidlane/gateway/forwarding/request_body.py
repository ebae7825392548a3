"""The body of a client's request, kept for further attempts up to a size limit."""

from __future__ import annotations

from orchidlane import http1
from orchidlane.runtime import EventLoop, Task

MAX_READ_BYTES = 65_536  # of one ``read``


class RequestBody:
    """A body as it arrives: up to ``max_replay_bytes`` it is kept for further attempts.

    Of a larger body, bytes are dropped once an attempt has read them, and ``is_replayable`` becomes False.
    One task adds bytes, one attempt at a time reads them. ``length`` is None for a chunked body. All kept
    bytes are in one buffer, so that a body takes the same memory in whatever pieces it arrives.
    """

    def __init__(self, loop: EventLoop, max_replay_bytes: int, length: int | None) -> None:
        self.loop = loop
        self.max_replay_bytes = max_replay_bytes
        self.length = length
        self.is_complete = length == 0
        self.trailers: http1.Headers = ()
        self.is_replayable = True
        self._kept = bytearray()  # the bytes from offset ``_dropped_bytes`` on
        self._dropped_bytes = 0
        self._read_bytes = 0  # the largest offset up to which an attempt has read
        self._reader: Task | None = None
        self._reader_needs_settled_body = False
        self._writer: Task | None = None

    @property
    def is_full(self) -> bool:
        """Whether the body is at its size limit, so that nothing can be added now."""
        return len(self._kept) >= self.max_replay_bytes

    @property
    def is_settled(self) -> bool:
        """Whether an attempt may start: the body is complete, or at its size limit."""
        return self.is_complete or self.is_full

    def add(self, data: bytes) -> None:
        """Add the next bytes of the body."""
        self._kept += data
        self._wake_reader()

    def end(self, trailers: http1.Headers) -> None:
        """Mark the body as complete."""
        self.is_complete = True
        self.trailers = trailers
        self._wake_reader()

    def discard(self) -> None:
        """Release the memory of a body that no attempt will read."""
        self._kept = bytearray()
        self.is_replayable = False

    def _wake_reader(self) -> None:
        if self._reader is not None and (self.is_settled or not self._reader_needs_settled_body):
            task = self._reader
            self._reader = None
            self.loop.wake(task)

    def wait_settled(self, deadline: int) -> None:
        """Wait until an attempt may start. Raises DeadlineExceededError."""
        self._reader_needs_settled_body = True
        while not self.is_settled:
            self._wait(deadline)

    def _wait(self, deadline: int) -> None:
        self._reader = self.loop.current
        try:
            self.loop.park(deadline)
        finally:
            self._reader = None

    def read(self, offset: int, deadline: int) -> bytes | None:
        """Wait for bytes at ``offset`` and return up to ``MAX_READ_BYTES``, None at the end of the body.

        An attempt reads from offset 0 on without gaps. While the body is at its size limit and not complete,
        the bytes before ``offset`` are dropped. Raises DeadlineExceededError.
        """
        self._reader_needs_settled_body = False
        self._read_bytes = max(self._read_bytes, offset)
        self._drop_read_bytes()
        while offset - self._dropped_bytes >= len(self._kept):
            if self.is_complete:
                return None
            self._wait(deadline)
        start = offset - self._dropped_bytes
        return bytes(memoryview(self._kept)[start : start + MAX_READ_BYTES])

    def _drop_read_bytes(self) -> None:
        count = self._read_bytes - self._dropped_bytes
        if self.is_full and not self.is_complete and count:
            del self._kept[:count]
            self._dropped_bytes += count
            self.is_replayable = False
        if not self.is_full and self._writer is not None:
            task = self._writer
            self._writer = None
            self.loop.wake(task)

    def wake_when_not_full(self, task: Task) -> None:
        """Wake the task once bytes can be added."""
        self._writer = task
