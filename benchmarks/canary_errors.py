"""Errors of the canary analysis: stages stopped without a regression, and regressions missed."""

from __future__ import annotations

import random

from orchidlane.rollout.canary_analysis import OUTCOME_KINDS, CanaryAnalysis, ResponseCounts

BASELINE_SHARES = {"refused": 0.15, "failed": 0.01, "late": 0.02, "slow": 0.1, "attempts": 0.05}
# Factors by which each regression multiplies shares of the baseline
REGRESSIONS = ({"failed": 16.0}, {"refused": 4.0}, {"late": 8.0}, {"slow": 4.0})
OBSERVATIONS_PER_STAGE = 40
STAGES_WITHOUT_REGRESSION = 1_000
STAGES_WITH_REGRESSION = 200


def count_false_stops() -> int:
    """Return how many of the stages without a regression are stopped."""
    return sum(is_stopped(seed, {}) for seed in range(STAGES_WITHOUT_REGRESSION))


def count_missed_regressions() -> int:
    """Return how many of the stages with a regression are not stopped."""
    return sum(
        not is_stopped(seed, REGRESSIONS[seed % len(REGRESSIONS)]) for seed in range(STAGES_WITH_REGRESSION)
    )


def is_stopped(seed: int, regression: dict[str, float]) -> bool:
    """Return whether a simulated stage with a regression is stopped.

    The share of rejected requests (``refused``) and the load vary at random from one observation to the next.
    """
    rng = random.Random(seed)
    analysis = CanaryAnalysis()
    baseline = dict(BASELINE_SHARES)
    for _ in range(OBSERVATIONS_PER_STAGE):
        baseline["refused"] = min(0.6, max(0.02, baseline["refused"] + rng.uniform(-0.05, 0.05)))
        load = rng.randint(2, 30)
        canary = random_counts(rng, rng.randint(0, load), baseline, regression)
        control = random_counts(rng, 2 * load, baseline, {})
        if analysis.observe({"all": canary}, {"all": control}).regression:
            return True
    return False


def random_counts(
    rng: random.Random, request_count: int, baseline: dict[str, float], factors: dict[str, float]
) -> ResponseCounts:
    """Return the outcomes of random requests; ``factors`` multiply shares of the baseline."""
    shares = {kind: min(1.0, share * factors.get(kind, 1.0)) for kind, share in baseline.items()}
    counts = {
        kind: sum(rng.random() < shares[kind] for _ in range(request_count))
        for kind in OUTCOME_KINDS
        if kind != "served"
    }
    counts["failed"] = min(counts["failed"], request_count - counts["refused"])
    return ResponseCounts(request_count, **counts)
