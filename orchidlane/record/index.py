"""An index over one segment's entries by request: where each stands, without keeping the entries.

Requests of a life are numbered in the order of their arrival, so places are kept in two flat arrays sorted by
request, built in one pass: 12 bytes an entry, and a look-up by bisection. ``benchmarks/index.py`` measures it
against a scan and against a sorted list of pairs.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left

from .. import interface as api
from .segments import Entry, SegmentReader


class RequestIndex:
    """Places of a segment's entries by request."""

    def __init__(self, reader: SegmentReader) -> None:
        pairs: list[tuple[int, int]] = []
        for entry in reader:
            number = request_of(entry)
            if number is not None:
                pairs.append((number, entry.place))
        pairs.sort()
        self.requests = array("I", (number for number, _ in pairs))
        self.places = array("Q", (place for _, place in pairs))
        self._reader = reader

    def __len__(self) -> int:
        return len(self.requests)

    def entries(self, request: int) -> list[Entry]:
        """The entries of one request, in the order of their times."""
        found = []
        at = bisect_left(self.requests, request)
        while at < len(self.requests) and self.requests[at] == request:
            found.append(self._reader.at(self.places[at]))
            at += 1
        return found


def request_of(entry: Entry) -> int | None:
    """The request that an entry is about, if it is about one."""
    event = entry.event
    if event is None:
        return int(entry.facts[0])
    if isinstance(event, api.TimerFired):
        named = [getattr(action, "request", None) for action in entry.actions]
        return next((number for number in named if number is not None), None)
    return getattr(event, "request", None)
