"""Admission: quota, concurrency limit, replica sets and eviction of idle accounts."""

from __future__ import annotations

import dataclasses

import pytest
from harness.constants import SECOND
from harness.gossip_harness import (
    NOW_TICKS,
    confirmed_harness,
    customer_row,
    peer_messages,
    receive,
    send_requests,
)
from harness.policy_harness import PLAIN_PLAN, PolicyHarness, actions_of, endpoint_entry, endpoint_list

from orchidlane import policy


def test_an_exhausted_customer_is_rejected_until_its_quota_has_refilled():
    harness = confirmed_harness()
    # The burst is 10 units; requests are rejected once less than a quarter of it remains.
    assert send_requests(harness, 20) == 8
    harness.now += SECOND
    assert send_requests(harness, 20, first_request=100) == 0
    harness.now += SECOND
    # Readmitted with 6 units remaining, and rejected again at less than a quarter of the burst.
    assert send_requests(harness, 20, first_request=200) == 4


def test_units_spent_at_peers_reduce_the_remaining_quota():
    harness = confirmed_harness()
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 3.0)], remaining=7.0, spent_total=3.0))
    receive(harness, 2, customer_row([(2, NOW_TICKS - 9, 2.0)], remaining=8.0, spent_total=2.0))
    assert send_requests(harness, 20) == 3


def test_an_unconfirmed_customer_is_admitted_up_to_its_share_of_the_burst():
    assert send_requests(PolicyHarness(), 20) == 3  # a third of the burst of 10


def test_an_unconfirmed_customer_is_admitted_once_even_beyond_its_share():
    assert send_requests(PolicyHarness(), 3, units=8.0) == 1


def test_units_spent_over_quota_do_not_delay_readmission():
    harness = confirmed_harness()
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 500.0)], spent_total=500.0))
    harness.now += 4 * SECOND
    assert send_requests(harness, 20) > 0


def test_the_concurrency_limit_counts_recent_admissions_of_peers():
    harness = confirmed_harness()
    assert len(actions_of(harness.request(1, plan=1), policy.SendAttempt)) == 1
    receive(harness, 1, customer_row([(1, NOW_TICKS, 1.0)], spent_total=2.0))
    assert actions_of(harness.request(2, plan=1), policy.RejectRequest)


def test_in_a_partition_the_quota_share_of_unreachable_peers_is_not_spent():
    harness = confirmed_harness(replica_count=3)
    for i in range(1, 200):
        send_requests(harness, 1, first_request=i, customer=i)
        harness.advance(50_000)
    assert harness.gateway.unreachable_share > 0.5
    receive(harness, 1, customer_row())
    assert send_requests(harness, 20, first_request=900) <= 6


def test_a_full_idle_account_is_evicted():
    harness = confirmed_harness()
    send_requests(harness, 1)
    harness.advance(10 * SECOND)
    for i in range(50, 60):
        harness.request(i, customer=1_000 + i, replica_set_size=1)
    assert 7 not in harness.gateway.accounts
    assert 7 not in harness.gateway.pending_changes
    harness.advance(SECOND)


@pytest.mark.parametrize(("gateways", "first", "size"), [(1, 0, 1), (60, 0, 1), (60, 55, 12), (60, 7, 60)])
def test_requests_are_admitted_with_any_replica_set(gateways, first, size):
    harness = PolicyHarness(replica_count=gateways)
    assert send_requests(harness, 1, replica_set_start=first, replica_set_size=size) == 1
    members = {(first + i) % gateways for i in range(size)}
    assert {p for p, _ in peer_messages([*harness.actions, *harness.advance(2 * SECOND)])} <= members - {0}


def test_a_standalone_gateway_admits_its_share_of_the_burst():
    harness = PolicyHarness(may_gossip=False)
    assert send_requests(harness, 20) == 3
    assert not peer_messages([*harness.actions, *harness.advance(2 * SECOND)])


def test_a_standalone_gateways_share_refills_at_its_part_of_the_rate():
    """One of three gateways admits a third of the rate for as long as requests arrive."""
    harness = PolicyHarness(may_gossip=False)
    sent = 0
    for second in range(30):
        sent += send_requests(harness, 3, first_request=1 + 10 * second)
        harness.now += SECOND
    assert 30 * 2 / 3 <= sent <= 10 / 3 + 30 * 2 / 3


@pytest.mark.parametrize("changes", [{}, {"may_gossip": False}])
def test_an_account_without_reachable_peers_is_evicted_too(changes):
    harness = PolicyHarness(**changes)
    send_requests(harness, 1, replica_set_size=3 if changes else 1)
    harness.advance(30 * SECOND)
    for i in range(50, 60):
        harness.request(i, customer=1_000 + i, replica_set_size=1)
    assert 7 not in harness.gateway.accounts


def test_rounding_errors_do_not_prevent_eviction_of_a_full_account():
    """Limit and spent total are sums, so the remaining quota may be slightly less than the burst."""
    plans = (dataclasses.replace(PLAIN_PLAN, burst=4.1 + 0.37 * number) for number in range(20))
    for plan in plans:
        harness = PolicyHarness(plans=(plan,))
        send_requests(harness, 3, replica_set_size=1)
        harness.advance(30 * SECOND)
        for i in range(50, 60):
            harness.request(i, customer=1_000 + i, replica_set_size=1)
        assert 7 not in harness.gateway.accounts, plan


def test_a_held_request_is_admitted_after_its_account_was_evicted():
    """Its units must be counted in a new account, not leave a pending change of an account that is gone."""
    harness = confirmed_harness(endpoints=0)
    harness.request(1, time_left_us=9 * SECOND)
    for i in range(50, 60):
        harness.request(i, customer=1_000 + i, replica_set_size=1)
    assert 7 not in harness.gateway.accounts
    harness.feed(endpoint_list(endpoint_entry(1)))
    assert 1 in [send.request for send in actions_of(harness.advance(100_000), policy.SendAttempt)]
    assert harness.gateway.accounts[7].spent_total == 1.0


def test_an_over_quota_rejection_has_a_retry_after_if_units_refill_soon():
    harness = confirmed_harness(plans=(dataclasses.replace(PLAIN_PLAN, rate=40.0, burst=10.0),))
    send_requests(harness, 20)
    (rejection,) = actions_of(harness.request(90), policy.RejectRequest)
    assert rejection.over_quota
    assert 0 < rejection.retry_after_us <= harness.settings.classes[0].latency_objective_us / 2
    harness.now += rejection.retry_after_us + 1_000
    assert actions_of(harness.request(91), policy.SendAttempt)
    slow = confirmed_harness(plans=(dataclasses.replace(PLAIN_PLAN, rate=0.5, burst=10.0),))
    send_requests(slow, 20)
    assert actions_of(slow.request(90), policy.RejectRequest)[0].retry_after_us == 0


def test_a_replica_set_of_one_standalone_gateway_has_the_whole_quota():
    """Without peers there is no report to wait for before the whole rate is granted."""
    harness = PolicyHarness(replica_count=1, may_gossip=False)
    granted = 0
    for number in range(60):
        harness.now += SECOND
        granted += len(
            actions_of(harness.feed(policy.QuotaRequested(number, 7, 0, 0, 1.0, 0, 1)), policy.GrantQuota)
        )
    assert granted == 60
