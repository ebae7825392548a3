"""Races between requests and the close of their client connections, by the gateway or by the client.

All parties are tasks of one event loop in one process: bytes that a test sends without waiting are in the
gateway's socket buffer before the gateway runs again.
"""

from __future__ import annotations

import dataclasses

import pytest
from harness.constants import MS, SECOND
from harness.platform_harness import RealPlatformHarness, call, serve_every_request, settings
from harness.race_harness import (
    CLOSE,
    UNREAD_BYTES,
    Gate,
    idle_client,
    read_to_end,
    responds_when_allowed,
    run,
    send_what_fits,
    silent,
)

FULL = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


def test_a_last_response_is_complete_despite_unread_pipelined_bytes():
    """Guards against a reset that discards the response: a close with unread bytes resets the connection."""

    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        client = harness.connect()
        send_what_fits(client, call(extra_header=CLOSE) + UNREAD_BYTES)
        harness.until(lambda: harness.seen)
        harness.may_respond = True
        response = read_to_end(harness, client)
        assert response.startswith(b"HTTP/1.1 200")
        assert response.endswith(b"\r\n\r\nok")

    assert len(run(responds_when_allowed, test=test).seen) == 1


@pytest.mark.parametrize("raw", [b"\x16\x03\x01\r\n\r\n", call("none"), call(timeout="x")], ids=range(3))
def test_an_error_response_is_complete_despite_unread_pipelined_bytes(raw):
    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        send_what_fits(client, raw.replace(b"Plan", CLOSE.encode() + b"\r\nPlan") + UNREAD_BYTES)
        assert read_to_end(harness, client).startswith(b"HTTP/1.1 4")

    assert not run(serve_every_request, test=test).seen


def test_a_request_that_came_just_before_eviction_is_served():
    """Guards against eviction of a connection whose next request is in the socket buffer, not read yet."""

    def test(harness: RealPlatformHarness) -> None:
        client, server = idle_client(harness), harness.gateway.http_server
        client.send(call())
        assert not server._close_waiting()
        assert harness.answer(client)[0] == 200

    run(serve_every_request, test=test)


def test_a_request_sent_just_after_eviction_is_not_forwarded():
    def test(harness: RealPlatformHarness) -> None:
        client, server = idle_client(harness), harness.gateway.http_server
        assert server._close_waiting()
        client.send(call())
        assert read_to_end(harness, client) == b""
        assert not server.connections

    assert len(run(serve_every_request, test=test).seen) == 1


def test_a_request_that_came_as_the_idle_timeout_expired_is_served():
    """Guards against a timeout that closes a connection with a request in its socket buffer."""

    def test(harness: RealPlatformHarness) -> None:
        server = harness.gateway.http_server
        server.timeouts = dataclasses.replace(server.timeouts, client_idle_us=30 * MS)
        client = idle_client(harness)
        paused_until = harness.loop.now() + 40 * MS
        client.send(call())
        while harness.loop.now() < paused_until:  # pauses the whole process until the timeout is over
            pass
        assert harness.answer(client)[0] == 200

    run(serve_every_request, test=test)


def test_an_idle_timeout_closes_without_a_reset():
    def test(harness: RealPlatformHarness) -> None:
        server = harness.gateway.http_server
        server.timeouts = dataclasses.replace(server.timeouts, client_idle_us=30 * MS)
        client = idle_client(harness)
        harness.until(lambda: not server.connections)
        client.send(call())  # sent before the client sees the close
        assert read_to_end(harness, client) == b""

    assert len(run(serve_every_request, test=test).seen) == 1


def test_a_request_beyond_the_in_flight_limit_is_rejected_without_delay():
    """Guards against a late or lost response: its deadline or an eviction may come first."""

    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        server = harness.gateway.http_server
        server.timeouts = dataclasses.replace(server.timeouts, error_delay_us=60 * SECOND)
        served_client = harness.connect()
        served_client.send(call())
        harness.until(lambda: harness.seen)
        rejected_client = harness.connect()
        rejected_client.send(call())
        assert rejected_client.recv(deadline=harness.loop.now() + 5 * SECOND).startswith(b"HTTP/1.1 503")
        rejected_client.send(call())
        assert rejected_client.recv(deadline=harness.loop.now() + 5 * SECOND).startswith(b"HTTP/1.1 503")
        harness.gateway.stopping = True
        rejected_client.send(b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n")
        assert rejected_client.recv(deadline=harness.loop.now() + 5 * SECOND).startswith(b"HTTP/1.1 503")
        harness.may_respond = True
        assert harness.answer(served_client)[0] == 200

    permissions = {**settings()["permissions"], "openCap": 1}
    assert len(run(responds_when_allowed, test=test, settings=settings(permissions=permissions)).seen) == 1


WAYS_TO_LEAVE = ["half_close", "close", "abort"]


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_request_of_a_client_that_left_at_once_is_not_forwarded(leave):
    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        client.send(call("bill", body=b"1"))
        getattr(client, leave)()
        harness.until(lambda: harness.gateway.policy_driver.last_request_number or leave == "abort")
        harness.until(lambda: not harness.gateway.http_server.connections)
        assert not harness.gateway.policy_driver.requests
        assert not harness.gateway.policy_driver.gateway.attempts

    assert not run(serve_every_request, test=test).seen


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("attempt", [1, 2])
def test_a_request_is_not_sent_if_its_client_leaves_during_the_connect(attempt, leave):
    def full(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(FULL)

    def test(harness: RealPlatformHarness) -> None:
        gate = Gate(harness, first=attempt - 1)
        client = harness.connect()
        client.send(call("put", body=b"1"))
        harness.until(lambda: gate.waiting)
        getattr(client, leave)()
        gate.open()  # the attempt continues before the server task sees the close
        harness.until(lambda: not harness.gateway.policy_driver.requests)
        harness.until(lambda: not harness.gateway.policy_driver.gateway.attempts)
        assert not harness.gateway.clients.in_flight

    assert len(run(full, full, test=test).seen) == attempt - 1


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_a_client_that_leaves_after_pipelined_bytes_is_detected(leave):
    def test(harness: RealPlatformHarness) -> None:
        harness.endpoint_saw_close = False
        client = harness.connect()
        send_what_fits(client, call(timeout="2.000") + UNREAD_BYTES)
        harness.until(lambda: harness.seen)
        iterations_before = harness.loop.iterations
        harness.loop.sleep(20 * MS)
        assert harness.gateway.policy_driver.requests
        assert harness.loop.iterations - iterations_before < 50  # no busy loop over the unread bytes
        getattr(client, leave)()
        harness.until(
            lambda: not harness.gateway.policy_driver.requests, 1_500 * MS
        )  # before the deadline of 2 s
        harness.until(lambda: harness.endpoint_saw_close)

    run(silent, test=test)


def test_a_request_is_not_sent_if_its_client_left_after_pipelined_bytes():
    def test(harness: RealPlatformHarness) -> None:
        gate = Gate(harness)
        client = harness.connect()
        send_what_fits(client, call() + UNREAD_BYTES)
        harness.until(lambda: gate.waiting)
        client.abort()
        gate.open()
        harness.until(
            lambda: (
                not harness.gateway.policy_driver.requests
                and not harness.gateway.policy_driver.gateway.attempts
            )
        )

    assert not run(serve_every_request, test=test).seen
