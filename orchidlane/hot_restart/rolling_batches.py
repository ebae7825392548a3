"""Selects the gateways that may be upgraded together. No I/O.

A degraded new process is rolled back, but until then its gateway is at risk. Therefore the number of gateways
at risk at the same time is limited: to a share of all gateways, of each customer's replica set and of the
load, and to a number of zones. A customer's replica set is an arc of the ring of ranks: consecutive ranks
from any first one, as many as the plan's replica set size. So all sets are checked by the distances between
the ranks at risk, whatever the number of customers.

To find the largest batch within these limits is a packing problem. ``largest_batch`` tries several orders and
keeps the best result; ``benchmarks/roll.py`` compares it with ``batch_size_bound``.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

RING_STARTS = 8  # orders along the ring to try: one for each of fewer candidates than this, else 8 to 15


class Member(NamedTuple):
    """One gateway of the fleet."""

    rank: int
    zone: str
    load: float  # responses per second, or any other additive measure


class RiskLimits(NamedTuple):
    """How much may be at risk at the same time; a single gateway always may."""

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
    """Return whether these ranks may be at risk together.

    A single rank always may, since otherwise no upgrade could start.
    """
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
        _replica_sets_allow(ranks, size, min(set_size, size), _max_at_risk_of_set(limits, set_size))
        for set_size in fleet.replica_set_sizes
    )


def _max_at_risk_of_set(limits: RiskLimits, set_size: int) -> int:
    """Return how many members of a replica set of this size may be at risk at the same time."""
    return max(1, int(limits.replica_set_share * set_size))


def _replica_sets_allow(ranks: Sequence[int], size: int, set_size: int, max_at_risk: int) -> bool:
    """Return whether no arc of ``set_size`` ranks has more than ``max_at_risk`` of the sorted ``ranks``."""
    if len(ranks) <= max_at_risk:
        return True
    if set_size >= size:
        return False
    distances = (  # from each rank to the one that is ``max_at_risk`` places further round the ring
        ranks[(i + max_at_risk) % len(ranks)] + size * ((i + max_at_risk) // len(ranks)) - rank
        for i, rank in enumerate(ranks)
    )
    return min(distances) >= set_size


def largest_batch(
    fleet: Fleet, limits: RiskLimits, candidates: Sequence[int], at_risk: Iterable[int], max_size: int
) -> list[int]:
    """Return the largest batch of candidates that is found, given the ranks that are already at risk.

    Of batches of equal size the first is returned, so that the same fleet gives the same batch.
    """
    if not candidates:
        return []
    ranks_at_risk = set(at_risk)
    best: list[int] = []
    for order in _orders(fleet, candidates):
        batch = _pack(fleet, limits, order, ranks_at_risk, max_size)
        if len(batch) > len(best):
            best = batch
        if len(best) == max_size:
            break
    return best


def _orders(fleet: Fleet, candidates: Sequence[int]) -> list[list[int]]:
    """Return orders of the candidates to try.

    First, for each zone, an order with the gateways of that zone first, each part by increasing load. Then
    orders along the ring from several starting ranks, each with the gateways in the zone of its starting rank
    first.
    """
    members = fleet.members
    zones = sorted({members[rank].zone for rank in candidates})
    orders = [
        sorted(candidates, key=lambda rank: (members[rank].zone != zone, members[rank].load))
        for zone in zones
    ]
    step = max(1, len(candidates) // RING_STARTS)
    for start in range(0, len(candidates), step):
        first_zone = members[candidates[start]].zone
        ring = [*candidates[start:], *candidates[:start]]
        orders.append(sorted(ring, key=lambda rank: members[rank].zone != first_zone))
    return orders


def _pack(
    fleet: Fleet, limits: RiskLimits, order: Iterable[int], at_risk: set[int], max_size: int
) -> list[int]:
    """Add each rank of an order that is allowed together with those at risk and those added before."""
    batch: list[int] = []
    for rank in order:
        if len(batch) == max_size:
            break
        if is_allowed(fleet, limits, at_risk | {rank}):
            batch.append(rank)
            at_risk = at_risk | {rank}
    return batch


def batch_size_bound(fleet: Fleet, limits: RiskLimits) -> int:
    """Return an upper bound on the size of any batch.

    It is the least of the bounds by the number of gateways, replica sets, zones, and the lightest loads.
    """
    size = len(fleet.members)
    bounds = [max(1, int(limits.fleet_share * size))]
    for set_size in fleet.replica_set_sizes:
        max_at_risk = _max_at_risk_of_set(limits, set_size)
        bounds.append(max(1, size * max_at_risk // set_size) if set_size < size else max_at_risk)
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
