"""Entries of one request in a segment: the index beside a scan and a sorted list of pairs.

``python -m benchmarks.index``.
"""

from __future__ import annotations

import sys
import tempfile
import time
from bisect import bisect_left
from collections.abc import Callable
from pathlib import Path

from benchmarks.layers import MATERIALS
from orchidlane import policy, recording
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.policy.gateway import Gateway
from orchidlane.recording.index import request_number
from orchidlane.routes import build, load_description

LOOKUPS = 50


def write_segment(path: Path, requests: int) -> None:
    """Write a segment with so many requests, each rejected or served."""
    file = MATERIALS / "openapi.yaml"
    generation = build(load_description(file.read_bytes(), str(file)), str(file))
    fleet = parse_settings((MATERIALS / "fleet.cue").read_text(), "fleet.cue")
    settings = policy_settings(fleet, 0, generation)
    gateway, now = Gateway(settings, 1, 10**15), 10**15
    entries = tuple(
        policy.EndpointEntry(b"s%d" % n, policy.EndpointState.READY, 0, 0, 0, 1.0) for n in range(24)
    )
    gateway.handle(now, policy.EndpointListReceived(policy.EndpointListKind.COMPLETE, 1, entries))
    stored_settings = recording.settings_to_stored(settings)
    header = recording.Header(
        recording.FORMAT_VERSION, "b", "g", now, 0, stored_settings, recording.dump_state(gateway)
    )
    with path.open("wb") as out:
        out.write(recording.pack_header(header))
        for number in range(requests):
            now += 5_000
            arrived = policy.RequestArrived(number, number % 997, 0, 0, 1.0, 2_000_000, 0, 3, False)
            actions = gateway.handle(now, arrived)
            out.write(recording.pack_entry(now, arrived, actions))
            for send in (action for action in actions if isinstance(action, policy.SendAttempt)):
                ended = policy.AttemptEnded(
                    number, 0, send.endpoint, policy.Outcome.SERVED, 900, True, 0, 0.0, ()
                )
                out.write(recording.pack_entry(now + 900, ended, gateway.handle(now + 900, ended)))


def measure_seconds(work: Callable[[], object]) -> float:
    """Return the time of a call."""
    began = time.perf_counter()
    work()
    return time.perf_counter() - began


def print_line(requests: int) -> None:
    """Print one line of the table."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.olr"
        write_segment(path, requests)
        reader = recording.SegmentReader(str(path))
        indexes: list = []
        built = measure_seconds(lambda: indexes.append(recording.KeyIndex(reader, recording.request_number)))
        index = indexes.pop()
        wanted = [n * (requests // LOOKUPS) for n in range(LOOKUPS)]
        lookup = measure_seconds(lambda: [index.entries(n) for n in wanted]) / LOOKUPS
        list_reader = recording.SegmentReader(str(path))
        pairs: list = []
        list_built = measure_seconds(
            lambda: pairs.extend(
                sorted((request_number(e) or 0, e.offset, e) for e in list_reader if e.event)
            )
        )
        list_look = measure_seconds(lambda: [pairs[bisect_left(pairs, (n, 0))] for n in wanted]) / LOOKUPS
        scanner = recording.SegmentReader(str(path))
        scan = measure_seconds(lambda: [e for e in scanner if request_number(e) == wanted[-1]])
        small = sys.getsizeof(index.keys) + sys.getsizeof(index.offsets)
        large = sum(sys.getsizeof(p) + sys.getsizeof(p[2]) + sys.getsizeof(p[2].event) for p in pairs)
        times: list = []
        by_time = measure_seconds(lambda: times.append(recording.TimeIndex(reader)))
        middle = times[0].times[len(times[0].times) // 2]
        span = measure_seconds(lambda: list(times[0].between(middle, middle + 100_000)))
        spanned = measure_seconds(
            lambda: [e for e in scanner.entries() if middle <= e.at_us < middle + 100_000]
        )
        print(
            f"{requests:8} {built * 1e3:10.0f} {lookup * 1e6:9.0f} {list_built * 1e3:15.0f} "
            f"{list_look * 1e6:14.1f} {scan * 1e3:9.0f} {small:9} {large:8}"
            f" {by_time * 1e3:12.0f} {span * 1e6:11.0f} {spanned * 1e6:11.0f}",
            flush=True,
        )


def main() -> None:
    """Print the table."""
    print(
        "requests   build ms   look us   list build ms   list look us   scan ms"
        "   index B   list B  by time ms  its look us  its scan us"
    )
    for requests in (1_000, 10_000, 100_000):
        print_line(requests)


if __name__ == "__main__":
    main()
