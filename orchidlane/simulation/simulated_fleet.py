"""A fleet backend that simulates gateways and endpoints in one process, with a virtual clock and a seed."""

from __future__ import annotations

from typing import NamedTuple

import msgspec
import structlog

from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import load_customers
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.hot_restart import new_process
from orchidlane.runtime import EventLoop, Process
from orchidlane.runtime.backend import Address, format_address
from orchidlane.runtime.simulated_backend import NetworkFaults, SimulatedBackend
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.endpoint_spec import EndpointSpec
from orchidlane.simulation.fake_endpoint import FakeEndpoint
from orchidlane.simulation.scenario import Scenario
from orchidlane.simulation.scenario_plan import SECRET, ScenarioPlan, customers_file, make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner, run_in_loop

FIRST_PORT = 20_000
FOLDER = "sim"


class NewProcess(NamedTuple):
    """The new process of a gateway's hot restart; ``gateways`` has one entry once it has started."""

    process: Process
    gateways: list[GatewayProcess]


class SimulatedFleetBackend:
    """Controls simulated gateways and endpoints, as a ``FleetBackend``; gateways record to ``record_to``."""

    def __init__(self, loop: EventLoop, backend: SimulatedBackend, record_to: str | None = None) -> None:
        self.loop = loop
        self.record_to = record_to
        self.backend = backend
        self.plan: ScenarioPlan
        self.processes: dict[str, Process] = {}
        self.gateway_processes: dict[int, GatewayProcess] = {}
        self.new_processes: dict[int, NewProcess] = {}
        self._last_port = FIRST_PORT

    def free_addresses(self, count: int) -> list[Address]:
        """Return addresses that nothing listens on."""
        self._last_port += count
        return [("127.0.0.1", self._last_port - i) for i in range(count)]

    def prepare(self, plan: ScenarioPlan) -> None:
        """Load the customers that real gateways read from a file."""
        self.plan = plan
        self.customers = load_customers(customers_file(plan), "customers.json", plan.fleet)

    def start_gateway(self, rank: int) -> None:
        """Start a gateway."""
        name = f"gw-{rank}"
        self.processes[name] = self.backend.start(name, self._run_gateway, self.gateway_settings(rank), rank)

    def gateway_settings(self, rank: int) -> FleetSettings:
        """Return one gateway's settings, in which its own datagram address replaces the relay's."""
        entries = list(self.plan.fleet.gateways)
        own_address = format_address(self.plan.datagram_routes[rank].gateway)
        entries[rank] = msgspec.structs.replace(entries[rank], peer=own_address)
        return msgspec.structs.replace(self.plan.fleet, gateways=tuple(entries))

    def make_gateway_process(
        self, fleet: FleetSettings, rank: int, is_hot_restart: bool = False
    ) -> GatewayProcess:
        """Return a gateway that has not been started."""
        snapshot = ConfigurationSnapshot(self.plan.generation, self.customers, structlog.get_logger(), False)
        return GatewayProcess(self.loop, fleet, rank, SECRET, snapshot, self.record_to, is_hot_restart)

    def _run_gateway(self, fleet: FleetSettings, rank: int) -> None:
        self.gateway_processes[rank] = self.make_gateway_process(fleet, rank)
        self.gateway_processes[rank].run()

    def start_hot_restart(self, rank: int) -> None:
        """Start the new process of a gateway's hot restart."""
        gateways: list[GatewayProcess] = []

        def run_new_process() -> None:
            gateways.append(self.make_gateway_process(self.gateway_settings(rank), rank, True))
            gateways[0].run()

        self.new_processes[rank] = NewProcess(self.backend.start(f"gw-{rank}", run_new_process), gateways)

    def kill_new_process(self, rank: int) -> None:
        """Kill the new process of a gateway's hot restart."""
        self.backend.kill(self.new_processes[rank].process)

    def hot_restart_result(self, rank: int, loop: EventLoop) -> bool | None:  # noqa: ARG002
        """Return whether the new process has replaced the old one; None while this is undecided."""
        process, gateways = self.new_processes[rank]
        if gateways and gateways[0].new_side.machine.phase is new_process.Phase.INDEPENDENT:
            self.processes[f"gw-{rank}"] = process
            self.gateway_processes[rank] = gateways[0]
            return True
        return False if process.is_dead or (gateways and not process.tasks) else None

    def stop_gateway(self, rank: int, kill: bool) -> None:
        """Kill a gateway, or start its graceful shutdown."""
        if kill:
            self.backend.kill(self.processes[f"gw-{rank}"])
        else:
            self.gateway_processes[rank].stop()

    def gateway_has_exited(self, rank: int) -> bool:
        """Return whether a gateway that is being stopped has exited."""
        process = self.processes[f"gw-{rank}"]
        if process.tasks:
            return False
        self.backend.kill(process)  # closes its sockets and files, as a kernel does
        return True

    def freeze_gateway(self, rank: int, frozen: bool) -> None:
        """Suspend a gateway, or resume it."""
        self._freeze(f"gw-{rank}", frozen)

    def _freeze(self, name: str, frozen: bool) -> None:
        change = self.loop.freeze if frozen else self.loop.thaw
        change(self.processes[name])

    def start_endpoint(self, spec: EndpointSpec) -> None:
        """Start an endpoint."""
        self.processes[spec.name] = self.backend.start(spec.name, lambda: FakeEndpoint(self.loop, spec).run())

    def kill_endpoint(self, name: str) -> None:
        """Kill an endpoint."""
        self.backend.kill(self.processes[name])

    def freeze_endpoint(self, name: str, frozen: bool) -> None:
        """Suspend an endpoint, or resume it."""
        self._freeze(name, frozen)

    def check_leaks(self) -> None:
        """Check that no gateway keeps state of finished requests or attempts.

        A leak would make a gateway reject requests indefinitely. Raises AssertionError.
        """
        for rank, gateway_process in self.gateway_processes.items():
            if self.processes[f"gw-{rank}"].is_dead:
                continue
            driver = gateway_process.policy_driver
            leaked_counts = (
                len(driver.requests),
                len(driver.attempts),
                len(driver.gateway.requests),
                len(driver.gateway.attempts),
            )
            in_flight = sum(endpoint.in_flight for endpoint in driver.gateway.endpoints.values())
            if any((*leaked_counts, in_flight)):
                raise AssertionError(
                    f"gw-{rank} leaked requests or attempts: {leaked_counts}, {in_flight} in flight"
                )

    def stop_all(self) -> None:
        """Kill all processes that run."""
        for process in self.processes.values():
            if not process.is_dead:
                self.backend.kill(process)


def simulate(scenario: Scenario, seed: int, faults: NetworkFaults | None = None) -> Verdict:
    """Run a scenario in a simulation; the same seed gives the same run."""
    backend = SimulatedBackend(seed, faults)
    loop = EventLoop(backend)
    fleet_backend = SimulatedFleetBackend(loop, backend)
    plan = make_plan(scenario, FOLDER, fleet_backend.free_addresses)
    fleet_backend.prepare(plan)
    return run_in_loop(ScenarioRunner(loop, plan, fleet_backend))
