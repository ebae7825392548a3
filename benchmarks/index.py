"""Compares lookups in a segment by the index, by a scan and in a sorted list of all entries.

``python -m benchmarks.index``. The last three columns are for entries in a short window of time: the time to
build the index by time, a lookup in it, and a scan. All others are for the entries of one request.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from bisect import bisect_left
from dataclasses import astuple, dataclass
from pathlib import Path

from benchmarks.example_policy import (
    START_US,
    cheap_request,
    example_gateway,
    feed_endpoint_list,
    served_attempt,
)
from benchmarks.timing import measure_seconds, timed_result
from orchidlane import policy, recording
from orchidlane.recording.index import request_number

LOOKUP_COUNT = 50
REQUEST_INTERVAL_US = 5_000
RESPONSE_TIME_US = 900
CUSTOMER_COUNT = 997
WINDOW_US = 100_000  # length of the window of time whose entries are looked up

Pair = tuple[int, int, recording.Entry]  # request number, offset, entry


def write_segment(path: Path, request_count: int) -> None:
    """Write a segment of ``request_count`` requests, each rejected or served."""
    gateway = example_gateway()
    feed_endpoint_list(gateway)
    header = recording.Header(
        recording.FORMAT_VERSION,
        "b",
        "g",
        START_US,
        0,
        recording.settings_to_stored(gateway.settings),
        recording.dump_state(gateway),
    )
    now = START_US
    with path.open("wb") as out:
        out.write(recording.pack_header(header))
        for number in range(request_count):
            now += REQUEST_INTERVAL_US
            arrived = cheap_request(number, number % CUSTOMER_COUNT)
            actions = gateway.handle(now, arrived)
            out.write(recording.pack_entry(now, arrived, actions))
            for action in actions:
                if isinstance(action, policy.SendAttempt):
                    finished_at = now + RESPONSE_TIME_US
                    finished = served_attempt(number, action.endpoint, RESPONSE_TIME_US)
                    out.write(
                        recording.pack_entry(finished_at, finished, gateway.handle(finished_at, finished))
                    )


@dataclass(frozen=True, slots=True)
class KeyLookup:
    """Times of one way to look up a request, and the memory that its data take."""

    build_seconds: float
    lookup_seconds: float
    size_bytes: int


def measure_index(path: Path, numbers: list[int]) -> KeyLookup:
    """Measure lookups in the index by request number."""
    reader = recording.SegmentReader(str(path))
    build_seconds, index = timed_result(lambda: recording.KeyIndex(reader, request_number))
    seconds = measure_seconds(lambda: [index.entries(number) for number in numbers])
    size_bytes = sys.getsizeof(index.keys) + sys.getsizeof(index.offsets)
    return KeyLookup(build_seconds, seconds / len(numbers), size_bytes)


def measure_sorted_list(path: Path, numbers: list[int]) -> KeyLookup:
    """Measure lookups in a sorted list of all entries."""
    reader = recording.SegmentReader(str(path))

    def build() -> list[Pair]:
        return sorted((request_number(entry) or 0, entry.offset, entry) for entry in reader if entry.event)

    build_seconds, pairs = timed_result(build)
    seconds = measure_seconds(lambda: [pairs[bisect_left(pairs, (number, 0))] for number in numbers])
    size_bytes = sum(
        sys.getsizeof(pair) + sys.getsizeof(pair[2]) + sys.getsizeof(pair[2].event) for pair in pairs
    )
    return KeyLookup(build_seconds, seconds / len(numbers), size_bytes)


def measure_scan(path: Path, number: int) -> float:
    """Return the seconds that a scan for one request takes."""
    reader = recording.SegmentReader(str(path))
    return measure_seconds(lambda: [entry for entry in reader if request_number(entry) == number])


@dataclass(frozen=True, slots=True)
class TimeLookup:
    """Times to build the index by time, to look up a window in it, and to scan for the same entries."""

    build_seconds: float
    lookup_seconds: float
    scan_seconds: float


def measure_time_index(path: Path) -> TimeLookup:
    """Measure the lookup of a short window in the middle of a segment."""
    reader = recording.SegmentReader(str(path))
    build_seconds, index = timed_result(lambda: recording.TimeIndex(reader))
    start = index.times[len(index.times) // 2]
    end = start + WINDOW_US
    lookup_seconds = measure_seconds(lambda: list(index.between(start, end)))
    scanner = recording.SegmentReader(str(path))
    scan_seconds = measure_seconds(
        lambda: [entry for entry in scanner.entries() if start <= entry.at_us < end]
    )
    return TimeLookup(build_seconds, lookup_seconds, scan_seconds)


def print_line(request_count: int) -> None:
    """Measure a segment of ``request_count`` requests, and print a line of the table."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.olr"
        write_segment(path, request_count)
        numbers = [number * (request_count // LOOKUP_COUNT) for number in range(LOOKUP_COUNT)]
        index_build, index_lookup, index_bytes = astuple(measure_index(path, numbers))
        list_build, list_lookup, list_bytes = astuple(measure_sorted_list(path, numbers))
        scan = measure_scan(path, numbers[-1])
        time_build, time_lookup, time_scan = astuple(measure_time_index(path))
    print(
        f"{request_count:8} {index_build * 1e3:10.0f} {index_lookup * 1e6:9.0f} {list_build * 1e3:15.0f} "
        f"{list_lookup * 1e6:14.1f} {scan * 1e3:9.0f} {index_bytes:9} {list_bytes:8}"
        f" {time_build * 1e3:12.0f} {time_lookup * 1e6:11.0f} {time_scan * 1e6:11.0f}",
        flush=True,
    )


def main() -> None:
    """Print a table with a line for each number of requests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, nargs="*", default=[1_000, 10_000, 100_000])
    request_counts = parser.parse_args().requests
    print(
        "requests   build ms   find us   list build ms   list find us   scan ms"
        "   index B   list B  by time ms  its find us  its scan us"
    )
    for request_count in request_counts:
        print_line(request_count)


if __name__ == "__main__":
    main()
