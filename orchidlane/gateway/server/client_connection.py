"""A client's connection as the servers keep it, and its observer while another process may take it over."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from orchidlane import http1
from orchidlane.runtime import Stream, Task

if TYPE_CHECKING:  # the platform serves no hot restarts and does not load their modules
    from orchidlane.hot_restart.messages import RespSessionState


class ConnectionObserver(Protocol):
    """Is notified of each connection, by its number, before anything that could be lost with this process.

    During the probation of a hot restart the old process follows the new one's connections this way.
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
        """Note that no request is in flight, with what was read of the next one and the RESP state."""

    def connection_closed(self, number: int) -> None:
        """Note that the connection is closed."""


class ClientConnection:
    """An HTTP client's stream and parser, and when its bytes arrived; times in microseconds.

    ``unread_since_us`` is when the bytes arrived that belong to the next request, or to the present one
    while it is read.
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
        self.has_sent_request = False  # a complete one that was understood
        self.task: Task | None = None
        self.is_between_requests = False  # nothing of the next request is decided
        self.is_detached = False  # closed or handed over: nothing more is read or answered here

    def has_more(self) -> bool:
        """Return whether bytes, or the end, have arrived beyond what was used, read by us or not yet."""
        return bool(self.parser.pending_bytes) or self.stream.has_input()


def send_all(stream: Stream, data: bytes, deadline: int) -> None:
    """Send all; return without a switch of tasks where the kernel takes it at once.

    Raises ConnectionClosedError, DeadlineExceededError.
    """
    sent = stream.try_send(data)
    if sent < len(data):
        stream.send(data[sent:], deadline)


def receive_observed(stream: Stream, observer: ConnectionObserver, number: int, deadline: int) -> bytes:
    """Receive bytes; the observer is notified before, since they could be lost with this process."""
    stream.await_input(deadline)
    observer.read_started(number)
    return stream.recv(deadline=deadline)
