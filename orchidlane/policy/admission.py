"""Admission: requests against quota, concurrency limit and ceiling; spending; eviction of idle accounts."""

from __future__ import annotations

from orchidlane.policy import gossip_codec, quota, token_owner
from orchidlane.policy.accounts import Account, ReplicaCount
from orchidlane.policy.actions import GrantQuota, RejectRequest
from orchidlane.policy.constants import US_PER_MS, US_PER_SECOND
from orchidlane.policy.events import CountRecovered, QuotaRequested, ReplicaSetChanged, RequestArrived
from orchidlane.policy.settings import Plan
from orchidlane.policy.state import PendingRequest, PolicyState

IDLE_CHECKS_PER_REQUEST = 3  # bounds the work of eviction
ROUNDING_TOLERANCE_UNITS = 1e-6  # of limit and total, which are sums of many amounts


def quota_requested(state: PolicyState, event: QuotaRequested) -> None:
    """Grant or reject units that are wanted without an endpoint, as for the first attempt of a request."""
    account = account_of(state, event)
    if admits(state, event, account):
        spend(state, account, event.units)
        state.actions.append(GrantQuota(event.request))
    else:
        state.actions.append(RejectRequest(event.request, 0, over_quota=True))
    evict_idle_accounts(state)


def account_of(state: PolicyState, event: RequestArrived | QuotaRequested) -> Account:
    """Return the account of a request; anew for each use, as a held request may outlive an idle account."""
    return quota.update_account_key(
        state, event.customer, event.plan, event.replica_set_start, event.replica_set_size
    )


def admits(state: PolicyState, event: RequestArrived | QuotaRequested, account: Account) -> bool:
    """Tell whether ceiling, concurrency limit and quota admit the request."""
    plan = state.settings.plans[account.plan]
    quota.refill(state, account)
    if plan.ceiling_rate and account.ceiling_tokens < event.units:
        token_owner.report_spending(state, account)  # which requests tokens
        return False
    if plan.max_in_flight and _in_flight(state, event, account) >= plan.max_in_flight:
        return False
    if not plan.rate:
        return True
    return not account.exhausted and _available_units(state, account, plan) >= event.units


def _in_flight(state: PolicyState, event: RequestArrived | QuotaRequested, account: Account) -> int:
    """Count requests in flight here, and at peers those admitted within the baseline latency."""
    baseline_us = state.baseline_latency_us[event.request_class]
    at_peers = sum(state.now - at_us < baseline_us for at_us in account.peer_admissions_at_us)
    return account.in_flight + at_peers


def _available_units(state: PolicyState, account: Account, plan: Plan) -> float:
    """Return the units left to spend: until peers report, an equal share of the burst after one request."""
    available = account.remaining
    if account.unconfirmed and state.replica in account.replica_counts:
        own_spent = account.replica_counts[state.replica].value
        available = min(available, plan.burst / account.replica_set_size - own_spent)
    return available


def spend(state: PolicyState, account: Account, units: float) -> None:
    """Count units as spent by this gateway, and report them."""
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
    """Merge what another process of this gateway spent: units must not be lost in an upgrade or a restart."""
    account = quota.find_or_create_account(
        state, event.customer, event.plan, event.replica_set_start, event.replica_set_size
    )
    quota.refill(state, account)
    count = ReplicaCount(event.start, event.value)
    account.spent_total += quota.record_count(account, state.replica, count)


def replica_set_changed(state: PolicyState, event: ReplicaSetChanged) -> None:
    """Empty the share of the ceiling, as a migration must create no tokens, and report to the new owner."""
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
    """Return the time until a rejected request's units have refilled, as far as known; 0 if that is long."""
    units = request.event.units
    plan = state.settings.plans[account.plan]
    seconds = 0.0
    if plan.rate:
        wanted = units
        if account.exhausted:
            wanted = max(units, quota.READMITTED_FROM_SHARE * plan.burst)
        seconds = (wanted - account.remaining) / plan.rate
    if plan.ceiling_rate:
        share = quota.ceiling_share(state, account)
        if share:
            seconds = max(seconds, (units - account.ceiling_tokens) / (plan.ceiling_rate * share))
        else:
            seconds = 0.0  # nothing refills where this gateway is no member of the set
    wait_us = max(0, int(seconds * US_PER_SECOND))
    longest_us = min(state.settings.max_retry_after_us, request.request_class.latency_objective_us / 2)
    return wait_us if wait_us <= longest_us else 0


def evict_idle_accounts(state: PolicyState) -> None:
    """Forget some accounts that are full and idle: customers that come once must not cost memory."""
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
    """Tell whether an account created anew would be the same."""
    plan = state.settings.plans[account.plan]
    if account.ceiling_tokens < plan.ceiling_burst * quota.ceiling_share(state, account):
        return False
    burst = plan.burst / (account.replica_set_size if state.is_standalone else 1)
    return account.remaining >= burst - ROUNDING_TOLERANCE_UNITS
