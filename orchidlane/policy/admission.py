"""Admission: checks quota, concurrency limit and ceiling, counts spent units, evicts idle accounts."""

from __future__ import annotations

from orchidlane.policy import gossip_codec, quota, token_owner
from orchidlane.policy.accounts import Account, ReplicaCount
from orchidlane.policy.actions import GrantQuota, RejectRequest
from orchidlane.policy.constants import US_PER_MS, US_PER_SECOND
from orchidlane.policy.events import CountRecovered, QuotaRequested, ReplicaSetChanged, RequestArrived
from orchidlane.policy.settings import Plan
from orchidlane.policy.state import PendingRequest, PolicyState

IDLE_CHECKS_PER_REQUEST = 3  # bounds the work that eviction adds to a request
ROUNDING_TOLERANCE_UNITS = 1e-6  # limit and spent total are sums of many amounts, with rounding errors


def quota_requested(state: PolicyState, event: QuotaRequested) -> None:
    """Grant or reject a quota request, by the rules for the first attempt of a request."""
    account = account_of(state, event)
    if admits(state, event, account):
        spend(state, account, event.units)
        state.actions.append(GrantQuota(event.request))
    else:
        state.actions.append(RejectRequest(event.request, 0, over_quota=True))
    evict_idle_accounts(state)


def account_of(state: PolicyState, event: RequestArrived | QuotaRequested) -> Account:
    """Return the account of a request, created if missing.

    Look it up again for each use: an idle account may be evicted while its request is held.
    """
    return quota.update_account_key(
        state, event.customer, event.plan, event.replica_set_start, event.replica_set_size
    )


def admits(state: PolicyState, event: RequestArrived | QuotaRequested, account: Account) -> bool:
    """Return whether ceiling, concurrency limit and quota admit the request."""
    plan = state.settings.plans[account.plan]
    quota.refill(state, account)
    if plan.ceiling_rate and account.ceiling_tokens < event.units:
        token_owner.report_spending(state, account)  # the report also requests tokens
        return False
    if plan.max_in_flight and _estimated_in_flight(state, event, account) >= plan.max_in_flight:
        return False
    if not plan.rate:
        return True
    return not account.exhausted and _available_units(state, account, plan) >= event.units


def _estimated_in_flight(state: PolicyState, event: RequestArrived | QuotaRequested, account: Account) -> int:
    """Return the requests in flight here, plus those that peers admitted within the last baseline latency."""
    baseline_us = state.baseline_latency_us[event.request_class]
    at_peers = sum(state.now - at_us < baseline_us for at_us in account.peer_admissions_at_us)
    return account.in_flight + at_peers


def _available_units(state: PolicyState, account: Account, plan: Plan) -> float:
    """Return the units left to spend.

    After its first request, an account that no peer has reported on has only an equal share of the burst.
    """
    available = account.remaining
    if account.unconfirmed and state.replica in account.replica_counts:
        own_spent = account.replica_counts[state.replica].value
        available = min(available, plan.burst / account.replica_set_size - own_spent)
    return available


def spend(state: PolicyState, account: Account, units: float) -> None:
    """Count units as spent by this gateway, and report them to the token owner."""
    previous = account.replica_counts.get(state.replica)
    if previous is None:
        count = ReplicaCount(state.now // US_PER_MS // gossip_codec.TICK_MS, 0.0 + units)
    else:
        count = ReplicaCount(previous.start, previous.value + units)
    account.spent_total += quota.record_count(account, state.replica, count)
    if state.settings.plans[account.plan].ceiling_rate:
        account.ceiling_tokens -= units
    if account.replica_set_size > 1 and not state.is_standalone:
        _report_change(state, account)


def count_recovered(state: PolicyState, event: CountRecovered) -> None:
    """Merge what another process of this gateway spent, so that a hot restart or a restart loses no units."""
    account = quota.find_or_create_account(
        state, event.customer, event.plan, event.replica_set_start, event.replica_set_size
    )
    quota.refill(state, account)
    count = ReplicaCount(event.start, event.value)
    account.spent_total += quota.record_count(account, state.replica, count)


def replica_set_changed(state: PolicyState, event: ReplicaSetChanged) -> None:
    """Empty this gateway's share of the ceiling, and report to the new token owner.

    Tokens kept from the old replica set would add to those of the new one.
    """
    account = quota.update_account_key(
        state, event.customer, event.plan, event.replica_set_start, event.replica_set_size
    )
    quota.refill(state, account)
    account.ceiling_tokens = 0.0
    account.requested_tokens = 0.0
    if account.replica_counts and account.replica_set_size > 1 and not state.is_standalone:
        _report_change(state, account)


def _report_change(state: PolicyState, account: Account) -> None:
    state.pending_changes[account.customer] = None
    token_owner.report_spending(state, account)


def refill_time_us(state: PolicyState, request: PendingRequest, account: Account) -> int:
    """Return the estimated time until a rejected request's units have refilled, in microseconds.

    Return 0 if they never refill here, or if the time exceeds the settings' ``max_retry_after_us`` or half of
    the latency objective.
    """
    units = request.event.units
    plan = state.settings.plans[account.plan]
    seconds = 0.0
    if plan.rate:
        needed_units = units
        if account.exhausted:
            needed_units = max(units, quota.READMISSION_SHARE * plan.burst)
        seconds = (needed_units - account.remaining) / plan.rate
    if plan.ceiling_rate:
        share = quota.ceiling_share(state, account)
        if share:
            seconds = max(seconds, (units - account.ceiling_tokens) / (plan.ceiling_rate * share))
        else:
            seconds = 0.0  # tokens never refill on a gateway outside the replica set
    wait_us = max(0, int(seconds * US_PER_SECOND))
    max_wait_us = min(state.settings.max_retry_after_us, request.request_class.latency_objective_us / 2)
    return wait_us if wait_us <= max_wait_us else 0


def evict_idle_accounts(state: PolicyState) -> None:
    """Evict a few accounts that are full and idle, so that customers seen only once do not use memory."""
    for _ in range(min(IDLE_CHECKS_PER_REQUEST, len(state.idle_queue))):
        customer = state.idle_queue.popleft()
        account = state.accounts[customer]
        quota.refill(state, account)
        if account.in_flight or account.unconfirmed or not _is_full(state, account):
            state.idle_queue.append(customer)
            continue
        del state.accounts[customer]
        state.pending_changes.pop(customer, None)
        state.exhausted_customers.pop(customer, None)


def _is_full(state: PolicyState, account: Account) -> bool:
    """Return whether an account created again after an eviction would have the same quota."""
    plan = state.settings.plans[account.plan]
    if account.ceiling_tokens < plan.ceiling_burst * quota.ceiling_share(state, account):
        return False
    burst = plan.burst / (account.replica_set_size if state.is_standalone else 1)
    return account.remaining >= burst - ROUNDING_TOLERANCE_UNITS
