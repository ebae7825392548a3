"""Compares servers under the same load, in alternating rounds: a drift in speed affects all of them alike."""

from __future__ import annotations

import statistics
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.load import LoadResult

ROUND_SECONDS = 1.5


@dataclass(slots=True)
class Series:
    """Results of one server over all rounds."""

    rates: list[float] = field(default_factory=list)  # replies per second, for each round
    latencies_ms: list[float] = field(default_factory=list)
    error_count: int = 0

    def add(self, result: LoadResult) -> None:
        """Add the result of one round."""
        self.rates.append(result.replies_per_second)
        self.latencies_ms += result.latencies_ms
        self.error_count += result.error_count

    def describe(self, unit: str) -> str:
        """Return a text with the median rate, and the median and the 99th percentile of the latency."""
        percentiles = statistics.quantiles(self.latencies_ms, n=100)
        rate = statistics.median(self.rates)
        return f"{rate:8.0f} {unit}/s  p50 {percentiles[49]:7.2f} ms  p99 {percentiles[98]:7.2f} ms"


def load_alternately(
    rounds: int, ports: dict[str, int], load_round: Callable[[int], LoadResult]
) -> dict[str, Series]:
    """Load each named port once in each round, and return the results by name."""
    series = {name: Series() for name in ports}
    for _ in range(rounds):
        for name, port in ports.items():
            series[name].add(load_round(port))
    return series


def median_ratio(numerator: Series, denominator: Series) -> float:
    """Return the median of the ratios of two servers' rates in the same round."""
    pairs = zip(numerator.rates, denominator.rates, strict=True)
    return statistics.median(rate / other_rate for rate, other_rate in pairs)
