"""Messages to peers: announcements to a replica set, attached rows, message size and rate."""

from __future__ import annotations

from harness.constants import SECOND
from harness.gossip_harness import (
    NOW_TICKS,
    confirmed_harness,
    customer_row,
    exhaust,
    peer_messages,
    receive,
    send_requests,
)
from harness.policy_harness import START_US, PolicyHarness, actions_of

from orchidlane import policy
from orchidlane.policy import gossip_codec


def test_an_exhausted_customer_is_announced_to_each_member_of_its_set_once():
    """In a large set members forward the announcement, with a bounded fanout."""
    set_size, notified = 60, []
    harness = PolicyHarness(replica_count=80, peer_messages_per_second=1_000.0)
    receive(
        harness,
        1,
        customer_row([(1, NOW_TICKS - 9, 9.0)], remaining=1.0, spent_total=9.0, replica_set_size=set_size),
        to_token_owner=True,
    )
    undelivered = peer_messages(harness.actions)
    assert 0 < len(undelivered) <= 13
    while undelivered:
        rank, message = undelivered.pop()
        notified.append(rank)
        other = PolicyHarness(replica_count=80, replica=rank, peer_messages_per_second=1_000.0)
        undelivered += peer_messages(receive(other, 0, *message.rows))
    assert sorted(notified) == list(range(1, set_size))


def test_a_customer_with_quota_remaining_is_not_announced():
    harness = confirmed_harness()
    receive(harness, 1, customer_row([(1, NOW_TICKS - 9, 2.0)], spent_total=2.0), to_token_owner=True)
    assert not peer_messages(harness.actions)


def test_messages_are_within_the_size_and_rate_limits():
    harness = confirmed_harness()
    for i in range(1, 400):
        harness.request(i, customer=i % 90)
        harness.advance(5_000)
    sizes = [len(a.body) for a in harness.actions if isinstance(a, policy.SendPeerMessage)]
    assert max(sizes) <= gossip_codec.MAX_MESSAGE_BYTES
    seconds = (harness.now - START_US) / SECOND
    assert 0 < len(sizes) <= 50.0 * (seconds + 1)


def test_messages_contain_only_customers_that_the_receiver_serves():
    harness = PolicyHarness(replica_count=9)
    for i in range(1, 9):
        harness.request(i, customer=i, replica_set_start=0, replica_set_size=2)  # ranks 0 and 1
        harness.request(100 + i, customer=100 + i, replica_set_start=0, replica_set_size=9)
    sent = [
        (p, row.customer)
        for p, m in peer_messages([*harness.actions, *harness.advance(9 * SECOND)])
        for row in m.rows
    ]
    assert sent
    assert all(peer == 1 or customer > 100 for peer, customer in sent)


def test_the_customers_exhausted_last_are_attached_to_a_message():
    harness = PolicyHarness(replica_count=200)
    for customer in range(100, 120):
        exhaust(harness, customer, 200)
    send_requests(harness, 1, customer=7, replica_set_size=200)
    ((peer, message),) = peer_messages(harness.actions)
    attached = [row.customer for row in message.rows if row.customer != 7]
    assert attached == [119, 118, 117, 116, 115, 114]
    other = PolicyHarness(replica=peer, replica_count=200)
    other.feed(policy.PeerMessageReceived(0, actions_of(harness.actions, policy.SendPeerMessage)[0].body))
    assert send_requests(other, 5, first_request=50, customer=119, replica_set_size=200) == 0
    assert 119 not in other.gateway.pending_changes  # the receiver spent nothing, so it has nothing to gossip


def test_an_attached_row_gets_no_reply_and_is_not_forwarded():
    harness = PolicyHarness(replica_count=200)
    row = customer_row(remaining=1.0, spent_total=9.0, customer=8, replica_set_size=200)
    receive(
        harness,
        1,
        customer_row([(1, NOW_TICKS - 9, 1.0)], spent_total=1.0, replica_set_size=200),
        row,
        wants_reply=True,
        to_token_owner=True,
    )
    sent = peer_messages(harness.actions)
    assert len(sent) == 1  # only the reply: the attached customer is not announced
    assert [r.customer for r in sent[0][1].rows if r.replica_counts] == [7]


def test_customers_of_small_sets_are_not_attached():
    """Small sets are notified directly; with attached rows as well, too many requests were rejected."""
    harness = PolicyHarness(replica_count=12)
    exhaust(harness, 100, 12)
    send_requests(harness, 1, customer=7, replica_set_size=12)
    assert [row.customer for row in peer_messages(harness.actions)[0][1].rows] == [7]


def test_an_exhausted_customer_is_attached_to_a_limited_number_of_messages():
    """Each time it is exhausted, the limit is the logarithm of the set's size: message bytes have a price."""
    harness = PolicyHarness(replica_count=200, peer_messages_per_second=200.0)

    def times_attached(first: int) -> int:
        action_count = len(harness.actions)
        for customer in range(first, first + 40):
            send_requests(harness, 1, first_request=customer, customer=customer, replica_set_size=200)
        messages = peer_messages(harness.actions[action_count:])
        assert len(messages) >= 20
        return sum(row.customer == 100 for _, message in messages for row in message.rows)

    exhaust(harness, 100, 200)
    assert times_attached(1_000) == 6  # the natural logarithm of 200 is 5.3
    assert times_attached(2_000) == 0
    harness.now += 8 * SECOND
    receive(
        harness,
        1,
        customer_row(
            [(1, NOW_TICKS - 9, 40.0)], remaining=1.0, spent_total=40.0, customer=100, replica_set_size=200
        ),
    )
    assert times_attached(3_000) == 6


def test_readmitted_customers_are_not_attached():
    harness = PolicyHarness(replica_count=200)
    exhaust(harness, 100, 200)
    harness.now += 10 * SECOND
    send_requests(harness, 1, customer=7, replica_set_size=200)
    assert [row.customer for row in peer_messages(harness.actions)[0][1].rows] == [7]
    assert not harness.gateway.exhausted_customers


def test_announcements_leave_messages_for_token_owners():
    """In a large fleet many customers may be exhausted at the same time."""
    harness = PolicyHarness(replica_count=200, peer_messages_per_second=40.0)
    for customer in range(100, 200):
        row = customer_row(
            [(1, NOW_TICKS - 9, 9.0)],
            remaining=1.0,
            spent_total=9.0,
            customer=customer,
            forward_count=150,
            replica_set_size=200,
        )
        receive(harness, 1, row)
    before = len(actions_of(harness.actions, policy.SendPeerMessage))
    assert send_requests(harness, 6, customer=7, replica_set_size=200) == 1
    for customer in range(300, 306):
        send_requests(harness, 1, first_request=customer, customer=customer, replica_set_size=200)
    assert len(actions_of(harness.actions, policy.SendPeerMessage)) - before == 7
