"""The gateway's pure parts: datagrams, the node list's order, the last look before a byte leaves."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidlane import policy
from orchidlane.gateway.control.endpoint_list import EndpointListTracker, WatchEventError
from orchidlane.gateway.forwarding.last_check import Leaving, why_not
from orchidlane.gateway.peers.datagrams import BODY_MOST, WINDOW, Inbox, seal

SECRET, NOW, SECOND = b"0123456789abcdef", 1_000_000_000, 1_000_000


def inbox(intake=1000.0) -> Inbox:
    return Inbox(SECRET, 0, 3, NOW, intake, 0)


def datagram(sequence=1, sender=1, receiver=0, life=NOW, body=b"hello", secret=SECRET) -> bytes:
    return seal(secret, sender, receiver, life, sequence, body)


def test_a_datagram_counts_once():
    box = inbox()
    assert box.take(NOW, datagram()) == (0, 1, b"hello")
    assert box.take(NOW, datagram()) is None
    assert box.refused == {"replay": 1}


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (datagram(secret=b"another secret!!"), "mac"),
        (datagram(receiver=2), "address"),
        (datagram(sender=0), "address"),
        (datagram(sender=7), "address"),
        (datagram(life=NOW + 3600 * SECOND), "clock"),
        (datagram()[:-1], "mac"),
        (datagram() + b"x" * BODY_MOST, "size"),
        (b"", "size"),
        (b"XX" + datagram()[2:], "format"),
    ],
)
def test_what_is_forged_misdirected_or_oversized_is_refused(data, reason):
    box = inbox()
    assert box.take(NOW, data) is None
    assert box.refused == {reason: 1}


def test_an_earlier_life_is_over_once_a_later_one_spoke():
    box = inbox()
    assert box.take(NOW, datagram(life=NOW, sequence=50))
    assert box.take(NOW, datagram(life=NOW + 5, sequence=1))
    assert box.take(NOW, datagram(life=NOW, sequence=51)) is None


def test_the_intake_is_bounded_and_refills():
    box = inbox(intake=10.0)
    taken = [box.take(NOW, datagram(sequence=n)) for n in range(30)]
    assert sum(one is not None for one in taken) == 10
    assert box.take(NOW + SECOND, datagram(sequence=40)) is not None


@given(st.lists(st.integers(1, 3 * WINDOW), max_size=60))
def test_each_number_counts_at_most_once_in_any_order(numbers):
    box = inbox()
    taken = [n for n in numbers if box.take(NOW, datagram(sequence=n))]
    assert len(taken) == len(set(taken))
    latest = 0
    for number in numbers:
        if number > latest - WINDOW and number not in taken:
            assert number <= latest - WINDOW + 1 or number in taken
        latest = max(latest, number)


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
