"""Parses the settings that a gateway starts with: JSON with the protocol's names, mapped to the policy's."""

from __future__ import annotations

import json
from typing import Any

from orchidlane import policy
from orchidlane.simulator_protocol.errors import ProtocolError

IDEMPOTENCY_BY_EFFECT = {
    "repeatable": policy.Idempotency.IDEMPOTENT,
    "by_key": policy.Idempotency.IDEMPOTENT_WITH_KEY,
    "once": policy.Idempotency.NOT_IDEMPOTENT,
}
LOAD_REPORT_SOURCE_BY_NAME = {
    "inline": policy.LoadReportSource.INLINE,
    "on_probe": policy.LoadReportSource.ON_HEALTH_CHECK,
    "off": policy.LoadReportSource.NONE,
}


def parse_settings(text: bytes) -> policy.Settings:
    """Return the policy's settings; unknown keys are ignored.

    Raises ProtocolError, which names a missing key.
    """
    try:
        values = json.loads(text)
    except ValueError:
        raise ProtocolError("the settings are not valid JSON") from None
    try:
        return _settings(values)
    except KeyError as error:
        raise ProtocolError(f"the settings lack a key, or have an unknown value: {error.args[0]!r}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"the settings have a value that is not valid: {error}") from None


def _settings(values: dict[str, Any]) -> policy.Settings:
    family = values["familyInfo"]
    permissions = values["permissions"]
    rules = values["rules"]
    charges = values["charges"]
    load_report = values["loadReport"]
    return policy.Settings(
        replica=int(values["rank"]),
        replica_count=int(values["balancers"]),
        zone=int(values["locality"]),
        classes=tuple(_request_class(request_class) for request_class in values["classes"]),
        plans=tuple(_plan(plan) for plan in values["packages"]),
        may_gossip=bool(permissions["peers"]),
        may_check_health=bool(permissions["probes"]),
        may_cancel=bool(permissions["cancel"]),
        may_hedge=bool(permissions["secondCopies"]),
        max_attempts=int(permissions["maxAttempts"]),
        max_retry_after_us=int(permissions["maxRetryAfter"]) if permissions["retryAfter"] else 0,
        peer_messages_per_second=float(family["peerIntake"]),
        peer_charge=float(charges["peer"]),
        health_check_charge=float(charges["probe"]),
        waste_charge=float(charges["waste"]),
        cross_zone_charge=float(charges["crossZone"]),
        has_shared_counter=bool(family["sharedCounter"]),
        polls_endpoint_list=values["discovery"] == "on_request",
        poll_timeout_us=int(rules["askWithin"]),
        load_report_source=LOAD_REPORT_SOURCE_BY_NAME[load_report["how"]],
        load_report_names=tuple(load_report["names"]),
        slow_start_initial_share=float(rules["coldFrom"]),
        slow_start_duration_us=int(rules["warmWithin"]),
        overload_multiple=float(rules["fallMultiple"]),
        overload_duration_us=int(rules["overloadFor"]),
        drain_grace_us=int(rules["drainGrace"]),
    )


def _request_class(values: dict[str, Any]) -> policy.RequestClass:
    return policy.RequestClass(
        latency_objective_us=int(values["target"]),
        deadline_us=int(values["deadline"]),
        priority_weight=float(values["credit"]),
        late_priority_weight=float(values["lateWorth"]),
        idempotency=IDEMPOTENCY_BY_EFFECT[values["effect"]],
        deduplication_scope=policy.DeduplicationScope(values["group"]),
        deduplication_window_us=int(values["dedupWindow"]),
    )


def _plan(values: dict[str, Any]) -> policy.Plan:
    return policy.Plan(
        rate=float(values["perSecond"]),
        burst=float(values["peakUnits"]),
        max_in_flight=int(values["open"]),
        price=float(values["pays"]),
        over_quota_credit=float(values["beyondEarns"]),
        over_quota_charge=float(values["overrunCost"]),
        ceiling_rate=float(values["hardRate"]),
        ceiling_burst=float(values["capDepth"]),
        ceiling_slack=float(values["capSlack"]),
    )
