"""Guards against races and silent discovery: with a guard disabled, the test that covers it must fail."""

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

# A failed check, a connection reset, or a deadline that has passed
EXPECTED_FAILURES = (AssertionError, EventLoopError)


def close_at_once(_lingering, stream):
    stream.close()


def return_none(*_):
    return None


def return_false(*_):
    return False


def return_true(*_):
    return True


def take_line_as_object(splitter, line_end):
    splitter._line_start = line_end + 1
    line = splitter._remove_lines()
    return line.strip() and line


def count_any_bytes_as_message(splitter):
    splitter._buffer.clear()
    yield [b""]


def receive_without_checking_input(self, connection, timeout):
    return self._receive(connection, timeout)


def shutdown_times_with_capped_deadline(now, longest_deadline):
    last_response_at = now + min(longest_deadline, 3 * SECOND) + 470_000
    return shutdown.ShutdownTimes(now + 720_000, last_response_at, last_response_at + 125_000)


def linger_indefinitely(self, stream):
    stream.half_close()
    self._lingering[stream] = None


def run_on_real_loop(test, *arguments):
    test(EventLoop(RealBackend(1)), *arguments)


LEAVES_AFTER_PIPELINING = connection_races.test_a_client_that_leaves_after_pipelined_bytes_is_detected
LEAVES_DURING_CONNECT = connection_races.test_a_request_is_not_sent_if_its_client_leaves_during_the_connect
# Owner of the guard, its attribute, the replacement, the test that must fail, and the test's arguments
BROKEN_GUARDS = {
    "no lingering": (
        LingeringConnections,
        "close",
        close_at_once,
        connection_races.test_a_last_response_is_complete_despite_unread_pipelined_bytes,
        (),
    ),
    "no lingering at endpoints": (
        LingeringConnections,
        "close",
        close_at_once,
        endpoint_races.test_closing_an_idle_connection_does_not_reset_a_writing_endpoint,
        (),
    ),
    "lingering without a limit": (
        LingeringConnections,
        "close",
        linger_indefinitely,
        lambda: run_on_real_loop(lingering.test_beyond_the_limit_the_longest_lingering_connection_is_closed),
        (),
    ),
    "eviction without checking for input": (
        RealStream,
        "has_input",
        return_false,
        connection_races.test_a_request_that_came_just_before_eviction_is_served,
        (),
    ),
    "idle timeout without checking for input": (
        RequestReader,
        "wait_for_first_bytes",
        receive_without_checking_input,
        connection_races.test_a_request_that_came_as_the_idle_timeout_expired_is_served,
        (),
    ),
    "drain without checking for input": (
        HttpServer,
        "_is_idle",
        return_true,
        shutdown_races.test_only_requests_started_before_the_drain_are_served,
        (),
    ),
    "drain without accepting waiting connections": (
        HttpServer,
        "_try_accept",
        return_none,
        shutdown_races.test_only_requests_started_before_the_drain_are_served,
        (),
    ),
    "drain closes after the first response": (
        RequestHandler,
        "_is_last_response",
        lambda self, _connection: self._server.draining,
        shutdown_races.test_pipelined_requests_at_the_drain_are_served,
        (True,),
    ),
    "drain as long as input arrives": (
        RequestHandler,
        "_is_last_response",
        lambda self, connection: self._server.draining and not connection.stream.has_input(),
        shutdown_races.test_a_client_that_keeps_sending_is_closed_at_the_shutdown_deadline,
        (),
    ),
    "unused release resets the age": (
        ConnectionPool,
        "release_unused",
        ConnectionPool.release,
        endpoint_races.test_a_connection_released_unused_keeps_its_age,
        (),
    ),
    "no last check, first attempt": (
        RealStream,
        "is_closed_by_peer",
        return_false,
        LEAVES_DURING_CONNECT,
        (1, "half_close"),
    ),
    "no last check, second attempt": (
        RealStream,
        "is_closed_by_peer",
        return_false,
        LEAVES_DURING_CONNECT,
        (2, "abort"),
    ),
    "no notification of a close by FIN": (
        RealStream,
        "wake_on_peer_close",
        return_none,
        LEAVES_AFTER_PIPELINING,
        ("half_close",),
    ),
    "no notification of a close by RST": (
        RealStream,
        "wake_on_peer_close",
        return_none,
        LEAVES_AFTER_PIPELINING,
        ("abort",),
    ),
    "shutdown that cuts deadlines to 3 s": (
        lifecycle,
        "graceful_shutdown",
        shutdown_times_with_capped_deadline,
        shutdown_races.test_requests_before_the_drain_have_their_full_deadline,
        (120_000,),
    ),
    "silence timeout too long": (
        discovery_watch,
        "SILENCE_TIMEOUT_US",
        6_500_000,
        discovery.test_events_missed_by_a_broken_watch_arrive_by_their_deadline,
        (PlatformHarness, "silent"),
    ),
    "any byte counts as a message": (
        JsonObjectSplitter,
        "batches",
        count_any_bytes_as_message,
        discovery.test_events_missed_by_a_broken_watch_arrive_by_their_deadline,
        (PlatformHarness, "trickles"),
    ),
    "each line counts as an object": (
        JsonObjectSplitter,
        "_read_line",
        take_line_as_object,
        discovery.test_an_indented_list_is_applied,
        (PlatformHarness,),
    ),
    "retry interval too long": (
        lifecycle,
        "retry_interval_us",
        lambda grace: 3 * grace,
        discovery.test_events_after_an_outage_are_applied_within_the_drain_grace,
        (PlatformHarness, "refuses"),
    ),
    "older lists are applied": (
        DiscoveryTracker,
        "_is_newer",
        return_true,
        discovery.test_an_older_list_does_not_bring_back_an_endpoint_that_left,
        (),
    ),
    "older lists of drains are applied": (
        DiscoveryTracker,
        "_is_newer",
        return_true,
        discovery.test_an_older_list_does_not_make_a_draining_endpoint_ready,
        (),
    ),
    "ready before discovery responds": (
        lifecycle.PlatformGateway,
        "_is_ready",
        return_true,
        discovery.test_the_gateway_is_ready_once_discovery_has_responded,
        (PlatformHarness,),
    ),
}


@pytest.mark.parametrize("name", BROKEN_GUARDS)
def test_a_disabled_guard_makes_its_test_fail(name, monkeypatch):
    owner, attribute, replacement, test, arguments = BROKEN_GUARDS[name]
    monkeypatch.setattr(owner, attribute, replacement)
    with pytest.raises(EXPECTED_FAILURES):
        test(*arguments)
