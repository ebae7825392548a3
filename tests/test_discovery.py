"""Discovery: events are applied in time despite broken watches, stale lists and outages."""

from __future__ import annotations

import json

import pytest
from harness.constants import MS, SECOND
from harness.discovery_harness import drain_endpoint, is_drain_known, run, timeout_us, trickle
from harness.platform_harness import (
    Discovery,
    PlatformHarness,
    RealPlatformHarness,
    call,
    configuration_file,
    instance,
    serve_every_request,
    settings,
)

from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.platform import polling
from orchidlane.platform.discovery import MAX_ENDPOINTS, MIN_DEPARTED_REMEMBERED, DiscoveryTracker
from orchidlane.platform.polling import retry_interval_us
from orchidlane.runtime import CONTROL, ConnectionClosedError, ConnectionFailedError

WITH_BACKENDS = pytest.mark.parametrize("backend", [PlatformHarness, RealPlatformHarness])
DRAIN_GRACE_US = SECOND  # ``drainGrace`` in the settings of these tests
MAX_READY_US = 10 * SECOND  # by the platform's rules, for nine in ten gateways
READINESS_CHECK = b"GET /up HTTP/1.1\r\nHost: g\r\n\r\n"


# -- stale lists


def apply(tracker, generation, *instances, reset=False):
    """Apply a line of a watch."""
    line = {"generation": generation, "reset": reset, "instances": list(instances)}
    return tracker.apply_line(json.dumps(line).encode())


def test_an_older_list_does_not_bring_back_an_endpoint_that_left():
    tracker = DiscoveryTracker(("hall-1",))
    apply(tracker, 40, instance(1), instance(2), reset=True)
    apply(tracker, 41, instance(1, "left"))
    assert apply(tracker, 39, instance(1), instance(2), reset=True) is None
    assert apply(tracker, 40, instance(1)) is None  # changes to a stale list are stale, too
    assert tracker.state(b"s-1") == "gone"
    apply(tracker, 42, instance(1))
    assert tracker.state(b"s-1") == "ready"


def test_an_older_list_does_not_make_a_draining_endpoint_ready():
    tracker = DiscoveryTracker(("hall-1",))
    apply(tracker, 40, instance(1), instance(2), reset=True)
    apply(tracker, 45, instance(1, "leaving"))
    apply(tracker, 30, instance(1), instance(2), reset=True)
    assert apply(tracker, 31, instance(1), instance(2, "leaving")).entries[0].endpoint == b"s-2"
    assert (tracker.state(b"s-1"), tracker.state(b"s-2")) == ("draining", "draining")
    apply(tracker, 32, instance(1, startedAtMs=5))  # it has restarted since
    assert tracker.state(b"s-1") == "ready"


def test_a_complete_list_removes_the_endpoints_that_it_omits():
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


def test_changes_beyond_the_maximum_size_are_rejected_without_effect():
    tracker = DiscoveryTracker(("hall-1",))
    apply(tracker, 1, *(instance(number) for number in range(MAX_ENDPOINTS)), reset=True)
    with pytest.raises(WatchEventError):
        apply(tracker, 2, instance(0, "leaving"), instance(MAX_ENDPOINTS))
    assert (tracker.generation, tracker.state(b"s-0"), len(tracker.endpoints)) == (1, "ready", MAX_ENDPOINTS)


# -- broken watches


TRICKLED_PIECES = {
    "trickles": b" ",
    "trickles an object": b'{"g"',
    "trickles lines of an object": b"{\n",
}


@WITH_BACKENDS
@pytest.mark.parametrize("kind", ["silent", *TRICKLED_PIECES])
def test_events_missed_by_a_broken_watch_arrive_by_their_deadline(backend, kind):
    def test(harness: PlatformHarness) -> None:
        harness.discovery.sends_heartbeats = False
        harness.discovery.send(harness.discovery.streams[0], b"\n")  # the last heartbeat of this watch
        started_at = harness.loop.now()
        if kind != "silent":
            harness.scope.spawn(trickle, harness, TRICKLED_PIECES[kind])
        drain_endpoint(harness)
        harness.until(lambda: is_drain_known(harness), timeout_us(harness, polling.NOTIFICATION_DEADLINE_US))
        assert len(harness.discovery.polls) == 2
        assert harness.loop.now() - started_at < timeout_us(harness, polling.NOTIFICATION_DEADLINE_US)

    run(backend, test)


@WITH_BACKENDS
def test_a_watch_that_is_reset_is_reopened_at_once(backend):
    def test(harness: PlatformHarness) -> None:
        harness.loop.sleep(
            polling.HEARTBEAT_INTERVAL_US
        )  # a watch is replaced at once if it lasted for an interval
        drain_endpoint(harness)
        harness.discovery.streams[0].abort()
        harness.until(lambda: is_drain_known(harness), timeout_us(harness, DRAIN_GRACE_US // 2))

    run(backend, test)


@pytest.mark.parametrize("grace_ms", [200, 400, 500, 1_000, 2_000])
@pytest.mark.parametrize("changes_per_grace", [0.3, 0.9, 2, 9])
def test_drains_are_known_within_the_grace_while_each_change_ends_the_watch(grace_ms, changes_per_grace):
    """Guards against a pause between short watches in which draining endpoints still get requests."""
    interval_us = int(grace_ms * MS / changes_per_grace)
    waits_us = []

    def await_drain(harness: PlatformHarness, index: int) -> None:
        drained_at = harness.loop.now()
        while harness.gateway.tracker.state(b"s-%d" % index) != "draining":
            harness.loop.sleep(1 * MS)
        waits_us.append(harness.loop.now() - drained_at)

    def test(harness: PlatformHarness) -> None:
        for index in range(1, 25):
            entry = harness.instance(index, "leaving")
            newest = {"generation": 1 + index, "reset": False, "instances": [entry]}
            harness.discovery.first_events = [*harness.discovery.first_events, newest]
            harness.discovery.end_watches()
            harness.scope.spawn(await_drain, harness, index)
            harness.loop.sleep(interval_us)
        harness.until(lambda: len(waits_us) == 24)
        assert max(waits_us) <= retry_interval_us(grace_ms * MS) + 5 * MS

    rules = {**settings()["rules"], "drainGrace": grace_ms * MS}
    run(PlatformHarness, test, settings=settings(rules=rules))


@WITH_BACKENDS
def test_a_watch_with_heartbeats_alone_stays_open(backend):
    def test(harness: PlatformHarness) -> None:
        harness.loop.sleep(3 * polling.HEARTBEAT_INTERVAL_US)
        assert len(harness.discovery.polls) == 1
        assert len(harness.gateway.http_server.connections) == 0

    run(backend, test)


@WITH_BACKENDS
def test_an_indented_list_is_applied(backend):
    def test(harness: PlatformHarness) -> None:
        line = {"generation": 5, "reset": False, "instances": [harness.instance(0, "leaving")]}
        harness.discovery.send(harness.discovery.streams[0], line, indent=2)
        harness.until(lambda: is_drain_known(harness))
        assert len(harness.discovery.polls) == 1

    run(backend, test)


@WITH_BACKENDS
@pytest.mark.parametrize("outage", ["accepts polls and is silent", "refuses"])
def test_events_after_an_outage_are_applied_within_the_drain_grace(backend, outage):
    """The polls that discovery accepted during its outage get no response after it, either."""

    def test(harness: PlatformHarness) -> None:
        discovery = harness.discovery
        if outage == "refuses":
            discovery.listener.close()
        discovery.responds = False
        for stream in discovery.streams:
            stream.abort()
        harness.loop.sleep(4 * SECOND)
        assert (
            isinstance(harness, RealPlatformHarness)
            or len(discovery.polls_without_response) <= 4 * SECOND // retry_interval_us(DRAIN_GRACE_US) + 1
        )
        drain_endpoint(harness)
        discovery.responds = True
        if outage == "refuses":
            harness.scope.spawn(discovery.serve, priority=CONTROL)
        harness.until(lambda: is_drain_known(harness), timeout_us(harness, DRAIN_GRACE_US))

    run(backend, test)


@WITH_BACKENDS
def test_a_new_discovery_address_replaces_an_old_one_that_still_sends(backend):
    def test(harness: PlatformHarness) -> None:
        new_discovery = Discovery(harness, (harness.host, 8501))
        new_discovery.first_events = [
            {"generation": 9, "reset": True, "instances": [harness.instance(0, "leaving")]}
        ]
        new_discovery.responds = False
        harness.scope.spawn(new_discovery.serve, priority=CONTROL)
        moved = configuration_file(**{**harness.changes, "discovery": f"{harness.host}:8501"})
        harness.gateway.loop.backend.read_file = lambda _path: json.dumps(moved).encode()
        harness.gateway.reload()
        harness.until(lambda: new_discovery.polls)
        harness.discovery.notify(3, harness.instance(0, weight=2.0))  # still watched in the meantime
        harness.until(lambda: harness.gateway.tracker.generation == 3)
        new_discovery.responds = True
        harness.until(lambda: is_drain_known(harness), timeout_us(harness, DRAIN_GRACE_US))
        for stream in harness.discovery.streams:  # closed by the gateway, or its events are stale
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


@WITH_BACKENDS
@pytest.mark.parametrize(
    "invalid", [b"noise\n", b'{"generation":2}\n', b"{}}\n", b'{"generation":7,"reset":true\n}\n']
)
def test_an_invalid_list_is_ignored_and_the_next_valid_one_applied(backend, invalid, capsys):
    def test(harness: PlatformHarness) -> None:
        before = harness.gateway.tracker.endpoints.copy()
        harness.discovery.first_events = []
        for _ in range(3):
            harness.discovery.send(harness.discovery.streams[-1], invalid)
            count = len(harness.discovery.streams)
            harness.until(lambda count=count: len(harness.discovery.streams) > count)
        assert harness.gateway.tracker.endpoints == before
        assert harness.gateway.tracker.generation == 1
        valid = {"generation": 2, "reset": False, "instances": [harness.instance(0, "leaving")]}
        harness.discovery.send(harness.discovery.streams[-1], valid)
        harness.until(lambda: is_drain_known(harness))

    run(backend, test)
    assert capsys.readouterr().out.count("discovery:") <= 3


# -- readiness


@WITH_BACKENDS
def test_the_gateway_is_ready_once_discovery_has_responded(backend):

    def test(harness: PlatformHarness) -> None:
        assert harness.ask(READINESS_CHECK)[0] == 200
        harness.gateway._discovery_responded, harness.gateway._ready_without_discovery_at = (
            False,
            harness.loop.now() + 60 * SECOND,
        )
        assert harness.ask(READINESS_CHECK)[0] == 503
        harness.discovery.notify(2, harness.instance(0))
        harness.until(
            lambda: harness.ask(READINESS_CHECK)[0] == 200, timeout_us(harness, DRAIN_GRACE_US // 2)
        )

    run(backend, test)


@WITH_BACKENDS
def test_the_first_readiness_check_succeeds_if_discovery_responds_at_once(backend):
    class ConnectsDuringStartup(backend):
        def _start_gateway(self) -> None:
            self.until(lambda: self.discovery.listener is not None)
            self.process = self.loop.spawn(self._gateway, priority=CONTROL, owner=self.scope)

        def _kill_gateway(self) -> None:
            pass

    def test(harness: PlatformHarness) -> None:
        while True:
            try:
                stream = harness.connect()
                break
            except ConnectionFailedError:
                harness.loop.sleep(MS)
        stream.send(READINESS_CHECK)
        assert harness.answer(stream)[0] == 200

    run(ConnectsDuringStartup, test)


@pytest.mark.parametrize("outage_us", [200 * MS, 2 * SECOND, 8 * SECOND, 9_500 * MS, 30 * SECOND])
@pytest.mark.parametrize("grace_us", [300 * MS, DRAIN_GRACE_US, 5 * SECOND])
def test_a_gateway_that_starts_without_discovery_forwards_nothing_by_its_last_known_list(outage_us, grace_us):
    """Guards against requests to endpoints that drained before a restart during an outage (review/10)."""
    last_known_list = {"generation": 90, "reset": True, "instances": [instance(0), instance(1)]}
    current_list = {"generation": 91, "reset": True, "instances": [instance(0, "leaving"), instance(1)]}

    class SilentDiscovery(PlatformHarness):
        def _start_gateway(self) -> None:
            self.discovery.responds = False
            self.discovery.first_events = [current_list]
            super()._start_gateway()

    def test(harness: PlatformHarness) -> None:
        started_at = harness.loop.now()
        outage_end = started_at + outage_us
        while harness.loop.now() < outage_end:
            assert harness.ask(call())[0] == 503
            is_ready = harness.ask(READINESS_CHECK)[0] == 200
            assert is_ready == (harness.loop.now() >= harness.gateway._ready_without_discovery_at)
            harness.loop.sleep(min(50 * MS, outage_end - harness.loop.now()))
        assert not harness.seen
        harness.discovery.responds = True
        harness.until(lambda: harness.ask(call())[0] == 200, 2 * SECOND)
        assert harness.ask(READINESS_CHECK)[0] == 200
        for _ in range(50):
            harness.ask(call())
        assert {index for index, _ in harness.seen} == {1}

    rules = {**settings()["rules"], "drainGrace": grace_us}
    handlers = [serve_every_request] * 2
    run(SilentDiscovery, test, *handlers, known=last_known_list, settings=settings(rules=rules))


def test_without_discovery_the_gateway_is_ready_within_the_limit_of_the_platform():
    class SilentDiscovery(PlatformHarness):
        def _start_gateway(self) -> None:
            self.discovery.responds = False
            super()._start_gateway()

    def test(harness: PlatformHarness) -> None:
        harness.until(lambda: harness.ask(READINESS_CHECK)[0] == 200, MAX_READY_US)

    run(SilentDiscovery, test)
