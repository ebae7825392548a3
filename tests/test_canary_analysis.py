"""Canary analysis: its rate of false alarms, and the regressions that it detects."""

from __future__ import annotations

import random

import pytest

from orchidlane.rollout.canary_analysis import (
    FALSE_POSITIVE_RATE,
    HARMLESS_RATIO,
    MIN_RESPONSES,
    OUTCOME_KINDS,
    CanaryAnalysis,
    ResponseCounts,
    counts_since,
    expected_responses_to_detect,
    merge_counts,
)

STRATA = ("sheet-read basico", "sheet-read amplio", "report-issue amplio")


def draw(rng: random.Random, answers: int, bad: dict[str, float]) -> ResponseCounts:
    """Return counts of so many answers, each kind of fault by its probability."""
    kinds = [kind for kind in OUTCOME_KINDS if kind != "served"]
    counts = {kind: sum(rng.random() < bad.get(kind, 0.0) for _ in range(answers)) for kind in kinds}
    counts["failed"] = min(counts["failed"], answers - counts["refused"])
    return ResponseCounts(answers, **counts)


def harm_of_phase(seed: int, harm: dict[str, float], observations: int = 40) -> str:
    """Return the harm that is found in a phase whose load and share of rejections drift, if any.

    ``harm`` multiplies a kind's share in the canaries.
    """
    rng, analysis = random.Random(seed), CanaryAnalysis()
    usual = {"refused": 0.15, "failed": 0.01, "late": 0.02, "slow": 0.1, "attempts": 0.05}
    for _ in range(observations):
        usual["refused"] = min(0.6, max(0.02, usual["refused"] + rng.uniform(-0.05, 0.05)))
        load = rng.randint(2, 30)
        new, old = {}, {}
        for stratum in STRATA:
            worse = {kind: min(1.0, share * harm.get(kind, 1.0)) for kind, share in usual.items()}
            new[stratum] = draw(rng, rng.randint(0, load), worse)
            old[stratum] = draw(rng, 2 * load, usual)
        found = analysis.observe(new, old).harm
        if found:
            return found
    return ""


def test_harmless_phases_are_rarely_stopped_under_continuous_observation():
    stopped = [seed for seed in range(1_000) if harm_of_phase(seed, {})]
    assert len(stopped) <= 1_000 * FALSE_POSITIVE_RATE + 2, stopped


def test_a_difference_within_the_harmless_ratio_is_no_harm():
    assert not [
        seed for seed in range(100) if harm_of_phase(seed, dict.fromkeys(OUTCOME_KINDS, HARMLESS_RATIO))
    ]


@pytest.mark.parametrize(
    ("kind", "factor"),
    [("failed", 16.0), ("refused", 4.0), ("late", 8.0), ("slow", 4.0), ("attempts", 6.0)],
)
def test_harmful_phases_are_detected_by_kind(kind, factor):
    reasons = [harm_of_phase(seed, {kind: factor}) for seed in range(40)]
    expected = (f"more {kind} in ", "fewer served in ")  # a rejected or failed request is not served, too
    assert all(reason.startswith(expected) for reason in reasons), reasons


def test_fewer_served_is_detected_where_most_are_rejected_on_both_sides():
    analysis, harm_text = CanaryAnalysis(), ""
    for _ in range(30):
        harm_text = analysis.observe(
            {"a": ResponseCounts(10, refused=10)}, {"a": ResponseCounts(40, refused=26)}
        ).harm
        if harm_text:
            break
    assert harm_text == "fewer served in a than where the old version runs"


def test_many_failures_in_one_observation_are_detected():
    """4,900 failures in 10,000 answers where none failed before."""
    analysis = CanaryAnalysis()
    verdict = analysis.observe(
        {"a": ResponseCounts(10_000, failed=4_900)}, {"a": ResponseCounts(10_000, failed=0)}
    )
    assert verdict.harm.endswith(" in a than where the old version runs")


def test_equal_failures_on_both_sides_are_no_harm():
    analysis = CanaryAnalysis()
    for _ in range(50):
        verdict = analysis.observe(
            {"a": ResponseCounts(100, failed=60)}, {"a": ResponseCounts(300, failed=180)}
        )
    assert verdict.harm == ""
    assert verdict.has_enough_responses


def test_few_answers_neither_show_harm_nor_pass_a_phase():
    analysis = CanaryAnalysis()
    assert analysis.observe({"a": ResponseCounts(3, failed=3)}, {"a": ResponseCounts(5)}) == ("", False)
    assert analysis.observe({"a": ResponseCounts(MIN_RESPONSES)}, {}) == ("", False), (
        "a base version without answers is no progress"
    )
    assert analysis.observe({}, {"a": ResponseCounts(MIN_RESPONSES)}).has_enough_responses


def test_harm_in_one_stratum_of_many_is_detected():
    rng, analysis = random.Random(1), CanaryAnalysis()
    harm_text = ""
    for _ in range(60):
        new = {f"s{n}": draw(rng, 20, {"failed": 0.5 if n == 7 else 0.01}) for n in range(30)}
        old = {f"s{n}": draw(rng, 20, {"failed": 0.01}) for n in range(30)}
        harm_text = analysis.observe(new, old).harm
        if harm_text:
            break
    assert harm_text == "more failed in s7 than where the old version runs"


def test_harm_is_detected_within_the_expected_number_of_answers():
    wanted = expected_responses_to_detect(0.20, 0.02)
    assert 50 < wanted < 400
    rng, spans = random.Random(3), []
    for _ in range(50):
        analysis, answers = CanaryAnalysis(), 0
        while not analysis.observe(
            {"a": draw(rng, 10, {"failed": 0.20})}, {"a": draw(rng, 10, {"failed": 0.02})}
        ).harm:
            answers += 10
        spans.append(answers)
    assert sorted(spans)[25] < 2 * wanted
    assert expected_responses_to_detect(0.02, 0.02) == float("inf")


def test_counts_of_another_incarnation_are_taken_as_they_are():
    assert counts_since({"a": ResponseCounts(10, failed=2)}, {"a": ResponseCounts(4, failed=1)}) == {
        "a": ResponseCounts(6, failed=1)
    }
    assert counts_since({"a": ResponseCounts(3)}, {"a": ResponseCounts(400)}) == {"a": ResponseCounts(3)}
    assert merge_counts([{"a": ResponseCounts(1)}, {"a": ResponseCounts(2), "b": ResponseCounts(5)}]) == {
        "a": ResponseCounts(3),
        "b": ResponseCounts(5),
    }
