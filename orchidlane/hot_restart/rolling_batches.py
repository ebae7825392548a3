"""Which gateways may be upgraded together. Decides without I/O.

A successor that turns out bad is taken back, but until then its gateway is at risk. So of all gateways, of
each customer's set, of the halls and of the load, only so much may be at risk at once. A customer's set is
an arc of the ring of ranks (``Plan.spread`` ranks from any first one), so that the check of all sets is a
check of the distances between the ranks at risk, whatever the number of customers.

The largest batch under such terms is a packing problem. ``largest`` tries a few orders and keeps the best;
how far it stays from the bound, ``at_most``, is measured in ``benchmarks/roll.py``.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

STARTS = 8  # ranks from which the ring is gone round, at most


class Member(NamedTuple):
    """One gateway of the fleet."""

    rank: int
    hall: str
    load: float  # answers a second, or any other measure that adds up


class Limits(NamedTuple):
    """How much may be at risk at once; a single gateway always may."""

    share: float = 0.25  # of all gateways
    set_share: float = 0.5  # of the members of any customer's set
    halls: int = 1
    load: float = 0.34  # of what all gateways carry


class Fleet(NamedTuple):
    """All gateways by rank, and the sizes that customers' sets have."""

    members: tuple[Member, ...]
    spreads: tuple[int, ...]

    @property
    def load(self) -> float:
        """What all gateways carry."""
        return sum(member.load for member in self.members)


def _sets_hold(ranks: Sequence[int], size: int, spread: int, most: int) -> bool:
    """Whether no arc of ``spread`` ranks has more than ``most`` of them; ``ranks`` in order."""
    if len(ranks) <= most:
        return True
    if spread >= size:
        return False
    beyond = (
        ranks[(i + most) % len(ranks)] + size * ((i + most) // len(ranks)) - rank
        for i, rank in enumerate(ranks)
    )
    return min(beyond) >= spread


def allowed(fleet: Fleet, limits: Limits, at_risk: Iterable[int]) -> bool:
    """Whether these gateways may be at risk together. One alone always may, or nothing could ever be done."""
    ranks = sorted(at_risk)
    if len(ranks) <= 1:
        return True
    size = len(fleet.members)
    if (
        len(ranks) > limits.share * size
        or sum(fleet.members[r].load for r in ranks) > limits.load * fleet.load
    ):
        return False
    if len({fleet.members[rank].hall for rank in ranks}) > limits.halls:
        return False
    return all(
        _sets_hold(ranks, size, min(spread, size), max(1, int(limits.set_share * spread)))
        for spread in fleet.spreads
    )


def _packed(fleet: Fleet, limits: Limits, order: Iterable[int], risk: set[int], most: int) -> list[int]:
    """As many of an order as fit beside those at risk, each taken where it fits."""
    found: list[int] = []
    for rank in order:
        if len(found) == most:
            break
        if allowed(fleet, limits, risk | {rank}):
            found.append(rank)
            risk = risk | {rank}
    return found


def largest(
    fleet: Fleet, limits: Limits, wanted: Sequence[int], at_risk: Iterable[int], most: int
) -> list[int]:
    """The largest batch found of those wanted, of at most ``most``, beside those that are at risk already.

    Hall by hall, the least loaded first; then along the ring from a few starts. The first of the best orders
    wins, so that the same fleet gives the same batch.
    """
    risk, members = set(at_risk), fleet.members
    if not wanted:
        return []
    halls = sorted({members[rank].hall for rank in wanted})
    orders = [
        sorted(wanted, key=lambda rank: (members[rank].hall != hall, members[rank].load)) for hall in halls
    ]
    step = max(1, len(wanted) // STARTS)
    for start in range(0, len(wanted), step):
        first, order = wanted[start], [*wanted[start:], *wanted[:start]]
        orders.append(sorted(order, key=lambda rank: members[rank].hall != members[first].hall))
    best: list[int] = []
    for order in orders:
        found = _packed(fleet, limits, order, risk, most)
        if len(found) > len(best):
            best = found
        if len(best) == most:
            break
    return best


def at_most(fleet: Fleet, limits: Limits) -> int:
    """A bound on any batch, whatever its order: by number, by sets, by halls and by the lightest loads."""
    size = len(fleet.members)
    bounds = [max(1, int(limits.share * size))]
    for spread in fleet.spreads:
        most = max(1, int(limits.set_share * spread))
        bounds.append(max(1, size * most // spread) if spread < size else most)
    halls: dict[str, int] = {}
    for member in fleet.members:
        halls[member.hall] = halls.get(member.hall, 0) + 1
    bounds.append(sum(sorted(halls.values())[-limits.halls :]))
    carried, fit = 0.0, 0
    for load in sorted(member.load for member in fleet.members):
        carried += load
        if carried > limits.load * fleet.load:
            break
        fit += 1
    bounds.append(max(1, fit))
    return min(bounds)
