"""The gateway's hard cases, each caused on purpose, over the simulated network."""

from __future__ import annotations

import json

import pytest
from harness.gateway_harness import (
    GET,
    KEY,
    MS,
    OK,
    REPORT,
    SECOND,
    SETTINGS,
    UPLOAD,
    GatewayHarness,
    good,
    request,
    resets_after,
    silent,
)

from orchidlane import http1
from orchidlane.gateway.control.settings_loader import parse_settings

TIGHT = parse_settings(SETTINGS, "fleet.cue").plans


def header(headers, name: bytes) -> bytes | None:
    return http1.header(headers, name)


def run(*handlers, test, **changes) -> GatewayHarness:
    house = GatewayHarness(*handlers, **changes)
    house.run(test)
    return house


def test_a_request_goes_to_a_node_and_back():
    def test(house):
        status, headers, body = house.ask(GET)
        assert (status, body) == (200, b"ok")
        assert header(headers, b"via") == b"1.1 gw-0"
        assert header(headers, b"ratelimit").startswith(b'"basico";r=')

    house = run(good, test=test)
    assert house.seen == [(0, b"GET /v1/sheets/a")]


def test_neither_the_key_nor_hop_by_hop_headers_reach_the_node():
    def node(house, index, stream):
        head, _ = house.read_request(index, stream)
        names.update(dict(head.headers))
        stream.send(OK)

    names: dict[bytes, bytes] = {}
    raw = request(
        "GET", "/v1/sheets/a", "Connection: X-Hop\r\nX-Hop: 1\r\nX-Far: 2\r\nOrchidlane-Customer: 9\r\n"
    )
    run(node, test=lambda house: house.ask(raw))
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
def test_what_is_no_request_of_a_customer_reaches_no_node(raw, status):
    def test(house):
        got, headers, body = house.ask(raw)
        assert got == status
        assert header(headers, b"content-type") == b"application/problem+json"
        assert json.loads(body)["status"] == status

    assert run(good, test=test).seen == []


def test_beyond_the_quota_is_429_and_says_that_a_repeat_is_harmless():
    def test(house):
        answers = [house.ask(GET) for _ in range(30)]
        refused = [a for a in answers if a[0] == 429]
        assert refused
        assert all(int(header(headers, b"retry-after")) >= 1 for _, headers, _ in refused)
        assert b"harmless" in refused[0][2]
        assert len(house.seen) == len(answers) - len(refused)

    run(good, test=test, plans=TIGHT)


# Outcomes told truthfully


def test_a_report_broken_after_a_byte_left_fails_and_never_goes_out_again():
    def test(house):
        assert house.ask(REPORT)[0] == 502
        house.loop.sleep(3 * SECOND)

    assert len(run(resets_after, good, good, test=test, seed=3).seen) == 1
    seen = [len(run(resets_after, resets_after, test=test, seed=seed).seen) for seed in range(8)]
    assert seen == [1] * 8


def test_a_report_to_a_node_that_refuses_connections_goes_to_another():
    def test(house):
        house.backend.listeners[house.address(0)].close()
        assert [house.ask(REPORT)[0] for _ in range(3)] == [200] * 3

    assert {index for index, _ in run(good, good, test=test).seen} == {1}


def test_a_report_turned_away_as_full_goes_to_another():
    def full(house, index, stream):
        while True:
            house.read_request(index, stream)
            stream.send(b"HTTP/1.1 503 No\r\nNode-Full: 1\r\nContent-Length: 0\r\n\r\n")

    def test(house):
        assert [house.ask(REPORT)[0] for _ in range(3)] == [200] * 3

    run(full, good, test=test)


def test_another_5xx_may_have_run():
    def error(house, index, stream):
        house.read_request(index, stream)
        stream.send(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    def test(house):
        assert house.ask(REPORT)[0] == 502

    assert len(run(error, error, test=test).seen) == 1


def test_an_upload_broken_after_it_was_read_goes_again_only_within_its_rack():
    def test(house):
        assert house.ask(UPLOAD)[0] in (200, 502)

    for seed in range(12):
        handlers = [resets_after, good, good, resets_after]
        house = run(*handlers, test=test, racks=["a", "a", "b", "b"], seed=seed)
        assert len({house.racks[index] for index, _ in house.seen}) == 1


def test_a_stale_pooled_connection_is_seen_and_an_unsafe_request_is_not_lost_to_it():
    def closes(house, index, stream):
        house.read_request(index, stream)
        stream.send(OK)
        house.loop.sleep(50 * MS)
        stream.close()

    def test(house):
        assert house.ask(GET)[0] == 200
        house.loop.sleep(100 * MS)
        assert house.ask(REPORT)[0] == 200

    run(closes, test=test)


def test_a_pooled_connection_that_closes_just_as_we_write_may_have_run():
    def closes(house, index, stream):
        house.read_request(index, stream)
        stream.send(OK)
        house.read_request(index, stream)
        stream.abort()

    def test(house):
        assert house.ask(GET)[0] == 200
        assert house.ask(REPORT)[0] == 502

    assert len(run(closes, test=test).seen) == 2


def test_an_answer_cut_in_the_middle_is_no_answer():
    def cuts(house, index, stream):
        house.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        stream.close()

    def test(house):
        assert house.ask(REPORT)[0] == 502
        assert house.ask(GET)[0] in (502, 503)

    run(cuts, test=test)


def test_an_upstream_that_answers_before_the_body_is_sent():
    def hasty(house, index, stream):
        stream.recv(100)
        stream.send(b"HTTP/1.1 413 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        house.loop.sleep(5 * SECOND)

    def test(house):
        raw = request("POST", "/v1/reports", body=b"x" * 300_000)
        assert house.ask(raw)[0] == 413

    run(hasty, test=test, bounds={"held_body": 100_000})


def test_a_body_too_large_to_hold_goes_out_once():
    def test(house):
        raw = request("PUT", "/v1/tests/1", "Idempotency-Key: k\r\n", b"x" * 500_000)
        status, _, _ = house.ask(raw)
        assert status == 502

    assert len(run(resets_after, resets_after, test=test, bounds={"held_body": 50_000}).seen) <= 1


def test_large_answers_flow_and_a_break_within_shows():
    def large(house, index, stream):
        house.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 900_000)

    def breaks(house, index, stream):
        house.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 700_000)
        stream.abort()

    def whole(house):
        status, _, body = house.ask(GET)
        assert (status, len(body)) == (200, 900_000)

    def cut(house):
        stream = house.connect()
        stream.send(GET)
        status, _, body = 1, (), b""
        try:
            status, _, body = house.answer(stream)
        except Exception as wrong:
            assert "reset" in str(wrong)
            return
        raise AssertionError((status, len(body)))

    run(large, test=whole)
    run(breaks, test=cut)


# Clients


def test_a_client_that_leaves_calls_its_attempt_off():
    ended = []

    def slow(house, index, stream):
        house.read_request(index, stream)
        ended.append(stream.recv())

    def test(house):
        stream = house.connect()
        stream.send(GET)
        house.loop.sleep(200 * MS)
        stream.close()
        house.loop.sleep(200 * MS)
        assert ended == [b""]
        assert not house.program.policy_driver.requests
        assert not house.program.policy_driver.attempts

    run(slow, test=test)


def test_a_client_that_leaves_as_its_answer_arrives():
    def timed(house, index, stream):
        house.read_request(index, stream)
        house.loop.sleep(100 * MS)
        stream.send(OK)

    def test(house):
        for wait in range(98, 104):
            stream = house.connect()
            stream.send(GET)
            house.loop.sleep(wait * MS)
            stream.close()
        house.loop.sleep(SECOND)
        assert not house.program.policy_driver.requests
        assert not house.program.policy_driver.attempts
        assert house.ask(GET)[0] in (200, 503)  # cancelled attempts may make the node look slow

    run(timed, test=test)


def test_a_deadline_that_passes_between_a_nodes_answer_and_our_write_gives_one_answer():
    for wait in range(120, 160, 3):

        def timed(house, index, stream, wait=wait):
            house.read_request(index, stream)
            house.loop.sleep(wait * MS)
            stream.send(OK)

        def test(house):
            stream = house.connect()
            parser = http1.ResponseParser()
            stream.send(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 200\r\n"))
            began = house.loop.now()
            status, _, _ = house.answer(stream, parser=parser)
            assert status in (200, 503)
            assert house.loop.now() - began <= 200 * MS
            house.loop.sleep(300 * MS)
            assert stream.try_recv() is None
            assert parser.pending_bytes == 0

        run(timed, test=test)


def test_pipelined_requests_are_answered_in_order_though_one_is_refused():
    def test(house):
        stream = house.connect()
        stream.send(GET + request("GET", "/v1/nothing") + GET.replace(b"sheets/a", b"sheets/b"))
        parser = http1.ResponseParser()
        statuses = []
        for _ in range(3):
            statuses.append(house.answer(stream, parser=parser)[0])
            parser.next_message()
        assert statuses == [200, 404, 200]

    assert [what for _, what in run(good, test=test).seen] == [b"GET /v1/sheets/a", b"GET /v1/sheets/b"]


def test_100_continue_comes_only_when_the_request_is_admitted():
    raw = request("POST", "/v1/reports", "Expect: 100-continue\r\nContent-Length: 3\r\n")

    def test(house):
        stream = house.connect()
        stream.send(raw)
        assert stream.recv().startswith(b"HTTP/1.1 100 ")
        stream.send(b"abc")
        assert house.answer(stream)[0] == 200
        for _ in range(12):
            house.ask(GET)
        stream = house.connect()
        stream.send(raw)
        first = stream.recv()
        assert first.startswith(b"HTTP/1.1 429 ")
        assert b"connection: close" in first

    run(good, test=test, plans=TIGHT)


def test_interim_answers_of_a_node_are_passed_on():
    def hints(house, index, stream):
        house.read_request(index, stream)
        stream.send(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n")
        house.loop.sleep(10 * MS)
        stream.send(OK)

    def test(house):
        stream = house.connect()
        stream.send(GET)
        assert stream.recv() == b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
        assert house.answer(stream)[0] == 200

    run(hints, test=test)


@pytest.mark.parametrize(
    ("first", "status"),
    [
        (b"GET /v1/sheets/a HTTP/1.1\r\nHo", 408),
        (request("POST", "/v1/reports", "Content-Length: 9\r\n"), 408),
    ],
)
def test_slow_senders_are_cut_off(first, status):
    def test(house):
        stream = house.connect()
        stream.send(first)
        got, _, _ = house.answer(stream, wait=20 * SECOND)
        assert got in (status, 503)
        house.loop.sleep(2 * SECOND)
        assert not house.program.http_server.connections

    run(good, test=test, times={"head": 2 * SECOND, "body": 2 * SECOND})


def test_slowloris_cannot_keep_a_head_open_byte_by_byte():
    def test(house):
        stream = house.connect()
        began = house.loop.now()
        try:
            for byte in GET * 20:
                stream.send(bytes((byte,)))
                house.loop.sleep(100 * MS)
        except Exception:
            pass
        assert house.loop.now() - began < 6 * SECOND

    run(good, test=test, times={"head": 2 * SECOND})


def test_at_the_bound_of_connections_the_longest_idle_client_goes():
    def test(house):
        streams = [house.connect() for _ in range(12)]
        house.loop.sleep(SECOND)
        assert len(house.program.http_server.connections) == 10
        assert house.ask(GET)[0] == 200
        assert streams[0].try_recv() == b""

    run(good, test=test, bounds={"connections": 10})


# Nodes and the list


def test_a_silent_node_costs_the_client_no_answer():
    def test(house):
        began = house.loop.now()
        status, _, _ = house.ask(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 700\r\n"))
        assert status == 503
        assert house.loop.now() - began <= 700 * MS

    run(silent, test=test)


def test_a_drain_told_while_a_request_is_held_binds():
    def test(house):
        house.set_phase(0, "draining")
        house.loop.sleep(50 * MS)
        assert house.ask(request("GET", "/v1/sheets/a", "Give-Up-After-Ms: 600\r\n"))[0] == 503

    assert run(good, test=test).seen == []


def test_a_gateway_that_stood_still_learns_of_drains_before_it_sends():
    def test(house):
        house.loop.freeze(house.process)
        stream = house.connect()
        stream.send(GET)
        house.loop.sleep(SECOND)
        house.set_phase(0, "draining")
        house.loop.sleep(SECOND)
        house.loop.thaw(house.process)
        assert house.answer(stream, wait=3 * SECOND)[0] == 503

    for seed in range(6):
        assert run(good, test=test, seed=seed).seen == []


def test_a_list_that_empties_and_comes_back():
    def test(house):
        house.set_phase(0, "gone")
        house.loop.sleep(50 * MS)
        stream = house.connect()
        stream.send(GET)
        house.loop.sleep(300 * MS)
        house.set_phase(0, "ready")
        assert house.answer(stream)[0] == 200

    run(good, test=test)


def test_a_restarted_gateway_begins_with_its_kept_list():
    def test(house):
        house.loop.sleep(2 * SECOND)
        house.backend.kill(house.process)
        house.list.listener.close()
        for stream in list(house.list.watchers):
            stream.abort()
        house.start()
        house.loop.sleep(300 * MS)
        assert house.ask(GET)[0] == 200

    run(good, test=test, state="state")


def test_sigterm_answers_what_was_taken_and_takes_no_more():
    def slow(house, index, stream):
        house.read_request(index, stream)
        house.loop.sleep(500 * MS)
        stream.send(OK)

    def test(house):
        stream = house.connect()
        stream.send(GET)
        house.loop.sleep(100 * MS)
        house.program.stop()
        house.loop.sleep(100 * MS)
        with pytest.raises(Exception, match="refused"):
            house.connect()
        status, headers, _ = house.answer(stream)
        assert status == 200
        assert header(headers, b"connection") == b"close"
        stream.close()
        house.loop.sleep(500 * MS)
        assert not house.process.tasks

    run(slow, test=test)


def test_a_process_that_ends_waits_for_connections_that_are_ending_and_no_longer_than_they_linger():
    """Its end would reset them over what still comes, and a last answer might go with that."""

    def test(house):
        stream = house.connect()
        stream.send(GET)
        house.loop.sleep(100 * MS)
        house.program.stop()
        house.loop.sleep(100 * MS)
        assert house.answer(stream)[0] == 200
        stream.send(GET)  # crosses the end
        house.loop.sleep(100 * MS)
        assert house.process.tasks
        assert stream.recv(deadline=house.loop.now() + SECOND) == b""  # an end, no reset
        house.loop.sleep(int(house.program.fleet.timeouts.linger_us))  # which it keeps open
        assert not house.process.tasks

    run(good, test=test)


def test_forged_datagrams_change_nothing():
    def test(house):
        socket = house.backend.bind_datagrams(("127.0.0.1", 0))
        random = house.backend.random
        for _ in range(3_000):
            socket.send(random.randbytes(random.randint(0, 400)), ("127.0.0.1", 8180))
        house.loop.sleep(SECOND)
        assert house.ask(GET)[0] == 200
        assert house.program.metrics.datagrams_received == 0
        assert sum(house.program.inbox.rejected.values()) > 200

    run(good, test=test)
