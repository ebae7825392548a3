"""Each guard of the narrow moments, broken on purpose: the test that is named for it has to find that."""

from __future__ import annotations

import pytest
import test_lingering as lingering
import test_narrow_moments as moments
import test_watches as watches
from harness.platform_house import SECOND, PlatformHouse

from orchidlane.gateway.control.json_stream import JsonObjectSplitter
from orchidlane.gateway.forwarding.connection_pool import Pool
from orchidlane.gateway.server.http_server import Front
from orchidlane.gateway.server.request_handler import RequestHandler
from orchidlane.gateway.server.request_reader import RequestReader
from orchidlane.platform import discovery, lifecycle, shutdown
from orchidlane.platform.discovery import Tracker
from orchidlane.runtime import Lingering, Loop, RealWorld
from orchidlane.runtime.real_backend import RealStream


def closes_at_once(self, stream):
    stream.close()


def no_more(self, *_):
    return None


def no(self, *_):
    return False


def yes(self, *_):
    return True


def one_line_one_object(self, line):
    return line.strip() and line


def wait_without_a_look(self, connection, timeout):
    return self._receive(connection, timeout)


def old_shutdown(now, longest):
    last = now + min(longest, 3 * SECOND) + 470_000
    return shutdown.Shutdown(now + 720_000, last, last + 125_000)


def linger_for_ever(self, stream):
    stream.half_close()
    self._ending[stream] = None


def real_loop(test, *arguments):
    test(Loop(RealWorld(1)), *arguments)


HELD_BACK = moments.test_a_client_that_leaves_behind_pipelined_bytes_is_seen
CONNECTS = moments.test_a_client_that_leaves_while_its_attempt_connects_is_not_sent_on
BROKEN = {
    "no lingering": (
        Lingering,
        "close",
        closes_at_once,
        moments.test_a_last_answer_is_whole_though_unread_bytes_wait_behind_its_request,
        (),
    ),
    "no lingering of hosts'": (
        Lingering,
        "close",
        closes_at_once,
        moments.test_a_host_that_writes_as_its_idle_connection_ends_is_not_reset,
        (),
    ),
    "lingering without a bound": (
        Lingering,
        "close",
        linger_for_ever,
        lambda: real_loop(lingering.test_beyond_the_bound_the_one_that_lingered_longest_closes),
        (),
    ),
    "evicts without a look": (
        RealStream,
        "waiting",
        no,
        moments.test_a_request_that_came_just_before_its_connection_goes_to_make_room_is_served,
        (),
    ),
    "idle time without a look": (
        RequestReader,
        "wait_for_first_bytes",
        wait_without_a_look,
        moments.test_a_request_that_came_as_its_idle_time_ended_is_served,
        (),
    ),
    "drains without a look": (
        Front,
        "_is_at_rest",
        yes,
        moments.test_what_has_come_when_a_gateway_leaves_is_served_and_what_comes_later_is_not,
        (),
    ),
    "drains without the waiting": (
        Front,
        "_next_waiting",
        no_more,
        moments.test_what_has_come_when_a_gateway_leaves_is_served_and_what_comes_later_is_not,
        (),
    ),
    "drains with the first answer": (
        RequestHandler,
        "_is_last",
        lambda self, connection: self._server.draining,
        moments.test_requests_behind_another_one_when_a_gateway_leaves_are_served_like_it,
        (True,),
    ),
    "drains for ever": (
        RequestHandler,
        "_is_last",
        lambda self, connection: self._server.draining and not connection.stream.waiting(),
        moments.test_a_client_that_sends_ever_more_finds_an_end_when_a_shutdown_is_over,
        (),
    ),
    "young because it was taken": (
        Pool,
        "put_back",
        Pool.give_back,
        moments.test_a_connection_that_was_taken_and_not_used_is_no_younger_for_it,
        (),
    ),
    "no last look, first attempt": (RealStream, "has_left", no, CONNECTS, (1, "half_close")),
    "no last look, further attempt": (RealStream, "has_left", no, CONNECTS, (2, "abort")),
    "no watch of the end, FIN": (RealStream, "watch_end", no_more, HELD_BACK, ("half_close",)),
    "no watch of the end, RST": (RealStream, "watch_end", no_more, HELD_BACK, ("abort",)),
    "the old shutdown": (
        lifecycle,
        "graceful_shutdown",
        old_shutdown,
        moments.test_what_comes_before_a_gateway_leaves_has_all_its_time,
        (120_000,),
    ),
    "silent for long": (
        discovery,
        "SILENCE",
        6_500_000,
        watches.test_what_a_broken_watch_misses_is_known_when_it_counts_as_told,
        (PlatformHouse, "silent"),
    ),
    "any byte is life": (
        JsonObjectSplitter,
        "feed",
        lambda self, data: [b""],
        watches.test_what_a_broken_watch_misses_is_known_when_it_counts_as_told,
        (PlatformHouse, "trickles"),
    ),
    "a line is an object": (
        JsonObjectSplitter,
        "_feed_line",
        one_line_one_object,
        watches.test_an_indented_list_counts,
        (PlatformHouse,),
    ),
    "seldom asked": (
        lifecycle,
        "retry_interval",
        lambda grace: 3 * grace,
        watches.test_what_discovery_has_at_its_return_is_known_within_the_grace,
        (PlatformHouse, "refuses"),
    ),
    "old news count": (
        Tracker,
        "_counts",
        yes,
        watches.test_a_host_that_left_does_not_come_back_by_an_older_list,
        (),
    ),
    "old news of drains count": (
        Tracker,
        "_counts",
        yes,
        watches.test_a_host_that_drains_is_not_made_ready_by_changes_after_an_older_list,
        (),
    ),
    "ready before it is told": (
        lifecycle.Life,
        "_is_ready",
        yes,
        watches.test_ready_is_said_once_discovery_spoke,
        (PlatformHouse,),
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_guard_is_found(name, monkeypatch):
    where, what, instead, test, arguments = BROKEN[name]
    monkeypatch.setattr(where, what, instead)
    with pytest.raises(Exception):  # noqa: B017  an assertion, a reset, or a time that is over
        test(*arguments)
