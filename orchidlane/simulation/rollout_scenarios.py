"""Random stories of fleet versions in the simulated world: the program itself, one seed the same story.

Proposals and undos come while gateways die, come back with old, cut or no files, stand still, are cut off,
while datagrams are lost, doubled and late, and disks are full. What has to hold is looked at all the time:

- ledgers: no two of one index;
- versions: what runs was approved in a ledger that was chosen, with its certificate;
- serving: whoever serves goes by what it was to run in some ledger of the last lease;

and at the end, with all faults over, all gateways come to one version.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from orchidlane.config import Duration
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.rollout_agent.admin_api import Order, Status
from orchidlane.gateway.rollout_agent.admin_client import PREFIX, FetchError, call
from orchidlane.gateway.rollout_agent.agent import Outcome
from orchidlane.rollout.replicated_state import Ledger, Stage
from orchidlane.rollout.version import Parts, name_of, why_not_certified
from orchidlane.runtime import Faults, Loop, Process, SimWorld

SECRET = b"a secret for stand-ins only"
SECOND = 1_000_000
LOOK = 10_000  # microseconds between two looks
SLACK = 5 * LOOK
SETTLE = 40 * SECOND  # for all to come to one version
FOUND_WITHIN = 20 * SECOND
CALL = 3 * SECOND


class Wrong(AssertionError):
    """What must never be, or never came."""


@dataclass
class Story:
    """One seed's fleet, faults and length."""

    seed: int
    gateways: int
    voters: int
    span: int = 12 * SECOND
    soak: int = 0  # stages, where it is not
    faults: frozenset[str] = frozenset()
    told: Counter[str] = field(default_factory=Counter)


KINDS = ("kill", "still", "cut", "loss", "old", "empty", "broken", "full")


def draw(seed: int, most: int = 12) -> Story:
    """A story of its own subset of faults (swarm)."""
    rng = random.Random(seed)
    voters = rng.choice((3, 3, 3, 5))
    gateways = rng.randint(voters, max(voters, most))
    faults = frozenset(kind for kind in KINDS if rng.random() < 0.5)
    return Story(seed, gateways, voters, faults=faults, soak=rng.choice((0, 0, SECOND // 4)))


class VersionFleet:
    """The gateways of a story; ``rules`` makes the description of an edit."""

    def __init__(
        self, story: Story, fleet: FleetSettings, rules: Callable[[int], bytes], customers: bytes
    ) -> None:
        self.story = story
        self.random = random.Random(story.seed ^ 0x5EED)
        calm = Faults(delay=(100, 900), slow_chance=0.0, datagram_loss=0.0)
        self.world = SimWorld(story.seed, calm)
        self.loop = Loop(self.world)
        self.rules = rules
        self.customers = customers
        self.fleet = self._settings(fleet)
        self.processes: dict[int, Process] = {}
        self.programs: dict[int, GatewayProcess] = {}
        self.old_files: dict[int, dict[str, bytes]] = {}
        self.names: dict[int, str] = {}  # index -> the ledger's name
        self.ledgers: dict[int, Ledger] = {}
        self.since: dict[int, int] = {}  # index -> when it was first seen
        self.approved: set[tuple[int, str]] = set()
        self.edits = 0

    def _settings(self, fleet: FleetSettings) -> FleetSettings:
        entry = fleet.gateways[0]
        entries = tuple(
            msgspec.structs.replace(
                entry,
                name=f"gw-{rank}",
                listen=f"127.0.0.1:{10_000 + rank}",
                peer=f"127.0.0.1:{20_000 + rank}",
                admin=f"127.0.0.1:{30_000 + rank}",
                resp="",
            )
            for rank in range(self.story.gateways)
        )
        terms = msgspec.structs.replace(
            fleet.rollout,
            voting_members=tuple(f"gw-{rank}" for rank in range(self.story.voters)),
            lease_us=Duration(2 * SECOND),
            poll_interval_us=Duration(SECOND // 10),
            heartbeat_interval_us=Duration(SECOND // 20),
            election_timeout_us=Duration(SECOND * 3 // 10),
            decision_timeout_us=Duration(3 * SECOND),
            soak_us=Duration(self.story.soak),
        )
        return msgspec.structs.replace(
            fleet,
            gateways=entries,
            rollout=terms,
            description="openapi",
            customers="customers",
            state_directory="state",
        )

    # -- gateways

    def start(self, rank: int) -> None:
        """Start a gateway with the files that there are."""
        self.processes[rank] = self.world.start(f"gw-{rank}", self._gateway, rank)

    def _gateway(self, rank: int) -> None:
        program = GatewayProcess(self.loop, self.fleet, rank, SECRET)
        self.programs[rank] = program
        program.run()

    def kill(self, rank: int) -> None:
        """As SIGKILL does."""
        if not self.processes[rank].dead:
            self.world.kill(self.processes[rank])

    def alive(self) -> list[int]:
        """The gateways that run, standing still or not."""
        return [rank for rank, process in self.processes.items() if not process.dead]

    def files_of(self, rank: int) -> dict[str, bytes]:
        """All that a gateway has on disk."""
        return {path: data for path, data in self.world.files.items() if path.startswith(f"state/gw-{rank}.")}

    # -- the story

    def run(self) -> Story:
        """From the first start to the verdict. Raises Wrong."""
        self.loop.run(self._run)
        return self.story

    def _run(self) -> None:
        story, loop = self.story, self.loop
        self.world.files["openapi"] = self.rules(0)
        self.world.files["customers"] = self.customers
        for rank in range(story.gateways):
            self.start(rank)
        self._until(self._settled, FOUND_WITHIN, "the ledger was never founded")
        watcher = loop.spawn(self._watch, process=loop.home, name="watcher")
        author = loop.spawn(self._author, process=loop.home, name="author")
        tasks = [
            loop.spawn(self._troubles, kind, process=loop.home, name=kind) for kind in sorted(story.faults)
        ]
        loop.sleep(story.span)
        for task in (author, *tasks):
            loop.cancel(task)
        self._heal()
        self._until(self._settled, SETTLE, "the gateways came to no one version")
        if watcher.done:
            raise Wrong(str(watcher.error))
        self._look()
        loop.cancel(watcher)
        for rank in self.alive():
            self.kill(rank)

    def _heal(self) -> None:
        world = self.world
        world.cuts.clear()
        world.full.clear()
        world.faults.datagram_loss = world.faults.datagram_double = 0.0
        world.faults.delay = (100, 900)
        for rank, process in self.processes.items():
            if process.dead:
                self.start(rank)
            elif process.frozen:
                self.loop.thaw(process)

    def _until(self, holds: Callable[[], bool], within: int, why: str) -> None:
        by = self.loop.now() + within
        while not holds():
            if self.loop.now() > by:
                raise Wrong(f"{why}: {self.show()}")
            self.loop.sleep(LOOK)

    def show(self) -> list[Any]:
        """How each gateway stands, for whoever reads of a failure."""
        found = []
        for rank, program in self.programs.items():
            versions = program.versions
            assert versions is not None
            conductor = versions.conductor
            seat = ""
            if conductor is not None:
                register = conductor.register
                seat = f"votes {register.votes} seated {register.seated} checking {register.checking}"
            latest = versions.ledger
            about = (latest.index, latest.term, latest.leader, latest.change) if latest else ()
            why = versions.why_not_serve()
            found.append((rank, versions.number, about, why, versions.why_behind, seat))
        return found

    def _settled(self) -> bool:
        """All serve by one version, and no change is on its way."""
        if len(self.programs) < self.story.gateways:
            return False
        seen = set()
        for program in self.programs.values():
            versions = program.versions
            assert versions is not None
            if versions.ledger is None or versions.ledger.change is not None or versions.why_not_serve():
                return False
            if versions.running is None:
                return False
            seen.add((versions.ledger.index, versions.running.version))
        return len(seen) == 1

    # -- who changes things

    def _author(self) -> None:
        while True:
            self.loop.sleep(self.random.randint(SECOND // 5, 2 * SECOND))
            rank = self.random.choice(list(self.processes))
            try:
                self._change(rank)
            except (FetchError, msgspec.DecodeError):
                self.story.told["unheard"] += 1

    def _ask(self, rank: int, method: str, what: str, body: bytes = b"") -> bytes:
        at = parse_host_port(self.fleet.gateways[rank].admin)
        by = self.loop.now() + CALL
        return call(self.loop, at, SECRET, method, PREFIX + what.encode(), body, by=by, most=1 << 20)[1]

    def _change(self, rank: int) -> None:
        status = msgspec.msgpack.decode(self._ask(rank, "GET", "status"), type=Status)
        latest = status.change or status.current
        if latest is None:
            return
        if status.change is not None and self.random.random() < 0.5 and status.current is not None:
            order = self._order("propose", latest.number, status.current.parts, latest.number)
        elif self.random.random() < 0.3 and latest.number:
            known = {entry.version.number: entry.version for entry in status.history}
            base = known.get(latest.base)
            if base is None:
                return
            order = self._order("propose", latest.number, base.parts, latest.number)
        elif self.random.random() < 0.1:
            order = self._order(self.random.choice(("stop", "resume")), latest.number)
        else:
            self.edits += 1
            data = self.rules(self.edits if self.random.random() < 0.9 else -1)
            self._ask(rank, "PUT", f"content/{name_of(data)}", data)
            parts = Parts(name_of(data), name_of(self.customers))
            order = self._order("propose", latest.number, parts)
        answer = self._ask(rank, "POST", "command", msgspec.msgpack.encode(order))
        outcome = msgspec.msgpack.decode(answer, type=Outcome)
        self.story.told[f"{order.do} {'taken' if outcome.taken else 'not taken'}"] += 1

    def _order(self, do: str, base: int, parts: Parts | None = None, undoes: int = 0) -> Order:
        name = f"{self.random.getrandbits(64):016x}"
        return Order(name, do, base, "a story", "because", parts, undoes)

    # -- what befalls

    def _troubles(self, kind: str) -> None:
        rng = self.random
        trouble: Callable[[int], Iterator[None]] = getattr(self, f"_{kind}")
        while True:
            self.loop.sleep(rng.randint(SECOND // 5, 3 * SECOND))
            self.story.told[kind] += 1
            for _ in trouble(rng.randrange(self.story.gateways)):
                self.loop.sleep(rng.randint(SECOND // 50, 3 * SECOND))

    def _kill(self, rank: int) -> Iterator[None]:
        if not self.processes[rank].dead:
            self.kill(rank)
            yield
            if self.processes[rank].dead:
                self.start(rank)

    def _still(self, rank: int) -> Iterator[None]:
        process = self.processes[rank]
        if not process.dead and not process.frozen:
            self.loop.freeze(process)
            yield
            if not process.dead and process.frozen:
                self.loop.thaw(process)

    def _cut(self, rank: int) -> Iterator[None]:
        """Some gateways are cut off from the rest."""
        ranks = range(self.story.gateways)
        ones = {rank, *(one for one in ranks if self.random.random() < 0.3)}
        pairs = [(f"gw-{one}", f"gw-{other}") for one in ones for other in ranks if other not in ones]
        for one, other in pairs:
            self.world.cut(one, other)
        yield
        for one, other in pairs:
            self.world.heal(one, other)

    def _loss(self, _rank: int) -> Iterator[None]:
        faults = self.world.faults
        faults.datagram_loss, faults.datagram_double = self.random.random() * 0.6, 0.2
        faults.delay = (100, self.random.choice((900, 50_000)))
        yield
        faults.datagram_loss, faults.datagram_double, faults.delay = 0.0, 0.0, (100, 900)

    def _full(self, rank: int) -> Iterator[None]:
        self.world.full.add(f"gw-{rank}")
        yield
        self.world.full.discard(f"gw-{rank}")

    def _may_lose(self, rank: int) -> bool:
        """More voters without their disks than a quorum can spare would end the ledger, as is documented."""
        known = [program.versions.ledger for program in self.programs.values() if program.versions]
        if any(latest.before for latest in known if latest is not None):
            return rank >= self.story.voters  # a change of seats is not settled: both sides are needed
        others = [one for one in self.alive() if one < self.story.voters and one != rank and self._votes(one)]
        return rank >= self.story.voters or len(others) > self.story.voters // 2

    def _votes(self, rank: int) -> bool:
        versions = self.programs[rank].versions
        return versions is not None and versions.conductor is not None and versions.conductor.register.votes

    def _back_with(self, rank: int, files: dict[str, bytes]) -> Iterator[None]:
        if self.processes[rank].dead or not self._may_lose(rank):
            return
        self.kill(rank)
        yield
        if not self.processes[rank].dead or not self._may_lose(rank):
            return
        for path in self.files_of(rank):
            del self.world.files[path]
        self.world.files.update(files)
        self.start(rank)

    def _old(self, rank: int) -> Iterator[None]:
        """It comes back with what it had some time ago."""
        files = self.files_of(rank)
        yield
        yield from self._back_with(rank, files)

    def _empty(self, rank: int) -> Iterator[None]:
        yield from self._back_with(rank, {})

    def _broken(self, rank: int) -> Iterator[None]:
        """Its files are cut somewhere."""
        files = {
            path: data[: self.random.randint(0, len(data))] for path, data in self.files_of(rank).items()
        }
        yield from self._back_with(rank, files)

    # -- what has to hold

    def _watch(self) -> None:
        while True:
            self._look()
            self.loop.sleep(LOOK)

    def _look(self) -> None:
        now = self.loop.now()
        for rank in self.alive():
            program = self.programs.get(rank)
            versions = program.versions if program is not None else None
            if versions is None or versions.ledger is None or program is None:
                continue
            self._note(versions.ledger, versions.spread.name, now)
            if versions.conductor is not None and versions.conductor.register.ledger is not None:
                known = versions.conductor.register.ledger
                self._note(known, name_of(msgspec.msgpack.encode(known)), now)
            if versions.running is not None:
                self._check_running(rank, versions.running)
            if not self.processes[rank].frozen and not versions.why_not_serve():
                self._check_serving(rank, versions.number, now)

    def _note(self, latest: Ledger, name: str, now: int) -> None:
        index = latest.index
        if self.names.setdefault(index, name) != name:
            raise Wrong(f"two ledgers of index {index}: {latest}; {self.ledgers[index]}")
        if index in self.since:
            return
        self.since[index], self.ledgers[index] = now, latest
        change = latest.change
        certificates = [latest.current]
        if change is not None and change.stage is Stage.ADOPTING and change.certificate is not None:
            certificates.append(change.certificate)
        for certificate in certificates:
            why = why_not_certified(SECRET, certificate)
            if why:
                raise Wrong(f"ledger {index}: {why}")
            self.approved.add((certificate.version.number, certificate.version.content))

    def _check_running(self, rank: int, running: Any) -> None:
        version = running.version
        if (version.number, version.content) not in self.approved:
            raise Wrong(f"gw-{rank} runs {version.show()}, which nobody approved")

    def _check_serving(self, rank: int, number: int, now: int) -> None:
        before = now - int(self.fleet.rollout.lease_us) - SLACK
        oldest = max((index for index, at in self.since.items() if at <= before), default=0)
        wanted = {one.target(rank).version.number for index, one in self.ledgers.items() if index >= oldest}
        if number not in wanted:
            raise Wrong(f"gw-{rank} serves by version {number}, wanted of late: {wanted}")


def play_story(
    story: Story, fleet: FleetSettings, rules: Callable[[int], bytes], customers: bytes
) -> Counter[str]:
    """What was done in a story. Raises Wrong."""
    return VersionFleet(story, fleet, rules, customers).run().told
