"""Sums over a simulated fleet: load of hosts in slow start, and admissions over quota."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

import pytest
from harness.constants import MS, SECOND
from harness.fleet_harness import Customer, SimulatedFleet
from harness.fleet_hosts import FleetTerms

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


def replace_hosts(fleet: SimulatedFleet) -> None:
    """Replace six in ten hosts within two seconds, and kill and restart gateways meanwhile."""
    leaving = fleet.hosts[: fleet.terms.hosts * 6 // 10]
    for number, host in enumerate(leaving):
        fleet.add_host()
        fleet.loop.sleep(2 * SECOND // len(leaving))
        fleet.remove_host(host)
        if number % 2:
            fleet.restart_gateway(number % fleet.terms.gateways)


def worst_excess(fleet: SimulatedFleet) -> float:
    """Return the worst excess of requests over the budget of any host in slow start."""
    return max(fleet.terms.worst_excess(host) for host in fleet.hosts if host.started_at_us)


@pytest.mark.parametrize("load", [0.6, 0.9])
@pytest.mark.parametrize("gateways", [5, 20, 30])
def test_hosts_in_slow_start_are_not_overloaded_by_the_fleet(gateways, load):
    """Even if the settings allow no more than a host in slow start can serve."""
    terms = FleetTerms(gateways=gateways, hosts=10, load=load, overload_multiple=1.0)
    fleet = SimulatedFleet(terms, LARGE_PLANS, EQUAL_CUSTOMERS, seed=gateways).run(replace_hosts)
    cold = [host for host in fleet.hosts if host.started_at_us]
    assert len(cold) == 6
    assert all(len(host.request_times_us) > 5 for host in cold)  # else the test shows nothing
    assert worst_excess(fleet) <= 1.0
    assert fleet.statuses[200] > 0.5 * sum(fleet.statuses.values())


def test_the_check_detects_a_fleet_without_slow_start(monkeypatch):
    """Without the ramp the same run fails the check."""
    monkeypatch.setattr(endpoint_registry, "is_warm", lambda _state, _endpoint: True)
    terms = FleetTerms(gateways=20, hosts=10, load=0.9, overload_multiple=1.0)
    assert worst_excess(SimulatedFleet(terms, LARGE_PLANS, EQUAL_CUSTOMERS, seed=20).run(replace_hosts)) > 1.0


@pytest.mark.parametrize("load", [0.9, 2.5])
def test_no_host_is_overloaded_when_all_are_in_slow_start(load):
    """As when a zone returns: no warm host takes what the others cannot serve."""

    def replace_all_hosts(fleet: SimulatedFleet) -> None:
        old_hosts = list(fleet.hosts)
        for _ in old_hosts:
            fleet.add_host()
        fleet.loop.sleep(100 * MS)
        for host in old_hosts:
            fleet.remove_host(host)

    terms = FleetTerms(gateways=20, hosts=6, load=load)
    assert (
        worst_excess(SimulatedFleet(terms, LARGE_PLANS, EQUAL_CUSTOMERS, seed=3).run(replace_all_hosts))
        <= 1.0
    )


SMALL_PLANS = [
    {**PLAN, "name": "small", "perSecond": 1.0, "peakUnits": 5.0},
    {**PLAN, "name": "large", "perSecond": 6.0, "peakUnits": 12.0, "overrunCost": 0.8, "pays": 1.6},
]
# Customers by plan and requests a second: most use under half of their quota, some nearly all, some far more
UNEQUAL_CUSTOMERS = [
    *[Customer(0, 0.4)] * 30,
    *[Customer(0, 0.95)] * 6,
    *[Customer(0, 3.0)] * 4,
    *[Customer(1, 2.4)] * 8,
    *[Customer(1, 5.6)] * 2,
    Customer(1, 18.0),
]
POLICY_DELAY_US = SECOND  # after it the reference policy sees the exact state


class DelayedExactPolicy:
    """Admits by the exact state of a customer's quota, as it was some time ago."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.seen, self.true = ReferenceQuota(rate, burst, now), ReferenceQuota(rate, burst, now)
        self._admitted_at_us: deque[int] = deque()

    def is_over_quota(self, now: int) -> bool | None:
        """Return whether a request is admitted over quota; None where it is rejected."""
        while self._admitted_at_us and self._admitted_at_us[0] <= now - POLICY_DELAY_US:
            self.seen.draw(self._admitted_at_us.popleft(), 1.0)
        if self.seen.available_at(now - POLICY_DELAY_US) < 1.0:
            return None
        if not self.true.try_draw(now, 1.0):
            return True
        self._admitted_at_us.append(now)
        return False


class OverQuotaCosts(NamedTuple):
    """Costs of admissions over quota, as parts of the income within quotas."""

    measured: float
    delayed: float  # of the same requests under DelayedExactPolicy


def over_quota_costs(fleet: SimulatedFleet, start_us: int) -> OverQuotaCosts:
    """Return the costs of a fleet that has run."""
    income = measured = delayed = 0.0
    plans = [fleet.plans[customer.plan] for customer in fleet.customers]
    limits = [(plan["perSecond"], plan["peakUnits"], start_us) for plan in plans]
    admitted = [ReferenceQuota(*limit) for limit in limits]
    offered = [ReferenceQuota(*limit) for limit in limits]
    policies = [DelayedExactPolicy(*limit) for limit in limits]
    for now, customer in fleet.requests:
        price, charge = plans[customer]["pays"], plans[customer]["overrunCost"]
        income += price * offered[customer].try_draw(now, 1.0)
        delayed += price * charge * (policies[customer].is_over_quota(now) is True)
    for now, customer in fleet.servers.first_attempts:
        price, charge = plans[customer]["pays"], plans[customer]["overrunCost"]
        measured += price * charge * (not admitted[customer].try_draw(now, 1.0))
    return OverQuotaCosts(measured / income, delayed / income)


def run_without_faults(gateways: int) -> tuple[SimulatedFleet, OverQuotaCosts]:
    """Run a fleet of unequal customers; return it with its costs."""
    rate = sum(share for _, share in UNEQUAL_CUSTOMERS)
    terms = FleetTerms(gateways=gateways, hosts=10, load=rate / 800, duration_us=20 * SECOND)
    fleet = SimulatedFleet(terms, SMALL_PLANS, UNEQUAL_CUSTOMERS, seed=gateways)
    start_us = fleet.loop.now()
    fleet.run(lambda _: None)
    return fleet, over_quota_costs(fleet, start_us)


@pytest.mark.parametrize("gateways", [5, 20, 30])
def test_without_faults_over_quota_admissions_cost_little_more_than_with_a_delayed_exact_counter(gateways):
    fleet, costs = run_without_faults(gateways)
    assert costs.measured <= costs.delayed + 0.1, costs
    assert fleet.statuses[200] > 0.5 * sum(fleet.statuses.values()) > 500


def test_the_check_detects_a_fleet_without_gossip(monkeypatch):
    """Without gossip each gateway admits the whole quota."""
    monkeypatch.setattr(gossip, "peer_message_received", lambda _state, _event: None)
    monkeypatch.setattr(admission, "admits", admits_by_own_count)
    monkeypatch.setattr(token_owner, "UNREACHABLE_SMOOTHING", 0.0)  # nor are unreachable peers detected
    _, costs = run_without_faults(20)
    assert costs.measured > costs.delayed + 0.1, costs


def admits_by_own_count(state, event, account) -> bool:
    """Admit by the account alone, as a gateway without peers."""
    quota.refill(state, account)
    return account.remaining >= event.units
