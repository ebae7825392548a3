"""Totals of a simulated fleet: load of endpoints in slow start, and admissions over quota."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import pytest
from harness.constants import MS, SECOND
from harness.fleet_endpoints import FleetParameters
from harness.fleet_harness import Customer, SimulatedFleet

from orchidlane.policy import admission, endpoint_registry, gossip, quota, token_owner
from orchidlane.recording.reference_quota import ReferenceQuota

PLAN = {
    "beyondEarns": 0,
    "capDepth": 0,
    "capSlack": 0,
    "hardRate": 0,
    "open": 0,
    "overrunCost": 1,
    "pays": 1,
}
LARGE_PLANS = [{**PLAN, "name": "roomy", "perSecond": 1_000.0, "peakUnits": 4_000.0}]
EQUAL_CUSTOMERS = [Customer(0, 1.0)] * 50


def replace_endpoints(fleet: SimulatedFleet) -> None:
    """Replace 6 of 10 endpoints within 2 s, and restart gateways in the meantime."""
    leaving = fleet.endpoints[: fleet.parameters.endpoints * 6 // 10]
    for number, endpoint in enumerate(leaving):
        fleet.add_endpoint()
        fleet.loop.sleep(2 * SECOND // len(leaving))
        fleet.remove_endpoint(endpoint)
        if number % 2:
            fleet.restart_gateway(number % fleet.parameters.gateways)


def worst_excess(fleet: SimulatedFleet) -> float:
    """Return the largest excess of requests over the budget of any endpoint that was in slow start."""
    return max(
        fleet.parameters.worst_excess(endpoint) for endpoint in fleet.endpoints if endpoint.started_at_us
    )


@pytest.mark.parametrize("load", [0.6, 0.9])
@pytest.mark.parametrize("gateways", [5, 20, 30])
def test_endpoints_in_slow_start_are_not_overloaded_by_the_fleet(gateways, load):
    """The settings allow no more than an endpoint in slow start can serve (overload multiple 1)."""
    parameters = FleetParameters(gateways=gateways, endpoints=10, load=load, overload_multiple=1.0)
    fleet = SimulatedFleet(parameters, LARGE_PLANS, EQUAL_CUSTOMERS, seed=gateways).run(replace_endpoints)
    warming_up = [endpoint for endpoint in fleet.endpoints if endpoint.started_at_us]
    assert len(warming_up) == 6
    # With fewer requests no excess could be seen.
    assert all(len(endpoint.request_times_us) > 5 for endpoint in warming_up)
    assert worst_excess(fleet) <= 1.0
    assert fleet.statuses[200] > 0.5 * sum(fleet.statuses.values())


def test_the_check_detects_a_fleet_without_slow_start(monkeypatch):
    """Without slow start the same run exceeds the budget of an endpoint."""
    monkeypatch.setattr(endpoint_registry, "is_warm", lambda _state, _endpoint: True)
    parameters = FleetParameters(gateways=20, endpoints=10, load=0.9, overload_multiple=1.0)
    assert (
        worst_excess(SimulatedFleet(parameters, LARGE_PLANS, EQUAL_CUSTOMERS, seed=20).run(replace_endpoints))
        > 1.0
    )


@pytest.mark.parametrize("load", [0.9, 2.5])
def test_no_endpoint_is_overloaded_when_all_are_in_slow_start(load):
    """When a whole zone comes back, no warm endpoint takes the requests that the others cannot serve."""

    def replace_all_endpoints(fleet: SimulatedFleet) -> None:
        old_endpoints = list(fleet.endpoints)
        for _ in old_endpoints:
            fleet.add_endpoint()
        fleet.loop.sleep(100 * MS)
        for endpoint in old_endpoints:
            fleet.remove_endpoint(endpoint)

    parameters = FleetParameters(gateways=20, endpoints=6, load=load)
    assert (
        worst_excess(
            SimulatedFleet(parameters, LARGE_PLANS, EQUAL_CUSTOMERS, seed=3).run(replace_all_endpoints)
        )
        <= 1.0
    )


SMALL_PLANS = [
    {**PLAN, "name": "small", "perSecond": 1.0, "peakUnits": 5.0},
    {**PLAN, "name": "large", "perSecond": 6.0, "peakUnits": 12.0, "overrunCost": 0.8, "pays": 1.6},
]
# Plan and requests a second of each customer: most use less than half of their quota, some nearly all of it,
# and some far more.
UNEQUAL_CUSTOMERS = [
    *[Customer(0, 0.4)] * 30,
    *[Customer(0, 0.95)] * 6,
    *[Customer(0, 3.0)] * 4,
    *[Customer(1, 2.4)] * 8,
    *[Customer(1, 5.6)] * 2,
    Customer(1, 18.0),
]
POLICY_DELAY_US = SECOND  # lag after which the reference policy sees the exact state


class DelayedExactPolicy:
    """Admits by the exact state of a customer's quota as it was ``POLICY_DELAY_US`` ago."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.delayed, self.exact = ReferenceQuota(rate, burst, now), ReferenceQuota(rate, burst, now)
        self._admitted_at_us: deque[int] = deque()

    def is_over_quota(self, now: int) -> bool | None:
        """Return whether a request is admitted over quota; None if it is rejected."""
        while self._admitted_at_us and self._admitted_at_us[0] <= now - POLICY_DELAY_US:
            self.delayed.consume(self._admitted_at_us.popleft(), 1.0)
        if self.delayed.available_at(now - POLICY_DELAY_US) < 1.0:
            return None
        if not self.exact.try_consume(now, 1.0):
            return True
        self._admitted_at_us.append(now)
        return False


class OverQuotaCosts(NamedTuple):
    """Costs of admissions over quota, as shares of the income within quotas."""

    measured: float  # of the simulated fleet
    delayed: float  # of the same requests with DelayedExactPolicy


def over_quota_costs(fleet: SimulatedFleet, start_us: int) -> OverQuotaCosts:
    """Return the costs of a fleet after its run."""
    income = measured = delayed = 0.0
    plans = [fleet.plans[customer.plan] for customer in fleet.customers]
    limits = [(plan["perSecond"], plan["peakUnits"], start_us) for plan in plans]
    admitted = [ReferenceQuota(*limit) for limit in limits]
    offered = [ReferenceQuota(*limit) for limit in limits]
    policies = [DelayedExactPolicy(*limit) for limit in limits]
    for now, customer in fleet.requests:
        price, charge = plans[customer]["pays"], plans[customer]["overrunCost"]
        income += price * offered[customer].try_consume(now, 1.0)
        delayed += price * charge * (policies[customer].is_over_quota(now) is True)
    for now, customer in fleet.servers.first_attempts:
        price, charge = plans[customer]["pays"], plans[customer]["overrunCost"]
        measured += price * charge * (not admitted[customer].try_consume(now, 1.0))
    return OverQuotaCosts(measured / income, delayed / income)


def run_without_faults(gateways: int) -> tuple[SimulatedFleet, OverQuotaCosts]:
    """Run a fleet with unequal customers and without faults; return it and its costs."""
    rate = sum(share for _, share in UNEQUAL_CUSTOMERS)
    parameters = FleetParameters(gateways=gateways, endpoints=10, load=rate / 800, duration_us=20 * SECOND)
    fleet = SimulatedFleet(parameters, SMALL_PLANS, UNEQUAL_CUSTOMERS, seed=gateways)
    start_us = fleet.loop.now()
    fleet.run(lambda _: None)
    return fleet, over_quota_costs(fleet, start_us)


@pytest.mark.parametrize("gateways", [5, 20, 30])
def test_over_quota_costs_are_close_to_those_of_a_delayed_exact_policy(gateways):
    fleet, costs = run_without_faults(gateways)
    assert costs.measured <= costs.delayed + 0.1, costs
    assert fleet.statuses[200] > 0.5 * sum(fleet.statuses.values()) > 500


def test_the_check_detects_a_fleet_without_gossip(monkeypatch):
    """Without gossip each gateway admits the whole quota of a customer."""
    monkeypatch.setattr(gossip, "peer_message_received", lambda _state, _event: None)
    monkeypatch.setattr(admission, "admits", admits_by_own_count)
    # Unreachable peers must not be detected either.
    monkeypatch.setattr(token_owner, "UNREACHABLE_SMOOTHING", 0.0)
    _, costs = run_without_faults(20)
    assert costs.measured > costs.delayed + 0.1, costs


def admits_by_own_count(state, event, account) -> bool:
    """Return whether the account alone admits the request, as on a gateway without peers."""
    quota.refill(state, account)
    return account.remaining >= event.units
