"""Runs a scenario: the fleet with its fake endpoints and discovery, the load, the faults, and the audit.

The same runner is used with both fleet backends: processes that are controlled by signals, and a simulation
of the whole fleet in one process with a virtual clock.
"""

from __future__ import annotations

from collections.abc import Callable, MutableSequence
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from orchidlane.runtime import CONTROL, PEERS, REQUESTS, EventLoop, Task, TaskGroup
from orchidlane.simulation.audit import Verdict, audit
from orchidlane.simulation.datagram_relay import DatagramRelay
from orchidlane.simulation.fake_discovery import FakeDiscovery, endpoint_record
from orchidlane.simulation.fleet_backend import FleetBackend, wait_until_listening
from orchidlane.simulation.http_clients import HttpClients
from orchidlane.simulation.observations import CLIENT_RECORDS_FILE, LIMITS_FILE, Record, decode, encode
from orchidlane.simulation.quota_clients import QuotaClients
from orchidlane.simulation.scenario_faults import FaultInjector
from orchidlane.simulation.scenario_load import make_http_clients, make_quota_clients
from orchidlane.simulation.scenario_plan import ScenarioPlan, audit_limits

SETTLE_TIME_US = 1_500_000  # from the end of the load until the check for leaks
POLL_INTERVAL_US = 100_000
WATCH_POLL_INTERVAL_US = 10_000


@dataclass
class ScenarioRunner:
    """Runs a plan on a fleet backend; ``records`` collects what clients and discovery observe."""

    loop: EventLoop
    plan: ScenarioPlan
    fleet_backend: FleetBackend
    records: MutableSequence[Record] = field(default_factory=list)
    relay: DatagramRelay | None = None
    discovery: FakeDiscovery | None = None
    http_clients: HttpClients | None = None
    quota_clients: QuotaClients | None = None
    extra_servers: list[Callable[[], None]] = field(default_factory=list)  # each one runs as a task

    def run(self) -> Verdict:
        """Start the fleet, run the scenario, stop the fleet, and return the audit's verdict."""
        plan, scenario = self.plan, self.plan.scenario
        self.relay = DatagramRelay(self.loop, plan.datagram_routes)
        self.relay.loss = scenario.peer_loss
        self.discovery = FakeDiscovery(
            self.loop, plan.discovery_address, scenario.endpoint_list_delay, self.records.append
        )
        injector = FaultInjector(
            self.loop, plan, self.fleet_backend, self.relay, self.discovery, self.records
        )
        try:
            with TaskGroup(self.loop) as scope:
                self._serve(scope, self.relay, self.discovery)
                self._start_fleet(self.discovery)
                self._await_all(scope, self._spawn_load(scope, injector))
                self.loop.sleep(SETTLE_TIME_US)
                self.fleet_backend.check_leaks()
                scope.cancel()
        finally:
            self.fleet_backend.stop_all()
        return audit([*self.records, *self._endpoint_records()], audit_limits(plan))

    def stop_load(self) -> None:
        """Stop sending requests; the steps of the scenario are not affected."""
        for clients in (self.http_clients, self.quota_clients):
            if clients is not None:
                clients.duration_us = 0

    def write_records(self, folder: str) -> None:
        """Write the observations and the audit's limits beside the records of the endpoints."""
        Path(folder, CLIENT_RECORDS_FILE).write_bytes(b"".join(map(encode, self.records)))
        limits = msgspec.json.encode(audit_limits(self.plan), enc_hook=int)
        Path(folder, LIMITS_FILE).write_bytes(limits)

    def _serve(self, scope: TaskGroup, relay: DatagramRelay, discovery: FakeDiscovery) -> None:
        scope.spawn(relay.serve, priority=PEERS)
        scope.spawn(discovery.serve, priority=CONTROL)
        for serve in self.extra_servers:
            scope.spawn(serve, priority=PEERS)

    def _start_fleet(self, discovery: FakeDiscovery) -> None:
        """Start endpoints, then gateways, and wait until all gateways watch the endpoint list."""
        for spec in self.plan.endpoints:
            self.fleet_backend.start_endpoint(spec)
        for spec in self.plan.endpoints:
            wait_until_listening(self.loop, spec.address)
            discovery.add_endpoint(spec.name, endpoint_record(spec, "ready"))
        for rank in range(len(self.plan.gateways)):
            self.fleet_backend.start_gateway(rank)
        for address in self.plan.gateways:
            wait_until_listening(self.loop, address)
        while len(discovery.watchers) < len(self.plan.gateways):
            self.loop.sleep(WATCH_POLL_INTERVAL_US)
        self.loop.sleep(POLL_INTERVAL_US)

    def _spawn_load(self, scope: TaskGroup, injector: FaultInjector) -> list[Task]:
        """Start the clients and the faults of all steps; return their tasks."""
        scenario, record = self.plan.scenario, self.records.append
        self.http_clients = make_http_clients(self.loop, self.plan, record)
        tasks = [scope.spawn(injector.run, step, priority=CONTROL) for step in scenario.steps]
        tasks.append(scope.spawn(self.http_clients.run, priority=REQUESTS))
        if scenario.quota_request_rate:
            profiles = self.http_clients.profiles
            self.quota_clients = make_quota_clients(self.loop, self.plan, profiles, record)
            tasks.append(scope.spawn(self.quota_clients.run, priority=REQUESTS))
        return tasks

    def _await_all(self, scope: TaskGroup, tasks: list[Task]) -> None:
        while any(task in scope.children for task in tasks):
            self.loop.sleep(POLL_INTERVAL_US)

    def _endpoint_records(self) -> list[Record]:
        records: list[Record] = []
        for spec in self.plan.endpoints:
            if spec.records_path:
                records += decode(self.loop.backend.read_file(spec.records_path) or b"")
        return records


def run_in_loop(runner: ScenarioRunner, extra_task: Callable[[], None] | None = None) -> Verdict:
    """Run a scenario and an extra task in the runner's event loop; return the verdict."""
    loop = runner.loop
    verdicts: list[Verdict] = []

    def run() -> None:
        if extra_task is not None:
            loop.spawn(extra_task, process=loop.main_process)
        verdicts.append(runner.run())

    loop.run(run)
    return verdicts[0]
