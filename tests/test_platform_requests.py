"""Edge cases of clients' requests to the platform's gateway, over the simulated network."""

from __future__ import annotations

import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import resets_after
from harness.platform_endpoints import run, serves
from harness.platform_harness import OK, PlatformHarness, call, instance

from orchidlane.http1 import header


def test_a_request_is_forwarded_unchanged_and_its_response_is_returned():
    def test(harness: PlatformHarness) -> None:
        assert harness.ask(call("put", body=b"x" * 212, request_id="aa01"))[::2] == (200, b"ok")
        head = harness.heads[0]
        assert (head.method, head.target, head.body_length) == ("POST", b"/put?client=0000000000000001", 212)
        assert header(head.headers, b"x-request-id") == b"aa01"
        assert header(head.headers, b"idempotency-key") == b"5c0f6e1a"
        assert 0.9 < float(header(head.headers, b"x-timeout")) < 1.0

    run(serves, test=test)


def test_a_request_reaches_the_policy_only_when_it_is_complete():
    def test(harness: PlatformHarness) -> None:
        raw, stream = call("bill", body=b"12345678", timeout="0.300"), harness.connect()
        stream.send(raw[:-4])
        harness.loop.sleep(600 * MS)
        assert not harness.gateway.policy_driver.gateway.accounts
        stream.send(raw[-4:])
        assert harness.answer(stream, "POST")[0] == 200

    run(serves, test=test)


INVALID_REQUESTS = [
    call("none"),
    call(method="POST"),
    call("put", method="GET"),
    call(client="1"),
    call(client="0000000200000000"),
    call(client="0000000000000001&client=0000000000000001"),
    call(plan="none"),
    *[call(timeout=timeout) for timeout in ("", "nan", "inf", "-1", "0", "1e3", "2.1", "9" * 30)],
    *[call(quota_info=f"units={units},spread=1,first=0") for units in ("0", "-1", "2", "nan", "1e0", "")],
    *[call(quota_info=f"units=1,spread={spread},first=0") for spread in ("0", "2", "-1", "x")],
    call(quota_info="units=1,spread=1,first=1"),
    call(quota_info="units=1,units=1,spread=1,first=0"),
    call(request_id=""),
    call(request_id="a b"),
    call(extra_header="X-Timeout: 1.000"),
    call(extra_header="X-Request-ID: 77"),
    call(extra_header="X-Retried: 1\r\nX-Retried: 1"),
    call(extra_header="X-Retried: yes"),
    call("put", body=b"x", extra_header="Transfer-Encoding: chunked"),
    call("read", extra_header="Content-Length: 3", body=b"abc"),
    call("bill", extra_header="Idempotency-Key: k", body=b"x"),
    call("put").replace(b"Content-Length: 0", b"Content-Length: -1"),
    call("put").replace(b"Content-Length: 0", b"Content-Length: 99999999999999999999"),
    call("put").replace(b"Content-Length: 0", b"Content-Length: 62914560"),
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    b"GET /read HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20_000,
]


@pytest.mark.parametrize("raw", INVALID_REQUESTS, ids=range(len(INVALID_REQUESTS)))
def test_an_invalid_request_gets_an_error_and_is_not_forwarded(raw):
    def test(harness: PlatformHarness) -> None:
        started_at = harness.loop.now()
        status, _, _ = harness.ask(raw)
        assert 400 <= status < 500 or status == 501
        assert harness.loop.now() - started_at < 2 * SECOND
        assert not harness.gateway.policy_driver.gateway.accounts
        assert not harness.gateway.clients.in_flight
        assert harness.ask(call())[0] == 200

    harness = run(serves, test=test)
    assert len(harness.seen) == 1


@pytest.mark.parametrize("raw", [b"", call()[:40], call("put", body=b"12345678")[:-3]])
def test_a_connection_without_complete_request_is_closed_within_3_seconds(raw):
    def test(harness: PlatformHarness) -> None:
        stream = harness.connect()
        stream.send(raw) if raw else None
        assert harness.answer(stream, wait=2_900 * MS)[0] in (0, 408)
        harness.until(lambda: not harness.gateway.http_server.connections, 400 * MS)
        assert not harness.gateway.policy_driver.gateway.accounts

    assert not run(serves, test=test).seen


def test_a_request_with_the_id_of_one_in_flight_is_rejected():
    def slow(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(900 * MS)
        stream.send(OK)

    def test(harness: PlatformHarness) -> None:
        first = harness.connect()
        first.send(call(request_id="01"))
        harness.until(lambda: harness.seen)
        assert harness.ask(call(request_id="01"))[0] == 409
        assert harness.answer(first)[0] == 200
        assert harness.ask(call(request_id="01"), wait=100 * MS)[0] != 409  # the id may be used again

    run(slow, test=test)


def test_a_request_is_served_despite_hundreds_of_silent_connections():
    def test(harness: PlatformHarness) -> None:
        others = [harness.connect() for _ in range(300)]
        harness.loop.sleep(200 * MS)
        assert harness.ask(call())[0] == 200
        assert (
            len(harness.gateway.http_server.connections)
            <= harness.gateway.http_server.resource_limits.max_connections
        )
        assert others

    run(serves, test=test)


def test_a_connection_with_a_request_in_flight_is_not_evicted():
    def slow(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(800 * MS)
        stream.send(OK)

    def test(harness: PlatformHarness) -> None:
        first = harness.connect()
        first.send(call())
        harness.until(lambda: harness.seen)
        others = [harness.connect() for _ in range(300)]
        assert harness.answer(first)[0] == 200
        assert others

    run(slow, test=test)


def test_rejections_are_429_over_quota_and_503_without_endpoints():
    def test(harness: PlatformHarness) -> None:
        statuses = [harness.ask(call(plan="small"))[0] for _ in range(6)]
        assert statuses == [200] * 3 + [429] * 3
        harness.discovery.notify(2, instance(0, "left"))
        harness.loop.sleep(50 * MS)
        assert harness.ask(call(timeout="0.200", client="0000000000000002"))[0] == 503

    run(serves, test=test)


def test_a_non_idempotent_request_that_was_possibly_executed_fails():
    def test(harness: PlatformHarness) -> None:
        assert harness.ask(call("bill"))[0] == 500

    assert len(run(resets_after, test=test).seen) == 1
