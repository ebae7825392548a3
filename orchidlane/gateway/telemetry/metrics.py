"""The counters of a gateway in Prometheus' text format, rendered on request."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.registry import Collector

from orchidlane import policy
from orchidlane.gateway.telemetry.counters import BUCKET_BOUNDS_SECONDS, GatewayCounters


class MetricsPage(GatewayCounters, Collector):
    """The counters of one gateway, which ``render`` returns as a page; ``gauges`` are read at that time."""

    def __init__(self) -> None:
        super().__init__()
        self._registry = CollectorRegistry()
        self._registry.register(self)

    def render(self) -> bytes:
        """Return the page as text."""
        return generate_latest(self._registry)

    def collect(self) -> Iterable[Any]:
        """Yield all metrics; called by the registry."""
        yield self._responses()
        yield self._attempts()
        yield self._datagrams()
        yield self._response_durations()
        yield CounterMetricFamily("orchidlane_malformed", "Broken requests", value=self.malformed)
        for name, gauge in self.gauges.items():
            yield GaugeMetricFamily(f"orchidlane_{name}", gauge.help_text, value=gauge.read())

    def _responses(self) -> CounterMetricFamily:
        family = CounterMetricFamily("orchidlane_answers", "Final answers", labels=["kind", "class"])
        for (kind, class_name), count in list(self.responses.items()):
            family.add_metric([kind, class_name], count)
        return family

    def _attempts(self) -> CounterMetricFamily:
        family = CounterMetricFamily("orchidlane_attempts", "Attempts by outcome", labels=["outcome"])
        for outcome in policy.Outcome:
            family.add_metric([outcome.value.replace(" ", "_")], self.outcomes[outcome.value])
        return family

    def _datagrams(self) -> CounterMetricFamily:
        family = CounterMetricFamily("orchidlane_datagrams", "Datagrams", labels=["way"])
        family.add_metric(["told"], self.datagrams_sent)
        family.add_metric(["heard"], self.datagrams_received)
        return family

    def _response_durations(self) -> HistogramMetricFamily:
        bounds = (*map(str, BUCKET_BOUNDS_SECONDS), "+Inf")
        cumulative_counts: list[tuple[str, float]] = []
        total = 0
        for bound, count in zip(bounds, self.buckets, strict=True):
            total += count
            cumulative_counts.append((bound, total))
        return HistogramMetricFamily(
            "orchidlane_answer_seconds",
            "First byte to answer",
            buckets=cumulative_counts,
            sum_value=self.total_duration_us / 1e6,
        )
