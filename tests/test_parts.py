"""The gateway's pure parts: the node list's order, the last look before a byte leaves."""

from __future__ import annotations

import msgspec
import pytest

from orchidlane import policy
from orchidlane.gateway.control.endpoint_list import EndpointListTracker, WatchEventError
from orchidlane.gateway.forwarding.last_check import Leaving, why_not

NOW, SECOND = 1_000_000_000, 1_000_000


# The node list


def line(kind="whole", version=1, epoch="e", after=0, **phases) -> bytes:
    nodes = [
        {"address": f"127.0.0.1:{name[1:]}", "phase": phase, "zone": "z", "cell": "c"}
        for name, phase in phases.items()
    ]
    return msgspec.json.encode(
        {"kind": kind, "epoch": epoch, "version": version, "after": after, "nodes": nodes}
    )


def test_an_older_version_of_the_same_epoch_is_passed_over():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=5, n1="draining"))
    assert tracker.apply_line(line(version=4, n1="ready")) is None
    assert tracker.state(b"127.0.0.1:1") == "draining"
    assert tracker.ignored_events == 1


def test_changes_with_a_gap_or_of_another_epoch_ask_for_the_whole_list():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=5, n1="ready"))
    with pytest.raises(WatchEventError):
        tracker.apply_line(line("changes", version=8, after=7, n1="draining"))
    with pytest.raises(WatchEventError):
        tracker.apply_line(line("changes", version=6, after=5, epoch="f", n1="draining"))


def test_a_whole_list_of_a_new_epoch_counts_though_its_version_is_lower():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=50, n1="ready", n2="ready"))
    listed = tracker.apply_line(line(version=1, epoch="f", n2="ready"))
    assert listed.kind is policy.EndpointListKind.COMPLETE
    assert tracker.state(b"127.0.0.1:1") == "gone"


def test_a_kept_list_is_read_again_and_a_spoilt_one_is_not():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=5, n1="ready", n2="draining"))
    again = EndpointListTracker("z", 10)
    assert again.load_cache(tracker.encode_cache()).kind is policy.EndpointListKind.CACHED
    assert again.state(b"127.0.0.1:2") == "draining"
    assert again.apply_line(line(version=2, n1="ready")) is not None
    for cut in range(len(tracker.encode_cache())):
        assert EndpointListTracker("z", 10).load_cache(tracker.encode_cache()[:cut]) is None


@pytest.mark.parametrize("text", [b"", b"{}", b"[1]", b'{"kind":"half"}', b"\xff", line(n1="asleep")])
def test_what_is_no_line_is_refused(text):
    with pytest.raises(WatchEventError):
        EndpointListTracker("z", 10).apply_line(text)


def test_a_list_beyond_the_bound_is_refused():
    with pytest.raises(WatchEventError, match="allowed: 1"):
        EndpointListTracker("z", 1).apply_line(line(n1="ready", n2="ready"))


# The last look


def leaving(**changes) -> Leaving:
    values = {
        "phase": "ready",
        "give_up_at": NOW + SECOND,
        "effect": policy.Idempotency.IDEMPOTENT_WITH_KEY,
        "window": SECOND,
        "first_left": None,
        "client_left": False,
    }
    return Leaving(**(values | changes))


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({}, None),
        ({"give_up_at": NOW}, "deadline"),
        ({"phase": "draining"}, "draining"),
        ({"phase": "gone"}, "gone"),
        ({"first_left": NOW - SECOND // 2}, None),
        ({"first_left": NOW - SECOND}, "window"),
        ({"first_left": NOW - SECOND, "effect": policy.Idempotency.IDEMPOTENT}, None),
        ({"first_left": NOW, "effect": policy.Idempotency.NOT_IDEMPOTENT}, "unsafe"),
        ({"client_left": True}, "client"),
        ({"client_left": True, "first_left": NOW - SECOND // 2}, "client"),
    ],
)
def test_what_broke_a_rule_meanwhile_does_not_leave(changes, why):
    assert why_not(NOW, leaving(**changes)) == why
