"""An HTTP client's connection, and the observer through which another process can continue connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from orchidlane import http1
from orchidlane.runtime import Stream, Task

if TYPE_CHECKING:  # the operators' platform has no hot restart and must not load its modules
    from orchidlane.hot_restart.messages import RespSessionState

MAX_RECEIVE_BYTES = 16_384  # at once; a connection holds this much besides a request's head and body


class ConnectionObserver(Protocol):
    """Is notified of each step of a connection, before a crash of this process could lose data of that step.

    Connections are identified by their numbers. During the probation of a hot restart, the old process tracks
    the new one's connections this way, so that it can continue them.
    """

    def connection_opened(self, number: int, stream: Stream) -> None:
        """Note that a client was accepted."""

    def read_started(self, number: int) -> None:
        """Note that bytes are about to be read."""

    def request_started(self, number: int) -> None:
        """Note that a request is in flight."""

    def response_started(self, number: int) -> None:
        """Note that a response is about to be written."""

    def connection_idle(self, number: int, unread: bytes, session: RespSessionState | None = None) -> None:
        """Note that no request is in flight.

        ``unread`` holds the bytes received of the next request, ``session`` the state of a RESP session.
        """

    def connection_closed(self, number: int) -> None:
        """Note that the connection is closed."""


class ClientConnection:
    """An HTTP client's stream and parser, and when its bytes arrived; times in microseconds.

    ``unread_since_us`` is when the first bytes of the next request arrived; while a request is read, when its
    own first bytes arrived.
    """

    __slots__ = (
        "has_sent_request",
        "idle_since_us",
        "is_between_requests",
        "is_detached",
        "last_received_at_us",
        "number",
        "opened_at_us",
        "parser",
        "stream",
        "task",
        "unread_since_us",
    )

    def __init__(self, stream: Stream, limits: http1.ParserLimits, now: int, number: int) -> None:
        self.stream = stream
        self.number = number
        self.parser = http1.RequestParser(limits)
        self.opened_at_us = self.idle_since_us = self.unread_since_us = self.last_received_at_us = now
        self.has_sent_request = False  # a valid request was received, or no timeout applies to the first one
        self.task: Task | None = None
        self.is_between_requests = False  # no request is in flight; the next head may be partly read
        self.is_detached = False  # closed or handed over: no more requests are served here

    def has_more(self) -> bool:
        """Return whether the parser or the socket holds unprocessed input: bytes or the end of input."""
        return bool(self.parser.pending_bytes) or self.stream.has_input()


def send_all(stream: Stream, data: bytes, deadline: int) -> None:
    """Send all data, without a task switch if the kernel accepts it at once.

    Raises ConnectionClosedError, DeadlineExceededError.
    """
    sent = stream.try_send(data)
    if sent < len(data):
        stream.send(data[sent:], deadline)


def receive_observed(stream: Stream, observer: ConnectionObserver, number: int, deadline: int) -> bytes:
    """Notify the observer and receive bytes, which a crash of this process would lose."""
    stream.await_input(deadline)
    observer.read_started(number)
    return stream.recv(MAX_RECEIVE_BYTES, deadline)
