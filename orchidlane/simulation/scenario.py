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
from orchidlane.simulation.audit import AuditLimits, CeilingLimit, RateLimit, Verdict, audit
from orchidlane.simulation.clients import ClientProfile, HttpClients, RequestKind
from orchidlane.simulation.fake_endpoint import FAULTS_TARGET, ClassWork, EndpointFaults, EndpointSpec
from orchidlane.simulation.fake_servers import DatagramRelay, FakeDiscovery
from orchidlane.simulation.observations import (
    CLIENT_RECORDS_FILE,
    LIMITS_FILE,
    Outage,
    Record,
    decode,
    encode,
)
from orchidlane.simulation.quota_clients import QuotaClients

SECRET = b"a secret for stand-ins only"
SETTLE = 1_500_000  # microseconds after the last request
UP_WITHIN = 20_000_000
SCHEMA_PATH = Path(__file__).with_name("scenario.cue")


class Step(msgspec.Struct, frozen=True):
    """See ``#Step``."""

    at: Duration
    fault: str = msgspec.field(name="do")
    targets: tuple[int, ...] = msgspec.field(name="which")
    duration: Duration = msgspec.field(name="for")
    restart_delay: Duration = msgspec.field(name="back", default=Duration(0))
    reset_before: float = 0.0
    reset_after: float = 0.0
    truncate: float = msgspec.field(name="cut", default=0.0)
    hang: float = msgspec.field(name="silent", default=0.0)
    reject: float = msgspec.field(name="full", default=0.0)
    loss: float = 0.0
    duplication: float = msgspec.field(name="double", default=0.0)
    delay: Duration = Duration(0)


class RequestKindEntry(msgspec.Struct, frozen=True):
    """See ``#Kind``."""

    class_name: str = msgspec.field(name="class")
    share: float = 1.0
    method: str = "GET"
    target: str = "/"
    mean_work: Duration = msgspec.field(name="work", default=Duration(0))
    body_bytes: int = msgspec.field(name="body", default=0)


class Scenario(msgspec.Struct, frozen=True):
    """See ``#Day``."""

    fleet: str
    gateway_count: int = msgspec.field(name="gateways")
    rack_count: int = msgspec.field(name="racks")
    rack_size: int
    cores: float
    customer_count: int = msgspec.field(name="customers")
    request_rate: float = msgspec.field(name="rate")
    duration: Duration = msgspec.field(name="span")
    request_kinds: tuple[RequestKindEntry, ...] = msgspec.field(name="kinds")
    endpoint_list_delay: tuple[Duration, Duration] = msgspec.field(name="list_delay")
    peer_loss: float
    quota_request_rate: float = msgspec.field(name="takes")
    upgrade_count: int = msgspec.field(name="upgrades")
    response_slack: Duration = msgspec.field(name="answer_slack")
    arrival_slack: Duration
    steps: tuple[Step, ...]


def load_scenario(path: str) -> Scenario:
    """The script of a file. Raises ConfigError, OSError."""
    text = Path(path).read_text()
    day = config.load(text, path, SCHEMA_PATH.read_text(), "#Day", Scenario)
    return msgspec.structs.replace(day, fleet=str(Path(path).parent / day.fleet))


class FleetBackend(Protocol):
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

    def upgrade_result(self, rank: int, loop: EventLoop) -> bool | None:
        """Whether the successor serves alone; None while that is open."""

    def freeze_gateway(self, rank: int, frozen: bool) -> None:
        """Have a gateway stand still, or go on."""

    def start_endpoint(self, spec: EndpointSpec) -> None:
        """Start a node."""

    def kill_endpoint(self, name: str) -> None:
        """Kill a node."""

    def freeze_endpoint(self, name: str, frozen: bool) -> None:
        """Have a node stand still, or go on."""

    def check_leaks(self) -> None:
        """Look for what was left behind once all is answered."""

    def end(self) -> None:
        """End all that runs."""


@dataclass
class ScenarioPlan:
    """A day with its addresses, customers and settings: all that both worlds need."""

    scenario: Scenario
    fleet: FleetSettings
    generation: Generation
    settings_text: str  # the fleet's settings, as a file for gateways
    folder: str
    secret_file: str
    gateways: list[Address]
    discovery_address: Address
    datagram_routes: list[tuple[Address, Address]]
    endpoints: list[EndpointSpec]
    customers: list[CustomerRecord]


@cache
def _description(path: str) -> Generation:
    return build(load_description(Path(path).read_bytes(), path), path)


def make_plan(
    scenario: Scenario,
    folder: str,
    free_addresses: Callable[[int], list[Address]],
    keep_addresses: bool = False,
) -> ScenarioPlan:
    """Lay out a day in a folder: addresses, settings, customers, nodes.

    ``as_written`` keeps the addresses of the fleet's file, so that a person can find the gateways.
    """
    source = Path(scenario.fleet)
    value = config.plain_values(source.read_text(), scenario.fleet, schema_text(), "#Fleet")
    count = scenario.gateway_count
    places = free_addresses(5 * count + 1 + scenario.rack_count * scenario.rack_size)
    listen, own, relayed, admin, resp = (places[i * count : (i + 1) * count] for i in range(5))
    list_at, node_places = places[5 * count], places[5 * count + 1 :]
    if keep_addresses:
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
    plan = ScenarioPlan(
        scenario=scenario,
        fleet=fleet,
        generation=_description(fleet.description),
        settings_text=text,
        folder=folder,
        secret_file=f"{folder}/secret",
        gateways=listen,
        discovery_address=list_at,
        datagram_routes=list(zip(relayed, own, strict=True)),
        endpoints=[],
        customers=[],
    )
    plan.endpoints = [_node_spec(plan, i, at) for i, at in enumerate(node_places)]
    plan.customers = [_customer(i, list(fleet.plans)) for i in range(scenario.customer_count)]
    return plan


def gateway_settings(plan: ScenarioPlan, rank: int) -> str:
    """One gateway's settings: its own datagrams' address in place of the relay's, which the others use."""
    value = config.plain_values(plan.settings_text, "day", schema_text(), "#Fleet")
    value["gateways"][rank]["peer"] = _text(plan.datagram_routes[rank][1])
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


def _node_spec(plan: ScenarioPlan, index: int, at: Address) -> EndpointSpec:
    day, nodes = plan.scenario, plan.fleet.endpoints
    operations = {operation.class_name: operation for operation in plan.generation.operations}
    work = tuple(
        ClassWork(kind.method, kind.class_name, int(kind.mean_work), operations[kind.class_name].cost)
        for kind in day.request_kinds
    )
    return EndpointSpec(
        name=f"node-{index}",
        address=at,
        cell=f"rack-{index // day.rack_size}",
        records_path=f"{plan.folder}/node-{index}.records",
        work_by_class=work,
        cores=day.cores,
        slow_start_initial_share=nodes.slow_start_initial_share,
        slow_start_duration_us=int(nodes.slow_start_duration_us),
        overload_multiple=nodes.overload_multiple,
        overload_duration_us=int(nodes.overload_duration_us),
    )


def _customer(index: int, plans: list[str]) -> CustomerRecord:
    key = hashlib.sha256(_key(index).encode()).hexdigest()
    return CustomerRecord(
        id=index + 1, plan=plans[index % len(plans)], keys=(key,), name=f"subscriber {index}"
    )


def _key(index: int) -> str:
    return f"key-of-{index}"


def customers_file(plan: ScenarioPlan) -> bytes:
    """The customers as the gateways read them."""
    return msgspec.json.encode({"customers": plan.customers})


@dataclass
class ScenarioRunner:
    """Plays a plan in a world; ``records`` is what passed on the sockets of the laboratory."""

    loop: EventLoop
    plan: ScenarioPlan
    fleet_backend: FleetBackend
    records: MutableSequence[Record] = field(default_factory=list)
    relay: DatagramRelay | None = None
    discovery: FakeDiscovery | None = None
    http_clients: HttpClients | None = None
    quota_clients: QuotaClients | None = None
    restarting: set[str] = field(default_factory=set)
    extra_servers: list[Callable[[], None]] = field(default_factory=list)  # further stand-ins, each a task
    upgrades: Counter[bool] = field(default_factory=Counter)  # by whether the successor stayed

    def run(self) -> Verdict:
        """From the first start to the verdict."""
        plan, day = self.plan, self.plan.scenario
        self.relay = DatagramRelay(self.loop, plan.datagram_routes)
        self.relay.loss = day.peer_loss
        self.discovery = FakeDiscovery(
            self.loop, plan.discovery_address, day.endpoint_list_delay, self.records.append
        )
        try:
            with TaskGroup(self.loop) as scope:
                scope.spawn(self.relay.serve, priority=PEERS)
                scope.spawn(self.discovery.serve, priority=CONTROL)
                for work in self.extra_servers:
                    scope.spawn(work, priority=PEERS)
                self._start_all()
                self.http_clients = self._crowd()
                for step in day.steps:
                    scope.spawn(self._step, step, priority=CONTROL, name=step.fault)
                scope.spawn(self.http_clients.run, priority=REQUESTS, name="crowd")
                if day.quota_request_rate:
                    self.quota_clients = self._takers()
                    scope.spawn(self.quota_clients.run, priority=REQUESTS, name="crowd")
                while self._busy(scope):
                    self.loop.sleep(100_000)
                self.loop.sleep(SETTLE)
                self.fleet_backend.check_leaks()
                scope.cancel()
        finally:
            self.fleet_backend.end()
        return audit([*self.records, *self._node_records()], self.terms())

    def end_load(self) -> None:
        """No more clients ask, whatever is left of the day; steps under way go on."""
        for load in (self.http_clients, self.quota_clients):
            if load is not None:
                load.duration_us = 0

    def _busy(self, scope: TaskGroup) -> bool:
        names = {task.name for task in scope.children}
        return bool(names & {"crowd", *(step.fault for step in self.plan.scenario.steps)})

    def _start_all(self) -> None:
        assert self.discovery is not None
        for spec in self.plan.endpoints:
            self.fleet_backend.start_endpoint(spec)
        for spec in self.plan.endpoints:
            self._until_up(spec.address)
            self.discovery.endpoints[_text(spec.address)] = self._line(spec, "ready", 0)
            self.discovery.endpoint_names[_text(spec.address)] = spec.name
        for rank in range(len(self.plan.gateways)):
            self.fleet_backend.start_gateway(rank)
        for at in self.plan.gateways:
            self._until_up(at)
        while len(self.discovery.watchers) < len(self.plan.gateways):
            self.loop.sleep(10_000)
        self.loop.sleep(100_000)

    def _line(self, spec: EndpointSpec, phase: Any, launched: int) -> EndpointRecord:
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

    def _crowd(self) -> HttpClients:
        plan, day = self.plan, self.plan.scenario
        random = self.loop.backend.random
        names = list(plan.fleet.plans)
        subscribers = []
        for index, entry in enumerate(plan.customers):
            customer = make_customer(entry, plan.fleet, names)
            ranks = [
                (customer.replica_set_start + i) % day.gateway_count for i in range(customer.replica_set_size)
            ]
            random.shuffle(ranks)
            weight = plan.fleet.plans[entry.plan].rate * random.choice((0.4, 0.8, 0.8, 4.0))
            subscribers.append(ClientProfile(entry.id, _key(index), weight, tuple(ranks)))
        classes = dict(zip(plan.generation.class_names, plan.generation.classes, strict=True))
        kinds = [
            RequestKind(
                class_name=kind.class_name,
                share=kind.share,
                method=kind.method,
                target=kind.target,
                deadline_us=classes[kind.class_name].deadline_us,
                is_idempotent=classes[kind.class_name].idempotency.value == "safe",
                body_bytes=kind.body_bytes,
            )
            for kind in day.request_kinds
        ]
        doors = [(f"gw-{rank}", at) for rank, at in enumerate(plan.gateways)]
        return HttpClients(
            self.loop, doors, subscribers, kinds, day.request_rate, day.duration, self.records.append
        )

    def _takers(self) -> QuotaClients:
        """The same subscribers over the other front."""
        assert self.http_clients is not None
        doors = [(one.name, parse_host_port(one.resp)) for one in self.plan.fleet.gateways]
        day = self.plan.scenario
        return QuotaClients(
            self.loop,
            doors,
            self.http_clients.profiles,
            day.quota_request_rate,
            day.duration,
            self.records.append,
        )

    def terms(self) -> AuditLimits:
        """The rules' figures for the audit."""
        plan = self.plan
        ceilings, quotas = {}, {}
        for entry in plan.customers:
            quota = plan.fleet.plans[entry.plan]
            quotas[entry.id] = RateLimit(quota.rate, quota.burst)
            ceiling = plan.fleet.plans[entry.plan].ceiling
            if ceiling is not None:
                ceilings[entry.id] = CeilingLimit(ceiling.rate, ceiling.burst, ceiling.slack)
        return AuditLimits(
            classes=dict(zip(plan.generation.class_names, plan.generation.classes, strict=True)),
            drain_grace_us=plan.fleet.endpoints.drain_grace_us,
            response_slack_us=plan.scenario.response_slack,
            arrival_slack_us=plan.scenario.arrival_slack,
            ceilings=ceilings,
            quotas=quotas,
        )

    def write_records(self, folder: str) -> None:
        """Write what clients and the list saw, and the rules' figures, beside the nodes' records."""
        Path(folder, CLIENT_RECORDS_FILE).write_bytes(b"".join(map(encode, self.records)))
        Path(folder, LIMITS_FILE).write_bytes(msgspec.json.encode(self.terms(), enc_hook=int))

    def _node_records(self) -> list[Record]:
        found: list[Record] = []
        for spec in self.plan.endpoints:
            if not spec.records_path:
                continue
            found += decode(self.loop.backend.read_file(spec.records_path) or b"")
        return found

    # -- what befalls

    def _step(self, step: Step) -> None:
        self.loop.sleep(step.at)
        method: Callable[[Step], None] = getattr(self, f"_{step.fault}")
        method(step)

    def _kill_gateway(self, step: Step) -> None:
        self._end_gateways(step, kill=True)

    def _drain_gateway(self, step: Step) -> None:
        self._end_gateways(step, kill=False)

    def _end_gateways(self, step: Step, kill: bool) -> None:
        """One after another, as a deploy goes."""
        for rank in step.targets:
            self._claim(f"gw-{rank}")
            began = self.loop.now()
            self.fleet_backend.end_gateway(rank, kill)
            while not self.fleet_backend.gateway_ended(rank):
                self.loop.sleep(10_000)
            self.loop.sleep(step.restart_delay)
            self.fleet_backend.start_gateway(rank)
            self._until_up(self.plan.gateways[rank])
            self.records.append(Outage(f"gw-{rank}", began, self.loop.now(), "killed" if kill else "drained"))
            self._free(f"gw-{rank}")

    def _upgrade_gateway(self, step: Step) -> None:
        """One after another, in full service: what becomes of it is no excuse for anything.

        With a span, a successor that has not passed after that is killed.
        """
        for rank in step.targets:
            self._claim(f"gw-{rank}")
            self.fleet_backend.begin_upgrade(rank)
            until = self.loop.now() + step.duration
            while (passed := self.fleet_backend.upgrade_result(rank, self.loop)) is None:
                if step.duration and self.loop.now() >= until:
                    self.fleet_backend.kill_successor(rank)
                self.loop.sleep(20_000)
            self.upgrades[passed] += 1
            self._free(f"gw-{rank}")

    def _freeze_gateway(self, step: Step) -> None:
        began = self.loop.now()
        for rank in step.targets:
            self.fleet_backend.freeze_gateway(rank, True)
        self.loop.sleep(step.duration)
        for rank in step.targets:
            self.fleet_backend.freeze_gateway(rank, False)
            self.records.append(Outage(f"gw-{rank}", began, self.loop.now(), "still"))

    def _kill_node(self, step: Step) -> None:
        for index in step.targets:
            self._claim(f"node-{index}")
            self.fleet_backend.kill_endpoint(self.plan.endpoints[index].name)
            self._tell(index, "gone")
        self.loop.sleep(step.restart_delay)
        for index in step.targets:
            self._start_cold(index)

    def _drain_node(self, step: Step) -> None:
        """One after another: drain, end, come back cold."""
        for index in step.targets:
            self._claim(f"node-{index}")
            self._tell(index, "draining")
            self.loop.sleep(step.duration)
            self.fleet_backend.kill_endpoint(self.plan.endpoints[index].name)
            self._tell(index, "gone")
            self.loop.sleep(step.restart_delay)
            self._start_cold(index)

    def _start_cold(self, index: int) -> None:
        spec = msgspec.structs.replace(self.plan.endpoints[index], slow_start=True)
        launched = self.loop.now()
        self.fleet_backend.start_endpoint(spec)
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
        assert self.discovery is not None
        spec = self.plan.endpoints[index]
        self.discovery.set_endpoint(spec.name, self._line(spec, phase, launched))

    def _freeze_node(self, step: Step) -> None:
        began = self.loop.now()
        for index in step.targets:
            self.fleet_backend.freeze_endpoint(self.plan.endpoints[index].name, True)
        self.loop.sleep(step.duration)
        for index in step.targets:
            self.fleet_backend.freeze_endpoint(self.plan.endpoints[index].name, False)
            self.records.append(Outage(f"node-{index}", began, self.loop.now(), "still"))

    def _cut_peers(self, step: Step) -> None:
        """The gateways named are cut off from all others."""
        assert self.relay is not None
        others = [rank for rank in range(self.plan.scenario.gateway_count) if rank not in step.targets]
        pairs = {frozenset((one, other)) for one in step.targets for other in others}
        self.relay.cuts |= pairs
        self.loop.sleep(step.duration)
        self.relay.cuts -= pairs

    def _peer_faults(self, step: Step) -> None:
        assert self.relay is not None
        before = self.relay.loss, self.relay.duplication, self.relay.delay_us
        self.relay.loss, self.relay.duplication, self.relay.delay_us = (
            step.loss,
            step.duplication,
            (0, step.delay),
        )
        self.loop.sleep(step.duration)
        self.relay.loss, self.relay.duplication, self.relay.delay_us = before

    def _late_list(self, step: Step) -> None:
        assert self.discovery is not None
        before, self.discovery.delay_us = self.discovery.delay_us, (step.delay // 2, step.delay)
        self.loop.sleep(step.duration)
        self.discovery.delay_us = before

    def _node_faults(self, step: Step) -> None:
        chances = EndpointFaults(step.reset_before, step.reset_after, step.truncate, step.hang, step.reject)
        for index in step.targets:
            self._set_faults(index, chances)
        self.loop.sleep(step.duration)
        for index in step.targets:
            self._set_faults(index, EndpointFaults())

    def _set_faults(self, index: int, faults: EndpointFaults) -> None:
        body = json.dumps(msgspec.to_builtins(faults)).encode()
        head = f"POST {FAULTS_TARGET} HTTP/1.1\r\nhost: node\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        try:
            stream = self.loop.backend.connect(self.plan.endpoints[index].address, self.loop.now() + 500_000)
            stream.send(head + body)
            stream.recv(deadline=self.loop.now() + 500_000)
            stream.close()
        except EventLoopError:
            pass  # the node is down: it comes back without faults
