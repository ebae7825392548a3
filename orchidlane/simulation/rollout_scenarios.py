"""Random rollout scenarios of simulated gateways, which run the gateway program; a seed gives one scenario.

Versions are proposed and rolled back while gateways are killed, restarted with old, truncated or no files,
paused and partitioned, while datagrams are lost, duplicated and delayed, and while disks are full. Invariants
that are checked throughout:

- states: no two replicated states have the same index;
- versions: a version that runs was approved in a chosen state, with its certificate;
- serving: a gateway that serves runs the version that some state of the last lease assigns to it.

At the end, once all faults are removed, all gateways must run the same version.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from orchidlane.config import Duration
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.rollout_agent.admin_client import AdminCallError, AdminClient
from orchidlane.gateway.rollout_agent.admin_messages import CommandOutcome, CommandRequest, RolloutStatus
from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.rollout.version import ContentHashes, content_hash
from orchidlane.runtime import EventLoop, Process
from orchidlane.runtime.simulated_backend import NetworkFaults, SimulatedBackend
from orchidlane.simulation.rollout_checker import (
    CHECK_INTERVAL_US,
    SECRET,
    InvariantViolationError,
    RolloutChecker,
)
from orchidlane.simulation.rollout_faults import FAULT_KINDS, NORMAL_DELAY_US, FaultInjector

SECOND_US = 1_000_000
CONVERGENCE_TIMEOUT_US = 40 * SECOND_US
BOOTSTRAP_TIMEOUT_US = 20 * SECOND_US
CALL_TIMEOUT_US = 3 * SECOND_US
MAX_RESPONSE_BYTES = 1 << 20
INVALID_EDIT = -1  # number of an edit whose description is invalid


@dataclass
class RolloutScenario:
    """A seed's fleet, faults and duration; ``event_counts`` counts faults and commands of the run by kind."""

    seed: int
    gateways: int
    voters: int
    duration_us: int = 12 * SECOND_US
    soak_us: int = 0  # time in each stage of a rollout; 0 for a rollout without stages
    faults: frozenset[str] = frozenset()
    event_counts: Counter[str] = field(default_factory=Counter)


def random_scenario(seed: int, max_gateways: int = 12) -> RolloutScenario:
    """Return a scenario with a random subset of the faults (swarm testing)."""
    rng = random.Random(seed)
    voters = rng.choice((3, 3, 3, 5))
    gateways = rng.randint(voters, max(voters, max_gateways))
    faults = frozenset(kind for kind in FAULT_KINDS if rng.random() < 0.5)
    soak_us = rng.choice((0, 0, SECOND_US // 4))
    return RolloutScenario(seed, gateways, voters, faults=faults, soak_us=soak_us)


def run_scenario(
    scenario: RolloutScenario, fleet: FleetSettings, describe_edit: Callable[[int], bytes], customers: bytes
) -> Counter[str]:
    """Run a scenario; return the numbers of faults and commands. Raises InvariantViolationError."""
    return SimulatedRolloutFleet(scenario, fleet, describe_edit, customers).run().event_counts


class SimulatedRolloutFleet:
    """The gateways of a scenario; ``describe_edit`` returns the OpenAPI description of an edit by number."""

    def __init__(
        self,
        scenario: RolloutScenario,
        fleet: FleetSettings,
        describe_edit: Callable[[int], bytes],
        customers: bytes,
    ) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed ^ 0x5EED)
        faults = NetworkFaults(delay_us=NORMAL_DELAY_US, slow_probability=0.0, datagram_loss_probability=0.0)
        self.backend = SimulatedBackend(scenario.seed, faults)
        self.loop = EventLoop(self.backend)
        self.describe_edit = describe_edit
        self.customers = customers
        self.fleet = _fleet_settings(scenario, fleet)
        self.client = AdminClient(self.loop, self.fleet, SECRET)
        self.processes: dict[int, Process] = {}
        self.programs: dict[int, GatewayProcess] = {}
        self.checker = RolloutChecker(int(self.fleet.rollout.lease_us))
        self.faults = FaultInjector(self)
        self.edits = 0

    # Gateways

    def start(self, rank: int) -> None:
        """Start a gateway with the files that it has on disk."""
        self.processes[rank] = self.backend.start(f"gw-{rank}", self._run_gateway, rank)

    def _run_gateway(self, rank: int) -> None:
        program = GatewayProcess(self.loop, self.fleet, rank, SECRET)
        self.programs[rank] = program
        program.run()

    def kill(self, rank: int) -> None:
        """Kill a gateway, as SIGKILL does."""
        if not self.processes[rank].is_dead:
            self.backend.kill(self.processes[rank])

    def running_ranks(self) -> list[int]:
        """Return the ranks of the gateways that run, including those that are paused."""
        return [rank for rank, process in self.processes.items() if not process.is_dead]

    def agent(self, rank: int) -> RolloutAgent:
        """Return a gateway's rollout agent."""
        agent = self.programs[rank].rollout_agent
        assert agent is not None
        return agent

    def files_of(self, rank: int) -> dict[str, bytes]:
        """Return the files that a gateway has on disk, by path."""
        prefix = f"state/gw-{rank}."
        return {path: data for path, data in self.backend.files.items() if path.startswith(prefix)}

    # The scenario

    def run(self) -> RolloutScenario:
        """Run the scenario from the first start to the final check. Raises InvariantViolationError."""
        self.loop.run(self._run)
        return self.scenario

    def _run(self) -> None:
        self.backend.files["openapi"] = self.describe_edit(0)
        self.backend.files["customers"] = self.customers
        for rank in range(self.scenario.gateways):
            self.start(rank)
        self.wait_until(self.has_converged, BOOTSTRAP_TIMEOUT_US, "the first state was never created")
        checker = self.loop.spawn(self._run_checker, process=self.loop.main_process, name="checker")
        author = self.loop.spawn(self._run_author, process=self.loop.main_process, name="author")
        injectors = [
            self.loop.spawn(self.faults.inject, kind, process=self.loop.main_process, name=kind)
            for kind in sorted(self.scenario.faults)
        ]
        self.loop.sleep(self.scenario.duration_us)
        for task in (author, *injectors):
            self.loop.cancel(task)
        self.faults.clear()
        self.wait_until(
            self.has_converged, CONVERGENCE_TIMEOUT_US, "the gateways did not converge to one version"
        )
        if checker.is_done:
            raise InvariantViolationError(str(checker.error))
        self.check_invariants()
        self.loop.cancel(checker)
        for rank in self.running_ranks():
            self.kill(rank)

    def wait_until(self, condition: Callable[[], bool], timeout_us: int, message: str) -> None:
        """Wait for a condition. Raises InvariantViolationError if it is not met in time."""
        deadline = self.loop.now() + timeout_us
        while not condition():
            if self.loop.now() > deadline:
                raise InvariantViolationError(f"{message}: {self.describe()}")
            self.loop.sleep(CHECK_INTERVAL_US)

    def describe(self) -> list[str]:
        """Return a line with the state of each gateway, for error messages."""
        return [self._describe_gateway(rank) for rank in self.programs]

    def _describe_gateway(self, rank: int) -> str:
        agent = self.agent(rank)
        parts = [f"gw-{rank} runs {agent.agent_state.running_number}"]
        state = agent.state
        if state is not None:
            parts.append(f"index {state.index} term {state.term} leader {state.leader} {state.rollout}")
        parts.append(f"rejects: {agent.rejection_reason()!r} adoption: {agent.adoption.error!r}")
        if agent.leadership is not None:
            voter = agent.leadership.voter
            parts.append(f"votes {voter.may_vote} member {voter.is_member} verifying {voter.verifying_store}")
        return "; ".join(parts)

    def has_converged(self) -> bool:
        """Return whether all gateways serve the same version, and no rollout is in progress."""
        if len(self.programs) < self.scenario.gateways:
            return False
        running_versions = set()
        for rank in self.programs:
            agent = self.agent(rank)
            if agent.state is None or agent.state.rollout is not None or agent.rejection_reason():
                return False
            if agent.agent_state.running is None:
                return False
            running_versions.add((agent.state.index, agent.agent_state.running.version))
        return len(running_versions) == 1

    # The author of versions, who sends random commands

    def _run_author(self) -> None:
        while True:
            self.loop.sleep(self.random.randint(SECOND_US // 5, 2 * SECOND_US))
            rank = self.random.choice(list(self.processes))
            try:
                self._send_random_command(rank)
            except (AdminCallError, msgspec.DecodeError):
                self.scenario.event_counts["unheard"] += 1

    def call(self, rank: int, method: str, path: str, body: bytes = b"") -> bytes:
        """Send a request to a gateway's admin address; return the response's body. Raises AdminCallError."""
        response = self.client.call(
            rank,
            method,
            path,
            body,
            timeout_us=CALL_TIMEOUT_US,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )
        return response.body

    def _send_random_command(self, rank: int) -> None:
        status = msgspec.msgpack.decode(self.call(rank, "GET", "status"), type=RolloutStatus)
        request = self._random_request(rank, status)
        if request is None:
            return
        response = self.call(rank, "POST", "command", msgspec.msgpack.encode(request))
        outcome = msgspec.msgpack.decode(response, type=CommandOutcome)
        result = "taken" if outcome.is_accepted else "not taken"
        self.scenario.event_counts[f"{request.action} {result}"] += 1

    def _random_request(self, rank: int, status: RolloutStatus) -> CommandRequest | None:
        """Return a random command: roll back, revert the latest version, stop, resume or propose an edit.

        None if there is no version to start from.
        """
        latest = status.rollout_version or status.current_version
        if latest is None:
            return None
        current = status.current_version
        if status.rollout_version is not None and self.random.random() < 0.5 and current is not None:
            return self._command_request("propose", latest.number, current.contents, latest.number)
        if self.random.random() < 0.3 and latest.number:
            versions = {entry.version.number: entry.version for entry in status.history}
            base = versions.get(latest.base)
            if base is None:
                return None
            return self._command_request("propose", latest.number, base.contents, latest.number)
        if self.random.random() < 0.1:
            return self._command_request(self.random.choice(("stop", "resume")), latest.number)
        return self._command_request("propose", latest.number, self._upload_edit(rank))

    def _upload_edit(self, rank: int) -> ContentHashes:
        self.edits += 1
        data = self.describe_edit(self.edits if self.random.random() < 0.9 else INVALID_EDIT)
        self.call(rank, "PUT", f"content/{content_hash(data)}", data)
        return ContentHashes(content_hash(data), content_hash(self.customers))

    def _command_request(
        self, action: str, base: int, contents: ContentHashes | None = None, reverts: int = 0
    ) -> CommandRequest:
        command_id = f"{self.random.getrandbits(64):016x}"
        return CommandRequest(command_id, action, base, "a scenario", "because", contents, reverts)

    def _run_checker(self) -> None:
        while True:
            self.check_invariants()
            self.loop.sleep(CHECK_INTERVAL_US)

    def check_invariants(self) -> None:
        """Check the invariants of all gateways that run. Raises InvariantViolationError."""
        for rank in self.running_ranks():
            if rank in self.programs:
                is_frozen = self.processes[rank].is_frozen
                self.checker.check(rank, self.agent(rank), is_frozen, self.loop.now())


def _fleet_settings(scenario: RolloutScenario, fleet: FleetSettings) -> FleetSettings:
    """Return the settings of a scenario's fleet, with short leases and timeouts."""
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
        for rank in range(scenario.gateways)
    )
    rollout = msgspec.structs.replace(
        fleet.rollout,
        voting_members=tuple(f"gw-{rank}" for rank in range(scenario.voters)),
        lease_us=Duration(2 * SECOND_US),
        poll_interval_us=Duration(SECOND_US // 10),
        heartbeat_interval_us=Duration(SECOND_US // 20),
        election_timeout_us=Duration(SECOND_US * 3 // 10),
        decision_timeout_us=Duration(3 * SECOND_US),
        soak_us=Duration(scenario.soak_us),
    )
    return msgspec.structs.replace(
        fleet,
        gateways=entries,
        rollout=rollout,
        description="openapi",
        customers="customers",
        state_directory="state",
    )
