"""Migration of customers to other replica sets: never more tokens than the ceiling's one bucket holds."""

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
OLD_SET, HELD, NEW_SET = range(3)  # phases of a gateway
REPLICA_SET_START = {OLD_SET: 0, HELD: 3, NEW_SET: 3}


class MigratingFleet:
    """Six gateways in their phases of one migration; a customer with a ceiling requests quota at any."""

    def __init__(self, holds_first: bool = True) -> None:
        plan = dataclasses.replace(CEILING_PLAN, rate=0.0, burst=0.0)
        self.now, self.holds_first = START_US, holds_first
        changes = {"replica_count": GATEWAYS, "plans": (plan,)}
        self.gateways = [
            Gateway(dataclasses.replace(SETTINGS, replica=rank, **changes), rank, self.now - 60 * SECOND)
            for rank in range(GATEWAYS)
        ]
        self.phases = [OLD_SET] * GATEWAYS
        self.plan = plan
        self.granted: list[tuple[int, float]] = []
        self.number = 0

    def adopt(self, rank: int) -> None:
        """Enter the next phase, once all are in the one before; without a hold, the last one at once."""
        if not self.holds_first:
            self.phases[rank] = NEW_SET
        elif self.phases[rank] < NEW_SET and all(at >= self.phases[rank] for at in self.phases):
            self.phases[rank] += 1
            changed = policy.ReplicaSetChanged(
                CUSTOMER, 0, REPLICA_SET_START[self.phases[rank]], REPLICA_SET_SIZE
            )
            self.gateways[rank].handle(self.now, changed)

    def request_quota(self, rank: int, units: float) -> None:
        """Request quota at a gateway, unless it holds the customer's requests."""
        if self.phases[rank] == HELD:
            return
        self.number += 1
        event = policy.QuotaRequested(
            self.number, CUSTOMER, 0, 0, units, REPLICA_SET_START[self.phases[rank]], REPLICA_SET_SIZE
        )
        if any(
            isinstance(action, policy.GrantQuota) for action in self.gateways[rank].handle(self.now, event)
        ):
            self.granted.append((self.now, units))

    def worst_excess(self) -> float:
        """Return the most that was granted beyond what one token bucket holds, over all spans."""
        remaining, at, worst = self.plan.ceiling_burst, START_US, 0.0
        for when, units in self.granted:
            remaining = min(
                self.plan.ceiling_burst, remaining + self.plan.ceiling_rate * (when - at) / SECOND
            )
            remaining, at = remaining - units, when
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
def test_shares_of_a_ceiling_stay_within_the_whole_in_any_order_of_steps(steps):
    fleet = MigratingFleet()
    for action, rank, amount in steps:
        apply_step(fleet, action, rank, amount)
        assert fleet.worst_excess() < 1e-6, fleet.granted


def apply_step(fleet: MigratingFleet, action: str, rank: int, amount: int) -> None:
    """Let a gateway adopt its next phase or request quota, or let time pass."""
    if action == "adopt":
        fleet.adopt(rank)
    elif action == "all adopt":
        for every_rank in range(GATEWAYS):
            fleet.adopt(every_rank)
    elif action == "wait":
        fleet.now += amount * SECOND // 4
    else:
        fleet.request_quota(rank, float(amount))


def test_the_check_detects_shares_that_grow_before_others_shrink():
    """Without the phase in which the customer is held, each gateway follows the new sets by itself."""
    fleet = MigratingFleet(holds_first=False)
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
    assert rejection.retry_after_us == 0  # it never comes back here


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
    # The shares of three gateways hold the whole burst, but for a rest below one request in each
    granted = sum(units for _, units in fleet.granted)
    assert fleet.plan.ceiling_burst - 1.5 <= granted <= fleet.plan.ceiling_burst


def account(first: int, ceiling: bool = True) -> CustomerAssignment:
    """Return a customer's assignment to a replica set."""
    return CustomerAssignment("amplio", first, 3, ceiling)


@pytest.mark.parametrize(("share", "stages"), [(1.0, 1), (0.5, 2), (0.25, 4), (0.01, 6)])
def test_customers_migrate_by_shares_and_each_is_held_before_it_is_served(share, stages):
    old = {n: account(0) for n in range(16)} | {99: account(0, ceiling=False)}
    new = {n: account(3) for n in range(16)} | {99: account(3, ceiling=False), 50: account(1)}
    entries = [{"id": n, "plan": "amplio", "keys": [], "first": one.first_replica} for n, one in new.items()]
    data = json.dumps({"customers": entries}).encode()
    files = [json.loads(one)["customers"] for one in migration_files(old, new, data, share)]
    assert len(files) == 2 * stages
    assert files[-1] == entries
    before = {n: one.first_replica for n, one in old.items()}
    held: set[int] = set()
    for number, file in enumerate(files):
        by_id = {one["id"]: one for one in file}
        now_held = {n for n, one in by_id.items() if one.get("held")}
        changed = {n for n in range(16) if by_id[n]["first"] != before[n]}
        assert changed == now_held if number % 2 == 0 else not changed and not now_held
        assert len(now_held) <= -(-16 // stages)
        held |= now_held
        before = {n: by_id[n]["first"] for n in by_id}
    assert held == set(range(16))


def test_customers_without_a_ceiling_migrate_at_once():
    old, new = {1: account(0, ceiling=False)}, {1: account(3, ceiling=False)}
    assert migration_files(old, new, b"x", 0.25) == [b"x"]
