"""The final response to a client, complete or as the start of a stream."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from orchidlane import http1
from orchidlane.runtime import EventLoop, Task

MAX_QUEUED_PIECES = 8  # received from the endpoint and not yet sent to the client


class ResponseStream:
    """The rest of a response that is too large to buffer: a bounded queue from an attempt to the client."""

    def __init__(self, loop: EventLoop, first: bytes) -> None:
        self.loop = loop
        self.is_broken = False
        self.trailers: http1.Headers = ()
        self._queue: deque[bytes] = deque([first])
        self._is_complete = False
        self._reader: Task | None = None
        self._writer: Task | None = None

    def put(self, data: bytes) -> None:
        """Add a piece of the body; wait while the queue is full."""
        while len(self._queue) >= MAX_QUEUED_PIECES and not self.is_broken:
            self._writer = self.loop.current
            self.loop.park()
        self._queue.append(data)
        self._wake_reader()

    def end(self, broken: bool, trailers: http1.Headers = ()) -> None:
        """Mark the stream as complete, or as broken where the rest of the body is lost."""
        self._is_complete = True
        self.trailers = trailers
        self.is_broken = self.is_broken or broken
        self._wake_reader()
        self._wake_writer()

    def take(self, deadline: int) -> bytes | None:
        """Wait for the next piece and return it, None after the last one. Raises DeadlineExceededError."""
        while not self._queue:
            if self._is_complete or self.is_broken:
                return None
            self._reader = self.loop.current
            self.loop.park(deadline)
        self._wake_writer()
        return self._queue.popleft()

    def _wake_reader(self) -> None:
        if self._reader is not None:
            self.loop.wake(self._reader)

    def _wake_writer(self) -> None:
        if self._writer is not None:
            self.loop.wake(self._writer)


@dataclass(slots=True)
class ClientResponse:
    """A final response; ``kind`` is its label in the metrics: served, refused (rejected) or failed."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    trailers: http1.Headers = ()
    stream: ResponseStream | None = None
    kind: str = "served"
