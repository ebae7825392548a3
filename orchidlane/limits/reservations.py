"""Grants of one gateway that can be undone: reservations, refundable grants, and credits.

Spent counts only grow, so refunded units become a credit at the gateway that granted them: a later request of
the same customer at that gateway is paid from the credit and not counted again. The usable credit is limited
to the free capacity of an exact token bucket (the burst minus the remaining units), since a full bucket
discards what is returned to it.

Each grant is owned by one gateway, so at most one of commit, release, refund and expiry succeeds. A restart
loses grants and credits: their units stay counted, so the customer has fewer units and never more than the
quota.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple


class GrantOutcome(Enum):
    """The outcome of a command on a grant; the values are sent between gateways."""

    DONE = "done"
    ALREADY_DONE = "done before"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


class GrantStoreFullError(Exception):
    """The store holds its maximum number of grants."""


class CreditRow(NamedTuple):
    """A credit as plain values, to pass to another process."""

    customer: int
    units: float
    expires_at_us: int


@dataclass(slots=True)
class _Grant:
    customer: int
    units: float
    expires_at_us: int
    reserved: bool  # a reservation, refunded when it expires
    outcome: GrantOutcome | None = None  # None while the grant can be committed, released or refunded


@dataclass(slots=True)
class _Credit:
    units: float
    expires_at_us: int


class GrantStore:
    """Grants and credits of one gateway, at most ``max_grants`` of each; times are in microseconds."""

    def __init__(self, max_grants: int, grant_lifetime_us: int, credit_lifetime_us: int) -> None:
        self.max_grants = max_grants
        self.grant_lifetime_us = grant_lifetime_us
        self.credit_lifetime_us = credit_lifetime_us
        # Names of changed grants, collected while an observer has set this.
        self.changed_names: dict[Hashable, None] | None = None
        self._grants: dict[bytes, _Grant] = {}
        self._expiries: list[tuple[int, bytes]] = []  # heap of expiry or removal time, and name
        self._credits: OrderedDict[int, _Credit] = OrderedDict()  # in the order of their expiry

    def __len__(self) -> int:
        return len(self._grants)

    def add_grant(
        self, now: int, name: bytes, customer: int, units: float, reserved_for_us: int | None = None
    ) -> None:
        """Store a grant; with ``reserved_for_us`` it is a reservation. Raises GrantStoreFullError."""
        if self.is_full(now):
            raise GrantStoreFullError(f"{self.max_grants} grants are remembered already")
        reserved = reserved_for_us is not None
        lifetime_us = self.grant_lifetime_us if reserved_for_us is None else reserved_for_us
        expires_at = now + lifetime_us
        self._grants[name] = _Grant(customer, units, expires_at, reserved)
        heapq.heappush(self._expiries, (expires_at, name))
        self._record_change(name)

    def is_full(self, now: int) -> bool:
        """Return whether no further grant can be stored."""
        self.expire(now)
        return len(self._grants) >= self.max_grants

    def commit(self, now: int, name: bytes, customer: int) -> GrantOutcome:
        """Commit a reservation: its units stay counted."""
        return self._end(now, name, customer, reserved=True, refund=False)

    def release(self, now: int, name: bytes, customer: int) -> GrantOutcome:
        """Release a reservation: its units are refunded."""
        return self._end(now, name, customer, reserved=True, refund=True)

    def refund(self, now: int, name: bytes, customer: int) -> GrantOutcome:
        """Refund the units of a grant that is not a reservation, at most once."""
        return self._end(now, name, customer, reserved=False, refund=True)

    def _end(self, now: int, name: bytes, customer: int, reserved: bool, refund: bool) -> GrantOutcome:
        grant = self._grants.get(name)
        self.expire(now)
        if grant is None or grant.customer != customer or grant.reserved != reserved:
            return GrantOutcome.UNKNOWN
        if grant.outcome is GrantOutcome.EXPIRED:
            return GrantOutcome.EXPIRED
        if grant.outcome is not None:
            return GrantOutcome.ALREADY_DONE
        if grant.expires_at_us <= now:
            return GrantOutcome.EXPIRED
        grant.outcome = GrantOutcome.DONE
        self._record_change(name)
        if refund:
            self._add_credit(now, grant)
        return GrantOutcome.DONE

    def expire(self, now: int) -> None:
        """Refund expired reservations, to be removed a grant lifetime later; remove other expired grants."""
        while self._expiries and self._expiries[0][0] <= now:
            _, name = heapq.heappop(self._expiries)
            grant = self._grants.get(name)
            if grant is None:
                continue
            if grant.outcome is None and grant.reserved:
                grant.outcome = GrantOutcome.EXPIRED
                self._record_change(name)
                self._add_credit(now, grant)
                heapq.heappush(self._expiries, (now + self.grant_lifetime_us, name))
            else:
                del self._grants[name]
                self._record_change(name)

    # Credits

    def credit(self, now: int, customer: int) -> float:
        """Return the customer's refunded units that are neither used nor expired."""
        credit = self._credits.get(customer)
        return credit.units if credit is not None and credit.expires_at_us > now else 0.0

    def pay_from_credit(self, now: int, customer: int, units: float, remaining: float, burst: float) -> bool:
        """Pay from the customer's credit if it covers all units; return whether it does.

        ``remaining`` is what the customer's quota has left of ``burst``, which limits the usable credit.
        """
        self.expire(now)
        usable = min(self.credit(now, customer), max(0.0, burst - remaining))
        if usable < units:
            return False
        self._credits[customer].units -= units
        return True

    def _add_credit(self, now: int, grant: _Grant) -> None:
        """Add a refund to the customer's credit; drop expired credits, and the oldest over ``max_grants``."""
        units = self.credit(now, grant.customer) + grant.units
        self._credits[grant.customer] = _Credit(units, now + self.credit_lifetime_us)
        self._credits.move_to_end(grant.customer)
        while len(self._credits) > self.max_grants or next(iter(self._credits.values())).expires_at_us <= now:
            self._credits.popitem(last=False)

    # Transfer to another process of this gateway (hot restart)

    def _record_change(self, name: bytes) -> None:
        if self.changed_names is not None:
            self.changed_names[name] = None

    def names(self) -> list[bytes]:
        """Return the names of all stored grants."""
        return list(self._grants)

    def row(self, name: bytes) -> list[object] | None:
        """Return a grant as plain values, or None if it is not stored."""
        grant = self._grants.get(name)
        if grant is None:
            return None
        outcome = grant.outcome.value if grant.outcome else ""
        return [name, grant.customer, grant.units, grant.expires_at_us, grant.reserved, outcome]

    def load(self, row: list[Any]) -> None:
        """Store a grant from its ``row``. Raises ValueError."""
        name, customer, units, expires_at, reserved, outcome_value = row
        outcome = GrantOutcome(outcome_value) if outcome_value else None
        self._grants[name] = _Grant(customer, units, expires_at, reserved, outcome)
        forget_at = expires_at + self.grant_lifetime_us if outcome is not None else expires_at
        heapq.heappush(self._expiries, (forget_at, name))

    def forget(self, name: bytes) -> None:
        """Remove a grant that the other process has removed."""
        self._grants.pop(name, None)

    def credits(self) -> list[CreditRow]:
        """Return all credits in the order of their expiry."""
        return [
            CreditRow(customer, credit.units, credit.expires_at_us)
            for customer, credit in self._credits.items()
        ]

    def replace_credits(self, rows: list[tuple[int, float, int]]) -> None:
        """Replace all credits by rows in the order that ``credits`` returns."""
        self._credits = OrderedDict(
            (customer, _Credit(units, expires_at)) for customer, units, expires_at in rows
        )

    def clear_credits(self) -> None:
        """Drop all credits, which another process now owns."""
        self._credits.clear()
