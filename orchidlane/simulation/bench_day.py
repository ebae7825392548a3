"""Trouble of a bench day, replayed through the real gateway: mapped where the stand-ins can, else named.

A day file of the bench is JSON; only its length, machines and troubles are read, at run time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from orchidlane.config import Duration
from orchidlane.simulation.scenario import Scenario, Step

MAX_STEPS = 500
MS, SECOND = 1_000, 1_000_000
NO_COUNTERPART = {
    "reconnect": "clients keep their weights here",
    "scan": "every client of the stand-ins has a key",
    "neighbour": "the stand-in nodes have their cores to themselves",
    "burst": "the stand-in clients ask at one rate",
    "hot_caller": "the stand-in clients keep their weights",
    "origin_slow": "there is no shared counter",
    "report_gap": "the gateways' choice does not go by reports",
}


class DeployBatch(msgspec.Struct, frozen=True):
    """One batch of a deploy."""

    at_us: int = msgspec.field(name="at")
    stop: tuple[int, ...] = ()


class BenchFault(msgspec.Struct, frozen=True):
    """One trouble; what ``size`` and ``extra`` mean depends on its kind."""

    kind: str
    at_us: int = msgspec.field(name="at")
    length_us: int = msgspec.field(name="len")
    size: float = 0.0
    extra: float = 0.0
    on: tuple[int, ...] = ()
    which: int = 0
    steps: tuple[DeployBatch, ...] = ()
    how: str = ""


class Machine(msgspec.Struct, frozen=True):
    """One server or balancer, as far as it matters here."""

    zone: int = 0


class BenchScenario(msgspec.Struct, frozen=True):
    """A day file, as far as it matters here."""

    length_us: int = msgspec.field(name="length")
    servers: tuple[Machine, ...]
    balancers: tuple[Machine, ...]
    faults: tuple[BenchFault, ...] = msgspec.field(name="troubles")


@dataclass
class MappedScenario:
    """The day as the stand-ins can play it."""

    scenario: Scenario
    mapped: list[str]
    unmapped: list[str]


def map_bench_scenario(
    text: bytes, base: Scenario, max_gateways: int = 12, max_endpoints: int = 24
) -> MappedScenario:
    """The troubles of a day file over the fleet of ``over``. Raises ValueError where it is no day file."""
    try:
        bench = msgspec.json.decode(text, type=BenchScenario)
    except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
        raise ValueError(f"not a day file of the bench: {wrong}") from None
    gateways = max(1, min(max_gateways, len(bench.balancers)))
    nodes = max(2, min(max_endpoints, len(bench.servers)))
    steps: list[Step] = []
    done, left = [], []
    for trouble in bench.faults:
        mapping = MAPPINGS.get(trouble.kind)
        if mapping is None:
            left.append(f"{trouble.kind}: {NO_COUNTERPART.get(trouble.kind, 'not known here')}")
            continue
        made = mapping(trouble, bench, gateways, nodes)
        steps += made
        done.append(f"{trouble.kind}: {len(made)} steps")
    if len(steps) > MAX_STEPS:
        left.append(f"{len(steps) - MAX_STEPS} steps beyond the {MAX_STEPS} that are played")
    day = msgspec.structs.replace(
        base,
        gateway_count=gateways,
        rack_count=nodes // 2,
        rack_size=2,
        duration=Duration(bench.length_us),
        steps=tuple(sorted(steps, key=lambda step: step.at)[:MAX_STEPS]),
    )
    return MappedScenario(day, done, left)


def _some(numbers: tuple[int, ...], count: int) -> tuple[int, ...]:
    """Machines of the bench as machines here: folded onto fewer where there are fewer."""
    return tuple(dict.fromkeys(number % count for number in numbers))


def _step(
    at: int, do: str, which: tuple[int, ...], span: float = 0, back: float = 0, full: float = 0
) -> Step:
    return Step(Duration(at), do, which, Duration(int(span)), Duration(int(back)), reject=full)


def _crash(trouble: BenchFault, _bench: BenchScenario, gateways: int, _nodes: int) -> list[Step]:
    down = trouble.length_us / max(1, len(trouble.on))
    return [_step(trouble.at_us, "kill_gateway", (one,), back=down) for one in _some(trouble.on, gateways)]


def _roll(trouble: BenchFault, _bench: BenchScenario, gateways: int, _nodes: int) -> list[Step]:
    down = trouble.extra * SECOND
    return [
        _step(step.at_us, "kill_gateway", _some(step.stop, gateways), back=down)
        for step in trouble.steps
        if step.stop
    ]


def _pauses(
    do: str, machines: Callable[[int, int], int]
) -> Callable[[BenchFault, BenchScenario, int, int], list[Step]]:
    def mapping(trouble: BenchFault, _bench: BenchScenario, gateways: int, nodes: int) -> list[Step]:
        every = max(trouble.extra * SECOND, trouble.size * MS * 1.2, 50 * MS)
        which = _some(trouble.on, machines(gateways, nodes))
        steps = []
        for place, one in enumerate(which):
            offset = 0 if trouble.how in ("together", "zone") else every * place / max(1, len(which))
            at = trouble.at_us + offset
            while at < trouble.at_us + trouble.length_us:
                steps.append(_step(int(at), do, (one,), span=trouble.size * MS))
                at += every
        return steps

    return mapping


def _deploy(trouble: BenchFault, _bench: BenchScenario, _gateways: int, nodes: int) -> list[Step]:
    return [
        _step(step.at_us, "drain_node", _some(step.stop, nodes), span=trouble.extra * SECOND, back=500 * MS)
        for step in trouble.steps
        if step.stop
    ]


def _mass_restart(trouble: BenchFault, _bench: BenchScenario, _gateways: int, nodes: int) -> list[Step]:
    return [_step(trouble.at_us, "kill_node", _some(trouble.on, nodes), back=trouble.length_us)]


def _zone_cut(trouble: BenchFault, bench: BenchScenario, gateways: int, _nodes: int) -> list[Step]:
    inside = tuple(i for i, one in enumerate(bench.balancers) if one.zone == trouble.which)
    return [_step(trouble.at_us, "cut_peers", _some(inside, gateways), span=trouble.length_us)]


def _throttle(trouble: BenchFault, _bench: BenchScenario, _gateways: int, nodes: int) -> list[Step]:
    chance = min(0.9, max(0.05, trouble.size))
    return [
        _step(trouble.at_us, "node_faults", _some(trouble.on, nodes), span=trouble.length_us, full=chance),
    ]


MAPPINGS: dict[str, Callable[[BenchFault, BenchScenario, int, int], list[Step]]] = {
    "balancer_crash": _crash,
    "balancer_roll": _roll,
    "balancer_stall": _pauses("freeze_gateway", lambda gateways, _nodes: gateways),
    "pauses": _pauses("freeze_node", lambda _gateways, nodes: nodes),
    "deploy": _deploy,
    "mass_restart": _mass_restart,
    "zone_cut": _zone_cut,
    "throttle": _throttle,
}
