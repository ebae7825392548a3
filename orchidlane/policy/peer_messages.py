"""Messages to peers: the rate limit (allowance), the rows of a message, and dissemination to a replica set.

A gateway sends fewer messages a second in total than one peer can receive, so that the load of a peer stays
within its limit even when all gateways send.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import islice
from typing import NamedTuple

from orchidlane.policy import gossip_codec, quota, replica_set
from orchidlane.policy.accounts import Account
from orchidlane.policy.actions import SendPeerMessage, SetTimer
from orchidlane.policy.constants import REPLY_TIMEOUT_TIMER, US_PER_MS, US_PER_SECOND
from orchidlane.policy.state import AwaitedReply, PolicyState

GOSSIP_FANOUT = 12  # peers notified directly; in a larger set each of them forwards to some of the rest
MAX_CUSTOMERS_EXAMINED = 32  # per message, to bound the work
MAX_ATTACHED_ROWS = 6  # rows of exhausted customers added to a message
REPLY_TIMEOUT_US = 200 * US_PER_MS
ALLOWANCE_RESERVE_S = 0.25  # seconds' worth of messages that pending deltas leave for replies


class ReplyRequest(NamedTuple):
    """A request for a reply on a customer; without a reply its next stand-in token owner is notified."""

    customer: int
    owner_index: int


ANY_REPLY = ReplyRequest(customer=0, owner_index=-1)  # only to see whether the peer is reachable


def has_allowance(state: PolicyState, messages: float = 1.0) -> bool:
    """Refill the allowance; return whether it permits ``messages`` messages."""
    gained = state.messages_per_second * (state.now - state.allowance_refilled_at_us) / US_PER_SECOND
    state.message_allowance = min(state.messages_per_second, state.message_allowance + gained)
    state.allowance_refilled_at_us = state.now
    return state.message_allowance >= messages


def send(
    state: PolicyState,
    peer: int,
    rows: list[bytes],
    reply_requests: Sequence[ReplyRequest] = (),
    to_token_owner: bool = False,
) -> bool:
    """Send one message if the allowance permits; return whether it was sent.

    All messages to peers go through this function.
    """
    if not has_allowance(state):
        return False
    state.message_allowance -= 1
    for request in reply_requests:
        state.awaited_replies.append(AwaitedReply(state.now, peer, request.customer, request.owner_index))
        state.actions.append(SetTimer(REPLY_TIMEOUT_US, REPLY_TIMEOUT_TIMER))
    rows = _attach_exhausted(state, peer, rows)
    body = gossip_codec.encode_message(state.now // US_PER_MS, bool(reply_requests), to_token_owner, rows)
    state.actions.append(SendPeerMessage(peer, body))
    return True


def encode_account(
    state: PolicyState, account: Account, forward_count: int, tokens: float = 0.0, brief: bool = False
) -> bytes:
    """Refill an account and return its encoded row; a brief row has the total only, without counts."""
    quota.refill(state, account)
    counts: tuple[gossip_codec.CountEntry, ...] = ()
    if not brief:
        counts = tuple(
            gossip_codec.CountEntry(replica, *account.replica_counts[replica])
            for replica in account.recently_changed
        )
    row = gossip_codec.CustomerRow(
        account.customer,
        *account.key,
        forward_count,
        account.remaining,
        account.spent_total,
        tokens,
        counts,
    )
    return gossip_codec.encode_row(row, state.now // US_PER_MS, state.settings.replica_count)


def forward_to_set(state: PolicyState, account: Account, forward_count: int) -> None:
    """Notify the next ``forward_count`` members of the replica set after this gateway.

    These members are divided into at most ``GOSSIP_FANOUT`` + 1 parts, the first of random size. The first
    member of each part is sent a message, and forwards it to the rest of its part.
    """
    own_position = replica_set.position(state, state.replica, account.replica_set_start)
    step = -(-forward_count // GOSSIP_FANOUT)
    part_size = 1 + state.random.randrange(step) if forward_count else 0
    covered = 0
    while covered < forward_count:
        part_size = min(part_size, forward_count - covered)
        # A large set takes many messages, which must leave part of the allowance for token owners.
        if account.replica_set_size <= GOSSIP_FANOUT or has_allowance(
            state, 1 + 2 * ALLOWANCE_RESERVE_S * state.messages_per_second
        ):
            peer = replica_set.member(state, account, own_position + 1 + covered)
            send(state, peer, [encode_account(state, account, part_size - 1)])
        covered += part_size
        part_size = step


def announce_exhausted(state: PolicyState, account: Account) -> None:
    """Notify the whole replica set that an account is exhausted.

    At most once in the time in which the rate refills the share ``EXHAUSTED_BELOW_SHARE`` of the burst.
    """
    plan = state.settings.plans[account.plan]
    refilled_scaled = plan.rate * (state.now - account.announced_at_us)  # units times US_PER_SECOND
    if account.exhausted and refilled_scaled > quota.EXHAUSTED_BELOW_SHARE * plan.burst * US_PER_SECOND:
        account.announced_at_us = state.now
        forward_to_set(state, account, account.replica_set_size - 1)


def _attach_exhausted(state: PolicyState, peer: int, rows: list[bytes]) -> list[bytes]:
    """Append brief rows of exhausted customers that the peer serves, the latest first, while there is room.

    Each gateway attaches a customer to as many messages as the logarithm of its replica set's size: with that
    number from every gateway, the row reaches the whole set. Small sets are notified directly instead.
    """
    latest = list(islice(reversed(state.exhausted_customers.items()), MAX_CUSTOMERS_EXAMINED))
    attached: list[tuple[int, bytes]] = []
    for customer, times_attached in latest:
        account = state.accounts[customer]
        size = account.replica_set_size
        if times_attached >= math.log(size) or size <= GOSSIP_FANOUT:
            continue
        if replica_set.position(state, peer, account.replica_set_start) >= size:
            continue
        row = encode_account(state, account, 0, brief=True)
        if not account.exhausted:  # encode_account has refilled it
            continue
        attached.append((customer, row))
        if len(attached) == MAX_ATTACHED_ROWS:
            break
    fitting = gossip_codec.take_fitting((*rows, *(row for _, row in attached)))
    for customer, _ in attached[: len(fitting) - len(rows)]:
        state.exhausted_customers[customer] += 1
    return fitting
