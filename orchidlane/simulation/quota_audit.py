"""Rule 5, ceilings, and the use of quotas: what was granted over both protocols, against one exact store."""

from __future__ import annotations

from typing import NamedTuple

from orchidlane.recording import ReferenceQuota
from orchidlane.simulation.audit_limits import AuditLimits
from orchidlane.simulation.observations import Arrival, QuotaAttempt, QuotaOutcome


class Draw(NamedTuple):
    """Units that were granted to a customer; draws are sorted by time, customer and units."""

    at: int
    customer: int
    units: float


def collect_draws(arrivals: list[Arrival], quota_attempts: list[QuotaAttempt]) -> list[Draw]:
    """Return what was granted over both protocols, once for each client's attempt or token."""
    draws: list[Draw] = []
    seen: set[str] = set()
    for arrival in arrivals:
        if arrival.client_attempt not in seen:
            seen.add(arrival.client_attempt)
            draws.append(Draw(arrival.at, arrival.customer, arrival.units))
    for attempt in quota_attempts:
        if attempt.outcome is QuotaOutcome.GRANTED and attempt.name not in seen:
            seen.add(attempt.name)
            draws.append(Draw(attempt.ended_at, attempt.customer, attempt.units))
    return sorted(draws)


def units_beyond_quota(draws: list[Draw], limits: AuditLimits) -> float:
    """Return the units that one exact store for each customer would not have granted.

    A draw that a store does not grant takes nothing from it.
    """
    stores: dict[int, ReferenceQuota] = {}
    beyond = 0.0
    for at, customer, units in draws:
        quota = limits.quotas.get(customer)
        if quota is None or not quota.rate:
            continue
        store = stores.setdefault(customer, ReferenceQuota(quota.rate, quota.burst, at))
        if not store.try_consume(at, units):
            beyond += units
    return beyond


def worst_ceiling_ratio(draws: list[Draw], limits: AuditLimits) -> float:
    """Return the deepest that the store of any ceiling was overdrawn, divided by the allowed slack."""
    stores: dict[int, ReferenceQuota] = {}
    worst = 0.0
    for at, customer, units in draws:
        ceiling = limits.ceilings.get(customer)
        if ceiling is None:
            continue
        store = stores.setdefault(customer, ReferenceQuota(ceiling.rate, ceiling.burst, at))
        worst = max(worst, store.consume(at, units) / ceiling.slack)
    return worst
