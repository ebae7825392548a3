"""Edge cases of client connections: disconnects, deadlines, timeouts, limits; over the simulated network."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, LOW_LIMIT_PLANS, OK, good, request, run

from orchidlane import http1


def test_a_client_that_leaves_cancels_its_attempt():
    bytes_received = []  # by the endpoint, after the request

    def slow(harness, index, stream):
        harness.read_request(index, stream)
        bytes_received.append(stream.recv())

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(200 * MS)
        stream.close()
        harness.loop.sleep(200 * MS)
        assert bytes_received == [b""]  # the connection was closed
        assert not harness.program.policy_driver.requests
        assert not harness.program.policy_driver.attempts

    run(slow, test=test)


def test_no_state_remains_of_a_client_that_leaves_during_its_response():
    def responds_after_100_ms(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(100 * MS)
        stream.send(OK)

    def test(harness):
        for delay_ms in range(98, 104):  # before and after the response arrives
            stream = harness.connect()
            stream.send(GET)
            harness.loop.sleep(delay_ms * MS)
            stream.close()
        harness.loop.sleep(SECOND)
        assert not harness.program.policy_driver.requests
        assert not harness.program.policy_driver.attempts
        assert harness.ask(GET)[0] in (200, 503)  # cancelled attempts may make the endpoint seem slow

    run(responds_after_100_ms, test=test)


def test_a_deadline_that_races_the_response_gives_exactly_one_response():
    for delay_ms in range(120, 160, 3):  # around the client timeout, less the margin for the response

        def responds_late(harness, index, stream, delay_ms=delay_ms):
            harness.read_request(index, stream)
            harness.loop.sleep(delay_ms * MS)
            stream.send(OK)

        def test(harness):
            stream = harness.connect()
            parser = http1.ResponseParser()
            stream.send(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 200\r\n"))
            started_at = harness.loop.now()
            status, _, _ = harness.answer(stream, parser=parser)
            assert status in (200, 503)
            assert harness.loop.now() - started_at <= 200 * MS
            harness.loop.sleep(300 * MS)
            assert stream.try_recv() is None
            assert parser.pending_bytes == 0

        run(responds_late, test=test)


def test_pipelined_requests_get_responses_in_order_if_one_is_rejected():
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


def test_100_continue_is_sent_only_if_the_request_is_admitted():
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
        response = stream.recv()
        assert response.startswith(b"HTTP/1.1 429 ")
        assert b"connection: close" in response

    run(good, test=test, plans=LOW_LIMIT_PLANS)


def test_interim_responses_of_an_endpoint_are_forwarded():
    def sends_early_hints(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        harness.loop.sleep(10 * MS)
        stream.send(OK)

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        assert stream.recv() == b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
        assert harness.answer(stream)[0] == 200

    run(sends_early_hints, test=test)


@pytest.mark.parametrize(
    ("incomplete_request", "status"),
    [
        (b"GET /v1/sheets/a HTTP/1.1\r\nHo", 408),
        (request("POST", "/v1/reports", "Content-Length: 9\r\n"), 408),
    ],
)
def test_a_client_that_sends_too_slowly_is_closed(incomplete_request, status):
    def test(harness):
        stream = harness.connect()
        stream.send(incomplete_request)
        received_status, _, _ = harness.answer(stream, wait=20 * SECOND)
        assert received_status in (status, 503)
        harness.loop.sleep(2 * SECOND)
        assert not harness.program.http_server.connections

    run(good, test=test, times={"head": 2 * SECOND, "body": 2 * SECOND})


def test_a_head_sent_byte_by_byte_is_cut_off_at_the_timeout():
    def test(harness):
        stream = harness.connect()
        started_at = harness.loop.now()
        try:
            for byte in GET * 20:
                stream.send(bytes((byte,)))
                harness.loop.sleep(100 * MS)
        except Exception:
            pass
        assert harness.loop.now() - started_at < 6 * SECOND

    run(good, test=test, times={"head": 2 * SECOND})


def test_at_the_connection_limit_the_longest_idle_client_is_closed():
    def test(harness):
        streams = [harness.connect() for _ in range(12)]
        harness.loop.sleep(SECOND)
        assert len(harness.program.http_server.connections) == 10
        assert harness.ask(GET)[0] == 200
        assert streams[0].try_recv() == b""

    run(good, test=test, bounds={"connections": 10})
