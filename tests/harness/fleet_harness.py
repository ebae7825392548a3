"""A fleet of platform gateways in the simulated backend, with clients, and endpoints in slow start.

Each gateway has its own discovery agent, which receives changes with its own lag. The seed determines the
whole run.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from harness.constants import MS, SECOND
from harness.fleet_discovery import DiscoveryAgents, complete_list
from harness.fleet_endpoints import (
    AGENT_NETWORK,
    GATEWAY_NETWORK,
    EndpointServers,
    FakeEndpoint,
    FleetParameters,
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

START_TIME_US = 200 * MS  # for the gateways to start before the load
CLIENT_TIMEOUT_US = 2 * SECOND


class Customer(NamedTuple):
    """A customer: the number of its plan, and its share of all requests."""

    plan: int
    share: float


class SimulatedFleet:
    """Gateways, discovery agents, endpoints and clients; ``run`` starts them and the load."""

    def __init__(
        self, parameters: FleetParameters, plans: list[dict], customers: list[Customer], seed: int = 1
    ) -> None:
        """Create a fleet; a customer's number is its index in the list."""
        self.parameters, self.plans, self.customers = parameters, plans, customers
        self.random = random.Random(seed)
        self.backend = SimulatedBackend(
            seed, NetworkFaults(delay_us=(100, 400), slow_probability=0.0, datagram_loss_probability=0.02)
        )
        self.loop = EventLoop(self.backend)
        self.endpoints = [FakeEndpoint(number, 0) for number in range(parameters.endpoints)]
        self.agents = DiscoveryAgents(self.loop, parameters)
        self.servers = EndpointServers(self.loop, parameters, self.random)
        self.gateways: list[PlatformGateway | None] = [None] * parameters.gateways
        self.processes: list[Process | None] = [None] * parameters.gateways
        self.requests: list[tuple[int, int]] = []  # time and customer
        self.statuses: dict[int, int] = {}
        self.scope: TaskGroup

    # Endpoints

    def add_endpoint(self) -> None:
        """Start one more endpoint, in slow start."""
        endpoint = FakeEndpoint(len(self.endpoints), self.loop.now())
        self.endpoints.append(endpoint)
        self.scope.spawn(self.servers.run_endpoint, self.scope, endpoint)
        self.agents.publish(endpoint)

    def remove_endpoint(self, endpoint: FakeEndpoint) -> None:
        """Remove an endpoint from discovery; it rejects all further requests."""
        endpoint.removed = True
        self.agents.publish(endpoint)

    # Gateways

    def start_gateway(self, rank: int) -> None:
        """Start the gateway of a rank; also used to restart it."""

        def run_gateway() -> None:
            gateway = PlatformGateway(self.loop, self._gateway_configuration(rank), "config.json")
            self.gateways[rank] = gateway
            gateway.run()

        self.processes[rank] = self.backend.start(f"n{rank}", run_gateway)

    def restart_gateway(self, rank: int) -> None:
        """Kill a gateway and start it again."""
        self.backend.kill(self.processes[rank])
        self.start_gateway(rank)

    def _gateway_configuration(self, rank: int) -> Configuration:
        gateways = self.parameters.gateways
        peers = [f"{fleet_address(GATEWAY_NETWORK, number)}:7946" for number in range(gateways)]
        content = configuration_file(
            name=f"n{rank}",
            listen=f"{fleet_address(GATEWAY_NETWORK, rank)}:8080",
            discovery=f"{fleet_address(AGENT_NETWORK, rank)}:8500",
            peer_listen=peers[rank],
            peers=peers,
            seed=f"{rank:x}",
            settings=self._gateway_settings(rank),
            known=complete_list(self.endpoints[: self.parameters.endpoints]),
        )
        return parse_configuration(json.dumps(content).encode(), "config.json")

    def _gateway_settings(self, rank: int) -> dict[str, Any]:
        parameters = self.parameters
        rules = {
            **settings()["rules"],
            "coldFrom": parameters.slow_start_initial_share,
            "warmWithin": parameters.slow_start_us,
            "fallMultiple": parameters.overload_multiple,
            "overloadFor": parameters.overload_window_us,
        }
        content = settings(rank=rank, balancers=parameters.gateways, packages=self.plans, rules=rules)
        content["permissions"] |= {"peers": True}
        return content

    # Clients

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
            quota_info=f"units=1,spread={self.parameters.gateways},first=0",
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

    # Run

    def run(self, run_faults: Callable[[SimulatedFleet], None]) -> SimulatedFleet:
        """Run the load for ``duration_us``, and ``run_faults(fleet)`` at the same time; return the fleet."""
        self.loop.run(self._run, run_faults)
        return self

    def _run(self, run_faults: Callable[[SimulatedFleet], None]) -> None:
        parameters = self.parameters
        self.agents.initial_endpoints = list(self.endpoints)
        with TaskGroup(self.loop) as scope:
            self.scope = scope
            for endpoint in self.endpoints:
                scope.spawn(self.servers.run_endpoint, scope, endpoint)
            for rank in range(parameters.gateways):
                scope.spawn(self.agents.run_agent, scope, rank, priority=CONTROL)
                self.start_gateway(rank)
            self.loop.sleep(START_TIME_US)
            rate = (
                parameters.load * parameters.requests_per_second * parameters.endpoints / parameters.gateways
            )
            for rank in range(parameters.gateways):
                scope.spawn(self._run_clients, rank, rate)
            started_at_us = self.loop.now()
            run_faults(self)
            self.loop.sleep(started_at_us + parameters.duration_us - self.loop.now())
            scope.cancel()
            for process in self.processes:
                self.backend.kill(process)
