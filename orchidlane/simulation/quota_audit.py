"""Rule 5 and the use of quotas: compares the units granted over both protocols with one exact store."""

from __future__ import annotations

from typing import NamedTuple

from orchidlane.recording import ReferenceQuota
from orchidlane.simulation.audit_limits import AuditLimits
from orchidlane.simulation.observations import Arrival, QuotaAttempt, QuotaOutcome


class Grant(NamedTuple):
    """Units that were granted to a customer; grants are sorted by time, customer and units."""

    at: int
    customer: int
    units: float


def collect_grants(arrivals: list[Arrival], quota_attempts: list[QuotaAttempt]) -> list[Grant]:
    """Return the grants over both protocols, one for each HTTP attempt or idempotency token of a client."""
    grants: list[Grant] = []
    seen: set[str] = set()
    for arrival in arrivals:
        if arrival.client_attempt not in seen:
            seen.add(arrival.client_attempt)
            grants.append(Grant(arrival.at, arrival.customer, arrival.units))
    for attempt in quota_attempts:
        if attempt.outcome is QuotaOutcome.GRANTED and attempt.name not in seen:
            seen.add(attempt.name)
            grants.append(Grant(attempt.finished_at, attempt.customer, attempt.units))
    return sorted(grants)


def units_beyond_quota(grants: list[Grant], limits: AuditLimits) -> float:
    """Return the units that one exact store for each customer would not have granted.

    A grant that exceeds the tokens in a store takes none of them.
    """
    stores: dict[int, ReferenceQuota] = {}
    beyond = 0.0
    for at, customer, units in grants:
        quota = limits.quotas.get(customer)
        if quota is None or not quota.rate:
            continue
        store = stores.setdefault(customer, ReferenceQuota(quota.rate, quota.burst, at))
        if not store.try_consume(at, units):
            beyond += units
    return beyond


def worst_ceiling_ratio(grants: list[Grant], limits: AuditLimits) -> float:
    """Return by how many units a ceiling was exceeded at most, divided by the slack of that ceiling."""
    stores: dict[int, ReferenceQuota] = {}
    worst = 0.0
    for at, customer, units in grants:
        ceiling = limits.ceilings.get(customer)
        if ceiling is None:
            continue
        store = stores.setdefault(customer, ReferenceQuota(ceiling.rate, ceiling.burst, at))
        worst = max(worst, store.consume(at, units) / ceiling.slack)
    return worst
