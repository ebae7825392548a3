"""Gateway processes of this machine with faults between them, for tests that drive a fleet under load.

Each process says on a pipe that it is ready. Datagrams pass ``datagram_relay``, connections between
gateways ``network_links``; both know sender and receiver. Faults of processes are signals. A
test's script runs in a thread of its own while clients send requests (``background_load``).
"""

from __future__ import annotations

import json
import os
import select
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from orchidlane.gateway.peers.datagrams import HEADER, MAC_BYTES, DatagramKind
from orchidlane.rollout import messages
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.background_load import run_during_load
from orchidlane.simulation.network_links import NetworkLinks
from orchidlane.simulation.observations import ClientAttempt, Outage, OutageReason
from orchidlane.simulation.process_backend import EXIT_TIMEOUT_S
from orchidlane.simulation.relayed_backend import DESCRIPTION_FILE, FLEET_FILE, RelayedFleetBackend
from orchidlane.simulation.scenario import Scenario
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner

READY_TIMEOUT_S = 20.0
READY_LINE = b"ready\n"
COMMAND_TIMEOUT_S = 90.0
UNUSABLE_INPUT = 2  # exit code


class OutageBegin(NamedTuple):
    """Since when and why a gateway does not serve."""

    at: int
    reason: OutageReason


class ProcessFleet:
    """Faults and commands of a test's script on a fleet that runs."""

    def __init__(self, runner: ScenarioRunner, backing: RelayedFleetBackend, links: NetworkLinks) -> None:
        self.runner = runner
        self.fleet_backend = backing
        self.links = links
        self.folder = backing.folder
        self._outages: dict[int, OutageBegin] = {}

    @property
    def count(self) -> int:
        """The number of gateways."""
        return len(self.runner.plan.gateways)

    # Processes

    def await_ready(self, *ranks: int) -> None:
        """Wait until each process has said that it serves. Raises TimeoutError."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for rank in ranks or range(self.count):
            pipe = self.fleet_backend.ready_pipes[rank]
            if not select.select([pipe], [], [], max(0.0, deadline - time.monotonic()))[0]:
                raise TimeoutError(f"gw-{rank} did not say that it serves: {self.log_tail(rank)}")
            if os.read(pipe, 16) != READY_LINE:
                raise TimeoutError(f"gw-{rank} ended before it served: {self.log_tail(rank)}")

    def log_tail(self, rank: int) -> str:
        """Return the last lines of a gateway's log."""
        return "\n".join((self.folder / f"gw-{rank}.log").read_text().splitlines()[-5:])

    def kill(self, *ranks: int) -> None:
        """Send SIGKILL and wait for the end."""
        for rank in ranks:
            self._outages.setdefault(rank, OutageBegin(self.now(), OutageReason.KILLED))
            self.fleet_backend.processes[f"gw-{rank}"].kill()
        for rank in ranks:
            self.fleet_backend.processes[f"gw-{rank}"].wait(EXIT_TIMEOUT_S)

    def files(self, rank: int) -> dict[Path, bytes]:
        """Return a gateway's files of fleet versions."""
        kinds = ("voter", "running", "content.*")
        paths = [path for kind in kinds for path in self.folder.glob(f"gw-{rank}.{kind}")]
        return {path: path.read_bytes() for path in paths if path.suffix != ".new"}

    def replace_files(self, rank: int, files: dict[Path, bytes]) -> None:
        """Give a gateway that does not run other files."""
        for path in self.files(rank):
            path.unlink()
        for path, data in files.items():
            path.write_bytes(data)

    def start(self, *ranks: int) -> None:
        """Start again what was killed, and wait until it serves."""
        for rank in ranks:
            self.fleet_backend.start_gateway(rank)
        self.await_ready(*ranks)
        for rank in ranks:
            self.record_return(rank)

    def freeze(self, *ranks: int) -> None:
        """Send SIGSTOP."""
        for rank in ranks:
            self._outages.setdefault(rank, OutageBegin(self.now(), OutageReason.FROZEN))
            self.fleet_backend.processes[f"gw-{rank}"].send_signal(signal.SIGSTOP)

    def thaw(self, *ranks: int) -> None:
        """Send SIGCONT."""
        for rank in ranks:
            self.fleet_backend.processes[f"gw-{rank}"].send_signal(signal.SIGCONT)
            self.record_return(rank)

    def record_return(self, rank: int) -> None:
        """Record for the audit from when to when a gateway did not serve."""
        began_at, reason = self._outages.pop(rank)
        self.runner.records.append(Outage(f"gw-{rank}", began_at, self.now(), reason))

    def now(self) -> int:
        """Return the time of the clients' clock."""
        return self.runner.loop.now()

    def record_all_returns(self) -> None:
        """Record at the end those gateways that still do not serve."""
        for rank in list(self._outages):
            self.record_return(rank)

    # Between processes

    def cut(self, senders: set[int], receivers: set[int], both: bool = True) -> None:
        """Let nothing pass from senders to receivers, nor back where both directions are cut."""
        assert self.runner.relay is not None
        pairs = {(sender, receiver) for sender in senders for receiver in receivers if sender != receiver}
        reverse = {(receiver, sender) for sender, receiver in pairs}
        cut = pairs | reverse if both else pairs
        self.runner.relay.one_way_cuts |= cut
        self.links.cuts |= cut
        self.links.response_cuts |= reverse

    def slow_down(self, ranks: set[int], delay_us: int, max_bytes_per_interval: int) -> None:
        """Delay what these gateways send, and slow connections to them to a trickle."""
        assert self.runner.relay is not None
        pairs = [(rank, other) for rank in ranks for other in range(self.count) if rank != other]
        self.runner.relay.extra_delay_us.update(dict.fromkeys(pairs, delay_us))
        reverse = {(other, rank): max_bytes_per_interval for rank, other in pairs}
        self.links.max_bytes_per_interval.update(reverse)

    def heal(self) -> None:
        """End all faults between processes."""
        assert self.runner.relay is not None
        self.runner.relay.one_way_cuts.clear()
        self.runner.relay.extra_delay_us.clear()
        self.links.delays_us.clear()
        self.links.max_bytes_per_interval.clear()
        self.links.reset_probability.clear()
        self.links.cuts.clear()
        self.links.response_cuts.clear()

    def on_message(self, hook: Callable[[int, int, messages.Message], None]) -> None:
        """Call ``hook(sender, receiver, message)`` for each rollout message before it is delivered."""
        assert self.runner.relay is not None

        def seen(sender: int, receiver: int, data: bytes) -> None:
            if len(data) > HEADER.size + MAC_BYTES and HEADER.unpack_from(data)[2] == DatagramKind.ROLLOUT:
                message = messages.decode(data[HEADER.size : -MAC_BYTES])
                if message is not None:
                    hook(sender, receiver, message)

        self.runner.relay.on_datagram = seen

    # Commands

    def command(self, *arguments: str) -> tuple[int, str]:
        """Return exit code and output of ``orchidlane change ...`` with the fleet's settings."""
        verb, *rest = arguments
        return _run_program("change", verb, str(self.folder / FLEET_FILE), *rest)

    def upgrade(self, rank: int) -> tuple[int, str]:
        """Hand a gateway over to a new process; return exit code and output of the command."""
        log = str(self.folder / f"gw-{rank}.log")
        return _run_program("upgrade", str(self.folder / f"gw-{rank}.cue"), "--rank", str(rank), "--log", log)

    def start_command(self, *arguments: str) -> tuple[threading.Thread, list[tuple[int, str]]]:
        """Run a command in a thread of its own, which adds exit code and output to the list."""
        results: list[tuple[int, str]] = []
        thread = threading.Thread(target=lambda: results.append(self.command(*arguments)), daemon=True)
        thread.start()
        return thread, results

    def status(self) -> dict[str, Any]:
        """Return the status as the command prints it. Raises ValueError where no voter answers."""
        code, output = self.command("status", "--json")
        if code == UNUSABLE_INPUT:
            raise ValueError(output)
        status: dict[str, Any] = json.loads(output)
        return status

    def leader(self) -> int:
        """Return the leader's rank, once there is one."""
        return int(self.wait_for_status(lambda status: status["leads"])["leader"])

    def wait_for_status(
        self, condition: Callable[[dict[str, Any]], bool], timeout_s: float = 30.0
    ) -> dict[str, Any]:
        """Return the first status that meets a condition. Raises TimeoutError."""
        deadline = time.monotonic() + timeout_s
        status: dict[str, Any] = {}
        while time.monotonic() < deadline:
            try:
                status = self.status()
            except ValueError:
                continue
            if condition(status):
                return status
        raise TimeoutError(f"never so: {status}")

    def edit_rules(self, old: str, new: str) -> None:
        """Change the description's file."""
        path = self.folder / DESCRIPTION_FILE
        text = path.read_text()
        assert old in text, old
        path.write_text(text.replace(old, new))

    def served_versions(self, after: int = 0, before: int | None = None) -> dict[int, set[str]]:
        """Return version numbers and gateways of the answers to requests that began in this time."""
        gateways: dict[int, set[str]] = {}
        for record in list(self.runner.records):
            if not isinstance(record, ClientAttempt) or not record.version:
                continue
            if record.at >= after and (before is None or record.at < before):
                number = int(record.version.partition(":")[0])
                gateways.setdefault(number, set()).add(record.gateway)
        return gateways


def _run_program(*arguments: str) -> tuple[int, str]:
    """Return exit code and output of a command of the program."""
    command = [sys.executable, "-m", "orchidlane", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S)
    return done.returncode, done.stdout + done.stderr


def run_process_fleet(
    scenario: Scenario,
    folder: str,
    script: Callable[[ProcessFleet], None],
    edit_settings: Callable[[dict[str, Any]], None],
    seed: int = 1,
    warm_up_requests: int = 20,
) -> tuple[Verdict, ProcessFleet]:
    """Run a script beside the clients' requests; return the audit's verdict over the sockets' traffic."""
    fleet_backend = RelayedFleetBackend(folder, edit_settings)
    plan = make_plan(scenario, folder, fleet_backend.free_addresses)
    fleet_backend.prepare(plan)
    loop = EventLoop(RealBackend(seed))
    runner = ScenarioRunner(loop, plan, fleet_backend)
    links = NetworkLinks(loop, fleet_backend.routes)
    runner.extra_servers.append(links.serve)
    fleet = ProcessFleet(runner, fleet_backend, links)

    def run_script() -> None:
        fleet.await_ready()
        try:
            script(fleet)
        finally:
            fleet.record_all_returns()

    return run_during_load(runner, run_script, warm_up_requests), fleet
