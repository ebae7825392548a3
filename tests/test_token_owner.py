"""Token owners: reports of spent units, stand-ins and pending deltas."""

from __future__ import annotations

from harness.constants import SECOND
from harness.gossip_harness import (
    NOW_TICKS,
    confirmed_harness,
    customer_row,
    peer_messages,
    receive,
    send_requests,
)
from harness.policy_harness import PolicyHarness

from orchidlane.policy import replica_set


def test_a_token_owner_sums_the_counts_that_gateways_report():
    harness = confirmed_harness()
    for sender in (1, 2):
        receive(
            harness,
            sender,
            customer_row([(sender, NOW_TICKS - 9, 4.0)], spent_total=4.0),
            to_token_owner=True,
        )
    assert harness.gateway.accounts[7].spent_total == 8.0


def test_an_admission_is_reported_to_a_stand_in_after_a_timeout():
    harness = PolicyHarness(replica_count=60)
    first = [(p, m) for p, m in peer_messages(harness.request(1, replica_set_size=50)) if m.to_token_owner]
    assert len(first) == 1
    assert first[0][1].wants_reply
    second = [p for p, m in peer_messages(harness.advance(290_000)) if m.to_token_owner]
    assert len(second) == 1
    assert second != [first[0][0]]


def test_no_stand_in_is_notified_if_the_token_owner_replies():
    harness = PolicyHarness(replica_count=60)
    owner = next(p for p, m in peer_messages(harness.request(1, replica_set_size=50)) if m.to_token_owner)
    harness.now += 20_000
    receive(harness, owner, customer_row(replica_set_size=50))
    assert not [p for p, m in peer_messages(harness.advance(270_000)) if m.to_token_owner]


def test_replies_awaited_while_paused_do_not_count_as_missing():
    harness = PolicyHarness(replica_count=60)
    for i in range(1, 20):
        harness.request(i, customer=i, replica_set_size=50)
    harness.now += 2 * SECOND  # no event in between, so the timers fire late
    harness.advance(1)
    assert harness.gateway.unreachable_share == 0.0


def test_a_customer_is_confirmed_if_no_token_owner_replies():
    """In a partition a customer must not stay limited to the share of an unconfirmed account."""
    harness = PolicyHarness(replica_count=60)
    send_requests(harness, 3, replica_set_size=50)
    harness.advance(3 * SECOND)
    assert send_requests(harness, 3, first_request=10, replica_set_size=50) > 1


def test_pending_deltas_are_sent_together_if_messages_are_scarce():
    """Every customer is reported even if only a few messages a second are allowed."""
    harness = PolicyHarness(peer_messages_per_second=10.0)
    for i in range(1, 60):
        assert send_requests(harness, 1, first_request=i, customer=i) == 1
        harness.advance(2_000)
    harness.advance(8 * SECOND)
    reported = {row.customer for _, m in peer_messages(harness.actions) if m.to_token_owner for row in m.rows}
    owned_here = {
        i for i in range(1, 60) if replica_set.token_owner(harness.gateway, harness.gateway.accounts[i]) == 0
    }
    assert reported | owned_here == set(range(1, 60))
    assert not harness.gateway.pending_deltas
