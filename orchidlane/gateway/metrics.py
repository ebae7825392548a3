"""Counts of what the gateway does: plain numbers while it runs, Prometheus' form when they are asked for."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.registry import Collector

from .. import interface as api

BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)  # seconds
LIMITS = [int(bound * 1_000_000) for bound in BUCKETS]


class Metrics(Collector):
    """The counts of one gateway; ``gauges`` are read when the page is made."""

    def __init__(self) -> None:
        self.answers: Counter[tuple[str, str]] = Counter()
        self.outcomes: Counter[str] = Counter()
        self.malformed = 0
        self.told = 0
        self.heard = 0
        self.gauges: dict[str, tuple[str, Callable[[], float]]] = {}
        self._buckets = [0] * (len(BUCKETS) + 1)
        self._spent = 0
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def answer(self, kind: str, class_name: str, span: int) -> None:
        """One final answer, so many microseconds after the request's first byte."""
        self.answers[kind, class_name] += 1
        self._buckets[bisect_left(LIMITS, span)] += 1
        self._spent += span

    def outcome(self, outcome: api.Outcome) -> None:
        """One attempt ended."""
        self.outcomes[outcome._value_] += 1  # hashing the member itself is slow

    def page(self) -> bytes:
        """All of it as text."""
        return generate_latest(self._registry)

    def collect(self) -> Iterable[Any]:
        """For the registry."""
        answers = CounterMetricFamily("orchidlane_answers", "Final answers", labels=["kind", "class"])
        for (kind, class_name), count in list(self.answers.items()):
            answers.add_metric([kind, class_name], count)
        attempts = CounterMetricFamily("orchidlane_attempts", "Attempts by outcome", labels=["outcome"])
        for outcome in api.Outcome:
            attempts.add_metric([outcome.value.replace(" ", "_")], self.outcomes[outcome.value])
        datagrams = CounterMetricFamily("orchidlane_datagrams", "Datagrams", labels=["way"])
        datagrams.add_metric(["told"], self.told)
        datagrams.add_metric(["heard"], self.heard)
        yield from (answers, attempts, datagrams, self._histogram())
        yield CounterMetricFamily("orchidlane_malformed", "Broken requests", value=self.malformed)
        for name, (help_text, value) in self.gauges.items():
            yield GaugeMetricFamily(f"orchidlane_{name}", help_text, value=value())

    def _histogram(self) -> HistogramMetricFamily:
        sums, total = [], 0
        for bound, count in zip((*map(str, BUCKETS), "+Inf"), self._buckets, strict=True):
            total += count
            sums.append((bound, total))
        return HistogramMetricFamily(
            "orchidlane_answer_seconds", "First byte to answer", buckets=sums, sum_value=self._spent / 1e6
        )
