"""Messages between gateways for tests of the policy: what a peer reports, and what is sent to peers."""

from __future__ import annotations

from harness.policy_harness import START_US, PolicyHarness, actions_of
from orchidlane import policy
from orchidlane.policy import gossip_codec
from orchidlane.policy.gossip_codec import CustomerRow

NOW_MS = START_US // 1_000
NOW_TICKS = NOW_MS // gossip_codec.TICK_MS


def receive(harness: PolicyHarness, sender: int, *rows: CustomerRow, wants_reply=False, to_token_owner=False):
    """Feed a peer's message that is sent now; return the actions."""
    return receive_at(harness, sender, harness.now // 1_000, rows, wants_reply, to_token_owner)


def receive_at(harness, sender, sent_at_ms, rows, wants_reply=False, to_token_owner=False) -> list:
    """Feed a peer's message with a send time of its own; return the actions."""
    encoded = [gossip_codec.encode_row(row, sent_at_ms, harness.settings.replica_count) for row in rows]
    body = gossip_codec.encode_message(sent_at_ms, wants_reply, to_token_owner, encoded)
    return harness.feed(policy.PeerMessageReceived(sender, body))


def customer_row(
    counts=(),
    remaining=10.0,
    spent_total=0.0,
    customer=7,
    forward_count=0,
    replica_set_start=0,
    replica_set_size=3,
    plan=0,
    tokens=0.0,
) -> CustomerRow:
    """What a peer reports of a customer."""
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


def confirmed(**changes) -> PolicyHarness:
    """A gateway to which a peer reported on the customer."""
    harness = PolicyHarness(**changes)
    receive(harness, 1, customer_row())
    return harness


def send_requests(harness: PolicyHarness, count: int, first_request=1, **request) -> int:
    """Feed so many requests, each served at once; return how many were sent to an endpoint."""
    sent = 0
    for number in range(first_request, first_request + count):
        for send in actions_of(harness.request(number, **request), policy.SendAttempt):
            sent += 1
            harness.end_attempt(number, send.endpoint, policy.Outcome.SERVED, duration_us=1_000)
    return sent


def peer_messages(actions) -> list:
    """The decoded messages among the actions, with their receivers."""
    now_ms = START_US // 1_000 + 60_000
    return [
        (send.peer, gossip_codec.decode_message(send.body, now_ms, 10**6, 9))
        for send in actions_of(actions, policy.SendPeerMessage)
    ]
