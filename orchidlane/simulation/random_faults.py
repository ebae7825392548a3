"""Random days: troubles drawn from a seed, many at once, for the simulated world."""

from __future__ import annotations

import random
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor

import msgspec

from orchidlane.config import Duration
from orchidlane.runtime import NetworkFaults
from orchidlane.simulation.backends import simulate
from orchidlane.simulation.scenario import Scenario, Step

MS, SECOND = 1_000, 1_000_000
KINDS = (
    *("kill_gateway", "drain_gateway", "freeze_gateway", "kill_node", "drain_node", "freeze_node"),
    *("cut_peers", "peer_faults", "node_faults", "node_faults", "late_list"),
)


def random_steps(seed: int, day: Scenario) -> tuple[Step, ...]:
    """Three to eight troubles in the first three quarters of the day, and the upgrades it asks for."""
    rng = random.Random(seed)
    troubles = tuple(_step(rng, day) for _ in range(rng.randint(3, 8)))
    return troubles + tuple(_upgrade(rng, day) for _ in range(day.upgrade_count))


def _upgrade(rng: random.Random, day: Scenario) -> Step:
    at = Duration(rng.randint(0, int(day.duration * 0.75)))
    some = rng.sample(range(day.gateway_count), rng.randint(1, day.gateway_count))
    killed = rng.randint(1, 7 * SECOND) if rng.random() < 0.5 else 0
    return Step(at, "upgrade_gateway", tuple(some), Duration(killed))


def _step(rng: random.Random, day: Scenario) -> Step:
    nodes = list(range(day.rack_count * day.rack_size))
    gateways = list(range(day.gateway_count))
    at = Duration(rng.randint(0, int(day.duration * 0.75)))
    span = Duration(rng.randint(50 * MS, 2_500 * MS))
    back = Duration(rng.randint(0, 1_500 * MS))
    some_nodes = tuple(rng.sample(nodes, rng.randint(1, max(1, len(nodes) // 2))))
    some_gateways = tuple(rng.sample(gateways, rng.randint(1, max(1, len(gateways) // 2))))
    kind = rng.choice(KINDS)
    which = some_gateways if "gateway" in kind or kind == "cut_peers" else some_nodes
    if kind == "peer_faults":
        delay = Duration(rng.randint(0, 200 * MS))
        return Step(at, kind, (), span, loss=rng.random(), duplication=rng.random(), delay=delay)
    if kind == "node_faults":
        reset_before, reset_after, cut, silent, full = (rng.choice((0.0, 0.05, 0.3)) for _ in range(5))
        return Step(at, kind, which, span, back, reset_before, reset_after, cut, silent, full)
    if kind == "late_list":
        return Step(at, kind, (), span, delay=Duration(rng.randint(SECOND, 4 * SECOND)))
    return Step(at, kind, which, span, back)


def random_network_faults(seed: int) -> NetworkFaults:
    """A network whose delays, losses and repeats are drawn from the seed."""
    rng = random.Random(seed ^ 0x5EED)
    return NetworkFaults(
        delay_us=(20, rng.choice((200, 1_000, 5_000))),
        slow_probability=rng.choice((0.0, 0.001, 0.01)),
        datagram_loss_probability=rng.choice((0.0, 0.02, 0.1)),
        datagram_duplication_probability=rng.choice((0.0, 0.01, 0.1)),
    )


def run_seed(day: Scenario, seed: int) -> tuple[int, dict[str, object]]:
    """One random day and what the audit found."""
    trouble = msgspec.structs.replace(day, steps=random_steps(seed, day))
    verdict = simulate(trouble, seed, random_network_faults(seed))
    return seed, verdict.as_json()


def _quiet_play(arguments: tuple[Scenario, int]) -> tuple[int, dict[str, object]]:
    import logging

    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    try:
        return run_seed(*arguments)
    except BaseException as failure:
        return arguments[1], {"rules": {}, "failure": f"{type(failure).__name__}: {failure}"}


def run_seeds(day: Scenario, seeds: Iterable[int], jobs: int) -> dict[int, dict[str, object]]:
    """Many random days, so many at once; the same seed gives the same day whatever the number of jobs."""
    with ProcessPoolExecutor(jobs) as pool:
        return dict(pool.map(_quiet_play, [(day, seed) for seed in seeds], chunksize=4))


def broken_seeds(found: dict[int, dict[str, object]]) -> dict[int, dict[str, object]]:
    """The seeds on which a rule did not hold, or nothing could be said."""
    return {
        seed: verdict
        for seed, verdict in found.items()
        if verdict.get("failure") or not all(verdict["rules"].values())  # type: ignore[attr-defined]
    }
