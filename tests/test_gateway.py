"""Hard cases of the gateway, each caused on purpose, over the simulated network."""

from __future__ import annotations

import json

import pytest
from harness.gateway_harness import (
    GET,
    KEY,
    LOW_LIMIT_PLANS,
    MS,
    OK,
    REPORT,
    SECOND,
    UPLOAD,
    good,
    request,
    resets_after,
    run,
    silent,
)

from orchidlane import http1
from orchidlane.http1 import header


def test_a_request_is_forwarded_and_its_response_returned():
    def test(harness):
        status, headers, body = harness.ask(GET)
        assert (status, body) == (200, b"ok")
        assert header(headers, b"via") == b"1.1 gw-0"
        assert header(headers, b"ratelimit").startswith(b'"basico";r=')

    harness = run(good, test=test)
    assert harness.seen == [(0, b"GET /v1/sheets/a")]


def test_neither_the_key_nor_hop_by_hop_headers_reach_the_endpoint():
    def endpoint(harness, index, stream):
        head, _ = harness.read_request(index, stream)
        names.update(dict(head.headers))
        stream.send(OK)

    names: dict[bytes, bytes] = {}
    raw = request(
        "GET", "/v1/sheets/a", "Connection: X-Hop\r\nX-Hop: 1\r\nX-Far: 2\r\nOrchidlane-Customer: 9\r\n"
    )
    run(endpoint, test=lambda harness: harness.ask(raw))
    assert names[b"x-far"] == b"2"
    assert names[b"orchidlane-customer"] == b"1"
    assert not {b"x-api-key", b"x-hop", b"connection"} & set(names)
    assert KEY not in b"".join(names.values())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\n\r\n", 401),
        (b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\nX-Api-Key: other\r\n\r\n", 401),
        (request("GET", "/v1/nothing"), 404),
        (request("DELETE", "/v1/reports"), 405),
        (request("GET", "/v1/sheets/a", "Give-Up-After-Ms: soon\r\n"), 400),
        (request("PUT", "/v1/tests/1", body=b"x"), 400),
        (request("GET", "/v1/sheets/a%2fb"), 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
    ],
)
def test_an_invalid_request_gets_an_error_and_is_not_forwarded(raw, status):
    def test(harness):
        got, headers, body = harness.ask(raw)
        assert got == status
        assert header(headers, b"content-type") == b"application/problem+json"
        assert json.loads(body)["status"] == status

    assert run(good, test=test).seen == []


def test_a_request_beyond_the_quota_gets_429_and_may_be_retried():
    def test(harness):
        answers = [harness.ask(GET) for _ in range(30)]
        rejected = [answer for answer in answers if answer[0] == 429]
        assert rejected
        assert all(int(header(headers, b"retry-after")) >= 1 for _, headers, _ in rejected)
        assert b"harmless" in rejected[0][2]
        assert len(harness.seen) == len(answers) - len(rejected)

    run(good, test=test, plans=LOW_LIMIT_PLANS)


# Outcomes told truthfully


def test_a_non_idempotent_request_broken_after_its_first_byte_fails_without_a_retry():
    def test(harness):
        assert harness.ask(REPORT)[0] == 502
        harness.loop.sleep(3 * SECOND)

    assert len(run(resets_after, good, good, test=test, seed=3).seen) == 1
    seen = [len(run(resets_after, resets_after, test=test, seed=seed).seen) for seed in range(8)]
    assert seen == [1] * 8


def test_a_request_is_retried_elsewhere_if_its_endpoint_refuses_connections():
    def test(harness):
        harness.backend.listeners[harness.address(0)].close()
        assert [harness.ask(REPORT)[0] for _ in range(3)] == [200] * 3

    assert {index for index, _ in run(good, good, test=test).seen} == {1}


def test_a_request_rejected_by_a_full_endpoint_is_retried_elsewhere():
    def full(harness, index, stream):
        while True:
            harness.read_request(index, stream)
            stream.send(b"HTTP/1.1 503 No\r\nNode-Full: 1\r\nContent-Length: 0\r\n\r\n")

    def test(harness):
        assert [harness.ask(REPORT)[0] for _ in range(3)] == [200] * 3

    run(full, good, test=test)


def test_any_other_5xx_counts_as_possibly_executed():
    def error(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    def test(harness):
        assert harness.ask(REPORT)[0] == 502

    assert len(run(error, error, test=test).seen) == 1


def test_an_idempotent_request_broken_after_it_was_read_is_retried_only_within_its_rack():
    def test(harness):
        assert harness.ask(UPLOAD)[0] in (200, 502)

    for seed in range(12):
        handlers = [resets_after, good, good, resets_after]
        harness = run(*handlers, test=test, racks=["a", "a", "b", "b"], seed=seed)
        assert len({harness.racks[index] for index, _ in harness.seen}) == 1


def test_a_stale_pooled_connection_carries_no_non_idempotent_request():
    def closes(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(OK)
        harness.loop.sleep(50 * MS)
        stream.close()

    def test(harness):
        assert harness.ask(GET)[0] == 200
        harness.loop.sleep(100 * MS)
        assert harness.ask(REPORT)[0] == 200

    run(closes, test=test)


def test_a_request_on_a_connection_that_closes_at_the_write_is_possibly_executed():
    def closes(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(OK)
        harness.read_request(index, stream)
        stream.abort()

    def test(harness):
        assert harness.ask(GET)[0] == 200
        assert harness.ask(REPORT)[0] == 502

    assert len(run(closes, test=test).seen) == 2


def test_an_incomplete_response_is_not_forwarded():
    def cuts(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        stream.close()

    def test(harness):
        assert harness.ask(REPORT)[0] == 502
        assert harness.ask(GET)[0] in (502, 503)

    run(cuts, test=test)


def test_a_response_before_the_end_of_the_request_body_is_forwarded():
    def responds_early(harness, index, stream):
        stream.recv(100)
        stream.send(b"HTTP/1.1 413 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        harness.loop.sleep(5 * SECOND)

    def test(harness):
        raw = request("POST", "/v1/reports", body=b"x" * 300_000)
        assert harness.ask(raw)[0] == 413

    run(responds_early, test=test, bounds={"held_body": 100_000})


def test_a_body_too_large_to_replay_is_sent_once():
    def test(harness):
        raw = request("PUT", "/v1/tests/1", "Idempotency-Key: k\r\n", b"x" * 500_000)
        status, _, _ = harness.ask(raw)
        assert status == 502

    assert len(run(resets_after, resets_after, test=test, bounds={"held_body": 50_000}).seen) <= 1


def test_a_large_response_is_streamed_and_a_break_in_it_resets_the_client():
    def large(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 900_000)

    def breaks(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 700_000)
        stream.abort()

    def complete(harness):
        status, _, body = harness.ask(GET)
        assert (status, len(body)) == (200, 900_000)

    def cut(harness):
        stream = harness.connect()
        stream.send(GET)
        status, _, body = 1, (), b""
        try:
            status, _, body = harness.answer(stream)
        except Exception as error:
            assert "reset" in str(error)
            return
        raise AssertionError((status, len(body)))

    run(large, test=complete)
    run(breaks, test=cut)


# Clients


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
            assert parser.pending == 0

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


# Nodes and the list


def test_a_request_to_a_silent_endpoint_fails_within_its_deadline():
    def test(harness):
        began = harness.loop.now()
        status, _, _ = harness.ask(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 700\r\n"))
        assert status == 503
        assert harness.loop.now() - began <= 700 * MS

    run(silent, test=test)


def test_a_draining_endpoint_gets_no_request():
    def test(harness):
        harness.set_phase(0, "draining")
        harness.loop.sleep(50 * MS)
        assert harness.ask(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 600\r\n"))[0] == 503

    assert run(good, test=test).seen == []


def test_a_gateway_that_stood_still_sends_nothing_to_an_endpoint_that_drains_meanwhile():
    def test(harness):
        harness.loop.freeze(harness.process)
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(SECOND)
        harness.set_phase(0, "draining")
        harness.loop.sleep(SECOND)
        harness.loop.thaw(harness.process)
        assert harness.answer(stream, wait=3 * SECOND)[0] == 503

    for seed in range(6):
        assert run(good, test=test, seed=seed).seen == []


def test_a_request_waits_for_an_empty_endpoint_list_to_fill_again():
    def test(harness):
        harness.set_phase(0, "gone")
        harness.loop.sleep(50 * MS)
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(300 * MS)
        harness.set_phase(0, "ready")
        assert harness.answer(stream)[0] == 200

    run(good, test=test)


def test_a_restarted_gateway_begins_with_its_cached_endpoint_list():
    def test(harness):
        harness.loop.sleep(2 * SECOND)
        harness.backend.kill(harness.process)
        harness.list.listener.close()
        for stream in list(harness.list.watches):
            stream.abort()
        harness.start()
        harness.loop.sleep(300 * MS)
        assert harness.ask(GET)[0] == 200

    run(good, test=test, state="state")


def test_sigterm_answers_accepted_requests_and_accepts_no_more():
    def slow(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(500 * MS)
        stream.send(OK)

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(100 * MS)
        harness.program.stop()
        harness.loop.sleep(100 * MS)
        with pytest.raises(Exception, match="refused"):
            harness.connect()
        status, headers, _ = harness.answer(stream)
        assert status == 200
        assert header(headers, b"connection") == b"close"
        stream.close()
        harness.loop.sleep(500 * MS)
        assert not harness.process.tasks

    run(slow, test=test)


def test_a_process_ends_with_its_lingering_connections_and_no_later():
    """Its end would reset them, and with bytes still on the way a last response might be lost."""

    def test(harness):
        stream = harness.connect()
        stream.send(GET)
        harness.loop.sleep(100 * MS)
        harness.program.stop()
        harness.loop.sleep(100 * MS)
        assert harness.answer(stream)[0] == 200
        stream.send(GET)  # crosses the close
        harness.loop.sleep(100 * MS)
        assert harness.process.tasks
        assert stream.recv(deadline=harness.loop.now() + SECOND) == b""  # a close, no reset
        harness.loop.sleep(int(harness.program.fleet.timeouts.linger_us))  # the client keeps its side open
        assert not harness.process.tasks

    run(good, test=test)


def test_forged_datagrams_change_nothing():
    def test(harness):
        socket = harness.backend.bind_datagrams(("127.0.0.1", 0))
        random = harness.backend.random
        for _ in range(3_000):
            socket.send(random.randbytes(random.randint(0, 400)), ("127.0.0.1", 8180))
        harness.loop.sleep(SECOND)
        assert harness.ask(GET)[0] == 200
        assert harness.program.metrics.datagrams_received == 0
        assert sum(harness.program.inbox.rejected.values()) > 200

    run(good, test=test)
