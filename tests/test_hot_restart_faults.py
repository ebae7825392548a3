"""Hot restarts with broken builds, and with either process killed at every message between them."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, REPORT
from harness.hot_restart_harness import HotRestartHarness, Sabotage, counted_units, slow

from orchidlane.gateway.lifecycle.new_side import NewSide
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.lifecycle.restart_channel import Channel
from orchidlane.hot_restart import messages, new_process
from orchidlane.runtime import DeadlineExceededError

pytestmark = pytest.mark.usefixtures("quiet_log")

EVENTS = (
    new_process.OfferReceived,
    new_process.CopyCompleteReceived,
    new_process.SelfCheckPassed,
    new_process.FinalStateReceived,
    new_process.TimerFired,
)


def misbehave(side: NewSide, fault: str) -> None:
    """Crash, hang, raise or send garbage in place of handling an event."""
    loop = side.loop
    if fault == "raise" and loop.current is not None:
        raise RuntimeError("a broken build")
    if fault == "garbage":
        side.channel.stream.try_send(b"\xff" * 64)
        return
    if fault == "hang":
        loop.freeze(loop.process)
    else:
        loop.backend.kill(loop.process)
    if loop.current is not None:
        loop.sleep(1)


@pytest.fixture
def break_at(monkeypatch):
    """Return what breaks a process: its machine's events of one type have a fault instead."""
    feed = NewSide.feed
    faults: dict[GatewayProcess, tuple[type, str]] = {}

    def feed_or_misbehave(side: NewSide, event: new_process.Event) -> None:
        broken_event, fault = faults.get(side.gateway, (None, ""))
        if broken_event is not None and isinstance(event, broken_event):
            misbehave(side, fault)
        else:
            feed(side, event)

    def break_process(event: type, fault: str) -> Sabotage:
        return lambda gateway: faults.update({gateway: (event, fault)})

    monkeypatch.setattr(NewSide, "feed", feed_or_misbehave)
    return break_process


@pytest.mark.parametrize("fault", ["crash", "hang", "raise", "garbage"])
@pytest.mark.parametrize("event", EVENTS, ids=lambda event: event.__name__)
def test_broken_new_process_leaves_clients_unaffected(break_at, event, fault):
    """Each request gets its one answer, and counts stay exact."""

    def test(harness: HotRestartHarness) -> None:
        harness.load(6 * SECOND, clients=4)
        harness.loop.sleep(500 * MS)
        harness.start_upgrade(break_at(event, fault))
        harness.until(lambda: len(harness.gateways) == 2)
        gateway = harness.settle()
        assert gateway is harness.gateways[0]
        assert 0 not in harness.statuses, harness.statuses
        assert set(harness.statuses) <= {200, 502}
        assert harness.statuses[502] <= 4  # in flight in the new process when it ended
        assert counted_units(gateway) == harness.forwarded_units()
        assert harness.longest_answer_us < 1_500 * MS

    HotRestartHarness(slow, slow, slow, slow).run(test)


@pytest.mark.parametrize("end", ["crash", "fail"])
def test_clients_just_accepted_by_a_dying_new_process_get_their_answers(end):
    """Accepted, half of a head read, an attempt out: a crash, or an error that ends all tasks in order."""

    def test(harness: HotRestartHarness) -> None:
        def die(gateway: GatewayProcess) -> None:
            if end == "crash":
                harness.backend.kill(gateway.loop.process)
                return
            raise RuntimeError("a broken build")

        harness.upgrade()
        connected, half, out, read = (harness.connect() for _ in range(4))
        half.send(GET[:20])
        out.send(REPORT)
        read.send(GET[:10])
        harness.loop.sleep(4 * MS)
        successor = harness.gateways[1]
        successor.scope.spawn(die, successor)
        harness.until(lambda: harness.gateways[0] in harness.serving())
        connected.send(GET)
        half.send(GET[20:])
        assert [harness.answer(stream)[0] for stream in (connected, half, out)] == [200, 200, 502]
        read.close()
        harness.loop.sleep(SECOND)
        assert harness.ask(GET)[0] == 200
        assert not harness.gateways[0].old_side.clients.retained

    HotRestartHarness(slow, slow, slow, slow).run(test)


def test_client_answered_while_the_new_process_dies_returning_gets_no_second_answer(monkeypatch):
    """Guards against a response to a client without a request in flight."""
    send = Channel.send

    def test(harness: HotRestartHarness) -> None:
        def dying(self, message, handle=None) -> None:
            send(self, message, handle)
            returning = harness.gateways[-1].new_side.machine.phase is new_process.Phase.RETURNING
            if returning and isinstance(message, messages.ConnectionIdle) and not message.returned:
                harness.backend.kill(harness.processes[1])
                harness.loop.park()

        harness.upgrade()
        monkeypatch.setattr(Channel, "send", dying)
        client = harness.connect()
        client.send(GET)
        harness.loop.sleep(4 * MS)
        harness.gateways[1].stop()
        assert harness.answer(client)[0] == 200
        harness.until(lambda: harness.processes[1].is_dead and harness.gateways[0] in harness.serving())
        with pytest.raises(DeadlineExceededError):
            client.recv(deadline=harness.loop.now() + 200 * MS)
        client.send(GET)
        assert harness.answer(client)[0] == 200

    HotRestartHarness(slow, slow, slow, slow).run(test)


MESSAGE_COUNTS = range(1, 21)
MESSAGES_IN_PROBATION = (
    "ConnectionAdopted",
    "ConnectionOpened",
    "CustomerCount",
    "RequestStarted",
    "ResponseStarted",
    "ConnectionIdle",
    "ConnectionClosed",
    "Heartbeat",
)
MESSAGES_BEFORE = {
    "Hello",
    "Offer",
    "InheritedSocket",
    "TableRows",
    "CopyComplete",
    "Ready",
    "FinalState",
    "ConnectionHandover",
}


class KillAtMessage:
    """One hot restart in which a process is killed at a message: the n-th, or the first of a type."""

    def __init__(self, monkeypatch, side: str, point: int | str) -> None:
        self.side = side
        self.point = point
        self.sent = 0
        self.killed_at = ""
        self.send = Channel.send
        self.harness = HotRestartHarness(slow, slow, slow, slow, probation=400 * MS)
        with monkeypatch.context() as patch:
            patch.setattr(Channel, "send", lambda *arguments: self.send_and_kill(*arguments))
            self.harness.run(self.play)

    def send_and_kill(self, channel: Channel, message: messages.Message, handle=None) -> None:
        """Send, and then kill the process where the point is reached."""
        self.send(channel, message, handle)
        self.sent += 1
        name = type(message).__name__
        if self.killed_at or self.point not in (self.sent, name):
            return
        self.killed_at = name
        loop = self.harness.loop
        victim = self.harness.processes[0 if self.side == "old" else -1]
        self.harness.backend.kill(victim)
        if loop.process is victim and loop.current is not None:
            loop.park()  # no line of it runs after that

    def play(self, harness: HotRestartHarness) -> None:
        """Upgrade under load, and check who serves in the end."""
        harness.load(2 * SECOND)
        harness.loop.sleep(200 * MS)
        harness.start_upgrade()
        harness.until(lambda: not harness.running_clients, 120 * SECOND)
        harness.loop.sleep(2 * SECOND)
        serving = harness.serving()
        if self.side == "old" and not serving:
            # it died before it had passed its listeners: there is nothing to serve alone with
            assert harness.gateways[1].failure
            assert not harness.processes[1].tasks
            return
        (gateway,) = serving
        assert harness.ask(GET)[0] == 200
        self.check_answers()
        self.check_count(gateway)

    def check_answers(self) -> None:
        """Few clients may be without an answer."""
        statuses = self.harness.statuses
        max_unanswered = 6 if self.side == "old" else int(self.point == "ResponseStarted")
        assert statuses[0] <= max_unanswered, (self.point, self.killed_at, statuses)
        assert statuses[502] <= 3

    def check_count(self, gateway: GatewayProcess) -> None:
        """Of what was counted, requests in flight may not have been forwarded any more."""
        first = self.harness.gateways[0]
        took_over = (
            gateway is not first
            and gateway.new_side.machine.phase is new_process.Phase.INDEPENDENT
            and gateway.incarnation == first.incarnation
        )
        if self.side == "new" or took_over:
            max_unforwarded = 3 if self.point == "CustomerCount" else 1
            unforwarded = counted_units(gateway) - self.harness.forwarded_units()
            assert 0 <= unforwarded <= max_unforwarded, (self.point, self.killed_at)


@pytest.mark.parametrize("side", ["old", "new"])
def test_kill_of_either_process_at_any_message_leaves_one_serving(monkeypatch, side):
    points = [*MESSAGE_COUNTS, *MESSAGES_IN_PROBATION]
    if side == "old":  # a new process that was released is alone: its death then is that of any gateway
        points.append("Release")
    names = {KillAtMessage(monkeypatch, side, point).killed_at for point in points}
    expected = MESSAGES_BEFORE | {point for point in points if isinstance(point, str)}
    assert expected <= names, names
