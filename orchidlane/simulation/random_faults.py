"""Scenarios with random faults, drawn from a seed; many are simulated at once."""

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

MS, SECOND = 1_000, 1_000_000  # microseconds
FAULTS_PER_SCENARIO = (3, 8)
LAST_FAULT_SHARE = 0.75  # of the duration: the load goes on after the last fault has begun
MAX_KILL_DELAY_US = 7 * SECOND  # after the begin of an upgrade
KILLED_SUCCESSOR_SHARE = 0.5
ENDPOINT_FAULT_PROBABILITIES = (0.0, 0.05, 0.3)
SEEDS_PER_TASK = 4
NETWORK_SEED_MASK = 0x5EED  # gives the network another sequence than the steps

# Kinds to draw from; one that is listed twice is twice as likely
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
    """A seed, and what the audit found in its scenario."""

    seed: int
    report: SeedReport


def random_steps(seed: int, scenario: Scenario) -> tuple[Step, ...]:
    """Return some faults in the first three quarters of the scenario, and the upgrades that it asks for."""
    rng = random.Random(seed)
    faults = tuple(_random_fault(rng, scenario) for _ in range(rng.randint(*FAULTS_PER_SCENARIO)))
    return faults + tuple(_random_upgrade(rng, scenario) for _ in range(scenario.upgrade_count))


def _random_upgrade(rng: random.Random, scenario: Scenario) -> Step:
    at = _random_time(rng, scenario)
    targets = rng.sample(range(scenario.gateway_count), rng.randint(1, scenario.gateway_count))
    killed_after = rng.randint(1, MAX_KILL_DELAY_US) if rng.random() < KILLED_SUCCESSOR_SHARE else 0
    return Step(at, FaultKind.UPGRADE_GATEWAY, tuple(targets), Duration(killed_after))


def _random_time(rng: random.Random, scenario: Scenario) -> Duration:
    return Duration(rng.randint(0, int(scenario.duration * LAST_FAULT_SHARE)))


def _random_half(rng: random.Random, count: int) -> tuple[int, ...]:
    """Draw at least one, and at most half of so many."""
    return tuple(rng.sample(range(count), rng.randint(1, max(1, count // 2))))


def _random_fault(rng: random.Random, scenario: Scenario) -> Step:
    at = _random_time(rng, scenario)
    duration = Duration(rng.randint(50 * MS, 2_500 * MS))
    restart_delay = Duration(rng.randint(0, 1_500 * MS))
    endpoints = _random_half(rng, scenario.endpoint_count)
    gateways = _random_half(rng, scenario.gateway_count)
    kind = rng.choice(FAULT_KINDS)
    targets = gateways if kind in GATEWAY_FAULTS else endpoints
    match kind:
        case FaultKind.DATAGRAM_FAULTS:
            delay = Duration(rng.randint(0, 200 * MS))
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
            return Step(at, kind, (), duration, delay=Duration(rng.randint(SECOND, 4 * SECOND)))
        case _:
            return Step(at, kind, targets, duration, restart_delay)


def random_network_faults(seed: int) -> NetworkFaults:
    """Return a network whose delays, losses and duplications are drawn from the seed."""
    rng = random.Random(seed ^ NETWORK_SEED_MASK)
    return NetworkFaults(
        delay_us=(20, rng.choice((200, 1_000, 5_000))),
        slow_probability=rng.choice((0.0, 0.001, 0.01)),
        datagram_loss_probability=rng.choice((0.0, 0.02, 0.1)),
        datagram_duplication_probability=rng.choice((0.0, 0.01, 0.1)),
    )


def run_seed(scenario: Scenario, seed: int) -> SeedRun:
    """Simulate a scenario with the faults of a seed."""
    disturbed = msgspec.structs.replace(scenario, steps=random_steps(seed, scenario))
    verdict = simulate(disturbed, seed, random_network_faults(seed))
    return SeedRun(seed, verdict.as_json())


def _run_seed_quietly(arguments: tuple[Scenario, int]) -> SeedRun:
    """Simulate a seed without a log; a failure becomes its report."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        return run_seed(*arguments)
    except BaseException as failure:  # one seed must not end the others
        return SeedRun(arguments[1], {"rules": {}, "failure": f"{type(failure).__name__}: {failure}"})


def run_seeds(scenario: Scenario, seeds: Iterable[int], jobs: int) -> dict[int, SeedReport]:
    """Simulate seeds, so many at once; the reports don't depend on the number of jobs."""
    with ProcessPoolExecutor(jobs) as pool:
        arguments = [(scenario, seed) for seed in seeds]
        return dict(pool.map(_run_seed_quietly, arguments, chunksize=SEEDS_PER_TASK))


def broken_seeds(reports: dict[int, SeedReport]) -> dict[int, SeedReport]:
    """Return the reports of seeds that broke a rule or failed."""
    return {
        seed: report
        for seed, report in reports.items()
        if report.get("failure") or not all(report["rules"].values())
    }
