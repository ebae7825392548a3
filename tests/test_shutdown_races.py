"""Races between clients' requests and the gateway's shutdown.

All parties are tasks of one event loop in one process: what a test sends without waiting has arrived at the
gateway's machine before the gateway runs again.
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


def test_requests_that_came_before_the_drain_are_served_and_later_ones_are_not():
    def test(harness: RealPlatformHarness) -> None:
        server = harness.gateway.http_server
        idle, active, half = (idle_client(harness) for _ in range(3))
        newcomer, new_half = harness.connect(), harness.connect()
        raw = call()
        half.send(raw[:30])
        new_half.send(raw[:30])
        harness.until(
            lambda: (
                len(server.connections) == 5 and sum(c.parser.pending_bytes for c in server.connections) == 60
            )
        )
        active.send(call())
        newcomer.send(call())
        unaccepted = harness.connect()
        unaccepted.send(call())
        harness.gateway.stopping = True
        server.drain()  # before any of these tasks runs again
        idle.send(call())  # crosses the close
        half.send(raw[30:])
        new_half.send(call()[30:])
        assert read_to_end(harness, idle) == b""
        for stream in (active, newcomer, unaccepted, half, new_half):
            answer = read_to_end(harness, stream)
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"connection: close" in answer
        assert not server.connections

    assert len(run(*[serve_every_request] * 6, test=test).seen) == 3 + 5


@pytest.mark.parametrize("read", [True, False], ids=["read ahead", "at our machine"])
def test_pipelined_requests_at_the_drain_are_served(read):
    """The one in flight is not the last: those sent along with it had arrived too, read by us or not yet."""

    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        server = harness.gateway.http_server
        if not read:  # the first of them reaches the limit of pipelined bytes
            server.resource_limits = dataclasses.replace(server.resource_limits, max_pipelined_bytes=1)
        client = harness.connect()
        for _ in range(3):
            client.send(call())
        harness.until(lambda: harness.seen and client.sent_bytes and harness.gateway.policy_driver.requests)
        harness.gateway.stopping = True
        server.drain()
        harness.may_respond = True
        answers = read_to_end(harness, client)
        assert answers.count(b"HTTP/1.1 200") == 3
        assert answers.count(b"connection: close") == 1
        assert b"close" in answers.rpartition(b"HTTP/1.1")[2]
        assert not server.connections

    assert len(run(*[responds_when_allowed] * 3, test=test).seen) == 3


def test_a_client_that_keeps_sending_is_closed_at_the_end_of_the_shutdown():
    """However many requests are pipelined, the last response says that it is the last."""

    def test(harness: RealPlatformHarness) -> None:
        server = harness.gateway.http_server
        client = harness.connect()
        received, unsent = b"", b""

        def send_more():
            nonlocal unsent
            while len(unsent) < 50_000:  # hundreds always wait
                unsent += call()
            with suppress(ConnectionClosedError):  # sent after the close
                unsent = unsent[client.try_send(unsent) :]

        send_more()
        harness.until(lambda: harness.gateway.policy_driver.last_request_number)
        harness.gateway.stopping = True
        server.shutdown_deadline = harness.loop.now() + 200 * MS
        server.drain()
        while data := client.recv(deadline=harness.loop.now() + 5 * SECOND):
            received += data
            send_more()
        assert server.shutdown_deadline <= harness.loop.now() < server.shutdown_deadline + SECOND
        assert received.count(b"connection: close") == 1
        assert not server.connections

    run(*[serve_every_request] * 3, test=test)


def test_a_client_that_waits_for_capacity_at_the_drain_is_closed_without_a_reset():
    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        server = harness.gateway.http_server
        server.resource_limits = dataclasses.replace(server.resource_limits, max_connections=1)
        busy, crowded = harness.connect(), harness.connect()
        busy.send(call())
        harness.until(lambda: harness.seen)
        crowded.send(call())
        harness.until(
            lambda: not harness.backend.poll_once(server.listener, select.POLLIN)
        )  # it was accepted
        server.drain()
        assert read_to_end(harness, crowded) == b""
        harness.may_respond = True
        assert harness.answer(busy)[0] == 200

    assert len(run(responds_when_allowed, test=test).seen) == 1


def test_sigterm_with_a_request_at_each_stage_answers_each_exactly_once():
    def test(harness: RealPlatformHarness) -> None:
        harness.may_respond = False
        streams = {name: harness.connect() for name in ("sent", "half read", "at rest", "after")}
        body = b"x" * 40
        raw = call("put", body=body, timeout="1.500")
        streams["sent"].send(call("put", body=body, timeout="1.500"))
        streams["half read"].send(raw[:-20])
        harness.until(lambda: harness.seen)
        harness.gateway.stop()
        harness.gateway.stop()  # twice changes nothing
        harness.gateway.reload()  # nor does a SIGHUP whose file is gone
        streams["after"].send(call("put", body=body, timeout="1.500"))
        streams["half read"].send(raw[-20:])
        harness.until(lambda: len(harness.seen) == 3)
        harness.loop.sleep(ACCEPT_PERIOD_US)
        harness.may_respond = True
        for name, stream in streams.items():
            answer = read_to_end(harness, stream)
            assert answer.count(b"HTTP/1.1 200") == (name != "at rest"), name
        harness.until(lambda: harness.has_stopped)

    assert len(run(responds_when_allowed, responds_when_allowed, responds_when_allowed, test=test).seen) == 3


@pytest.mark.parametrize("longest", [1 * MS, 150 * MS, SECOND, 3 * SECOND, 60 * SECOND])
def test_the_shutdown_times_add_up_to_the_kill_delay(longest):
    stop_accepting, stop_waiting, end = graceful_shutdown(0, longest)
    counted = min(longest, 3 * SECOND)
    assert stop_accepting >= 400 * MS  # new connections keep coming
    assert stop_accepting + counted <= stop_waiting < end < counted + 700 * MS
    assert end - stop_waiting >= 50 * MS  # for the last answers


@pytest.mark.parametrize("deadline", [120 * MS, 2 * SECOND])
def test_requests_before_the_drain_have_their_full_deadline(deadline):
    """With short deadlines, too: a kept connection that is used until it ends."""

    def slow(harness, index, stream):
        harness.read_request(index, stream)
        harness.loop.sleep(30 * MS)
        stream.send(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        harness.until(lambda: harness.gateway.http_server.connections)
        harness.gateway.stop()
        served = 0
        while True:
            with suppress(ConnectionClosedError):  # sent after the close
                client.send(call(timeout=f"{deadline / SECOND:.3f}"))
            if not (said := client.recv(deadline=harness.loop.now() + 5 * SECOND)):
                break
            assert said.startswith(b"HTTP/1.1 200")
            served += 1
        assert served > 3
        harness.until(lambda: harness.has_stopped)

    classes = [{**cls, "deadline": deadline, "target": deadline} for cls in settings()["classes"]]
    PlatformHarness(slow, settings=settings(classes=classes)).run(
        test
    )  # exact times need the simulated network
