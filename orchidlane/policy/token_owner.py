"""Token owners: all spending on a customer is reported to one gateway of its replica set, which sums it up.

The token owner also grants tokens of a ceiling (escrow). If it does not reply in time, the next member of the
replica set is notified as a stand-in.
"""

from __future__ import annotations

from itertools import islice

from orchidlane.policy import gossip_codec, peer_messages, quota, replica_set
from orchidlane.policy.accounts import Account
from orchidlane.policy.peer_messages import (
    ALLOWANCE_RESERVE_S,
    MAX_CUSTOMERS_EXAMINED,
    REPLY_TIMEOUT_US,
    ReplyRequest,
)
from orchidlane.policy.state import PolicyState

MAX_TOKEN_OWNERS = 3  # members of a replica set that a report is sent to, one after the other
UNREACHABLE_SMOOTHING = 0.1  # weight of the latest reply or timeout in the moving average


def report_spending(state: PolicyState, account: Account, owner_index: int = 0) -> None:
    """Report the account to its token owner, or to a stand-in, as soon as the message allowance permits.

    A standalone gateway sends no reports.
    """
    if state.is_standalone:
        return
    if owner_index >= min(MAX_TOKEN_OWNERS, account.replica_set_size):
        # No owner has replied: from now on only the share of unreachable peers limits this account.
        account.unconfirmed = False
        return
    owner = replica_set.token_owner(state, account, owner_index)
    if owner != state.replica:
        state.pending_deltas.setdefault(owner, {})[account.customer] = owner_index
        send_pending_deltas(state)
    elif account.unconfirmed:
        report_spending(state, account, owner_index + 1)
    else:
        peer_messages.announce_exhausted(state, account)


def send_pending_deltas(state: PolicyState) -> None:
    """Send pending deltas to the token owner that has waited longest, if the allowance permits.

    Admissions are more frequent than messages, so deltas that cannot be sent now are combined later.
    """
    if not state.pending_deltas:
        return
    if not peer_messages.has_allowance(state, 1 + ALLOWANCE_RESERVE_S * state.messages_per_second):
        return
    owner = next(iter(state.pending_deltas))
    deltas = state.pending_deltas.pop(owner)
    examined = list(islice(deltas, MAX_CUSTOMERS_EXAMINED))
    for customer in [customer for customer in examined if customer not in state.accounts]:
        del deltas[customer]
    examined = list(islice(deltas, MAX_CUSTOMERS_EXAMINED))
    accounts = [state.accounts[customer] for customer in examined if customer in state.accounts]
    rows = gossip_codec.take_fitting(_encode_delta(state, account) for account in accounts)
    sent = accounts[: len(rows)]
    recently_seen = state.now - state.last_seen_at_us.get(owner, 0) <= REPLY_TIMEOUT_US
    reply_requests = [
        ReplyRequest(account.customer, deltas[account.customer])
        for account in sent
        if account.unconfirmed or account.requested_tokens or not recently_seen
    ]
    for account in sent:
        del deltas[account.customer]
    if deltas:
        state.pending_deltas[owner] = deltas
    if rows:
        peer_messages.send(state, owner, rows, reply_requests, to_token_owner=True)


def _encode_delta(state: PolicyState, account: Account) -> bytes:
    """Encode a row for the token owner; it requests the tokens missing from this gateway's ceiling share."""
    quota.refill(state, account)
    capacity = state.settings.plans[account.plan].ceiling_burst * quota.ceiling_share(state, account)
    account.requested_tokens = max(0.0, capacity - account.ceiling_tokens)
    return peer_messages.encode_account(state, account, 0, account.requested_tokens)


def grant_tokens(state: PolicyState, account: Account, requested: float) -> float:
    """Return the tokens granted to a peer; deducted before sending, so that a lost message is safe."""
    is_owner = replica_set.token_owner(state, account) == state.replica
    granted = min(account.ceiling_tokens, requested) if is_owner else 0.0
    account.ceiling_tokens -= granted
    return granted


def reply_timeout_fired(state: PolicyState) -> None:
    """Handle the timeout of the oldest awaited reply: if it is missing, report to the next stand-in."""
    reply = state.awaited_replies.popleft()
    if state.now - reply.sent_at_us > 2 * REPLY_TIMEOUT_US:
        return  # this process was paused, so a missing reply says nothing about the peer
    is_silent = state.last_seen_at_us.get(reply.replica, -1) < reply.sent_at_us
    next_reply = state.awaited_replies[0] if state.awaited_replies else None
    # One message may await replies on several customers; only the last of them updates the average.
    if next_reply is None or next_reply.sent_at_us != reply.sent_at_us or next_reply.replica != reply.replica:
        state.unreachable_share += UNREACHABLE_SMOOTHING * (is_silent - state.unreachable_share)
    if is_silent and reply.owner_index >= 0 and (account := state.accounts.get(reply.customer)):
        report_spending(state, account, reply.owner_index + 1)
