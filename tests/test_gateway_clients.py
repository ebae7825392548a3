"""Hard cases of clients' connections to the gateway, over the simulated network."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, LOW_LIMIT_PLANS, OK, good, request, run

from orchidlane import http1


def test_a_client_that_leaves_cancels_its_attempt():
    ended = []

    def slow(harness, index, stream):
        harness.read_request(index, stream)
        ended.append(stream.recv())

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(200 * MS)
        stream.close()
        harness.loop.sleep(200 * MS)
        assert ended == [b""]
        assert not harness.program.policy_driver.requests
        assert not harness.program.policy_driver.attempts

    run(slow, test=test)


def test_a_client_that_leaves_as_its_response_arrives_leaves_no_state():
    def timed(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(100 * MS)
        stream.send(OK)

    def test(harness):
        for wait in range(98, 104):
            stream = harness.connect()
            stream.send(GET)
            harness.loop.sleep(wait * MS)
            stream.close()
        harness.loop.sleep(SECOND)
        assert not harness.program.policy_driver.requests
        assert not harness.program.policy_driver.attempts
        assert harness.ask(GET)[0] in (200, 503)  # cancelled attempts may make the endpoint look slow

    run(timed, test=test)


def test_a_deadline_between_the_endpoints_response_and_our_write_gives_one_response():
    for wait in range(120, 160, 3):

        def timed(harness, index, stream, wait=wait):
            harness.read_request(index, stream)
            harness.loop.sleep(wait * MS)
            stream.send(OK)

        def test(harness):
            stream = harness.connect()
            parser = http1.ResponseParser()
            stream.send(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 200\r\n"))
            began = harness.loop.now()
            status, _, _ = harness.answer(stream, parser=parser)
            assert status in (200, 503)
            assert harness.loop.now() - began <= 200 * MS
            harness.loop.sleep(300 * MS)
            assert stream.try_recv() is None
            assert parser.pending_bytes == 0

        run(timed, test=test)


def test_pipelined_requests_are_answered_in_order_though_one_is_rejected():
    def test(harness):
        stream = harness.connect()
        stream.send(GET + request("GET", "/v1/nothing") + GET.replace(b"sheets/a", b"sheets/b"))
        parser = http1.ResponseParser()
        statuses = []
        for _ in range(3):
            statuses.append(harness.answer(stream, parser=parser)[0])
            parser.next_message()
        assert statuses == [200, 404, 200]

    assert [target for _, target in run(good, test=test).seen] == [b"GET /v1/sheets/a", b"GET /v1/sheets/b"]


def test_100_continue_comes_only_when_the_request_is_admitted():
    raw = request("POST", "/v1/reports", "Expect: 100-continue\r\nContent-Length: 3\r\n")

    def test(harness):
        stream = harness.connect()
        stream.send(raw)
        assert stream.recv().startswith(b"HTTP/1.1 100 ")
        stream.send(b"abc")
        assert harness.answer(stream)[0] == 200
        for _ in range(12):
            harness.ask(GET)
        stream = harness.connect()
        stream.send(raw)
        first = stream.recv()
        assert first.startswith(b"HTTP/1.1 429 ")
        assert b"connection: close" in first

    run(good, test=test, plans=LOW_LIMIT_PLANS)


def test_interim_responses_of_an_endpoint_are_forwarded():
    def hints(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        harness.loop.sleep(10 * MS)
        stream.send(OK)

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        assert stream.recv() == b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
        assert harness.answer(stream)[0] == 200

    run(hints, test=test)


@pytest.mark.parametrize(
    ("first", "status"),
    [
        (b"GET /v1/sheets/a HTTP/1.1\r\nHo", 408),
        (request("POST", "/v1/reports", "Content-Length: 9\r\n"), 408),
    ],
)
def test_a_client_that_sends_too_slowly_is_closed(first, status):
    def test(harness):
        stream = harness.connect()
        stream.send(first)
        got, _, _ = harness.answer(stream, wait=20 * SECOND)
        assert got in (status, 503)
        harness.loop.sleep(2 * SECOND)
        assert not harness.program.http_server.connections

    run(good, test=test, times={"head": 2 * SECOND, "body": 2 * SECOND})


def test_a_head_sent_byte_by_byte_ends_at_the_timeout():
    def test(harness):
        stream = harness.connect()
        began = harness.loop.now()
        try:
            for byte in GET * 20:
                stream.send(bytes((byte,)))
                harness.loop.sleep(100 * MS)
        except Exception:
            pass
        assert harness.loop.now() - began < 6 * SECOND

    run(good, test=test, times={"head": 2 * SECOND})


def test_at_the_connection_limit_the_longest_idle_client_is_closed():
    def test(harness):
        streams = [harness.connect() for _ in range(12)]
        harness.loop.sleep(SECOND)
        assert len(harness.program.http_server.connections) == 10
        assert harness.ask(GET)[0] == 200
        assert streams[0].try_recv() == b""

    run(good, test=test, bounds={"connections": 10})
