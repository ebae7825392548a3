"""Indexes of the entries of one segment: by request, by customer, by time.

``KeyIndex`` keeps keys and offsets in two flat arrays sorted by key, built in one pass: 16 bytes an entry,
and a look-up by bisection. ``TimeIndex`` keeps the time and offset of every ``STRIDE_ENTRIES``-th entry,
since a segment is written in order of time: a look-up reads at most that many entries before the first one
of the period. ``benchmarks/index.py`` measures them against a scan and against sorted lists.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Callable, Iterator

from orchidlane import policy
from orchidlane.recording.segment_reader import Entry, SegmentReader

STRIDE_ENTRIES = 64  # entries between two indexed times


class KeyIndex:
    """Offsets of a segment's entries by a key; entries for which ``key_of`` returns None are left out."""

    def __init__(self, reader: SegmentReader, key_of: Callable[[Entry], int | None]) -> None:
        pairs: list[tuple[int, int]] = []
        for entry in reader.entries():
            key = key_of(entry)
            if key is not None:
                pairs.append((key, entry.offset))
        pairs.sort()
        self.keys = array("Q", (key for key, _ in pairs))
        self.offsets = array("Q", (offset for _, offset in pairs))
        self._reader = reader

    def __len__(self) -> int:
        return len(self.keys)

    def entries(self, key: int) -> list[Entry]:
        """Return the entries with a key, in order of time."""
        entries = []
        position = bisect_left(self.keys, key)
        while position < len(self.keys) and self.keys[position] == key:
            entries.append(self._reader.entry_at(self.offsets[position]))
            position += 1
        return entries


class TimeIndex:
    """Offsets of a segment's entries by their time; times of one segment never go back."""

    def __init__(self, reader: SegmentReader) -> None:
        self.times = array("Q")
        self.offsets = array("Q")
        self._reader = reader
        for number, entry in enumerate(reader.entries()):
            if number % STRIDE_ENTRIES == 0:
                self.times.append(entry.at_us)
                self.offsets.append(entry.offset)

    def between(self, since_us: int, until_us: int) -> Iterator[Entry]:
        """Yield the entries from ``since_us`` up to, but not including, ``until_us``."""
        if not self.times:
            return
        position = bisect_left(self.times, since_us) - 1
        for entry in self._reader.entries(self.offsets[max(0, position)]):
            if entry.at_us >= until_us:
                return
            if entry.at_us >= since_us:
                yield entry


def request_number(entry: Entry) -> int | None:
    """Return the request that an entry is about, if it is about one."""
    event = entry.event
    if event is None:
        return int(entry.response.request) if entry.response is not None else None
    if isinstance(event, policy.TimerFired):
        requests = [getattr(action, "request", None) for action in entry.actions]
        return next((request for request in requests if request is not None), None)
    return getattr(event, "request", None)


def customer_number(entry: Entry) -> int | None:
    """Return the customer whose request or quota request arrived with an entry."""
    return getattr(entry.event, "customer", None)
