"""Hot restarts with failing new processes, and with either process killed after each message."""

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
    """Return a function that makes a new process fail instead of handling one type of event."""
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
    """Each request gets one response, and the counts stay exact."""

    def test(harness: HotRestartHarness) -> None:
        harness.start_load(6 * SECOND, clients=4)
        harness.loop.sleep(500 * MS)
        harness.start_hot_restart(break_at(event, fault))
        harness.wait_until(lambda: len(harness.gateways) == 2)
        gateway = harness.await_settled()
        assert gateway is harness.gateways[0]
        assert 0 not in harness.statuses, harness.statuses
        assert set(harness.statuses) <= {200, 502}
        assert harness.statuses[502] <= 4  # in flight in the new process when it exited
        assert counted_units(gateway) == harness.forwarded_units()
        assert harness.longest_response_us < 1_500 * MS

    HotRestartHarness(slow, slow, slow, slow).run(test)


@pytest.mark.parametrize("end", ["crash", "fail"])
def test_new_clients_of_a_failing_new_process_get_their_responses(end):
    """The new process crashes, or fails and cancels its tasks, while it has clients in different states."""

    def test(harness: HotRestartHarness) -> None:
        def die(gateway: GatewayProcess) -> None:
            if end == "crash":
                harness.backend.kill(gateway.loop.process)
                return
            raise RuntimeError("a broken build")

        harness.hot_restart()
        idle, half_sent, in_flight, abandoned = (harness.connect() for _ in range(4))
        half_sent.send(GET[:20])
        in_flight.send(REPORT)
        abandoned.send(GET[:10])
        harness.loop.sleep(4 * MS)
        new_gateway = harness.gateways[1]
        new_gateway.scope.spawn(die, new_gateway)
        harness.wait_until(lambda: harness.gateways[0] in harness.serving())
        idle.send(GET)
        half_sent.send(GET[20:])
        assert [harness.answer(stream)[0] for stream in (idle, half_sent, in_flight)] == [200, 200, 502]
        abandoned.close()
        harness.loop.sleep(SECOND)
        assert harness.ask(GET)[0] == 200
        assert not harness.gateways[0].old_side.clients.retained

    HotRestartHarness(slow, slow, slow, slow).run(test)


def test_no_second_response_if_the_new_process_dies_while_returning_clients(monkeypatch):
    """Guards against a response of the old process to a client that has no request in flight.

    The new process dies right after it reported that the client's request is answered.
    """
    send = Channel.send

    def test(harness: HotRestartHarness) -> None:
        def send_and_die(self, message, handle=None) -> None:
            send(self, message, handle)
            is_returning = harness.gateways[-1].new_side.machine.phase is new_process.Phase.RETURNING
            if is_returning and isinstance(message, messages.ConnectionIdle) and not message.returned:
                harness.backend.kill(harness.processes[1])
                harness.loop.park()

        harness.hot_restart()
        monkeypatch.setattr(Channel, "send", send_and_die)
        client = harness.connect()
        client.send(GET)
        harness.loop.sleep(4 * MS)
        harness.gateways[1].stop()
        assert harness.answer(client)[0] == 200
        harness.wait_until(lambda: harness.processes[1].is_dead and harness.gateways[0] in harness.serving())
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
MESSAGES_BEFORE_PROBATION = {
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
    """One hot restart in which a process is killed after a message: the n-th, or the first of a type."""

    def __init__(self, monkeypatch, side: str, kill_point: int | str) -> None:
        self.side = side
        self.kill_point = kill_point
        self.sent_count = 0
        self.killed_after = ""
        self.send = Channel.send
        self.harness = HotRestartHarness(slow, slow, slow, slow, probation=400 * MS)
        with monkeypatch.context() as patch:
            patch.setattr(Channel, "send", lambda *arguments: self.send_and_kill(*arguments))
            self.harness.run(self.hot_restart_and_check)

    def send_and_kill(self, channel: Channel, message: messages.Message, handle=None) -> None:
        """Send the message, then kill the process if the message is the kill point."""
        self.send(channel, message, handle)
        self.sent_count += 1
        name = type(message).__name__
        if self.killed_after or self.kill_point not in (self.sent_count, name):
            return
        self.killed_after = name
        loop = self.harness.loop
        victim = self.harness.processes[0 if self.side == "old" else -1]
        self.harness.backend.kill(victim)
        if loop.process is victim and loop.current is not None:
            loop.park()  # a killed process never runs again

    def hot_restart_and_check(self, harness: HotRestartHarness) -> None:
        """Run a hot restart under load, and check which process serves in the end."""
        harness.start_load(2 * SECOND)
        harness.loop.sleep(200 * MS)
        harness.start_hot_restart()
        harness.wait_until(lambda: not harness.running_clients, 120 * SECOND)
        harness.loop.sleep(2 * SECOND)
        serving = harness.serving()
        if self.side == "old" and not serving:
            # The old process died before it handed over its listeners, so the new one can't serve
            assert harness.gateways[1].failure
            assert not harness.processes[1].tasks
            return
        (gateway,) = serving
        assert harness.ask(GET)[0] == 200
        self.check_statuses()
        self.check_count(gateway)

    def check_statuses(self) -> None:
        """Check that few clients got no response or an error."""
        statuses = self.harness.statuses
        max_unanswered = 6 if self.side == "old" else int(self.kill_point == "ResponseStarted")
        assert statuses[0] <= max_unanswered, (self.kill_point, self.killed_after, statuses)
        assert statuses[502] <= 3

    def check_count(self, gateway: GatewayProcess) -> None:
        """Check the counted units; they may include requests in flight that were not forwarded any more."""
        old = self.harness.gateways[0]
        new_process_took_over = (
            gateway is not old
            and gateway.new_side.machine.phase is new_process.Phase.INDEPENDENT
            and gateway.incarnation == old.incarnation
        )
        if self.side == "new" or new_process_took_over:
            max_unforwarded = 3 if self.kill_point == "CustomerCount" else 1
            unforwarded = counted_units(gateway) - self.harness.forwarded_units()
            assert 0 <= unforwarded <= max_unforwarded, (self.kill_point, self.killed_after)


@pytest.mark.parametrize("side", ["old", "new"])
def test_kill_of_either_process_at_any_message_leaves_one_serving(monkeypatch, side):
    points = [*MESSAGE_COUNTS, *MESSAGES_IN_PROBATION]
    if side == "old":  # after its release the new process is the only one, so its death there is not tested
        points.append("Release")
    names = {KillAtMessage(monkeypatch, side, point).killed_after for point in points}
    expected = MESSAGES_BEFORE_PROBATION | {point for point in points if isinstance(point, str)}
    assert expected <= names, names
