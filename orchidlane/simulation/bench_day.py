"""Trouble of a bench day, replayed through the real gateway: mapped where the stand-ins can, else named.

A day file of the bench is JSON; only its length, machines and troubles are read, at run time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from orchidlane.config import Duration
from orchidlane.simulation.scenario import Day, Step

STEPS_MOST = 500
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


class RollStep(msgspec.Struct, frozen=True):
    """One batch of a deploy."""

    at: int
    stop: tuple[int, ...] = ()


class Trouble(msgspec.Struct, frozen=True):
    """One trouble; what ``size`` and ``extra`` mean depends on its kind."""

    kind: str
    at: int
    length: int = msgspec.field(name="len")
    size: float = 0.0
    extra: float = 0.0
    on: tuple[int, ...] = ()
    which: int = 0
    steps: tuple[RollStep, ...] = ()
    how: str = ""


class Machine(msgspec.Struct, frozen=True):
    """One server or balancer, as far as it matters here."""

    zone: int = 0


class BenchDay(msgspec.Struct, frozen=True):
    """A day file, as far as it matters here."""

    length: int
    servers: tuple[Machine, ...]
    balancers: tuple[Machine, ...]
    troubles: tuple[Trouble, ...]


@dataclass
class Mapped:
    """The day as the stand-ins can play it."""

    day: Day
    done: list[str]
    left: list[str]


def map_bench_day(text: bytes, over: Day, gateways_most: int = 12, nodes_most: int = 24) -> Mapped:
    """The troubles of a day file over the fleet of ``over``. Raises ValueError where it is no day file."""
    try:
        bench = msgspec.json.decode(text, type=BenchDay)
    except (msgspec.DecodeError, UnicodeDecodeError) as wrong:
        raise ValueError(f"not a day file of the bench: {wrong}") from None
    gateways = max(1, min(gateways_most, len(bench.balancers)))
    nodes = max(2, min(nodes_most, len(bench.servers)))
    steps: list[Step] = []
    done, left = [], []
    for trouble in bench.troubles:
        mapping = MAPPINGS.get(trouble.kind)
        if mapping is None:
            left.append(f"{trouble.kind}: {NO_COUNTERPART.get(trouble.kind, 'not known here')}")
            continue
        made = mapping(trouble, bench, gateways, nodes)
        steps += made
        done.append(f"{trouble.kind}: {len(made)} steps")
    if len(steps) > STEPS_MOST:
        left.append(f"{len(steps) - STEPS_MOST} steps beyond the {STEPS_MOST} that are played")
    day = msgspec.structs.replace(
        over,
        gateways=gateways,
        racks=nodes // 2,
        rack_size=2,
        span=Duration(bench.length),
        steps=tuple(sorted(steps, key=lambda step: step.at)[:STEPS_MOST]),
    )
    return Mapped(day, done, left)


def _some(numbers: tuple[int, ...], count: int) -> tuple[int, ...]:
    """Machines of the bench as machines here: folded onto fewer where there are fewer."""
    return tuple(dict.fromkeys(number % count for number in numbers))


def _step(
    at: int, do: str, which: tuple[int, ...], span: float = 0, back: float = 0, full: float = 0
) -> Step:
    return Step(Duration(at), do, which, Duration(int(span)), Duration(int(back)), full=full)


def _crash(trouble: Trouble, _bench: BenchDay, gateways: int, _nodes: int) -> list[Step]:
    down = trouble.length / max(1, len(trouble.on))
    return [_step(trouble.at, "kill_gateway", (one,), back=down) for one in _some(trouble.on, gateways)]


def _roll(trouble: Trouble, _bench: BenchDay, gateways: int, _nodes: int) -> list[Step]:
    down = trouble.extra * SECOND
    return [
        _step(step.at, "kill_gateway", _some(step.stop, gateways), back=down)
        for step in trouble.steps
        if step.stop
    ]


def _pauses(
    do: str, machines: Callable[[int, int], int]
) -> Callable[[Trouble, BenchDay, int, int], list[Step]]:
    def mapping(trouble: Trouble, _bench: BenchDay, gateways: int, nodes: int) -> list[Step]:
        every = max(trouble.extra * SECOND, trouble.size * MS * 1.2, 50 * MS)
        which = _some(trouble.on, machines(gateways, nodes))
        steps = []
        for place, one in enumerate(which):
            offset = 0 if trouble.how in ("together", "zone") else every * place / max(1, len(which))
            at = trouble.at + offset
            while at < trouble.at + trouble.length:
                steps.append(_step(int(at), do, (one,), span=trouble.size * MS))
                at += every
        return steps

    return mapping


def _deploy(trouble: Trouble, _bench: BenchDay, _gateways: int, nodes: int) -> list[Step]:
    return [
        _step(step.at, "drain_node", _some(step.stop, nodes), span=trouble.extra * SECOND, back=500 * MS)
        for step in trouble.steps
        if step.stop
    ]


def _mass_restart(trouble: Trouble, _bench: BenchDay, _gateways: int, nodes: int) -> list[Step]:
    return [_step(trouble.at, "kill_node", _some(trouble.on, nodes), back=trouble.length)]


def _zone_cut(trouble: Trouble, bench: BenchDay, gateways: int, _nodes: int) -> list[Step]:
    inside = tuple(i for i, one in enumerate(bench.balancers) if one.zone == trouble.which)
    return [_step(trouble.at, "cut_peers", _some(inside, gateways), span=trouble.length)]


def _throttle(trouble: Trouble, _bench: BenchDay, _gateways: int, nodes: int) -> list[Step]:
    chance = min(0.9, max(0.05, trouble.size))
    return [
        _step(trouble.at, "node_faults", _some(trouble.on, nodes), span=trouble.length, full=chance),
    ]


MAPPINGS: dict[str, Callable[[Trouble, BenchDay, int, int], list[Step]]] = {
    "balancer_crash": _crash,
    "balancer_roll": _roll,
    "balancer_stall": _pauses("freeze_gateway", lambda gateways, _nodes: gateways),
    "pauses": _pauses("freeze_node", lambda _gateways, nodes: nodes),
    "deploy": _deploy,
    "mass_restart": _mass_restart,
    "zone_cut": _zone_cut,
    "throttle": _throttle,
}
