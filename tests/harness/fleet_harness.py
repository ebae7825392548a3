"""A fleet of platform gateways in the simulated backend, with hosts in slow start and clients.

Each gateway has a discovery agent of its own, which learns of changes with a lag of its own. One
seed determines the whole run.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from harness.constants import MS, SECOND
from harness.fleet_discovery import DiscoveryAgents, complete_list
from harness.fleet_hosts import (
    AGENT_NETWORK,
    GATEWAY_NETWORK,
    FakeHost,
    FleetTerms,
    HostServers,
    fleet_address,
)
from harness.platform_harness import call, configuration_file, settings
from orchidlane.platform.configuration import Configuration, parse_configuration
from orchidlane.platform.lifecycle import PlatformGateway
from orchidlane.runtime import (
    CONTROL,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    Process,
    TaskGroup,
)
from orchidlane.runtime.simulated_backend import NetworkFaults, SimulatedBackend

START_TIME_US = 200 * MS  # of the gateways, before the load
CLIENT_TIMEOUT_US = 2 * SECOND


class Customer(NamedTuple):
    """A customer: the number of its plan, and its share of all requests."""

    plan: int
    share: float


class SimulatedFleet:
    """Gateways, discovery agents, hosts and clients; ``run`` runs them."""

    def __init__(
        self, terms: FleetTerms, plans: list[dict], customers: list[Customer], seed: int = 1
    ) -> None:
        """Make a fleet; a customer's number is its place in the list."""
        self.terms, self.plans, self.customers = terms, plans, customers
        self.random = random.Random(seed)
        self.backend = SimulatedBackend(
            seed, NetworkFaults(delay_us=(100, 400), slow_probability=0.0, datagram_loss_probability=0.02)
        )
        self.loop = EventLoop(self.backend)
        self.hosts = [FakeHost(number, 0) for number in range(terms.hosts)]
        self.agents = DiscoveryAgents(self.loop, terms)
        self.servers = HostServers(self.loop, terms, self.random)
        self.gateways: list[PlatformGateway | None] = [None] * terms.gateways
        self.processes: list[Process | None] = [None] * terms.gateways
        self.requests: list[tuple[int, int]] = []  # time and customer
        self.statuses: dict[int, int] = {}
        self.scope: TaskGroup

    # -- hosts

    def add_host(self) -> None:
        """Start one more host, in slow start."""
        host = FakeHost(len(self.hosts), self.loop.now())
        self.hosts.append(host)
        self.scope.spawn(self.servers.run_host, self.scope, host)
        self.agents.publish(host)

    def remove_host(self, host: FakeHost) -> None:
        """Remove a host; the requests that it has are not answered."""
        host.removed = True
        self.agents.publish(host)

    # -- gateways

    def start_gateway(self, rank: int) -> None:
        """Start a gateway, for the first time or again."""

        def work() -> None:
            gateway = PlatformGateway(self.loop, self._gateway_configuration(rank), "config.json")
            self.gateways[rank] = gateway
            gateway.run()

        self.processes[rank] = self.backend.start(f"n{rank}", work)

    def restart_gateway(self, rank: int) -> None:
        """Kill a gateway and start it again."""
        self.backend.kill(self.processes[rank])
        self.start_gateway(rank)

    def _gateway_configuration(self, rank: int) -> Configuration:
        gateways = self.terms.gateways
        peers = [f"{fleet_address(GATEWAY_NETWORK, number)}:7946" for number in range(gateways)]
        content = configuration_file(
            name=f"n{rank}",
            listen=f"{fleet_address(GATEWAY_NETWORK, rank)}:8080",
            discovery=f"{fleet_address(AGENT_NETWORK, rank)}:8500",
            peer_listen=peers[rank],
            peers=peers,
            seed=f"{rank:x}",
            settings=self._gateway_settings(rank),
            known=complete_list(self.hosts[: self.terms.hosts]),
        )
        return parse_configuration(json.dumps(content).encode(), "config.json")

    def _gateway_settings(self, rank: int) -> dict[str, Any]:
        terms = self.terms
        rules = {
            **settings()["rules"],
            "coldFrom": terms.slow_start_initial_share,
            "warmWithin": terms.slow_start_us,
            "fallMultiple": terms.overload_multiple,
            "overloadFor": terms.overload_window_us,
        }
        content = settings(rank=rank, balancers=terms.gateways, packages=self.plans, rules=rules)
        content["permissions"] |= {"peers": True}
        return content

    # -- clients

    def _run_clients(self, rank: int, requests_per_second: float) -> None:
        weights = [customer.share for customer in self.customers]
        while True:
            self.loop.sleep(int(self.random.expovariate(requests_per_second) * SECOND))
            customer = self.random.choices(range(len(self.customers)), weights)[0]
            self.scope.spawn(self._send_request, rank, customer)

    def _send_request(self, rank: int, customer: int) -> None:
        raw = call(
            client=f"{customer:016x}",
            plan=self.plans[self.customers[customer].plan]["name"],
            timeout="1.000",
            quota_info=f"units=1,spread={self.terms.gateways},first=0",
        )
        self.requests.append((self.loop.now(), customer))
        try:
            stream = self.backend.connect((fleet_address(GATEWAY_NETWORK, rank), 8080))
            stream.send(raw)
            status = int(stream.recv(deadline=self.loop.now() + CLIENT_TIMEOUT_US)[9:12] or b"0")
            stream.close()
        except (ConnectionClosedError, DeadlineExceededError, ConnectionFailedError):
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1

    # -- the run

    def run(self, during: Callable[[SimulatedFleet], None]) -> SimulatedFleet:
        """Run the load for the duration, and ``during(fleet)`` beside it."""
        self.loop.run(self._run, during)
        return self

    def _run(self, during: Callable[[SimulatedFleet], None]) -> None:
        terms = self.terms
        self.agents.initial_hosts = list(self.hosts)
        with TaskGroup(self.loop) as scope:
            self.scope = scope
            for host in self.hosts:
                scope.spawn(self.servers.run_host, scope, host)
            for rank in range(terms.gateways):
                scope.spawn(self.agents.run_agent, scope, rank, priority=CONTROL)
                self.start_gateway(rank)
            self.loop.sleep(START_TIME_US)
            rate = terms.load * terms.requests_per_second * terms.hosts / terms.gateways
            for rank in range(terms.gateways):
                scope.spawn(self._run_clients, rank, rate)
            started_at_us = self.loop.now()
            during(self)
            self.loop.sleep(started_at_us + terms.duration_us - self.loop.now())
            scope.cancel()
            for process in self.processes:
                self.backend.kill(process)
