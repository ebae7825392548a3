"""The two backings of a day: processes with real signals, and parts of a simulated world."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
from collections.abc import Callable
from pathlib import Path

import msgspec
import structlog

from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import load_customers
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import hot_restart_address
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.lifecycle.status_query import request_status
from orchidlane.hot_restart import new_process
from orchidlane.runtime import EventLoop, NetworkFaults, Process, RealBackend, SimulatedBackend
from orchidlane.runtime.backend import Address
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.fake_endpoint import EndpointSpec, FakeEndpoint
from orchidlane.simulation.scenario import (
    SECRET,
    Scenario,
    ScenarioPlan,
    ScenarioRunner,
    customers_file,
    gateway_settings,
    make_plan,
)

WARM_UP_REQUESTS = 120  # requests before any work begins
EXIT_TIMEOUT_S = 15.0  # seconds for a process to end by itself


class SimulatedFleetBackend:
    """Everything in one process, under a virtual clock, from one seed."""

    def __init__(self, loop: EventLoop, backend: SimulatedBackend, record_to: str | None = None) -> None:
        self.loop = loop
        self.record_to = record_to
        self.backend = backend
        self.plan: ScenarioPlan
        self.settings: list[str] = []
        self.processes: dict[str, Process] = {}
        self.gateway_processes: dict[int, GatewayProcess] = {}
        self.successors: dict[int, tuple[Process, list[GatewayProcess]]] = {}
        self._next = 20_000

    def free_addresses(self, count: int) -> list[Address]:
        self._next += count
        return [("127.0.0.1", self._next - i) for i in range(count)]

    def prepare(self, plan: ScenarioPlan) -> None:
        """What the gateways' files hold."""
        self.plan = plan
        self.customers = load_customers(customers_file(plan), "customers.json", plan.fleet)

    def start_gateway(self, rank: int) -> None:
        process = self.backend.start(f"gw-{rank}", self._gateway, self.gateway_settings(rank), rank)
        self.processes[f"gw-{rank}"] = process

    def gateway_settings(self, rank: int) -> FleetSettings:
        """The settings of one gateway: its own datagrams' address in place of the relay's."""
        entries = list(self.plan.fleet.gateways)
        own = self.plan.datagram_routes[rank][1]
        entries[rank] = msgspec.structs.replace(entries[rank], peer=f"{own[0]}:{own[1]}")
        return msgspec.structs.replace(self.plan.fleet, gateways=tuple(entries))

    def make_gateway_process(
        self, fleet: FleetSettings, rank: int, take_over: bool = False
    ) -> GatewayProcess:
        """A gateway that does not run yet."""
        knowledge = ConfigurationSnapshot(self.plan.generation, self.customers, structlog.get_logger(), False)
        return GatewayProcess(self.loop, fleet, rank, SECRET, knowledge, self.record_to, take_over)

    def _gateway(self, fleet: FleetSettings, rank: int) -> None:
        self.gateway_processes[rank] = self.make_gateway_process(fleet, rank)
        self.gateway_processes[rank].run()

    def begin_upgrade(self, rank: int) -> None:
        found: list[GatewayProcess] = []

        def succeed() -> None:
            found.append(self.make_gateway_process(self.gateway_settings(rank), rank, True))
            found[0].run()

        self.successors[rank] = self.backend.start(f"gw-{rank}", succeed), found

    def kill_successor(self, rank: int) -> None:
        self.backend.kill(self.successors[rank][0])

    def upgrade_result(self, rank: int, loop: EventLoop) -> bool | None:
        process, found = self.successors[rank]
        if found and found[0].new_side.machine.phase is new_process.Phase.INDEPENDENT:
            self.processes[f"gw-{rank}"], self.gateway_processes[rank] = process, found[0]
            return True
        return False if process.is_dead or (found and not process.tasks) else None

    def end_gateway(self, rank: int, kill: bool) -> None:
        if kill:
            self.backend.kill(self.processes[f"gw-{rank}"])
        else:
            self.gateway_processes[rank].stop()

    def gateway_ended(self, rank: int) -> bool:
        process = self.processes[f"gw-{rank}"]
        if process.tasks:
            return False
        self.backend.kill(process)  # what it had open goes with it, as a kernel would see to
        return True

    def freeze_gateway(self, rank: int, frozen: bool) -> None:
        self._freeze(f"gw-{rank}", frozen)

    def _freeze(self, name: str, frozen: bool) -> None:
        (self.loop.freeze if frozen else self.loop.thaw)(self.processes[name])

    def start_endpoint(self, spec: EndpointSpec) -> None:
        self.processes[spec.name] = self.backend.start(spec.name, lambda: FakeEndpoint(self.loop, spec).run())

    def kill_endpoint(self, name: str) -> None:
        self.backend.kill(self.processes[name])

    def freeze_endpoint(self, name: str, frozen: bool) -> None:
        self._freeze(name, frozen)

    def check_leaks(self) -> None:
        """Nothing may be left behind once all is answered: what leaks makes a gateway refuse for ever."""
        for rank, program in self.gateway_processes.items():
            host = program.policy_driver
            left = (
                len(host.requests),
                len(host.attempts),
                len(host.gateway.requests),
                len(host.gateway.attempts),
            )
            out = sum(known.in_flight for known in host.gateway.endpoints.values())
            if any((*left, out)) and not self.processes[f"gw-{rank}"].is_dead:
                raise AssertionError(f"gw-{rank} left behind: {left}, {out} out")

    def end(self) -> None:
        for process in self.processes.values():
            if not process.is_dead:
                self.backend.kill(process)


def simulate(day: Scenario, seed: int, faults: NetworkFaults | None = None) -> Verdict:
    """Play a day in the simulated world."""
    backend = SimulatedBackend(seed, faults)
    loop = EventLoop(backend)
    backing = SimulatedFleetBackend(loop, backend)
    plan = make_plan(day, "sim", backing.free_addresses)
    backing.prepare(plan)
    runner = ScenarioRunner(loop, plan, backing)
    found: list[Verdict] = []
    loop.run(lambda: found.append(runner.run()))
    return found[0]


def own_host() -> str:
    """A loopback address of this process alone: nobody else takes a port of it before its owner listens."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 15) % 250}.{(pid >> 7) & 0xFF}.{1 + (pid & 0x7F)}"


class ProcessFleetBackend:
    """Gateways and nodes as processes of this machine; what they print goes to files in the folder."""

    def __init__(self, folder: str, records: bool = False) -> None:
        self.folder = Path(folder)
        self.records = ("--record", folder) if records else ()
        self.plan: ScenarioPlan
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.successors: dict[int, subprocess.Popen[bytes]] = {}
        self.replaced_processes: list[subprocess.Popen[bytes]] = []
        self._given: set[Address] = set()

    def free_addresses(self, count: int) -> list[Address]:
        held: list[socket.socket] = []
        places: list[Address] = []
        while len(places) < count:
            held.append(socket.socket())
            held[-1].bind((own_host(), 0))
            at = held[-1].getsockname()
            if at not in self._given:  # by an earlier call, and perhaps not listened at yet
                places.append(at)
        for sock in held:
            sock.close()
        self._given.update(places)
        return places

    def prepare(self, plan: ScenarioPlan) -> None:
        """Write the gateways' files."""
        self.plan = plan
        (self.folder / "customers.json").write_bytes(customers_file(plan))
        secret = os.open(plan.secret_file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        os.write(secret, SECRET)
        os.close(secret)
        for rank in range(plan.scenario.gateway_count):
            (self.folder / f"gw-{rank}.cue").write_text(gateway_settings(plan, rank))

    def _start(self, name: str, *arguments: str) -> None:
        self.processes[name] = self._process(name, *arguments)

    def _process(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        with open(self.folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "orchidlane", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_gateway(self, rank: int) -> None:
        self._start(f"gw-{rank}", *self._gateway_arguments(rank))

    def _gateway_arguments(self, rank: int) -> tuple[str, ...]:
        return "gateway", str(self.folder / f"gw-{rank}.cue"), "--rank", str(rank), *self.records

    def begin_upgrade(self, rank: int) -> None:
        self.successors[rank] = self._process(f"gw-{rank}", *self._gateway_arguments(rank), "--take-over")

    def kill_successor(self, rank: int) -> None:
        self.successors[rank].kill()

    def upgrade_result(self, rank: int, loop: EventLoop) -> bool | None:
        own = self.successors[rank]
        if own.poll() is not None:
            return False
        status = request_status(loop, (f"{self.folder}/gw-{rank}.upgrade", 0))
        if status is None or status.pid != own.pid:
            return None
        self.replaced_processes.append(self.processes[f"gw-{rank}"])
        self.processes[f"gw-{rank}"] = own
        return True

    def end_gateway(self, rank: int, kill: bool) -> None:
        self.processes[f"gw-{rank}"].send_signal(signal.SIGKILL if kill else signal.SIGTERM)

    def gateway_ended(self, rank: int) -> bool:
        return self.processes[f"gw-{rank}"].poll() is not None

    def freeze_gateway(self, rank: int, frozen: bool) -> None:
        self._freeze(f"gw-{rank}", frozen)

    def _freeze(self, name: str, frozen: bool) -> None:
        self.processes[name].send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    def start_endpoint(self, spec: EndpointSpec) -> None:
        file = self.folder / f"{spec.name}.json"
        file.write_bytes(msgspec.json.encode(spec))
        self._start(spec.name, "lab-node", str(file))

    def kill_endpoint(self, name: str) -> None:
        self.processes[name].kill()
        self.processes[name].wait(EXIT_TIMEOUT_S)

    def freeze_endpoint(self, name: str, frozen: bool) -> None:
        self._freeze(name, frozen)

    def check_leaks(self) -> None:
        """Only the sockets tell of processes."""

    def end(self) -> None:
        started = [*self.processes.values(), *self.successors.values(), *self.replaced_processes]
        for process in started:
            if process.poll() is None:
                process.kill()
        for process in started:
            process.wait(EXIT_TIMEOUT_S)


def run_processes(day: Scenario, seed: int, folder: str | None = None) -> Verdict:
    """Play a day on this machine's loopback sockets; with a folder, gateways record their traffic there."""
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as own:
        backing = ProcessFleetBackend(folder or own, records=folder is not None)
        plan = make_plan(day, folder or own, backing.free_addresses)
        backing.prepare(plan)
        loop = EventLoop(RealBackend(seed))
        runner = ScenarioRunner(loop, plan, backing)
        found: list[Verdict] = []
        loop.run(lambda: found.append(runner.run()))
        if folder is not None:
            runner.write_records(folder)
        return found[0]


def run_beside_load(
    runner: ScenarioRunner, work: Callable[[], None], warm_up_requests: int = WARM_UP_REQUESTS
) -> Verdict:
    """Do the work in a thread of its own while clients ask; the verdict. For real processes.

    The load ends with the work. A successor that an upgrade left serving is nobody child: it is killed.
    """
    loop, over = runner.loop, threading.Event()
    found: list[Verdict] = []
    left: list[int] = []

    failed: list[BaseException] = []

    def wait() -> None:
        try:
            work()
        except BaseException as wrong:
            failed.append(wrong)
        finally:
            over.set()

    def drive() -> None:
        while runner.http_clients is None or runner.http_clients.sent_count < warm_up_requests:
            loop.sleep(20_000)
        threading.Thread(target=wait, daemon=True).start()
        while not over.is_set():
            loop.sleep(100_000)
        for entry in runner.plan.fleet.gateways:
            at = hot_restart_address(runner.plan.fleet, entry)
            status = request_status(loop, at) if at is not None else None
            left.extend([status.pid] if status is not None else [])
        runner.end_load()

    def play() -> None:
        loop.spawn(drive, process=loop.main_process)
        found.append(runner.run())

    try:
        loop.run(run_processes)
    finally:
        for pid in left:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
    if failed:
        raise failed[0]
    return found[0]
