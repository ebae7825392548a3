"""Races between requests and endpoints that close connections or send unexpected responses.

All parties are tasks of one event loop in one process: bytes that a test sends without waiting are in the
gateway's socket buffer before the gateway runs again.
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


def test_closing_an_idle_connection_does_not_reset_a_writing_endpoint():
    """Guards against a close without lingering: bytes that arrive afterwards would cause a reset."""

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call())[0] == 200
        endpoint_stream = harness.endpoint_stream
        endpoint_stream.send(b"HTTP/1.1 2")  # half a line, unread when the gateway closes the connection
        harness.gateway.pool.retire_idle(b"s-0")
        endpoint_stream.send(b"00 OK\r\n")
        assert read_to_end(harness, endpoint_stream) == b""
        endpoint_stream.close()
        harness.until(lambda: not harness.gateway.pool.lingering)

    def serves_one_request(harness, index, stream):
        harness.endpoint_stream = stream
        harness.read_request(index, stream)
        stream.send(OK)
        harness.loop.sleep(60 * SECOND)

    run(serves_one_request, test=test)


@pytest.mark.parametrize("ending", ["half_close", "abort", "half a line"])
def test_an_idle_connection_that_its_endpoint_just_closed_is_not_reused(ending):
    """Guards against a request on a connection whose close, or unexpected bytes, were not read yet."""

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("bill"))[0] == 200
        client = harness.connect()
        client.send(call("bill"))
        if ending == "half a line":
            harness.streams[0].send(b"HTTP/1.1 2")
        else:
            getattr(harness.streams[0], ending)()
        assert harness.answer(client, "POST")[0] == 200
        assert len(harness.streams) == 2

    def records_stream(harness, index, stream):
        harness.streams = [*getattr(harness, "streams", []), stream]
        serve_every_request(harness, index, stream)

    assert len(run(records_stream, test=test).seen) == 2


def test_a_connection_released_unused_keeps_its_age():
    """Guards against reuse of a connection that its endpoint is about to close.

    The endpoint's idle timeout runs from the last request, even if the gateway acquired the connection since.
    """

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call())[0] == 200
        harness.loop.sleep(2 * harness.gateway.pool.timeouts.endpoint_reuse_delay_us)
        (idle_connection,) = harness.gateway.pool._idle[b"s-0"]
        idle_since = harness.loop.now() - (harness.gateway.pool.timeouts.endpoint_idle_us - 150 * MS)
        idle_connection.idle_since = idle_since
        client = harness.connect()
        client.send(call())
        client.half_close()  # seen by the attempt after it has acquired its connection
        harness.until(
            lambda: (
                harness.gateway.policy_driver.last_request_number == 2
                and not harness.gateway.policy_driver.requests
            )
        )
        harness.until(lambda: not harness.gateway.policy_driver.gateway.attempts)
        assert harness.gateway.pool._idle[b"s-0"][0].idle_since == idle_since
        harness.loop.sleep(200 * MS)
        assert harness.ask(call())[0] == 200
        assert len(harness.streams) == 2  # the released connection was past its idle timeout

    def records_stream(harness, index, stream):
        harness.streams = [*getattr(harness, "streams", []), stream]
        serve_every_request(harness, index, stream)

    assert len(run(records_stream, test=test).seen) == 2


HEAD = b"HTTP/1.1 200 OK\r\n"


RESPONSES = {
    "length, closed early": (HEAD + b"Content-Length: 5\r\n\r\nab", "half_close", 500),
    "length, reset early": (HEAD + b"Content-Length: 5\r\n\r\nab", "abort", 500),
    "no length, closed": (HEAD + b"\r\nok", "half_close", 200),
    "no length, reset": (HEAD + b"\r\nok", "abort", 500),
    "chunks, closed after the last": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "half_close",
        200,
    ),
    "chunks, closed early": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "half_close", 500),
    "head, closed early": (HEAD + b"Content-Le", "half_close", 500),
    "nothing, closed": (b"", "half_close", 500),
    "two responses": (OK + OK, "", 200),
}


@pytest.mark.parametrize("name", RESPONSES)
def test_a_response_is_served_only_if_it_is_complete(name):
    raw, ending, status = RESPONSES[name]

    def endpoint(harness, index, stream):
        harness.read_request(index, stream)
        if raw:
            stream.send(raw)
            harness.until(lambda: not any(peer.has_input() for peer in endpoint_streams(harness)))
        if ending:
            getattr(stream, ending)()

    def test(harness: RealPlatformHarness) -> None:
        response = harness.ask(call("bill", timeout="1.500"))
        assert (response[0], response[2]) == (status, b"ok" if status == 200 else b"")

    assert len(run(endpoint, test=test).seen) == 1


def numbered_response(harness) -> bytes:
    """Return a response whose body is the number of the request that it is for."""
    return OK.replace(b"ok", b"%02d" % len(harness.seen))


def test_a_second_response_is_not_matched_to_the_next_request():
    """Guards against a response to the wrong request, if reuse of a connection were not delayed.

    The second response is sent while the next request is on its way, so that nothing distinguishes it from
    that request's own response.
    """

    def responds_twice(harness, index, stream):
        previous = b""
        while True:
            harness.read_request(index, stream)
            stream.send(previous)
            previous = numbered_response(harness)
            stream.send(previous)

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        for number in (b"01", b"02", b"03"):
            client.send(call())
            assert harness.answer(client)[2] == number

    run(responds_twice, test=test)


def test_a_late_second_response_closes_its_connection():
    def responds_twice(harness, index, stream):
        while True:
            harness.read_request(index, stream)
            stream.send(numbered_response(harness))
            harness.loop.sleep(3 * MS)
            stream.send(numbered_response(harness))

    def test(harness: RealPlatformHarness) -> None:
        client = harness.connect()
        for number in (b"01", b"02", b"03"):
            client.send(call())
            assert harness.answer(client)[2] == number
            harness.loop.sleep(2 * harness.gateway.pool.timeouts.endpoint_reuse_delay_us)

    run(responds_twice, test=test)


def test_an_endless_response_without_a_length_ends_at_the_timeout():
    def trickles(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(HEAD + b"\r\n")
        with suppress(ConnectionClosedError):
            while True:
                stream.send(b"x")
                harness.loop.sleep(10 * MS)

    def test(harness: RealPlatformHarness) -> None:
        started_at = harness.loop.now()
        assert harness.ask(call("bill", timeout="0.300"))[0] == 500
        assert harness.loop.now() - started_at < 5 * SECOND

    run(trickles, test=test)


def test_a_response_without_a_length_beyond_the_limit_fails():
    def sends_without_end(harness, index, stream):
        harness.read_request(index, stream)
        stream.send(HEAD + b"\r\n")
        with suppress(ConnectionClosedError):
            while True:
                stream.send(b"x" * 65_536)

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("bill", timeout="1.900"))[0] == 500

    run(sends_without_end, test=test)


def resets_then_serves(harness, index, stream):
    while True:
        harness.read_request(index, stream)
        if len(harness.seen) == 1:
            return stream.abort()
        stream.send(OK)


@pytest.mark.parametrize(("window_us", "sent_count"), [(900_000, 2), (30_000, 1)])
def test_a_request_with_an_idempotency_key_is_retried_only_in_its_window(window_us, sent_count):
    """A deduplication window that is no longer than its safety margin permits no retry."""

    def test(harness: RealPlatformHarness) -> None:
        assert harness.ask(call("put", body=b"1"))[0] == (200 if sent_count == 2 else 500)

    classes = [
        {**cls, "dedupWindow": window_us if cls["dedupWindow"] else 0} for cls in settings()["classes"]
    ]
    harness = run(resets_then_serves, test=test, settings=settings(classes=classes))
    assert len(harness.seen) == sent_count
