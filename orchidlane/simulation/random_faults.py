"""Scenarios with random faults, which a seed determines; several are simulated in parallel."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

import msgspec
import structlog

from orchidlane.config import Duration
from orchidlane.runtime.simulated_backend import NetworkFaults
from orchidlane.simulation.scenario import FaultKind, Scenario, Step
from orchidlane.simulation.simulated_fleet import simulate

MILLISECOND_US, SECOND_US = 1_000, 1_000_000
FAULTS_PER_SCENARIO = (3, 8)  # minimum and maximum
LAST_FAULT_SHARE = 0.75  # of the duration: load continues after the last fault has started
MAX_KILL_DELAY_US = 7 * SECOND_US  # from the start of a hot restart until its new process is killed
KILLED_NEW_PROCESS_SHARE = 0.5
ENDPOINT_FAULT_PROBABILITIES = (0.0, 0.05, 0.3)
SEEDS_PER_TASK = 4
NETWORK_SEED_MASK = 0x5EED  # the network's random numbers differ from those of the steps

# Kinds to choose from at random; a kind that is listed twice is twice as likely
FAULT_KINDS = (
    FaultKind.KILL_GATEWAY,
    FaultKind.DRAIN_GATEWAY,
    FaultKind.FREEZE_GATEWAY,
    FaultKind.KILL_ENDPOINT,
    FaultKind.DRAIN_ENDPOINT,
    FaultKind.FREEZE_ENDPOINT,
    FaultKind.PARTITION,
    FaultKind.DATAGRAM_FAULTS,
    FaultKind.ENDPOINT_FAULTS,
    FaultKind.ENDPOINT_FAULTS,
    FaultKind.DISCOVERY_DELAY,
)
GATEWAY_FAULTS = frozenset(
    {
        FaultKind.KILL_GATEWAY,
        FaultKind.DRAIN_GATEWAY,
        FaultKind.FREEZE_GATEWAY,
        FaultKind.PARTITION,
    }
)

SeedReport = dict[str, Any]


class SeedRun(NamedTuple):
    """A seed, and the audit's report on its scenario."""

    seed: int
    report: SeedReport


def random_steps(seed: int, scenario: Scenario) -> tuple[Step, ...]:
    """Return random faults in the first three quarters of the scenario, and its number of hot restarts."""
    rng = random.Random(seed)
    faults = tuple(_random_fault(rng, scenario) for _ in range(rng.randint(*FAULTS_PER_SCENARIO)))
    return faults + tuple(_random_hot_restart(rng, scenario) for _ in range(scenario.hot_restart_count))


def _random_hot_restart(rng: random.Random, scenario: Scenario) -> Step:
    at = _random_time(rng, scenario)
    targets = rng.sample(range(scenario.gateway_count), rng.randint(1, scenario.gateway_count))
    killed_after = rng.randint(1, MAX_KILL_DELAY_US) if rng.random() < KILLED_NEW_PROCESS_SHARE else 0
    return Step(at, FaultKind.HOT_RESTART_GATEWAY, tuple(targets), Duration(killed_after))


def _random_time(rng: random.Random, scenario: Scenario) -> Duration:
    return Duration(rng.randint(0, int(scenario.duration * LAST_FAULT_SHARE)))


def _random_half(rng: random.Random, count: int) -> tuple[int, ...]:
    """Return random distinct indexes below ``count``: at least one, and at most half of them."""
    return tuple(rng.sample(range(count), rng.randint(1, max(1, count // 2))))


def _random_fault(rng: random.Random, scenario: Scenario) -> Step:
    at = _random_time(rng, scenario)
    duration = Duration(rng.randint(50 * MILLISECOND_US, 2_500 * MILLISECOND_US))
    restart_delay = Duration(rng.randint(0, 1_500 * MILLISECOND_US))
    endpoints = _random_half(rng, scenario.endpoint_count)
    gateways = _random_half(rng, scenario.gateway_count)
    kind = rng.choice(FAULT_KINDS)
    targets = gateways if kind in GATEWAY_FAULTS else endpoints
    match kind:
        case FaultKind.DATAGRAM_FAULTS:
            delay = Duration(rng.randint(0, 200 * MILLISECOND_US))
            loss, duplication = rng.random(), rng.random()
            return Step(at, kind, (), duration, loss=loss, duplication=duplication, delay=delay)
        case FaultKind.ENDPOINT_FAULTS:
            reset_before, reset_after, truncate, hang, reject = (
                rng.choice(ENDPOINT_FAULT_PROBABILITIES) for _ in range(5)
            )
            return Step(
                at,
                kind,
                targets,
                duration,
                restart_delay,
                reset_before=reset_before,
                reset_after=reset_after,
                truncate=truncate,
                hang=hang,
                reject=reject,
            )
        case FaultKind.DISCOVERY_DELAY:
            return Step(at, kind, (), duration, delay=Duration(rng.randint(SECOND_US, 4 * SECOND_US)))
        case _:
            return Step(at, kind, targets, duration, restart_delay)


def random_network_faults(seed: int) -> NetworkFaults:
    """Return network faults whose delays, losses and duplications the seed determines."""
    rng = random.Random(seed ^ NETWORK_SEED_MASK)
    return NetworkFaults(
        delay_us=(20, rng.choice((200, 1_000, 5_000))),
        slow_probability=rng.choice((0.0, 0.001, 0.01)),
        datagram_loss_probability=rng.choice((0.0, 0.02, 0.1)),
        datagram_duplication_probability=rng.choice((0.0, 0.01, 0.1)),
    )


def run_seed(scenario: Scenario, seed: int) -> SeedRun:
    """Simulate a scenario with the random faults of a seed."""
    scenario_with_faults = msgspec.structs.replace(scenario, steps=random_steps(seed, scenario))
    verdict = simulate(scenario_with_faults, seed, random_network_faults(seed))
    return SeedRun(seed, verdict.as_json())


def _run_seed_quietly(arguments: tuple[Scenario, int]) -> SeedRun:
    """Simulate a seed without log output; an exception becomes part of its report."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        return run_seed(*arguments)
    except BaseException as failure:  # a failure of one seed must not stop the others
        return SeedRun(arguments[1], {"rules": {}, "failure": f"{type(failure).__name__}: {failure}"})


def run_seeds(scenario: Scenario, seeds: Iterable[int], jobs: int) -> dict[int, SeedReport]:
    """Simulate seeds in ``jobs`` processes; the reports don't depend on the number of processes."""
    with ProcessPoolExecutor(jobs) as pool:
        arguments = [(scenario, seed) for seed in seeds]
        return dict(pool.map(_run_seed_quietly, arguments, chunksize=SEEDS_PER_TASK))


def broken_seeds(reports: dict[int, SeedReport]) -> dict[int, SeedReport]:
    """Return the reports of the seeds whose run violated a rule or raised an exception."""
    return {
        seed: report
        for seed, report in reports.items()
        if report.get("failure") or not all(report["rules"].values())
    }
