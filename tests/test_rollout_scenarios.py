"""Rollouts under random faults, one scenario per seed; see ``simulation/rollout_scenarios.py``."""

from __future__ import annotations

import os
from collections import Counter
from concurrent.futures import ProcessPoolExecutor

import pytest
from harness.constants import MATERIALS
from harness.gateway_harness import fleet

from orchidlane.rollout.dissemination import Dissemination
from orchidlane.simulation.rollout_scenarios import (
    FAULT_KINDS,
    InvariantViolationError,
    RolloutScenario,
    random_scenario,
    run_scenario,
)

pytestmark = pytest.mark.usefixtures("quiet_log")

REGRESSION_SEEDS = (
    130,
    180,
    242,
    253,
    258,
    283,
    317,
    440,
    516,
    530,
)  # seeds with which the gateways once did not converge to one version: see docs/rollout.md
SEEDS = sorted({*range(1, int(os.environ.get("CHANGE_SEEDS", "48")) + 1), *REGRESSION_SEEDS})
RULES = (MATERIALS / "openapi.yaml").read_bytes()
CUSTOMERS = (MATERIALS / "customers.json").read_bytes()


def describe_edit(edit: int) -> bytes:
    """Return a description whose cost depends on the number of the edit; an invalid one for -1."""
    if edit < 0:
        return b"openapi: [\n"
    return RULES.replace(b"{class: sheet-read, cost: 2}", b"{class: sheet-read, cost: %d}" % (2 + edit))


def run(scenario: RolloutScenario) -> Counter[str]:
    return run_scenario(scenario, fleet(), describe_edit, CUSTOMERS)


def run_seed(seed: int) -> tuple[int, str, Counter[str]]:
    import logging

    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    scenario = random_scenario(seed)
    try:
        return seed, "", run(scenario)
    except BaseException as error:
        return seed, f"{type(error).__name__}: {error}; {scenario}"[:2_000], scenario.event_counts


def test_random_scenarios_keep_all_invariants():
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = list(pool.map(run_seed, SEEDS))
    assert [(seed, error) for seed, error, _ in results if error] == []
    event_counts = sum((event_counts for _, _, event_counts in results), Counter())
    assert all(event_counts[kind] > 0 for kind in FAULT_KINDS), event_counts
    assert event_counts["propose taken"] > len(SEEDS), event_counts


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_invariants_hold_under_one_kind_of_fault(kind):
    run(RolloutScenario(7, 4, 3, faults=frozenset([kind])))


def test_the_checker_detects_gateways_that_serve_a_reverted_version(monkeypatch):
    """Gateways that serve after their lease is over violate an invariant."""

    def run_seeds() -> None:
        for seed in range(20):
            run(RolloutScenario(seed, 5, 3, faults=frozenset(["cut", "still"])))

    monkeypatch.setattr(Dissemination, "rejection_reason", lambda _self, _now: "")
    with pytest.raises(
        InvariantViolationError, match=r"serves version \d+; the states of the last lease allow only"
    ):
        run_seeds()
