"""Gossip messages for tests of the policy: messages received from peers, and messages sent to them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from harness.policy_harness import START_US, PolicyHarness, actions_of
from orchidlane import policy
from orchidlane.policy import gossip_codec
from orchidlane.policy.gossip_codec import CustomerRow

NOW_MS = START_US // 1_000
NOW_TICKS = NOW_MS // gossip_codec.TICK_MS


def receive(
    harness: PolicyHarness,
    sender: int,
    *rows: CustomerRow,
    wants_reply: bool = False,
    to_token_owner: bool = False,
) -> list[policy.Action]:
    """Feed a peer's message that is sent now; return the resulting actions."""
    return receive_at(harness, sender, harness.now // 1_000, rows, wants_reply, to_token_owner)


def receive_at(
    harness: PolicyHarness,
    sender: int,
    sent_at_ms: int,
    rows: Iterable[CustomerRow],
    wants_reply: bool = False,
    to_token_owner: bool = False,
) -> list[policy.Action]:
    """Feed a peer's message with a given send time; return the resulting actions."""
    encoded = [gossip_codec.encode_row(row, sent_at_ms, harness.settings.replica_count) for row in rows]
    body = gossip_codec.encode_message(sent_at_ms, wants_reply, to_token_owner, encoded)
    return harness.feed(policy.PeerMessageReceived(sender, body))


def customer_row(
    counts: Iterable[tuple[int, int, float]] = (),
    remaining: float = 10.0,
    spent_total: float = 0.0,
    customer: int = 7,
    forward_count: int = 0,
    replica_set_start: int = 0,
    replica_set_size: int = 3,
    plan: int = 0,
    tokens: float = 0.0,
) -> CustomerRow:
    """Return a row of a peer's message; a count is a replica, a start in ticks, and a value in units."""
    return CustomerRow(
        customer,
        plan,
        replica_set_start,
        replica_set_size,
        forward_count,
        remaining,
        spent_total,
        tokens,
        tuple(gossip_codec.CountEntry(*count) for count in counts),
    )


def exhaust(harness: PolicyHarness, customer: int, replica_set_size: int) -> None:
    """Receive a peer's row that makes a customer exhausted."""
    row = customer_row(
        [(1, NOW_TICKS - 9, 9.0)],
        remaining=1.0,
        spent_total=9.0,
        customer=customer,
        replica_set_size=replica_set_size,
    )
    receive(harness, 1, row)


def confirmed_harness(**changes: Any) -> PolicyHarness:
    """Return a gateway that a peer has sent a row of customer 7, so that its account is confirmed."""
    harness = PolicyHarness(**changes)
    receive(harness, 1, customer_row())
    return harness


def send_requests(harness: PolicyHarness, count: int, first_request: int = 1, **request: Any) -> int:
    """Feed ``count`` requests, each served immediately; return how many were sent to an endpoint."""
    sent = 0
    for number in range(first_request, first_request + count):
        for send in actions_of(harness.request(number, **request), policy.SendAttempt):
            sent += 1
            harness.finish_attempt(number, send.endpoint, policy.Outcome.SERVED, duration_us=1_000)
    return sent


def peer_messages(actions: Iterable[policy.Action]) -> list[tuple[int, Any]]:
    """Return the rank of the receiver and the decoded message of each message among the actions."""
    now_ms = NOW_MS + 60_000
    return [
        (send.peer, gossip_codec.decode_message(send.body, now_ms, 10**6, 9))
        for send in actions_of(actions, policy.SendPeerMessage)
    ]
