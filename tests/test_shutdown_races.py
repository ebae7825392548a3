"""Tests of races between clients' requests and the gateway's shutdown.

All parties are tasks of one event loop in one process: bytes that a test sends without waiting are in the
gateway's socket buffer before the gateway runs again.
"""

from __future__ import annotations

import dataclasses
import select
from contextlib import suppress

import pytest
from harness.constants import MS, SECOND
from harness.platform_harness import (
    OK,
    PlatformHarness,
    RealPlatformHarness,
    call,
    serve_every_request,
    settings,
)
from harness.race_harness import (
    idle_client,
    read_to_end,
    responds_when_allowed,
    run,
)

from orchidlane.platform.shutdown import ACCEPT_PERIOD_US, graceful_shutdown
from orchidlane.runtime import ConnectionClosedError


def test_only_requests_started_before_the_drain_are_served():
    def test(harness: RealPlatformHarness) -> None:
        server = harness.gateway.http_server
        idle, kept_alive, partly_received = (idle_client(harness) for _ in range(3))
        new_client, new_partly_received = harness.connect(), harness.connect()
        raw = call()
        partly_received.send(raw[:30])
        new_partly_received.send(raw[:30])
        harness.until(
            lambda: (
                len(server.connections) == 5
                and sum(connection.parser.pending_bytes for connection in server.connections) == 60
            )
        )
        kept_alive.send(call())
        new_client.send(call())
        unaccepted = harness.connect()
        unaccepted.send(call())
        harness.gateway.stopping = True
        server.drain()  # before any of these tasks runs again
        idle.send(call())  # sent before the client receives the close
        partly_received.send(raw[30:])
        new_partly_received.send(call()[30:])
        assert read_to_end(harness, idle) == b""
        for stream in (kept_alive, new_client, unaccepted, partly_received, new_partly_received):
            response = read_to_end(harness, stream)
            assert response.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in response
        assert not server.connections

    assert len(run(*[serve_every_request] * 6, test=test).seen) == 3 + 5


@pytest.mark.parametrize("is_read_ahead", [True, False], ids=["read ahead", "in the socket buffer"])
def test_pipelined_requests_at_the_drain_are_served(is_read_ahead):
    """The requests pipelined behind the one in flight are served too.

    They arrived before the drain, and the gateway has either read them or has them in its socket buffer.
    """

    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        server = harness.gateway.http_server
        if not is_read_ahead:  # with this limit the gateway reads nothing behind the first request
            server.resource_limits = dataclasses.replace(server.resource_limits, max_pipelined_bytes=1)
        client = harness.connect()
        for _ in range(3):
            client.send(call())
        harness.until(lambda: harness.seen and client.sent_bytes and harness.gateway.policy_driver.requests)
        harness.gateway.stopping = True
        server.drain()
        harness.may_respond = True
        responses = read_to_end(harness, client)
        assert responses.count(b"HTTP/1.1 200") == 3
        assert responses.count(b"connection: close") == 1
        assert b"close" in responses.rpartition(b"HTTP/1.1")[2]
        assert not server.connections

    assert len(run(*[responds_when_allowed] * 3, test=test).seen) == 3


def test_a_client_that_keeps_sending_is_closed_at_the_shutdown_deadline():
    """However many requests are pipelined, only the last response has ``Connection: close``."""

    def test(harness: RealPlatformHarness) -> None:
        server = harness.gateway.http_server
        client = harness.connect()
        received, unsent = b"", b""

        def send_more():
            nonlocal unsent
            while len(unsent) < 50_000:  # so that hundreds of requests are always pipelined
                unsent += call()
            with suppress(ConnectionClosedError):  # the gateway has closed the connection
                unsent = unsent[client.try_send(unsent) :]

        send_more()
        harness.until(lambda: harness.gateway.policy_driver.last_request_number)
        harness.gateway.stopping = True
        server.shutdown_deadline = harness.loop.now() + 200 * MS
        server.drain()
        while data := client.recv(deadline=harness.loop.now() + 5 * SECOND):
            received += data
            send_more()
            assert harness.loop.now() < server.shutdown_deadline + SECOND
        assert server.shutdown_deadline <= harness.loop.now() < server.shutdown_deadline + SECOND
        assert received.count(b"connection: close") == 1
        assert not server.connections

    run(*[serve_every_request] * 3, test=test)


def test_a_drain_closes_a_client_waiting_for_capacity_without_a_reset():
    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        server = harness.gateway.http_server
        server.resource_limits = dataclasses.replace(server.resource_limits, max_connections=1)
        busy, waiting = harness.connect(), harness.connect()
        busy.send(call())
        harness.until(lambda: harness.seen)
        waiting.send(call())
        # Wait until the second connection is accepted.
        harness.until(lambda: not harness.backend.poll_once(server.listener, select.POLLIN))
        server.drain()
        assert read_to_end(harness, waiting) == b""
        harness.may_respond = True
        assert harness.answer(busy)[0] == 200

    assert len(run(responds_when_allowed, test=test).seen) == 1


def test_after_sigterm_each_request_gets_exactly_one_response():
    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        streams = {
            name: harness.connect() for name in ("pending", "partly received", "idle", "sent after SIGTERM")
        }
        body = b"x" * 40
        raw = call("put", body=body, timeout="1.500")
        streams["pending"].send(call("put", body=body, timeout="1.500"))
        streams["partly received"].send(raw[:-20])
        harness.until(lambda: harness.seen)
        harness.gateway.stop()
        harness.gateway.stop()  # a second SIGTERM has no effect
        harness.gateway.reload()  # nor has a SIGHUP without a configuration file
        streams["sent after SIGTERM"].send(call("put", body=body, timeout="1.500"))
        streams["partly received"].send(raw[-20:])
        harness.until(lambda: len(harness.seen) == 3)
        harness.loop.sleep(ACCEPT_PERIOD_US)
        harness.may_respond = True
        for name, stream in streams.items():
            response = read_to_end(harness, stream)
            assert response.count(b"HTTP/1.1 200") == (name != "idle"), name
        harness.until(lambda: harness.has_stopped)

    assert len(run(responds_when_allowed, responds_when_allowed, responds_when_allowed, test=test).seen) == 3


@pytest.mark.parametrize("longest_deadline_us", [1 * MS, 150 * MS, SECOND, 3 * SECOND, 60 * SECOND])
def test_the_shutdown_times_fit_into_the_kill_delay(longest_deadline_us):
    stop_accepting, stop_waiting, end = graceful_shutdown(0, longest_deadline_us)
    counted_deadline_us = min(longest_deadline_us, 3 * SECOND)
    assert stop_accepting >= 400 * MS  # new connections still arrive for a while after SIGTERM
    assert stop_accepting + counted_deadline_us <= stop_waiting < end < counted_deadline_us + 700 * MS
    assert end - stop_waiting >= 50 * MS  # time to send the last responses


@pytest.mark.parametrize("deadline", [120 * MS, 2 * SECOND])
def test_requests_before_the_drain_have_their_full_deadline(deadline):
    """A client uses a kept-alive connection until the gateway closes it, also with short deadlines."""

    def respond_slowly(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(30 * MS)
        stream.send(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        harness.until(lambda: harness.gateway.http_server.connections)
        harness.gateway.stop()
        served = 0
        while True:
            with suppress(ConnectionClosedError):  # the gateway has closed the connection
                client.send(call(timeout=f"{deadline / SECOND:.3f}"))
            if not (response := client.recv(deadline=harness.loop.now() + 5 * SECOND)):
                break
            assert response.startswith(b"HTTP/1.1 200")
            served += 1
        assert served > 3
        harness.until(lambda: harness.has_stopped)

    classes = [
        {**request_class, "deadline": deadline, "target": deadline} for request_class in settings()["classes"]
    ]
    # Exact times need the simulated network.
    PlatformHarness(respond_slowly, settings=settings(classes=classes)).run(test)
