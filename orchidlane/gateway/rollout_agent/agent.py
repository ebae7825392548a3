"""Carries out, at one gateway, what ``orchidlane.rollout`` decides on the fleet's versions.

One task works on the voter's events in turn: what they ask to be kept is on disk before anything after it is
told. Ledgers and contents that a datagram names are fetched beside it. A version is read and checked beside
the traffic, then replaces the knowledge that requests are understood by as a whole.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from orchidlane.gateway.control.configuration import Knowledge, UnfitContent, make_knowledge
from orchidlane.gateway.control.customers import CustomersError
from orchidlane.gateway.control.settings import Fleet, address
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange
from orchidlane.gateway.rollout_agent.admin_client import PATH_PREFIX, AdminCallError, call_admin_api
from orchidlane.gateway.rollout_agent.answer_tally import AnswerTally
from orchidlane.gateway.rollout_agent.storage import CorruptFileError, RolloutStorage, RunningFile, VoterFile
from orchidlane.hot_restart.rolling_batches import Limits
from orchidlane.policy import ReplicaSetChanged
from orchidlane.rollout import dissemination, messages, replicated_state, voter_state
from orchidlane.rollout.bootstrap import admission_request, bootstrap_state
from orchidlane.rollout.canary_analysis import AnswerCounts, CountsByStratum, counts_since
from orchidlane.rollout.commands import Command, ProposeVersion, ResumeRollout, StopRollout
from orchidlane.rollout.compatibility import (
    CustomerAssignment,
    VersionConfiguration,
    customers_to_reset,
    incompatibility,
)
from orchidlane.rollout.consensus import Voter
from orchidlane.rollout.dissemination import Dissemination
from orchidlane.rollout.leader import Leadership, LeadershipSettings
from orchidlane.rollout.phases import CanaryObservation, StagingSettings
from orchidlane.rollout.replicated_state import ReplicatedState, Rollout, RolloutPhase
from orchidlane.rollout.rollout_driver import RolloutSettings
from orchidlane.rollout.version import (
    Certificate,
    ContentHashes,
    Version,
    VotingMember,
    cast_vote,
    certificate_error,
    content_hash,
    is_content_hash,
)
from orchidlane.rollout.voter_state import (
    STORE_ID_BITS,
    CommandDropped,
    LogWarning,
    Persist,
    StateChosen,
    StoreBlob,
    VoterState,
)
from orchidlane.routes import DescriptionError
from orchidlane.runtime import BACKGROUND, CONTROL, Expired, Scope, Task
from orchidlane.runtime.backend import Address

if TYPE_CHECKING:
    from orchidlane.gateway.lifecycle.process import Program

TICK_INTERVAL_US = 20_000  # microseconds between two looks at what is due
MAX_QUEUED_EVENTS = 1_000  # events that wait for the voter; more are lost, as datagrams may be
FETCH_TIMEOUT_US = 2_000_000  # microseconds for a ledger or a content
MAX_CONCURRENT_FETCHES = 8  # at once
RANDOM_SOURCES = 2  # gateways at random that are tried for one content, before those that voted on it
RETRY_INTERVAL_US = 300_000  # microseconds until what failed is tried again
COMMAND_TIMEOUT_US = 5_000_000  # microseconds for a command's step
COUNTS_TIMEOUT_US = 500_000  # microseconds for the counts of another gateway
REPORT_INTERVAL_US = 500_000  # microseconds between two reports to whoever leads


_counts = msgspec.msgpack.Decoder(dict[str, AnswerCounts])


class CommandOutcome(msgspec.Struct, frozen=True):
    """What became of a command; ``again``: told again it may be taken, and is taken once at most."""

    is_accepted: bool = msgspec.field(name="taken")
    reason: str = msgspec.field(default="", name="why")
    is_retryable: bool = msgspec.field(default=False, name="again")


class RolloutAgent:
    """The part that one gateway takes in the fleet's versions."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.loop, self.fleet, self.rank = program.loop, program.fleet, program.rank
        self.world, self.secret, self.log = program.loop.world, program.secret, program.log
        fleet = self.fleet
        terms = fleet.change
        names = [entry.name for entry in fleet.gateways]
        self.voters = [names.index(name) for name in terms.voters]
        self.storage = RolloutStorage(self.world, f"{fleet.state}/{program.entry.name}")
        rng, count = self.world.random, len(fleet.gateways)
        self.dissemination = Dissemination(self.rank, count, self.voters, terms.lease, terms.every, rng)
        self.settings = LeadershipSettings(
            terms.beat, terms.silence, RolloutSettings(terms.lease, terms.decide, _stages(fleet))
        )
        self.answer_tally = AnswerTally()
        self._counted: dict[tuple[int, bool], CountsByStratum] = {}  # at the latest look, by rank and side
        self._turn = 0
        self._looked = 0  # the version whose stages were looked at last
        self.state: ReplicatedState | None = None
        self.running: Certificate | None = None  # what requests are understood by; None: our files
        self.own_contents = ContentHashes("", "")  # of our files
        self.leadership: Leadership | None = None
        self.adoption_error = ""
        self._queue: deque[Callable[[], list[Any]]] = deque()
        self._worker: Task | None = None
        self._tasks: list[Task] = []
        self._fetching: set[str] = set()
        self._busy: set[str] = set()  # kinds of work beside it that go on
        self._waits: dict[str, tuple[Task, list[CommandOutcome]]] = {}  # command -> who waits for its outcome
        self._noted: tuple[Any, ...] = ()
        self._reported = 0
        self._retry_at: dict[str, int] = {}  # kind of work -> when it may be tried again
        self._disk_failed = self._dirty = False
        self._told_why = "not started"
        self._founded_wait = ""

    # -- at a start

    def restore(self, number: int) -> Knowledge | None:
        """What the earlier life ran, by its own files; None where there is nothing of it."""
        try:
            kept = self.storage.read_running()
            if kept is None:
                return None
            latest = replicated_state.decode(kept.state)
            why = certificate_error(self.secret, kept.running)
            if why:
                raise CorruptFileError(f"its certificate: {why}")
            knowledge = self._knowledge(kept.running, number, aside=False)
        except (CorruptFileError, msgspec.DecodeError, OSError, UnfitContent, ValueError) as wrong:
            self.log.error("version not restored", why=str(wrong))
            return None
        self.running = kept.running
        self._learn(latest, content_hash(kept.state), kept.state, None)
        return knowledge

    def start(self, scope: Scope) -> None:
        """Take part from here on. What other processes of this gateway wrote is read only now."""
        self._keep_own_files()
        if self.rank in self.voters:
            self._start_voter()
        self._worker = scope.spawn(self._work, kind=CONTROL, name="versions")
        self._tasks = [self._worker, scope.spawn(self._tick, kind=CONTROL, name="versions' clock")]
        self.scope = scope

    def stop(self) -> None:
        """Take no part any more: another process of this gateway does."""
        for task in self._tasks:
            self.loop.cancel(task)
        self._tasks, self.leadership, self._worker = [], None, None
        self._queue.clear()

    def _keep_own_files(self) -> None:
        """Contents of our files, as version 0 names them."""
        sources = self.program.sources
        if sources is None:
            return
        self.own_contents = ContentHashes(content_hash(sources[0]), content_hash(sources[1]))
        if self.state is None:
            for data in sources:
                self.storage.cache_state(content_hash(data), data)

    def _start_voter(self) -> None:
        file, voted, chosen, now = None, None, None, self.loop.now()
        try:
            file = self.storage.read_voter()
            if file is not None:
                voted = self._decoded(file.accepted_state)
                chosen = self._decoded(file.chosen_state)
        except (CorruptFileError, msgspec.DecodeError, OSError) as wrong:
            self.log.error("the voter's disk is lost: it waits to be admitted", why=str(wrong))
            file = voted = chosen = None
        if chosen is not None and (self.state is None or chosen.index > self.state.index):
            data = replicated_state.encode(chosen)
            self._learn(chosen, content_hash(data), data, None)
        kept = (
            file.voter_state
            if file is not None
            else VoterState(self.world.random.getrandbits(STORE_ID_BITS) + 1)
        )
        rng, again = self.world.random, file is not None
        register = Voter(self.rank, kept, voted, self.state, rng, now, verifying_store=again)
        count = len(self.fleet.gateways)
        self.leadership = Leadership(register, count, self.secret, self.settings, self.world.random, now)

    def _decoded(self, data: bytes) -> ReplicatedState | None:
        if not data:
            return None
        self.storage.cache_state(content_hash(data), data)
        return replicated_state.decode(data)

    # -- what others ask

    def rejection_reason(self) -> str:
        """Why requests are turned away; "" where they are served."""
        return self.dissemination.rejection_reason(self.loop.now())

    @property
    def running_number(self) -> int:
        """Of the version that runs; 0 for our files."""
        return self.running.version.number if self.running is not None else 0

    def running_label(self) -> str:
        """The version that runs, as logs and answers name it."""
        if self.running is not None:
            return self.running.version.label()
        return f"0:{self.own_contents.combined_hash[:12]}"

    # -- datagrams

    def receive(self, sender: int, body: bytes) -> None:
        """A datagram of another gateway."""
        message, now = messages.decode(body), self.loop.now()
        if message is None or not 0 <= sender < len(self.fleet.gateways):
            return
        conductor = self.leadership
        match message:
            case messages.GossipRequest() | messages.GossipResponse() | messages.NewStateHint():
                is_blank = conductor is not None and not conductor.voter.voter_state.vote_count
                self._carry_spread(self.dissemination.receive(now, sender, message, is_blank))
            case messages.AdoptionReportAck():
                self._noted = (self._leader_key(), message.running_number, message.target_number)
            case _ if conductor is not None:
                self._hear_voter(now, sender, message, conductor)

    def _hear_voter(self, now: int, sender: int, message: messages.Message, conductor: Leadership) -> None:
        match message:
            case messages.AdoptionReport():
                self._tell_all(conductor.driver.receive_report(now, sender, message))
            case messages.VersionVote():
                conductor.driver.receive_vote(sender, message, conductor.state)
            case messages.AdmissionRequest():
                conductor.receive_admission_request(now, sender, message)
            case messages.Heartbeat():
                self._tell_all(conductor.receive_heartbeat(now, sender, message))
                if message.index > self.dissemination.index:
                    self._fetch_ledger(sender, message.state_hash, None)
            case messages.HeartbeatAck():
                conductor.receive_heartbeat_ack(sender, message)
                self._note_fresh(conductor)
            case messages.Prepare() if not conductor.accepts_ballot_of(now, sender):
                pass
            case messages.Promise() | messages.Accept() if message.state_hash:
                self._with_ledger(sender, message.state_hash, lambda it: self._feed(sender, message, it))
            case _:
                self._feed(sender, message, None)

    def _feed(self, sender: int, message: messages.Message, named: ReplicatedState | None) -> None:
        """An event for the voter, in its turn."""
        self._put(lambda: self._register().receive(self.loop.now(), sender, message, named))

    def _register(self) -> Voter:
        assert self.leadership is not None
        return self.leadership.voter

    def _put(self, event: Callable[[], list[Any]]) -> None:
        if len(self._queue) < MAX_QUEUED_EVENTS and self._worker is not None:
            self._queue.append(event)
            self.loop.wake(self._worker)

    def _note_fresh(self, conductor: Leadership) -> None:
        if conductor.confirmed_at is not None and conductor.is_leader:
            self.dissemination.record_confirmation(conductor.confirmed_at)

    def _tell(self, rank: int, message: messages.Message) -> None:
        if rank == self.rank:
            self.receive(rank, messages.encode(message))
        else:
            self.program.tell_change(rank, messages.encode(message))

    def _tell_all(self, tells: list[voter_state.Send]) -> None:
        for tell in tells:
            self._tell(tell.rank, tell.message)

    def _carry_spread(self, actions: list[dissemination.Action]) -> None:
        for action in actions:
            if isinstance(action, dissemination.FetchState):
                self._fetch_ledger(action.rank, action.state_hash, action.confirmed_at)
            else:
                self._tell(action.rank, action.message)

    # -- the voter's work, in turn

    def _work(self) -> None:
        while True:
            while not self._queue:
                self.loop.park()
            event = self._queue.popleft()
            if self.leadership is not None:
                before = self._register().voter_state, self._register().accepted_state
                self._carry_out(event(), *before)

    def _carry_out(
        self, actions: list[voter_state.Action], kept: VoterState, voted: ReplicatedState | None
    ) -> None:
        for action in actions:
            match action:
                case StoreBlob():
                    self.storage.cache_state(action.content_hash, action.data)
                case Persist():
                    if not self._write_voter(action.voter_state):
                        return self._carry_out(self._register().persist_failed(kept, voted), kept, voted)
                case voter_state.Send():
                    self._tell(action.rank, action.message)
                case StateChosen():
                    self._chosen(action)
                case CommandDropped():
                    self._outcome(action.command, CommandOutcome(False, action.reason, not action.is_final))
                case LogWarning():
                    self.log.warning(action.text, store=self._register().voter_state.store_id)

    def _write_voter(self, kept: VoterState) -> bool:
        register = self._register()
        voted = (
            replicated_state.encode(register.accepted_state) if register.accepted_state is not None else b""
        )
        chosen = replicated_state.encode(register.chosen_state) if register.chosen_state is not None else b""
        try:
            self.storage.write_voter(VoterFile(kept, voted, chosen))
        except OSError as wrong:
            if not self._disk_failed:
                self.log.error("the voter's disk failed: it does not vote", why=str(wrong))
            self._disk_failed = True
            return False
        self._disk_failed = False
        return True

    def _chosen(self, chosen: StateChosen) -> None:
        data = replicated_state.encode(chosen.state)
        self._learn(chosen.state, chosen.state_hash, data, None)
        if chosen.command is not None:
            self._outcome(chosen.command, CommandOutcome(True))

    def _outcome(self, step: Command, outcome: CommandOutcome) -> None:
        """Tell whoever waits for a command what became of it."""
        waiting = self._waits.get(_command_id(step))
        if waiting is not None:
            task, told = waiting
            told.append(outcome)
            self.loop.wake(task)
        if not outcome.is_accepted:
            self.log.info("step not taken", step=type(step).__name__, why=outcome.reason)

    # -- the latest ledger

    def _learn(self, latest: ReplicatedState, name: str, data: bytes, at: int | None) -> None:
        """A chosen ledger; ``at``: when it was confirmed."""
        if self.state is not None and latest.index < self.state.index:
            return
        news = self.state is None or latest.index > self.state.index
        self.storage.cache_state(name, data)
        self.state = latest
        actions = self.dissemination.learn_state(latest.index, name, at)
        if self._worker is not None:
            self._carry_spread(actions)
        self._look_at_target()
        if news and self.leadership is not None:
            self._put(lambda: self._register().learn_chosen(latest))
        if news:
            change = latest.rollout
            self.log.info(
                "ledger",
                index=latest.index,
                term=latest.term,
                leader=latest.leader,
                version=latest.current.version.label(),
                change=f"{change.version.label()} {change.phase.value}" if change else "",
            )
            self._remember()

    def _look_at_target(self) -> None:
        assert self.state is not None
        wanted = self.state.target_certificate(self.rank)
        as_wanted = self.running is not None and self.running.version == wanted.version
        as_founded = self.running is None and wanted.version.number == 0
        as_founded = as_founded and wanted.version.contents == self.own_contents
        self.dissemination.set_running(as_wanted or as_founded, as_founded)

    def _fetch_ledger(self, rank: int, name: str, at: int | None) -> None:
        def learn(found: ReplicatedState) -> None:
            self._learn(found, name, replicated_state.encode(found), at)

        self._with_ledger(rank, name, learn)

    def _with_ledger(self, rank: int, name: str, use: Callable[[ReplicatedState], None]) -> None:
        """Do something with a ledger, once it is here; nothing where it can't be had."""
        if not is_content_hash(name):
            return
        data = self.storage.read_blob(name) if name in self.storage.cached_states else None
        if data is not None:
            return self._use_ledger(data, use)
        key = f"{name}/{rank}"
        if key in self._fetching or len(self._fetching) >= MAX_CONCURRENT_FETCHES or self._worker is None:
            return
        self._fetching.add(key)

        def fetch() -> None:
            try:
                found = self._fetch(name, [rank])
                if found is not None:
                    self.storage.cache_state(name, found)
                    self._use_ledger(found, use)
            finally:
                self._fetching.discard(key)

        self.scope.spawn(fetch, kind=CONTROL, name="ledger")

    def _use_ledger(self, data: bytes, use: Callable[[ReplicatedState], None]) -> None:
        try:
            found = replicated_state.decode(data)
        except msgspec.DecodeError as wrong:
            self.log.error("not a ledger", why=str(wrong))
            return
        use(found)

    def _fetch(self, name: str, ranks: list[int]) -> bytes | None:
        """A content by its name, verified, from the first gateway that has it."""
        for rank in ranks:
            by = self.loop.now() + FETCH_TIMEOUT_US
            most = int(self.fleet.change.content)
            target = PATH_PREFIX + b"content/" + name.encode()
            try:
                status, data = call_admin_api(
                    self.loop,
                    self.admin_of(rank),
                    self.secret,
                    "GET",
                    target,
                    deadline_us=by,
                    max_response_bytes=most,
                )
            except AdminCallError:
                continue
            if status == 200 and content_hash(data) == name:
                return data
        return None

    def admin_of(self, rank: int) -> Address:
        """Where a gateway answers tools."""
        return address(self.fleet.gateways[rank].admin)

    # -- the clock

    def _tick(self) -> None:
        while True:
            now = self.loop.now()
            self._carry_spread(self.dissemination.tick(now))
            if self.leadership is not None:
                self._tick_voter(now, self.leadership)
            if self.state is not None:
                self._tick_gateway(now, self.state)
            self._log_why()
            self.loop.sleep(TICK_INTERVAL_US)

    def _tick_voter(self, now: int, conductor: Leadership) -> None:
        register = conductor.voter
        if register.attempt is not None or register.verifying_store:
            self._put(lambda: register.tick(self.loop.now()))
        self._tell_all(conductor.heartbeats(now))
        self._note_fresh(conductor)
        if not self._queue:
            step = conductor.next_command(now)
            if step is not None:
                self._put(lambda: register.propose(self.loop.now(), step))
        if not register.is_member and self._may("wait"):
            self._wait_for_seat(now, conductor)
        if register.may_vote and self.state is not None:
            self._vote(self.state, register)
        change = self.state.rollout if self.state is not None else None
        adopting = change is not None and change.phase is RolloutPhase.ADOPTING
        if (
            change is not None
            and adopting
            and conductor.is_leader
            and "look" not in self._busy
            and self._may("look")
        ):
            self._beside("look", lambda: self._look(change, conductor))

    def _may(self, what: str) -> bool:
        """Whether a kind of work is due again; then it is not, for a while."""
        now = self.loop.now()
        if now < self._retry_at.get(what, 0):
            return False
        self._retry_at[what] = now + RETRY_INTERVAL_US
        return True

    def _wait_for_seat(self, now: int, conductor: Leadership) -> None:
        """Say that we wait: to whoever leads, or before there is a ledger to whoever founds it."""
        register, parts = conductor.voter, self.own_contents
        if not parts.rules:
            return
        waiting = admission_request(self.secret, self.rank, register.voter_state.store_id, parts)
        if self.state is not None:
            return self._tell(self.state.leader, waiting) if self.state.leader != self.rank else None
        self._tell(self.voters[0], waiting)
        if self.rank == self.voters[0]:
            told = conductor.recent_admission_requests(now)
            self._found(bootstrap_state(self.secret, self.voters, told, parts))

    def _found(self, first: ReplicatedState | str) -> None:
        if isinstance(first, str):
            if first != self._founded_wait:
                self._founded_wait = first
                self.log.info("no ledger is founded yet", why=first)
            return
        data = replicated_state.encode(first)
        assert self.leadership is not None
        register = self.leadership.voter
        register.chosen_state = first
        if not self._write_voter(register.voter_state):
            register.chosen_state = None
            return
        self.leadership.claim_immediately()
        self._learn(first, content_hash(data), data, None)

    # -- old beside new

    def record_answer(self, exchange: Exchange, answer: Answer, span: int) -> None:
        """One final answer of ours."""
        self.answer_tally.record(exchange, answer, span, self.loop.now())

    def _look(self, change: Rollout, conductor: Leadership) -> None:
        """Ask a sample of both sides what they answered, and have it judged."""
        self._turn += 1
        if self._looked != change.version.number:
            self._looked = change.version.number
            self._counted.clear()
        told: tuple[dict[int, CountsByStratum], dict[int, CountsByStratum]] = ({}, {})
        silent = []
        for side, ranks in zip(told, conductor.driver.sample_sides(change, self._turn), strict=True):
            for rank in ranks:
                counts = self._counts_of(rank)
                key = rank, side is told[0]
                if counts is not None:
                    if key in self._counted:
                        side[rank] = counts_since(counts, self._counted[key])
                    self._counted[key] = counts
                elif side is told[0]:
                    silent.append(rank)
        stager = conductor.driver.stage_controller
        if stager is not None and stager.number == change.version.number:
            stager.observe(self.loop.now(), CanaryObservation(*told, silent))
            if stager.harm:
                self.log.error("a stage does harm", version=change.version.label(), why=stager.harm)

    def _counts_of(self, rank: int) -> CountsByStratum | None:
        if rank == self.rank:
            return self.answer_tally.counts()
        by = self.loop.now() + COUNTS_TIMEOUT_US
        try:
            at, target = self.admin_of(rank), PATH_PREFIX + b"counts"
            status, data = call_admin_api(self.loop, at, self.secret, "GET", target, deadline_us=by)
            return _counts.decode(data) if status == 200 else None
        except (AdminCallError, msgspec.DecodeError):
            return None

    # -- votes on versions

    def _vote(self, latest: ReplicatedState, register: Voter) -> None:
        """Look at what is asked about; tell our vote to whoever leads, again and again."""
        change = latest.rollout
        if change is None or change.phase is not RolloutPhase.VOTING:
            return
        said = register.voter_state.latest_vote
        if said is not None and said[:2] == (change.term, change.version.number):
            if self._may(f"vote {said[0]} {said[1]}"):
                term, number, vote = said
                voted = messages.VersionVote(
                    term, number, vote.store_id, vote.approves, vote.seal, vote.reason
                )
                self._tell(latest.leader, voted)
        elif "check" not in self._busy and self._may("check"):
            self._beside("check", lambda: self._check(latest, register))

    def _check(self, latest: ReplicatedState, register: Voter) -> None:
        """What this voter can see for itself of a version."""
        change = latest.rollout
        assert change is not None
        version, term = change.version, change.term
        try:
            why = self._why_not(latest, version)
        except (AdminCallError, OSError) as wrong:
            self.log.info("not voted yet", version=version.label(), why=str(wrong))
            return  # it is tried again: the contents may still come, and the disk may have room again
        seat = VotingMember(self.rank, register.voter_state.store_id)
        vote = cast_vote(self.secret, seat, version, term, not why, messages.truncate_reason(why))
        self.log.info("voted", version=version.label(), term=term, yes=not why, why=why)
        self._retry_at.pop(f"vote {term} {version.number}", None)
        self._put(lambda: register.vote(term, version, lambda: vote))

    def _why_not(self, latest: ReplicatedState, version: Version) -> str:
        """Why a version may not be approved. Raises FetchError where its contents are not here yet."""
        self._have(version.contents)
        try:
            new = self._read(version.contents, version.number)
        except UnfitContent as wrong:
            return str(wrong)
        if version.reverts and version.contents == latest.current.version.contents:
            return ""  # what ran a moment ago, and still runs in part
        try:
            old = self._read(latest.current.version.contents, latest.current.version.number)
        except UnfitContent as wrong:
            return f"the version that runs: {wrong}"
        fleet = self.fleet
        why: str = self.world.aside(lambda: incompatibility(_material(old, fleet), _material(new, fleet)))
        return why

    # -- adopting

    def _tick_gateway(self, now: int, latest: ReplicatedState) -> None:
        wanted = latest.target_certificate(self.rank)
        behind = self.running is None or self.running.version != wanted.version
        if behind and "adopt" not in self._busy and self._may("adopt"):
            self._beside("adopt", lambda: self._adopt(wanted))
        key = (self._leader_key(), self.running_number, wanted.version.number)
        if (key != self._noted or latest.rollout is not None) and now - self._reported >= REPORT_INTERVAL_US:
            self._report(now, latest, wanted)

    def _report(self, now: int, latest: ReplicatedState, wanted: Certificate) -> None:
        if latest.leader >= 0:
            self._reported = now
            why = messages.truncate_reason(self.adoption_error)
            self._tell(
                latest.leader,
                messages.AdoptionReport(
                    self.running_number, wanted.version.number, self.answer_tally.answers_per_second(now), why
                ),
            )

    def _leader_key(self) -> tuple[int, int]:
        return (self.state.leader, self.state.term) if self.state is not None else (-1, 0)

    def _beside(self, kind: str, work: Callable[[], None]) -> None:
        """Long work in a task of its own, one of its kind at a time."""
        self._busy.add(kind)

        def run() -> None:
            try:
                work()
            finally:
                self._busy.discard(kind)

        self.scope.spawn(run, kind=BACKGROUND, name=kind)

    def _adopt(self, wanted: Certificate) -> None:
        """Go by the version that the ledger wants, if a quorum's certificate says so and it can be read."""
        program, version = self.program, wanted.version
        try:
            why = certificate_error(self.secret, wanted)
            if why:
                raise UnfitContent(f"no certificate: {why}")
            self._have(version.contents)
            knowledge = self._knowledge(wanted, program.knowledge.generation.number + 1)
            if knowledge.generation.classes != program.knowledge.generation.classes:
                raise UnfitContent("other classes need a restart of the gateway")
        except (AdminCallError, UnfitContent, OSError) as wrong:
            if str(wrong) != self.adoption_error:
                self.log.error("version not adopted", version=version.label(), why=str(wrong))
            self.adoption_error = str(wrong)
            return
        held, let_go = self._moved(program.knowledge, knowledge)
        if self.state is None or self.state.target_certificate(self.rank) != wanted:
            return  # another one since
        self._begin_sets(let_go, knowledge)  # before they are served again
        program.knowledge = knowledge
        self._begin_sets(held, knowledge)  # once they are served no more
        self.running, self.adoption_error, self._reported = wanted, "", 0
        self.log.info("adopted", version=version.label(), base=version.base, author=version.author)
        self._look_at_target()
        self._remember()

    def _moved(self, old: Knowledge, new: Knowledge) -> tuple[list[int], list[int]]:
        """Whose parts begin anew: those held, and those served. All are looked at, so beside the loop."""

        def compare() -> tuple[list[int], list[int]]:
            before, after = customer_assignments(old, self.fleet), customer_assignments(new, self.fleet)
            moved = customers_to_reset(before, after)
            return [n for n in moved if after[n].is_suspended], [
                n for n in moved if not after[n].is_suspended
            ]

        found: tuple[list[int], list[int]] = self.world.aside(compare)
        return found

    def _begin_sets(self, moved: list[int], knowledge: Knowledge) -> None:
        """Tell the module of customers whose parts begin anew."""
        for number in moved:
            one = knowledge.customers.numbered(b"%d" % number)
            assert one is not None
            self.program.host.feed(ReplicaSetChanged(number, one.plan, one.set_first, one.set_size))

    def _have(self, parts: ContentHashes) -> None:
        """Fetch and write down what we lack of a version. Raises FetchError, OSError."""
        for name in parts.hashes():
            data = self.storage.read_blob(name)
            if data is None:
                data = self._fetch(name, self._sources())
            if data is None:
                raise AdminCallError(f"content {name[:12]} is not to be had yet")
            if name not in self.storage.contents:
                self.storage.write_content(name, data)

    def _sources(self) -> list[int]:
        """Some at random, so that many who ask at once spread over those that have it; then sure ones."""
        rng, latest = self.world.random, self.state
        some = [rng.randrange(len(self.fleet.gateways)) for _ in range(RANDOM_SOURCES)]
        seats = [seat.rank for seat in latest.members] if latest is not None else self.voters
        leader = latest.leader if latest is not None else -1
        ranks = dict.fromkeys([*some, rng.choice(seats), leader, rng.choice(seats)])
        return [rank for rank in ranks if rank >= 0 and rank != self.rank]

    def _read(self, parts: ContentHashes, number: int, aside: bool = True) -> Knowledge:
        """The knowledge of contents that are here, made beside the loop. Raises UnfitContent."""
        rules, customers = self.storage.read_blob(parts.rules), self.storage.read_blob(parts.customers)
        if rules is None or customers is None:
            raise UnfitContent("its contents are not on this disk")
        fleet, log = self.fleet, self.log
        try:
            if not aside:
                return make_knowledge(rules, customers, fleet, number, log)
            return self.world.aside(lambda: make_knowledge(rules, customers, fleet, number, log))
        except (DescriptionError, CustomersError, ValueError) as wrong:
            raise UnfitContent(str(wrong)) from None

    def _knowledge(self, wanted: Certificate, number: int, aside: bool = True) -> Knowledge:
        knowledge = self._read(wanted.version.contents, number, aside)
        return dataclasses.replace(knowledge, version=wanted.version.label())

    def _remember(self) -> None:
        """Write down what runs and the latest ledger, beside the rest; the latest at the end."""
        if self._worker is None:
            return
        self._dirty = True
        if "remember" not in self._busy:
            self._beside("remember", self._write_running)

    def _write_running(self) -> None:
        while self._dirty and self.state is not None and self.running is not None:
            self._dirty = False
            known = {name for one in self.state.versions() for name in one.contents.hashes()}
            self.storage.remove_unreferenced_contents(known | set(self.running.version.contents.hashes()))
            data = replicated_state.encode(self.state)
            try:
                self.storage.write_running(RunningFile(data, self.running, tuple(self.storage.contents)))
            except OSError as wrong:
                self.log.error("running version not written", why=str(wrong))
                return

    def _log_why(self) -> None:
        """Once, whenever we begin or end to turn requests away."""
        why = self.rejection_reason()
        if why != self._told_why:
            self._told_why = why
            if why:
                self.log.warning("serves nothing", why=why)
            else:
                self.log.info("serves", version=self.running_label())
                self.program.when_ready()
                self.program.when_ready = lambda: None

    # -- commands

    def run_command(self, step: Command, name: str) -> CommandOutcome | None:
        """Have a step taken, at whoever leads. None: we don't lead."""
        conductor = self.leadership
        if conductor is None or not conductor.is_leader:
            return None
        if not conductor.enqueue(step):
            return CommandOutcome(False, "too many commands wait", is_retryable=True)
        told: list[CommandOutcome] = []
        task = self.loop.current
        assert task is not None
        self._waits[name] = task, told
        try:
            by = self.loop.now() + COMMAND_TIMEOUT_US
            while not told:
                self.loop.park(by)
        except Expired:
            why = "no quorum of voters answers; whether it is taken later is not known"
            return CommandOutcome(False, why, is_retryable=True)
        finally:
            self._waits.pop(name, None)
        return told[0]


def customer_assignments(knowledge: Knowledge, fleet: Fleet) -> dict[int, CustomerAssignment]:
    """What the map of sets and plans says of each customer."""
    ceilings = {name: plan.ceiling is not None for name, plan in fleet.plans.items()}
    return {
        one.number: CustomerAssignment(
            one.plan_name, one.set_first, one.set_size, ceilings[one.plan_name], one.held
        )
        for one in knowledge.customers.all()
    }


def _stages(fleet: Fleet) -> StagingSettings:
    """A change's batches are as a roll's."""
    roll, count = fleet.roll, len(fleet.gateways)
    return StagingSettings(
        soak_us=int(fleet.change.soak),
        growth_factor=roll.growth,
        limits=Limits(roll.share, roll.set_share, roll.halls, roll.load),
        zones=tuple(entry.zone for entry in fleet.gateways),
        replica_set_sizes=tuple(sorted({min(plan.spread or count, count) for plan in fleet.plans.values()})),
    )


def _material(knowledge: Knowledge, fleet: Fleet) -> VersionConfiguration:
    return VersionConfiguration(knowledge.generation, customer_assignments(knowledge, fleet))


def _command_id(command: Command) -> str:
    """Return the name that a client gave to a command, "" for the leader's own."""
    match command:
        case ProposeVersion():
            return command.proposal_id
        case StopRollout() | ResumeRollout():
            return command.command_id
    return ""
