"""Batches of a rolling upgrade, checked against the replica sets of all customers."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane.hot_restart.rolling_batches import (
    Fleet,
    Member,
    RiskLimits,
    batch_size_bound,
    is_allowed,
    largest_batch,
)


def member_lists(max_size: int = 14) -> st.SearchStrategy[list[tuple[str, float]]]:
    return st.lists(st.tuples(st.sampled_from("abc"), st.floats(0, 100)), min_size=1, max_size=max_size)


@st.composite
def fleets(draw) -> tuple[Fleet, RiskLimits]:
    members = tuple(Member(rank, *member) for rank, member in enumerate(draw(member_lists())))
    set_sizes = tuple(draw(st.sets(st.integers(1, 8), max_size=3)))
    share = st.floats(0.05, 1.0)
    limits = RiskLimits(draw(share), draw(share), draw(st.integers(1, 3)), draw(share))
    return Fleet(members, set_sizes), limits


def is_allowed_by_every_set(fleet: Fleet, limits: RiskLimits, at_risk: set[int]) -> bool:
    """Return what ``is_allowed`` should return, found by checking each replica set by itself."""
    size = len(fleet.members)
    if len(at_risk) <= 1:
        return True
    for set_size in fleet.replica_set_sizes:
        for first in range(size):
            members = {(first + i) % size for i in range(min(set_size, size))}
            if len(members & at_risk) > max(1, int(limits.replica_set_share * set_size)):
                return False
    zones = {fleet.members[rank].zone for rank in at_risk}
    load = sum(fleet.members[rank].load for rank in sorted(at_risk))
    return (
        len(at_risk) <= limits.fleet_share * size
        and len(zones) <= limits.max_zones
        and load <= limits.load_share * fleet.load
    )


@given(fleets(), st.data())
def test_ranks_are_allowed_exactly_if_every_replica_set_allows_them(fleet_and_limits, data):
    fleet, limits = fleet_and_limits
    at_risk = data.draw(st.sets(st.integers(0, len(fleet.members) - 1)))
    assert is_allowed(fleet, limits, at_risk) == is_allowed_by_every_set(fleet, limits, at_risk)


@settings(max_examples=60)
@given(fleets())
def test_batch_is_allowed_and_no_larger_than_the_upper_bound(fleet_and_limits):
    fleet, limits = fleet_and_limits
    candidates = list(range(len(fleet.members)))
    batch = largest_batch(fleet, limits, candidates, (), len(candidates))
    assert 1 <= len(batch) <= batch_size_bound(fleet, limits)
    assert is_allowed_by_every_set(fleet, limits, set(batch))
    assert largest_batch(fleet, limits, candidates, (), 1) == batch[:1] or len(batch) > 1
    assert not set(largest_batch(fleet, limits, candidates[1:], [0], len(candidates))) & {0}
