"""The counts of a gateway in Prometheus' form, made when they are asked for."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.registry import Collector

from orchidlane import policy
from orchidlane.gateway.telemetry.counters import BUCKETS, GatewayCounters


class Metrics(GatewayCounters, Collector):
    """The counts of one gateway; ``gauges`` are read when the page is made."""

    def __init__(self) -> None:
        super().__init__()
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def page(self) -> bytes:
        """All of it as text."""
        return generate_latest(self._registry)

    def collect(self) -> Iterable[Any]:
        """For the registry."""
        answers = CounterMetricFamily("orchidlane_answers", "Final answers", labels=["kind", "class"])
        for (kind, class_name), count in list(self.responses.items()):
            answers.add_metric([kind, class_name], count)
        attempts = CounterMetricFamily("orchidlane_attempts", "Attempts by outcome", labels=["outcome"])
        for outcome in policy.Outcome:
            attempts.add_metric([outcome.value.replace(" ", "_")], self.outcomes[outcome.value])
        datagrams = CounterMetricFamily("orchidlane_datagrams", "Datagrams", labels=["way"])
        datagrams.add_metric(["told"], self.datagrams_sent)
        datagrams.add_metric(["heard"], self.datagrams_received)
        yield from (answers, attempts, datagrams, self._histogram())
        yield CounterMetricFamily("orchidlane_malformed", "Broken requests", value=self.malformed)
        for name, (help_text, value) in self.gauges.items():
            yield GaugeMetricFamily(f"orchidlane_{name}", help_text, value=value())

    def _histogram(self) -> HistogramMetricFamily:
        sums, total = [], 0
        for bound, count in zip((*map(str, BUCKETS), "+Inf"), self.buckets, strict=True):
            total += count
            sums.append((bound, total))
        return HistogramMetricFamily(
            "orchidlane_answer_seconds", "First byte to answer", buckets=sums, sum_value=self.spent / 1e6
        )
