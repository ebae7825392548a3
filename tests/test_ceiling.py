"""Ceilings: shares of the token bucket, and tokens granted by token owners."""

from __future__ import annotations

import pytest
from harness.constants import SECOND
from harness.gossip_harness import customer_row, receive
from harness.policy_harness import START_US, PolicyHarness, actions_of

from orchidlane import policy
from orchidlane.policy import Outcome, admission, gossip_codec, quota, replica_set
from orchidlane.policy.accounts import Account, AccountKey
from orchidlane.policy.gossip_codec import CustomerRow


def ceiling_row(tokens: float) -> CustomerRow:
    """Return a row of a customer with a ceiling, with tokens requested or granted."""
    return CustomerRow(1, 2, 0, 3, 0, 8.0, 0.0, tokens, ())


def is_granted(harness: PolicyHarness, units: float) -> bool:
    """Request units for a customer with a ceiling; return whether they are granted."""
    event = policy.QuotaRequested(harness.now, 7, 2, 0, units, 0, 3)
    return bool(actions_of(harness.feed(event), policy.GrantQuota))


def test_tokens_are_granted_only_if_the_reply_can_be_sent():
    harness = PolicyHarness(peer_messages_per_second=10.0)
    harness.now += 20 * SECOND
    # This gateway is the customer's token owner.
    row = customer_row(plan=2, customer=3, replica_set_size=2, tokens=2.0)
    harness.gateway.message_allowance, harness.gateway.allowance_refilled_at_us = 0.0, harness.now
    account = quota.update_account_key(harness.gateway, 3, 2, 0, 2)
    token_owner = replica_set.token_owner(harness.gateway, account)
    assert token_owner == 0
    before = harness.gateway.accounts[3].ceiling_tokens
    receive(harness, 1, row, wants_reply=True, to_token_owner=True)
    assert harness.gateway.accounts[3].ceiling_tokens >= before
    assert not actions_of(harness.actions, policy.SendPeerMessage)


def test_a_ceiling_share_starts_empty_and_fills_at_its_part_of_the_rate():
    harness = PolicyHarness(endpoints=4)
    sent = 0
    for request in range(1, 601):  # 100 requests a second for 6 s, far more than the ceiling permits
        for send in actions_of(harness.request(request, customer=1, plan=2), policy.SendAttempt):
            sent += 1
            harness.finish_attempt(request, send.endpoint, Outcome.SERVED, duration_us=1_000)
        harness.advance(10_000)
    assert 0 < sent <= 8 / 3 * 6


def test_a_token_owner_grants_no_more_tokens_than_its_share_holds():
    """Tokens are deducted from the token owner's own share before they are sent."""
    account = Account(1, AccountKey(2, 0, 3), 8.0, START_US)
    token_owner = next(
        r for r in range(3) if replica_set.token_owner(PolicyHarness(replica=r).gateway, account) == r
    )
    harness = PolicyHarness(replica=token_owner)
    other = (token_owner + 1) % 3
    receive(harness, other, ceiling_row(0.0), wants_reply=True, to_token_owner=True)
    harness.now += 30 * SECOND  # its bucket, 2/3 of 16 tokens, is full
    granted = 0.0
    for _ in range(5):
        for send in actions_of(
            receive(harness, other, ceiling_row(5.0), wants_reply=True, to_token_owner=True),
            policy.SendPeerMessage,
        ):
            message = gossip_codec.decode_message(send.body, harness.now // 1_000, 3, 4)
            granted += message.rows[0].tokens if not message.to_token_owner else 0.0
    assert 10.0 < granted <= 16 * 2 / 3


def test_tokens_that_were_not_requested_are_ignored():
    """A repeated or forged grant must not raise a ceiling."""
    harness = PolicyHarness(replica=1)
    receive(harness, 0, ceiling_row(16.0))
    assert not actions_of(harness.request(1, customer=1, plan=2), policy.SendAttempt)
    receive(harness, 0, ceiling_row(2.0))
    receive(harness, 0, ceiling_row(2.0))
    sends = [
        s
        for r in range(2, 30)
        for s in actions_of(harness.request(r, customer=1, plan=2), policy.SendAttempt)
    ]
    assert 1 <= len(sends) <= 2  # no more than the tokens that were requested


def test_a_restart_empties_the_share_of_a_ceiling():
    harness = PolicyHarness(now=START_US + 10 * SECOND)
    assert not actions_of(harness.request(1, plan=2), policy.SendAttempt)
    harness.now += SECOND
    sends = [s for r in range(2, 9) for s in actions_of(harness.request(r, plan=2), policy.SendAttempt)]
    assert len(sends) <= 5  # its share of a ceiling of 8 units a second


def test_a_new_accounts_ceiling_share_has_filled_since_the_gateway_start():
    """The account of a customer whose first request comes right after the start has no tokens."""
    late, early = PolicyHarness(), PolicyHarness()
    assert not is_granted(early, 1.0)
    late.now += 60 * SECOND
    # Its share of the ceiling's burst is 16 / 6 units, as another gateway is the token owner.
    assert is_granted(late, 2.0)


@pytest.mark.parametrize("customer", range(3))  # each gateway is the token owner of one of these
def test_eviction_neither_loses_nor_creates_tokens_of_a_ceiling(customer):
    harness = PolicyHarness()
    account = quota.update_account_key(harness.gateway, customer << 16, 2, 0, 3)
    account.unconfirmed = False
    capacity = 16.0 * quota.ceiling_share(harness.gateway, account)
    for _ in range(400):
        harness.now += SECOND // 10
        if not harness.gateway.accounts:
            break
        harness.gateway.now = harness.now
        admission.evict_idle_accounts(harness.gateway)
        if harness.gateway.accounts:
            assert account.ceiling_tokens < capacity
    assert not harness.gateway.accounts  # evicted as soon as its share is full
    returned = quota.update_account_key(harness.gateway, customer << 16, 2, 0, 3)
    quota.refill(harness.gateway, returned)
    assert returned.ceiling_tokens == pytest.approx(capacity)
