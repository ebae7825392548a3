"""Channel between the old and the new process of a hot restart: messages in order over a Unix socket."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from orchidlane.hot_restart import messages
from orchidlane.runtime import (
    CONTROL,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    Task,
    TaskGroup,
)
from orchidlane.runtime.backend import Handle

WRITE_TIMEOUT_US = 5_000_000
MAX_QUEUED_MESSAGES = 200_000  # beyond that the other process hangs, and messages are dropped


class Channel:
    """One end of the Unix socket; a message may pass a descriptor."""

    def __init__(self, loop: EventLoop, stream: Stream, number: int, scope: TaskGroup) -> None:
        self.loop = loop
        self.stream = stream
        self.number = number
        self.closed = False
        self._queue: deque[tuple[bytes, Handle | None]] = deque()
        self._parser = messages.Parser()
        self._flushing: list[Task] = []
        self._writer = scope.spawn(self._write, priority=CONTROL, name="upgrade writer")

    def send(self, message: messages.Message, handle: Handle | None = None) -> None:
        """Send in order, at once if the socket takes it: the peer then reads it even if we die next."""
        data = messages.encode(message)
        if not self.closed and not self._queue:
            try:
                if handle is None:
                    data = data[self.stream.try_send(data) :]
                elif sent := self.stream.try_send_with_handle(data, handle):
                    data = data[sent:]
                    handle = None
            except ConnectionClosedError:
                self.closed = True
            if not data:
                return
        if self.closed or len(self._queue) >= MAX_QUEUED_MESSAGES:
            if handle is not None:
                self.loop.backend.close_handle(handle)
            return
        self._queue.append((data, handle))
        self.loop.wake(self._writer)

    def _write(self) -> None:
        try:
            while True:
                self._write_next()
        except (ConnectionClosedError, DeadlineExceededError):
            self.closed = True
        finally:
            for _, handle in self._queue:
                if handle is not None:
                    self.loop.backend.close_handle(handle)
            self._queue.clear()
            self._wake_flushing()

    def _write_next(self) -> None:
        while not self._queue:
            self._wake_flushing()
            self.loop.park()
        data, handle = self._queue[0]
        deadline = self.loop.now() + WRITE_TIMEOUT_US
        if handle is None:
            self.stream.send(data, deadline)
        else:
            self.stream.send_with_handle(data, handle, deadline)
        self._queue.popleft()

    def _wake_flushing(self) -> None:
        waiting = self._flushing
        self._flushing = []
        for task in waiting:
            self.loop.wake(task)

    @property
    def has_backlog(self) -> bool:
        """Whether messages wait: the peer does not know yet what was sent."""
        return bool(self._queue) and not self.closed

    def flush(self) -> None:
        """Wait until all is sent, or never will be. Raises DeadlineExceededError."""
        task = self.loop.current
        assert task is not None
        while self._queue and not self.closed:
            self._flushing.append(task)
            self.loop.park(self.loop.now() + WRITE_TIMEOUT_US)

    def received(self) -> Iterator[messages.AnyMessage]:
        """Yield messages until the peer's end closes. Raises ProtocolError."""
        while True:
            message = self._parser.next_message()
            if message is not None:
                yield message
                continue
            try:
                data = self.stream.recv()
            except ConnectionClosedError:
                return
            if not data:
                return
            self._parser.receive(data)

    def await_end(self) -> None:
        """Discard what is received until the peer's end closes."""
        try:
            while self.stream.recv():
                pass
        except ConnectionClosedError:
            pass

    def close(self) -> None:
        """Close this end."""
        self.closed = True
        self.stream.close()
        self.loop.cancel(self._writer)
