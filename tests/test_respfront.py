"""The RESP front's hard cases over the simulated network."""

from __future__ import annotations

import pytest
from harness.gateway_harness import GET, KEY, MS, SECOND, SETTINGS, GatewayHarness, good
from test_gateway import TIGHT

from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.resp import Decoder, ErrorReply, encode
from orchidlane.runtime import ConnectionClosedError, DeadlineExceededError

DOOR = ("127.0.0.1", 8380)
ALONE = parse_settings(SETTINGS, "fleet.cue").gateways[:1]


def run(test, **changes) -> None:
    limits = {"token_life": 1 * SECOND, **changes.pop("limits", {})}
    GatewayHarness(good, gateways=ALONE, limits=limits, **changes).run(test)


def replies(house: GatewayHarness, stream, count: int, wait: int = 5 * SECOND) -> list:
    decoder, found = Decoder(), []
    while len(found) < count:
        decoder.receive(stream.recv(deadline=house.loop.now() + wait))
        while (value := decoder.next_value()) is not None:
            found.append(value[0])
    return found


def call(house: GatewayHarness, *words) -> object:
    stream = house.backend.connect(DOOR)
    stream.send(encode([KEY if word is KEY else str(word) for word in words]))
    found = replies(house, stream, 1)[0]
    stream.close()
    return found


def take(units: int = 1) -> bytes:
    return encode(["LIMIT.TAKE", KEY, str(units)])


def test_a_long_pipeline_does_not_hold_others_up():
    def test(house):
        busy, other = house.backend.connect(DOOR), house.backend.connect(DOOR)
        order = []

        def read(name, stream, count):
            replies(house, stream, count)
            order.append(name)

        task = house.scope.spawn(read, "pipeline", busy, 10_000)
        busy.send(take() * 10_000)
        house.scope.spawn(read, "one", other, 1)
        other.send(take())
        while not task.is_done:
            house.loop.sleep(MS)
        assert order == ["one", "pipeline"]

    run(test)


def test_a_client_that_reads_nothing_is_closed_and_costs_no_memory():
    def test(house):
        stream = house.backend.connect(DOOR)
        sent = 0
        try:
            while True:
                stream.send(take() * 1_000, house.loop.now() + 2 * SECOND)
                sent += 1_000
        except (DeadlineExceededError, ConnectionClosedError):
            pass
        assert sent < 20_000
        house.loop.sleep(3 * SECOND)
        assert not house.program.resp_server.connections

    run(test, times={"write": 2 * SECOND})


def test_half_a_command_and_silence_ends_after_a_while():
    def test(house):
        stream = house.backend.connect(DOOR)
        stream.send(b"*3\r\n$10\r\nLIMIT.")
        began = house.loop.now()
        assert stream.recv(deadline=began + 5 * SECOND) == b""
        assert house.loop.now() - began < 3 * SECOND

    run(test, times={"body": 2 * SECOND})


def test_both_fronts_draw_on_one_store():
    def test(house):
        granted = sum(call(house, "LIMIT.TAKE", KEY, 1)[0] for _ in range(6))
        served = sum(house.ask(GET)[0] == 200 for _ in range(20))
        assert granted == 6
        assert granted + served <= 13
        assert call(house, "LIMIT.TAKE", KEY, 3)[0] == 0

    run(test, plans=TIGHT)


def test_a_take_waits_for_room_when_told_to():
    def test(house):
        while call(house, "LIMIT.TAKE", KEY, 2)[0]:
            pass
        began = house.loop.now()
        assert call(house, "LIMIT.TAKE", KEY, 2, "WITHIN", 5_000)[0] == 1
        assert 100 * MS < house.loop.now() - began < 5 * SECOND

    run(test, plans=TIGHT)


def test_a_drain_answers_the_command_that_is_under_way():
    def test(house):
        while call(house, "LIMIT.TAKE", KEY, 2)[0]:
            pass
        idle, stream = house.backend.connect(DOOR), house.backend.connect(DOOR)
        stream.send(encode(["LIMIT.TAKE", KEY, "2", "WITHIN", "5000"]))
        house.loop.sleep(50 * MS)
        house.program.stop()
        assert idle.recv(deadline=house.loop.now() + SECOND) == b""
        assert replies(house, stream, 1)[0][0] == 1
        assert stream.recv(deadline=house.loop.now() + SECOND) == b""

    run(test, plans=TIGHT)


def test_a_token_whose_gateway_restarted_is_not_counted_again_and_nothing_comes_back():
    def test(house):
        house.loop.sleep(SECOND)
        assert call(house, "LIMIT.TAKE", KEY, 1, "IDEMPOTENT", "t")[0] == 1
        house.backend.kill(house.process)
        house.start()
        house.loop.sleep(300 * MS)
        unsure = call(house, "LIMIT.TAKE", KEY, 1, "IDEMPOTENT", "t")
        assert isinstance(unsure, ErrorReply)
        assert unsure.text.startswith("TRYAGAIN")
        assert call(house, "LIMIT.GIVEBACK", KEY, "t").text.startswith("TRYAGAIN")
        house.loop.sleep(SECOND)
        assert call(house, "LIMIT.GIVEBACK", KEY, "t").text.startswith("NOGRANT")

    run(test)


def test_a_reservation_that_expires_comes_back_once():
    def test(house):
        name = call(house, "LIMIT.RESERVE", KEY, 5, "FOR", 500)
        assert call(house, "LIMIT.PEEK", KEY)[8] == b"credit"
        house.loop.sleep(600 * MS)
        text = name.decode()
        assert call(house, "LIMIT.COMMIT", KEY, text).text.startswith("EXPIRED")
        assert call(house, "LIMIT.RELEASE", KEY, text).text.startswith("EXPIRED")
        assert call(house, "LIMIT.PEEK", KEY)[9] == b"5.0"

    run(test)


def test_at_the_bound_of_grants_reservations_are_refused_and_nothing_is_counted():
    def test(house):
        for _ in range(3):
            assert call(house, "LIMIT.RESERVE", KEY, 1, "FOR", 5_000)
        before = house.program.limit_service.granted
        assert call(house, "LIMIT.RESERVE", KEY, 1, "FOR", 5_000).text.startswith("BUSY")
        assert house.program.limit_service.granted == before

    run(test, limits={"grants": 3})


def test_at_the_bound_of_clients_the_next_is_told_so():
    def test(house):
        held = [house.backend.connect(DOOR) for _ in range(2)]
        house.loop.sleep(50 * MS)
        assert house.backend.connect(DOOR).recv() == b"-ERR max number of clients reached\r\n"
        held[0].close()
        house.loop.sleep(50 * MS)
        assert call(house, "PING").text == "PONG"

    run(test, limits={"connections": 2})


def to_the_end(house: GatewayHarness, stream) -> bytes:
    """All up to an end in order; a reset raises Closed."""
    found = b""
    while data := stream.recv(deadline=house.loop.now() + 5 * SECOND):
        found += data
    return found


STRAY = b"x" * 200_000  # more than is read at once


@pytest.mark.parametrize(
    ("raw", "reply"),
    [(encode(["QUIT"]), b"+OK\r\n"), (b"*1\r\n$x\r\n", b"-ERR Protocol error")],
    ids=["quit", "out of step"],
)
def test_a_last_reply_is_whole_though_unread_bytes_wait_behind_its_command(raw, reply):
    def test(house):
        stream = house.backend.connect(DOOR)
        stream.send(raw + STRAY)
        assert to_the_end(house, stream).startswith(reply)
        assert not house.program.resp_server.connections

    run(test)


def test_a_client_beyond_the_bound_that_sent_already_hears_why_it_goes():
    def test(house):
        first = house.backend.connect(DOOR)
        first.send(encode(["PING"]))
        assert replies(house, first, 1)
        second = house.backend.connect(DOOR)
        second.send(take() + STRAY)
        assert to_the_end(house, second) == b"-ERR max number of clients reached\r\n"

    run(test, limits={"connections": 1})


def test_what_has_come_when_a_gateway_leaves_is_answered_and_a_command_that_crosses_its_end_resets_nothing():
    def test(house):
        asking, resting = house.backend.connect(DOOR), house.backend.connect(DOOR)
        for stream in (asking, resting):
            stream.send(encode(["PING"]))
            assert replies(house, stream, 1)
        front = house.program.resp_server
        house.loop.freeze(house.process)  # the command is there, and no task of the gateway has run since
        asking.send(take())
        house.loop.sleep(50 * MS)
        granted = front.service.granted
        front.drain()
        house.loop.thaw(house.process)
        resting.send(take())  # crosses the end
        assert to_the_end(house, resting) == b""
        assert to_the_end(house, asking).startswith(b"*3\r\n:1\r\n")
        assert front.service.granted == granted + 1

    run(test)


def test_settings_of_limits_have_defaults():
    assert parse_settings(SETTINGS, "f").quotas.token_lifetime_us == 3 * SECOND
