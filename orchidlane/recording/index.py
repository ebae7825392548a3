"""Indexes over one segment's entries: by request, by customer, by time; places, without keeping the entries.

``Index`` keeps keys and places in two flat arrays sorted by key, built in one pass: 16 bytes an entry, and a
look-up by bisection. ``TimeIndex`` keeps every 64th time and its place, since a segment is written in the
order of time: a look-up reads at most that many entries before the first one wanted. ``benchmarks/index.py``
measures them against a scan and against sorted lists.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterator

from orchidlane import policy
from orchidlane.recording.segments import Entry, SegmentReader

STRIDE = 64  # entries between two kept times


class Index:
    """Places of a segment's entries by a key of theirs; ``key_of`` tells it, None leaves an entry out."""

    def __init__(self, reader: SegmentReader, key_of: Callable[[Entry], int | None]) -> None:
        pairs: list[tuple[int, int]] = []
        for entry in reader.entries():
            key = key_of(entry)
            if key is not None:
                pairs.append((key, entry.place))
        pairs.sort()
        self.keys = array("Q", (key for key, _ in pairs))
        self.places = array("Q", (place for _, place in pairs))
        self._reader = reader

    def __len__(self) -> int:
        return len(self.keys)

    def entries(self, key: int) -> list[Entry]:
        """The entries with a key, in the order of their times."""
        found = []
        at = bisect_left(self.keys, key)
        while at < len(self.keys) and self.keys[at] == key:
            found.append(self._reader.at(self.places[at]))
            at += 1
        return found


class TimeIndex:
    """Places of a segment's entries by their time; times of one segment never go back."""

    def __init__(self, reader: SegmentReader) -> None:
        self.times = array("Q")
        self.places = array("Q")
        self._reader = reader
        for number, entry in enumerate(reader.entries()):
            if number % STRIDE == 0:
                self.times.append(entry.now)
                self.places.append(entry.place)

    def between(self, since: int, until: int) -> Iterator[Entry]:
        """The entries from a time up to and without another."""
        at = bisect_left(self.times, since) - 1
        if not self.times:
            return
        for entry in self._reader.entries(self.places[max(0, at)]):
            if entry.now >= until:
                return
            if entry.now >= since:
                yield entry


def request_of(entry: Entry) -> int | None:
    """The request that an entry is about, if it is about one."""
    event = entry.event
    if event is None:
        return int(entry.facts[0]) if entry.facts else None
    if isinstance(event, policy.TimerFired):
        named = [getattr(action, "request", None) for action in entry.actions]
        return next((number for number in named if number is not None), None)
    return getattr(event, "request", None)


def customer_of(entry: Entry) -> int | None:
    """The customer whose request or take arrived."""
    return getattr(entry.event, "customer", None)
