"""Gossip: rounds, the merge of counts, and malformed messages."""

from __future__ import annotations

import itertools
import sys

import pytest
from harness.constants import SECOND
from harness.gossip_harness import (
    NOW_MS,
    NOW_TICKS,
    confirmed_harness,
    customer_row,
    exhaust,
    peer_messages,
    receive,
    receive_at,
    send_requests,
)
from harness.policy_harness import PLAIN_PLAN, PolicyHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane import policy
from orchidlane.policy import gossip, gossip_codec

COUNT_STRATEGY = st.tuples(
    st.sampled_from([1, 2]), st.integers(NOW_TICKS - 50, NOW_TICKS - 1), st.integers(0, 40).map(float)
)
ROWS_STRATEGY = st.lists(
    st.tuples(st.lists(COUNT_STRATEGY, max_size=3), st.integers(0, 60).map(float)), min_size=1, max_size=4
)


def count_calls(gateways: int) -> int:
    """Return the number of calls within the package for a fixed series of events in a fleet."""
    harness = PolicyHarness(replica_count=gateways, endpoints=4, peer_messages_per_second=1_000.0)
    count = 0

    def trace(frame, kind, _):
        nonlocal count
        count += kind == "call" and "orchidlane" in frame.f_code.co_filename

    sys.setprofile(trace)
    try:
        for i in range(1, 30):
            harness.request(i, customer=i % 5, replica_set_size=gateways)
            receive(
                harness,
                1 + i % 3,
                customer_row(
                    [(1, NOW_TICKS, i / 4)], spent_total=i / 2, customer=i % 5, replica_set_size=gateways
                ),
                to_token_owner=True,
            )
            harness.advance(50_000)
    finally:
        sys.setprofile(None)
    return count


def merge_rows(rows) -> tuple:
    """Return the counts and the remaining quota after merging these rows, all received at the same time."""
    harness = confirmed_harness()
    for counts, remaining in rows:
        receive(harness, 1, customer_row(counts, remaining=remaining))
    account = harness.gateway.accounts[7]
    return account.replica_counts, account.remaining


def test_a_reported_total_includes_counts_that_were_never_received():
    """One row is enough for a gateway that has just started, or missed messages, to know what is spent."""
    harness = PolicyHarness()
    receive(harness, 1, customer_row([(2, NOW_TICKS - 9, 1.0)], remaining=1.0, spent_total=500.0))
    assert send_requests(harness, 20) == 0


def test_a_count_of_a_new_incarnation_adds_to_what_was_spent_before():
    harness = confirmed_harness()
    receive(harness, 1, customer_row([(1, NOW_TICKS - 90, 6.0)], spent_total=6.0))
    # The peer has restarted.
    receive(harness, 1, customer_row([(1, NOW_TICKS - 1, 1.0)], spent_total=1.0), to_token_owner=True)
    assert harness.gateway.accounts[7].replica_counts[1] == (NOW_TICKS - 1, 1.0)
    assert harness.gateway.accounts[7].spent_total == 7.0


def test_an_earlier_incarnations_count_does_not_replace_the_gateways_own():
    harness = PolicyHarness()
    send_requests(harness, 1)
    before = harness.gateway.accounts[7].replica_counts[0]
    receive(harness, 1, customer_row([(0, NOW_TICKS - 500, 6.0)], spent_total=7.0))
    assert harness.gateway.accounts[7].replica_counts[0] == before
    assert harness.gateway.accounts[7].spent_total == 7.0


def test_changed_counts_are_sent_to_a_random_peer_each_round():
    harness = confirmed_harness()
    send_requests(harness, 1)
    rows = [row for _, m in peer_messages(harness.advance(SECOND)) if not m.to_token_owner for row in m.rows]
    assert [row.customer for row in rows] == [7]
    assert rows[0].replica_counts[0][2] == 1.0


def test_a_message_that_wants_a_reply_gets_the_merged_total():
    harness = confirmed_harness()
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 4.0)], spent_total=4.0))
    ((peer, message),) = peer_messages(
        receive(
            harness,
            2,
            customer_row([(2, NOW_TICKS - 9, 1.0)], spent_total=1.0),
            wants_reply=True,
            to_token_owner=True,
        )
    )
    assert peer == 2
    assert message.rows[0].spent_total == 5.0


def test_work_per_event_does_not_grow_with_the_fleet():
    """Guards against events that visit the whole replica set: large scenarios exceeded their CPU limit."""
    assert count_calls(400) < 4 * count_calls(4)
    assert count_calls(400) < 1.2 * count_calls(100)


def test_malformed_and_outdated_messages_do_not_change_counts():
    harness = confirmed_harness()
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 4.0)], spent_total=4.0))
    account = harness.gateway.accounts[7]
    before = dict(account.replica_counts), account.spent_total, harness.gateway.unreachable_share
    row = gossip_codec.encode_row(customer_row([(1, NOW_TICKS - 9, 3.0)]), NOW_MS, 3)
    good = gossip_codec.encode_message(NOW_MS, False, False, [row])
    for cut in range(7, len(good)):
        harness.feed(policy.PeerMessageReceived(1, good[:cut]))
    harness.feed(policy.PeerMessageReceived(1, b"\xff" * 256))
    harness.feed(policy.PeerMessageReceived(77, good))
    harness.feed(policy.PeerMessageReceived(1, good))  # replayed, with counts that are out of date
    receive_at(harness, 1, NOW_MS + 3_600_000, [customer_row([(1, NOW_TICKS - 9, 90.0)], spent_total=90.0)])
    # A replica set larger than the fleet.
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 90.0)], spent_total=90.0, replica_set_size=9))
    # To be forwarded to more members than the replica set has.
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 90.0)], spent_total=90.0, forward_count=3))
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 90.0)], spent_total=90.0, plan=99))
    assert (dict(account.replica_counts), account.spent_total, harness.gateway.unreachable_share) == before
    assert list(harness.gateway.accounts) == [7]


def test_a_row_of_a_replica_set_without_this_gateway_is_ignored():
    harness = PolicyHarness()
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 4.0)], replica_set_start=1, replica_set_size=2))
    assert harness.gateway.accounts == {}


@pytest.mark.parametrize(
    "sent_at_ms",
    [
        gossip_codec.SEND_TIME_PERIOD_MS - 5,
        gossip_codec.SEND_TIME_PERIOD_MS + 5,
        7 * gossip_codec.SEND_TIME_PERIOD_MS + 1,
    ],
)
@pytest.mark.parametrize("delay_ms", [900, -900])
def test_send_times_are_decoded_across_their_period(sent_at_ms, delay_ms):
    body = gossip_codec.encode_message(sent_at_ms, False, False, [])
    assert gossip_codec.decode_message(body, sent_at_ms + delay_ms, 3, 1).sent_at_ms == sent_at_ms


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_from_a_peer_cause_no_action(body):
    harness = PolicyHarness(endpoints=1)
    assert harness.feed(policy.PeerMessageReceived(1, body)) == []


@settings(derandomize=True, max_examples=60, deadline=None)
@given(ROWS_STRATEGY)
def test_merging_counts_is_commutative_and_idempotent(rows):
    results = [merge_rows(order)[0] for order in itertools.islice(itertools.permutations(rows), 6)]
    results.append(merge_rows(rows + rows[::-1])[0])
    assert all(r == results[0] for r in results)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(ROWS_STRATEGY)
def test_the_remaining_quota_is_between_zero_and_the_burst_after_any_merge(rows):
    assert 0 <= merge_rows(rows)[1] <= PLAIN_PLAN.burst


def test_a_changed_replica_set_keeps_counts_and_leaves_no_pending_change():
    """In an incident, a changed replica set left a pending change of a customer whose account was evicted."""
    harness = confirmed_harness(replica_count=4)
    assert send_requests(harness, 20, replica_set_start=0, replica_set_size=3) == 8
    assert send_requests(harness, 20, first_request=100, replica_set_start=3, replica_set_size=2) == 0
    harness.advance(20 * SECOND)
    for i in range(200, 210):
        harness.request(i, customer=1_000 + i, replica_set_size=1)
    assert 7 not in harness.gateway.accounts
    harness.advance(SECOND)


def test_a_brief_row_without_a_change_is_not_merged(monkeypatch):
    """Most attached rows are received repeatedly; merging them cost 150 us per event with 264 gateways."""
    harness = PolicyHarness(replica_count=200)
    exhaust(harness, 100, 200)
    merged, merge = [], gossip.merge_row

    def merge_and_record(state, row, *rest):
        merged.append(row.customer)
        return merge(state, row, *rest)

    monkeypatch.setattr(gossip, "merge_row", merge_and_record)
    for total in (9.0, 8.0, 9.5):
        receive(
            harness, 2, customer_row(remaining=0.5, spent_total=total, customer=100, replica_set_size=200)
        )
    assert merged == [100]
    assert harness.gateway.accounts[100].spent_total == 9.5


def test_a_replica_set_that_shrank_to_one_gateway_does_not_stop_gossip():
    """A request names a set of one gateway while counts of its customer wait to be sent to peers."""
    harness = confirmed_harness()
    send_requests(harness, 1)
    harness.request(50, replica_set_size=1)
    harness.advance(SECOND)
    send_requests(harness, 1, first_request=60, customer=9)
    assert peer_messages(harness.advance(SECOND))
