"""Upgrades of a gateway in the simulated world: every step killed on either side, broken builds, who answers
what.
"""

from __future__ import annotations

import contextlib
import hashlib
from collections import Counter
from collections.abc import Callable

import msgspec
import pytest
import structlog
from harness.gateway_harness import GENERATION, GET, MS, OK, REPORT, SETTINGS, GatewayHarness, good, request
from harness.policy_harness import SECOND
from test_day import quiet  # noqa: F401

from orchidlane import http1, recording
from orchidlane.config import Duration
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.gateway.lifecycle.new_side import NewSide
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.hot_restart import messages, new_process, old_process
from orchidlane.policy import admission, quota
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import Expired, LoopError


class Upgraded(GatewayHarness):
    """A house whose gateway can be upgraded; ``programs`` are all processes of it, the latest at the end."""

    def __init__(
        self,
        *handlers,
        trial: int = SECOND,
        upgrade_alone: bool = False,
        record_to: str | None = None,
        **changes,
    ) -> None:
        self.record_to = record_to
        if upgrade_alone:  # one gateway in its fleet: tokens have no other holders
            first = parse_settings(SETTINGS, "fleet.cue").gateways[:1]
            changes["gateways"] = first
        upgrade = {
            "trial": Duration(trial),
            "silence": Duration(600 * MS),
            "warm": Duration(2 * SECOND),
        }
        super().__init__(*handlers, state="/sim", upgrade=upgrade, **changes)
        self.programs: list[GatewayProcess] = []
        self.processes: list = []
        self.statuses: Counter[int] = Counter()
        self.longest = 0
        self.loading = 0

    def _gateway(self, rank: int, take_over: bool = False, spoil: Callable | None = None) -> None:
        knowledge = ConfigurationSnapshot(GENERATION, self.customers, structlog.get_logger(), False)
        secret = b"0123456789abcdef"
        facts = (rank, secret, knowledge, self.record_to, take_over)
        self.program = GatewayProcess(self.loop, self.fleet, *facts)
        self.programs.append(self.program)
        if spoil is not None:
            spoil(self.program)
        try:
            self.program.run()
        except RuntimeError:  # a process that ends with a traceback
            self.world.kill(self.loop.process)

    def start(self, rank: int = 0) -> None:
        self.process = self.world.start("gw-0", self._gateway, rank)
        self.processes.append(self.process)

    def upgrade(self, spoil: Callable | None = None) -> None:
        """Start a successor; ``spoil`` breaks its program."""
        self.process = self.world.start("gw-0", self._gateway, 0, True, spoil)
        self.processes.append(self.process)

    def load(self, span: int, clients: int = 3) -> None:
        """Clients that keep their connections and others that don't, after a few calm requests."""
        for _ in range(40):
            assert self.ask(GET)[0] == 200
        for number in range(clients):
            self.scope.spawn(self._client, self.loop.now() + span, number % 2 == 0)
            self.loading += 1

    def _client(self, until: int, keeps: bool) -> None:
        stream, parser = None, None
        number = 0
        while self.loop.now() < until:
            number += 1
            began = self.loop.now()
            try:
                if stream is None:
                    stream, parser = self.connect(), http1.ResponseParser()
                raw = (GET, REPORT)[number % 4 == 0]
                stream.send(raw)
                status, headers, _ = self.answer(stream, raw.split(b" ")[0].decode(), parser=parser)
                closes = (b"connection", b"close") in headers
            except LoopError:
                status, closes = 0, True
            self.statuses[status] += 1
            self.longest = max(self.longest, self.loop.now() - began)
            if status and keeps and not closes:
                parser.next_message()
            elif stream is not None:
                if status:  # nothing may come after the last answer
                    with contextlib.suppress(LoopError):
                        assert stream.recv(deadline=self.loop.now() + 20 * MS) in (b"",), (
                            "bytes after the answer"
                        )
                stream.close()
                stream = None
            self.loop.sleep(self.world.random.randint(5 * MS, 25 * MS))
        self.loading -= 1

    def until(self, condition, span: int = 30 * SECOND) -> None:
        by = self.loop.now() + span
        while not condition():
            assert self.loop.now() < by, "it never came"
            self.loop.sleep(10 * MS)

    def serving(self) -> list[GatewayProcess]:
        """The programs that take requests now."""
        return [
            program
            for program, process in zip(self.programs, self.processes, strict=True)
            if not process.dead
            and process.tasks
            and program.ready
            and program.front.pass_on is None
            and not program.stopping
        ]


def slow(house: GatewayHarness, index: int, stream) -> None:
    """A node that serves after a while."""
    while True:
        house.read_request(index, stream)
        house.loop.sleep(8 * MS)
        stream.send(OK)


def settle(house: Upgraded) -> GatewayProcess:
    """Wait for the end of load and upgrade: the one program that serves."""
    house.until(lambda: not house.loading)
    phases = (old_process.Phase.SERVING, old_process.Phase.ENDED)
    house.until(
        lambda: all(
            p.old_side.machine.phase in phases
            for p, q in zip(house.programs, house.processes, strict=False)
            if not q.dead
        )
    )
    house.until(lambda: len(house.serving()) == 1)
    house.loop.sleep(500 * MS)
    (program,) = house.serving()
    assert house.ask(GET)[0] == 200
    house.loop.sleep(100 * MS)
    return program


def counted(program: GatewayProcess) -> float:
    account = program.host.gateway.accounts[1]
    return account.replica_counts[0][1]


def sent_on(house: Upgraded) -> int:
    """Units that nodes saw: a sheet costs 1, a report 3."""
    costs = {operation.path: operation.cost for operation in GENERATION.operations}
    reports = next(cost for path, cost in costs.items() if path.endswith("/reports"))
    return sum(reports if line.startswith(b"POST") else 1 for _, line in house.seen)


def test_an_upgrade_passes_and_every_request_is_answered_once():
    def test(house: Upgraded) -> None:
        house.load(5 * SECOND, clients=6)
        house.loop.sleep(SECOND)
        house.upgrade()
        program = settle(house)
        assert set(house.statuses) == {200}
        assert house.statuses[200] > 400
        assert house.longest < 60 * MS
        assert counted(program) == sent_on(house)
        old, new = house.programs
        assert (old.old_side.machine.phase, old.old_side.machine.last_outcome) == (
            old_process.Phase.ENDED,
            "passed",
        )
        assert new.new_side.machine.phase is new_process.Phase.INDEPENDENT
        assert new is program
        assert not house.processes[0].tasks
        assert new.incarnation == old.incarnation
        assert old.old_side.handover_pause_us < 10 * MS

    Upgraded(slow, slow, slow, slow).run(test)


def test_upgrades_follow_each_other():
    def test(house: Upgraded) -> None:
        house.load(12 * SECOND)
        for number in range(1, 6):
            house.loop.sleep(200 * MS)
            house.upgrade()
            house.until(lambda n=number: len(house.programs) > n and house.programs[n] in house.serving())
            house.until(lambda n=number: not house.processes[n - 1].tasks)
        program = settle(house)
        assert program is house.programs[-1]
        assert set(house.statuses) == {200}
        assert counted(program) == sent_on(house)

    Upgraded(slow, slow, slow, slow, trial=300 * MS).run(test)


def broken_at(event: type, what: str) -> Callable[[GatewayProcess], None]:
    """A build that does something wrong when its machine is told this."""

    def spoil(program: GatewayProcess) -> None:
        def feed(self, told, feed=NewSide.feed) -> None:
            if isinstance(told, event) and program.takes_over and self.gateway is program:
                if what == "raise" and program.loop.current is not None:
                    raise RuntimeError("a broken build")
                if what == "garbage":
                    self.channel.stream.try_send(b"\xff" * 64)
                    return
                if what == "hang":
                    program.loop.freeze(program.loop.process)
                else:
                    program.loop.world.kill(program.loop.process)
                if program.loop.current is not None:
                    program.loop.sleep(1)
                return
            feed(self, told)

        program.feed_of_new_side = feed

    return spoil


@pytest.fixture
def spoilable(monkeypatch):
    """Lets a program break its own taking side."""
    feed = NewSide.feed

    def own(self, told) -> None:
        spoilt = getattr(self.gateway, "feed_of_new_side", None)
        if spoilt is None:
            feed(self, told)
        else:
            spoilt(self, told, feed)

    monkeypatch.setattr(NewSide, "feed", own)


EVENTS = (
    new_process.OfferReceived,
    new_process.CopyCompleteReceived,
    new_process.SelfCheckPassed,
    new_process.FinalStateReceived,
    new_process.TimerFired,
)


@pytest.mark.parametrize("what", ["crash", "hang", "raise", "garbage"])
@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_a_broken_successor_changes_nothing_for_the_clients(spoilable, event, what):
    """Whatever it does wrong, and when: each request gets its one answer, counts stay exact."""

    def test(house: Upgraded) -> None:
        house.load(6 * SECOND, clients=4)
        house.loop.sleep(500 * MS)
        house.upgrade(broken_at(event, what))
        house.until(lambda: len(house.programs) == 2)
        if (
            event is new_process.ReleaseReceived
        ):  # it stands alone by then: what it held is lost with it, as in any crash
            house.loop.sleep(8 * SECOND)
            return
        program = settle(house)
        assert program is house.programs[0]
        assert 0 not in house.statuses, house.statuses
        assert set(house.statuses) <= {200, 502}
        assert house.statuses[502] <= 4  # owed by the successor when it ended
        assert counted(program) == sent_on(house)
        assert house.longest < 1_500 * MS

    house = Upgraded(slow, slow, slow, slow)
    house.run(test)


@pytest.mark.parametrize("end", ["crash", "fail"])
def test_clients_that_a_dying_successor_had_just_met_get_their_answers(end):
    """Accepted, half of a head read, an attempt out: a crash, or an error that ends all tasks in order."""

    def test(house: Upgraded) -> None:
        def die(program: GatewayProcess) -> None:
            if end == "crash":
                return house.world.kill(program.loop.process)
            raise RuntimeError("a broken build")

        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        fresh, half, out, read = (house.connect() for _ in range(4))
        half.send(GET[:20])
        out.send(REPORT)
        read.send(GET[:10])
        house.loop.sleep(4 * MS)
        successor = house.programs[1]
        successor.scope.spawn(die, successor)
        house.until(lambda: house.programs[0] in house.serving())
        fresh.send(GET)
        half.send(GET[20:])
        assert [house.answer(stream)[0] for stream in (fresh, half, out)] == [200, 200, 502]
        read.close()
        house.loop.sleep(SECOND)
        assert house.ask(GET)[0] == 200
        assert not house.programs[0].old_side.clients.retained

    Upgraded(slow, slow, slow, slow).run(test)


def test_a_client_answered_as_its_successor_dies_returning_hears_nothing_more(monkeypatch):
    """Guards against an answer to a client that is owed none."""
    send = Channel.send

    def test(house: Upgraded) -> None:
        def dying(self, message, handle=None) -> None:
            send(self, message, handle)
            returning = house.programs[-1].new_side.machine.phase is new_process.Phase.RETURNING
            if returning and isinstance(message, messages.ConnectionIdle) and not message.returned:
                house.world.kill(house.processes[1])
                house.loop.park()

        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        monkeypatch.setattr(Channel, "send", dying)
        client = house.connect()
        client.send(GET)
        house.loop.sleep(4 * MS)
        house.programs[1].stop()
        assert house.answer(client)[0] == 200
        house.until(lambda: house.processes[1].dead and house.programs[0] in house.serving())
        with pytest.raises(Expired):
            client.recv(deadline=house.loop.now() + 200 * MS)
        client.send(GET)
        assert house.answer(client)[0] == 200

    Upgraded(slow, slow, slow, slow).run(test)


POINTS = (
    *range(1, 21),
    "ConnectionAdopted",
    "ConnectionOpened",
    "CustomerCount",
    "RequestStarted",
    "ResponseStarted",
    "ConnectionIdle",
    "ConnectionClosed",
    "Heartbeat",
    "Release",
)


@pytest.mark.parametrize("side", ["old", "new"])
def test_a_kill_of_either_side_at_any_message_leaves_one_that_serves(monkeypatch, side):
    """The n-th message of the channel is the last thing that one of the two lives to see."""
    send = Channel.send

    def run(point: int | str) -> tuple[str, int]:
        sent, ends = [0], []

        def counting(self, message, handle=None) -> None:
            send(self, message, handle)
            sent[0] += 1
            if not ends and point in (sent[0], type(message).__name__):
                ends.append(type(message).__name__)
                victim = house.processes[0 if side == "old" else -1]
                house.world.kill(victim)
                if house.loop.process is victim and house.loop.current is not None:
                    house.loop.park()  # no line of it runs after that

        monkeypatch.setattr(Channel, "send", counting)
        house = Upgraded(slow, slow, slow, slow, trial=400 * MS)

        def test(house: Upgraded) -> None:
            house.load(2 * SECOND)
            house.loop.sleep(200 * MS)
            house.upgrade()
            house.until(lambda: not house.loading, 120 * SECOND)
            house.loop.sleep(2 * SECOND)
            serving = house.serving()
            if side == "old" and not serving:
                # it died before it had passed its listeners: there is nothing to stand alone with
                assert house.programs[1].failure
                assert not house.processes[1].tasks
                return
            (program,) = serving
            assert house.ask(GET)[0] == 200
            lost = 6 if side == "old" else int(point == "ResponseStarted")
            assert house.statuses[0] <= lost, (point, ends, house.statuses)
            assert house.statuses[502] <= 3
            moment = (
                program is not house.programs[0]
                and program.new_side.machine.phase is new_process.Phase.INDEPENDENT
            )
            if side == "new" or (moment and program.incarnation == house.programs[0].incarnation):
                # what it counted may not have left any more: the one request that was on its way then
                told_in_vain = 3 if point == "CustomerCount" else 1
                assert 0 <= counted(program) - sent_on(house) <= told_in_vain, (point, ends)

        house.run(test)
        return ends[0] if ends else "none", house.statuses[200]

    # a successor that was let go stands alone: its death then is that of any gateway
    points = [point for point in POINTS if side == "old" or point != "Release"]
    seen = [run(point) for point in points]
    names = {name for name, _ in seen}
    wanted = {
        "Hello",
        "Offer",
        "InheritedSocket",
        "TableRows",
        "CopyComplete",
        "Ready",
        "FinalState",
        "ConnectionHandover",
    }
    assert wanted | {point for point in points if isinstance(point, str)} <= names, names


# The hard cases


def test_a_second_upgrade_is_turned_away_while_one_is_under_way():
    def test(house: Upgraded) -> None:
        house.load(3 * SECOND)
        house.upgrade()
        house.upgrade()
        program = settle(house)
        assert set(house.statuses) == {200}
        first, second = sorted(house.programs[1:], key=lambda one: bool(one.failure))
        assert "another upgrade is under way" in second.failure
        assert program is first

    Upgraded(slow, slow, slow, slow).run(test)


def test_a_request_under_way_of_any_kind_gets_its_one_answer():
    """Half a body, half a head, an unsafe attempt that is out, a pipeline: at the moment itself."""

    def late(house: GatewayHarness, index: int, stream) -> None:
        while True:
            house.read_request(index, stream)
            house.loop.sleep(60 * MS)
            stream.send(OK)

    def test(house: Upgraded) -> None:
        body = request("PUT", "/v1/tests/1", "Idempotency-Key: k\r\n", b"0123456789")
        clients = {
            "half a body": (body[:-5], body[-5:]),
            "half a head": (GET[:20], GET[20:]),
            "an unsafe attempt": (REPORT, b""),
            "a pipeline": (GET + GET + GET[:30], GET[30:]),
            "nothing yet": (b"", GET),
        }
        streams = {}
        for name, (first, _) in clients.items():
            streams[name] = house.connect()
            if first:
                streams[name].send(first)
        house.loop.sleep(20 * MS)
        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        for name, (_, rest) in clients.items():
            if rest:
                streams[name].send(rest)
        for name, stream in streams.items():
            parser = http1.ResponseParser()
            for _ in range(3 if name == "a pipeline" else 1):
                assert house.answer(stream, parser=parser)[0] == 200, name
                parser.next_message()
        house.until(lambda: not house.processes[0].tasks)
        house.loop.sleep(2 * SECOND)
        for name, stream in streams.items():  # all of them go on with the new process
            stream.send(GET)
            assert house.answer(stream)[0] == 200, name
        seen = Counter(line.split(b" ")[0] for _, line in house.seen)
        assert (seen[b"PUT"], seen[b"POST"]) == (1, 1)
        assert counted(house.programs[1]) == 2 + 1 + 3 + 3 + 1 + 5

    Upgraded(late, late, late, late, late, late).run(test)


def test_a_request_held_without_a_node_is_counted_by_the_successor():
    def test(house: Upgraded) -> None:
        assert house.ask(GET)[0] == 200
        house.set_phase(0, "gone")
        house.loop.sleep(50 * MS)
        stream = house.connect()
        stream.send(GET)
        house.loop.sleep(50 * MS)
        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        house.set_phase(0, "ready")
        assert house.answer(stream)[0] == 200
        assert counted(house.programs[1]) == sent_on(house) == 2

    Upgraded(good).run(test)


def resp_command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def test_resp_sessions_pass_with_their_tokens_grants_and_half_read_commands():
    def test(house: Upgraded) -> None:
        def connect():
            return house.world.connect(("127.0.0.1", 8380))

        def reply(stream) -> bytes:
            return stream.recv(deadline=house.loop.now() + 3 * SECOND)

        stream, idle = connect(), connect()
        house.loop.sleep(4 * SECOND)  # tokens are sure after their life
        take = resp_command(b"LIMIT.TAKE", b"a-key", b"5", b"IDEMPOTENT", b"t1")
        stream.send(take)
        assert reply(stream).startswith(b"*3\r\n:1\r\n")
        idle.send(resp_command(b"CLIENT", b"SETNAME", b"me"))
        assert reply(idle) == b"+OK\r\n"
        idle.send(take[:19])
        house.loop.sleep(20 * MS)
        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        idle.send(take[19:])  # the same token again, through the other process: nothing is counted twice
        assert reply(idle).startswith(b"*3\r\n:1\r\n")
        idle.send(resp_command(b"CLIENT", b"GETNAME"))
        assert reply(idle) == b"$2\r\nme\r\n"
        new = house.programs[1]
        assert counted(new) == 5
        stream.send(resp_command(b"LIMIT.GIVEBACK", b"a-key", b"t1"))
        assert reply(stream) == b":1\r\n"
        assert new.limits.grants.credits()[0][:2] == (1, 5.0)

    Upgraded(good, upgrade_alone=True).run(test)


def test_resp_sessions_of_a_dying_successor_go_on_with_what_it_had_not_begun():
    """A command under way gets an error, the rest of its pipeline and half a command wait for their turn."""

    def test(house: Upgraded) -> None:
        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        client, stranger = (house.world.connect(("127.0.0.1", 8380)) for _ in range(2))
        client.send(resp_command(b"AUTH", b"open"))
        assert client.recv(deadline=house.loop.now() + SECOND) == b"+OK\r\n"
        stranger.send(resp_command(b"PING")[:9])
        take = resp_command(b"LIMIT.TAKE", b"a-key", b"2900")
        client.send(take)
        assert client.recv(deadline=house.loop.now() + SECOND).startswith(b"*3\r\n:1\r\n")
        wait = resp_command(b"LIMIT.TAKE", b"a-key", b"1500", b"WITHIN", b"9000")
        client.send(wait + resp_command(b"PING")[:9])
        house.loop.sleep(20 * MS)
        house.world.kill(house.processes[1])
        house.until(lambda: house.programs[0] in house.serving())
        assert client.recv(deadline=house.loop.now() + SECOND).startswith(b"-ERR the process that took")
        for stream in (client, stranger):
            stream.send(resp_command(b"PING")[9:])
        assert client.recv(deadline=house.loop.now() + SECOND) == b"+PONG\r\n"
        said = stranger.recv(deadline=house.loop.now() + SECOND)
        assert said.startswith(b"-NOAUTH"), said  # what it had shown the successor, and no more

    secret = hashlib.sha256(b"open").hexdigest()
    Upgraded(good, upgrade_alone=True, limits={"passwords": (secret,)}).run(test)


def test_a_take_that_waits_at_the_moment_is_decided_by_the_successor():
    def test(house: Upgraded) -> None:
        stream = house.world.connect(("127.0.0.1", 8380))
        stream.send(resp_command(b"LIMIT.TAKE", b"a-key", b"2900"))
        house.loop.sleep(50 * MS)
        stream.recv()
        stream.send(resp_command(b"LIMIT.TAKE", b"a-key", b"1500", b"WITHIN", b"9000"))
        house.loop.sleep(100 * MS)
        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        data = stream.recv(deadline=house.loop.now() + 9 * SECOND)
        assert data.startswith(b"*3\r\n:1\r\n"), data
        assert counted(house.programs[1]) == 4_400

    Upgraded(good, upgrade_alone=True).run(test)


def test_a_build_that_refuses_everything_is_recalled_and_its_clients_come_back(monkeypatch):
    admits = admission.admits
    broken: list[Gateway] = []

    def refuses(state, event, account) -> bool:
        return False if state in broken else admits(state, event, account)

    monkeypatch.setattr(admission, "admits", refuses)
    go_on = NewSide._start_probation

    def spoilt(self) -> None:
        broken.append(self.gateway.host.gateway)
        go_on(self)

    monkeypatch.setattr(NewSide, "_start_probation", spoilt)

    def test(house: Upgraded) -> None:
        house.load(6 * SECOND, clients=4)
        house.loop.sleep(SECOND)
        house.upgrade()
        program = settle(house)
        assert program is house.programs[0]
        assert program.old_side.machine.last_outcome.startswith("recalled: served 0 of")
        assert house.programs[1].failure == "recalled"
        assert set(house.statuses) == {200, 429}
        assert house.statuses[429] < 60
        assert counted(program) == sent_on(house)

    Upgraded(slow, slow, slow, slow, trial=3 * SECOND).run(test)


def test_an_old_process_that_hangs_at_any_step_never_serves_beside_the_new_one():
    def run(at: int) -> str:
        house = Upgraded(slow, slow, slow, slow)

        def test(house: Upgraded) -> None:
            house.load(2 * SECOND)
            house.upgrade()
            house.loop.sleep(at)
            house.loop.freeze(house.processes[0])
            house.loop.sleep(12 * SECOND)
            house.loop.thaw(house.processes[0])
            house.until(lambda: not house.loading, 90 * SECOND)
            house.loop.sleep(4 * SECOND)
            (program,) = house.serving()
            house.until(lambda: house.ask(GET)[0] == 200)
            assert counted(program) >= sent_on(house)  # what it decided on and could not send any more
            found.append(program.old_side.machine.last_outcome + (" new" if program.takes_over else " old"))

        found: list[str] = []
        house.run(test)
        return found[0]

    ends = {run(at) for at in (300, 600, 900, 1_200, 2_000, 300 * MS, 900 * MS)}
    assert {end.split()[-1] for end in ends} == {"old", "new"}, ends


@pytest.mark.parametrize("who", ["old", "new"])
def test_asked_to_end_in_the_trial_one_of_them_goes_on_without_a_loss(who):
    def test(house: Upgraded) -> None:
        house.load(4 * SECOND)
        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        house.loop.sleep(100 * MS)
        asked = house.programs[0 if who == "old" else 1]
        asked.stop()
        program = settle(house)
        assert program is not asked
        assert set(house.statuses) == {200}
        assert counted(program) == sent_on(house)

    Upgraded(slow, slow, slow, slow).run(test)


def test_without_descriptors_the_old_process_goes_on():
    def test(house: Upgraded) -> None:
        house.load(3 * SECOND)
        house.world.no_descriptors = True
        house.upgrade()
        program = settle(house)
        assert program is house.programs[0]
        assert "no descriptor left" in program.old_side.machine.last_outcome
        assert set(house.statuses) == {200}

    Upgraded(slow, slow, slow, slow).run(test)


def test_clients_that_cannot_be_taken_are_closed_between_two_requests(monkeypatch):
    begin = NewSide._start_probation

    def without_descriptors(self) -> None:
        begin(self)
        self.loop.world.no_descriptors = True

    monkeypatch.setattr(NewSide, "_start_probation", without_descriptors)

    def test(house: Upgraded) -> None:
        idle = house.connect()
        idle.send(GET)
        assert house.answer(idle)[0] == 200
        house.upgrade()
        house.until(lambda: len(house.programs) == 2 and house.programs[1] in house.serving())
        assert idle.recv(deadline=house.loop.now() + SECOND) == b""
        assert house.ask(GET)[0] == 200

    Upgraded(good).run(test)


def test_a_hundred_thousand_customers_pass_while_traffic_flows():
    def test(house: Upgraded) -> None:
        rules = house.program.host.gateway
        for customer in range(100_000):
            account = quota.update_account_key(rules, customer + 10, 0, 0, 3)
            account.spent_total, account.unconfirmed = 1.0, True  # unheard: none is forgotten on the way
        house.load(2 * SECOND)
        house.upgrade()
        program = settle(house)
        assert program is house.programs[1]
        assert set(house.statuses) == {200}
        assert len(program.host.gateway.accounts) == 100_001
        assert counted(program) == sent_on(house)

    Upgraded(slow, slow, slow, slow, upgrade_alone=True).run(test)


@pytest.mark.parametrize(
    "change, why",
    [
        ({"protocol_version": 99}, "format 99"),
        ({"rank": 1}, "rank 0"),
        ({"gateway_count": 5}, "need a restart"),
        ({"plan_names": ("other",)}, "need a restart"),
    ],
)
def test_a_successor_that_does_not_fit_is_told_why(monkeypatch, change, why):
    def says(self) -> None:
        plans = tuple(self.gateway.fleet.plans)
        hello = messages.Hello(messages.PROTOCOL_VERSION, "b", "gw-0", 0, 3, plans)
        self.channel.send(msgspec.structs.replace(hello, **change))

    monkeypatch.setattr(NewSide, "_send_hello", says)

    def test(house: Upgraded) -> None:
        house.upgrade()
        house.loop.sleep(SECOND)
        assert why in house.programs[1].failure
        assert house.serving() == [house.programs[0]]

    Upgraded(good).run(test)


def test_a_record_goes_on_over_an_upgrade_and_replays_without_a_difference(tmp_path):
    """Two processes of one gateway write lives of their own: each begins with the state that it had."""

    def test(house: Upgraded) -> None:
        house.load(3 * SECOND)
        house.upgrade()
        settle(house)

    house = Upgraded(slow, slow, slow, slow, record_to="rec")
    house.run(test)
    for name, data in house.world.files.items():
        if name.startswith("rec/"):
            (tmp_path / name[4:]).write_bytes(data)
    lives = [
        recording.replay(life)
        for life in recording.group_by_incarnation(recording.list_segments(str(tmp_path)))
    ]
    assert len(lives) == 2
    assert all(one.difference is None and not one.unchecked_parts and one.events > 100 for one in lives)
    assert recording.audit_records(recording.list_segments(str(tmp_path))).faults == {}
