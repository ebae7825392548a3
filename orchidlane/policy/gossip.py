"""Gossip: sends changed counts to random peers in rounds, and merges the messages that peers send."""

from __future__ import annotations

from itertools import islice
from typing import NamedTuple

from orchidlane.policy import gossip_codec, peer_messages, quota, replica_set, token_owner
from orchidlane.policy.accounts import Account, ReplicaCount
from orchidlane.policy.actions import SetTimer
from orchidlane.policy.constants import GOSSIP_ROUND_TIMER, US_PER_MS, US_PER_SECOND
from orchidlane.policy.events import PeerMessageReceived
from orchidlane.policy.peer_messages import ANY_REPLY, GOSSIP_FANOUT, MAX_CUSTOMERS_EXAMINED
from orchidlane.policy.state import PolicyState

GOSSIP_INTERVAL_US = 300 * US_PER_MS
MAX_CLOCK_DIFFERENCE_US = 5 * US_PER_SECOND  # messages sent earlier or later than this are dropped


class MergedAccount(NamedTuple):
    """An account that a row was merged into, and the ceiling tokens that the row requests."""

    account: Account
    requested_tokens: float


def gossip_round(state: PolicyState) -> None:
    """Send pending deltas to token owners, and changed counts to one random peer that shares them."""
    state.actions.append(SetTimer(GOSSIP_INTERVAL_US, GOSSIP_ROUND_TIMER))
    for _ in range(min(GOSSIP_FANOUT, len(state.pending_deltas))):
        token_owner.send_pending_deltas(state)
    if not state.pending_changes:
        return
    account = state.accounts[next(iter(state.pending_changes))]
    if account.replica_set_size == 1:  # the replica set shrank to this gateway: there is no peer to notify
        del state.pending_changes[account.customer]
        return
    own_position = replica_set.position(state, state.replica, account.replica_set_start)
    distance = 1 + state.random.randrange(account.replica_set_size - 1)
    peer = replica_set.member(state, account, own_position + distance)
    shared = _changes_shared_with(state, peer)
    rows = gossip_codec.take_fitting(peer_messages.encode_account(state, account, 0) for account in shared)
    if peer_messages.send(state, peer, rows, [ANY_REPLY]):
        for account in shared[: len(rows)]:
            del state.pending_changes[account.customer]


def _changes_shared_with(state: PolicyState, peer: int) -> list[Account]:
    """Return the changed accounts that the peer also serves, sorted by remaining share of the burst."""
    examined = [
        state.accounts[customer] for customer in islice(state.pending_changes, MAX_CUSTOMERS_EXAMINED)
    ]
    shared = [
        account
        for account in examined
        if replica_set.position(state, peer, account.replica_set_start) < account.replica_set_size
    ]
    plans = state.settings.plans
    shared.sort(key=lambda account: account.remaining / (plans[account.plan].burst or 1.0))
    return shared


def peer_message_received(state: PolicyState, event: PeerMessageReceived) -> None:
    """Merge a peer's message, forward its rows as they request, and reply if a reply is requested.

    A message is dropped if it is malformed, if its sender or send time is out of range, or if this gateway is
    standalone.
    """
    settings = state.settings
    message = gossip_codec.decode_message(
        event.body, state.now // US_PER_MS, settings.replica_count, len(settings.plans)
    )
    if message is None or state.is_standalone or not 0 <= event.sender < settings.replica_count:
        return
    age_us = state.now - message.sent_at_ms * US_PER_MS
    if abs(age_us) >= MAX_CLOCK_DIFFERENCE_US:
        return
    state.last_seen_at_us[event.sender] = state.now
    merged: list[MergedAccount] = []
    for row in message.rows:
        result = _receive_row(state, row, event.sender, max(0, age_us), message.to_token_owner)
        if result is not None:
            merged.append(result)
    # Granting deducts tokens, so tokens are granted only if the reply can be sent.
    if message.wants_reply and peer_messages.has_allowance(state):
        rows = (
            peer_messages.encode_account(
                state, account, 0, token_owner.grant_tokens(state, account, requested)
            )
            for account, requested in merged
        )
        peer_messages.send(state, event.sender, gossip_codec.take_fitting(rows))


def _receive_row(
    state: PolicyState, row: gossip_codec.CustomerRow, sender: int, age_us: int, to_token_owner: bool
) -> MergedAccount | None:
    """Merge and forward one row; return its account and the tokens requested.

    Return None for a brief row, which was only attached to the message, and for a row of a replica set that
    does not include this gateway.
    """
    is_brief = not (row.replica_counts or row.tokens)
    if is_brief:
        account = state.accounts.get(row.customer)
        if account and not account.unconfirmed and row.spent_total <= account.spent_total:
            return None  # the total is already known: most brief rows are received more than once
    if replica_set.position(state, state.replica, row.replica_set_start) >= row.replica_set_size:
        return None
    account = merge_row(state, row, sender, age_us, to_token_owner)
    peer_messages.forward_to_set(state, account, min(row.forward_count, account.replica_set_size - 1))
    if is_brief:
        return None
    if to_token_owner:
        peer_messages.announce_exhausted(state, account)
    return MergedAccount(account, row.tokens if to_token_owner else 0.0)


def merge_row(
    state: PolicyState, row: gossip_codec.CustomerRow, sender: int, age_us: int, to_token_owner: bool
) -> Account:
    """Merge a row: for each count the later start wins, then the larger value; of limits, the larger one."""
    account = quota.find_or_create_account(
        state, row.customer, row.plan, row.replica_set_start, row.replica_set_size
    )
    account.unconfirmed = False
    plan = state.settings.plans[account.plan]
    quota.refill(state, account)
    granted = 0.0 if to_token_owner else min(row.tokens, account.requested_tokens)
    account.ceiling_tokens += granted
    account.requested_tokens -= granted
    reported_growth = _merge_counts(state, account, row, sender if to_token_owner else None)
    if reported_growth:  # to be gossiped, unlike a count that is forwarded to the whole set
        state.pending_changes[account.customer] = None
    # The reported total includes counts that did not fit into the row or that this gateway missed.
    account.spent_total = max(account.spent_total + reported_growth, account.counted_total, row.spent_total)
    account.limit = max(account.limit, row.spent_total + row.remaining + plan.rate * age_us / US_PER_SECOND)
    quota.refill(state, account)
    return account


def _merge_counts(
    state: PolicyState, account: Account, row: gossip_codec.CustomerRow, reporter: int | None
) -> float:
    """Merge a row's counts; return the growth of the reporter's own count.

    ``reporter`` is the sender of a message to the token owner; None for other messages, where 0 is returned.
    """
    admissions_kept = max(1, state.settings.plans[account.plan].max_in_flight)
    reported_growth = 0.0
    for replica, start, value in row.replica_counts:
        if replica == state.replica:
            continue  # the total already includes this gateway's count, whichever incarnation it is from
        growth = quota.record_count(account, replica, ReplicaCount(start, value))
        if replica == reporter:
            reported_growth += growth
        if growth:
            admissions = (*account.peer_admissions_at_us, state.now)
            account.peer_admissions_at_us = admissions[-admissions_kept:]
    return reported_growth
