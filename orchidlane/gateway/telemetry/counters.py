"""Counts of what the gateway does: plain numbers."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable

from orchidlane import policy

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)  # seconds
LIMITS = [int(bound * 1_000_000) for bound in BUCKETS]


class GatewayCounters:
    """The counts of one gateway; ``gauges`` are read when somebody asks."""

    def __init__(self) -> None:
        self.responses: Counter[tuple[str, str]] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.malformed = 0
        self.datagrams_sent = 0
        self.datagrams_received = 0
        self.gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self.buckets = [0] * (len(BUCKETS) + 1)
        self.spent = 0  # microseconds until the answers

    def count_response(self, kind: str, class_name: str, span: int) -> None:
        """One final answer, so many microseconds after the request's first byte."""
        self.responses[kind, class_name] += 1
        self.buckets[bisect_left(LIMITS, span)] += 1
        self.spent += span

    def count_outcome(self, outcome: policy.Outcome) -> None:
        """One attempt ended."""
        self.outcomes[outcome._value_] += 1  # hashing the member itself is slow
