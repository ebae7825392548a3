"""Accounts: what a gateway knows of one customer's quota. Nothing here decides anything."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple


class AccountKey(NamedTuple):
    """The plan of a customer and the replica set that serves it."""

    plan: int
    replica_set_start: int
    replica_set_size: int


class ReplicaCount(NamedTuple):
    """One replica's grow-only count of spent units; compared by start first, then by value.

    ``start`` is when the replica's incarnation began to count, in ticks of ``gossip_codec.TICK_MS``.
    """

    start: int
    value: float


NO_COUNT = ReplicaCount(-1, 0.0)  # less than any real count


@dataclass(slots=True)
class Account:
    """One customer's quota: a G-counter with one count for each replica, and the limit of their sum."""

    customer: int
    key: AccountKey
    limit: float
    refilled_at_us: int
    replica_counts: dict[int, ReplicaCount] = field(default_factory=dict)
    counted_total: float = 0.0  # growth of the counts, those of earlier incarnations included
    spent_total: float = 0.0  # all units known to be spent: the counts, and totals that peers reported
    recently_changed: tuple[int, ...] = ()  # replicas whose counts changed last, the latest at the end
    unconfirmed: bool = True  # no peer has reported on this customer yet
    in_flight: int = 0
    peer_admissions_at_us: tuple[int, ...] = ()  # when the latest admissions of peers became known
    announced_at_us: int = 0  # when the replica set was last notified that the quota is exhausted
    ceiling_tokens: float = 0.0  # units that the ceiling's token bucket holds here
    requested_tokens: float = 0.0  # tokens asked of the token owner and not yet granted
    exhausted: bool = False  # nearly all was spent: rejected until a good part has refilled

    @property
    def plan(self) -> int:
        """The plan's number."""
        return self.key.plan

    @property
    def replica_set_start(self) -> int:
        """The first gateway of its replica set."""
        return self.key.replica_set_start

    @property
    def replica_set_size(self) -> int:
        """How many gateways its replica set has."""
        return self.key.replica_set_size

    @property
    def remaining(self) -> float:
        """The limit less all that was spent."""
        return self.limit - self.spent_total
