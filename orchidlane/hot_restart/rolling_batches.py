"""Selects the gateways that may be upgraded together. No I/O.

A bad successor is rolled back, but until then its gateway is at risk. So what is at risk at once is bounded:
a share of all gateways, of each customer's replica set, of the load, and a number of zones. A customer's
replica set is an arc of the ring of ranks (``Plan.spread`` ranks from any first one), so that all sets are
checked by the distances between the ranks at risk, whatever the number of customers.

The largest batch within these limits is a packing problem. ``largest_batch`` tries a few orders and keeps the
best; ``benchmarks/roll.py`` compares it with ``batch_size_bound``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

MAX_RING_STARTS = 8  # ranks from which an order goes round the ring


class Member(NamedTuple):
    """One gateway of the fleet."""

    rank: int
    zone: str
    load: float  # answers per second, or any other measure that adds up


class RiskLimits(NamedTuple):
    """How much may be at risk at once; a single gateway always may."""

    fleet_share: float = 0.25  # of all gateways
    replica_set_share: float = 0.5  # of the members of any customer's replica set
    max_zones: int = 1
    load_share: float = 0.34  # of the load of all gateways


class Fleet(NamedTuple):
    """All gateways by rank, and the sizes of customers' replica sets."""

    members: tuple[Member, ...]
    replica_set_sizes: tuple[int, ...]

    @property
    def load(self) -> float:
        """Load of all gateways."""
        return sum(member.load for member in self.members)


def is_allowed(fleet: Fleet, limits: RiskLimits, at_risk: Iterable[int]) -> bool:
    """Return whether these ranks may be at risk together. One always may, or no upgrade could ever start."""
    ranks = sorted(at_risk)
    if len(ranks) <= 1:
        return True
    size = len(fleet.members)
    if len(ranks) > limits.fleet_share * size:
        return False
    if sum(fleet.members[rank].load for rank in ranks) > limits.load_share * fleet.load:
        return False
    if len({fleet.members[rank].zone for rank in ranks}) > limits.max_zones:
        return False
    return all(
        _replica_sets_allow(ranks, size, min(set_size, size), _max_of_set(limits, set_size))
        for set_size in fleet.replica_set_sizes
    )


def _max_of_set(limits: RiskLimits, set_size: int) -> int:
    return max(1, int(limits.replica_set_share * set_size))


def _replica_sets_allow(ranks: Sequence[int], size: int, set_size: int, max_of_set: int) -> bool:
    """Return whether no arc of ``set_size`` ranks has more than ``max_of_set`` of the sorted ``ranks``."""
    if len(ranks) <= max_of_set:
        return True
    if set_size >= size:
        return False
    distances = (
        ranks[(i + max_of_set) % len(ranks)] + size * ((i + max_of_set) // len(ranks)) - rank
        for i, rank in enumerate(ranks)
    )
    return min(distances) >= set_size


def largest_batch(
    fleet: Fleet, limits: RiskLimits, wanted: Sequence[int], at_risk: Iterable[int], max_size: int
) -> list[int]:
    """Return the largest batch found of the wanted ranks, beside those that are at risk already.

    The first of the best orders wins, so that the same fleet gives the same batch.
    """
    if not wanted:
        return []
    risk = set(at_risk)
    best: list[int] = []
    for order in _orders(fleet, wanted):
        batch = _pack(fleet, limits, order, risk, max_size)
        if len(batch) > len(best):
            best = batch
        if len(best) == max_size:
            break
    return best


def _orders(fleet: Fleet, wanted: Sequence[int]) -> list[list[int]]:
    """Return orders zone by zone, the least loaded first; then along the ring from a few starts."""
    members = fleet.members
    zones = sorted({members[rank].zone for rank in wanted})
    orders = [
        sorted(wanted, key=lambda rank: (members[rank].zone != zone, members[rank].load)) for zone in zones
    ]
    step = max(1, len(wanted) // MAX_RING_STARTS)
    for start in range(0, len(wanted), step):
        first_zone = members[wanted[start]].zone
        ring = [*wanted[start:], *wanted[:start]]
        orders.append(sorted(ring, key=lambda rank: members[rank].zone != first_zone))
    return orders


def _pack(
    fleet: Fleet, limits: RiskLimits, order: Iterable[int], at_risk: set[int], max_size: int
) -> list[int]:
    """Take each rank of an order that fits beside those at risk and those taken before."""
    batch: list[int] = []
    for rank in order:
        if len(batch) == max_size:
            break
        if is_allowed(fleet, limits, at_risk | {rank}):
            batch.append(rank)
            at_risk = at_risk | {rank}
    return batch


def batch_size_bound(fleet: Fleet, limits: RiskLimits) -> int:
    """Return an upper bound on the size of any batch: by number, replica sets, zones and lightest loads."""
    size = len(fleet.members)
    bounds = [max(1, int(limits.fleet_share * size))]
    for set_size in fleet.replica_set_sizes:
        max_of_set = _max_of_set(limits, set_size)
        bounds.append(max(1, size * max_of_set // set_size) if set_size < size else max_of_set)
    zone_sizes = Counter(member.zone for member in fleet.members)
    bounds.append(sum(sorted(zone_sizes.values())[-limits.max_zones :]))
    bounds.append(max(1, _count_lightest(fleet, limits)))
    return min(bounds)


def _count_lightest(fleet: Fleet, limits: RiskLimits) -> int:
    """Return how many of the least loaded gateways stay within the share of the load."""
    total = 0.0
    count = 0
    for load in sorted(member.load for member in fleet.members):
        total += load
        if total > limits.load_share * fleet.load:
            break
        count += 1
    return count
