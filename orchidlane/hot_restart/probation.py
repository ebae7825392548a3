"""Decides whether a new process is degraded, by comparing its responses with the old process's. No I/O."""

from __future__ import annotations

from math import log
from typing import NamedTuple

MIN_RESPONSES = 20  # the ratio of served responses is not judged with fewer
MIN_SERVED_RATIO = 0.5  # as a fraction of the baseline's ratio of served responses
MAX_FALSE_ALARM_PROBABILITY = 1e-3  # low, since the test is repeated at every heartbeat or status


class ResponseCounts(NamedTuple):
    """Responses by kind over an interval."""

    served: int = 0
    rejected: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Number of all responses."""
        return sum(self)

    def since(self, earlier: ResponseCounts) -> ResponseCounts:
        """Return the responses given since an earlier count."""
        return ResponseCounts(*(now - then for now, then in zip(self, earlier, strict=True)))


def degradation_reason(baseline: ResponseCounts, probation: ResponseCounts) -> str | None:
    """Return how a new process is degraded, None if it is not.

    The demand is the same as before, so the ratio of served responses should be the same, too. There is no
    result with fewer than ``MIN_RESPONSES`` responses, nor with a baseline in which nothing was served.
    Otherwise the process is compared with one whose ratio is ``MIN_SERVED_RATIO`` of the baseline's: it is
    degraded if that one would serve so few with a probability below ``MAX_FALSE_ALARM_PROBABILITY``
    (Chernoff bound on the tail of a binomial distribution).
    """
    if probation.total < MIN_RESPONSES or not baseline.served:
        return None
    baseline_ratio = baseline.served / baseline.total
    ratio = probation.served / probation.total
    min_ratio = MIN_SERVED_RATIO * baseline_ratio
    if ratio >= min_ratio:
        return None
    if probation.total * _divergence(ratio, min_ratio) <= -log(MAX_FALSE_ALARM_PROBABILITY):
        return None
    return f"served {probation.served} of {probation.total} responses, {baseline_ratio:.0%} before"


def _divergence(observed: float, expected: float) -> float:
    """Return the Kullback-Leibler divergence of two Bernoulli distributions, in nats."""
    served_term = observed * log(observed / expected) if observed else 0.0
    return served_term + (1 - observed) * log((1 - observed) / (1 - expected))
