"""Room for usual clients beside others that hold connections, silent or with invalid requests."""

from __future__ import annotations

from contextlib import suppress
from types import SimpleNamespace

import pytest
from harness.constants import MS, SECOND
from harness.platform_endpoints import run
from harness.platform_harness import OK, PlatformHarness, call

from orchidlane.gateway.server.waiting_connections import (
    EARLY_CLOSE_INTERVAL_US,
    MAX_EARLY_CLOSES,
    EarlyCloses,
    WaitingConnections,
)
from orchidlane.runtime import EventLoopError

CLIENTS = 20  # fewer than a third of the 256 descriptors
TIMEOUT_US = SECOND  # of each request
LATEST_RESPONSE_US = TIMEOUT_US + 500 * MS  # the platform counts a request without a response by then as lost
RESPONSE_TIME_US = 30 * MS
REQUESTS = 12  # of each client
REQUEST_INTERVAL_US = 300 * MS


def responds_after_a_while(harness, index, stream) -> None:
    """Serve each request after a while."""
    while True:
        harness.read_request(index, stream)
        harness.loop.sleep(RESPONSE_TIME_US)
        stream.send(OK)


def stay_silent(harness) -> None:
    """Connect and send nothing until the connection is closed."""
    with suppress(EventLoopError):
        stream = harness.connect()
        stream.recv()
        stream.close()


def send_invalid_requests(harness) -> None:
    """Send hundreds of invalid requests at once, more than one read takes; again whenever it is closed."""
    while True:
        with suppress(EventLoopError):
            stream = harness.connect()
            stream.send(call("none", extra_header="User-Agent: " + "x" * 200) * 300)
            while stream.recv():
                pass
            stream.close()
        harness.loop.sleep(10 * MS)


def send_valid_requests(harness, waits_us: list[int], is_new: bool) -> None:
    """Send requests on one connection, or each on a new one, and record the times to the responses.

    A request whose connection is closed is sent once more, on a new connection.
    """
    connection = harness.connect()
    for _ in range(REQUESTS):
        harness.loop.sleep(REQUEST_INTERVAL_US)
        if is_new:
            connection.close()
            connection = harness.connect()
        sent_at = harness.loop.now()
        status = 0
        with suppress(EventLoopError):
            connection.send(call())
            status = harness.answer(connection, wait=LATEST_RESPONSE_US)[0]
        if not status and harness.loop.now() - sent_at < LATEST_RESPONSE_US:
            connection = harness.connect()
            connection.send(call())
            status = harness.answer(connection, wait=LATEST_RESPONSE_US)[0]
        waits_us.append(harness.loop.now() - sent_at if status else LATEST_RESPONSE_US)


@pytest.mark.parametrize("is_new", [False, True], ids=["kept connections", "new connections"])
@pytest.mark.parametrize(("invalid", "silent"), [(40, 500), (200, 0), (0, 900), (150, 500)])
def test_usual_requests_are_answered_beside_clients_that_hold_connections(invalid, silent, is_new):
    """Guards against connections that can't be closed and block those behind them, or the listener."""
    waits_us: list[int] = []

    def test(harness: PlatformHarness) -> None:
        for _ in range(CLIENTS):
            harness.scope.spawn(send_valid_requests, harness, waits_us, is_new)
        harness.loop.sleep(500 * MS)
        for _ in range(invalid):
            harness.scope.spawn(send_invalid_requests, harness)
        for _ in range(silent):
            harness.scope.spawn(stay_silent, harness)
        harness.until(lambda: len(waits_us) == CLIENTS * REQUESTS, 60 * SECOND)
        assert max(waits_us) < LATEST_RESPONSE_US

    run(responds_after_a_while, test=test)


class FakeConnection(SimpleNamespace):
    """A connection that waits since ``idle_since_us``; ``has_input`` is whether bytes are unread."""

    __hash__ = object.__hash__

    def __init__(
        self, has_sent_request: bool = False, pending: bool = False, has_input: bool = False
    ) -> None:
        stream = SimpleNamespace(has_input=lambda: has_input)
        super().__init__(
            stream=stream,
            has_sent_request=has_sent_request,
            has_more=lambda: pending or has_input,
            is_between_requests=True,
        )


TIMEOUTS = SimpleNamespace(min_client_idle_us=150 * MS, min_silent_client_us=20 * MS)


def test_connections_are_closed_in_order_of_their_use_to_a_client():
    """Guards against an idle client that is closed while silent ones or invalid requests hold connections."""
    waiting = WaitingConnections(TIMEOUTS)
    idle, unread = FakeConnection(True), FakeConnection(True, has_input=True)
    incomplete, rejected, silent = (
        FakeConnection(pending=True),
        FakeConnection(has_input=True),
        FakeConnection(),
    )
    for connection in (unread, idle, incomplete):
        waiting.await_request(connection, 0)
    waiting.await_error(rejected, SECOND)
    waiting.await_request(silent, SECOND)
    assert waiting.next_to_close(SECOND) is None  # the silent one may still send a request
    for expected in (silent, rejected, incomplete, idle, None):
        assert waiting.next_to_close(2 * SECOND) is expected
        if expected is not None:
            waiting.remove(expected)


def test_a_connection_with_a_request_does_not_protect_those_behind_it():
    waiting = WaitingConnections(TIMEOUTS)
    connections = [FakeConnection(has_input=number < 3) for number in range(4)]
    for number, connection in enumerate(connections):
        waiting.await_request(connection, number)
    assert waiting.next_to_close(SECOND) is connections[3]


def test_early_closes_are_bounded():
    closes = EarlyCloses()
    assert [closes.try_take(SECOND) for _ in range(MAX_EARLY_CLOSES + 1)] == [True] * MAX_EARLY_CLOSES + [
        False
    ]
    later = SECOND + EARLY_CLOSE_INTERVAL_US
    assert [closes.try_take(later) for _ in range(2)] == [True, False]


def test_silent_clients_are_closed_late_once_there_were_many_early_closes():
    waiting = WaitingConnections(TIMEOUTS)
    waiting._early_closes = EarlyCloses()
    while waiting._early_closes.try_take(0):
        pass
    connection = FakeConnection()
    waiting.await_request(connection, 0)
    assert waiting.next_to_close(TIMEOUTS.min_silent_client_us - 1) is None
    waiting.await_request(connection, -TIMEOUTS.min_silent_client_us)
    assert waiting.next_to_close(0) is None
    waiting.await_request(connection, -TIMEOUTS.min_client_idle_us)
    assert waiting.next_to_close(0) is connection
