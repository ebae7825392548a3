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
MAX_QUEUED_MESSAGES = 200_000  # with more, the other process must be hanging; further messages are dropped


class Channel:
    """One end of the Unix socket; a message may carry a descriptor."""

    def __init__(self, loop: EventLoop, stream: Stream, number: int, scope: TaskGroup) -> None:
        self.loop = loop
        self.stream = stream
        self.number = number
        self.closed = False
        self._queue: deque[tuple[bytes, Handle | None]] = deque()
        self._parser = messages.Parser()
        self._flush_waiters: list[Task] = []
        self._writer = scope.spawn(self._write, priority=CONTROL, name="hot restart channel writer")

    def send(self, message: messages.Message, handle: Handle | None = None) -> None:
        """Send a message in order, at once if the socket accepts it.

        The other process can read what the socket has accepted even if this process dies right after.
        """
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
            self._wake_flush_waiters()

    def _write_next(self) -> None:
        while not self._queue:
            self._wake_flush_waiters()
            self.loop.park()
        data, handle = self._queue[0]
        deadline = self.loop.now() + WRITE_TIMEOUT_US
        if handle is None:
            self.stream.send(data, deadline)
        else:
            self.stream.send_with_handle(data, handle, deadline)
        self._queue.popleft()

    def _wake_flush_waiters(self) -> None:
        waiters = self._flush_waiters
        self._flush_waiters = []
        for task in waiters:
            self.loop.wake(task)

    @property
    def has_backlog(self) -> bool:
        """Whether messages are queued that the other process can't read yet."""
        return bool(self._queue) and not self.closed

    def flush(self) -> None:
        """Wait until all messages are sent or the channel is closed. Raises DeadlineExceededError."""
        task = self.loop.current
        assert task is not None
        while self._queue and not self.closed:
            self._flush_waiters.append(task)
            self.loop.park(self.loop.now() + WRITE_TIMEOUT_US)

    def received(self) -> Iterator[messages.AnyMessage]:
        """Yield messages until the other process closes its end. Raises ProtocolError."""
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

    def discard_until_closed(self) -> None:
        """Discard received bytes until the other process closes its end."""
        try:
            while self.stream.recv():
                pass
        except ConnectionClosedError:
            pass

    def close(self) -> None:
        """Close the local end."""
        self.closed = True
        self.stream.close()
        self.loop.cancel(self._writer)
