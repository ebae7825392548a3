"""RESP server over the simulated network: pipelines, timeouts, limits, drain, restarts and closes."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, KEY, LOW_LIMIT_PLANS, SETTINGS, GatewayHarness, good

from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.resp import Decoder, ErrorReply, encode
from orchidlane.runtime import ConnectionClosedError, DeadlineExceededError

RESP_ADDRESS = ("127.0.0.1", 8380)
ONE_GATEWAY = parse_settings(SETTINGS, "fleet.cue").gateways[:1]


def run(test, **changes) -> None:
    limits = {"token_life": 1 * SECOND, **changes.pop("limits", {})}
    GatewayHarness(good, gateways=ONE_GATEWAY, limits=limits, **changes).run(test)


def receive_replies(harness: GatewayHarness, stream, count: int, timeout_us: int = 5 * SECOND) -> list:
    decoder, values = Decoder(), []
    while len(values) < count:
        decoder.receive(stream.recv(deadline=harness.loop.now() + timeout_us))
        while (value := decoder.next_value()) is not None:
            values.append(value[0])
    return values


def call(harness: GatewayHarness, *words) -> object:
    stream = harness.backend.connect(RESP_ADDRESS)
    stream.send(encode([KEY if word is KEY else str(word) for word in words]))
    reply = receive_replies(harness, stream, 1)[0]
    stream.close()
    return reply


def take(units: int = 1) -> bytes:
    return encode(["LIMIT.TAKE", KEY, str(units)])


def test_a_long_pipeline_does_not_delay_other_clients():
    def test(harness):
        busy, other = harness.backend.connect(RESP_ADDRESS), harness.backend.connect(RESP_ADDRESS)
        order = []

        def read(name, stream, count):
            receive_replies(harness, stream, count)
            order.append(name)

        task = harness.scope.spawn(read, "pipeline", busy, 10_000)
        busy.send(take() * 10_000)
        harness.scope.spawn(read, "single command", other, 1)
        other.send(take())
        while not task.is_done:
            harness.loop.sleep(MS)
        assert order == ["single command", "pipeline"]

    run(test)


def test_a_client_that_reads_no_replies_is_closed_after_bounded_output():
    def test(harness):
        stream = harness.backend.connect(RESP_ADDRESS)
        sent = 0
        try:
            while True:
                stream.send(take() * 1_000, harness.loop.now() + 2 * SECOND)
                sent += 1_000
        except (DeadlineExceededError, ConnectionClosedError):
            pass
        assert sent < 20_000
        harness.loop.sleep(3 * SECOND)
        assert not harness.program.resp_server.connections

    run(test, times={"write": 2 * SECOND})


def test_a_client_with_an_incomplete_command_is_closed_at_the_timeout():
    def test(harness):
        stream = harness.backend.connect(RESP_ADDRESS)
        stream.send(b"*3\r\n$10\r\nLIMIT.")
        started_at = harness.loop.now()
        assert stream.recv(deadline=started_at + 5 * SECOND) == b""
        assert harness.loop.now() - started_at < 3 * SECOND

    run(test, times={"body": 2 * SECOND})


def test_http_and_resp_clients_share_one_quota():
    def test(harness):
        granted = sum(call(harness, "LIMIT.TAKE", KEY, 1)[0] for _ in range(6))
        served = sum(harness.ask(GET)[0] == 200 for _ in range(20))
        assert granted == 6
        assert granted + served <= 13
        assert call(harness, "LIMIT.TAKE", KEY, 3)[0] == 0

    run(test, plans=LOW_LIMIT_PLANS)


def test_a_take_that_may_wait_is_granted_once_the_quota_allows_it():
    def test(harness):
        while call(harness, "LIMIT.TAKE", KEY, 2)[0]:
            pass
        started_at = harness.loop.now()
        assert call(harness, "LIMIT.TAKE", KEY, 2, "WITHIN", 5_000)[0] == 1
        assert 100 * MS < harness.loop.now() - started_at < 5 * SECOND

    run(test, plans=LOW_LIMIT_PLANS)


def test_the_command_in_flight_gets_its_reply_during_a_drain():
    def test(harness):
        while call(harness, "LIMIT.TAKE", KEY, 2)[0]:
            pass
        idle, stream = harness.backend.connect(RESP_ADDRESS), harness.backend.connect(RESP_ADDRESS)
        stream.send(encode(["LIMIT.TAKE", KEY, "2", "WITHIN", "5000"]))
        harness.loop.sleep(50 * MS)
        harness.program.stop()
        assert idle.recv(deadline=harness.loop.now() + SECOND) == b""
        assert receive_replies(harness, stream, 1)[0][0] == 1
        assert stream.recv(deadline=harness.loop.now() + SECOND) == b""

    run(test, plans=LOW_LIMIT_PLANS)


def test_an_idempotent_take_is_not_counted_again_after_a_restart():
    def test(harness):
        harness.loop.sleep(SECOND)
        assert call(harness, "LIMIT.TAKE", KEY, 1, "IDEMPOTENT", "t")[0] == 1
        harness.backend.kill(harness.process)
        harness.start()
        harness.loop.sleep(300 * MS)
        repeated = call(harness, "LIMIT.TAKE", KEY, 1, "IDEMPOTENT", "t")
        assert isinstance(repeated, ErrorReply)
        assert repeated.text.startswith("TRYAGAIN")
        assert call(harness, "LIMIT.GIVEBACK", KEY, "t").text.startswith("TRYAGAIN")
        harness.loop.sleep(SECOND)
        assert call(harness, "LIMIT.GIVEBACK", KEY, "t").text.startswith("NOGRANT")

    run(test)


def test_an_expired_reservation_is_returned_once():
    def test(harness):
        name = call(harness, "LIMIT.RESERVE", KEY, 5, "FOR", 500)
        assert call(harness, "LIMIT.PEEK", KEY)[8] == b"credit"
        harness.loop.sleep(600 * MS)
        text = name.decode()
        assert call(harness, "LIMIT.COMMIT", KEY, text).text.startswith("EXPIRED")
        assert call(harness, "LIMIT.RELEASE", KEY, text).text.startswith("EXPIRED")
        assert call(harness, "LIMIT.PEEK", KEY)[9] == b"5.0"

    run(test)


def test_at_the_grant_limit_reservations_are_rejected_and_not_counted():
    def test(harness):
        for _ in range(3):
            assert call(harness, "LIMIT.RESERVE", KEY, 1, "FOR", 5_000)
        granted_before = harness.program.limit_service.granted
        assert call(harness, "LIMIT.RESERVE", KEY, 1, "FOR", 5_000).text.startswith("BUSY")
        assert harness.program.limit_service.granted == granted_before

    run(test, limits={"grants": 3})


def test_at_the_connection_limit_the_next_client_gets_an_error():
    def test(harness):
        clients = [harness.backend.connect(RESP_ADDRESS) for _ in range(2)]
        harness.loop.sleep(50 * MS)
        assert harness.backend.connect(RESP_ADDRESS).recv() == b"-ERR max number of clients reached\r\n"
        clients[0].close()
        harness.loop.sleep(50 * MS)
        assert call(harness, "PING").text == "PONG"

    run(test, limits={"connections": 2})


def read_to_end(harness: GatewayHarness, stream) -> bytes:
    """Return all bytes up to an orderly close. Raises ConnectionClosedError for a reset."""
    received = b""
    while data := stream.recv(deadline=harness.loop.now() + 5 * SECOND):
        received += data
    return received


UNREAD_BYTES = b"x" * 200_000  # more than the server reads at once


@pytest.mark.parametrize(
    ("raw", "reply"),
    [(encode(["QUIT"]), b"+OK\r\n"), (b"*1\r\n$x\r\n", b"-ERR Protocol error")],
    ids=["quit", "protocol error"],
)
def test_a_last_reply_is_complete_despite_unread_pipelined_bytes(raw, reply):
    def test(harness):
        stream = harness.backend.connect(RESP_ADDRESS)
        stream.send(raw + UNREAD_BYTES)
        assert read_to_end(harness, stream).startswith(reply)
        assert not harness.program.resp_server.connections

    run(test)


def test_a_client_over_the_limit_gets_the_error_despite_unread_commands():
    def test(harness):
        first = harness.backend.connect(RESP_ADDRESS)
        first.send(encode(["PING"]))
        assert receive_replies(harness, first, 1)
        second = harness.backend.connect(RESP_ADDRESS)
        second.send(take() + UNREAD_BYTES)
        assert read_to_end(harness, second) == b"-ERR max number of clients reached\r\n"

    run(test, limits={"connections": 1})


def test_commands_before_a_drain_get_replies_and_later_ones_no_reset():
    def test(harness):
        active, idle = harness.backend.connect(RESP_ADDRESS), harness.backend.connect(RESP_ADDRESS)
        for stream in (active, idle):
            stream.send(encode(["PING"]))
            assert receive_replies(harness, stream, 1)
        server = harness.program.resp_server
        harness.loop.freeze(harness.process)  # the command arrives while no task of the gateway runs
        active.send(take())
        harness.loop.sleep(50 * MS)
        granted = server.service.granted
        server.drain()
        harness.loop.thaw(harness.process)
        idle.send(take())  # sent after the gateway's close, before the client has noticed it
        assert read_to_end(harness, idle) == b""
        assert read_to_end(harness, active).startswith(b"*3\r\n:1\r\n")
        assert server.service.granted == granted + 1

    run(test)


def test_quota_settings_have_defaults():
    assert parse_settings(SETTINGS, "f").quotas.token_lifetime_us == 3 * SECOND
