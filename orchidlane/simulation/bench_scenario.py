"""Faults of the bench's day files as steps of a scenario: mapped where there is a counterpart, else named.

A day file is JSON; only its length, machines and faults are read, under names that are mapped here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from orchidlane.config import Duration
from orchidlane.simulation.scenario import FaultKind, Scenario, Step

MAX_STEPS = 500
MS, SECOND = 1_000, 1_000_000  # microseconds
ENDPOINTS_PER_RACK = 2
ENDPOINT_RESTART_DELAY_US = 500 * MS
MIN_PAUSE_INTERVAL_US = 50 * MS
PAUSE_INTERVAL_OVER_LENGTH = 1.2  # at least: pauses of one machine don't overlap
MIN_REJECT_PROBABILITY, MAX_REJECT_PROBABILITY = 0.05, 0.9
SIMULTANEOUS = ("together", "zone")  # values of ``how`` by which pauses begin at once
NO_COUNTERPART = {
    "reconnect": "clients keep their weights here",
    "scan": "every client has a key here",
    "neighbour": "the fake endpoints share no cores",
    "burst": "the clients send at one rate here",
    "hot_caller": "clients keep their weights here",
    "origin_slow": "there is no shared counter",
    "report_gap": "gateways do not select endpoints by reports",
}


class DeployBatch(msgspec.Struct, frozen=True):
    """The machines that a deployment stops at a time."""

    at_us: int = msgspec.field(name="at")
    stop: tuple[int, ...] = ()


class BenchFault(msgspec.Struct, frozen=True):
    """One fault; what ``size`` and ``extra`` mean depends on its kind."""

    kind: str
    at_us: int = msgspec.field(name="at")
    length_us: int = msgspec.field(name="len")
    size: float = 0.0
    extra: float = 0.0
    machines: tuple[int, ...] = msgspec.field(name="on", default=())
    zone: int = msgspec.field(name="which", default=0)
    batches: tuple[DeployBatch, ...] = msgspec.field(name="steps", default=())
    how: str = ""


class Machine(msgspec.Struct, frozen=True):
    """One endpoint or gateway of the bench."""

    zone: int = 0


class BenchScenario(msgspec.Struct, frozen=True):
    """A day file, as far as it is used here."""

    length_us: int = msgspec.field(name="length")
    endpoints: tuple[Machine, ...] = msgspec.field(name="servers")
    gateways: tuple[Machine, ...] = msgspec.field(name="balancers")
    faults: tuple[BenchFault, ...] = msgspec.field(name="troubles")


@dataclass
class MappedScenario:
    """The scenario, and which faults were mapped or have no counterpart, one line each."""

    scenario: Scenario
    mapped: list[str]
    unmapped: list[str]


class FleetSize(NamedTuple):
    """The numbers of machines that the scenario has."""

    gateways: int
    endpoints: int


def map_bench_scenario(
    text: bytes, base: Scenario, max_gateways: int = 12, max_endpoints: int = 24
) -> MappedScenario:
    """Return a day file's faults over the fleet and load of ``base``. Raises ValueError if it is none."""
    try:
        bench = msgspec.json.decode(text, type=BenchScenario)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"not a day file of the bench: {error}") from None
    size = FleetSize(
        gateways=max(1, min(max_gateways, len(bench.gateways))),
        endpoints=max(2, min(max_endpoints, len(bench.endpoints))),
    )
    steps: list[Step] = []
    mapped, unmapped = [], []
    for fault in bench.faults:
        mapping = MAPPINGS.get(fault.kind)
        if mapping is None:
            unmapped.append(f"{fault.kind}: {NO_COUNTERPART.get(fault.kind, 'not known here')}")
            continue
        made = mapping(fault, bench, size)
        steps += made
        mapped.append(f"{fault.kind}: {len(made)} steps")
    if len(steps) > MAX_STEPS:
        unmapped.append(f"{len(steps) - MAX_STEPS} steps beyond the {MAX_STEPS} that are played")
    return MappedScenario(_with_steps(base, bench, size, steps), mapped, unmapped)


def _with_steps(base: Scenario, bench: BenchScenario, size: FleetSize, steps: list[Step]) -> Scenario:
    return msgspec.structs.replace(
        base,
        gateway_count=size.gateways,
        rack_count=size.endpoints // ENDPOINTS_PER_RACK,
        rack_size=ENDPOINTS_PER_RACK,
        duration=Duration(bench.length_us),
        steps=tuple(sorted(steps, key=lambda step: step.at)[:MAX_STEPS]),
    )


def _fold(numbers: tuple[int, ...], count: int) -> tuple[int, ...]:
    """Return the scenario's machines for those of the bench, of which there may be more."""
    return tuple(dict.fromkeys(number % count for number in numbers))


def _step(
    at: int,
    fault: FaultKind,
    targets: tuple[int, ...],
    duration: float = 0,
    restart_delay: float = 0,
    reject: float = 0,
) -> Step:
    return Step(
        at=Duration(at),
        fault=fault,
        targets=targets,
        duration=Duration(int(duration)),
        restart_delay=Duration(int(restart_delay)),
        reject=reject,
    )


Mapping = Callable[[BenchFault, BenchScenario, FleetSize], list[Step]]


def _gateway_crash(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    down_time = fault.length_us / max(1, len(fault.machines))
    ranks = _fold(fault.machines, size.gateways)
    return [_step(fault.at_us, FaultKind.KILL_GATEWAY, (rank,), restart_delay=down_time) for rank in ranks]


def _gateway_deployment(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    down_time = fault.extra * SECOND
    return [
        _step(
            batch.at_us,
            FaultKind.KILL_GATEWAY,
            _fold(batch.stop, size.gateways),
            restart_delay=down_time,
        )
        for batch in fault.batches
        if batch.stop
    ]


def _gateway_pauses(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    return _pauses(fault, FaultKind.FREEZE_GATEWAY, _fold(fault.machines, size.gateways))


def _endpoint_pauses(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    return _pauses(fault, FaultKind.FREEZE_ENDPOINT, _fold(fault.machines, size.endpoints))


def _pauses(fault: BenchFault, kind: FaultKind, targets: tuple[int, ...]) -> list[Step]:
    """Return pauses of each machine: ``extra`` is their interval in seconds, ``size`` their length in ms."""
    interval = max(fault.extra * SECOND, fault.size * MS * PAUSE_INTERVAL_OVER_LENGTH, MIN_PAUSE_INTERVAL_US)
    steps = []
    for index, target in enumerate(targets):
        offset = 0 if fault.how in SIMULTANEOUS else interval * index / max(1, len(targets))
        at = fault.at_us + offset
        while at < fault.at_us + fault.length_us:
            steps.append(_step(int(at), kind, (target,), duration=fault.size * MS))
            at += interval
    return steps


def _endpoint_deployment(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    return [
        _step(
            batch.at_us,
            FaultKind.DRAIN_ENDPOINT,
            _fold(batch.stop, size.endpoints),
            duration=fault.extra * SECOND,
            restart_delay=ENDPOINT_RESTART_DELAY_US,
        )
        for batch in fault.batches
        if batch.stop
    ]


def _mass_restart(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    targets = _fold(fault.machines, size.endpoints)
    return [_step(fault.at_us, FaultKind.KILL_ENDPOINT, targets, restart_delay=fault.length_us)]


def _zone_partition(fault: BenchFault, bench: BenchScenario, size: FleetSize) -> list[Step]:
    inside = tuple(rank for rank, gateway in enumerate(bench.gateways) if gateway.zone == fault.zone)
    targets = _fold(inside, size.gateways)
    return [_step(fault.at_us, FaultKind.PARTITION, targets, duration=fault.length_us)]


def _throttled_endpoints(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    reject = min(MAX_REJECT_PROBABILITY, max(MIN_REJECT_PROBABILITY, fault.size))
    targets = _fold(fault.machines, size.endpoints)
    return [_step(fault.at_us, FaultKind.ENDPOINT_FAULTS, targets, duration=fault.length_us, reject=reject)]


MAPPINGS: dict[str, Mapping] = {
    "balancer_crash": _gateway_crash,
    "balancer_roll": _gateway_deployment,
    "balancer_stall": _gateway_pauses,
    "pauses": _endpoint_pauses,
    "deploy": _endpoint_deployment,
    "mass_restart": _mass_restart,
    "zone_cut": _zone_partition,
    "throttle": _throttled_endpoints,
}
