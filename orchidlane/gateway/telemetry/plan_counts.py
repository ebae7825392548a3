"""Counts of the customers of each plan, from a gateway's saved state."""

from __future__ import annotations

import heapq
from collections import defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from orchidlane import policy, recording
from orchidlane.gateway.telemetry.policy_views import check_build
from orchidlane.policy import quota
from orchidlane.policy.accounts import Account
from orchidlane.policy.gateway import Gateway


class CustomerShare(NamedTuple):
    """A customer's remaining units, as a share of its burst."""

    share: float
    customer: int


@dataclass
class PlanCounts:
    """The counts of one plan's customers; ``spent`` and ``remaining`` are in units."""

    customers: int = 0
    spent: float = 0.0
    remaining: float = 0.0
    exhausted: int = 0  # customers who are rejected until enough units have refilled
    unconfirmed: int = 0  # customers whose count no other gateway has reported yet
    in_flight: int = 0  # attempts
    nearest_to_limit: list[CustomerShare] = field(default_factory=list)  # the smallest share first


def count_by_plan(reader: recording.SegmentReader, max_customers: int) -> dict[str, PlanCounts]:
    """Return each plan's counts by its name; the policy first refills the quotas up to the state's time.

    Each plan has at most ``max_customers`` customers nearest to their limit. Raises ViewError, FormatError.
    Memory does not grow with the number of customers.
    """
    header = reader.header
    check_build(header.build)
    gateway = _gateway_without_accounts(header)
    counters: dict[str, _PlanCounter] = defaultdict(lambda: _PlanCounter(max_customers))
    for row in reader.account_rows():
        account = recording.account_from_row(row)
        quota.refill(gateway, account)
        counters[header.plan_names[account.plan]].add(account, gateway.settings.plans[account.plan])
    return {plan: counter.result() for plan, counter in counters.items()}


def _gateway_without_accounts(header: recording.Header) -> Gateway:
    state = msgspec.structs.replace(
        header.state,
        accounts=[],
        requests=[],
        detached_attempts=[],
        idle_queue=[],
        pending_changes=[],
        exhausted_customers=[],
        exhaustion_notices=[],
        awaited_replies=[],
    )
    gateway = recording.restore_gateway(header.policy_settings(), state)
    gateway.now = header.written_at_us
    return gateway


class _PlanCounter:
    """Sums up the accounts of one plan."""

    def __init__(self, max_customers: int) -> None:
        self._max_customers = max_customers
        self._counts = PlanCounts()
        # A heap of negated shares and customers; its first entry is the customer farthest from its limit.
        self._nearest: list[tuple[float, int]] = []

    def add(self, account: Account, plan: policy.Plan) -> None:
        """Add an account of the plan."""
        counts = self._counts
        counts.customers += 1
        counts.spent += account.spent_total
        counts.remaining += account.remaining
        counts.exhausted += account.exhausted
        counts.unconfirmed += account.unconfirmed
        counts.in_flight += account.in_flight
        share = account.remaining / plan.burst if plan.burst else 1.0
        heapq.heappush(self._nearest, (-share, -account.customer))
        if len(self._nearest) > self._max_customers:
            heapq.heappop(self._nearest)

    def result(self) -> PlanCounts:
        """Return the sums, with the customers nearest to their limits."""
        self._counts.nearest_to_limit = sorted(
            CustomerShare(-share, -customer) for share, customer in self._nearest
        )
        return self._counts
