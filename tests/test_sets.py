"""Moves of customers to other sets: at no moment more rights than the ceiling's one store has."""

from __future__ import annotations

import dataclasses
import json

import pytest
from conftest import CEILED, SECOND, SETTINGS, T0
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.rollout.compatibility import CustomerAssignment
from orchidlane.rollout.shard_migration import migration_files

GATEWAYS, SIZE, CUSTOMER = 6, 3, 7
OLD, HOLD, GROW = range(3)  # where a gateway stands
FIRST = {OLD: 0, HOLD: 3, GROW: 3}


class Fleet:
    """Six modules and who adopted what; a subscriber with a ceiling asks wherever it is served."""

    def __init__(self, with_hold: bool = True) -> None:
        plan = dataclasses.replace(CEILED, rate=0.0, burst=0.0)
        self.now, self.with_hold = T0, with_hold
        changes = {"replica_count": GATEWAYS, "plans": (plan,)}
        self.ones = [
            Gateway(dataclasses.replace(SETTINGS, replica=rank, **changes), rank, self.now - 60 * SECOND)
            for rank in range(GATEWAYS)
        ]
        self.at = [OLD] * GATEWAYS
        self.plan = plan
        self.taken: list[tuple[int, float]] = []
        self.number = 0

    def adopt(self, rank: int) -> None:
        """The next step, once all have the one before; without the hold each goes to the new map at once."""
        if not self.with_hold:
            self.at[rank] = GROW
        elif self.at[rank] < GROW and all(at >= self.at[rank] for at in self.at):
            self.at[rank] += 1
            moved = policy.ReplicaSetChanged(CUSTOMER, 0, FIRST[self.at[rank]], SIZE)
            self.ones[rank].handle(self.now, moved)

    def take(self, rank: int, units: float) -> None:
        if self.at[rank] == HOLD:
            return
        self.number += 1
        event = policy.QuotaRequested(self.number, CUSTOMER, 0, 0, units, FIRST[self.at[rank]], SIZE)
        if any(isinstance(action, policy.GrantQuota) for action in self.ones[rank].handle(self.now, event)):
            self.taken.append((self.now, units))

    def beyond(self) -> float:
        """The most that any span took beyond what one store gives: the audit's measure, without slack."""
        room, at, worst = self.plan.ceiling_burst, T0, 0.0
        for when, units in self.taken:
            room = min(self.plan.ceiling_burst, room + self.plan.ceiling_rate * (when - at) / SECOND)
            room, at = room - units, when
            worst = max(worst, -room)
        return worst


MOVES = st.lists(
    st.tuples(st.sampled_from(["adopt", "take", "wait", "all adopt"]), st.integers(0, 5), st.integers(1, 4)),
    max_size=60,
)


@settings(max_examples=200, deadline=None)
@given(MOVES)
def test_parts_shrink_before_others_grow_whatever_the_order(moves):
    fleet = Fleet()
    for what, rank, some in moves:
        play(fleet, what, rank, some)
        assert fleet.beyond() < 1e-6, fleet.taken


def play(fleet: Fleet, what: str, rank: int, some: int) -> None:
    if what == "adopt":
        fleet.adopt(rank)
    elif what == "all adopt":
        for one in range(GATEWAYS):
            fleet.adopt(one)
    elif what == "wait":
        fleet.now += some * SECOND // 4
    else:
        fleet.take(rank, float(some))


def test_parts_that_grow_before_others_shrink_are_found():
    """What the map of sets did when each gateway followed the file by itself."""
    fleet = Fleet(with_hold=False)
    for rank in range(SIZE):
        for _ in range(40):
            fleet.take(rank, 0.5)
    for rank in range(GATEWAYS):
        fleet.adopt(rank)
        for _ in range(40):
            fleet.take(rank, 0.5)
    assert fleet.beyond() > 0.5 * fleet.plan.ceiling_burst


def test_who_is_no_member_of_a_set_has_no_part_of_its_ceiling():
    fleet = Fleet()
    for _ in range(10):
        fleet.take(5, 1.0)
    assert fleet.taken == []
    asked = policy.RequestArrived(99, CUSTOMER, 0, 0, 1.0, SECOND, 0, SIZE, False)
    [refused] = [
        one for one in fleet.ones[5].handle(fleet.now, asked) if isinstance(one, policy.RejectRequest)
    ]
    assert refused.over_quota and refused.retry_after_us == 0  # it never comes back here


def test_a_part_that_was_full_is_given_up_and_fills_again_at_the_rate():
    fleet = Fleet()
    for rank in range(GATEWAYS):
        fleet.adopt(rank)
    for rank in range(GATEWAYS):
        fleet.adopt(rank)
    fleet.take(3, 0.1)
    assert fleet.taken == []
    fleet.now += 10 * SECOND
    for rank in (3, 4, 5):
        for _ in range(40):
            fleet.take(rank, 0.5)
    # The parts of three gateways hold the whole burst, but for a rest below what is asked for in each.
    taken = sum(units for _, units in fleet.taken)
    assert fleet.plan.ceiling_burst - 1.5 <= taken <= fleet.plan.ceiling_burst


def account(first: int, ceiling: bool = True) -> CustomerAssignment:
    return CustomerAssignment("amplio", first, 3, ceiling)


@pytest.mark.parametrize(("share", "stages"), [(1.0, 1), (0.5, 2), (0.25, 4), (0.01, 6)])
def test_a_move_goes_by_shares_and_each_is_held_before_it_is_served(share, stages):
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
        moved = {n for n in range(16) if by_id[n]["first"] != before[n]}
        assert moved == now_held if number % 2 == 0 else not moved and not now_held
        assert len(now_held) <= -(-16 // stages)
        held |= now_held
        before = {n: by_id[n]["first"] for n in by_id}
    assert held == set(range(16))


def test_customers_without_a_ceiling_move_at_once():
    old, new = {1: account(0, ceiling=False)}, {1: account(3, ceiling=False)}
    assert migration_files(old, new, b"x", 0.25) == [b"x"]
