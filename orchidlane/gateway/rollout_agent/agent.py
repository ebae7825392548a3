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

from orchidlane.gateway.control.configuration import ConfigurationSnapshot, ContentError, build_snapshot
from orchidlane.gateway.control.customers import CustomersError
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.rollout_agent.admin_client import PREFIX, FetchError, call
from orchidlane.gateway.rollout_agent.answer_tally import Book
from orchidlane.gateway.rollout_agent.storage import Damaged, Files, RunningFile, VoterFile
from orchidlane.hot_restart.rolling_batches import Limits
from orchidlane.policy import ReplicaSetChanged
from orchidlane.rollout import consensus, dissemination, messages, replicated_state
from orchidlane.rollout import leader as conduct
from orchidlane.rollout.bootstrap import found, own_waiting
from orchidlane.rollout.canary_analysis import Tallies, Tally, between
from orchidlane.rollout.compatibility import Account, Material, moves, why_not_beside
from orchidlane.rollout.consensus import STORE_BITS, Chosen, Dropped, Hold, Keep, Kept, Register, Said
from orchidlane.rollout.dissemination import Spread
from orchidlane.rollout.leader import Conductor
from orchidlane.rollout.phases import Look, Terms
from orchidlane.rollout.replicated_state import Change, Ledger, Stage, Step
from orchidlane.rollout.version import Certificate, Parts, Seat, cast, is_name, name_of, why_not_certified
from orchidlane.routes import DescriptionError
from orchidlane.runtime import BACKGROUND, CONTROL, Expired, Scope, Task
from orchidlane.runtime.backend import Address

if TYPE_CHECKING:
    from orchidlane.gateway.lifecycle.process import Program

TICK = 20_000  # microseconds between two looks at what is due
QUEUE_MOST = 1_000  # events that wait for the voter; more are lost, as datagrams may be
FETCH_WITHIN = 2_000_000  # microseconds for a ledger or a content
FETCHES_MOST = 8  # at once
SOURCES = 2  # gateways at random that are tried for one content, before those that voted on it
AGAIN = 300_000  # microseconds until what failed is tried again
OUTCOME_WITHIN = 5_000_000  # microseconds for a command's step
COUNTS_WITHIN = 500_000  # microseconds for the counts of another gateway
REPORT_EVERY = 500_000  # microseconds between two reports to whoever leads


_counts = msgspec.msgpack.Decoder(dict[str, Tally])


class Outcome(msgspec.Struct, frozen=True):
    """What became of a command; ``again``: told again it may be taken, and is taken once at most."""

    taken: bool
    why: str = ""
    again: bool = False


class Versions:
    """The part that one gateway takes in the fleet's versions."""

    def __init__(self, program: Program) -> None:
        self.program = program
        self.loop, self.fleet, self.rank = program.loop, program.fleet, program.rank
        self.world, self.secret, self.log = program.loop.world, program.secret, program.log
        fleet = self.fleet
        terms = fleet.rollout
        names = [entry.name for entry in fleet.gateways]
        self.voters = [names.index(name) for name in terms.voting_members]
        self.files = Files(self.world, f"{fleet.state_directory}/{program.entry.name}")
        rng, count = self.world.random, len(fleet.gateways)
        self.spread = Spread(self.rank, count, self.voters, terms.lease_us, terms.poll_interval_us, rng)
        self.terms = conduct.Terms(
            terms.lease_us,
            terms.heartbeat_interval_us,
            terms.election_timeout_us,
            terms.decision_timeout_us,
            _stages(fleet),
        )
        self.book = Book()
        self._counted: dict[tuple[int, bool], Tallies] = {}  # at the latest look, by rank and side
        self._turn = 0
        self._looked = 0  # the version whose stages were looked at last
        self.ledger: Ledger | None = None
        self.running: Certificate | None = None  # what requests are understood by; None: our files
        self.own_parts = Parts("", "")  # of our files
        self.conductor: Conductor | None = None
        self.why_behind = ""
        self._queue: deque[Callable[[], list[Any]]] = deque()
        self._worker: Task | None = None
        self._tasks: list[Task] = []
        self._fetching: set[str] = set()
        self._busy: set[str] = set()  # kinds of work beside it that go on
        self._waits: dict[str, tuple[Task, list[Outcome]]] = {}  # command -> who waits for its outcome
        self._noted: tuple[Any, ...] = ()
        self._reported = 0
        self._again: dict[str, int] = {}  # kind of work -> when it may be tried again
        self._disk_failed = self._dirty = False
        self._told_why = "not started"
        self._founded_wait = ""

    # -- at a start

    def restored(self, number: int) -> ConfigurationSnapshot | None:
        """What the earlier life ran, by its own files; None where there is nothing of it."""
        try:
            kept = self.files.read_running()
            if kept is None:
                return None
            latest = replicated_state.decode(kept.ledger)
            why = why_not_certified(self.secret, kept.running)
            if why:
                raise Damaged(f"its certificate: {why}")
            knowledge = self._knowledge(kept.running, number, aside=False)
        except (Damaged, msgspec.DecodeError, OSError, ContentError, ValueError) as wrong:
            self.log.error("version not restored", why=str(wrong))
            return None
        self.running = kept.running
        self._learn(latest, name_of(kept.ledger), kept.ledger, None)
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
        self._tasks, self.conductor, self._worker = [], None, None
        self._queue.clear()

    def _keep_own_files(self) -> None:
        """Contents of our files, as version 0 names them."""
        sources = self.program.sources
        if sources is None:
            return
        self.own_parts = Parts(name_of(sources[0]), name_of(sources[1]))
        if self.ledger is None:
            for data in sources:
                self.files.hold(name_of(data), data)

    def _start_voter(self) -> None:
        file, voted, chosen, now = None, None, None, self.loop.now()
        try:
            file = self.files.read_voter()
            if file is not None:
                voted = self._decoded(file.voted)
                chosen = self._decoded(file.chosen)
        except (Damaged, msgspec.DecodeError, OSError) as wrong:
            self.log.error("the voter's disk is lost: it waits to be admitted", why=str(wrong))
            file = voted = chosen = None
        if chosen is not None and (self.ledger is None or chosen.index > self.ledger.index):
            data = replicated_state.encode(chosen)
            self._learn(chosen, name_of(data), data, None)
        kept = file.kept if file is not None else Kept(self.world.random.getrandbits(STORE_BITS) + 1)
        rng, again = self.world.random, file is not None
        register = Register(self.rank, kept, voted, self.ledger, rng, now, checking=again)
        count = len(self.fleet.gateways)
        self.conductor = Conductor(register, count, self.secret, self.terms, self.world.random, now)

    def _decoded(self, data: bytes) -> Ledger | None:
        if not data:
            return None
        self.files.hold(name_of(data), data)
        return replicated_state.decode(data)

    # -- what others ask

    def why_not_serve(self) -> str:
        """Why requests are turned away; "" where they are served."""
        return self.spread.why_not_serve(self.loop.now())

    @property
    def number(self) -> int:
        """Of the version that runs; 0 for our files."""
        return self.running.version.number if self.running is not None else 0

    def show(self) -> str:
        """The version that runs, as logs and answers name it."""
        if self.running is not None:
            return self.running.version.show()
        return f"0:{self.own_parts.content[:12]}"

    # -- datagrams

    def hear(self, sender: int, body: bytes) -> None:
        """A datagram of another gateway."""
        message, now = messages.decode(body), self.loop.now()
        if message is None or not 0 <= sender < len(self.fleet.gateways):
            return
        conductor = self.conductor
        match message:
            case messages.Ask() | messages.Told() | messages.Hint():
                is_blank = conductor is not None and not conductor.register.kept.mark
                self._carry_spread(self.spread.hear(now, sender, message, is_blank))
            case messages.Noted():
                self._noted = (self._leader_key(), message.number, message.wanted)
            case _ if conductor is not None:
                self._hear_voter(now, sender, message, conductor)

    def _hear_voter(self, now: int, sender: int, message: messages.Message, conductor: Conductor) -> None:
        match message:
            case messages.Report():
                self._tell_all(conductor.hear_report(now, sender, message))
            case messages.Voted():
                conductor.hear_vote(sender, message)
            case messages.Waiting():
                conductor.hear_waiting(now, sender, message)
            case messages.Beat():
                self._tell_all(conductor.hear_beat(now, sender, message))
                if message.index > self.spread.index:
                    self._fetch_ledger(sender, message.name, None)
            case messages.Beaten():
                conductor.hear_beaten(sender, message)
                self._note_fresh(conductor)
            case messages.Prepare() if not conductor.heeds(now, sender):
                pass
            case messages.Promise() | messages.Accept() if message.name:
                self._with_ledger(sender, message.name, lambda it: self._feed(sender, message, it))
            case _:
                self._feed(sender, message, None)

    def _feed(self, sender: int, message: messages.Message, named: Ledger | None) -> None:
        """An event for the voter, in its turn."""
        self._put(lambda: self._register().hear(self.loop.now(), sender, message, named))

    def _register(self) -> Register:
        assert self.conductor is not None
        return self.conductor.register

    def _put(self, event: Callable[[], list[Any]]) -> None:
        if len(self._queue) < QUEUE_MOST and self._worker is not None:
            self._queue.append(event)
            self.loop.wake(self._worker)

    def _note_fresh(self, conductor: Conductor) -> None:
        if conductor.fresh is not None and conductor.leads:
            self.spread.confirmed(conductor.fresh)

    def _tell(self, rank: int, message: messages.Message) -> None:
        if rank == self.rank:
            self.hear(rank, messages.encode(message))
        else:
            self.program.tell_change(rank, messages.encode(message))

    def _tell_all(self, tells: list[consensus.Tell]) -> None:
        for tell in tells:
            self._tell(tell.rank, tell.message)

    def _carry_spread(self, actions: list[dissemination.Action]) -> None:
        for action in actions:
            if isinstance(action, dissemination.Fetch):
                self._fetch_ledger(action.rank, action.name, action.at)
            else:
                self._tell(action.rank, action.message)

    # -- the voter's work, in turn

    def _work(self) -> None:
        while True:
            while not self._queue:
                self.loop.park()
            event = self._queue.popleft()
            if self.conductor is not None:
                before = self._register().kept, self._register().voted
                self._carry_out(event(), *before)

    def _carry_out(self, actions: list[consensus.Action], kept: Kept, voted: Ledger | None) -> None:
        for action in actions:
            match action:
                case Hold():
                    self.files.hold(action.name, action.data)
                case Keep():
                    if not self._write_voter(action.kept):
                        return self._carry_out(self._register().failed(kept, voted), kept, voted)
                case consensus.Tell():
                    self._tell(action.rank, action.message)
                case Chosen():
                    self._chosen(action)
                case Dropped():
                    self._outcome(action.step, Outcome(False, action.why, not action.final))
                case Said():
                    self.log.warning(action.what, store=self._register().kept.store)

    def _write_voter(self, kept: Kept) -> bool:
        register = self._register()
        voted = replicated_state.encode(register.voted) if register.voted is not None else b""
        chosen = replicated_state.encode(register.ledger) if register.ledger is not None else b""
        try:
            self.files.write_voter(VoterFile(kept, voted, chosen))
        except OSError as wrong:
            if not self._disk_failed:
                self.log.error("the voter's disk failed: it does not vote", why=str(wrong))
            self._disk_failed = True
            return False
        self._disk_failed = False
        return True

    def _chosen(self, chosen: Chosen) -> None:
        data = replicated_state.encode(chosen.ledger)
        self._learn(chosen.ledger, chosen.name, data, None)
        if chosen.step is not None:
            self._outcome(chosen.step, Outcome(True))

    def _outcome(self, step: Step, outcome: Outcome) -> None:
        """Tell whoever waits for a command what became of it."""
        waiting = self._waits.get(getattr(step, "id", ""))
        if waiting is not None:
            task, told = waiting
            told.append(outcome)
            self.loop.wake(task)
        if not outcome.taken:
            self.log.info("step not taken", step=type(step).__name__, why=outcome.why)

    # -- the latest ledger

    def _learn(self, latest: Ledger, name: str, data: bytes, at: int | None) -> None:
        """A chosen ledger; ``at``: when it was confirmed."""
        if self.ledger is not None and latest.index < self.ledger.index:
            return
        news = self.ledger is None or latest.index > self.ledger.index
        self.files.hold(name, data)
        self.ledger = latest
        actions = self.spread.learned(self.loop.now(), latest.index, name, at)
        if self._worker is not None:
            self._carry_spread(actions)
        self._look_at_target()
        if news and self.conductor is not None:
            now = self.loop.now()
            self._put(lambda: self._register().learn(now, latest))
        if news:
            change = latest.change
            self.log.info(
                "ledger",
                index=latest.index,
                term=latest.term,
                leader=latest.leader,
                version=latest.current.version.show(),
                change=f"{change.version.show()} {change.stage.value}" if change else "",
            )
            self._remember()

    def _look_at_target(self) -> None:
        assert self.ledger is not None
        wanted = self.ledger.target(self.rank)
        as_wanted = self.running is not None and self.running.version == wanted.version
        as_founded = self.running is None and wanted.version.number == 0
        as_founded = as_founded and wanted.version.parts == self.own_parts
        self.spread.runs(as_wanted or as_founded, as_founded)

    def _fetch_ledger(self, rank: int, name: str, at: int | None) -> None:
        def learn(found: Ledger) -> None:
            self._learn(found, name, replicated_state.encode(found), at)

        self._with_ledger(rank, name, learn)

    def _with_ledger(self, rank: int, name: str, use: Callable[[Ledger], None]) -> None:
        """Do something with a ledger, once it is here; nothing where it can't be had."""
        if not is_name(name):
            return
        data = self.files.get(name) if name in self.files.ledgers else None
        if data is not None:
            return self._use_ledger(data, use)
        key = f"{name}/{rank}"
        if key in self._fetching or len(self._fetching) >= FETCHES_MOST or self._worker is None:
            return
        self._fetching.add(key)

        def fetch() -> None:
            try:
                found = self._fetch(name, [rank])
                if found is not None:
                    self.files.hold(name, found)
                    self._use_ledger(found, use)
            finally:
                self._fetching.discard(key)

        self.scope.spawn(fetch, kind=CONTROL, name="ledger")

    def _use_ledger(self, data: bytes, use: Callable[[Ledger], None]) -> None:
        try:
            found = replicated_state.decode(data)
        except msgspec.DecodeError as wrong:
            self.log.error("not a ledger", why=str(wrong))
            return
        use(found)

    def _fetch(self, name: str, ranks: list[int]) -> bytes | None:
        """A content by its name, verified, from the first gateway that has it."""
        for rank in ranks:
            by = self.loop.now() + FETCH_WITHIN
            most = int(self.fleet.rollout.max_content_bytes)
            target = PREFIX + b"content/" + name.encode()
            try:
                status, data = call(
                    self.loop, self.admin_of(rank), self.secret, "GET", target, by=by, most=most
                )
            except FetchError:
                continue
            if status == 200 and name_of(data) == name:
                return data
        return None

    def admin_of(self, rank: int) -> Address:
        """Where a gateway answers tools."""
        return parse_host_port(self.fleet.gateways[rank].admin)

    # -- the clock

    def _tick(self) -> None:
        while True:
            now = self.loop.now()
            self._carry_spread(self.spread.tick(now))
            if self.conductor is not None:
                self._tick_voter(now, self.conductor)
            if self.ledger is not None:
                self._tick_gateway(now, self.ledger)
            self._log_why()
            self.loop.sleep(TICK)

    def _tick_voter(self, now: int, conductor: Conductor) -> None:
        register = conductor.register
        if register.attempt is not None or register.checking:
            self._put(lambda: register.tick(self.loop.now()))
        self._tell_all(conductor.beat(now))
        self._note_fresh(conductor)
        if not self._queue:
            step = conductor.next_step(now)
            if step is not None:
                self._put(lambda: register.propose(self.loop.now(), step))
        if not register.seated and self._may("wait"):
            self._wait_for_seat(now, conductor)
        if register.votes and self.ledger is not None:
            self._vote(self.ledger, register)
        change = self.ledger.change if self.ledger is not None else None
        adopting = change is not None and change.stage is Stage.ADOPTING
        if (
            change is not None
            and adopting
            and conductor.leads
            and "look" not in self._busy
            and self._may("look")
        ):
            self._beside("look", lambda: self._look(change, conductor))

    def _may(self, what: str) -> bool:
        """Whether a kind of work is due again; then it is not, for a while."""
        now = self.loop.now()
        if now < self._again.get(what, 0):
            return False
        self._again[what] = now + AGAIN
        return True

    def _wait_for_seat(self, now: int, conductor: Conductor) -> None:
        """Say that we wait: to whoever leads, or before there is a ledger to whoever founds it."""
        register, parts = conductor.register, self.own_parts
        if not parts.rules:
            return
        waiting = own_waiting(self.secret, self.rank, register.kept.store, parts)
        if self.ledger is not None:
            return self._tell(self.ledger.leader, waiting) if self.ledger.leader != self.rank else None
        self._tell(self.voters[0], waiting)
        if self.rank == self.voters[0]:
            told = {rank: it for rank, (it, at) in conductor.waiting.items() if now - at < conduct.NEAR}
            self._found(found(self.secret, self.voters, told, parts))

    def _found(self, first: Ledger | str) -> None:
        if isinstance(first, str):
            if first != self._founded_wait:
                self._founded_wait = first
                self.log.info("no ledger is founded yet", why=first)
            return
        data = replicated_state.encode(first)
        assert self.conductor is not None
        register = self.conductor.register
        register.ledger = first
        if not self._write_voter(register.kept):
            register.ledger = None
            return
        self.conductor.lead_first()
        self._learn(first, name_of(data), data, None)

    # -- old beside new

    def note(self, exchange: PendingRequest, answer: ClientResponse, span: int) -> None:
        """One final answer of ours."""
        self.book.note(exchange, answer, span, self.loop.now())

    def _look(self, change: Change, conductor: Conductor) -> None:
        """Ask a sample of both sides what they answered, and have it judged."""
        self._turn += 1
        if self._looked != change.version.number:
            self._looked = change.version.number
            self._counted.clear()
        told: tuple[dict[int, Tallies], dict[int, Tallies]] = ({}, {})
        silent = []
        for side, ranks in zip(told, conductor.sides(change, self._turn), strict=True):
            for rank in ranks:
                counts = self._counts_of(rank)
                key = rank, side is told[0]
                if counts is not None:
                    if key in self._counted:
                        side[rank] = between(counts, self._counted[key])
                    self._counted[key] = counts
                elif side is told[0]:
                    silent.append(rank)
        stager = conductor.stager
        if stager is not None and stager.number == change.version.number:
            stager.look(self.loop.now(), Look(*told, silent))
            if stager.harm:
                self.log.error("a stage does harm", version=change.version.show(), why=stager.harm)

    def _counts_of(self, rank: int) -> Tallies | None:
        if rank == self.rank:
            return self.book.tallies()
        by = self.loop.now() + COUNTS_WITHIN
        try:
            at, target = self.admin_of(rank), PREFIX + b"counts"
            status, data = call(self.loop, at, self.secret, "GET", target, by=by)
            return _counts.decode(data) if status == 200 else None
        except (FetchError, msgspec.DecodeError):
            return None

    # -- votes on versions

    def _vote(self, latest: Ledger, register: Register) -> None:
        """Look at what is asked about; tell our vote to whoever leads, again and again."""
        change = latest.change
        if change is None or change.stage is not Stage.ASKED:
            return
        said = register.kept.said
        if said is not None and said[:2] == (change.term, change.version.number):
            if self._may(f"vote {said[0]} {said[1]}"):
                term, number, vote = said
                voted = messages.Voted(term, number, vote.store, vote.yes, vote.seal, vote.why)
                self._tell(latest.leader, voted)
        elif "check" not in self._busy and self._may("check"):
            self._beside("check", lambda: self._check(latest, register))

    def _check(self, latest: Ledger, register: Register) -> None:
        """What this voter can see for itself of a version."""
        change = latest.change
        assert change is not None
        version, term = change.version, change.term
        try:
            why = self._why_not(latest, version)
        except (FetchError, OSError) as wrong:
            self.log.info("not voted yet", version=version.show(), why=str(wrong))
            return  # it is tried again: the contents may still come, and the disk may have room again
        seat = Seat(self.rank, register.kept.store)
        vote = cast(self.secret, seat, version, term, not why, messages.short(why))
        self.log.info("voted", version=version.show(), term=term, yes=not why, why=why)
        self._again.pop(f"vote {term} {version.number}", None)
        self._put(lambda: register.vote(self.loop.now(), term, version, lambda: vote))

    def _why_not(self, latest: Ledger, version: Any) -> str:
        """Why a version may not be approved. Raises FetchError where its contents are not here yet."""
        self._have(version.parts)
        try:
            new = self._read(version.parts, version.number)
        except ContentError as wrong:
            return str(wrong)
        if version.undoes and version.parts == latest.current.version.parts:
            return ""  # what ran a moment ago, and still runs in part
        try:
            old = self._read(latest.current.version.parts, latest.current.version.number)
        except ContentError as wrong:
            return f"the version that runs: {wrong}"
        fleet = self.fleet
        why: str = self.world.aside(lambda: why_not_beside(_material(old, fleet), _material(new, fleet)))
        return why

    # -- adopting

    def _tick_gateway(self, now: int, latest: Ledger) -> None:
        wanted = latest.target(self.rank)
        behind = self.running is None or self.running.version != wanted.version
        if behind and "adopt" not in self._busy and self._may("adopt"):
            self._beside("adopt", lambda: self._adopt(wanted))
        key = (self._leader_key(), self.number, wanted.version.number)
        if (key != self._noted or latest.change is not None) and now - self._reported >= REPORT_EVERY:
            self._report(now, latest, wanted)

    def _report(self, now: int, latest: Ledger, wanted: Certificate) -> None:
        if latest.leader >= 0:
            self._reported = now
            why = messages.short(self.why_behind)
            self._tell(
                latest.leader, messages.Report(self.number, wanted.version.number, self.book.load(now), why)
            )

    def _leader_key(self) -> tuple[int, int]:
        return (self.ledger.leader, self.ledger.term) if self.ledger is not None else (-1, 0)

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
            why = why_not_certified(self.secret, wanted)
            if why:
                raise ContentError(f"no certificate: {why}")
            self._have(version.parts)
            knowledge = self._knowledge(wanted, program.knowledge.generation.number + 1)
            if knowledge.generation.classes != program.knowledge.generation.classes:
                raise ContentError("other classes need a restart of the gateway")
        except (FetchError, ContentError, OSError) as wrong:
            if str(wrong) != self.why_behind:
                self.log.error("version not adopted", version=version.show(), why=str(wrong))
            self.why_behind = str(wrong)
            return
        held, let_go = self._moved(program.knowledge, knowledge)
        if self.ledger is None or self.ledger.target(self.rank) != wanted:
            return  # another one since
        self._begin_sets(let_go, knowledge)  # before they are served again
        program.knowledge = knowledge
        self._begin_sets(held, knowledge)  # once they are served no more
        self.running, self.why_behind, self._reported = wanted, "", 0
        self.log.info("adopted", version=version.show(), base=version.base, author=version.author)
        self._look_at_target()
        self._remember()

    def _moved(self, old: ConfigurationSnapshot, new: ConfigurationSnapshot) -> tuple[list[int], list[int]]:
        """Whose parts begin anew: those held, and those served. All are looked at, so beside the loop."""

        def compare() -> tuple[list[int], list[int]]:
            before, after = accounts_of(old, self.fleet), accounts_of(new, self.fleet)
            moved = moves(before, after)
            return [n for n in moved if after[n].held], [n for n in moved if not after[n].held]

        found: tuple[list[int], list[int]] = self.world.aside(compare)
        return found

    def _begin_sets(self, moved: list[int], knowledge: ConfigurationSnapshot) -> None:
        """Tell the module of customers whose parts begin anew."""
        for number in moved:
            one = knowledge.customers.by_number(b"%d" % number)
            assert one is not None
            self.program.host.feed(
                ReplicaSetChanged(number, one.plan, one.replica_set_start, one.replica_set_size)
            )

    def _have(self, parts: Parts) -> None:
        """Fetch and write down what we lack of a version. Raises FetchError, OSError."""
        for name in parts.names():
            data = self.files.get(name)
            if data is None:
                data = self._fetch(name, self._sources())
            if data is None:
                raise FetchError(f"content {name[:12]} is not to be had yet")
            if name not in self.files.contents:
                self.files.keep(name, data)

    def _sources(self) -> list[int]:
        """Some at random, so that many who ask at once spread over those that have it; then sure ones."""
        rng, latest = self.world.random, self.ledger
        some = [rng.randrange(len(self.fleet.gateways)) for _ in range(SOURCES)]
        seats = [seat.rank for seat in latest.seats] if latest is not None else self.voters
        leader = latest.leader if latest is not None else -1
        ranks = dict.fromkeys([*some, rng.choice(seats), leader, rng.choice(seats)])
        return [rank for rank in ranks if rank >= 0 and rank != self.rank]

    def _read(self, parts: Parts, number: int, aside: bool = True) -> ConfigurationSnapshot:
        """The knowledge of contents that are here, made beside the loop. Raises UnfitContent."""
        rules, customers = self.files.get(parts.rules), self.files.get(parts.customers)
        if rules is None or customers is None:
            raise ContentError("its contents are not on this disk")
        fleet, log = self.fleet, self.log
        try:
            if not aside:
                return build_snapshot(rules, customers, fleet, number, log)
            return self.world.aside(lambda: build_snapshot(rules, customers, fleet, number, log))
        except (DescriptionError, CustomersError, ValueError) as wrong:
            raise ContentError(str(wrong)) from None

    def _knowledge(self, wanted: Certificate, number: int, aside: bool = True) -> ConfigurationSnapshot:
        knowledge = self._read(wanted.version.parts, number, aside)
        return dataclasses.replace(knowledge, version=wanted.version.show())

    def _remember(self) -> None:
        """Write down what runs and the latest ledger, beside the rest; the latest at the end."""
        if self._worker is None:
            return
        self._dirty = True
        if "remember" not in self._busy:
            self._beside("remember", self._write_running)

    def _write_running(self) -> None:
        while self._dirty and self.ledger is not None and self.running is not None:
            self._dirty = False
            known = {name for one in self.ledger.versions() for name in one.parts.names()}
            self.files.drop_others(known | set(self.running.version.parts.names()))
            data = replicated_state.encode(self.ledger)
            try:
                self.files.write_running(RunningFile(data, self.running, tuple(self.files.contents)))
            except OSError as wrong:
                self.log.error("running version not written", why=str(wrong))
                return

    def _log_why(self) -> None:
        """Once, whenever we begin or end to turn requests away."""
        why = self.why_not_serve()
        if why != self._told_why:
            self._told_why = why
            if why:
                self.log.warning("serves nothing", why=why)
            else:
                self.log.info("serves", version=self.show())
                self.program.when_ready()
                self.program.when_ready = lambda: None

    # -- commands

    def command(self, step: Step, name: str) -> Outcome | None:
        """Have a step taken, at whoever leads. None: we don't lead."""
        conductor = self.conductor
        if conductor is None or not conductor.leads:
            return None
        if not conductor.command(step):
            return Outcome(False, "too many commands wait", again=True)
        told: list[Outcome] = []
        task = self.loop.current
        assert task is not None
        self._waits[name] = task, told
        try:
            by = self.loop.now() + OUTCOME_WITHIN
            while not told:
                self.loop.park(by)
        except Expired:
            why = "no quorum of voters answers; whether it is taken later is not known"
            return Outcome(False, why, again=True)
        finally:
            self._waits.pop(name, None)
        return told[0]


def accounts_of(knowledge: ConfigurationSnapshot, fleet: FleetSettings) -> dict[int, Account]:
    """What the map of sets and plans says of each customer."""
    ceilings = {name: plan.ceiling is not None for name, plan in fleet.plans.items()}
    return {
        one.number: Account(
            one.plan_name, one.replica_set_start, one.replica_set_size, ceilings[one.plan_name], one.migrating
        )
        for one in knowledge.customers.all()
    }


def _stages(fleet: FleetSettings) -> Terms:
    """A change's batches are as a roll's."""
    roll, count = fleet.rolling_upgrade, len(fleet.gateways)
    return Terms(
        soak=int(fleet.rollout.soak_us),
        growth=roll.max_batch_growth,
        limits=Limits(roll.max_share, roll.max_replica_set_share, roll.max_zones, roll.max_load_share),
        halls=tuple(entry.zone for entry in fleet.gateways),
        spreads=tuple(sorted({min(plan.replica_set_size or count, count) for plan in fleet.plans.values()})),
    )


def _material(knowledge: ConfigurationSnapshot, fleet: FleetSettings) -> Material:
    return Material(knowledge.generation, accounts_of(knowledge, fleet))
