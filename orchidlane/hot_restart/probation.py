"""Judges a new process in probation by the answers of its predecessor. No I/O."""

from __future__ import annotations

from math import log
from typing import NamedTuple

MIN_RESPONSES = 20  # before the ratio of served answers says anything
MIN_SERVED_RATIO = 0.5  # of the predecessor's ratio of served answers
MAX_FALSE_ALARM_PROBABILITY = 1e-3  # low, since the test is repeated


class ResponseCounts(NamedTuple):
    """Answers by kind over some interval."""

    served: int = 0
    rejected: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Number of answers."""
        return sum(self)

    def since(self, earlier: ResponseCounts) -> ResponseCounts:
        """Return the answers given after an earlier count."""
        return ResponseCounts(*(now - then for now, then in zip(self, earlier, strict=True)))


def degradation_reason(baseline: ResponseCounts, probation: ResponseCounts) -> str | None:
    """Return what is wrong with a new process, None if nothing is.

    The demand is the same as before, so the ratio of served answers should be, too. Few answers say nothing,
    and a predecessor that served nobody is no baseline. A process is degraded if even one that serves
    ``MIN_SERVED_RATIO`` of the baseline's ratio would serve so few with a probability below
    ``MAX_FALSE_ALARM_PROBABILITY`` (Chernoff's bound on the tail of a binomial distribution).
    """
    if probation.total < MIN_RESPONSES or not baseline.served:
        return None
    baseline_ratio = baseline.served / baseline.total
    ratio = probation.served / probation.total
    least_ratio = MIN_SERVED_RATIO * baseline_ratio
    if ratio >= least_ratio:
        return None
    if probation.total * _divergence(ratio, least_ratio) <= -log(MAX_FALSE_ALARM_PROBABILITY):
        return None
    return f"served {probation.served} of {probation.total} answers, {baseline_ratio:.0%} before"


def _divergence(observed: float, expected: float) -> float:
    """Return the Kullback-Leibler divergence of two Bernoulli distributions, in nats."""
    part = observed * log(observed / expected) if observed else 0.0
    return part + (1 - observed) * log((1 - observed) / (1 - expected))
