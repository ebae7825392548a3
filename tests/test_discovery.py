"""Discovery: when it is asked anew, what is made of its lines, and what is known in time all the same."""

from __future__ import annotations

import json

import pytest
from harness.platform_harness import (
    MS,
    SECOND,
    Discovery,
    PlatformHarness,
    RealPlatformHarness,
    call,
    file,
    instance,
    settings,
)
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.gateway.control.json_stream import JsonObjectSplitter, LineTooLongError
from orchidlane.platform import polling
from orchidlane.platform.discovery import MAX_ENDPOINTS, MIN_DEPARTED_REMEMBERED, DiscoveryTracker
from orchidlane.platform.polling import PollSchedule, retry_interval_us
from orchidlane.runtime import CONTROL, ConnectionClosedError, ConnectionFailedError

BACKENDS = pytest.mark.parametrize("backend", [PlatformHarness, RealPlatformHarness])
GRACE = SECOND  # of drains, in the settings of these tests


# -- when to ask


def test_a_silent_watch_is_replaced_before_its_notification_deadline():
    assert (
        polling.SILENCE_TIMEOUT_US >= polling.HEARTBEAT_INTERVAL_US + 100 * MS
    )  # else a healthy one is broken
    for grace in (1, 300 * MS, 500 * MS, SECOND, 5 * SECOND):
        again = retry_interval_us(grace)
        assert polling.SILENCE_TIMEOUT_US + 7 * again <= polling.NOTIFICATION_DEADLINE_US
        assert again <= max(
            polling.MIN_RETRY_INTERVAL_US, grace // 2
        )  # after an outage two calls fit into the grace
    assert polling.SILENCE_TIMEOUT_US + 2 * polling.MAX_BACKOFF_US < polling.NOTIFICATION_DEADLINE_US


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["wait", "spoke", "ended", "ended"]), st.integers(0, 3), st.integers(0, 3 * SECOND)
    )
)


@given(EVENTS)
def test_polls_are_bounded_and_one_is_always_active_or_due_soon(events):
    clock, now, open_calls = PollSchedule(500 * MS), 0, []
    for what, place, span in events:
        now += span if what == "wait" else 0
        if what != "wait" and open_calls:
            number = open_calls[place % len(open_calls)]
            if what == "spoke":
                replaced = clock.response_received(number)
                open_calls = [one for one in open_calls if one not in replaced]
            else:
                open_calls.remove(number)
                clock.poll_ended(number, now)
        number, given_up = clock.next_poll(now)
        open_calls = [one for one in open_calls if one not in given_up]
        open_calls += [number] if number is not None else []
        assert len(open_calls) <= polling.MAX_PENDING_POLLS
        assert set(open_calls) == {*clock.pending, *([clock.active] if clock.active else [])}
        if clock.active is None:
            assert clock.next_deadline() <= now + polling.MAX_BACKOFF_US
        else:
            assert clock.next_deadline() is None
            assert number is None
            assert not clock.pending


def test_a_long_watch_is_replaced_at_once():
    clock = PollSchedule(500 * MS)
    number, _ = clock.next_poll(0)
    clock.response_received(number)
    clock.poll_ended(number, 10 * SECOND)
    assert clock.next_poll(10 * SECOND)[0] is not None


def test_short_watches_are_replaced_with_backoff():
    clock, now, apart = PollSchedule(250 * MS), 0, []
    for _ in range(7):
        began = now
        number, _ = clock.next_poll(now)
        clock.response_received(number)
        clock.poll_ended(number, now)
        now = clock.next_deadline()
        apart.append((now - began) // MS)
    assert apart == [250, 500, 1_000, 1_600, 1_600, 1_600, 1_600]


# -- lines


LINES = [
    {"generation": 41, "reset": True, "instances": [instance(1), instance(2, "leaving")]},
    {"generation": 42, "reset": False, "instances": [{**instance(3), "zone": 'a "}{" \\ b'}]},
    {"generation": 43, "reset": False, "instances": []},
]


@given(
    st.lists(st.sampled_from([None, 0, 1, 4]), min_size=3, max_size=3),
    st.lists(st.integers(1, 60)),
    st.data(),
)
def test_objects_are_split_however_their_bytes_arrive(indents, sizes, data):
    text = b""
    for line, indent in zip(LINES, indents, strict=True):
        text += json.dumps(line, indent=indent).encode() + data.draw(
            st.sampled_from([b"\n", b"\r\n", b"\n\n"])
        )
    split, found = JsonObjectSplitter(1 << 20), []
    for size in [*sizes, len(text)]:
        found += split.feed(text[:size])
        text = text[size:]
    assert [json.loads(one) for one in found if one.strip()] == LINES


def test_blank_lines_are_reported_between_objects_and_not_within():
    assert JsonObjectSplitter(100).feed(b'\n{"a":\n\n1}\n\r\n') == [b"", b'{"a":\n\n1}', b""]


@pytest.mark.parametrize("piece", [b"x", b"{\n"])
def test_input_without_an_end_is_too_long(piece):
    split = JsonObjectSplitter(100)
    with pytest.raises(LineTooLongError):
        for _ in range(200):
            split.feed(piece)


# -- old news


def apply(tracker, generation, *instances, reset=False):
    line = {"generation": generation, "reset": reset, "instances": list(instances)}
    return tracker.apply_line(json.dumps(line).encode())


def test_an_older_list_does_not_bring_back_an_endpoint_that_left():
    tracker = DiscoveryTracker(("hall-1",))
    apply(tracker, 40, instance(1), instance(2), reset=True)
    apply(tracker, 41, instance(1, "left"))
    assert apply(tracker, 39, instance(1), instance(2), reset=True) is None
    assert apply(tracker, 40, instance(1)) is None  # changes that go on from there are old, too
    assert tracker.state(b"s-1") == "gone"
    apply(tracker, 42, instance(1))
    assert tracker.state(b"s-1") == "ready"


def test_changes_after_an_older_list_do_not_make_a_draining_endpoint_ready():
    tracker = DiscoveryTracker(("hall-1",))
    apply(tracker, 40, instance(1), instance(2), reset=True)
    apply(tracker, 45, instance(1, "leaving"))
    apply(tracker, 30, instance(1), instance(2), reset=True)
    assert apply(tracker, 31, instance(1), instance(2, "leaving")).entries[0].endpoint == b"s-2"
    assert (tracker.state(b"s-1"), tracker.state(b"s-2")) == ("draining", "draining")
    apply(tracker, 32, instance(1, startedAtMs=5))  # it was started anew since
    assert tracker.state(b"s-1") == "ready"


def test_a_complete_list_removes_endpoints_that_it_does_not_name():
    tracker = DiscoveryTracker(("hall-1",))
    apply(tracker, 40, instance(1), instance(2), reset=True)
    apply(tracker, 41, instance(2), reset=True)
    apply(tracker, 30, instance(1), reset=True)
    assert tracker.state(b"s-1") == "gone"


def test_departed_endpoints_are_remembered_up_to_a_bound():
    tracker = DiscoveryTracker(("hall-1",))
    for number in range(3 * MIN_DEPARTED_REMEMBERED):
        apply(tracker, 2 * number, instance(number))
        apply(tracker, 2 * number + 1, instance(number, "left"))
    assert len(tracker.departed) == MIN_DEPARTED_REMEMBERED
    assert not tracker.endpoints


def test_changes_beyond_the_bound_are_rejected_without_effect():
    tracker = DiscoveryTracker(("hall-1",))
    apply(tracker, 1, *(instance(number) for number in range(MAX_ENDPOINTS)), reset=True)
    with pytest.raises(WatchEventError):
        apply(tracker, 2, instance(0, "leaving"), instance(MAX_ENDPOINTS))
    assert (tracker.generation, tracker.state(b"s-0"), len(tracker.endpoints)) == (1, "ready", MAX_ENDPOINTS)


# -- watches that go wrong


def serves(harness, index, stream):
    while True:
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def run(backend, test, *handlers, **changes):
    harness = backend(*(handlers or (serves,)), **changes)
    harness.run(test)
    return harness


def drains(harness, generation=2) -> None:
    """Discovery knows from now on that host 0 drains; whoever asks is told."""
    entry = harness.instance(0, "leaving")
    harness.discovery.first_events = [{"generation": generation, "reset": False, "instances": [entry]}]


def is_drain_known(harness) -> bool:
    return harness.gateway.tracker.state(b"s-0") == "draining"


def within(harness, span: int) -> int:
    """Exact times are the simulated world's; over real connections a busy machine may take longer."""
    return 20 * SECOND if isinstance(harness, RealPlatformHarness) else span


def trickle(harness, piece: bytes) -> None:
    """Bytes that end no line, ever."""
    try:
        while True:
            harness.discovery.send(harness.discovery.streams[0], piece)
            harness.loop.sleep(200 * MS)
    except ConnectionClosedError:
        pass


@BACKENDS
@pytest.mark.parametrize("kind", ["silent", "trickles", "trickles an object", "trickles lines of an object"])
def test_events_missed_by_a_broken_watch_are_known_by_the_notification_deadline(backend, kind):
    def test(harness: PlatformHarness) -> None:
        harness.discovery.sends_keepalives = False
        harness.discovery.send(harness.discovery.streams[0], b"\n")  # the last that it says
        began = harness.loop.now()
        if kind != "silent":
            piece = {"trickles": b" ", "trickles an object": b'{"g"', "trickles lines of an object": b"{\n"}[
                kind
            ]
            harness.scope.spawn(trickle, harness, piece)
        drains(harness)
        harness.until(lambda: is_drain_known(harness), within(harness, polling.NOTIFICATION_DEADLINE_US))
        assert len(harness.discovery.polls) == 2
        assert harness.loop.now() - began < within(harness, polling.NOTIFICATION_DEADLINE_US)

    run(backend, test)


@BACKENDS
def test_a_watch_that_is_reset_is_reopened_at_once(backend):
    def test(harness: PlatformHarness) -> None:
        harness.loop.sleep(polling.HEARTBEAT_INTERVAL_US)  # it spoke for a while
        drains(harness)
        harness.discovery.streams[0].abort()
        harness.until(lambda: is_drain_known(harness), within(harness, GRACE // 2))

    run(backend, test)


@BACKENDS
def test_a_watch_with_heartbeats_alone_stays_open(backend):
    def test(harness: PlatformHarness) -> None:
        harness.loop.sleep(3 * polling.HEARTBEAT_INTERVAL_US)
        assert len(harness.discovery.polls) == 1
        assert len(harness.gateway.http_server.connections) == 0

    run(backend, test)


@BACKENDS
def test_an_indented_list_is_applied(backend):
    def test(harness: PlatformHarness) -> None:
        line = {"generation": 5, "reset": False, "instances": [harness.instance(0, "leaving")]}
        harness.discovery.send(harness.discovery.streams[0], line, indent=2)
        harness.until(lambda: is_drain_known(harness))
        assert len(harness.discovery.polls) == 1

    run(backend, test)


@BACKENDS
@pytest.mark.parametrize("how", ["takes calls and is silent", "refuses"])
def test_events_at_the_return_of_discovery_are_known_within_the_drain_grace(backend, how):
    """Calls made while it was down hear nothing even then."""

    def test(harness: PlatformHarness) -> None:
        discovery = harness.discovery
        if how == "refuses":
            discovery.listener.close()
        discovery.responds = False
        for stream in discovery.streams:
            stream.abort()
        harness.loop.sleep(4 * SECOND)
        assert (
            isinstance(harness, RealPlatformHarness)
            or len(discovery.unanswered) <= 4 * SECOND // retry_interval_us(GRACE) + 1
        )
        drains(harness)
        discovery.responds = True
        if how == "refuses":
            harness.scope.spawn(discovery.serve, priority=CONTROL)
        harness.until(lambda: is_drain_known(harness), within(harness, GRACE))

    run(backend, test)


@BACKENDS
def test_a_moved_discovery_replaces_the_old_one_that_still_sends_older_events(backend):
    def test(harness: PlatformHarness) -> None:
        other = Discovery(harness, (harness.at, 8501))
        other.first_events = [{"generation": 9, "reset": True, "instances": [harness.instance(0, "leaving")]}]
        other.responds = False
        harness.scope.spawn(other.serve, priority=CONTROL)
        moved = file(**{**harness.changes, "discovery": f"{harness.at}:8501"})
        harness.gateway.loop.backend.read_file = lambda path: json.dumps(moved).encode()
        harness.gateway.reload()
        harness.until(lambda: other.polls)
        harness.discovery.notify(3, harness.instance(0, weight=2.0))  # the old one is followed meanwhile
        harness.until(lambda: harness.gateway.tracker.generation == 3)
        other.responds = True
        harness.until(lambda: is_drain_known(harness), within(harness, GRACE))
        for stream in harness.discovery.streams:  # ended by us, or what it says is old
            try:
                harness.discovery.send(
                    stream, {"generation": 4, "reset": True, "instances": [harness.instance(0)]}
                )
            except ConnectionClosedError:
                continue
        harness.loop.sleep(50 * MS)
        assert is_drain_known(harness)
        harness.until(lambda: len(harness.gateway._watch_tasks) == 1)

    run(backend, test)


@BACKENDS
@pytest.mark.parametrize(
    "bad", [b"noise\n", b'{"generation":2}\n', b"{}}\n", b'{"generation":7,"reset":true\n}\n']
)
def test_an_invalid_list_changes_nothing_and_the_next_valid_one_is_applied(backend, bad, capsys):
    def test(harness: PlatformHarness) -> None:
        before = harness.gateway.tracker.endpoints.copy()
        harness.discovery.first_events = []
        for _ in range(3):
            harness.discovery.send(harness.discovery.streams[-1], bad)
            count = len(harness.discovery.streams)
            harness.until(lambda count=count: len(harness.discovery.streams) > count)
        assert harness.gateway.tracker.endpoints == before
        assert harness.gateway.tracker.generation == 1
        good_one = {"generation": 2, "reset": False, "instances": [harness.instance(0, "leaving")]}
        harness.discovery.send(harness.discovery.streams[-1], good_one)
        harness.until(lambda: is_drain_known(harness))

    run(backend, test)
    assert capsys.readouterr().out.count("discovery:") <= 3


# -- what is known at the start


@BACKENDS
def test_the_gateway_is_ready_once_discovery_has_responded(backend):
    up = b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n"

    def test(harness: PlatformHarness) -> None:
        assert harness.ask(up)[0] == 200
        harness.gateway._discovery_responded, harness.gateway._ready_without_discovery_at = (
            False,
            harness.loop.now() + 60 * SECOND,
        )
        assert harness.ask(up)[0] == 503
        harness.discovery.notify(2, harness.instance(0))
        harness.until(lambda: harness.ask(up)[0] == 200, within(harness, GRACE // 2))

    run(backend, test)


@BACKENDS
def test_the_first_readiness_check_succeeds_where_discovery_responds_at_once(backend):
    class Starts(backend):
        def _begin(self) -> None:
            self.until(lambda: self.discovery.listener is not None)
            self.process = self.loop.spawn(self._gateway, priority=CONTROL, scope=self.scope)

        def _finish(self) -> None:
            pass

    def test(harness: PlatformHarness) -> None:
        while True:
            try:
                stream = harness.connect()
                break
            except ConnectionFailedError:
                harness.loop.sleep(MS)
        stream.send(b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n")
        assert harness.answer(stream)[0] == 200

    run(Starts, test)


def test_with_a_silent_discovery_the_last_known_list_serves_and_readiness_follows_the_grace():
    up = b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n"
    known = {"generation": 90, "reset": True, "instances": [instance(0)]}

    class Down(PlatformHarness):
        def _begin(self) -> None:
            self.discovery.responds = False
            super()._begin()

    def test(harness: PlatformHarness) -> None:
        assert harness.ask(up)[0] == 503
        assert harness.ask(call())[0] == 200
        harness.until(lambda: harness.ask(up)[0] == 200, GRACE)

    run(Down, test, known=known, settings=settings())
