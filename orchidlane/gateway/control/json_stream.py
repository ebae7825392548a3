"""Reads JSON objects from a long-lived HTTP response, the form of each endpoint list watch."""

from __future__ import annotations

import re
from collections.abc import Iterator

from orchidlane import http1
from orchidlane.http1 import Data, End, Response
from orchidlane.runtime import PEERS, ConnectionClosedError, ConnectionFailedError, EventLoop, Stream

# A string, or an unterminated one to the end of its line; possessive quantifiers bound the time by the length
JSON_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"?')
MAX_LINES_PER_BATCH = 8  # bounds the time that one batch takes


class LineTooLongError(Exception):
    """More bytes than allowed were received without the end of a line or of an object."""


class JsonObjectSplitter:
    """Splits bytes into JSON objects, each on one line or indented over several lines. Does no I/O.

    A line that does not start an object is returned like an object, so that its parser reports the error.
    An incomplete object is kept in one buffer, and each of its lines is read once.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()  # from the start of the incomplete object or line on
        self._line_start = 0  # of the first line that has not been read
        self._searched_bytes = 0  # no line ends between ``_line_start`` and this index
        self._depth = 0

    def receive(self, data: bytes) -> None:
        """Append input."""
        self._buffer += data

    def batches(self) -> Iterator[list[bytes]]:
        """Yield the objects that the received lines complete, ``b""`` for each blank line between objects.

        A batch has the objects of up to ``MAX_LINES_PER_BATCH`` lines; the last one may be empty. Raises
        LineTooLongError.
        """
        objects: list[bytes] = []
        line_count = 0
        while (line_end := self._buffer.find(b"\n", self._searched_bytes)) >= 0:
            item = self._read_line(line_end)
            if item is not None:
                objects.append(item)
            line_count += 1
            if line_count == MAX_LINES_PER_BATCH:
                yield objects
                objects = []
                line_count = 0
        self._searched_bytes = len(self._buffer)
        self._check_size()
        yield objects

    def _check_size(self) -> None:
        if len(self._buffer) > self.max_bytes:
            raise LineTooLongError(f"over {self.max_bytes} bytes without the end of a line or object")

    def _read_line(self, line_end: int) -> bytes | None:
        """Read one line; return the object that it completes, ``b""`` for a blank line between objects."""
        line = bytes(memoryview(self._buffer)[self._line_start : line_end])
        is_between_objects = not self._line_start
        self._line_start = self._searched_bytes = line_end + 1
        if is_between_objects and not line.strip():
            self._remove_lines()
            return b""
        without_strings = JSON_STRING.sub(b"", line)  # a JSON string contains no line break
        self._depth += without_strings.count(b"{") - without_strings.count(b"}")
        return None if self._depth > 0 else self._remove_lines()

    def _remove_lines(self) -> bytes:
        """Remove the lines that have been read from the buffer; return them without the last line break."""
        lines = bytes(memoryview(self._buffer)[: self._line_start - 1])
        del self._buffer[: self._line_start]
        self._line_start = self._searched_bytes = 0
        self._depth = 0
        return lines


def read_objects(
    loop: EventLoop, stream: Stream, silence_timeout_us: int, max_bytes: int
) -> Iterator[list[bytes]]:
    """Yield the objects that each piece of the response completes; first yield an empty list for the head.

    Blank lines are left out. An object or a blank line restarts the silence timeout; bytes that complete
    neither don't. After many lines or pieces other tasks run. Raises ConnectionFailedError unless the status
    is 200, ConnectionClosedError at the end of the response, DeadlineExceededError at the silence timeout,
    ProtocolError, LineTooLongError.
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
            splitter.receive(event.data)
            for items in splitter.batches():
                if items:
                    deadline = loop.now() + silence_timeout_us
                    yield [item for item in items if item]
                loop.yield_if_due(PEERS)
        elif isinstance(event, End):
            raise ConnectionClosedError("the endpoint list service ended its response")
