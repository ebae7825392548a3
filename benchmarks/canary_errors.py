"""Errors of the canary analysis: stages stopped without harm, and harm that goes unnoticed."""

from __future__ import annotations

import random

from orchidlane.rollout.canary_analysis import OUTCOME_KINDS, CanaryAnalysis, ResponseCounts

BASELINE_SHARES = {"refused": 0.15, "failed": 0.01, "late": 0.02, "slow": 0.1, "attempts": 0.05}
HARM_FACTORS = ({"failed": 16.0}, {"refused": 4.0}, {"late": 8.0}, {"slow": 4.0})
OBSERVATIONS = 40  # in one stage
HARMLESS_STAGES = 1_000
HARMFUL_STAGES = 200


def count_false_stops() -> int:
    """Return how many of the harmless stages are stopped."""
    return sum(is_stopped(seed, {}) for seed in range(HARMLESS_STAGES))


def count_missed_harm() -> int:
    """Return how many of the harmful stages are not stopped."""
    return sum(not is_stopped(seed, HARM_FACTORS[seed % len(HARM_FACTORS)]) for seed in range(HARMFUL_STAGES))


def is_stopped(seed: int, harm: dict[str, float]) -> bool:
    """Return whether a stage is stopped whose shares and load wander, with some shares multiplied."""
    rng = random.Random(seed)
    analysis = CanaryAnalysis()
    baseline = dict(BASELINE_SHARES)
    for _ in range(OBSERVATIONS):
        baseline["refused"] = min(0.6, max(0.02, baseline["refused"] + rng.uniform(-0.05, 0.05)))
        load = rng.randint(2, 30)
        canary = random_counts(rng, rng.randint(0, load), baseline, harm)
        control = random_counts(rng, 2 * load, baseline, {})
        if analysis.observe({"one": canary}, {"one": control}).regression:
            return True
    return False


def random_counts(
    rng: random.Random, size: int, baseline: dict[str, float], factors: dict[str, float]
) -> ResponseCounts:
    """Draw the outcomes of so many requests."""
    shares = {kind: min(1.0, share * factors.get(kind, 1.0)) for kind, share in baseline.items()}
    counts = {
        kind: sum(rng.random() < shares[kind] for _ in range(size))
        for kind in OUTCOME_KINDS
        if kind != "served"
    }
    counts["failed"] = min(counts["failed"], size - counts["refused"])
    return ResponseCounts(size, **counts)
