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
from orchidlane.gateway.control.settings import Fleet, address
from orchidlane.gateway.lifecycle.process import Program
from orchidlane.gateway.rollout_agent.admin_client import PATH_PREFIX, AdminCallError, call_admin_api
from orchidlane.gateway.rollout_agent.admin_messages import CommandOutcome, CommandRequest, RolloutStatus
from orchidlane.rollout.replicated_state import ReplicatedState, RolloutPhase
from orchidlane.rollout.version import ContentHashes, certificate_error, content_hash
from orchidlane.runtime import Faults, Loop, Process, SimWorld

SECRET = b"a secret for stand-ins only"
SECOND = 1_000_000
CHECK_INTERVAL_US = 10_000  # microseconds between two looks
LEASE_TOLERANCE_US = 5 * CHECK_INTERVAL_US
CONVERGENCE_TIMEOUT_US = 40 * SECOND  # for all to come to one version
BOOTSTRAP_TIMEOUT_US = 20 * SECOND
CALL_TIMEOUT_US = 3 * SECOND


class InvariantViolation(AssertionError):
    """What must never be, or never came."""


@dataclass
class RolloutScenario:
    """One seed's fleet, faults and length."""

    seed: int
    gateways: int
    voters: int
    duration_us: int = 12 * SECOND
    soak_us: int = 0  # stages, where it is not
    faults: frozenset[str] = frozenset()
    event_counts: Counter[str] = field(default_factory=Counter)


FAULT_KINDS = ("kill", "still", "cut", "loss", "old", "empty", "broken", "full")


def random_scenario(seed: int, max_gateways: int = 12) -> RolloutScenario:
    """A story of its own subset of faults (swarm)."""
    rng = random.Random(seed)
    voters = rng.choice((3, 3, 3, 5))
    gateways = rng.randint(voters, max(voters, max_gateways))
    faults = frozenset(kind for kind in FAULT_KINDS if rng.random() < 0.5)
    return RolloutScenario(seed, gateways, voters, faults=faults, soak_us=rng.choice((0, 0, SECOND // 4)))


class SimulatedRolloutFleet:
    """The gateways of a story; ``rules`` makes the description of an edit."""

    def __init__(
        self, scenario: RolloutScenario, fleet: Fleet, describe_edit: Callable[[int], bytes], customers: bytes
    ) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed ^ 0x5EED)
        calm = Faults(delay=(100, 900), slow_chance=0.0, datagram_loss=0.0)
        self.world = SimWorld(scenario.seed, calm)
        self.loop = Loop(self.world)
        self.describe_edit = describe_edit
        self.customers = customers
        self.fleet = self._settings(fleet)
        self.processes: dict[int, Process] = {}
        self.programs: dict[int, Program] = {}
        self.old_files: dict[int, dict[str, bytes]] = {}
        self.state_hashes: dict[int, str] = {}  # index -> the ledger's name
        self.states: dict[int, ReplicatedState] = {}
        self.first_seen_at: dict[int, int] = {}  # index -> when it was first seen
        self.approved: set[tuple[int, str]] = set()
        self.edits = 0

    def _settings(self, fleet: Fleet) -> Fleet:
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
            for rank in range(self.scenario.gateways)
        )
        terms = msgspec.structs.replace(
            fleet.change,
            voters=tuple(f"gw-{rank}" for rank in range(self.scenario.voters)),
            lease=Duration(2 * SECOND),
            every=Duration(SECOND // 10),
            beat=Duration(SECOND // 20),
            silence=Duration(SECOND * 3 // 10),
            decide=Duration(3 * SECOND),
            soak=Duration(self.scenario.soak_us),
        )
        return msgspec.structs.replace(
            fleet, gateways=entries, change=terms, description="openapi", customers="customers", state="state"
        )

    # -- gateways

    def start(self, rank: int) -> None:
        """Start a gateway with the files that there are."""
        self.processes[rank] = self.world.start(f"gw-{rank}", self._gateway, rank)

    def _gateway(self, rank: int) -> None:
        program = Program(self.loop, self.fleet, rank, SECRET)
        self.programs[rank] = program
        program.run()

    def kill(self, rank: int) -> None:
        """As SIGKILL does."""
        if not self.processes[rank].dead:
            self.world.kill(self.processes[rank])

    def running_ranks(self) -> list[int]:
        """The gateways that run, standing still or not."""
        return [rank for rank, process in self.processes.items() if not process.dead]

    def files_of(self, rank: int) -> dict[str, bytes]:
        """All that a gateway has on disk."""
        return {path: data for path, data in self.world.files.items() if path.startswith(f"state/gw-{rank}.")}

    # -- the story

    def run(self) -> RolloutScenario:
        """From the first start to the verdict. Raises Wrong."""
        self.loop.run(self._run)
        return self.scenario

    def _run(self) -> None:
        story, loop = self.scenario, self.loop
        self.world.files["openapi"] = self.describe_edit(0)
        self.world.files["customers"] = self.customers
        for rank in range(story.gateways):
            self.start(rank)
        self._wait_until(self._has_converged, BOOTSTRAP_TIMEOUT_US, "the ledger was never founded")
        watcher = loop.spawn(self._run_checker, process=loop.home, name="watcher")
        author = loop.spawn(self._run_author, process=loop.home, name="author")
        tasks = [
            loop.spawn(self._inject_faults, kind, process=loop.home, name=kind)
            for kind in sorted(story.faults)
        ]
        loop.sleep(story.duration_us)
        for task in (author, *tasks):
            loop.cancel(task)
        self._clear_faults()
        self._wait_until(self._has_converged, CONVERGENCE_TIMEOUT_US, "the gateways came to no one version")
        if watcher.done:
            raise InvariantViolation(str(watcher.error))
        self._check_invariants()
        loop.cancel(watcher)
        for rank in self.running_ranks():
            self.kill(rank)

    def _clear_faults(self) -> None:
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

    def _wait_until(self, condition: Callable[[], bool], timeout_us: int, message: str) -> None:
        by = self.loop.now() + timeout_us
        while not condition():
            if self.loop.now() > by:
                raise InvariantViolation(f"{message}: {self.describe()}")
            self.loop.sleep(CHECK_INTERVAL_US)

    def describe(self) -> list[Any]:
        """How each gateway stands, for whoever reads of a failure."""
        found = []
        for rank, program in self.programs.items():
            versions = program.versions
            assert versions is not None
            conductor = versions.leadership
            seat = ""
            if conductor is not None:
                register = conductor.voter
                seat = f"votes {register.may_vote} seated {register.is_member} checking {register.verifying_store}"
            latest = versions.state
            about = (latest.index, latest.term, latest.leader, latest.rollout) if latest else ()
            why = versions.rejection_reason()
            found.append((rank, versions.known.running_number, about, why, versions.adoption.error, seat))
        return found

    def _has_converged(self) -> bool:
        """All serve by one version, and no change is on its way."""
        if len(self.programs) < self.scenario.gateways:
            return False
        seen = set()
        for program in self.programs.values():
            versions = program.versions
            assert versions is not None
            if versions.state is None or versions.state.rollout is not None or versions.rejection_reason():
                return False
            if versions.known.running is None:
                return False
            seen.add((versions.state.index, versions.known.running.version))
        return len(seen) == 1

    # -- who changes things

    def _run_author(self) -> None:
        while True:
            self.loop.sleep(self.random.randint(SECOND // 5, 2 * SECOND))
            rank = self.random.choice(list(self.processes))
            try:
                self._send_random_command(rank)
            except (AdminCallError, msgspec.DecodeError):
                self.scenario.event_counts["unheard"] += 1

    def _call(self, rank: int, method: str, what: str, body: bytes = b"") -> bytes:
        at = address(self.fleet.gateways[rank].admin)
        by = self.loop.now() + CALL_TIMEOUT_US
        return call_admin_api(
            self.loop,
            at,
            SECRET,
            method,
            PATH_PREFIX + what.encode(),
            body,
            deadline_us=by,
            max_response_bytes=1 << 20,
        )[1]

    def _send_random_command(self, rank: int) -> None:
        status = msgspec.msgpack.decode(self._call(rank, "GET", "status"), type=RolloutStatus)
        latest = status.rollout_version or status.current_version
        if latest is None:
            return
        if (
            status.rollout_version is not None
            and self.random.random() < 0.5
            and status.current_version is not None
        ):
            order = self._command_request(
                "propose", latest.number, status.current_version.contents, latest.number
            )
        elif self.random.random() < 0.3 and latest.number:
            known = {entry.version.number: entry.version for entry in status.history}
            base = known.get(latest.base)
            if base is None:
                return
            order = self._command_request("propose", latest.number, base.contents, latest.number)
        elif self.random.random() < 0.1:
            order = self._command_request(self.random.choice(("stop", "resume")), latest.number)
        else:
            self.edits += 1
            data = self.describe_edit(self.edits if self.random.random() < 0.9 else -1)
            self._call(rank, "PUT", f"content/{content_hash(data)}", data)
            parts = ContentHashes(content_hash(data), content_hash(self.customers))
            order = self._command_request("propose", latest.number, parts)
        answer = self._call(rank, "POST", "command", msgspec.msgpack.encode(order))
        outcome = msgspec.msgpack.decode(answer, type=CommandOutcome)
        self.scenario.event_counts[f"{order.action} {'taken' if outcome.is_accepted else 'not taken'}"] += 1

    def _command_request(
        self, do: str, base: int, parts: ContentHashes | None = None, undoes: int = 0
    ) -> CommandRequest:
        name = f"{self.random.getrandbits(64):016x}"
        return CommandRequest(name, do, base, "a story", "because", parts, undoes)

    # -- what befalls

    def _inject_faults(self, kind: str) -> None:
        rng = self.random
        trouble: Callable[[int], Iterator[None]] = getattr(self, f"_{kind}")
        while True:
            self.loop.sleep(rng.randint(SECOND // 5, 3 * SECOND))
            self.scenario.event_counts[kind] += 1
            for _ in trouble(rng.randrange(self.scenario.gateways)):
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
        ranks = range(self.scenario.gateways)
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

    def _can_lose_disk(self, rank: int) -> bool:
        """More voters without their disks than a quorum can spare would end the ledger, as is documented."""
        known = [program.versions.state for program in self.programs.values() if program.versions]
        if any(latest.previous_members for latest in known if latest is not None):
            return rank >= self.scenario.voters  # a change of seats is not settled: both sides are needed
        others = [
            one
            for one in self.running_ranks()
            if one < self.scenario.voters and one != rank and self._may_vote(one)
        ]
        return rank >= self.scenario.voters or len(others) > self.scenario.voters // 2

    def _may_vote(self, rank: int) -> bool:
        versions = self.programs[rank].versions
        return versions is not None and versions.leadership is not None and versions.leadership.voter.may_vote

    def _restart_with(self, rank: int, files: dict[str, bytes]) -> Iterator[None]:
        if self.processes[rank].dead or not self._can_lose_disk(rank):
            return
        self.kill(rank)
        yield
        if not self.processes[rank].dead or not self._can_lose_disk(rank):
            return
        for path in self.files_of(rank):
            del self.world.files[path]
        self.world.files.update(files)
        self.start(rank)

    def _old(self, rank: int) -> Iterator[None]:
        """It comes back with what it had some time ago."""
        files = self.files_of(rank)
        yield
        yield from self._restart_with(rank, files)

    def _empty(self, rank: int) -> Iterator[None]:
        yield from self._restart_with(rank, {})

    def _broken(self, rank: int) -> Iterator[None]:
        """Its files are cut somewhere."""
        files = {
            path: data[: self.random.randint(0, len(data))] for path, data in self.files_of(rank).items()
        }
        yield from self._restart_with(rank, files)

    # -- what has to hold

    def _run_checker(self) -> None:
        while True:
            self._check_invariants()
            self.loop.sleep(CHECK_INTERVAL_US)

    def _check_invariants(self) -> None:
        now = self.loop.now()
        for rank in self.running_ranks():
            program = self.programs.get(rank)
            versions = program.versions if program is not None else None
            if versions is None or versions.state is None or program is None:
                continue
            self._record_state(versions.state, versions.dissemination.state_hash, now)
            if versions.leadership is not None and versions.leadership.voter.chosen_state is not None:
                known = versions.leadership.voter.chosen_state
                self._record_state(known, content_hash(msgspec.msgpack.encode(known)), now)
            if versions.known.running is not None:
                self._check_running(rank, versions.known.running)
            if not self.processes[rank].frozen and not versions.rejection_reason():
                self._check_serving(rank, versions.known.running_number, now)

    def _record_state(self, latest: ReplicatedState, name: str, now: int) -> None:
        index = latest.index
        if self.state_hashes.setdefault(index, name) != name:
            raise InvariantViolation(f"two ledgers of index {index}: {latest}; {self.states[index]}")
        if index in self.first_seen_at:
            return
        self.first_seen_at[index], self.states[index] = now, latest
        change = latest.rollout
        certificates = [latest.current]
        if change is not None and change.phase is RolloutPhase.ADOPTING and change.certificate is not None:
            certificates.append(change.certificate)
        for certificate in certificates:
            why = certificate_error(SECRET, certificate)
            if why:
                raise InvariantViolation(f"ledger {index}: {why}")
            self.approved.add((certificate.version.number, certificate.version.combined_hash))

    def _check_running(self, rank: int, running: Any) -> None:
        version = running.version
        if (version.number, version.combined_hash) not in self.approved:
            raise InvariantViolation(f"gw-{rank} runs {version.label()}, which nobody approved")

    def _check_serving(self, rank: int, number: int, now: int) -> None:
        before = now - int(self.fleet.change.lease) - LEASE_TOLERANCE_US
        oldest = max((index for index, at in self.first_seen_at.items() if at <= before), default=0)
        wanted = {
            one.target_certificate(rank).version.number
            for index, one in self.states.items()
            if index >= oldest
        }
        if number not in wanted:
            raise InvariantViolation(f"gw-{rank} serves by version {number}, wanted of late: {wanted}")


def run_scenario(
    scenario: RolloutScenario, fleet: Fleet, describe_edit: Callable[[int], bytes], customers: bytes
) -> Counter[str]:
    """What was done in a story. Raises Wrong."""
    return SimulatedRolloutFleet(scenario, fleet, describe_edit, customers).run().event_counts
