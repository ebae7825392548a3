"""Edge cases of endpoints' responses to the platform's gateway, over the simulated network."""

from __future__ import annotations

import pytest
from harness.constants import MS
from harness.platform_endpoints import responds_with, run, serves
from harness.platform_harness import OK, PlatformHarness, call, instance


@pytest.mark.parametrize("status", [b"503 Busy", b"504 Late"])
def test_a_request_that_was_not_processed_is_retried_at_another_endpoint(status):
    rejects = responds_with(b"HTTP/1.1 " + status + b"\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")

    def test(harness: PlatformHarness) -> None:
        assert [harness.ask(call("bill"))[0] for _ in range(8)] == [200] * 8

    harness = run(rejects, serves, test=test)
    assert {index for index, _ in harness.seen} == {0, 1}


INVALID_RESPONSES = [
    b"\x00\xff\x13noise\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 200_000,
    b"HTTP/1.1 200 OK\r\nX: " + b"y" * 100_000,
    b"HTTP/1.1 200 OK\r\n\r\nno length",
    b"HTTP/1.1 103 Hints\r\n\r\n" * 500 + OK,
    b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 204 None\r\n\r\n",
]


@pytest.mark.parametrize("response", INVALID_RESPONSES, ids=range(len(INVALID_RESPONSES)))
def test_after_an_invalid_response_the_client_gets_500_without_a_retry(response):
    def test(harness: PlatformHarness) -> None:
        status, _, body = harness.ask(call("bill"))
        assert (status, body) == (500, b"")

    assert len(run(responds_with(response), test=test).seen) == 1


VALID_RESPONSES = [
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + OK,
    OK + OK,
    OK + b"noise",
    OK.replace(b"\r\n\r\n", b"\r\nX-Server-Load: TEXT util=nan, inflight=x\r\n\r\n"),
    OK.replace(b"\r\n\r\n", b"\r\nX-Server-Load: \xff\xfe\r\n\r\n"),
]


@pytest.mark.parametrize("response", VALID_RESPONSES, ids=range(len(VALID_RESPONSES)))
def test_a_valid_response_with_surplus_headers_or_bytes_is_forwarded(response):
    def test(harness: PlatformHarness) -> None:
        assert [harness.ask(call("bill"))[::2] for _ in range(3)] == [(200, b"ok")] * 3

    run(responds_with(response), test=test)


def test_a_new_endpoint_at_a_used_address_gets_a_new_connection():
    def records_streams(harness, index, stream):
        streams.append(stream)
        serves(harness, index, stream)

    def test(harness: PlatformHarness) -> None:
        assert harness.ask(call())[0] == 200
        harness.discovery.notify(2, instance(0, "left"), instance(7, port=9000))
        harness.loop.sleep(50 * MS)
        assert harness.ask(call())[0] == 200

    streams: list = []
    run(records_streams, test=test)
    assert len(streams) == 2


def test_an_exhausted_connection_pool_is_not_a_failure_of_an_endpoint():
    def slow(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(400 * MS)
        stream.send(OK)

    def test(harness: PlatformHarness) -> None:
        harness.gateway.pool.max_total = 2
        clients = [harness.connect() for _ in range(3)]
        for client in clients:
            client.send(call())
        assert sorted(harness.answer(client)[0] for client in clients) == [200, 200, 503]
        assert all(
            endpoint.failure_score == 0
            for endpoint in harness.gateway.policy_driver.gateway.endpoints.values()
        )

    run(slow, slow, test=test)
