"""Migration of customers to other replica sets: the shares never exceed the ceiling's token bucket."""

from __future__ import annotations

import dataclasses
import json

import pytest
from harness.constants import SECOND
from harness.policy_harness import CEILING_PLAN, SETTINGS, START_US, actions_of
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.rollout.compatibility import CustomerAssignment
from orchidlane.rollout.shard_migration import migration_files

GATEWAYS, REPLICA_SET_SIZE, CUSTOMER = 6, 3, 7
OLD_SET, SUSPENDED, NEW_SET = range(3)  # phases of a gateway in a migration
REPLICA_SET_START = {OLD_SET: 0, SUSPENDED: 3, NEW_SET: 3}


class MigratingFleet:
    """Six gateways in a migration of one customer with a ceiling, which requests quota at any of them."""

    def __init__(self, suspends_first: bool = True) -> None:
        plan = dataclasses.replace(CEILING_PLAN, rate=0.0, burst=0.0)
        self.now, self.suspends_first = START_US, suspends_first
        changes = {"replica_count": GATEWAYS, "plans": (plan,)}
        self.gateways = [
            Gateway(dataclasses.replace(SETTINGS, replica=rank, **changes), rank, self.now - 60 * SECOND)
            for rank in range(GATEWAYS)
        ]
        self.phases = [OLD_SET] * GATEWAYS
        self.plan = plan
        self.granted: list[tuple[int, float]] = []
        self.request_number = 0

    def adopt(self, rank: int) -> None:
        """Enter the next phase once all gateways have reached the present one.

        Without ``suspends_first``, enter the last phase at once.
        """
        if not self.suspends_first:
            self.phases[rank] = NEW_SET
        elif self.phases[rank] < NEW_SET and all(phase >= self.phases[rank] for phase in self.phases):
            self.phases[rank] += 1
            event = policy.ReplicaSetChanged(
                CUSTOMER, 0, REPLICA_SET_START[self.phases[rank]], REPLICA_SET_SIZE
            )
            self.gateways[rank].handle(self.now, event)

    def request_quota(self, rank: int, units: float) -> None:
        """Request quota at a gateway, unless the customer is suspended there."""
        if self.phases[rank] == SUSPENDED:
            return
        self.request_number += 1
        event = policy.QuotaRequested(
            self.request_number, CUSTOMER, 0, 0, units, REPLICA_SET_START[self.phases[rank]], REPLICA_SET_SIZE
        )
        if any(
            isinstance(action, policy.GrantQuota) for action in self.gateways[rank].handle(self.now, event)
        ):
            self.granted.append((self.now, units))

    def worst_excess(self) -> float:
        """Return by how many units at most the grants exceeded what one token bucket would have allowed."""
        remaining, refilled_at, worst = self.plan.ceiling_burst, START_US, 0.0
        for granted_at, units in self.granted:
            remaining = min(
                self.plan.ceiling_burst,
                remaining + self.plan.ceiling_rate * (granted_at - refilled_at) / SECOND,
            )
            remaining, refilled_at = remaining - units, granted_at
            worst = max(worst, -remaining)
        return worst


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["adopt", "request", "wait", "all adopt"]), st.integers(0, 5), st.integers(1, 4)
    ),
    max_size=60,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_shares_stay_within_the_ceiling_in_any_order_of_steps(steps):
    fleet = MigratingFleet()
    for action, rank, amount in steps:
        apply_step(fleet, action, rank, amount)
        assert fleet.worst_excess() < 1e-6, fleet.granted


def apply_step(fleet: MigratingFleet, action: str, rank: int, amount: int) -> None:
    """Let a gateway adopt its next phase or request quota, or let time pass."""
    if action == "adopt":
        fleet.adopt(rank)
    elif action == "all adopt":
        for each_rank in range(GATEWAYS):
            fleet.adopt(each_rank)
    elif action == "wait":
        fleet.now += amount * SECOND // 4
    else:
        fleet.request_quota(rank, float(amount))


def test_the_check_detects_shares_that_grow_before_others_shrink():
    """Without the phase in which the customer is suspended, both replica sets have all shares at once."""
    fleet = MigratingFleet(suspends_first=False)
    for rank in range(REPLICA_SET_SIZE):
        for _ in range(40):
            fleet.request_quota(rank, 0.5)
    for rank in range(GATEWAYS):
        fleet.adopt(rank)
        for _ in range(40):
            fleet.request_quota(rank, 0.5)
    assert fleet.worst_excess() > 0.5 * fleet.plan.ceiling_burst


def test_a_gateway_outside_the_replica_set_has_no_share_of_the_ceiling():
    fleet = MigratingFleet()
    for _ in range(10):
        fleet.request_quota(5, 1.0)
    assert fleet.granted == []
    event = policy.RequestArrived(99, CUSTOMER, 0, 0, 1.0, SECOND, 0, REPLICA_SET_SIZE, False)
    (rejection,) = actions_of(fleet.gateways[5].handle(fleet.now, event), policy.RejectRequest)
    assert rejection.over_quota
    assert rejection.retry_after_us == 0  # this gateway will never have quota, so there is no time to wait


def test_a_migrated_share_starts_empty_and_fills_at_its_rate():
    fleet = MigratingFleet()
    for rank in range(GATEWAYS):
        fleet.adopt(rank)
    for rank in range(GATEWAYS):
        fleet.adopt(rank)
    fleet.request_quota(3, 0.1)
    assert fleet.granted == []
    fleet.now += 10 * SECOND
    for rank in (3, 4, 5):
        for _ in range(40):
            fleet.request_quota(rank, 0.5)
    # The three shares hold the whole burst; in each, a remainder smaller than one request is not granted
    granted = sum(units for _, units in fleet.granted)
    assert fleet.plan.ceiling_burst - 1.5 <= granted <= fleet.plan.ceiling_burst


def assignment(first_replica: int, ceiling: bool = True) -> CustomerAssignment:
    """Return a customer's assignment to a replica set."""
    return CustomerAssignment("amplio", first_replica, 3, ceiling)


@pytest.mark.parametrize(("share", "stages"), [(1.0, 1), (0.5, 2), (0.25, 4), (0.01, 6)])
def test_customers_migrate_in_stages_and_are_suspended_first(share, stages):
    old = {n: assignment(0) for n in range(16)} | {99: assignment(0, ceiling=False)}
    new = {n: assignment(3) for n in range(16)} | {99: assignment(3, ceiling=False), 50: assignment(1)}
    entries = [
        {"id": n, "plan": "amplio", "keys": [], "first": assigned.first_replica}
        for n, assigned in new.items()
    ]
    data = json.dumps({"customers": entries}).encode()
    files = [json.loads(file)["customers"] for file in migration_files(old, new, data, share)]
    assert len(files) == 2 * stages
    assert files[-1] == entries
    before = {n: assigned.first_replica for n, assigned in old.items()}
    suspended: set[int] = set()
    for number, file in enumerate(files):
        by_id = {entry["id"]: entry for entry in file}
        now_suspended = {n for n, entry in by_id.items() if entry.get("held")}
        changed = {n for n in range(16) if by_id[n]["first"] != before[n]}
        assert changed == now_suspended if number % 2 == 0 else not changed and not now_suspended
        assert len(now_suspended) <= -(-16 // stages)
        suspended |= now_suspended
        before = {n: by_id[n]["first"] for n in by_id}
    assert suspended == set(range(16))


def test_customers_without_a_ceiling_migrate_at_once():
    old, new = {1: assignment(0, ceiling=False)}, {1: assignment(3, ceiling=False)}
    assert migration_files(old, new, b"x", 0.25) == [b"x"]
