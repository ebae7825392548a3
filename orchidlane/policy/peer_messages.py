"""Messages to peers: the allowance of messages, their rows, and dissemination over a replica set.

A gateway sends fewer messages a second than one peer takes in, so that a whole fleet may send to it.
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

GOSSIP_FANOUT = 12  # peers notified at once: in a larger set each of them notifies a part of the rest
MAX_CUSTOMERS_EXAMINED = 32  # for one message, to bound the work
MAX_ATTACHED_ROWS = 6  # exhausted customers that a message reports besides
REPLY_TIMEOUT_US = 200 * US_PER_MS
ALLOWANCE_RESERVE_S = 0.25  # seconds' worth of messages that pending deltas leave to replies


class ReplyRequest(NamedTuple):
    """A customer that a message asks for a reply on; the next token owner stands in where none comes."""

    customer: int
    owner_index: int


ANY_REPLY = ReplyRequest(customer=0, owner_index=-1)  # only whether the peer is reachable matters


def has_allowance(state: PolicyState, messages: float = 1.0) -> bool:
    """Tell whether so many messages may be sent; refills the allowance first."""
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
    """Send one message, if the allowance permits it; tell whether it did. Every message passes here."""
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
    """Return an account's row, after a refill; a brief one has no counts, as its total suffices."""
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
    """Notify the next so many members of the set: a few of them, each forwarding to a part of the rest."""
    own_position = replica_set.position(state, state.replica, account.replica_set_start)
    step = -(-forward_count // GOSSIP_FANOUT)
    part = 1 + state.random.randrange(step) if forward_count else 0
    done = 0
    while done < forward_count:
        part = min(part, forward_count - done)
        # The many messages of a large set must leave some to the token owners.
        if account.replica_set_size <= GOSSIP_FANOUT or has_allowance(
            state, 1 + 2 * ALLOWANCE_RESERVE_S * state.messages_per_second
        ):
            peer = replica_set.member(state, account, own_position + 1 + done)
            send(state, peer, [encode_account(state, account, part - 1)])
        done += part
        part = step


def announce_exhausted(state: PolicyState, account: Account) -> None:
    """Notify the whole set of an exhausted account, at most once in the time that refills the threshold."""
    plan = state.settings.plans[account.plan]
    refilled = plan.rate * (state.now - account.announced_at_us)
    if account.exhausted and refilled > quota.EXHAUSTED_BELOW_SHARE * plan.burst * US_PER_SECOND:
        account.announced_at_us = state.now
        forward_to_set(state, account, account.replica_set_size - 1)


def _attach_exhausted(state: PolicyState, peer: int, rows: list[bytes]) -> list[bytes]:
    """Return the rows, and brief ones of exhausted customers where there is room, the latest first.

    Each gateway attaches a customer as often as its set needs to hear of it from all of them: the logarithm
    of its size. Small sets are notified directly and need no more.
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
        if not account.exhausted:  # by the refill
            continue
        attached.append((customer, row))
        if len(attached) == MAX_ATTACHED_ROWS:
            break
    fitting = gossip_codec.take_fitting((*rows, *(row for _, row in attached)))
    for customer, _ in attached[: len(fitting) - len(rows)]:
        state.exhausted_customers[customer] += 1
    return fitting
