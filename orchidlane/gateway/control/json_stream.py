"""Reads JSON objects from a long-lived HTTP response, the form of each endpoint list watch."""

from __future__ import annotations

import re
from collections.abc import Iterator

from orchidlane import http1
from orchidlane.http1 import Data, End, Response
from orchidlane.runtime import ConnectionClosedError, ConnectionFailedError, EventLoop, Stream

JSON_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class LineTooLongError(Exception):
    """More bytes than allowed were received without the end of a line or of an object."""


class JsonObjectSplitter:
    """Splits bytes into JSON objects, each on one line or indented over several lines. Does no I/O.

    A line that does not start an object is returned like an object, so that its parser reports the error.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._rest = b""
        self._lines: list[bytes] = []  # the lines of an incomplete object
        self._buffered_bytes = 0
        self._depth = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the objects that ``data`` completes, and ``b""`` for each blank line between objects.

        Raises LineTooLongError.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        objects = [item for line in lines if (item := self._feed_line(line)) is not None]
        if self._buffered_bytes + len(self._rest) > self.max_bytes:
            raise LineTooLongError(f"over {self.max_bytes} bytes without the end of a line or object")
        return objects

    def _feed_line(self, line: bytes) -> bytes | None:
        if not self._lines and not line.strip():
            return b""
        without_strings = JSON_STRING.sub(b"", line)  # a JSON string contains no line break
        self._depth += without_strings.count(b"{") - without_strings.count(b"}")
        self._lines.append(line)
        self._buffered_bytes += len(line)
        if self._depth > 0:
            return None
        complete = b"\n".join(self._lines)
        self._lines = []
        self._buffered_bytes = 0
        self._depth = 0
        return complete


def read_objects(
    loop: EventLoop, stream: Stream, silence_timeout_us: int, max_bytes: int
) -> Iterator[list[bytes]]:
    """Yield the objects that each piece of the response completes; first yield an empty list for the head.

    Blank lines are left out. An object or a blank line restarts the silence timeout; bytes that complete
    neither don't. Raises ConnectionFailedError unless the status is 200, ConnectionClosedError at the end of
    the response, DeadlineExceededError at the silence timeout, ProtocolError, LineTooLongError.
    """
    parser = http1.ResponseParser()
    splitter = JsonObjectSplitter(max_bytes)
    deadline = loop.now() + silence_timeout_us
    while True:
        event = parser.next_event()
        if event is None:
            parser.receive(stream.recv(deadline=deadline))
            if parser.input_ended and parser.next_event() is None:
                raise ConnectionClosedError("the endpoint list service ended its response")
        elif isinstance(event, Response):
            if event.status != 200:
                raise ConnectionFailedError(
                    f"the endpoint list service has to respond with status 200, not {event.status}"
                )
            deadline = loop.now() + silence_timeout_us
            yield []
        elif isinstance(event, Data):
            if items := splitter.feed(event.data):
                deadline = loop.now() + silence_timeout_us
                yield [item for item in items if item]
        elif isinstance(event, End):
            raise ConnectionClosedError("the endpoint list service ended its response")
