"""Clients with requests in progress at a hot restart: each request gets one response."""

from __future__ import annotations

import hashlib
from collections import Counter
from typing import NamedTuple

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, OK, REPORT, GatewayHarness, good, request
from harness.hot_restart_harness import HotRestartHarness, counted_units

from orchidlane import http1
from orchidlane.gateway.lifecycle.new_side import NewSide

pytestmark = pytest.mark.usefixtures("quiet_log")


class SplitRequest(NamedTuple):
    """The bytes that a client sends before and after a hot restart, and the responses that follow."""

    before: bytes
    after: bytes
    responses: int = 1


UPLOAD = request("PUT", "/v1/tests/1", "Idempotency-Key: k\r\n", b"0123456789")
REQUESTS_IN_PROGRESS = {
    "half a body": SplitRequest(UPLOAD[:-5], UPLOAD[-5:]),
    "half a head": SplitRequest(GET[:20], GET[20:]),
    "an attempt that is not idempotent": SplitRequest(REPORT, b""),
    "a pipeline": SplitRequest(GET + GET + GET[:30], GET[30:], 3),
    "nothing yet": SplitRequest(b"", GET),
}


def respond_after_60_ms(harness: GatewayHarness, index: int, stream) -> None:
    """Serve each request after 60 ms."""
    while True:
        harness.read_request(index, stream)
        harness.loop.sleep(60 * MS)
        stream.send(OK)


def assert_responses(harness: HotRestartHarness, stream, count: int, name: str) -> None:
    """Assert that ``count`` responses follow on a connection, each with status 200."""
    parser = http1.ResponseParser()
    for _ in range(count):
        assert harness.answer(stream, parser=parser)[0] == 200, name
        parser.next_message()


def test_request_in_progress_of_any_kind_is_answered_once():
    """Guards against requests that are lost or carried out twice when a hot restart splits their bytes."""

    def test(harness: HotRestartHarness) -> None:
        streams = {}
        for name, split in REQUESTS_IN_PROGRESS.items():
            streams[name] = harness.connect()
            if split.before:
                streams[name].send(split.before)
        harness.loop.sleep(20 * MS)
        harness.hot_restart()
        for name, split in REQUESTS_IN_PROGRESS.items():
            if split.after:
                streams[name].send(split.after)
        for name, split in REQUESTS_IN_PROGRESS.items():
            assert_responses(harness, streams[name], split.responses, name)
        harness.wait_until(lambda: not harness.processes[0].tasks)
        harness.loop.sleep(2 * SECOND)
        for name, stream in streams.items():  # the new process serves all of them
            stream.send(GET)
            assert harness.answer(stream)[0] == 200, name
        methods = Counter(line.split(b" ")[0] for _, line in harness.seen)
        assert (methods[b"PUT"], methods[b"POST"]) == (1, 1)
        assert counted_units(harness.gateways[1]) == 2 + 1 + 3 + 3 + 1 + 5

    HotRestartHarness(*[respond_after_60_ms] * 6).run(test)


def test_request_waiting_for_an_endpoint_is_counted_by_the_new_process():
    def test(harness: HotRestartHarness) -> None:
        assert harness.ask(GET)[0] == 200
        harness.set_endpoint_state(0, "gone")
        harness.loop.sleep(50 * MS)
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(50 * MS)
        harness.hot_restart()
        harness.set_endpoint_state(0, "ready")
        assert harness.answer(stream)[0] == 200
        assert counted_units(harness.gateways[1]) == harness.forwarded_units() == 2

    HotRestartHarness(good).run(test)


def test_clients_that_cannot_be_adopted_are_closed_between_requests(monkeypatch):
    start_probation = NewSide._start_probation

    def start_without_descriptors(self) -> None:
        start_probation(self)
        self.loop.backend.is_out_of_descriptors = True

    monkeypatch.setattr(NewSide, "_start_probation", start_without_descriptors)

    def test(harness: HotRestartHarness) -> None:
        idle = harness.connect()
        idle.send(GET)
        assert harness.answer(idle)[0] == 200
        harness.hot_restart()
        assert idle.recv(deadline=harness.loop.now() + SECOND) == b""
        assert harness.ask(GET)[0] == 200

    HotRestartHarness(good).run(test)


def resp_command(*words: bytes) -> bytes:
    """Encode a command of the Redis protocol (RESP)."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def test_resp_sessions_are_handed_over_with_tokens_grants_and_partial_commands():
    def test(harness: HotRestartHarness) -> None:
        def connect():
            return harness.backend.connect(("127.0.0.1", 8380))

        def reply(stream) -> bytes:
            return stream.recv(deadline=harness.loop.now() + 3 * SECOND)

        stream, idle = connect(), connect()
        harness.loop.sleep(4 * SECOND)  # a token owner is reliable once its tokens' lifetime has passed
        quota_command = resp_command(b"LIMIT.TAKE", b"a-key", b"5", b"IDEMPOTENT", b"t1")
        stream.send(quota_command)
        assert reply(stream).startswith(b"*3\r\n:1\r\n")
        idle.send(resp_command(b"CLIENT", b"SETNAME", b"me"))
        assert reply(idle) == b"+OK\r\n"
        idle.send(quota_command[:19])
        harness.loop.sleep(20 * MS)
        harness.hot_restart()
        # The same token again, through the new process: its units are not counted twice
        idle.send(quota_command[19:])
        assert reply(idle).startswith(b"*3\r\n:1\r\n")
        idle.send(resp_command(b"CLIENT", b"GETNAME"))
        assert reply(idle) == b"$2\r\nme\r\n"
        new = harness.gateways[1]
        assert counted_units(new) == 5
        stream.send(resp_command(b"LIMIT.GIVEBACK", b"a-key", b"t1"))
        assert reply(stream) == b":1\r\n"
        assert new.limit_service.grants.credits()[0][:2] == (1, 5.0)

    HotRestartHarness(good, single_gateway=True).run(test)


def test_resp_sessions_survive_a_crash_of_the_new_process_in_probation():
    """A command in progress gets an error; the old process takes back the commands that follow it."""

    def test(harness: HotRestartHarness) -> None:
        harness.hot_restart()
        client, unauthenticated = (harness.backend.connect(("127.0.0.1", 8380)) for _ in range(2))
        client.send(resp_command(b"AUTH", b"open"))
        assert client.recv(deadline=harness.loop.now() + SECOND) == b"+OK\r\n"
        unauthenticated.send(resp_command(b"PING")[:9])
        quota_command = resp_command(b"LIMIT.TAKE", b"a-key", b"2900")
        client.send(quota_command)
        assert client.recv(deadline=harness.loop.now() + SECOND).startswith(b"*3\r\n:1\r\n")
        waiting_command = resp_command(b"LIMIT.TAKE", b"a-key", b"1500", b"WITHIN", b"9000")
        client.send(waiting_command + resp_command(b"PING")[:9])
        harness.loop.sleep(20 * MS)
        harness.backend.kill(harness.processes[1])
        harness.wait_until(lambda: harness.gateways[0] in harness.serving())
        assert client.recv(deadline=harness.loop.now() + SECOND).startswith(b"-ERR the process that took")
        for stream in (client, unauthenticated):
            stream.send(resp_command(b"PING")[9:])
        assert client.recv(deadline=harness.loop.now() + SECOND) == b"+PONG\r\n"
        response = unauthenticated.recv(deadline=harness.loop.now() + SECOND)
        assert response.startswith(b"-NOAUTH"), response  # sessions keep their own authentication

    secret = hashlib.sha256(b"open").hexdigest()
    HotRestartHarness(good, single_gateway=True, limits={"passwords": (secret,)}).run(test)


def test_quota_request_pending_at_handover_is_decided_by_the_new_process():
    def test(harness: HotRestartHarness) -> None:
        stream = harness.backend.connect(("127.0.0.1", 8380))
        stream.send(resp_command(b"LIMIT.TAKE", b"a-key", b"2900"))
        harness.loop.sleep(50 * MS)
        stream.recv()
        stream.send(resp_command(b"LIMIT.TAKE", b"a-key", b"1500", b"WITHIN", b"9000"))
        harness.loop.sleep(100 * MS)
        harness.hot_restart()
        data = stream.recv(deadline=harness.loop.now() + 9 * SECOND)
        assert data.startswith(b"*3\r\n:1\r\n"), data
        assert counted_units(harness.gateways[1]) == 4_400

    HotRestartHarness(good, single_gateway=True).run(test)
