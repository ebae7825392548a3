"""Counters of a gateway's responses, attempts and datagrams, as plain numbers."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from orchidlane import policy

BUCKET_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
BUCKET_BOUNDS_US = [int(bound * 1_000_000) for bound in BUCKET_BOUNDS_SECONDS]


class Gauge(NamedTuple):
    """A value that is read when the metrics are requested."""

    help_text: str
    read: Callable[[], float]


class GatewayCounters:
    """The counters of one gateway; ``gauges`` are read when the metrics are requested."""

    def __init__(self) -> None:
        self.responses: Counter[tuple[str, str]] = Counter()  # by kind and request class
        self.outcomes: Counter[str] = Counter()
        self.malformed = 0  # requests
        self.datagrams_sent = 0
        self.datagrams_received = 0
        self.gauges: dict[str, Gauge] = {}
        self.buckets = [0] * (len(BUCKET_BOUNDS_SECONDS) + 1)  # responses by duration
        self.total_duration_us = 0  # of all responses

    def count_response(self, kind: str, class_name: str, duration_us: int) -> None:
        """Count one final response; its duration is measured from the request's first byte."""
        self.responses[kind, class_name] += 1
        self.buckets[bisect_left(BUCKET_BOUNDS_US, duration_us)] += 1
        self.total_duration_us += duration_us

    def count_outcome(self, outcome: policy.Outcome) -> None:
        """Count one finished attempt."""
        self.outcomes[outcome._value_] += 1  # hashing the member itself is slow
