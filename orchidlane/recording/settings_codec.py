"""Converts the policy's settings to and from their stored form, whose names differ from the code's.

Traffic records, state files, hot restart messages and the admin API have the settings in this form, and its
names never change. The table ``STORED_NAMES`` maps the fields of the code to them.
"""

from __future__ import annotations

from typing import Any

import msgspec

from orchidlane import policy

STORED_NAMES: dict[type, dict[str, str]] = {
    policy.Settings: {
        "replica": "rank",
        "replica_count": "gateways",
        "may_gossip": "may_tell_peers",
        "may_check_health": "may_probe",
        "may_hedge": "may_copy",
        "max_retry_after_us": "max_retry_after",
        "peer_messages_per_second": "peer_intake",
        "health_check_charge": "probe_charge",
        "has_shared_counter": "has_counter",
        "polls_endpoint_list": "asks_for_list",
        "poll_timeout_us": "ask_within",
        "load_report_source": "reports",
        "load_report_names": "report_names",
        "slow_start_initial_share": "cold_from",
        "slow_start_duration_us": "warm_within",
        "overload_multiple": "fall_multiple",
        "overload_duration_us": "overload_for",
        "drain_grace_us": "drain_grace",
    },
    policy.RequestClass: {
        "latency_objective_us": "aim",
        "deadline_us": "deadline",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
        "idempotency": "effect",
        "deduplication_scope": "group",
        "deduplication_window_us": "window",
    },
    policy.Plan: {
        "max_in_flight": "open",
        "over_quota_credit": "beyond_earns",
        "over_quota_charge": "beyond_costs",
    },
}
_CODE_NAMES = {
    settings_type: {stored: name for name, stored in names.items()}
    for settings_type, names in STORED_NAMES.items()
}
_NESTED_TYPES: dict[str, type] = {"classes": policy.RequestClass, "plans": policy.Plan}


def settings_to_stored(settings: policy.Settings) -> dict[str, Any]:
    """Return settings as plain values under their stored names, in the order of the fields."""
    return _rename_fields(msgspec.to_builtins(settings), STORED_NAMES)


def settings_from_stored(stored: dict[str, Any]) -> policy.Settings:
    """Return settings from their stored form. Raises msgspec.ValidationError for invalid values."""
    return msgspec.convert(_rename_fields(stored, _CODE_NAMES), policy.Settings)


def _rename_fields(values: dict[str, Any], names: dict[type, dict[str, str]]) -> dict[str, Any]:
    renamed = _rename_keys(values, names[policy.Settings])
    for field, entry_type in _NESTED_TYPES.items():
        entries = renamed.get(field)
        if isinstance(entries, (list, tuple)):
            renamed[field] = [_rename_keys(entry, names[entry_type]) for entry in entries]
    return renamed


def _rename_keys(values: Any, names: dict[str, str]) -> Any:
    if not isinstance(values, dict):
        return values
    return {names.get(name, name): value for name, value in values.items()}
