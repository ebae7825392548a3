"""Fleet versions under random faults, one seed a story; see ``simulation/rollout_scenarios.py``."""

from __future__ import annotations

import os
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import pytest
from harness.gateway_harness import MATERIALS, fleet
from test_day import quiet  # noqa: F401

from orchidlane.simulation.rollout_scenarios import (
    FAULT_KINDS,
    InvariantViolationError,
    RolloutScenario,
    random_scenario,
    run_scenario,
)

FOUND = (130, 180, 242, 253, 258, 283, 317, 440, 516, 530)  # stood still once: see docs/change.md
SEEDS = sorted({*range(1, int(os.environ.get("CHANGE_SEEDS", "48")) + 1), *FOUND})
RULES = (MATERIALS / "openapi.yaml").read_bytes()
CUSTOMERS = (MATERIALS / "customers.json").read_bytes()


def rules(edit: int) -> bytes:
    """The description with a cost of its own for each edit; -1: one that can't be used."""
    if edit < 0:
        return b"openapi: [\n"
    return RULES.replace(b"{class: sheet-read, cost: 2}", b"{class: sheet-read, cost: %d}" % (2 + edit))


def play(story: RolloutScenario) -> Counter[str]:
    return run_scenario(story, fleet(), rules, CUSTOMERS)


def play_seed(seed: int) -> tuple[int, str, Counter[str]]:
    import logging

    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    story = random_scenario(seed)
    try:
        return seed, "", play(story)
    except BaseException as wrong:
        return seed, f"{type(wrong).__name__}: {wrong}; {story}"[:2_000], story.event_counts


def test_random_stories_break_no_rule_of_versions():
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        found = list(pool.map(play_seed, SEEDS))
    assert [(seed, wrong) for seed, wrong, _ in found if wrong] == []
    told = sum((told for _, _, told in found), Counter())
    assert all(told[kind] > 0 for kind in FAULT_KINDS), told
    assert told["propose taken"] > len(SEEDS), told


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_each_kind_of_fault_by_itself(kind):
    play(RolloutScenario(7, 4, 3, faults=frozenset([kind])))


def test_the_stories_find_gateways_that_serve_by_an_undone_version(monkeypatch):
    """A lease that nobody minds is found."""
    from orchidlane.rollout.dissemination import Dissemination

    monkeypatch.setattr(Dissemination, "rejection_reason", lambda self, now: "")
    with pytest.raises(InvariantViolationError, match="serves by version"):
        for seed in range(20):
            play(RolloutScenario(seed, 5, 3, faults=frozenset(["cut", "still"])))
