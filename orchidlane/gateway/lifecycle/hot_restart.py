"""Carries out a hot restart between two processes of a gateway; ``orchidlane.hot_restart`` decides.

The old process, ``GivingSide``, listens at a Unix socket. A new one, ``TakingSide``, calls there, and gets
the listeners as descriptors and the state by rows while traffic goes on. At the moment the old one stops
taking requests and tells what is left; from then on the new one decides. Clients are passed on between two
requests, with what was read of the next one; a request under way is answered by the process that took it.

In the trial the new one says what it is about to do before it does it, so that the old one can take
everything back: each count before what it counts is sent on, each request before it is carried out, each
answer before it is written. The old one keeps a hold on every client's connection meanwhile: after a crash of
the new one, clients without a request go on, and those that are owed an answer get one that promises nothing.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from orchidlane import policy, recording
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.settings_loader import hot_restart_address
from orchidlane.gateway.forwarding.call import QuotaOwner
from orchidlane.gateway.forwarding.error_responses import failed
from orchidlane.gateway.server.http_server import Connection
from orchidlane.gateway.server.resp_server import Session
from orchidlane.hot_restart import messages, new_process, old_process
from orchidlane.hot_restart.pre_copy import PreCopy
from orchidlane.hot_restart.probation import Answers
from orchidlane.hot_restart.tables import (
    AccountsTable,
    Carried,
    NamedTable,
    hold_back,
    module_at_moment,
    module_of,
)
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import (
    BACKGROUND,
    CONTROL,
    REQUESTS,
    Cancelled,
    Closed,
    Expired,
    NotConnected,
    Scope,
    Stream,
    Task,
)
from orchidlane.runtime.backend import Handle, show

if TYPE_CHECKING:
    from orchidlane.gateway.lifecycle.process import Program

HTTP, RESP = "http", "resp"
WRITE_WITHIN = 5_000_000  # microseconds for a message to be taken
QUEUE_MOST = 200_000  # messages that wait: beyond that the other side hangs
TAKE_WITHIN = 1_000_000  # microseconds for an answer on units
SAMPLE, SAMPLES = 5_000_000, 6  # microseconds between two looks at our answers, and how many are kept
JUMP = 1 << 20  # numbers left out after another process used ours
ROWS_BAD = (ValueError, KeyError, TypeError, IndexError, msgspec.ValidationError, recording.FormatError)


class Channel:
    """One end of the Unix socket between the two: messages in order, handles beside them."""

    def __init__(self, program: Program, stream: Stream, number: int, scope: Scope) -> None:
        self.loop = program.loop
        self.stream = stream
        self.number = number
        self.closed = False
        self._queue: deque[tuple[bytes, Handle | None]] = deque()
        self._parser = messages.Parser()
        self._flushed: list[Task] = []
        self._writer = scope.spawn(self._write, kind=CONTROL, name="upgrade writer")

    def send(self, message: messages.Message, handle: Handle | None = None) -> None:
        """Send in order, at once where it is taken at once; what is sent so is read even if we die next."""
        data = messages.encode(message)
        if not self.closed and not self._queue:
            try:
                if handle is None:
                    data = data[self.stream.try_send(data) :]
                elif done := self.stream.try_send_with(data, handle):
                    data, handle = data[done:], None
            except Closed:
                self.closed = True
            if not data:
                return
        if self.closed or len(self._queue) >= QUEUE_MOST:
            if handle is not None:
                self.loop.world.drop(handle)
            return
        self._queue.append((data, handle))
        self.loop.wake(self._writer)

    def _write(self) -> None:
        try:
            while True:
                while not self._queue:
                    self._tell_flushed()
                    self.loop.park()
                data, handle = self._queue[0]
                by = self.loop.now() + WRITE_WITHIN
                if handle is None:
                    self.stream.send(data, by)
                else:
                    self.stream.send_with(data, handle, by)
                self._queue.popleft()
        except (Closed, Expired):
            self.closed = True
        finally:
            for _, handle in self._queue:
                if handle is not None:
                    self.loop.world.drop(handle)
            self._queue.clear()
            self._tell_flushed()

    def _tell_flushed(self) -> None:
        waiting, self._flushed = self._flushed, []
        for task in waiting:
            self.loop.wake(task)

    @property
    def behind(self) -> bool:
        """Whether messages wait: the other side does not know yet what was said."""
        return bool(self._queue) and not self.closed

    def flush(self) -> None:
        """Wait until all is handed over, or never will be."""
        task = self.loop.current
        assert task is not None
        while self._queue and not self.closed:
            self._flushed.append(task)
            self.loop.park(self.loop.now() + WRITE_WITHIN)

    def received(self) -> Iterator[Any]:
        """What the other side says until its end closes. Raises Garbled."""
        while True:
            message = self._parser.next_message()
            if message is not None:
                yield message
                continue
            try:
                data = self.stream.recv()
            except Closed:
                return
            if not data:
                return
            self._parser.receive(data)

    def await_end(self) -> None:
        """Read on, whatever comes, until the other end closes."""
        try:
            while self.stream.recv():
                pass
        except Closed:
            pass

    def close(self) -> None:
        """Let our end go."""
        self.closed = True
        self.stream.close()
        self.loop.cancel(self._writer)


def answers_of(program: Program) -> Answers:
    """What was answered so far, by kind."""
    found = dict.fromkeys(Answers._fields, 0)
    for (kind, _), count in program.metrics.responses.items():
        found[kind] += count
    return Answers(**found)


def connection_id(front: str, number: int) -> int:
    """One number for a connection of either front."""
    return number << 1 | (front == RESP)


# The old side


@dataclass
class Kept:
    """Our hold on a client's connection while the successor is on trial."""

    handle: Handle
    front: str
    state: str = "idle"  # or reading, began, answering
    unread: bytes = b""
    since: int = 0
    last: int = 0
    session: tuple[int, bytes, bool] = (2, b"", True)


class Lent:
    """Asks the successor for units, in the place of our own module, and passes grants on."""

    def __init__(self, side: GivingSide, channel: Channel) -> None:
        self.side = side
        self.channel = channel
        self.waiting: dict[int, tuple[Task, list[bool]]] = {}
        self._numbers = 0

    def take(self, customer: QuotaOwner, units: float, kind: int) -> bool:
        """See ``host.Lent``."""
        loop = self.channel.loop
        task = loop.current
        assert task is not None
        self._numbers += 1
        number, found = self._numbers, []  # type: ignore[var-annotated]
        self.waiting[number] = task, found
        self.channel.send(
            messages.Take(
                number,
                customer.number,
                customer.plan,
                kind,
                units,
                customer.replica_set_start,
                customer.replica_set_size,
            )
        )
        by = loop.now() + TAKE_WITHIN
        try:
            while not found and not self.channel.closed:
                loop.park(by)
        except Expired:
            pass
        finally:
            del self.waiting[number]
        return bool(found) and found[0]

    def answered(self, number: int, granted: bool) -> None:
        """The successor's answer came."""
        if number in self.waiting:
            task, found = self.waiting[number]
            found.append(granted)
            self.channel.loop.wake(task)

    def add_grant(self, name: bytes, customer: int, units: float, span: int | None) -> None:
        """See ``token_requests.SuccessorGrants``."""
        self.channel.send(messages.Granted(name, customer, units, -1 if span is None else span))


class GivingSide:
    """Hands a running gateway over; decisions are ``old_process.Giver``'s."""

    def __init__(self, program: Program, scope: Scope) -> None:
        self.program = program
        self.loop = program.loop
        self.scope = scope
        terms = program.fleet.hot_restart
        layout = old_process.Layout(
            program.entry.name, program.rank, len(program.fleet.gateways), tuple(program.fleet.plans)
        )
        silence = int(terms.silence_timeout_us)
        spans = old_process.Terms(
            int(terms.transfer_timeout_us), silence, trial=int(terms.probation_us), silence=silence
        )
        self.machine = old_process.Giver(layout, spans)
        self.channels: dict[int, Channel] = {}
        self.reserve: dict[int, Kept] = {}
        self.lent: Lent | None = None
        self.used = (0, 0)  # sequence and request numbers that the successor told last
        self.pause = 0  # from the moment to the successor's first word, microseconds
        self._copy: PreCopy | None = None
        self._copying: int | None = None  # the channel that it goes to
        self._samples: deque[Answers] = deque(maxlen=SAMPLES)
        self._before = Answers()
        self._moment = 0
        self._numbers = 0
        self._accepting: Task | None = None

    @property
    def on_trial(self) -> bool:
        """Whether another process serves in our place, and all could come back."""
        return self.machine.phase in (
            old_process.Phase.COMMITTED,
            old_process.Phase.RECALLING,
            old_process.Phase.FENCING,
        )

    def listen(self) -> None:
        """Take calls, if the settings have a folder for the Unix socket."""
        self.program.open("upgrade")
        if "upgrade" in self.program.places:
            self._accepting = self.scope.spawn(self._accept, kind=CONTROL, name="upgrade")
            self.scope.spawn(self._sample, kind=BACKGROUND, name="upgrade samples")

    def _accept(self) -> None:
        listener = self.program.places["upgrade"]
        while True:
            try:
                stream = listener.accept()
            except Closed:
                return
            self._numbers += 1
            channel = Channel(self.program, stream, self._numbers, self.scope)
            self.channels[channel.number] = channel
            self.scope.spawn(self._serve, channel, kind=CONTROL, name="upgrade channel")

    def _sample(self) -> None:
        while True:
            if self.machine.phase is old_process.Phase.SERVING:
                self._samples.append(answers_of(self.program))
            self.loop.sleep(SAMPLE)

    def _serve(self, channel: Channel) -> None:
        try:
            try:
                for message in channel.received():
                    self._hear(channel, message)
            except (messages.Garbled, *ROWS_BAD) as wrong:
                self.feed(old_process.WasUnfit(channel.number, f"garbage: {wrong}"))
                channel.await_end()
            self.feed(old_process.Lost(channel.number))
        finally:
            self.channels.pop(channel.number, None)
            channel.close()

    def feed(self, event: old_process.Event) -> None:
        """Tell the machine one event and carry out what it decides."""
        before = self.machine.phase
        actions = self.machine.handle(self.loop.now(), event)
        if self.machine.phase is not before:
            self.program.log.info(
                "upgrade", phase=self.machine.phase.value, was=before.value, latest=self.machine.latest
            )
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: old_process.Action) -> None:
        match action:
            case old_process.MakeOffer():
                self.scope.spawn(self._offer, self.channels[action.channel], kind=CONTROL, name="offer")
            case old_process.TurnAway():
                self._turn_away(action)
            case old_process.Commit():
                self.scope.spawn(self._commit, self.channels[action.channel], kind=CONTROL, name="commit")
            case old_process.AskBack():
                self.channels[action.channel].send(messages.Recall(action.why))
            case old_process.Kill():
                self.channels[action.channel].stream.kill_peer()
            case old_process.TakeBack():
                self._take_back()
            case old_process.Settle():
                self._settle()
            case old_process.LetGo():
                self._let_go(self.channels[action.channel])
            case old_process.Wake():
                self.loop.call_at(self.loop.now() + action.span, lambda _: self.feed(old_process.Ticked()))
            case old_process.End():
                pass  # the program ends by itself

    def _turn_away(self, action: old_process.TurnAway) -> None:
        channel = self.channels.get(action.channel)
        if self._copy is not None and action.channel == self._copying:
            self._copy.close()
            self._copy = None
        if channel is not None:
            channel.send(messages.Abort(action.why))
            self.scope.spawn(self._close_flushed, channel, kind=CONTROL, name="turned away")

    def _close_flushed(self, channel: Channel) -> None:
        with contextlib.suppress(Expired):
            channel.flush()
        channel.close()

    # -- what the successor says

    def _hear(self, channel: Channel, message: Any) -> None:
        number = channel.number
        match message:
            case messages.Ask():
                channel.send(self.status())
            case messages.Hello():
                self.feed(old_process.Called(number, message))
            case _ if number != self.machine.channel:
                self.feed(old_process.WasUnfit(number, f"{type(message).__name__} without a call"))
            case messages.Warm():
                self.feed(old_process.WasWarm(number))
            case messages.Started():
                self.pause = self.loop.now() - self._moment
                self.program.log.info("successor serves", pause_ms=self.pause / 1_000)
                self.feed(old_process.HasStarted(number))
            case messages.Pulse():
                self.used = message.sequence, message.number
                answers = Answers(message.served, message.refused, message.failed)
                self.feed(old_process.Pulsed(number, answers, self._before))
            case messages.Unfit():
                self.feed(old_process.WasUnfit(number, message.why))
            case messages.Returned():
                self.feed(old_process.WasReturned(number))
            case messages.Taken():
                if self.lent is not None:
                    self.lent.answered(message.id, message.granted)
            case messages.Heard():
                self.program.limits.receive(message.sender, message.body)
            case messages.Count():
                counted = (message.customer, message.plan, message.first, message.size)
                self.program.host.feed(policy.CountRecovered(*counted, message.start, message.value))
            case messages.Opened():
                handle = channel.stream.take_handle()
                if handle is not None:
                    now = self.loop.now()
                    session = (2, b"", not self.program.fleet.quotas.passwords)
                    kept = Kept(handle, message.front, since=now, last=now, session=session)
                    self.reserve[message.connection] = kept
            case messages.Reading() | messages.Began() | messages.Answering() | messages.Idle():
                self._follow(message)
            case messages.Ended():
                self._drop(message.connection)
            case messages.Took():
                if not message.taken:
                    self._close_kept(message.connection)

    def status(self) -> messages.Status:
        """How things stand, for tools."""
        machine = self.machine
        answers = answers_of(self.program)
        pid = self.loop.world.process_id()
        return messages.Status(machine.phase.value, recording.build_name(), pid, machine.latest, *answers)

    def _follow(self, message: Any) -> None:
        """What becomes of a connection in the successor."""
        kept = self.reserve.get(message.connection)
        if kept is None:
            return
        kept.state = type(message).__name__.lower()
        if isinstance(message, messages.Idle):
            kept.unread, kept.since = message.unread, self.loop.now()
            kept.session = message.session or kept.session
            if message.back and not self.on_trial:
                self._adopt(message.connection)

    def _drop(self, connection: int) -> None:
        kept = self.reserve.pop(connection, None)
        if kept is not None:
            self.loop.world.drop(kept.handle)

    def _close_kept(self, connection: int) -> None:
        kept = self.reserve.pop(connection, None)
        if kept is not None:
            self.loop.world.adopt_stream(kept.handle).close()

    # -- the copy, the moment

    def _offer(self, channel: Channel) -> None:
        program = self.program
        places = program.places
        channel.send(
            messages.Offer(
                recording.build_name(),
                self.loop.world.clock_base(),
                program.incarnation,
                program.knowledge.generation.number,
                tuple(places),
            )
        )
        for name, place in places.items():
            channel.send(messages.Place(name), place.share())
        limits = program.limits
        self._copying = channel.number
        self._copy = copy = PreCopy(
            [
                AccountsTable(program.host.gateway),
                NamedTable("tokens", limits.token_owner),
                NamedTable("grants", limits.grants),
            ]
        )
        try:
            while self._copy is copy and (page := copy.page()) is not None:
                channel.send(messages.Rows(*page))
                channel.flush()
                self.loop.give_way()
        except Expired:
            return self.feed(old_process.WasUnfit(channel.number, "it does not read"))
        if self._copy is copy:
            channel.send(messages.Whole())

    def _commit(self, channel: Channel) -> None:
        """Bring over what changed since, then all that is left in one go, with nothing decided between."""
        copy = self._copy
        assert copy is not None
        copy.again()
        try:
            while (page := copy.page()) is not None:
                channel.send(messages.Rows(*page))
                channel.flush()
        except Expired:
            return self.feed(old_process.WasUnfit(channel.number, "it does not read"))
        if self.machine.phase is old_process.Phase.COMMITTED:
            self._make_moment(channel, copy)

    def _make_moment(self, channel: Channel, copy: PreCopy) -> None:
        program = self.program
        self._moment = self.loop.now()
        now = answers_of(program)
        self._before = now.since(self._samples[0]) if self._samples else now
        if not self._before.all:
            self._before = now
        self.used = program.sequence, program.host.last_request_number
        for page in copy.rest():
            channel.send(messages.Rows(*page))
        self._copy = None
        channel.send(
            messages.Final(
                module=module_at_moment(program.host.gateway),
                limits=program.limits.dump_state(),
                nodes=msgspec.to_builtins(program.tracker.export_state()),
                peers=[list(row) for row in program.inbox.peer_rows()],
                sequence=program.sequence,
                number=program.host.last_request_number,
                class_names=program.knowledge.generation.class_names,
            )
        )
        self.lent = Lent(self, channel)
        program.lend(self.lent)
        program.hold(
            lambda connection: self._pass_http(channel, connection),
            lambda session: self._pass_resp(channel, session),
        )

    def _pass_http(self, channel: Channel, connection: Connection) -> None:
        kept = Kept(
            connection.stream.share(),
            HTTP,
            unread=connection.parser.unread,
            since=connection.since,
            last=connection.last_recv,
        )
        self._pass(channel, connection.stream, connection_id(HTTP, connection.number), kept)

    def _pass_resp(self, channel: Channel, session: Session) -> None:
        unread = session.decoder.unread()
        if unread is None:  # it is out of step: the next command ends it anyhow
            session.stream.close()
            return
        kept = Kept(session.stream.share(), RESP, unread=unread, session=session.facts)
        self._pass(channel, session.stream, connection_id(RESP, session.number), kept)

    def _pass(self, channel: Channel, stream: Stream, number: int, kept: Kept) -> None:
        facts = kept.since, kept.last, kept.session
        passed = messages.Connection(number, kept.front, kept.unread, *facts)
        channel.send(passed, stream.share())
        stream.release()
        if self.on_trial:
            self.reserve[number] = kept
        else:
            self.loop.world.drop(kept.handle)

    # -- back

    def _take_back(self) -> None:
        program = self.program
        hold_back(program.host.gateway)
        program.sequence = self.used[0] + JUMP
        program.host.last_request_number = max(program.host.last_request_number, self.used[1]) + JUMP
        program.take_back()
        self.lent = None
        for number, kept in list(self.reserve.items()):
            if kept.state == "idle":
                self._adopt(number)

    def _adopt(self, number: int) -> None:
        kept = self.reserve.pop(number)
        stream = self.loop.world.adopt_stream(kept.handle)
        if kept.front == HTTP:
            front = self.program.front
            front.adopt(stream, kept.unread, kept.since, kept.last, front.next_number())
        else:
            resp = self.program.resp
            resp.adopt(stream, kept.unread, kept.session, resp.next_number())

    def _settle(self) -> None:
        """The other process is gone: clients that it owed an answer get one that promises nothing.

        Where the answer had begun nobody knows how much of it left, so that connection ends.
        """
        for number, kept in list(self.reserve.items()):
            if kept.state == "idle":  # it is owed nothing: it goes on with us
                self._adopt(number)
                continue
            stream = self.loop.world.adopt_stream(kept.handle)
            if kept.state == "answering":
                stream.close()
            else:
                self.scope.spawn(self._fail, kept, stream, kind=REQUESTS, name="settle")
        self.reserve.clear()

    def _fail(self, kept: Kept, stream: Stream) -> None:
        try:
            if kept.front == HTTP:
                self.program.front.answer_alone(stream, failed())
            else:
                resp, unread = self.program.resp, kept.unread if kept.state == "began" else None
                resp.answer_alone(stream, unread, kept.session, resp.next_number())
        except (Closed, Expired):
            stream.close()

    # -- on

    def _let_go(self, channel: Channel) -> None:
        if self._accepting is not None:
            self.loop.cancel(self._accepting)
        channel.send(messages.Release())
        for number in list(self.reserve):
            self._drop(number)
        for place in self.program.places.values():  # held on, they would outlive the successor while we drain
            place.close()
        self.program.stopping = True

    def part(self) -> None:
        """Our last request is answered: wait until what we pass on is handed over."""
        self.feed(old_process.Drained())
        for channel in list(self.channels.values()):
            with contextlib.suppress(Expired):
                channel.flush()


# The new side


class Mirror:
    """Tells the old process of our clients before what could be lost with us happens."""

    def __init__(self, channel: Channel, front: str) -> None:
        self.channel = channel
        self.front = front

    def opened(self, number: int, stream: Stream) -> None:
        """See ``front.Watcher``; so are the others."""
        self.channel.send(messages.Opened(connection_id(self.front, number), self.front), stream.share())

    def reading(self, number: int) -> None:
        self.channel.send(messages.Reading(connection_id(self.front, number)))
        if self.channel.behind:  # what is read now would be lost with us
            with contextlib.suppress(Expired):
                self.channel.flush()

    def began(self, number: int) -> None:
        self.channel.send(messages.Began(connection_id(self.front, number)))

    def answering(self, number: int) -> None:
        self.channel.send(messages.Answering(connection_id(self.front, number)))

    def idle(self, number: int, unread: bytes, session: tuple[int, bytes, bool] | None = None) -> None:
        own = connection_id(self.front, number)
        self.channel.send(messages.Idle(own, unread=unread, session=session))

    def ended(self, number: int) -> None:
        self.channel.send(messages.Ended(connection_id(self.front, number)))


class TakingSide:
    """Takes a running gateway over; decisions are ``new_process.Taker``'s."""

    def __init__(self, program: Program, scope: Scope) -> None:
        self.program = program
        self.loop = program.loop
        self.scope = scope
        self.machine = new_process.Taker(
            new_process.Terms(warm=int(program.fleet.hot_restart.transfer_timeout_us))
        )
        self.channel: Channel
        self.places: dict[str, Handle] = {}
        self.wanted: tuple[str, ...] = ()
        self.carried: Carried
        self.kinds: dict[int, int] = {}  # the old side's numbers of classes -> ours
        self.ended_because = ""
        self._waiting: Task | None = None
        self._built = False
        self._quiet = False

    def take_over(self) -> bool:
        """Call, and wait until we serve; False where nothing becomes of it (``ended_because`` says why)."""
        at = hot_restart_address(self.program.fleet, self.program.entry)
        if at is None:
            self.ended_because = "the settings have no folder for the state, where the old process listens"
            return False
        try:
            stream = self.loop.world.connect(at, self.loop.now() + WRITE_WITHIN)
        except (NotConnected, Expired) as wrong:
            self.ended_because = f"nobody answers at {show(at)}: {wrong}"
            return False
        self.channel = Channel(self.program, stream, 0, self.scope)
        self.scope.spawn(self._serve, kind=CONTROL, name="upgrade channel")
        self._carry_out_all(self.machine.start(self.loop.now()))
        self._waiting = self.loop.current
        while self.machine.phase not in (
            new_process.Phase.TRIAL,
            new_process.Phase.FREE,
            new_process.Phase.ENDED,
        ):
            self.loop.park()
        self._waiting = None
        return not self.ended_because

    def _serve(self) -> None:
        try:
            try:
                for message in self.channel.received():
                    self._hear(message)
            except (messages.Garbled, *ROWS_BAD) as wrong:
                self.feed(new_process.WasUnfit(f"garbage: {type(wrong).__name__} {wrong}"))
                self.channel.await_end()
            self.feed(new_process.Lost())
        except Cancelled:
            raise
        except Exception as wrong:  # what a build can't do it finds out here: it is unfit, not hung
            self.feed(new_process.WasUnfit(f"{type(wrong).__name__}: {wrong}"))
            raise

    def feed(self, event: new_process.Event) -> None:
        """Tell the machine one event and carry out what it decides."""
        before = self.machine.phase
        actions = self.machine.handle(self.loop.now(), event)
        if self.machine.phase is not before:
            self.program.log.info("take-over", phase=self.machine.phase.value, was=before.value)
        self._carry_out_all(actions)
        if self._waiting is not None:
            self.loop.wake(self._waiting)

    def _carry_out_all(self, actions: list[new_process.Action]) -> None:
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: new_process.Action) -> None:
        match action:
            case new_process.SayHello():
                self._say_hello()
            case new_process.Check():
                self._check()
            case new_process.SayWarm():
                self.channel.send(messages.Warm())
            case new_process.Serve():
                self._begin_trial()
            case new_process.SayPulse():
                program = self.program
                answers = answers_of(program)
                self.channel.send(
                    messages.Pulse(*answers, program.sequence, program.host.last_request_number)
                )
            case new_process.StandAlone():
                self._stand_alone(action.cold)
            case new_process.StopServing():
                self._stop_serving()
            case new_process.BeFree():
                self._be_free()
            case new_process.Exit():
                self.ended_because = action.why
                self.program.log.error("take-over ended", why=action.why)
                self.channel.send(messages.Unfit(action.why))
                self.program.stopping = True
                self.scope.spawn(self._close, kind=CONTROL, name="take-over ends")
            case new_process.Wake():
                self.loop.call_at(self.loop.now() + action.span, lambda _: self.feed(new_process.Ticked()))

    def _close(self) -> None:
        with contextlib.suppress(Expired):
            self.channel.flush()
        self.channel.close()

    def _say_hello(self) -> None:
        program = self.program
        self.channel.send(
            messages.Hello(
                messages.FORMAT,
                recording.build_name(),
                program.entry.name,
                program.rank,
                len(program.fleet.gateways),
                tuple(program.fleet.plans),
            )
        )

    # -- what the old side says

    def _hear(self, message: Any) -> None:
        match message:
            case messages.Offer():
                self._offered(message)
            case messages.Place():
                handle = self.channel.stream.take_handle()
                if handle is None:
                    self.feed(
                        new_process.WasUnfit(f"the listener {message.name} got lost: no descriptor left?")
                    )
                else:
                    self.places[message.name] = handle
            case messages.Rows():
                self.carried.take(message.table, message.rows, message.gone, self.loop.now())
            case messages.Whole():
                self.feed(new_process.CameWhole())
            case messages.Final():
                self._final(message)
            case messages.Connection():
                self._adopt(message)
            case messages.Take():
                self._take(message)
            case messages.Tell():
                self._tell(message)
            case messages.Granted():
                span = None if message.span < 0 else message.span
                ledger = self.program.limits.grants
                ledger.add_grant(self.loop.now(), message.name, message.customer, message.units, span)
            case messages.Recall():
                self.feed(new_process.Recalled(message.why))
            case messages.Release():
                self.feed(new_process.Released())
            case messages.Abort():
                self.feed(new_process.Aborted(message.why))
            case _:
                self.feed(new_process.WasUnfit(f"{type(message).__name__} is not the old side's to say"))

    def _offered(self, offer: messages.Offer) -> None:
        """Go on with its clock and life; our own description and customers are read and checked anew."""
        program = self.program
        self.loop.world.follow_clock(offer.clock)
        program.incarnation = offer.incarnation
        self.wanted = offer.places
        program.read(offer.generation + 1)
        program.build(self.scope)
        self._built = True
        self.carried = Carried(program.limits.token_owner, program.limits.grants)
        self.feed(new_process.Offered())

    def _check(self) -> None:
        """Everything came, and a module of this build makes something of a request."""
        missing = [name for name in self.wanted if name not in self.places]
        if missing:
            return self.feed(new_process.WasUnfit(f"these listeners did not come: {', '.join(missing)}"))
        settings = self.program.host.settings
        gateway = Gateway(settings, 0, self.loop.now())
        deadline = settings.classes[0].deadline_us
        asked = policy.RequestArrived(1, 1, 0, 0, 1.0, deadline, 0, 1, False)
        if not gateway.handle(self.loop.now(), asked):
            return self.feed(new_process.WasUnfit("its module makes nothing of a request"))
        self.feed(new_process.WasFit())

    def _final(self, final: messages.Final) -> None:
        """The moment: all that the old side had is ours."""
        program = self.program
        old = {name: number for number, name in enumerate(final.class_names)}
        names = program.knowledge.generation.class_names
        self.kinds = {old[name]: number for number, name in enumerate(names) if name in old}
        kinds = [old.get(name) for name in names]
        rules = module_of(program.host.settings, final.module, self.carried.accounts, kinds)
        recording.track_accounts(rules)
        program.host.resume(rules, final.number)
        program.limits.load_state(final.limits)
        program.tracker.import_state(final.nodes)
        program.inbox.load_peer_rows([tuple(row) for row in final.peers])
        program.sequence = final.sequence
        self.feed(new_process.CameFinal())

    def _begin_trial(self) -> None:
        program = self.program
        program.front.watcher = Mirror(self.channel, HTTP)
        program.resp.watcher = Mirror(self.channel, RESP)
        program.host.on_units_spent = self._spent
        program.limits.queries.on_foreign_reply = self._pass_reply
        program.adopt_places(self.places)
        program.start_serving(self.scope)
        self.channel.send(messages.Started())

    def _spent(self, customer: int) -> None:
        """Said before what it counts is sent on: the old one would know of it after our death."""
        rules = self.program.host.gateway
        account = rules.accounts[customer]
        start, value = account.replica_counts[rules.replica]
        self.channel.send(messages.Count(customer, *account.key, start, value))

    def _pass_reply(self, sender: int, body: bytes) -> None:
        self.channel.send(messages.Heard(sender, body))

    def _adopt(self, message: messages.Connection) -> None:
        handle = self.channel.stream.take_handle()
        self.channel.send(messages.Took(message.id, handle is not None))
        if handle is None:
            return
        stream = self.loop.world.adopt_stream(handle)
        number = message.id >> 1
        if message.front == HTTP:
            self.program.front.adopt(stream, message.unread, message.since, message.last, number)
        else:
            self.program.resp.adopt(stream, message.unread, message.session, number)

    def _take(self, take: messages.Take) -> None:
        names = tuple(self.program.fleet.plans)
        customer = Customer(take.customer, take.plan, names[take.plan], take.first, take.size)
        kind = self.kinds.get(take.kind)
        granted = (
            kind is not None
            and not self._quiet
            and self.program.host.request_quota(customer, take.units, kind)
        )
        self.channel.send(messages.Taken(take.id, granted))

    def _tell(self, tell: messages.Tell) -> None:
        if tell.rank == self.program.rank:
            self.program.limits.receive(tell.rank, tell.body)
        else:
            self.program.tell_limits(tell.rank, tell.body)

    def own_reply(self, body: bytes) -> None:
        """What our own limits answer a question that the old side asked us."""
        self.channel.send(messages.Heard(self.program.rank, body))

    # -- the end of it

    def _be_free(self) -> None:
        self._stop_mirroring()
        if self.channel.closed:
            self.channel.stream.kill_peer()
        self.program.giving.listen()

    def _stop_mirroring(self) -> None:
        program = self.program
        program.front.watcher = program.resp.watcher = None
        program.host.on_units_spent = None

    def _stand_alone(self, cold: bool) -> None:
        """The old one is dead, or is made so; we take requests."""
        program = self.program
        self.channel.stream.kill_peer()
        self._stop_mirroring()
        self._quiet = False
        if cold:
            if not self._built or "http" not in self.places:
                self.ended_because = "the old side ended before it had passed its listeners"
                return
            program.incarnation = self.loop.now()  # a new life: what was said in the old one is not known
            program.adopt_places(self.places)
            program.start_serving(self.scope)
        else:
            program.take_back()
        program.giving.listen()

    def _stop_serving(self) -> None:
        program = self.program
        self._quiet = True
        program.hold(self._give_back_http, self._give_back_resp)
        program.quiet = True
        self.channel.send(messages.Returned())
        self.scope.spawn(self._until_drained, kind=CONTROL, name="returning")

    def _give_back_http(self, connection: Connection) -> None:
        number = connection_id(HTTP, connection.number)
        self.channel.send(messages.Idle(number, True, connection.parser.unread))
        connection.stream.release()

    def _give_back_resp(self, session: Session) -> None:
        number, unread = connection_id(RESP, session.number), session.decoder.unread()
        if unread is None:  # out of step
            self.channel.send(messages.Ended(number))
            return session.stream.close()
        self.channel.send(messages.Idle(number, True, unread, session.facts))
        session.stream.release()

    def _until_drained(self) -> None:
        while self.program.front.connections or self.program.resp.sessions:
            self.loop.sleep(10_000)
        self.feed(new_process.Drained())
