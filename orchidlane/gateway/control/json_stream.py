"""The objects of one long answer over HTTP: how every list of nodes comes."""

from __future__ import annotations

import re
from collections.abc import Iterator

from orchidlane import http1
from orchidlane.http1 import Data, End, Response
from orchidlane.runtime import Closed, Loop, NotConnected, Stream

STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"')


class LineTooLong(Exception):
    """More than the bound came without an end of line, or of an object."""


class Objects:
    """Tells JSON objects apart, each on a line of its own or indented over several. Decides without I/O.

    A line that begins no object counts as one, so that whoever reads it says what is wrong with it.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self._rest = b""
        self._lines: list[bytes] = []  # of an object that has not ended yet
        self._held = 0  # their bytes
        self._depth = 0

    def feed(self, data: bytes) -> list[bytes]:
        """What these bytes complete: objects, and ``b""`` for each blank line between two. Raises
        LineTooLong.
        """
        *lines, self._rest = (self._rest + data).split(b"\n")
        found = [one for line in lines if (one := self._line(line)) is not None]
        if self._held + len(self._rest) > self.most:
            raise LineTooLong(f"over {self.most} bytes without an end")
        return found

    def _line(self, line: bytes) -> bytes | None:
        if not self._lines and not line.strip():
            return b""
        bare = STRING.sub(b"", line)  # no string reaches over the end of a line
        self._depth += bare.count(b"{") - bare.count(b"}")
        self._lines.append(line)
        self._held += len(line)
        if self._depth > 0:
            return None
        found, self._lines, self._held, self._depth = b"\n".join(self._lines), [], 0, 0
        return found


def whole_objects(loop: Loop, stream: Stream, silence: int, most: int) -> Iterator[list[bytes]]:
    """The objects that each piece of the answer completes, blank lines left out; first none, for its head.

    Waits at most ``silence`` microseconds from one object or blank line to the next: bytes that complete
    nothing are no sign of life. ``most`` bytes may wait for the end of their object. Raises NotConnected
    where the answer is no 200, Closed at its end, Expired, Malformed, LineTooLong.
    """
    parser, split, by = http1.ResponseParser(), Objects(most), loop.now() + silence
    while True:
        event = parser.next_event()
        if event is None:
            parser.receive(stream.recv(deadline=by))
            if parser.ended and parser.next_event() is None:
                raise Closed("the list ended")
        elif isinstance(event, Response):
            if event.status != 200:
                raise NotConnected(f"the list's service answers {event.status}")
            by = loop.now() + silence
            yield []
        elif isinstance(event, Data):
            if found := split.feed(event.data):
                by = loop.now() + silence
                yield [one for one in found if one]
        elif isinstance(event, End):
            raise Closed("the list ended")
