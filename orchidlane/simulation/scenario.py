"""A scripted day: a fleet with its stand-ins, what befalls them, and what passed on the sockets.

The same runner plays it in the real world, where gateways and nodes are processes that get real signals, and
in the simulated one, where all of them live in one process under a virtual clock.
"""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from collections.abc import Callable, MutableSequence
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any, Protocol

import msgspec

from orchidlane import config
from orchidlane.config import Duration
from orchidlane.gateway.control.customers import CustomerRecord, make_customer
from orchidlane.gateway.control.endpoint_list import EndpointRecord
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port, parse_settings, schema_text
from orchidlane.routes import Generation, build, load_description
from orchidlane.runtime import CONTROL, PEERS, REQUESTS, EventLoop, EventLoopError, TaskGroup
from orchidlane.runtime.backend import Address
from orchidlane.simulation.audit import Terms, Verdict, audit
from orchidlane.simulation.clients import Crowd, Kind, Subscriber
from orchidlane.simulation.fake_endpoint import FAULTS, Faults, NodeSpec, Work
from orchidlane.simulation.fake_servers import NodeList, Relay
from orchidlane.simulation.observations import CLIENTS, TERMS, Away, Record, decode, encode
from orchidlane.simulation.quota_clients import Takers

SECRET = b"a secret for stand-ins only"
SETTLE = 1_500_000  # microseconds after the last request
UP_WITHIN = 20_000_000
DAY_SCHEMA = Path(__file__).with_name("scenario.cue")


class Step(msgspec.Struct, frozen=True):
    """See ``#Step``."""

    at: Duration
    do: str
    which: tuple[int, ...]
    span: Duration = msgspec.field(name="for")
    back: Duration = Duration(0)
    reset_before: float = 0.0
    reset_after: float = 0.0
    cut: float = 0.0
    silent: float = 0.0
    full: float = 0.0
    loss: float = 0.0
    double: float = 0.0
    delay: Duration = Duration(0)


class KindEntry(msgspec.Struct, frozen=True):
    """See ``#Kind``."""

    class_name: str = msgspec.field(name="class")
    share: float = 1.0
    method: str = "GET"
    target: str = "/"
    work: Duration = Duration(0)
    body: int = 0


class Day(msgspec.Struct, frozen=True):
    """See ``#Day``."""

    fleet: str
    gateways: int
    racks: int
    rack_size: int
    cores: float
    customers: int
    rate: float
    span: Duration
    kinds: tuple[KindEntry, ...]
    list_delay: tuple[Duration, Duration]
    peer_loss: float
    takes: float
    upgrades: int
    answer_slack: Duration
    arrival_slack: Duration
    steps: tuple[Step, ...]


def load_day(path: str) -> Day:
    """The script of a file. Raises ConfigError, OSError."""
    text = Path(path).read_text()
    day = config.load(text, path, DAY_SCHEMA.read_text(), "#Day", Day)
    return msgspec.structs.replace(day, fleet=str(Path(path).parent / day.fleet))


class Backing(Protocol):
    """Starts, stops and stills gateways and nodes: as processes, or as parts of a simulated world."""

    def free_addresses(self, count: int) -> list[Address]:
        """Addresses that nothing listens at."""

    def start_gateway(self, rank: int) -> None:
        """Start a gateway."""

    def end_gateway(self, rank: int, kill: bool) -> None:
        """Kill a gateway, or have it drain."""

    def gateway_ended(self, rank: int) -> bool:
        """Whether a gateway that was ended is gone."""

    def begin_upgrade(self, rank: int) -> None:
        """Start a successor of a gateway."""

    def kill_successor(self, rank: int) -> None:
        """Kill it."""

    def upgraded(self, rank: int, loop: EventLoop) -> bool | None:
        """Whether the successor serves alone; None while that is open."""

    def freeze_gateway(self, rank: int, still: bool) -> None:
        """Have a gateway stand still, or go on."""

    def start_node(self, spec: NodeSpec) -> None:
        """Start a node."""

    def kill_node(self, name: str) -> None:
        """Kill a node."""

    def freeze_node(self, name: str, still: bool) -> None:
        """Have a node stand still, or go on."""

    def check(self) -> None:
        """Look for what was left behind once all is answered."""

    def end(self) -> None:
        """End all that runs."""


@dataclass
class Plan:
    """A day with its addresses, customers and settings: all that both worlds need."""

    day: Day
    fleet: FleetSettings
    generation: Generation
    text: str  # the fleet's settings, as a file for gateways
    folder: str
    secret_file: str
    gateways: list[Address]
    list_at: Address
    relay: list[tuple[Address, Address]]
    nodes: list[NodeSpec]
    customers: list[CustomerRecord]


@cache
def _description(path: str) -> Generation:
    return build(load_description(Path(path).read_bytes(), path), path)


def make_plan(day: Day, folder: str, free: Callable[[int], list[Address]], as_written: bool = False) -> Plan:
    """Lay out a day in a folder: addresses, settings, customers, nodes.

    ``as_written`` keeps the addresses of the fleet's file, so that a person can find the gateways.
    """
    source = Path(day.fleet)
    value = config.plain_values(source.read_text(), day.fleet, schema_text(), "#Fleet")
    count = day.gateways
    places = free(5 * count + 1 + day.racks * day.rack_size)
    listen, own, relayed, admin, resp = (places[i * count : (i + 1) * count] for i in range(5))
    list_at, node_places = places[5 * count], places[5 * count + 1 :]
    if as_written:
        listen, relayed, admin, resp = (
            [parse_host_port(entry[name]) for entry in value["gateways"]]
            for name in ("listen", "peer", "admin", "resp")
        )
        list_at = parse_host_port(value["nodes"]["list"])
    value |= {
        "description": str((source.parent / value["description"]).resolve()),
        "customers": f"{folder}/customers.json",
        "state": folder,
        "gateways": [_gateway_entry(i, listen, relayed, admin, resp) for i in range(count)],
    }
    value["nodes"]["list"] = _text(list_at)
    value["peers"]["secret_file"] = f"{folder}/secret"
    text = config.render(value)[1:-1]
    fleet = parse_settings(text, "day")
    plan = Plan(
        day=day,
        fleet=fleet,
        generation=_description(fleet.description),
        text=text,
        folder=folder,
        secret_file=f"{folder}/secret",
        gateways=listen,
        list_at=list_at,
        relay=list(zip(relayed, own, strict=True)),
        nodes=[],
        customers=[],
    )
    plan.nodes = [_node_spec(plan, i, at) for i, at in enumerate(node_places)]
    plan.customers = [_customer(i, list(fleet.plans)) for i in range(day.customers)]
    return plan


def own_settings(plan: Plan, rank: int) -> str:
    """One gateway's settings: its own datagrams' address in place of the relay's, which the others use."""
    value = config.plain_values(plan.text, "day", schema_text(), "#Fleet")
    value["gateways"][rank]["peer"] = _text(plan.relay[rank][1])
    return config.render(value)[1:-1]


def _gateway_entry(
    rank: int, listen: list[Address], peer: list[Address], admin: list[Address], resp: list[Address]
) -> Any:
    return {
        "name": f"gw-{rank}",
        "listen": _text(listen[rank]),
        "peer": _text(peer[rank]),
        "admin": _text(admin[rank]),
        "resp": _text(resp[rank]),
        "zone": "hall-1",
    }


def _text(at: Address) -> str:
    return f"{at[0]}:{at[1]}"


def _node_spec(plan: Plan, index: int, at: Address) -> NodeSpec:
    day, nodes = plan.day, plan.fleet.endpoints
    operations = {operation.class_name: operation for operation in plan.generation.operations}
    work = tuple(
        Work(kind.method, kind.class_name, int(kind.work), operations[kind.class_name].cost)
        for kind in day.kinds
    )
    return NodeSpec(
        name=f"node-{index}",
        address=at,
        cell=f"rack-{index // day.rack_size}",
        records=f"{plan.folder}/node-{index}.records",
        work=work,
        cores=day.cores,
        cold_from=nodes.slow_start_initial_share,
        warm_within=int(nodes.slow_start_duration_us),
        fall_multiple=nodes.overload_multiple,
        overload_for=int(nodes.overload_duration_us),
    )


def _customer(index: int, plans: list[str]) -> CustomerRecord:
    key = hashlib.sha256(_key(index).encode()).hexdigest()
    return CustomerRecord(
        id=index + 1, plan=plans[index % len(plans)], keys=(key,), name=f"subscriber {index}"
    )


def _key(index: int) -> str:
    return f"key-of-{index}"


def customers_file(plan: Plan) -> bytes:
    """The customers as the gateways read them."""
    return msgspec.json.encode({"customers": plan.customers})


@dataclass
class Runner:
    """Plays a plan in a world; ``records`` is what passed on the sockets of the laboratory."""

    loop: EventLoop
    plan: Plan
    backing: Backing
    records: MutableSequence[Record] = field(default_factory=list)
    relay: Relay | None = None
    node_list: NodeList | None = None
    crowd: Crowd | None = None
    takers: Takers | None = None
    restarting: set[str] = field(default_factory=set)
    beside: list[Callable[[], None]] = field(default_factory=list)  # further stand-ins, each a task
    upgrades: Counter[bool] = field(default_factory=Counter)  # by whether the successor stayed

    def run(self) -> Verdict:
        """From the first start to the verdict."""
        plan, day = self.plan, self.plan.day
        self.relay = Relay(self.loop, plan.relay)
        self.relay.loss = day.peer_loss
        self.node_list = NodeList(self.loop, plan.list_at, day.list_delay, self.records.append)
        try:
            with TaskGroup(self.loop) as scope:
                scope.spawn(self.relay.serve, priority=PEERS)
                scope.spawn(self.node_list.serve, priority=CONTROL)
                for work in self.beside:
                    scope.spawn(work, priority=PEERS)
                self._start_all()
                self.crowd = self._crowd()
                for step in day.steps:
                    scope.spawn(self._step, step, priority=CONTROL, name=step.do)
                scope.spawn(self.crowd.run, priority=REQUESTS, name="crowd")
                if day.takes:
                    self.takers = self._takers()
                    scope.spawn(self.takers.run, priority=REQUESTS, name="crowd")
                while self._busy(scope):
                    self.loop.sleep(100_000)
                self.loop.sleep(SETTLE)
                self.backing.check()
                scope.cancel()
        finally:
            self.backing.end()
        return audit([*self.records, *self._node_records()], self.terms())

    def end_load(self) -> None:
        """No more clients ask, whatever is left of the day; steps under way go on."""
        for load in (self.crowd, self.takers):
            if load is not None:
                load.span = 0

    def _busy(self, scope: TaskGroup) -> bool:
        names = {task.name for task in scope.children}
        return bool(names & {"crowd", *(step.do for step in self.plan.day.steps)})

    def _start_all(self) -> None:
        assert self.node_list is not None
        for spec in self.plan.nodes:
            self.backing.start_node(spec)
        for spec in self.plan.nodes:
            self._until_up(spec.address)
            self.node_list.nodes[_text(spec.address)] = self._line(spec, "ready", 0)
            self.node_list.names[_text(spec.address)] = spec.name
        for rank in range(len(self.plan.gateways)):
            self.backing.start_gateway(rank)
        for at in self.plan.gateways:
            self._until_up(at)
        while len(self.node_list.watches) < len(self.plan.gateways):
            self.loop.sleep(10_000)
        self.loop.sleep(100_000)

    def _line(self, spec: NodeSpec, phase: Any, launched: int) -> EndpointRecord:
        return EndpointRecord(_text(spec.address), phase, "hall-1", spec.cell, launched, 1.0)

    def _until_up(self, at: Address) -> None:
        by = self.loop.now() + UP_WITHIN
        while True:
            try:
                self.loop.backend.connect(at, self.loop.now() + 200_000).close()
                return
            except EventLoopError:
                if self.loop.now() > by:
                    raise
                self.loop.sleep(20_000)

    def _crowd(self) -> Crowd:
        plan, day = self.plan, self.plan.day
        random = self.loop.backend.random
        names = list(plan.fleet.plans)
        subscribers = []
        for index, entry in enumerate(plan.customers):
            customer = make_customer(entry, plan.fleet, names)
            ranks = [
                (customer.replica_set_start + i) % day.gateways for i in range(customer.replica_set_size)
            ]
            random.shuffle(ranks)
            weight = plan.fleet.plans[entry.plan].rate * random.choice((0.4, 0.8, 0.8, 4.0))
            subscribers.append(Subscriber(entry.id, _key(index), weight, tuple(ranks)))
        classes = dict(zip(plan.generation.class_names, plan.generation.classes, strict=True))
        kinds = [
            Kind(
                class_name=kind.class_name,
                share=kind.share,
                method=kind.method,
                target=kind.target,
                deadline=classes[kind.class_name].deadline_us,
                safe=classes[kind.class_name].idempotency.value == "safe",
                body=kind.body,
            )
            for kind in day.kinds
        ]
        doors = [(f"gw-{rank}", at) for rank, at in enumerate(plan.gateways)]
        return Crowd(self.loop, doors, subscribers, kinds, day.rate, day.span, self.records.append)

    def _takers(self) -> Takers:
        """The same subscribers over the other front."""
        assert self.crowd is not None
        doors = [(one.name, parse_host_port(one.resp)) for one in self.plan.fleet.gateways]
        day = self.plan.day
        return Takers(self.loop, doors, self.crowd.subscribers, day.takes, day.span, self.records.append)

    def terms(self) -> Terms:
        """The rules' figures for the audit."""
        plan = self.plan
        ceilings, quotas = {}, {}
        for entry in plan.customers:
            quota = plan.fleet.plans[entry.plan]
            quotas[entry.id] = quota.rate, quota.burst
            ceiling = plan.fleet.plans[entry.plan].ceiling
            if ceiling is not None:
                ceilings[entry.id] = ceiling.rate, ceiling.burst, ceiling.slack
        return Terms(
            effects=dict(zip(plan.generation.class_names, plan.generation.classes, strict=True)),
            drain_grace=plan.fleet.endpoints.drain_grace_us,
            answer_slack=plan.day.answer_slack,
            arrival_slack=plan.day.arrival_slack,
            ceilings=ceilings,
            quotas=quotas,
        )

    def keep(self, folder: str) -> None:
        """Write what clients and the list saw, and the rules' figures, beside the nodes' records."""
        Path(folder, CLIENTS).write_bytes(b"".join(map(encode, self.records)))
        Path(folder, TERMS).write_bytes(msgspec.json.encode(self.terms(), enc_hook=int))

    def _node_records(self) -> list[Record]:
        found: list[Record] = []
        for spec in self.plan.nodes:
            if not spec.records:
                continue
            found += decode(self.loop.backend.read_file(spec.records) or b"")
        return found

    # -- what befalls

    def _step(self, step: Step) -> None:
        self.loop.sleep(step.at)
        method: Callable[[Step], None] = getattr(self, f"_{step.do}")
        method(step)

    def _kill_gateway(self, step: Step) -> None:
        self._end_gateways(step, kill=True)

    def _drain_gateway(self, step: Step) -> None:
        self._end_gateways(step, kill=False)

    def _end_gateways(self, step: Step, kill: bool) -> None:
        """One after another, as a deploy goes."""
        for rank in step.which:
            self._claim(f"gw-{rank}")
            began = self.loop.now()
            self.backing.end_gateway(rank, kill)
            while not self.backing.gateway_ended(rank):
                self.loop.sleep(10_000)
            self.loop.sleep(step.back)
            self.backing.start_gateway(rank)
            self._until_up(self.plan.gateways[rank])
            self.records.append(Away(f"gw-{rank}", began, self.loop.now(), "killed" if kill else "drained"))
            self._free(f"gw-{rank}")

    def _upgrade_gateway(self, step: Step) -> None:
        """One after another, in full service: what becomes of it is no excuse for anything.

        With a span, a successor that has not passed after that is killed.
        """
        for rank in step.which:
            self._claim(f"gw-{rank}")
            self.backing.begin_upgrade(rank)
            until = self.loop.now() + step.span
            while (passed := self.backing.upgraded(rank, self.loop)) is None:
                if step.span and self.loop.now() >= until:
                    self.backing.kill_successor(rank)
                self.loop.sleep(20_000)
            self.upgrades[passed] += 1
            self._free(f"gw-{rank}")

    def _freeze_gateway(self, step: Step) -> None:
        began = self.loop.now()
        for rank in step.which:
            self.backing.freeze_gateway(rank, True)
        self.loop.sleep(step.span)
        for rank in step.which:
            self.backing.freeze_gateway(rank, False)
            self.records.append(Away(f"gw-{rank}", began, self.loop.now(), "still"))

    def _kill_node(self, step: Step) -> None:
        for index in step.which:
            self._claim(f"node-{index}")
            self.backing.kill_node(self.plan.nodes[index].name)
            self._tell(index, "gone")
        self.loop.sleep(step.back)
        for index in step.which:
            self._start_cold(index)

    def _drain_node(self, step: Step) -> None:
        """One after another: drain, end, come back cold."""
        for index in step.which:
            self._claim(f"node-{index}")
            self._tell(index, "draining")
            self.loop.sleep(step.span)
            self.backing.kill_node(self.plan.nodes[index].name)
            self._tell(index, "gone")
            self.loop.sleep(step.back)
            self._start_cold(index)

    def _start_cold(self, index: int) -> None:
        spec = msgspec.structs.replace(self.plan.nodes[index], cold=True)
        launched = self.loop.now()
        self.backing.start_node(spec)
        self._until_up(spec.address)
        self._tell(index, "ready", launched)
        self._free(f"node-{index}")

    def _claim(self, name: str) -> None:
        """One start or end of a process at a time."""
        while name in self.restarting:
            self.loop.sleep(10_000)
        self.restarting.add(name)

    def _free(self, name: str) -> None:
        self.restarting.discard(name)

    def _tell(self, index: int, phase: str, launched: int = 0) -> None:
        assert self.node_list is not None
        spec = self.plan.nodes[index]
        self.node_list.set(spec.name, self._line(spec, phase, launched))

    def _freeze_node(self, step: Step) -> None:
        began = self.loop.now()
        for index in step.which:
            self.backing.freeze_node(self.plan.nodes[index].name, True)
        self.loop.sleep(step.span)
        for index in step.which:
            self.backing.freeze_node(self.plan.nodes[index].name, False)
            self.records.append(Away(f"node-{index}", began, self.loop.now(), "still"))

    def _cut_peers(self, step: Step) -> None:
        """The gateways named are cut off from all others."""
        assert self.relay is not None
        others = [rank for rank in range(self.plan.day.gateways) if rank not in step.which]
        pairs = {frozenset((one, other)) for one in step.which for other in others}
        self.relay.cuts |= pairs
        self.loop.sleep(step.span)
        self.relay.cuts -= pairs

    def _peer_faults(self, step: Step) -> None:
        assert self.relay is not None
        before = self.relay.loss, self.relay.double, self.relay.delay
        self.relay.loss, self.relay.double, self.relay.delay = step.loss, step.double, (0, step.delay)
        self.loop.sleep(step.span)
        self.relay.loss, self.relay.double, self.relay.delay = before

    def _late_list(self, step: Step) -> None:
        assert self.node_list is not None
        before, self.node_list.delay = self.node_list.delay, (step.delay // 2, step.delay)
        self.loop.sleep(step.span)
        self.node_list.delay = before

    def _node_faults(self, step: Step) -> None:
        chances = Faults(step.reset_before, step.reset_after, step.cut, step.silent, step.full)
        for index in step.which:
            self._set_faults(index, chances)
        self.loop.sleep(step.span)
        for index in step.which:
            self._set_faults(index, Faults())

    def _set_faults(self, index: int, faults: Faults) -> None:
        body = json.dumps(msgspec.structs.asdict(faults)).encode()
        head = f"POST {FAULTS} HTTP/1.1\r\nhost: node\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        try:
            stream = self.loop.backend.connect(self.plan.nodes[index].address, self.loop.now() + 500_000)
            stream.send(head + body)
            stream.recv(deadline=self.loop.now() + 500_000)
            stream.close()
        except EventLoopError:
            pass  # the node is down: it comes back without faults
