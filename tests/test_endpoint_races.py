"""Races between requests and what endpoints do to their connections and responses.

All parties are tasks of one event loop in one process: what a test sends without waiting has arrived at the
gateway's machine before the gateway runs again.
"""

from __future__ import annotations

from contextlib import suppress

import pytest
from harness.constants import MS, SECOND
from harness.platform_harness import OK, RealPlatformHarness, call, serve_every_request, settings
from harness.race_harness import (
    endpoint_streams,
    read_to_end,
    run,
)

from orchidlane.runtime import ConnectionClosedError


def test_an_endpoint_that_writes_as_its_idle_connection_closes_is_not_reset():
    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call())[0] == 200
        theirs = harness.endpoint_stream
        theirs.send(b"HTTP/1.1 2")  # half a line, unread when the connection goes
        harness.gateway.pool.retire_idle(b"s-0")
        theirs.send(b"00 OK\r\n")
        assert read_to_end(harness, theirs) == b""
        theirs.close()
        harness.until(lambda: not harness.gateway.pool.lingering)

    def once(harness, index, stream):
        harness.endpoint_stream = stream
        harness.read_request(index, stream)
        stream.send(OK)
        harness.loop.sleep(60 * SECOND)

    run(once, test=test)


@pytest.mark.parametrize("how", ["half_close", "abort", "half a line"])
def test_an_idle_connection_closed_by_its_endpoint_at_acquisition_carries_no_request(how):
    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("bill"))[0] == 200
        client = harness.connect()
        client.send(call("bill"))
        if how == "half a line":
            harness.streams[0].send(b"HTTP/1.1 2")
        else:
            getattr(harness.streams[0], how)()
        assert harness.answer(client, "POST")[0] == 200
        assert len(harness.streams) == 2

    def counted(harness, index, stream):
        harness.streams = [*getattr(harness, "streams", []), stream]
        serve_every_request(harness, index, stream)

    assert len(run(counted, test=test).seen) == 2


def test_a_connection_released_unused_keeps_its_age():
    """Its endpoint closes it by the time since the last request, whoever acquired it meanwhile."""

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call())[0] == 200
        harness.loop.sleep(2 * harness.gateway.pool.times.endpoint_reuse_delay_us)
        (resting,) = harness.gateway.pool._idle[b"s-0"]
        resting.idle_since -= harness.gateway.pool.times.endpoint_idle_us - 150 * MS
        before = resting.idle_since
        client = harness.connect()
        client.send(call())
        client.half_close()  # the attempt has its connection when that is seen
        harness.until(
            lambda: (
                harness.gateway.policy_driver.last_request_number == 2
                and not harness.gateway.policy_driver.requests
            )
        )
        harness.until(lambda: not harness.gateway.policy_driver.gateway.attempts)
        assert harness.gateway.pool._idle[b"s-0"][0].idle_since == before
        harness.loop.sleep(200 * MS)
        assert harness.ask(call())[0] == 200
        assert len(harness.streams) == 2  # a new one, since the other is as old as it is

    def counted(harness, index, stream):
        harness.streams = [*getattr(harness, "streams", []), stream]
        serve_every_request(harness, index, stream)

    assert len(run(counted, test=test).seen) == 2


HEAD = b"HTTP/1.1 200 OK\r\n"


ANSWERS = {
    "cut": (HEAD + b"Content-Length: 5\r\n\r\nab", "half_close", 500),
    "cut by a reset": (HEAD + b"Content-Length: 5\r\n\r\nab", "abort", 500),
    "no length, ended": (HEAD + b"\r\nok", "half_close", 200),
    "no length, reset": (HEAD + b"\r\nok", "abort", 500),
    "chunks, ended in order": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "half_close",
        200,
    ),
    "chunks, cut": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "half_close", 500),
    "a head, cut": (HEAD + b"Content-Le", "half_close", 500),
    "nothing, ended": (b"", "half_close", 500),
    "doubled": (OK + OK, "", 200),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_a_response_is_served_only_if_it_is_complete(name):
    raw, how, status = ANSWERS[name]

    def endpoint(harness, index, stream):
        harness.read_request(index, stream)
        if raw:
            stream.send(raw)
            harness.until(lambda: not any(one.has_input() for one in endpoint_streams(harness)))
        if how:
            getattr(stream, how)()

    def test(harness: RealPlatformHarness) -> None:
        found = harness.ask(call("bill", left="1.500"))
        assert (found[0], found[2]) == (status, b"ok" if status == 200 else b"")

    assert len(run(endpoint, test=test).seen) == 1


def numbered(harness) -> bytes:
    """Return a response that says which request it is for."""
    return OK.replace(b"ok", b"%02d" % len(harness.seen))


def test_a_second_response_that_crosses_the_next_request_is_not_matched_to_it():
    """It was on its way when that request was sent: nothing tells the two apart, so reuse is delayed."""

    def answers_again(harness, index, stream):
        before = b""
        while True:
            harness.read_request(index, stream)
            stream.send(before)
            before = numbered(harness)
            stream.send(before)

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        for number in (b"01", b"02", b"03"):
            client.send(call())
            assert harness.answer(client)[2] == number

    run(answers_again, test=test)


def test_a_late_second_response_closes_its_connection():
    def answers_again(harness, index, stream):
        while True:
            harness.read_request(index, stream)
            stream.send(numbered(harness))
            harness.loop.sleep(3 * MS)
            stream.send(numbered(harness))

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        for number in (b"01", b"02", b"03"):
            client.send(call())
            assert harness.answer(client)[2] == number
            harness.loop.sleep(2 * harness.gateway.pool.times.endpoint_reuse_delay_us)

    run(answers_again, test=test)


def test_an_endless_response_without_a_length_ends_at_the_timeout():
    def endless(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(HEAD + b"\r\n")
        with suppress(ConnectionClosedError):
            while True:
                stream.send(b"x")
                harness.loop.sleep(10 * MS)

    def test(harness: RealPlatformHarness) -> None:
        began = harness.loop.now()
        assert harness.ask(call("bill", left="0.300"))[0] == 500
        assert harness.loop.now() - began < 5 * SECOND

    run(endless, test=test)


def test_a_response_without_a_length_beyond_the_limit_fails():
    def flood(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(HEAD + b"\r\n")
        with suppress(ConnectionClosedError):
            while True:
                stream.send(b"x" * 65_536)

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("bill", left="1.900"))[0] == 500

    run(flood, test=test)


def resets_then_serves(harness, index, stream):
    while True:
        harness.read_request(index, stream)
        if len(harness.seen) == 1:
            return stream.abort()
        stream.send(OK)


@pytest.mark.parametrize(("window", "sent"), [(900_000, 2), (30_000, 1)])
def test_a_reset_request_with_an_idempotency_key_is_retried_within_its_window_only(window, sent):
    """A window no longer than its safety margin permits no retry."""

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("put", body=b"1"))[0] == (200 if sent == 2 else 500)

    classes = [{**cls, "dedupWindow": window if cls["dedupWindow"] else 0} for cls in settings()["classes"]]
    harness = run(resets_then_serves, test=test, settings=settings(classes=classes))
    assert len(harness.seen) == sent
