"""Each guard of the narrow moments, broken on purpose: the test that is named for it has to find that."""

from __future__ import annotations

import pytest
import test_connection_races as connection_races
import test_discovery as discovery
import test_endpoint_races as endpoint_races
import test_lingering as lingering
import test_shutdown_races as shutdown_races
from harness.constants import SECOND
from harness.platform_harness import PlatformHarness

from orchidlane.gateway.control.json_stream import JsonObjectSplitter
from orchidlane.gateway.forwarding.connection_pool import ConnectionPool
from orchidlane.gateway.server.http_server import HttpServer
from orchidlane.gateway.server.request_handler import RequestHandler
from orchidlane.gateway.server.request_reader import RequestReader
from orchidlane.platform import discovery_watch, lifecycle, shutdown
from orchidlane.platform.discovery import DiscoveryTracker
from orchidlane.runtime import EventLoop, EventLoopError, LingeringConnections, RealBackend
from orchidlane.runtime.real_backend import RealStream

EXPECTED_FAILURES = (AssertionError, EventLoopError)  # a check, a reset, or a deadline that has passed


def closes_at_once(_lingering, stream):
    stream.close()


def no_more(*_):
    return None


def no(*_):
    return False


def yes(*_):
    return True


def one_line_one_object(_splitter, line):
    return line.strip() and line


def wait_without_a_look(self, connection, timeout):
    return self._receive(connection, timeout)


def old_shutdown(now, longest):
    last = now + min(longest, 3 * SECOND) + 470_000
    return shutdown.ShutdownTimes(now + 720_000, last, last + 125_000)


def linger_for_ever(self, stream):
    stream.half_close()
    self._lingering[stream] = None


def real_loop(test, *arguments):
    test(EventLoop(RealBackend(1)), *arguments)


HELD_BACK = connection_races.test_a_client_that_leaves_after_pipelined_bytes_is_detected
CONNECTS = connection_races.test_a_request_is_not_sent_if_its_client_leaves_during_the_connect
BROKEN = {
    "no lingering": (
        LingeringConnections,
        "close",
        closes_at_once,
        connection_races.test_a_last_response_is_complete_despite_unread_pipelined_bytes,
        (),
    ),
    "no lingering of hosts'": (
        LingeringConnections,
        "close",
        closes_at_once,
        endpoint_races.test_closing_an_idle_connection_does_not_reset_a_writing_endpoint,
        (),
    ),
    "lingering without a bound": (
        LingeringConnections,
        "close",
        linger_for_ever,
        lambda: real_loop(lingering.test_beyond_the_limit_the_longest_lingering_connection_is_closed),
        (),
    ),
    "evicts without a look": (
        RealStream,
        "has_input",
        no,
        connection_races.test_a_request_that_came_just_before_eviction_is_served,
        (),
    ),
    "idle time without a look": (
        RequestReader,
        "wait_for_first_bytes",
        wait_without_a_look,
        connection_races.test_a_request_that_came_as_the_idle_timeout_expired_is_served,
        (),
    ),
    "drains without a look": (
        HttpServer,
        "_is_idle",
        yes,
        shutdown_races.test_only_requests_started_before_the_drain_are_served,
        (),
    ),
    "drains without the waiting": (
        HttpServer,
        "_try_accept",
        no_more,
        shutdown_races.test_only_requests_started_before_the_drain_are_served,
        (),
    ),
    "drains with the first answer": (
        RequestHandler,
        "_is_last_response",
        lambda self, _connection: self._server.draining,
        shutdown_races.test_pipelined_requests_at_the_drain_are_served,
        (True,),
    ),
    "drains for ever": (
        RequestHandler,
        "_is_last_response",
        lambda self, connection: self._server.draining and not connection.stream.has_input(),
        shutdown_races.test_a_client_that_keeps_sending_is_closed_at_the_shutdown_deadline,
        (),
    ),
    "young because it was taken": (
        ConnectionPool,
        "release_unused",
        ConnectionPool.release,
        endpoint_races.test_a_connection_released_unused_keeps_its_age,
        (),
    ),
    "no last look, first attempt": (RealStream, "is_closed_by_peer", no, CONNECTS, (1, "half_close")),
    "no last look, further attempt": (RealStream, "is_closed_by_peer", no, CONNECTS, (2, "abort")),
    "no watch of the end, FIN": (RealStream, "wake_on_peer_close", no_more, HELD_BACK, ("half_close",)),
    "no watch of the end, RST": (RealStream, "wake_on_peer_close", no_more, HELD_BACK, ("abort",)),
    "the old shutdown": (
        lifecycle,
        "graceful_shutdown",
        old_shutdown,
        shutdown_races.test_requests_before_the_drain_have_their_full_deadline,
        (120_000,),
    ),
    "silent for long": (
        discovery_watch,
        "SILENCE_TIMEOUT_US",
        6_500_000,
        discovery.test_events_missed_by_a_broken_watch_arrive_by_their_deadline,
        (PlatformHarness, "silent"),
    ),
    "any byte is life": (
        JsonObjectSplitter,
        "feed",
        lambda *_: [b""],
        discovery.test_events_missed_by_a_broken_watch_arrive_by_their_deadline,
        (PlatformHarness, "trickles"),
    ),
    "a line is an object": (
        JsonObjectSplitter,
        "_feed_line",
        one_line_one_object,
        discovery.test_an_indented_list_is_applied,
        (PlatformHarness,),
    ),
    "seldom asked": (
        lifecycle,
        "retry_interval_us",
        lambda grace: 3 * grace,
        discovery.test_events_after_an_outage_are_applied_within_the_drain_grace,
        (PlatformHarness, "refuses"),
    ),
    "old news count": (
        DiscoveryTracker,
        "_is_newer",
        yes,
        discovery.test_an_older_list_does_not_bring_back_an_endpoint_that_left,
        (),
    ),
    "old news of drains count": (
        DiscoveryTracker,
        "_is_newer",
        yes,
        discovery.test_an_older_list_does_not_make_a_draining_endpoint_ready,
        (),
    ),
    "ready before it is told": (
        lifecycle.PlatformGateway,
        "_is_ready",
        yes,
        discovery.test_the_gateway_is_ready_once_discovery_has_responded,
        (PlatformHarness,),
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_guard_is_found(name, monkeypatch):
    where, what, instead, test, arguments = BROKEN[name]
    monkeypatch.setattr(where, what, instead)
    with pytest.raises(EXPECTED_FAILURES):
        test(*arguments)
