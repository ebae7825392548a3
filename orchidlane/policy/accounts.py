"""Accounts: what a gateway knows of one customer's quota. Data types only; decisions are made elsewhere."""

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

    ``start`` is when the replica's incarnation started to count, in ticks of ``gossip_codec.TICK_MS``.
    """

    start: int
    value: float


NO_COUNT = ReplicaCount(-1, 0.0)  # compares less than any count of a replica


@dataclass(slots=True)
class Account:
    """One customer's quota: a G-counter with one count for each replica, and the limit on their sum."""

    customer: int
    key: AccountKey
    limit: float
    refilled_at_us: int
    replica_counts: dict[int, ReplicaCount] = field(default_factory=dict)
    counted_total: float = 0.0  # growth of all counts, including counts of earlier incarnations
    spent_total: float = 0.0  # units known to be spent, from counts and from totals that peers reported
    recently_changed: tuple[int, ...] = ()  # replicas whose counts changed last, the latest at the end
    unconfirmed: bool = True  # no peer has reported this customer's count yet
    in_flight: int = 0
    peer_admissions_at_us: tuple[int, ...] = ()  # when this gateway learned of the latest admissions of peers
    announced_at_us: int = 0  # when the replica set was last notified that the quota is exhausted
    ceiling_tokens: float = 0.0  # units in this gateway's token bucket for the ceiling
    requested_tokens: float = 0.0  # tokens requested from the token owner and not yet granted
    exhausted: bool = False  # all requests are rejected until enough units have refilled

    @property
    def plan(self) -> int:
        """The plan's number."""
        return self.key.plan

    @property
    def replica_set_start(self) -> int:
        """The rank of the first gateway of its replica set."""
        return self.key.replica_set_start

    @property
    def replica_set_size(self) -> int:
        """The number of gateways in its replica set."""
        return self.key.replica_set_size

    @property
    def remaining(self) -> float:
        """The units that may still be spent: the limit minus the spent total."""
        return self.limit - self.spent_total
