"""The rollout agent: keeps a gateway's replicated state, reports to the leader, and runs the agent's parts.

Replicated states and content files that a datagram names are fetched in separate tasks (``blob_fetcher``).
A voter's events are processed one at a time (``voter_runner``). A new version is read and checked while the
gateway serves requests, and then replaces the whole configuration in one step (``adoption``).
"""

from __future__ import annotations

from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.rollout_agent.admin_client import AdminClient
from orchidlane.gateway.rollout_agent.admin_messages import CommandOutcome
from orchidlane.gateway.rollout_agent.admission import Admission
from orchidlane.gateway.rollout_agent.adoption import Adoption
from orchidlane.gateway.rollout_agent.agent_state import AgentState
from orchidlane.gateway.rollout_agent.answer_tally import ResponseTally
from orchidlane.gateway.rollout_agent.background_tasks import BackgroundTasks
from orchidlane.gateway.rollout_agent.blob_fetcher import BlobFetcher
from orchidlane.gateway.rollout_agent.canary_observer import CanaryObserver
from orchidlane.gateway.rollout_agent.configuration_reader import ConfigurationReader
from orchidlane.gateway.rollout_agent.process_interface import GatewayProcess
from orchidlane.gateway.rollout_agent.settings import leadership_settings, voter_ranks
from orchidlane.gateway.rollout_agent.storage import RolloutStorage
from orchidlane.gateway.rollout_agent.version_review import VersionReview
from orchidlane.gateway.rollout_agent.voter_runner import VoterRunner
from orchidlane.rollout import messages, replicated_state
from orchidlane.rollout.commands import Command
from orchidlane.rollout.dissemination import Action, Dissemination, FetchState
from orchidlane.rollout.leader import Leadership
from orchidlane.rollout.replicated_state import ReplicatedState, RolloutPhase
from orchidlane.rollout.version import Certificate, ContentHashes, content_hash
from orchidlane.runtime import CONTROL, Task, TaskGroup

TICK_INTERVAL_US = 20_000
REPORT_INTERVAL_US = 500_000


class RolloutAgent:
    """Disseminates the replicated state and adopts versions; on a voter, also votes and leads."""

    def __init__(self, process: GatewayProcess) -> None:
        self.process = process
        self.loop = process.loop
        self.fleet = process.fleet
        self.rank = process.rank
        self.secret = process.secret
        self.log = process.log
        self.voters = voter_ranks(self.fleet)
        self.agent_state = AgentState()
        self.response_tally = ResponseTally()
        self.client = AdminClient(self.loop, self.fleet, self.secret)
        backend = self.loop.backend
        name = self.fleet.gateways[self.rank].name
        self.storage = RolloutStorage(backend, f"{self.fleet.state_directory}/{name}")
        self.dissemination = Dissemination(
            self.rank,
            len(self.fleet.gateways),
            self.voters,
            self.fleet.rollout.lease_us,
            self.fleet.rollout.poll_interval_us,
            backend.random,
        )
        self._background = BackgroundTasks(self.loop)
        self._build_parts()
        self._tick_task: Task | None = None
        self._acknowledged_report: tuple[tuple[int, int], int, int] | None = None
        self._reported_at = 0
        self._logged_rejection = "not started"

    def _build_parts(self) -> None:
        background = self._background
        reader = ConfigurationReader(self.fleet, self.storage, self.log)
        self.fetcher = BlobFetcher(
            self.rank,
            self.voters,
            self.client,
            self.agent_state,
            self.storage,
            background,
            self.loop.backend.random,
            self.log,
        )
        self.voter_runner = VoterRunner(
            self.rank,
            self.loop,
            self.storage,
            self.fetcher,
            self._send,
            lambda state, state_hash, data: self._learn_state(state, state_hash, data, None),
            self.log,
        )
        self.adoption = Adoption(
            self.process, self.agent_state, self.storage, self.fetcher, reader, background, self._on_adopted
        )
        self._admission = Admission(
            self.rank,
            self.voters,
            self.secret,
            self.agent_state,
            background,
            self.voter_runner,
            self._send,
            self.log,
        )
        self._review = VersionReview(
            self.secret, self.fetcher, reader, background, self.voter_runner.enqueue, self._send, self.log
        )
        self._canary_observer = CanaryObserver(self.rank, self.client, self.response_tally, self.log)

    # -- start and stop

    def restore(self, generation: int) -> ConfigurationSnapshot | None:
        """Return the configuration that an earlier process ran; None if it cannot be restored."""
        restored = self.adoption.restore(generation)
        if restored is None:
            return None
        data = restored.encoded_state
        self._learn_state(restored.state, content_hash(data), data, None)
        return restored.snapshot

    def start(self, scope: TaskGroup) -> None:
        """Start to take part in the protocol; the voter's file of an earlier process is read only now."""
        self._store_own_contents()
        if self.rank in self.voters:
            self.voter_runner.load_voter(
                len(self.fleet.gateways), self.secret, leadership_settings(self.fleet), self.state
            )
        self.voter_runner.start(scope)
        self._tick_task = scope.spawn(self._run_ticks, priority=CONTROL, name="rollout agent")
        self._background.scope = scope

    def stop(self) -> None:
        """Stop taking part in the protocol, because another process of this gateway takes over."""
        self.voter_runner.stop()
        if self._tick_task is not None:
            self.loop.cancel(self._tick_task)
        self._tick_task = None
        self._background.scope = None

    def _store_own_contents(self) -> None:
        """Make the gateway's own files, which are version 0, available for other gateways to fetch."""
        sources = self.process.sources
        if sources is None:
            return
        description, customers = sources
        self.agent_state.own_contents = ContentHashes(content_hash(description), content_hash(customers))
        if self.state is None:
            for data in sources:
                self.storage.cache_state(content_hash(data), data)

    # -- interface for the rest of the gateway

    @property
    def state(self) -> ReplicatedState | None:
        """The latest replicated state that this gateway knows."""
        return self.agent_state.replicated

    @property
    def leadership(self) -> Leadership | None:
        """The voter's leadership; None if this gateway is not a voter."""
        return self.voter_runner.leadership

    def rejection_reason(self) -> str:
        """Return why requests are rejected; "" if they are served."""
        return self.dissemination.rejection_reason(self.loop.now())

    def record_response(self, pending: PendingRequest, response: ClientResponse, duration_us: int) -> None:
        """Count a final response for the canary analysis."""
        self.response_tally.record(pending, response, duration_us, self.loop.now())

    def run_command(self, command: Command, command_id: str) -> CommandOutcome | None:
        """Have a command carried out and wait for its outcome; None if this gateway is not the leader."""
        return self.voter_runner.run_command(command, command_id)

    # -- datagrams

    def receive(self, sender: int, body: bytes) -> None:
        """Handle a datagram of another gateway, or a message of this gateway to itself."""
        message = messages.decode(body)
        if message is None or not 0 <= sender < len(self.fleet.gateways):
            return
        leadership = self.leadership
        match message:
            case messages.GossipRequest() | messages.GossipResponse() | messages.NewStateHint():
                is_blank = leadership is not None and not leadership.voter.voter_state.vote_count
                self._carry_out(self.dissemination.receive(self.loop.now(), sender, message, is_blank))
            case messages.AdoptionReportAck():
                numbers = (message.running_number, message.target_number)
                self._acknowledged_report = (self._leader_and_term(), *numbers)
            case _ if leadership is not None:
                self.voter_runner.receive(sender, message, leadership)
                self._update_on_heartbeat(sender, message, leadership)

    def _update_on_heartbeat(self, sender: int, message: messages.Message, leadership: Leadership) -> None:
        match message:
            case messages.Heartbeat() if message.index > self.dissemination.index:
                self._fetch_state(sender, message.state_hash, None)
            case messages.HeartbeatAck():
                self._record_confirmation(leadership)

    def _record_confirmation(self, leadership: Leadership) -> None:
        if leadership.confirmed_at is not None and leadership.is_leader:
            self.dissemination.record_confirmation(leadership.confirmed_at)

    def _send(self, rank: int, message: messages.Message) -> None:
        if rank == self.rank:
            self.receive(rank, messages.encode(message))
        else:
            self.process.send_rollout_datagram(rank, messages.encode(message))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, FetchState):
                self._fetch_state(action.rank, action.state_hash, action.confirmed_at)
            else:
                self._send(action.rank, action.message)

    # -- the latest replicated state

    def _fetch_state(self, rank: int, state_hash: str, confirmed_at: int | None) -> None:
        def learn(state: ReplicatedState) -> None:
            self._learn_state(state, state_hash, replicated_state.encode(state), confirmed_at)

        self.fetcher.with_state(rank, state_hash, learn)

    def _learn_state(
        self, state: ReplicatedState, state_hash: str, data: bytes, confirmed_at: int | None
    ) -> None:
        """Record a chosen state; ``confirmed_at`` is when a quorum confirmed it, None if not known."""
        if self.state is not None and state.index < self.state.index:
            return
        is_later = self.state is None or state.index > self.state.index
        self.storage.cache_state(state_hash, data)
        self.agent_state.replicated = state
        actions = self.dissemination.learn_state(state.index, state_hash, confirmed_at)
        if self._background.is_started:
            self._carry_out(actions)
        self._update_target(state)
        if not is_later:
            return
        if self.leadership is not None:
            self.voter_runner.learn_chosen(state)
        self._log_state(state)
        self.adoption.persist()

    def _log_state(self, state: ReplicatedState) -> None:
        rollout = state.rollout
        self.log.info(
            "replicated state updated",
            index=state.index,
            term=state.term,
            leader=state.leader,
            version=state.current.version.label(),
            rollout=f"{rollout.version.label()} {rollout.phase.value}" if rollout else "",
        )

    def _update_target(self, state: ReplicatedState) -> None:
        """Update whether the target version runs here: the dissemination grants service only then."""
        target = state.target_certificate(self.rank).version
        running = self.agent_state.running
        runs_target = running is not None and running.version == target
        runs_initial = (
            running is None and target.number == 0 and target.contents == self.agent_state.own_contents
        )
        self.dissemination.set_running(runs_target or runs_initial, runs_initial)

    def _on_adopted(self) -> None:
        self._reported_at = 0
        if self.state is not None:
            self._update_target(self.state)
        self.adoption.persist()

    # -- periodic work

    def _run_ticks(self) -> None:
        while True:
            now = self.loop.now()
            self._carry_out(self.dissemination.tick(now))
            if self.leadership is not None:
                self._tick_voter(now, self.leadership)
            if self.state is not None:
                self.adoption.tick(self.state)
                self._report_if_due(now, self.state)
            self._log_rejection()
            self.loop.sleep(TICK_INTERVAL_US)

    def _tick_voter(self, now: int, leadership: Leadership) -> None:
        self.voter_runner.tick(now, leadership)
        self._record_confirmation(leadership)
        self.voter_runner.propose_next(now, leadership)
        self._admission.tick(now, leadership)
        if self.state is None:
            return
        if leadership.voter.may_vote:
            self._review.tick(self.state, leadership.voter)
        rollout = self.state.rollout
        if rollout is None or rollout.phase is not RolloutPhase.ADOPTING or not leadership.is_leader:
            return
        if not self._background.is_running("canary") and self._background.is_due("canary"):
            self._background.start(
                "canary", lambda: self._canary_observer.observe(rollout, leadership.driver)
            )

    def _report_if_due(self, now: int, state: ReplicatedState) -> None:
        """Report the running version to the leader until it acknowledges that; during a rollout, always."""
        target = state.target_certificate(self.rank)
        report = (self._leader_and_term(), self.agent_state.running_number, target.version.number)
        must_report = report != self._acknowledged_report or state.rollout is not None
        if must_report and now - self._reported_at >= REPORT_INTERVAL_US:
            self._report(now, state, target)

    def _report(self, now: int, state: ReplicatedState, target: Certificate) -> None:
        if state.leader < 0:
            return
        self._reported_at = now
        report = messages.AdoptionReport(
            self.agent_state.running_number,
            target.version.number,
            self.response_tally.responses_per_second(now),
            messages.truncate_reason(self.adoption.error),
        )
        self._send(state.leader, report)

    def _leader_and_term(self) -> tuple[int, int]:
        return (self.state.leader, self.state.term) if self.state is not None else (-1, 0)

    def _log_rejection(self) -> None:
        """Log when requests start or stop being rejected; call ``when_ready`` when they are first served."""
        reason = self.rejection_reason()
        if reason == self._logged_rejection:
            return
        self._logged_rejection = reason
        if reason:
            self.log.warning("rejecting all requests", reason=reason)
            return
        self.log.info("serving", version=self.agent_state.running_label)
        self.process.when_ready()
        self.process.when_ready = lambda: None
