"""Maps the faults of the bench's day files to steps of a scenario, and lists those without a counterpart.

A day file is JSON. Only its length, machines and faults are read; the classes here map its keys to names.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from orchidlane.config import Duration
from orchidlane.simulation.scenario import FaultKind, Scenario, Step

MAX_STEPS = 500
MILLISECOND_US, SECOND_US = 1_000, 1_000_000
ENDPOINTS_PER_RACK = 2
ENDPOINT_RESTART_DELAY_US = 500 * MILLISECOND_US
MIN_PAUSE_INTERVAL_US = 50 * MILLISECOND_US
MIN_PAUSE_INTERVAL_RATIO = 1.2  # interval over length of a pause: pauses of one machine don't overlap
MIN_REJECT_PROBABILITY, MAX_REJECT_PROBABILITY = 0.05, 0.9
SIMULTANEOUS_MODES = ("together", "zone")  # values of ``how`` that pause all machines at the same time
NO_COUNTERPART = {
    "reconnect": "the weights of clients are constant in a scenario",
    "scan": "every client of a scenario has a valid key",
    "neighbour": "fake endpoints share no cores",
    "burst": "the request rate is constant in a scenario",
    "hot_caller": "the weights of clients are constant in a scenario",
    "origin_slow": "the gateways use no shared counter",
    "report_gap": "gateways do not select endpoints by load reports",
}


class DeployBatch(msgspec.Struct, frozen=True):
    """The machines that a deployment stops at the same time."""

    at_us: int = msgspec.field(name="at")
    stop: tuple[int, ...] = ()


class BenchFault(msgspec.Struct, frozen=True):
    """One fault; the meaning and unit of ``size`` and ``extra`` depend on its kind."""

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
    """The parts of a day file that are mapped."""

    length_us: int = msgspec.field(name="length")
    endpoints: tuple[Machine, ...] = msgspec.field(name="servers")
    gateways: tuple[Machine, ...] = msgspec.field(name="balancers")
    faults: tuple[BenchFault, ...] = msgspec.field(name="troubles")


@dataclass
class MappedScenario:
    """The scenario, and a line for each fault that was mapped and for each without a counterpart."""

    scenario: Scenario
    mapped: list[str]
    unmapped: list[str]


class FleetSize(NamedTuple):
    """The numbers of gateways and endpoints of the scenario."""

    gateways: int
    endpoints: int


def map_bench_scenario(
    text: bytes, base: Scenario, max_gateways: int = 12, max_endpoints: int = 24
) -> MappedScenario:
    """Return ``base`` with the length, fleet size and faults of a day file.

    Raises ValueError if the text is not a day file.
    """
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
            unmapped.append(f"{fault.kind}: {NO_COUNTERPART.get(fault.kind, 'unknown kind of fault')}")
            continue
        fault_steps = mapping(fault, bench, size)
        steps += fault_steps
        mapped.append(f"{fault.kind}: {len(fault_steps)} steps")
    if len(steps) > MAX_STEPS:
        unmapped.append(f"{len(steps) - MAX_STEPS} steps beyond the maximum of {MAX_STEPS} were left out")
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
    """Map indexes of the bench's machines to a fleet of ``count`` machines, each at most once."""
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
    down_time = fault.extra * SECOND_US
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
    """Return the pauses of the targets; ``extra`` is their interval in s, ``size`` their length in ms."""
    interval = max(
        fault.extra * SECOND_US,
        fault.size * MILLISECOND_US * MIN_PAUSE_INTERVAL_RATIO,
        MIN_PAUSE_INTERVAL_US,
    )
    steps = []
    for index, target in enumerate(targets):
        offset = 0 if fault.how in SIMULTANEOUS_MODES else interval * index / max(1, len(targets))
        at = fault.at_us + offset
        while at < fault.at_us + fault.length_us:
            steps.append(_step(int(at), kind, (target,), duration=fault.size * MILLISECOND_US))
            at += interval
    return steps


def _endpoint_deployment(fault: BenchFault, _bench: BenchScenario, size: FleetSize) -> list[Step]:
    return [
        _step(
            batch.at_us,
            FaultKind.DRAIN_ENDPOINT,
            _fold(batch.stop, size.endpoints),
            duration=fault.extra * SECOND_US,
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
