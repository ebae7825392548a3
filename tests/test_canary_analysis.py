"""Canary analysis: its rate of false positives, and the regressions that it detects."""

from __future__ import annotations

import random

import pytest

from orchidlane.rollout.canary_analysis import (
    FALSE_POSITIVE_RATE,
    MIN_RESPONSES,
    OUTCOME_KINDS,
    TOLERATED_RATIO,
    CanaryAnalysis,
    ResponseCounts,
    counts_since,
    expected_responses_to_detect,
    merge_counts,
)

STRATA = ("sheet-read basico", "sheet-read amplio", "report-issue amplio")


def random_counts(rng: random.Random, responses: int, shares: dict[str, float]) -> ResponseCounts:
    """Return random counts of so many responses; ``shares`` has the probability of each outcome."""
    kinds = [kind for kind in OUTCOME_KINDS if kind != "served"]
    counts = {kind: sum(rng.random() < shares.get(kind, 0.0) for _ in range(responses)) for kind in kinds}
    counts["failed"] = min(counts["failed"], responses - counts["refused"])
    return ResponseCounts(responses, **counts)


def regression_in_stage(seed: int, factors: dict[str, float], observations: int = 40) -> str:
    """Return the regression that is detected in a stage with varying load and share of rejections, or "".

    ``factors`` multiply the shares of kinds of outcomes on the canaries.
    """
    rng, analysis = random.Random(seed), CanaryAnalysis()
    baseline = {"refused": 0.15, "failed": 0.01, "late": 0.02, "slow": 0.1, "attempts": 0.05}
    for _ in range(observations):
        baseline["refused"] = min(0.6, max(0.02, baseline["refused"] + rng.uniform(-0.05, 0.05)))
        load = rng.randint(2, 30)
        new, old = {}, {}
        for stratum in STRATA:
            canary = {kind: min(1.0, share * factors.get(kind, 1.0)) for kind, share in baseline.items()}
            new[stratum] = random_counts(rng, rng.randint(0, load), canary)
            old[stratum] = random_counts(rng, 2 * load, baseline)
        regression = analysis.observe(new, old).regression
        if regression:
            return regression
    return ""


def test_stages_without_a_regression_are_rarely_stopped():
    stopped = [seed for seed in range(1_000) if regression_in_stage(seed, {})]
    assert len(stopped) <= 1_000 * FALSE_POSITIVE_RATE + 2, stopped


def test_a_difference_within_the_tolerated_ratio_is_not_a_regression():
    assert not [
        seed
        for seed in range(100)
        if regression_in_stage(seed, dict.fromkeys(OUTCOME_KINDS, TOLERATED_RATIO))
    ]


@pytest.mark.parametrize(
    ("kind", "factor"),
    [("failed", 16.0), ("refused", 4.0), ("late", 8.0), ("slow", 4.0), ("attempts", 6.0)],
)
def test_a_regression_of_each_kind_is_detected(kind, factor):
    reasons = [regression_in_stage(seed, {kind: factor}) for seed in range(40)]
    expected = (f"more {kind} in ", "fewer served in ")  # where more are rejected or fail, fewer are served
    assert all(reason.startswith(expected) for reason in reasons), reasons


def test_fewer_served_is_detected_where_most_are_rejected_on_both_sides():
    analysis, regression = CanaryAnalysis(), ""
    for _ in range(30):
        regression = analysis.observe(
            {"a": ResponseCounts(10, refused=10)}, {"a": ResponseCounts(40, refused=26)}
        ).regression
        if regression:
            break
    assert regression == "fewer served in a than on gateways with the old version"


def test_many_failures_in_one_observation_are_detected():
    """4,900 of 10,000 responses fail on the new version, none on the old: the e-value overflows."""
    analysis = CanaryAnalysis()
    verdict = analysis.observe(
        {"a": ResponseCounts(10_000, failed=4_900)}, {"a": ResponseCounts(10_000, failed=0)}
    )
    assert verdict.regression.endswith(" in a than on gateways with the old version")


def test_equal_failures_on_both_sides_are_not_a_regression():
    analysis = CanaryAnalysis()
    for _ in range(50):
        verdict = analysis.observe(
            {"a": ResponseCounts(100, failed=60)}, {"a": ResponseCounts(300, failed=180)}
        )
    assert verdict.regression == ""
    assert verdict.has_enough_responses


def test_few_responses_neither_show_a_regression_nor_pass_a_stage():
    analysis = CanaryAnalysis()
    assert analysis.observe({"a": ResponseCounts(3, failed=3)}, {"a": ResponseCounts(5)}) == ("", False)
    assert analysis.observe({"a": ResponseCounts(MIN_RESPONSES)}, {}) == ("", False), (
        "without responses of the old version the stage must not pass"
    )
    assert analysis.observe({}, {"a": ResponseCounts(MIN_RESPONSES)}).has_enough_responses


def test_a_regression_in_one_stratum_of_many_is_detected():
    rng, analysis = random.Random(1), CanaryAnalysis()
    regression = ""
    for _ in range(60):
        new = {f"s{n}": random_counts(rng, 20, {"failed": 0.5 if n == 7 else 0.01}) for n in range(30)}
        old = {f"s{n}": random_counts(rng, 20, {"failed": 0.01}) for n in range(30)}
        regression = analysis.observe(new, old).regression
        if regression:
            break
    assert regression == "more failed in s7 than on gateways with the old version"


def test_a_regression_is_detected_within_the_expected_number_of_responses():
    expected = expected_responses_to_detect(0.20, 0.02)
    assert 50 < expected < 400
    rng, responses_needed = random.Random(3), []
    for _ in range(50):
        analysis, responses = CanaryAnalysis(), 0
        while not analysis.observe(
            {"a": random_counts(rng, 10, {"failed": 0.20})}, {"a": random_counts(rng, 10, {"failed": 0.02})}
        ).regression:
            responses += 10
        responses_needed.append(responses)
    assert sorted(responses_needed)[25] < 2 * expected
    assert expected_responses_to_detect(0.02, 0.02) == float("inf")


def test_counts_of_a_later_incarnation_are_not_subtracted_from():
    assert counts_since({"a": ResponseCounts(10, failed=2)}, {"a": ResponseCounts(4, failed=1)}) == {
        "a": ResponseCounts(6, failed=1)
    }
    assert counts_since({"a": ResponseCounts(3)}, {"a": ResponseCounts(400)}) == {"a": ResponseCounts(3)}
    assert merge_counts([{"a": ResponseCounts(1)}, {"a": ResponseCounts(2), "b": ResponseCounts(5)}]) == {
        "a": ResponseCounts(3),
        "b": ResponseCounts(5),
    }
