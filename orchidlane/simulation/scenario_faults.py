"""Injects the faults of a scenario's steps into a running fleet."""

from __future__ import annotations

import contextlib
import json
from collections import Counter
from collections.abc import Callable, MutableSequence
from dataclasses import dataclass, field

import msgspec

from orchidlane.runtime import EventLoop, EventLoopError
from orchidlane.simulation.datagram_relay import DatagramRelay
from orchidlane.simulation.endpoint_spec import FAULTS_TARGET, EndpointFaults, EndpointSpec
from orchidlane.simulation.fake_discovery import EndpointPhase, FakeDiscovery, endpoint_record
from orchidlane.simulation.fleet_backend import FleetBackend, wait_until_listening
from orchidlane.simulation.observations import Outage, OutageReason, Record
from orchidlane.simulation.scenario import FaultKind, Step
from orchidlane.simulation.scenario_plan import ScenarioPlan

EXIT_POLL_INTERVAL_US = 10_000
HOT_RESTART_POLL_INTERVAL_US = 20_000
SET_FAULTS_TIMEOUT_US = 500_000


@dataclass
class FaultInjector:
    """Injects the faults of steps; outages of gateways and endpoints are added to ``records``."""

    loop: EventLoop
    plan: ScenarioPlan
    fleet_backend: FleetBackend
    relay: DatagramRelay
    discovery: FakeDiscovery
    records: MutableSequence[Record]
    # Number of hot restarts by whether the new process replaced the old one
    hot_restarts: Counter[bool] = field(default_factory=Counter)
    restarting: set[str] = field(default_factory=set)  # names of gateways and endpoints

    def run(self, step: Step) -> None:
        """Wait for a step's time, and inject its fault for the step's duration."""
        self.loop.sleep(step.at)
        self._injections()[step.fault](step)

    def _injections(self) -> dict[FaultKind, Callable[[Step], None]]:
        return {
            FaultKind.KILL_GATEWAY: self._kill_gateways,
            FaultKind.DRAIN_GATEWAY: self._drain_gateways,
            FaultKind.FREEZE_GATEWAY: self._freeze_gateways,
            FaultKind.HOT_RESTART_GATEWAY: self._hot_restart_gateways,
            FaultKind.KILL_ENDPOINT: self._kill_endpoints,
            FaultKind.DRAIN_ENDPOINT: self._drain_endpoints,
            FaultKind.FREEZE_ENDPOINT: self._freeze_endpoints,
            FaultKind.PARTITION: self._partition,
            FaultKind.DATAGRAM_FAULTS: self._disturb_datagrams,
            FaultKind.ENDPOINT_FAULTS: self._disturb_endpoints,
            FaultKind.DISCOVERY_DELAY: self._delay_discovery,
        }

    # Gateways

    def _kill_gateways(self, step: Step) -> None:
        self._restart_gateways(step, kill=True)

    def _drain_gateways(self, step: Step) -> None:
        self._restart_gateways(step, kill=False)

    def _restart_gateways(self, step: Step, kill: bool) -> None:
        """Stop and start gateways one after another, as a deployment does."""
        reason = OutageReason.KILLED if kill else OutageReason.DRAINED
        for rank in step.targets:
            name = f"gw-{rank}"
            self._claim(name)
            began_at = self.loop.now()
            self._stop_gateway(rank, kill)
            self.loop.sleep(step.restart_delay)
            self.fleet_backend.start_gateway(rank)
            wait_until_listening(self.loop, self.plan.gateways[rank])
            self._record_outage(name, began_at, reason)
            self._release(name)

    def _stop_gateway(self, rank: int, kill: bool) -> None:
        self.fleet_backend.stop_gateway(rank, kill)
        while not self.fleet_backend.gateway_has_exited(rank):
            self.loop.sleep(EXIT_POLL_INTERVAL_US)

    def _hot_restart_gateways(self, step: Step) -> None:
        """Hot-restart gateways one after another; no outage is recorded, even if a hot restart fails.

        If the step has a duration, a new process that has not replaced the old one by then is killed.
        """
        for rank in step.targets:
            name = f"gw-{rank}"
            self._claim(name)
            self.hot_restarts[self._hot_restart_gateway(rank, step.duration)] += 1
            self._release(name)

    def _hot_restart_gateway(self, rank: int, timeout_us: int) -> bool:
        """Run a hot restart; return whether the new process has replaced the old one."""
        self.fleet_backend.start_hot_restart(rank)
        deadline = self.loop.now() + timeout_us
        while (replaced := self.fleet_backend.hot_restart_result(rank, self.loop)) is None:
            if timeout_us and self.loop.now() >= deadline:
                self.fleet_backend.kill_new_process(rank)
            self.loop.sleep(HOT_RESTART_POLL_INTERVAL_US)
        return replaced

    def _freeze_gateways(self, step: Step) -> None:
        began_at = self.loop.now()
        for rank in step.targets:
            self.fleet_backend.freeze_gateway(rank, True)
        self.loop.sleep(step.duration)
        for rank in step.targets:
            self.fleet_backend.freeze_gateway(rank, False)
            self._record_outage(f"gw-{rank}", began_at, OutageReason.FROZEN)

    # Endpoints

    def _kill_endpoints(self, step: Step) -> None:
        """Kill endpoints at the same time, and start them one after another."""
        for spec in self._target_endpoints(step):
            self._claim(spec.name)
            self._kill_endpoint(spec)
        self.loop.sleep(step.restart_delay)
        for spec in self._target_endpoints(step):
            self._restart_endpoint(spec)
            self._release(spec.name)

    def _drain_endpoints(self, step: Step) -> None:
        """Drain, kill and start endpoints one after another."""
        for spec in self._target_endpoints(step):
            self._claim(spec.name)
            self._announce(spec, "draining")
            self.loop.sleep(step.duration)
            self._kill_endpoint(spec)
            self.loop.sleep(step.restart_delay)
            self._restart_endpoint(spec)
            self._release(spec.name)

    def _kill_endpoint(self, spec: EndpointSpec) -> None:
        self.fleet_backend.kill_endpoint(spec.name)
        self._announce(spec, "gone")

    def _restart_endpoint(self, spec: EndpointSpec) -> None:
        """Start an endpoint with a slow start, and announce it once it listens."""
        started_at_us = self.loop.now()
        self.fleet_backend.start_endpoint(msgspec.structs.replace(spec, slow_start=True))
        wait_until_listening(self.loop, spec.address)
        self._announce(spec, "ready", started_at_us)

    def _announce(self, spec: EndpointSpec, state: EndpointPhase, started_at_us: int = 0) -> None:
        self.discovery.set_endpoint(spec.name, endpoint_record(spec, state, started_at_us))

    def _freeze_endpoints(self, step: Step) -> None:
        began_at = self.loop.now()
        for spec in self._target_endpoints(step):
            self.fleet_backend.freeze_endpoint(spec.name, True)
        self.loop.sleep(step.duration)
        for spec in self._target_endpoints(step):
            self.fleet_backend.freeze_endpoint(spec.name, False)
            self._record_outage(spec.name, began_at, OutageReason.FROZEN)

    def _disturb_endpoints(self, step: Step) -> None:
        faults = EndpointFaults(step.reset_before, step.reset_after, step.truncate, step.hang, step.reject)
        for spec in self._target_endpoints(step):
            self._set_faults(spec, faults)
        self.loop.sleep(step.duration)
        for spec in self._target_endpoints(step):
            self._set_faults(spec, EndpointFaults())

    def _set_faults(self, spec: EndpointSpec, faults: EndpointFaults) -> None:
        """Set the faults of an endpoint; one that is down is skipped, and will start without faults."""
        body = json.dumps(msgspec.to_builtins(faults)).encode()
        head = f"POST {FAULTS_TARGET} HTTP/1.1\r\nhost: node\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        with contextlib.suppress(EventLoopError):
            stream = self.loop.backend.connect(spec.address, self.loop.now() + SET_FAULTS_TIMEOUT_US)
            stream.send(head + body)
            stream.recv(deadline=self.loop.now() + SET_FAULTS_TIMEOUT_US)
            stream.close()

    def _target_endpoints(self, step: Step) -> list[EndpointSpec]:
        return [self.plan.endpoints[index] for index in step.targets]

    # Networks

    def _partition(self, step: Step) -> None:
        """Drop all datagrams between the gateways of the step and all others."""
        others = [rank for rank in range(self.plan.scenario.gateway_count) if rank not in step.targets]
        pairs = {frozenset((rank, other)) for rank in step.targets for other in others}
        self.relay.cuts |= pairs
        self.loop.sleep(step.duration)
        self.relay.cuts -= pairs

    def _disturb_datagrams(self, step: Step) -> None:
        relay = self.relay
        previous = relay.loss, relay.duplication, relay.delay_us
        relay.loss, relay.duplication, relay.delay_us = step.loss, step.duplication, (0, step.delay)
        self.loop.sleep(step.duration)
        relay.loss, relay.duplication, relay.delay_us = previous

    def _delay_discovery(self, step: Step) -> None:
        previous = self.discovery.delay_us
        self.discovery.delay_us = (step.delay // 2, step.delay)
        self.loop.sleep(step.duration)
        self.discovery.delay_us = previous

    # Processes that restart, and outages

    def _claim(self, process: str) -> None:
        """Wait until no other step restarts a process, and mark it as restarting."""
        while process in self.restarting:
            self.loop.sleep(EXIT_POLL_INTERVAL_US)
        self.restarting.add(process)

    def _release(self, process: str) -> None:
        self.restarting.discard(process)

    def _record_outage(self, process: str, began_at: int, reason: OutageReason) -> None:
        self.records.append(Outage(process, began_at, self.loop.now(), reason))
