"""Clients and their requests in progress at a hot restart: each request is answered once."""

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
    """What a client sends before a hot restart and after it, and how many responses follow."""

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


def slow_to_answer(harness: GatewayHarness, index: int, stream) -> None:
    """Serve each request after 60 ms."""
    while True:
        harness.read_request(index, stream)
        harness.loop.sleep(60 * MS)
        stream.send(OK)


def assert_responses(harness: HotRestartHarness, stream, count: int, name: str) -> None:
    """Assert that so many responses follow on a connection, each of status 200."""
    parser = http1.ResponseParser()
    for _ in range(count):
        assert harness.answer(stream, parser=parser)[0] == 200, name
        parser.next_message()


def test_request_in_progress_of_any_kind_is_answered_once():
    """The process is replaced while clients of all kinds have a request in progress."""

    def test(harness: HotRestartHarness) -> None:
        streams = {}
        for name, split in REQUESTS_IN_PROGRESS.items():
            streams[name] = harness.connect()
            if split.before:
                streams[name].send(split.before)
        harness.loop.sleep(20 * MS)
        harness.upgrade()
        for name, split in REQUESTS_IN_PROGRESS.items():
            if split.after:
                streams[name].send(split.after)
        for name, split in REQUESTS_IN_PROGRESS.items():
            assert_responses(harness, streams[name], split.responses, name)
        harness.until(lambda: not harness.processes[0].tasks)
        harness.loop.sleep(2 * SECOND)
        for name, stream in streams.items():  # all of them continue with the new process
            stream.send(GET)
            assert harness.answer(stream)[0] == 200, name
        seen = Counter(line.split(b" ")[0] for _, line in harness.seen)
        assert (seen[b"PUT"], seen[b"POST"]) == (1, 1)
        assert counted_units(harness.gateways[1]) == 2 + 1 + 3 + 3 + 1 + 5

    HotRestartHarness(*[slow_to_answer] * 6).run(test)


def test_request_waiting_for_an_endpoint_is_counted_by_the_new_process():
    def test(harness: HotRestartHarness) -> None:
        assert harness.ask(GET)[0] == 200
        harness.set_endpoint_state(0, "gone")
        harness.loop.sleep(50 * MS)
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(50 * MS)
        harness.upgrade()
        harness.set_endpoint_state(0, "ready")
        assert harness.answer(stream)[0] == 200
        assert counted_units(harness.gateways[1]) == harness.forwarded_units() == 2

    HotRestartHarness(good).run(test)


def test_clients_that_cannot_be_adopted_are_closed_between_requests(monkeypatch):
    begin = NewSide._start_probation

    def without_descriptors(self) -> None:
        begin(self)
        self.loop.backend.is_out_of_descriptors = True

    monkeypatch.setattr(NewSide, "_start_probation", without_descriptors)

    def test(harness: HotRestartHarness) -> None:
        idle = harness.connect()
        idle.send(GET)
        assert harness.answer(idle)[0] == 200
        harness.upgrade()
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
        harness.loop.sleep(4 * SECOND)  # tokens are final after their lifetime
        quota_command = resp_command(b"LIMIT.TAKE", b"a-key", b"5", b"IDEMPOTENT", b"t1")
        stream.send(quota_command)
        assert reply(stream).startswith(b"*3\r\n:1\r\n")
        idle.send(resp_command(b"CLIENT", b"SETNAME", b"me"))
        assert reply(idle) == b"+OK\r\n"
        idle.send(quota_command[:19])
        harness.loop.sleep(20 * MS)
        harness.upgrade()
        # The same token again, through the other process: nothing is counted twice
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


def test_resp_sessions_of_a_dying_new_process_continue_with_commands_not_started():
    """A command in progress gets an error; the rest of its pipeline and half a command are handed back."""

    def test(harness: HotRestartHarness) -> None:
        harness.upgrade()
        client, stranger = (harness.backend.connect(("127.0.0.1", 8380)) for _ in range(2))
        client.send(resp_command(b"AUTH", b"open"))
        assert client.recv(deadline=harness.loop.now() + SECOND) == b"+OK\r\n"
        stranger.send(resp_command(b"PING")[:9])
        quota_command = resp_command(b"LIMIT.TAKE", b"a-key", b"2900")
        client.send(quota_command)
        assert client.recv(deadline=harness.loop.now() + SECOND).startswith(b"*3\r\n:1\r\n")
        wait = resp_command(b"LIMIT.TAKE", b"a-key", b"1500", b"WITHIN", b"9000")
        client.send(wait + resp_command(b"PING")[:9])
        harness.loop.sleep(20 * MS)
        harness.backend.kill(harness.processes[1])
        harness.until(lambda: harness.gateways[0] in harness.serving())
        assert client.recv(deadline=harness.loop.now() + SECOND).startswith(b"-ERR the process that took")
        for stream in (client, stranger):
            stream.send(resp_command(b"PING")[9:])
        assert client.recv(deadline=harness.loop.now() + SECOND) == b"+PONG\r\n"
        response = stranger.recv(deadline=harness.loop.now() + SECOND)
        assert response.startswith(b"-NOAUTH"), response  # only what it had shown the new process

    secret = hashlib.sha256(b"open").hexdigest()
    HotRestartHarness(good, single_gateway=True, limits={"passwords": (secret,)}).run(test)


def test_quota_request_waiting_at_the_handover_is_decided_by_the_new_process():
    def test(harness: HotRestartHarness) -> None:
        stream = harness.backend.connect(("127.0.0.1", 8380))
        stream.send(resp_command(b"LIMIT.TAKE", b"a-key", b"2900"))
        harness.loop.sleep(50 * MS)
        stream.recv()
        stream.send(resp_command(b"LIMIT.TAKE", b"a-key", b"1500", b"WITHIN", b"9000"))
        harness.loop.sleep(100 * MS)
        harness.upgrade()
        data = stream.recv(deadline=harness.loop.now() + 9 * SECOND)
        assert data.startswith(b"*3\r\n:1\r\n"), data
        assert counted_units(harness.gateways[1]) == 4_400

    HotRestartHarness(good, single_gateway=True).run(test)
