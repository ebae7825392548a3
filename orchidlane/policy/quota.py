"""Quotas: finds accounts, refills their limits and ceilings, and merges the G-counter of spent units."""

from __future__ import annotations

from orchidlane.policy import replica_set
from orchidlane.policy.accounts import NO_COUNT, Account, AccountKey, ReplicaCount
from orchidlane.policy.constants import US_PER_SECOND
from orchidlane.policy.state import PolicyState

EXHAUSTED_BELOW_SHARE = 0.25  # share of the burst; with less remaining, all requests are rejected
READMISSION_SHARE = 0.6  # share of the burst to which an exhausted account refills before it is readmitted
MIN_UNREACHABLE_SHARE = 0.25  # a smaller share is ignored: lost messages and restarts cause missing replies
MAX_COUNTS_PER_ROW = 3  # most recent counts in a gossip row; its total includes all others


def find_or_create_account(
    state: PolicyState, customer: int, plan: int, replica_set_start: int, replica_set_size: int
) -> Account:
    """Return the customer's account; a new one has a full burst, and is unconfirmed if peers share it."""
    account = state.accounts.get(customer)
    if account is not None:
        return account
    size = max(1, min(replica_set_size, state.settings.replica_count))
    account = Account(
        customer,
        AccountKey(plan, replica_set_start, size),
        state.settings.plans[plan].burst,
        state.started_at_us,
        unconfirmed=size > 1 and not state.is_standalone,
    )
    state.accounts[customer] = account
    state.idle_queue.append(customer)
    return account


def update_account_key(
    state: PolicyState, customer: int, plan: int, replica_set_start: int, replica_set_size: int
) -> Account:
    """Return the customer's account, updated to the plan and replica set of a request.

    A request is more up to date than a peer's row, which does not change the key of an existing account.
    """
    account = find_or_create_account(state, customer, plan, replica_set_start, replica_set_size)
    size = max(1, min(replica_set_size, state.settings.replica_count))
    key = (plan, replica_set_start, size)
    if account.key != key:
        account.key = AccountKey(*key)
    return account


def refill(state: PolicyState, account: Account) -> None:
    """Refill the limit and the ceiling's tokens for the elapsed time, and update the exhausted state."""
    plan = state.settings.plans[account.plan]
    elapsed_us = state.now - account.refilled_at_us
    account.refilled_at_us = state.now
    if plan.ceiling_rate:
        share = ceiling_share(state, account)
        gained = plan.ceiling_rate * share * elapsed_us / US_PER_SECOND
        account.ceiling_tokens = min(plan.ceiling_burst * share, account.ceiling_tokens + gained)
    reachable_share = _reachable_share(state, account)
    burst = plan.burst * reachable_share
    # Units spent over quota are not a debt to refill first: the limit is never below the spent total.
    limit = max(account.spent_total, account.limit + plan.rate * reachable_share * elapsed_us / US_PER_SECOND)
    account.limit = min(limit, account.spent_total + burst)
    threshold = READMISSION_SHARE if account.exhausted else EXHAUSTED_BELOW_SHARE
    account.exhausted = account.remaining < threshold * burst
    if not account.exhausted:
        state.exhausted_customers.pop(account.customer, None)
    elif account.customer not in state.exhausted_customers:
        state.exhausted_customers[account.customer] = 0


def _reachable_share(state: PolicyState, account: Account) -> float:
    """Return the reachable gateways' share of the quota; unreachable peers may spend the rest unseen."""
    unreachable = 1.0 if state.is_standalone else state.unreachable_share
    if unreachable < MIN_UNREACHABLE_SHARE:
        return 1.0
    size = account.replica_set_size
    return 1 - unreachable * (size - 1) / size


def ceiling_share(state: PolicyState, account: Account) -> float:
    """Return this gateway's share of the ceiling, which its own token bucket is sized and refilled by.

    The token owner has half of the ceiling, from which it grants tokens that others request, and all members
    share the other half equally. The bucket is empty when the gateway starts, and granted tokens are deducted
    before they are sent. A gateway outside the replica set has no share: a share kept from a former set would
    add to the tokens of the new one.
    """
    size = account.replica_set_size
    if replica_set.position(state, state.replica, account.replica_set_start) >= size:
        return 0.0
    is_owner = replica_set.token_owner(state, account) == state.replica
    return (1 + size * is_owner) / (2 * size)


def record_count(account: Account, replica: int, count: ReplicaCount) -> float:
    """Merge one replica's count: the later start wins, then the larger value. Return the growth in units.

    For a new start the whole value is growth, as what an earlier incarnation spent stays spent.
    """
    previous = account.replica_counts.get(replica, NO_COUNT)
    if count <= previous:
        return 0.0
    account.replica_counts[replica] = count
    others = (other for other in account.recently_changed if other != replica)
    account.recently_changed = (*others, replica)[-MAX_COUNTS_PER_ROW:]
    growth = count.value - previous.value if count.start == previous.start else count.value
    account.counted_total += growth
    return growth
