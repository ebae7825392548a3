"""Gateway processes of this machine with network faults between them, for tests of a fleet under load.

Each process reports on a pipe that it is ready. Datagrams pass through ``datagram_relay``, and connections
between gateways through ``network_links``; both distinguish sender and receiver. Processes are killed and
suspended by signals. A test's script runs in a separate thread while clients send requests
(``background_load``).
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
EXIT_CODE_UNUSABLE_INPUT = 2


class OngoingOutage(NamedTuple):
    """Since when and why a gateway does not serve."""

    began_at: int
    reason: OutageReason


class ProcessFleet:
    """The faults and commands that a test's script can apply to a running fleet."""

    def __init__(
        self, runner: ScenarioRunner, fleet_backend: RelayedFleetBackend, links: NetworkLinks
    ) -> None:
        self.runner = runner
        self.fleet_backend = fleet_backend
        self.links = links
        self.folder = fleet_backend.folder
        self._outages: dict[int, OngoingOutage] = {}

    @property
    def gateway_count(self) -> int:
        """The number of gateways."""
        return len(self.runner.plan.gateways)

    # Processes

    def await_ready(self, *ranks: int) -> None:
        """Wait until each of these gateways, or all, has reported that it is ready. Raises TimeoutError."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for rank in ranks or range(self.gateway_count):
            pipe = self.fleet_backend.ready_pipes[rank]
            if not select.select([pipe], [], [], max(0.0, deadline - time.monotonic()))[0]:
                raise TimeoutError(f"gw-{rank} did not report that it is ready: {self.log_tail(rank)}")
            if os.read(pipe, 16) != READY_LINE:
                raise TimeoutError(f"gw-{rank} exited before it was ready: {self.log_tail(rank)}")

    def log_tail(self, rank: int) -> str:
        """Return the last lines of a gateway's log."""
        return "\n".join((self.folder / f"gw-{rank}.log").read_text().splitlines()[-5:])

    def kill(self, *ranks: int) -> None:
        """Send SIGKILL to gateways, and wait until they have exited."""
        for rank in ranks:
            self._outages.setdefault(rank, OngoingOutage(self.now(), OutageReason.KILLED))
            self.fleet_backend.processes[f"gw-{rank}"].kill()
        for rank in ranks:
            self.fleet_backend.processes[f"gw-{rank}"].wait(EXIT_TIMEOUT_S)

    def files(self, rank: int) -> dict[Path, bytes]:
        """Return the files in which a gateway stores fleet versions and its vote, with their contents."""
        kinds = ("voter", "running", "content.*")
        paths = [path for kind in kinds for path in self.folder.glob(f"gw-{rank}.{kind}")]
        return {path: path.read_bytes() for path in paths if path.suffix != ".new"}

    def replace_files(self, rank: int, files: dict[Path, bytes]) -> None:
        """Replace these files of a gateway that does not run."""
        for path in self.files(rank):
            path.unlink()
        for path, data in files.items():
            path.write_bytes(data)

    def start(self, *ranks: int) -> None:
        """Start gateways that were killed, and wait until they are ready."""
        for rank in ranks:
            self.fleet_backend.start_gateway(rank)
        self.await_ready(*ranks)
        for rank in ranks:
            self.record_return(rank)

    def freeze(self, *ranks: int) -> None:
        """Suspend gateways by SIGSTOP."""
        for rank in ranks:
            self._outages.setdefault(rank, OngoingOutage(self.now(), OutageReason.FROZEN))
            self.fleet_backend.processes[f"gw-{rank}"].send_signal(signal.SIGSTOP)

    def thaw(self, *ranks: int) -> None:
        """Resume gateways by SIGCONT."""
        for rank in ranks:
            self.fleet_backend.processes[f"gw-{rank}"].send_signal(signal.SIGCONT)
            self.record_return(rank)

    def record_return(self, rank: int) -> None:
        """Record a gateway's outage, which lasts until now, for the audit."""
        began_at, reason = self._outages.pop(rank)
        self.runner.records.append(Outage(f"gw-{rank}", began_at, self.now(), reason))

    def now(self) -> int:
        """Return the time of the clients' clock in microseconds."""
        return self.runner.loop.now()

    def record_all_returns(self) -> None:
        """Record the outages of the gateways that still do not serve at the end of a test."""
        for rank in list(self._outages):
            self.record_return(rank)

    # Between processes

    def cut(self, senders: set[int], receivers: set[int], both: bool = True) -> None:
        """Block all data from senders to receivers, and in the other direction too if ``both`` is set."""
        assert self.runner.relay is not None
        pairs = {(sender, receiver) for sender in senders for receiver in receivers if sender != receiver}
        reverse = {(receiver, sender) for sender, receiver in pairs}
        cut = pairs | reverse if both else pairs
        self.runner.relay.one_way_cuts |= cut
        self.links.cuts |= cut
        self.links.response_cuts |= reverse

    def slow_down(self, ranks: set[int], delay_us: int, max_bytes_per_interval: int) -> None:
        """Delay the datagrams that these gateways send, and limit the throughput of connections to them."""
        assert self.runner.relay is not None
        pairs = [(rank, other) for rank in ranks for other in range(self.gateway_count) if rank != other]
        self.runner.relay.extra_delay_us.update(dict.fromkeys(pairs, delay_us))
        limits = {(other, rank): max_bytes_per_interval for rank, other in pairs}
        self.links.max_bytes_per_interval.update(limits)

    def heal(self) -> None:
        """Remove all network faults between gateways."""
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

        def on_datagram(sender: int, receiver: int, data: bytes) -> None:
            if len(data) > HEADER.size + MAC_BYTES and HEADER.unpack_from(data)[2] == DatagramKind.ROLLOUT:
                message = messages.decode(data[HEADER.size : -MAC_BYTES])
                if message is not None:
                    hook(sender, receiver, message)

        self.runner.relay.on_datagram = on_datagram

    # Commands

    def command(self, *arguments: str) -> tuple[int, str]:
        """Run ``orchidlane change`` with the fleet's settings; return its exit code and output."""
        verb, *rest = arguments
        return _run_program("change", verb, str(self.folder / FLEET_FILE), *rest)

    def upgrade(self, rank: int) -> tuple[int, str]:
        """Run ``orchidlane upgrade``, a hot restart of a gateway; return its exit code and output."""
        log = str(self.folder / f"gw-{rank}.log")
        return _run_program("upgrade", str(self.folder / f"gw-{rank}.cue"), "--rank", str(rank), "--log", log)

    def start_command(self, *arguments: str) -> tuple[threading.Thread, list[tuple[int, str]]]:
        """Run a command in a separate thread, which adds exit code and output to the returned list."""
        results: list[tuple[int, str]] = []
        thread = threading.Thread(target=lambda: results.append(self.command(*arguments)), daemon=True)
        thread.start()
        return thread, results

    def status(self) -> dict[str, Any]:
        """Return the status that the command prints. Raises ValueError if no voter responds."""
        code, output = self.command("status", "--json")
        if code == EXIT_CODE_UNUSABLE_INPUT:
            raise ValueError(output)
        status: dict[str, Any] = json.loads(output)
        return status

    def leader(self) -> int:
        """Wait until a gateway leads, and return its rank."""
        return int(self.wait_for_status(lambda status: status["leads"])["leader"])

    def wait_for_status(
        self, condition: Callable[[dict[str, Any]], bool], timeout_s: float = 30.0
    ) -> dict[str, Any]:
        """Query the status until it meets a condition, and return it. Raises TimeoutError."""
        deadline = time.monotonic() + timeout_s
        status: dict[str, Any] = {}
        while time.monotonic() < deadline:
            try:
                status = self.status()
            except ValueError:
                continue
            if condition(status):
                return status
        raise TimeoutError(f"no status met the condition; the last one was {status}")

    def edit_rules(self, old: str, new: str) -> None:
        """Replace a text in the file of the fleet's OpenAPI description."""
        path = self.folder / DESCRIPTION_FILE
        text = path.read_text()
        assert old in text, old
        path.write_text(text.replace(old, new))

    def served_versions(self, after: int = 0, before: int | None = None) -> dict[int, set[str]]:
        """Return the gateways that served each version, by its number, to attempts started in an interval.

        The interval is from ``after`` until before ``before``, in the time of ``now``.
        """
        gateways: dict[int, set[str]] = {}
        for record in list(self.runner.records):
            if not isinstance(record, ClientAttempt) or not record.version:
                continue
            if record.at >= after and (before is None or record.at < before):
                number = int(record.version.partition(":")[0])
                gateways.setdefault(number, set()).add(record.gateway)
        return gateways


def _run_program(*arguments: str) -> tuple[int, str]:
    """Run the program; return its exit code and output."""
    command = [sys.executable, "-m", "orchidlane", *arguments]
    result = subprocess.run(command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S)
    return result.returncode, result.stdout + result.stderr


def run_process_fleet(
    scenario: Scenario,
    folder: str,
    script: Callable[[ProcessFleet], None],
    edit_settings: Callable[[dict[str, Any]], None],
    seed: int = 1,
    warm_up_requests: int = 20,
) -> tuple[Verdict, ProcessFleet]:
    """Run a script while clients send requests; return the audit's verdict, and the fleet."""
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
