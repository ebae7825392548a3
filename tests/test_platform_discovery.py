"""Edge cases of the platform's endpoint list, over the simulated network."""

from __future__ import annotations

import json

import pytest
from harness.constants import MS, SECOND
from harness.platform_endpoints import run, serves
from harness.platform_harness import (
    DISCOVERY,
    Discovery,
    PlatformHarness,
    call,
    configuration,
    configuration_file,
    instance,
)

from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.platform.discovery import DiscoveryTracker
from orchidlane.runtime import CONTROL


def apply_list(tracker: DiscoveryTracker, generation: int, *instances, reset: bool = False):
    return tracker.apply_line(
        json.dumps({"generation": generation, "reset": reset, "instances": list(instances)}).encode()
    )


def test_stale_events_never_make_an_endpoint_ready_again():
    tracker = DiscoveryTracker(("hall-1",))
    apply_list(tracker, 40, instance(1), instance(2), reset=True)
    assert apply_list(tracker, 41, instance(1, "leaving")) is not None
    assert apply_list(tracker, 41, instance(1)) is None
    assert apply_list(tracker, 39, instance(1)) is None
    # The complete list of a discovery service that lags behind
    event = apply_list(tracker, 12, instance(1), instance(3), reset=True)
    assert [entry.endpoint for entry in event.entries] == [b"s-3"]
    assert tracker.state(b"s-1") == "draining"
    assert apply_list(tracker, 13, instance(2, "left")) is not None
    assert tracker.state(b"s-2") == "gone"


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"[]",
        b'{"generation":1,"reset":true}',
        json.dumps({"generation": 1, "reset": True, "instances": [instance(1, "odd")]}).encode(),
        json.dumps({"generation": 1, "reset": True, "instances": [instance(1, port=99999)]}).encode(),
        json.dumps({"generation": 1, "reset": True, "instances": [instance(1, startedAtMs=1e308)]}).encode(),
        b'{"generation":1,"reset":true,"instances":[],"x":' + b"[" * 100_000,
    ],
)
def test_an_invalid_line_is_rejected(line):
    with pytest.raises(WatchEventError):
        DiscoveryTracker(()).apply_line(line)


def test_a_silent_or_broken_watch_is_reopened_from_its_generation():
    def test(harness: PlatformHarness) -> None:
        harness.discovery.notify(5, instance(0, "leaving"))
        harness.loop.sleep(50 * MS)
        harness.discovery.first_events, harness.discovery.sends_heartbeats = [], False
        harness.discovery.streams.pop().abort()
        harness.until(lambda: len(harness.discovery.polls) == 2)
        harness.until(lambda: len(harness.discovery.polls) == 3)  # this watch received no heartbeat
        assert [b"from=5" in head for head in harness.discovery.polls] == [False, True, True]
        assert harness.gateway.tracker.state(b"s-0") == "draining"

    run(serves, test=test)


def test_endpoints_that_are_gone_leave_no_state():
    def test(harness: PlatformHarness) -> None:
        for generation in range(2, 400):
            gone, new = instance(generation - 2, "left"), instance(generation - 1, port=9000, cell=generation)
            harness.discovery.notify(generation, gone, new)
            harness.loop.sleep(2 * MS)
            client = f"{generation:016x}"
            assert harness.ask(call(client=client))[0] == 200
        harness.loop.sleep(3 * SECOND)
        gateway, policy_gateway = harness.gateway, harness.gateway.policy_driver.gateway
        assert (
            len(gateway.tracker.endpoints),
            len(gateway.tracker.addresses),
            gateway.pool.open_connections,
        ) == (
            1,
            1,
            1,
        )
        tables = [
            policy_gateway.endpoints,
            policy_gateway.cell_pools,
            policy_gateway.slow_start_queue,
            policy_gateway.attempts,
            policy_gateway.requests,
            gateway.clients.in_flight,
        ]
        assert [len(table) for table in tables] == [1, 1, 0, 0, 0, 0]

    run(serves, test=test)


def test_a_reload_switches_discovery_and_ignores_an_invalid_file():
    def test(harness: PlatformHarness) -> None:
        new_discovery = Discovery(harness, (DISCOVERY[0], 8501))
        new_discovery.first_events = [
            {"generation": 9, "reset": True, "instances": [instance(0, "leaving"), instance(1)]}
        ]
        harness.scope.spawn(new_discovery.serve, priority=CONTROL)
        harness.backend.write_file("config.json", b"{")
        harness.gateway.reload()
        assert len(harness.discovery.polls) == 1
        harness.backend.write_file(
            "config.json", json.dumps(configuration_file(discovery="127.0.0.1:8501")).encode()
        )
        harness.gateway.reload()
        harness.until(lambda: new_discovery.polls, 50 * MS)
        harness.until(lambda: harness.gateway.tracker.state(b"s-0") == "draining", 50 * MS)
        assert harness.ask(call())[0] == 200

    assert run(serves, serves, test=test).seen[-1][0] == 1


def test_the_first_discovery_list_replaces_a_newer_last_known_list():
    last_known_list = {"generation": 90, "reset": True, "instances": []}
    assert configuration(known=last_known_list).last_known_list.generation == 90
    harness = run(serves, test=lambda _harness: None, known=last_known_list)
    assert harness.gateway.tracker.generation == 1
