"""Whole gateway processes with faults between them: each tells that it is ready by a line on a pipe.

Datagrams pass the relay of ``standins``, connections between gateways those of ``links``; both know who
speaks to whom. What is done to the processes is done by signals. Used by tests that drive a fleet from a
thread of their own while clients ask (``backing.play_while``).
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
from typing import Any

from orchidlane import config
from orchidlane.gateway.control.settings_loader import parse_host_port, schema_text
from orchidlane.gateway.peers.datagrams import HEADER, MAC_BYTES, DatagramKind
from orchidlane.rollout import messages
from orchidlane.runtime import Loop, RealWorld
from orchidlane.runtime.backend import Address
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.backends import END_WITHIN, RealBacking, play_while
from orchidlane.simulation.network_links import Links, Pair
from orchidlane.simulation.observations import Away, Try
from orchidlane.simulation.scenario import Day, Plan, Runner, make_plan, own_settings

READY_WITHIN = 20.0  # seconds
COMMAND_WITHIN = 90.0


class FleetBacking(RealBacking):
    """Real processes with their own settings, where the others are reached through relays."""

    def __init__(self, folder: str, edit: Callable[[dict[str, Any]], None]) -> None:
        super().__init__(folder)
        self.edit = edit
        self.ways: dict[Pair, tuple[Address, Address]] = {}
        self.ready: dict[int, int] = {}  # rank -> a pipe on which its process says that it serves

    def prepare(self, plan: Plan) -> None:
        """The files of each gateway, and those of the whole fleet for commands."""
        super().prepare(plan)
        count = plan.day.gateways
        pairs = [(one, other) for one in range(count) for other in range(count) if one != other]
        admins = [parse_host_port(entry.admin) for entry in plan.fleet.gateways]
        places = zip(pairs, self.free_addresses(len(pairs)), strict=True)
        self.ways = {pair: (at, admins[pair[1]]) for pair, at in places}
        description = Path(plan.fleet.description).read_bytes()
        (self.folder / "openapi.yaml").write_bytes(description)
        self._write("fleet.cue", plan.text, -1)
        for rank in range(count):
            self._write(f"gw-{rank}.cue", own_settings(plan, rank), rank)

    def _write(self, name: str, text: str, rank: int) -> None:
        value = config.plain_values(text, name, schema_text(), "#Fleet")
        value["description"] = str(self.folder / "openapi.yaml")
        self.edit(value)
        for (one, other), (at, _) in self.ways.items():
            if one == rank:
                value["gateways"][other]["admin"] = f"{at[0]}:{at[1]}"
        (self.folder / name).write_text(config.render(value)[1:-1])

    def start_gateway(self, rank: int) -> None:
        """A process that is handed the writing end of a pipe."""
        mine, theirs = os.pipe()
        if rank in self.ready:
            os.close(self.ready[rank])
        self.ready[rank] = mine
        arguments = [*self._gateway(rank), "--ready-fd", str(theirs)]
        with open(self.folder / f"gw-{rank}.log", "ab") as log:
            self.processes[f"gw-{rank}"] = subprocess.Popen(
                [sys.executable, "-m", "orchidlane", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(theirs,),
            )
        os.close(theirs)

    def end(self) -> None:
        super().end()
        for number in self.ready.values():
            os.close(number)
        self.ready.clear()


class ProcessFleet:
    """What a test does to a fleet that runs."""

    def __init__(self, runner: Runner, backing: FleetBacking, links: Links) -> None:
        self.runner = runner
        self.backing = backing
        self.links = links
        self.folder = backing.folder
        self._away: dict[int, tuple[int, str]] = {}

    @property
    def count(self) -> int:
        """How many gateways there are."""
        return len(self.runner.plan.gateways)

    # -- processes

    def await_ready(self, *ranks: int) -> None:
        """Wait for the line of each process. Raises TimeoutError."""
        by = time.monotonic() + READY_WITHIN
        for rank in ranks or range(self.count):
            number = self.backing.ready[rank]
            if not select.select([number], [], [], max(0.0, by - time.monotonic()))[0]:
                raise TimeoutError(f"gw-{rank} did not say that it serves: {self.words(rank)}")
            if os.read(number, 16) != b"ready\n":
                raise TimeoutError(f"gw-{rank} ended before it served: {self.words(rank)}")

    def words(self, rank: int) -> str:
        """The last lines of a gateway's log."""
        return "\n".join((self.folder / f"gw-{rank}.log").read_text().splitlines()[-5:])

    def kill(self, *ranks: int) -> None:
        """SIGKILL, and wait for the end."""
        for rank in ranks:
            self._away.setdefault(rank, (self.now(), "killed"))
            self.backing.processes[f"gw-{rank}"].kill()
        for rank in ranks:
            self.backing.processes[f"gw-{rank}"].wait(END_WITHIN)

    def files(self, rank: int) -> dict[Path, bytes]:
        """What a gateway has on disk of fleet versions."""
        kinds = ("voter", "running", "content.*")
        found = [path for kind in kinds for path in self.folder.glob(f"gw-{rank}.{kind}")]
        return {path: path.read_bytes() for path in found if path.suffix != ".new"}

    def put_back(self, rank: int, files: dict[Path, bytes]) -> None:
        """Give a gateway that does not run other files."""
        for path in self.files(rank):
            path.unlink()
        for path, data in files.items():
            path.write_bytes(data)

    def start(self, *ranks: int) -> None:
        """Start again what was killed, and wait until it serves."""
        for rank in ranks:
            self.backing.start_gateway(rank)
        self.await_ready(*ranks)
        for rank in ranks:
            self.back(rank)

    def still(self, *ranks: int) -> None:
        """SIGSTOP."""
        for rank in ranks:
            self._away.setdefault(rank, (self.now(), "still"))
            self.backing.processes[f"gw-{rank}"].send_signal(signal.SIGSTOP)

    def wake(self, *ranks: int) -> None:
        """SIGCONT."""
        for rank in ranks:
            self.backing.processes[f"gw-{rank}"].send_signal(signal.SIGCONT)
            self.back(rank)

    def back(self, rank: int) -> None:
        """Note for the audit until when a gateway owed nothing."""
        began, why = self._away.pop(rank)
        self.runner.records.append(Away(f"gw-{rank}", began, self.now(), why))  # type: ignore[arg-type]

    def now(self) -> int:
        """The clients' clock."""
        return self.runner.loop.now()

    def all_back(self) -> None:
        """At the end: those that stay away owe nothing until then."""
        for rank in list(self._away):
            self.back(rank)

    # -- between processes

    def cut(self, ones: set[int], others: set[int], both: bool = True) -> None:
        """Nothing passes from ones to others, nor back where both ways are cut."""
        assert self.runner.relay is not None
        pairs = {(one, other) for one in ones for other in others if one != other}
        back = {(other, one) for one, other in pairs}
        self.runner.relay.one_way |= pairs | (back if both else set())
        self.links.cuts |= pairs | (back if both else set())
        self.links.deaf |= back

    def slow(self, ones: set[int], span: int, bytes_a_look: int) -> None:
        """What these say to others comes late, and a connection to them trickles."""
        assert self.runner.relay is not None
        pairs = [(one, other) for one in ones for other in range(self.count) if one != other]
        self.runner.relay.late.update(dict.fromkeys(pairs, span))
        self.links.trickle.update({(other, one): bytes_a_look for one, other in pairs})

    def heal(self) -> None:
        """All passes again."""
        assert self.runner.relay is not None
        self.runner.relay.one_way.clear()
        self.runner.relay.late.clear()
        self.links.delay.clear()
        self.links.trickle.clear()
        self.links.reset.clear()
        self.links.cuts.clear()
        self.links.deaf.clear()

    def on_message(self, hook: Callable[[int, int, messages.Message], None]) -> None:
        """Call ``hook(sender, receiver, message)`` for each datagram on versions, before it is brought."""
        assert self.runner.relay is not None

        def seen(sender: int, receiver: int, data: bytes) -> None:
            if len(data) > HEADER.size + MAC_BYTES and HEADER.unpack_from(data)[2] == DatagramKind.ROLLOUT:
                message = messages.decode(data[HEADER.size : -MAC_BYTES])
                if message is not None:
                    hook(sender, receiver, message)

        self.runner.relay.seen = seen

    # -- commands

    def command(self, *arguments: str) -> tuple[int, str]:
        """Exit code and words of ``orchidlane change ...`` with the fleet's settings."""
        do, *rest = arguments
        words = [sys.executable, "-m", "orchidlane", "change", do, str(self.folder / "fleet.cue"), *rest]
        done = subprocess.run(words, capture_output=True, text=True, timeout=COMMAND_WITHIN)
        return done.returncode, done.stdout + done.stderr

    def upgrade(self, rank: int) -> tuple[int, str]:
        """Hand a gateway over to a new process of the same program."""
        log = str(self.folder / f"gw-{rank}.log")
        words = ["upgrade", str(self.folder / f"gw-{rank}.cue"), "--rank", str(rank), "--log", log]
        command = [sys.executable, "-m", "orchidlane", *words]
        done = subprocess.run(command, capture_output=True, text=True, timeout=COMMAND_WITHIN)
        return done.returncode, done.stdout + done.stderr

    def begin(self, *arguments: str) -> tuple[threading.Thread, list[tuple[int, str]]]:
        """The same in a thread of its own."""
        found: list[tuple[int, str]] = []
        thread = threading.Thread(target=lambda: found.append(self.command(*arguments)), daemon=True)
        thread.start()
        return thread, found

    def status(self) -> dict[str, Any]:
        """As whoever leads tells it."""
        code, words = self.command("status", "--json")
        if code == 2:
            raise ValueError(words)
        return json.loads(words)

    def leader(self) -> int:
        """The rank of whoever leads, once somebody does."""
        return int(self.until(lambda one: one["leads"])["leader"])

    def until(self, holds: Callable[[dict[str, Any]], bool], within: float = 30.0) -> dict[str, Any]:
        """Wait until a status holds something. Raises TimeoutError."""
        by, status = time.monotonic() + within, {}
        while time.monotonic() < by:
            try:
                status = self.status()
            except ValueError:
                continue
            if holds(status):
                return status
        raise TimeoutError(f"never so: {status}")

    def edit_rules(self, old: str, new: str) -> None:
        """Change the description's file."""
        path = self.folder / "openapi.yaml"
        text = path.read_text()
        assert old in text, old
        path.write_text(text.replace(old, new))

    def seen(self, after: int = 0, before: int | None = None) -> dict[int, set[str]]:
        """Versions in the answers to requests that began in a span: number -> gateways."""
        found: dict[int, set[str]] = {}
        for record in list(self.runner.records):
            if not isinstance(record, Try) or not record.version:
                continue
            if record.at >= after and (before is None or record.at < before):
                found.setdefault(int(record.version.partition(":")[0]), set()).add(record.gateway)
        return found


def play_fleet(
    day: Day,
    folder: str,
    work: Callable[[ProcessFleet], None],
    edit: Callable[[dict[str, Any]], None],
    seed: int = 1,
    warm_up: int = 20,
) -> tuple[Verdict, ProcessFleet]:
    """Do the work beside the clients' requests; the verdict over what passed on the sockets."""
    backing = FleetBacking(folder, edit)
    plan = make_plan(day, folder, backing.free_addresses)
    backing.prepare(plan)
    loop = Loop(RealWorld(seed))
    runner = Runner(loop, plan, backing)
    links = Links(loop, backing.ways)
    runner.beside.append(links.serve)
    fleet = ProcessFleet(runner, backing, links)

    def all_of_it() -> None:
        fleet.await_ready()
        try:
            work(fleet)
        finally:
            fleet.all_back()

    return play_while(runner, all_of_it, warm_up), fleet
