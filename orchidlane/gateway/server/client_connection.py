"""A client's connection as the servers keep it, and who observes it while another process may need it."""

from __future__ import annotations

from typing import Protocol

from orchidlane import http1
from orchidlane.runtime import Stream, Task


class Watcher(Protocol):
    """Is notified of each connection by its number, before what could be lost with this process happens."""

    def opened(self, number: int, stream: Stream) -> None:
        """A new client was accepted."""

    def reading(self, number: int) -> None:
        """Bytes of it are about to be read."""

    def began(self, number: int) -> None:
        """A request of it is in flight."""

    def answering(self, number: int) -> None:
        """Its response is about to be written."""

    def idle(self, number: int, unread: bytes, session: tuple[int, bytes, bool] | None = None) -> None:
        """No request of it is in flight; what was read of its next request, and what a RESP session knows."""

    def ended(self, number: int) -> None:
        """It is over."""


class Connection:
    """An HTTP client: its stream, its parser, and when the bytes arrived that are not used yet."""

    __slots__ = (
        "between",
        "known",
        "last_recv",
        "number",
        "opened",
        "over",
        "parser",
        "rested",
        "since",
        "stream",
        "task",
    )

    def __init__(self, stream: Stream, limits: http1.ParserLimits, now: int, number: int) -> None:
        self.stream = stream
        self.number = number
        self.parser = http1.RequestParser(limits)
        self.opened = self.rested = self.since = self.last_recv = now
        self.known = False  # a complete request of it was understood
        self.task: Task | None = None
        self.between = False  # two requests: nothing of the next one is decided
        self.over = False  # ended, or another process's now: nothing more is read or answered here

    def has_more(self) -> bool:
        """Return whether bytes, or the end, have arrived beyond what was used, read by us or not yet."""
        return bool(self.parser.pending_bytes) or self.stream.has_input()


def send_all(stream: Stream, data: bytes, deadline: int) -> None:
    """Send, and return at once where all is taken, so that what follows runs before other tasks do."""
    sent = stream.try_send(data)
    if sent < len(data):
        stream.send(data[sent:], deadline)


def recv_watched(stream: Stream, watcher: Watcher, number: int, deadline: int) -> bytes:
    """Receive; the watcher is notified before, since the bytes may be lost with this process."""
    stream.await_input(deadline)
    watcher.reading(number)
    return stream.recv(deadline=deadline)
