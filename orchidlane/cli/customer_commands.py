"""Commands that show customers' counts at gateways, and how two gateways' views of a customer differ."""

from __future__ import annotations

import sys
from typing import Any

import click

from orchidlane.cli.errors import report_input_errors
from orchidlane.cli.output import print_result
from orchidlane.cli.views import find_sources, load_customer_view, open_state, request_class_number
from orchidlane.gateway.telemetry.plan_counts import count_by_plan
from orchidlane.gateway.telemetry.policy_views import PolicyView, ViewError
from orchidlane.gateway.telemetry.predictions import Prediction, predict_request

MAX_CUSTOMERS_SHOWN = 10  # per plan; those nearest to their limit
MICROSECONDS_PER_SECOND = 1e6
CountPair = list[float | None]


@click.command()
@click.argument("where")
@click.argument("customer", required=False)
@click.option("--plan", help="All customers of a plan, in place of one.")
@click.option("--class", "class_name", default="", help="Class of the next request; the first if left out.")
@click.option("--units", type=float, default=1.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def counts(
    where: str, customer: str | None, plan: str | None, class_name: str, units: float, as_json: bool
) -> None:
    """A customer's counts, and what would become of its next request; or a plan's counts.

    WHERE is a gateway's admin address, a state saved by `state`, or a settings file for all its gateways.
    CUSTOMER is a name, a number or a key.
    """
    with report_input_errors():
        if (customer is None) == (plan is None):
            raise ValueError("exactly one of CUSTOMER and --plan is required")
        if plan is not None:
            rows = [_plan_row(source, plan) for source in find_sources(where)]
        else:
            assert customer is not None
            rows = [_customer_row(source, customer, class_name, units) for source in find_sources(where)]
    lines = [line for row in rows for line in _format_row(row)]
    print_result(rows if len(rows) > 1 else rows[0], lines, as_json)


def _format_row(row: dict[str, Any]) -> list[str]:
    lines = [f"{name:9} {value}" for name, value in row.items() if name not in ("counts", "pressed")]
    lines += [f"  gateway {replica:4} {count}" for replica, count in row.get("counts", {}).items()]
    lines += [f"  customer {number:10} {share:.0%} of its burst" for number, share in row.get("pressed", ())]
    return lines


def _customer_row(source: str, customer: str, class_name: str, units: float) -> dict[str, Any]:
    view = load_customer_view(source, customer)
    prediction = predict_request(view, request_class_number(view, class_name), units)
    return {
        "gateway": view.gateway,
        "plan": view.plan_names[view.customer.plan] if view.customer else "",
        "decision": prediction.decision.value,
        "why": prediction.reason,
        "room": round(prediction.remaining, 3),
        "limit": round(prediction.limit, 3),
        "spent": round(prediction.spent, 3),
        "counts": {str(replica): round(count, 3) for replica, count in prediction.counts.items()},
    }


def _plan_row(source: str, plan: str) -> dict[str, Any]:
    with open_state(source) as reader:
        if plan not in reader.header.plan_names:
            raise ViewError(f"no plan {plan!r}, allowed: {', '.join(reader.header.plan_names)}")
        plan_counts = count_by_plan(reader, MAX_CUSTOMERS_SHOWN).get(plan)
        gateway = reader.header.gateway
    if plan_counts is None:
        return {"gateway": gateway, "plan": plan, "customers": 0}
    return {
        "gateway": gateway,
        "plan": plan,
        "customers": plan_counts.customers,
        "spent": round(plan_counts.spent, 3),
        "room": round(plan_counts.remaining, 3),
        "closed": plan_counts.exhausted,
        "unheard": plan_counts.unconfirmed,
        "out": plan_counts.in_flight,
        "pressed": [[customer, round(share, 4)] for share, customer in plan_counts.nearest_to_limit],
    }


@click.command()
@click.argument("admins", nargs=2)
@click.argument("customer")
@click.option("--json", "as_json", is_flag=True)
def diff(admins: tuple[str, str], customer: str, as_json: bool) -> None:
    """Two gateways' views of one customer, and when they would agree; exit 1 where decisions differ."""
    with report_input_errors():
        views = [load_customer_view(admin, customer) for admin in admins]
        predictions = [predict_request(view, 0, 1.0) for view in views]
    different_counts = _different_counts(predictions)
    value = {
        "decisions": [prediction.decision.value for prediction in predictions],
        "why": [prediction.reason for prediction in predictions],
        "spent": [round(prediction.spent, 3) for prediction in predictions],
        "room": [round(prediction.remaining, 3) for prediction in predictions],
        "counts_apart": {str(replica): pair for replica, pair in different_counts.items()},
        "agree": _when_views_agree(views, different_counts),
    }
    print_result(value, [f"{name:13} {text}" for name, text in value.items()], as_json)
    sys.exit(0 if predictions[0].decision == predictions[1].decision else 1)


def _different_counts(predictions: list[Prediction]) -> dict[int, CountPair]:
    """Return the replicas whose counts differ, with both counts."""
    replicas = sorted(set(predictions[0].counts) | set(predictions[1].counts))
    pairs: dict[int, CountPair] = {
        replica: [prediction.counts.get(replica) for prediction in predictions] for replica in replicas
    }
    return {replica: pair for replica, pair in pairs.items() if pair[0] != pair[1]}


def _when_views_agree(views: list[PolicyView], different_counts: dict[int, CountPair]) -> str:
    """Return when the views will agree: a gateway's next message to the other holds its pending changes."""
    if not different_counts:
        return "now"
    first, second = (view.policy_settings().replica for view in views)
    last_seen = [
        _describe_last_seen(views[0], first, second),
        _describe_last_seen(views[1], second, first),
    ]
    if any(view.state.pending_changes for view in views):
        when = "with the next message between them"
    else:
        when = "with the next admitted request: no change is pending"
    return f"{when}; {', '.join(last_seen)}"


def _describe_last_seen(view: PolicyView, replica: int, other: int) -> str:
    seen_at_us = dict(view.state.last_seen).get(other)
    if seen_at_us is None:
        return f"gateway {replica}: gateway {other} never seen"
    age = (view.now - seen_at_us) / MICROSECONDS_PER_SECOND
    return f"gateway {replica}: gateway {other} last seen {age:.1f} s ago"
