"""The endpoint list: the order of watch events, and the cache."""

from __future__ import annotations

import msgspec
import pytest

from orchidlane import policy
from orchidlane.gateway.control.endpoint_list import EndpointListTracker, WatchEventError

NOW, SECOND = 1_000_000_000, 1_000_000


def line(kind="whole", version=1, epoch="e", after=0, **states) -> bytes:
    """Encode a watch event; ``states`` are endpoints' states by name, "n" and the port."""
    entries = [
        {"address": f"127.0.0.1:{name[1:]}", "phase": state, "zone": "z", "cell": "c"}
        for name, state in states.items()
    ]
    return msgspec.json.encode(
        {"kind": kind, "epoch": epoch, "version": version, "after": after, "nodes": entries}
    )


def test_an_older_version_of_the_same_epoch_is_ignored():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=5, n1="draining"))
    assert tracker.apply_line(line(version=4, n1="ready")) is None
    assert tracker.state(b"127.0.0.1:1") == "draining"
    assert tracker.ignored_events == 1


def test_changes_after_a_gap_or_of_another_epoch_are_rejected():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=5, n1="ready"))
    with pytest.raises(WatchEventError):
        tracker.apply_line(line("changes", version=8, after=7, n1="draining"))
    with pytest.raises(WatchEventError):
        tracker.apply_line(line("changes", version=6, after=5, epoch="f", n1="draining"))


def test_a_complete_list_of_a_new_epoch_is_applied_with_a_lower_version():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=50, n1="ready", n2="ready"))
    listed = tracker.apply_line(line(version=1, epoch="f", n2="ready"))
    assert listed.kind is policy.EndpointListKind.COMPLETE
    assert tracker.state(b"127.0.0.1:1") == "gone"


def test_a_cached_list_is_loaded_and_a_truncated_one_is_not():
    tracker = EndpointListTracker("z", 10)
    tracker.apply_line(line(version=5, n1="ready", n2="draining"))
    restarted = EndpointListTracker("z", 10)
    assert restarted.load_cache(tracker.encode_cache()).kind is policy.EndpointListKind.CACHED
    assert restarted.state(b"127.0.0.1:2") == "draining"
    assert restarted.apply_line(line(version=2, n1="ready")) is not None
    for cut in range(len(tracker.encode_cache())):
        assert EndpointListTracker("z", 10).load_cache(tracker.encode_cache()[:cut]) is None


@pytest.mark.parametrize("text", [b"", b"{}", b"[1]", b'{"kind":"half"}', b"\xff", line(n1="asleep")])
def test_an_invalid_line_is_rejected(text):
    with pytest.raises(WatchEventError):
        EndpointListTracker("z", 10).apply_line(text)


def test_a_list_beyond_the_bound_is_rejected():
    with pytest.raises(WatchEventError, match="allowed: 1"):
        EndpointListTracker("z", 1).apply_line(line(n1="ready", n2="ready"))
