"""A fleet backend whose gateways and endpoints are processes of this machine."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec

from orchidlane.gateway.control.settings_loader import hot_restart_address
from orchidlane.gateway.lifecycle.status_query import request_status
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.runtime.backend import Address
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.endpoint_spec import EndpointSpec
from orchidlane.simulation.loopback_addresses import free_addresses
from orchidlane.simulation.scenario import Scenario
from orchidlane.simulation.scenario_plan import (
    SECRET,
    ScenarioPlan,
    customers_file,
    gateway_settings,
    make_plan,
)
from orchidlane.simulation.scenario_runner import ScenarioRunner, run_in_loop
from orchidlane.simulation.successors import (
    HOT_RESTART_TIMEOUT_S,
    addresses_with_new_process,
    kill_serving_process,
)

EXIT_TIMEOUT_S = 15.0


def loopback_host() -> str:
    """Return a loopback address that only this process uses: no other process takes its free ports."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 15) % 250}.{(pid >> 7) & 0xFF}.{1 + (pid & 0x7F)}"


class ProcessFleetBackend:
    """Controls processes by signals, as a ``FleetBackend``; their output goes to files in the folder."""

    def __init__(self, folder: str, records: bool = False) -> None:
        self.folder = Path(folder)
        self.record_arguments = ("--record", folder) if records else ()
        self.plan: ScenarioPlan
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.new_processes: dict[int, subprocess.Popen[bytes]] = {}
        self.replaced_processes: list[subprocess.Popen[bytes]] = []
        self._allocated: set[Address] = set()

    def free_addresses(self, count: int) -> list[Address]:
        """Return addresses that nothing listens on, and that no earlier call returned."""
        addresses = free_addresses(count, loopback_host(), self._allocated)
        self._allocated.update(addresses)
        return addresses

    def prepare(self, plan: ScenarioPlan) -> None:
        """Write the files that the gateways read: customers, secret and settings."""
        self.plan = plan
        (self.folder / "customers.json").write_bytes(customers_file(plan))
        secret = os.open(plan.secret_file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        os.write(secret, SECRET)
        os.close(secret)
        for rank in range(plan.scenario.gateway_count):
            (self.folder / f"gw-{rank}.cue").write_text(gateway_settings(plan, rank))

    def start_process(
        self, name: str, *arguments: str, inherited_fds: tuple[int, ...] = ()
    ) -> subprocess.Popen[bytes]:
        """Start the program with its output in the log ``<name>.log``."""
        with open(self.folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "orchidlane", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=inherited_fds,
            )

    def gateway_arguments(self, rank: int) -> tuple[str, ...]:
        """Return the program's arguments for a gateway."""
        settings = str(self.folder / f"gw-{rank}.cue")
        return "gateway", settings, "--rank", str(rank), *self.record_arguments

    def start_gateway(self, rank: int) -> None:
        """Start a gateway."""
        name = f"gw-{rank}"
        self.processes[name] = self.start_process(name, *self.gateway_arguments(rank))

    def start_hot_restart(self, rank: int) -> None:
        """Start the new process of a gateway's hot restart."""
        arguments = (*self.gateway_arguments(rank), "--take-over")
        self.new_processes[rank] = self.start_process(f"gw-{rank}", *arguments)

    def kill_new_process(self, rank: int) -> None:
        """Kill the new process of a gateway's hot restart."""
        self.new_processes[rank].kill()

    def hot_restart_result(self, rank: int, loop: EventLoop) -> bool | None:
        """Return whether the new process has replaced the old one; None while this is undecided."""
        process = self.new_processes[rank]
        if process.poll() is not None:
            return False
        status = request_status(loop, self._hot_restart_address(rank))
        if status is None or status.pid != process.pid:
            return None
        self.replaced_processes.append(self.processes[f"gw-{rank}"])
        self.processes[f"gw-{rank}"] = process
        return True

    def _hot_restart_address(self, rank: int) -> Address:
        return f"{self.folder}/gw-{rank}.upgrade", 0

    def _hot_restart_addresses(self) -> list[Address]:
        """Return the gateways' hot restart addresses; none if the path of a Unix socket would be too long."""
        fleet = self.plan.fleet
        try:
            addresses = [hot_restart_address(fleet, entry) for entry in fleet.gateways]
        except ValueError:
            return []
        return [address for address in addresses if address is not None]

    def stop_gateway(self, rank: int, kill: bool) -> None:
        """Kill a gateway, or start its graceful shutdown."""
        self.processes[f"gw-{rank}"].send_signal(signal.SIGKILL if kill else signal.SIGTERM)

    def gateway_has_exited(self, rank: int) -> bool:
        """Return whether a gateway that is being stopped has exited."""
        return self.processes[f"gw-{rank}"].poll() is not None

    def freeze_gateway(self, rank: int, frozen: bool) -> None:
        """Suspend a gateway, or resume it."""
        self._freeze(f"gw-{rank}", frozen)

    def _freeze(self, name: str, frozen: bool) -> None:
        self.processes[name].send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    def start_endpoint(self, spec: EndpointSpec) -> None:
        """Start an endpoint."""
        path = self.folder / f"{spec.name}.json"
        path.write_bytes(msgspec.json.encode(spec))
        self.processes[spec.name] = self.start_process(spec.name, "lab-node", str(path))

    def kill_endpoint(self, name: str) -> None:
        """Kill an endpoint."""
        self.processes[name].kill()
        self.processes[name].wait(EXIT_TIMEOUT_S)

    def freeze_endpoint(self, name: str, frozen: bool) -> None:
        """Suspend an endpoint, or resume it."""
        self._freeze(name, frozen)

    def check_leaks(self) -> None:
        """Check nothing: the state of another process is not accessible."""

    def stop_all(self) -> None:
        """Kill all processes that run, also the new processes that ``orchidlane upgrade`` has started."""
        addresses = self._hot_restart_addresses()
        restarting = addresses_with_new_process(addresses)
        self._kill_started_processes()
        for address in addresses:
            kill_serving_process(address, HOT_RESTART_TIMEOUT_S if address in restarting else 0.0)

    def _kill_started_processes(self) -> None:
        started = [*self.processes.values(), *self.new_processes.values(), *self.replaced_processes]
        for process in started:
            if process.poll() is None:
                process.kill()
        for process in started:
            process.wait(EXIT_TIMEOUT_S)


def run_processes(scenario: Scenario, seed: int, folder: str | None = None) -> Verdict:
    """Run a scenario with processes on the loopback interface, and return the verdict.

    If a folder is given, logs and records of the traffic are kept there.
    """
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as temporary_folder:
        fleet_backend = ProcessFleetBackend(folder or temporary_folder, records=folder is not None)
        plan = make_plan(scenario, folder or temporary_folder, fleet_backend.free_addresses)
        fleet_backend.prepare(plan)
        runner = ScenarioRunner(EventLoop(RealBackend(seed)), plan, fleet_backend)
        verdict = run_in_loop(runner)
        if folder is not None:
            runner.write_records(folder)
        return verdict
