"""Outcomes of attempts: retried, failed as possibly executed, or streamed; over the simulated network."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, OK, REPORT, UPLOAD, good, request, resets_after, run

from orchidlane.runtime import ConnectionClosedError


def test_a_non_idempotent_request_that_was_sent_and_reset_is_not_retried():
    def test(harness):
        assert harness.ask(REPORT)[0] == 502
        harness.loop.sleep(3 * SECOND)

    assert len(run(resets_after, good, good, test=test, seed=3).seen) == 1
    request_counts = [len(run(resets_after, resets_after, test=test, seed=seed).seen) for seed in range(8)]
    assert request_counts == [1] * 8


def test_a_request_is_retried_elsewhere_if_its_connection_is_refused():
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


def test_a_broken_request_with_an_idempotency_key_is_retried_only_in_its_cell():
    """The settings' class for uploads has its endpoints remember idempotency keys per cell."""

    def test(harness):
        assert harness.ask(UPLOAD)[0] in (200, 502)

    for seed in range(12):
        handlers = [resets_after, good, good, resets_after]
        harness = run(*handlers, test=test, cells=["a", "a", "b", "b"], seed=seed)
        assert len({harness.cells[index] for index, _ in harness.seen}) == 1


def test_a_stale_pooled_connection_carries_no_non_idempotent_request():
    def closes_while_idle(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(OK)
        harness.loop.sleep(50 * MS)
        stream.close()

    def test(harness):
        assert harness.ask(GET)[0] == 200
        harness.loop.sleep(100 * MS)
        assert harness.ask(REPORT)[0] == 200

    run(closes_while_idle, test=test)


def test_a_request_whose_reused_connection_is_reset_is_possibly_executed():
    def resets_second_request(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(OK)
        harness.read_request(index, stream)
        stream.abort()

    def test(harness):
        assert harness.ask(GET)[0] == 200
        assert harness.ask(REPORT)[0] == 502

    assert len(run(resets_second_request, test=test).seen) == 2


def test_an_incomplete_response_is_not_forwarded():
    def sends_half_a_response(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf")
        stream.close()

    def test(harness):
        assert harness.ask(REPORT)[0] == 502
        assert harness.ask(GET)[0] in (502, 503)

    run(sends_half_a_response, test=test)


def test_a_response_before_the_end_of_the_request_body_is_forwarded():
    def responds_early(harness, _index, stream):
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


def test_a_large_response_is_streamed_and_a_broken_one_resets_the_client():
    def sends_large_response(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 900_000)

    def resets_within_response(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n" + b"x" * 700_000)
        stream.abort()

    def client_gets_all(harness):
        status, _, body = harness.ask(GET)
        assert (status, len(body)) == (200, 900_000)

    def client_is_reset(harness):
        stream = harness.connect()
        stream.send(GET)
        with pytest.raises(ConnectionClosedError, match="reset"):
            harness.answer(stream)

    run(sends_large_response, test=client_gets_all)
    run(resets_within_response, test=client_is_reset)
