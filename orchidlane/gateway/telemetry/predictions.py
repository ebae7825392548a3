"""Predicts what a gateway's policy would do next, with copies that are restored from a view.

Each copy receives one more request, so the gateway's own policy does not change. The gateway and all tools
use the same functions for this.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from orchidlane import policy, recording
from orchidlane.gateway.telemetry.policy_views import PolicyView, ViewedCustomer, ViewError
from orchidlane.policy.gateway import Gateway

PREDICTED_REQUEST_NUMBER = (1 << 32) - 1
UNKNOWN_CUSTOMER_NUMBER = (1 << 33) - 1
ENDPOINT_SAMPLES = 64  # copies that each select an endpoint, since the selection is random
NEGLIGIBLE_UNITS = 1e-6
UNCONFIRMED = "its share while no other gateway has told of it"
# A plan's limits, by the texts that the command prints, with the settings of a plan without that limit.
PLAN_WITHOUT_LIMIT: dict[str, dict[str, Any]] = {
    "the ceiling: this gateway's part of it": {"ceiling_rate": 0.0},
    "the cap on requests open at once": {"max_in_flight": 0},
    "the quota": {"rate": 0.0},
    UNCONFIRMED: {},
}


class Decision(StrEnum):
    """The first decision on a request; the values are part of the command's output."""

    FORWARDED = "sent"
    REJECTED = "refused"
    HELD = "held"


@dataclass(frozen=True)
class Prediction:
    """The decision on the next request, and the customer's account before it."""

    decision: Decision
    reason: str
    remaining: float
    limit: float
    spent: float
    exhausted: bool
    counts: dict[int, float]  # by replica


def predict_request(view: PolicyView, request_class: int, units: float) -> Prediction:
    """Return what the policy would decide on one more request of the view's customer, and why.

    Raises ViewError.
    """
    customer = _customer_of(view)
    gateway = _restore(view)
    actions = _feed_request(gateway, view.now, customer, request_class, units)
    account = gateway.accounts[customer.number]
    decision = _decision_of(actions)
    own_units = units if decision is Decision.FORWARDED else 0.0
    rejection = _rejection(actions)
    if rejection is None:
        reason = "within the quota"
    elif rejection.over_quota:
        reason = _rejecting_limit(view, request_class, units)
    else:
        reason = "no node is expected to answer in time"
    return Prediction(
        decision=decision,
        reason=reason,
        remaining=account.remaining + own_units,
        limit=account.limit,
        spent=account.spent_total - own_units,
        exhausted=account.exhausted,
        counts={replica: value for replica, (_, value) in account.replica_counts.items()},
    )


def predict_endpoints(view: PolicyView, request_class: int) -> dict[bytes, int]:
    """Return for each endpoint how many of ``ENDPOINT_SAMPLES`` copies would forward the next request to it.

    Each copy has its own random seed. Raises ViewError.
    """
    forwarded: Counter[bytes] = Counter()
    for seed in range(ENDPOINT_SAMPLES):
        gateway = _restore(view)
        gateway.random.seed(seed)
        plans = gateway.settings.plans
        plan = next((number for number, plan in enumerate(plans) if not plan.rate), 0)
        customer = ViewedCustomer(UNKNOWN_CUSTOMER_NUMBER, plan, 0, 1)
        actions = _feed_request(gateway, view.now, customer, request_class, NEGLIGIBLE_UNITS)
        forwarded.update(action.endpoint for action in actions if isinstance(action, policy.SendAttempt))
    return dict(forwarded)


def _customer_of(view: PolicyView) -> ViewedCustomer:
    if view.customer is None:
        raise ViewError("the view has no customer, which a prediction needs")
    return view.customer


def _restore(view: PolicyView) -> Gateway:
    try:
        return recording.restore_gateway(view.policy_settings(), view.state)
    except recording.FormatError as error:
        raise ViewError(str(error)) from None


def _feed_request(
    gateway: Gateway, now: int, customer: ViewedCustomer, request_class: int, units: float
) -> list[policy.Action]:
    arrival = policy.RequestArrived(
        request=PREDICTED_REQUEST_NUMBER,
        customer=customer.number,
        plan=customer.plan,
        request_class=request_class,
        units=units,
        time_left_us=gateway.settings.classes[request_class].deadline_us,
        replica_set_start=customer.replica_set_start,
        replica_set_size=customer.replica_set_size,
        is_retry=False,
    )
    return gateway.handle(now, arrival)


def _decision_of(actions: list[policy.Action]) -> Decision:
    if any(isinstance(action, policy.SendAttempt) for action in actions):
        return Decision.FORWARDED
    return Decision.REJECTED if _rejection(actions) is not None else Decision.HELD


def _rejection(actions: list[policy.Action]) -> policy.RejectRequest | None:
    return next((action for action in actions if isinstance(action, policy.RejectRequest)), None)


def _is_over_quota(actions: list[policy.Action]) -> bool:
    return any(isinstance(action, policy.RejectRequest) and action.over_quota for action in actions)


def _rejecting_limit(view: PolicyView, request_class: int, units: float) -> str:
    """Return which limits reject a request: each of those without which a copy of the policy admits it.

    This way, the conditions of the policy are not repeated here.
    """
    customer = _customer_of(view)
    limits = []
    for limit, changes in PLAN_WITHOUT_LIMIT.items():
        gateway = _restore(view)
        account = gateway.accounts.get(customer.number)
        if limit == UNCONFIRMED and account is not None:
            account.unconfirmed = False
        plans = list(gateway.settings.plans)
        plans[customer.plan] = replace(plans[customer.plan], **changes)
        gateway.settings = replace(gateway.settings, plans=tuple(plans))
        if not _is_over_quota(_feed_request(gateway, view.now, customer, request_class, units)):
            limits.append(limit)
    return " or ".join(limits) or "more than one limit at once"
