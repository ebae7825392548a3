"""Conversions between plain values and the policy's events, actions and messages, for the golden tests."""

from __future__ import annotations

from typing import Any

from orchidlane import policy
from orchidlane.gateway.peers import datagrams
from orchidlane.policy import gossip_codec
from orchidlane.simulator_protocol import codec

ENDPOINT = bytes.fromhex("0a124a072b23")
OTHER_ENDPOINT = bytes.fromhex("0a9011f25423")
SECRET = b"0123456789abcdef"


def customer_row(
    customer: int,
    plan: int,
    replica_set_start: int,
    replica_set_size: int,
    forward_count: int,
    remaining: float,
    spent_total: float,
    tokens: float,
    counts: tuple,
) -> gossip_codec.CustomerRow:
    """Return one customer's row of a gossip message."""
    return gossip_codec.CustomerRow(
        customer,
        plan,
        replica_set_start,
        replica_set_size,
        forward_count,
        remaining,
        spent_total,
        tokens,
        counts,
    )


def row_values(row: gossip_codec.CustomerRow) -> list:
    """Return a row of a gossip message as plain values."""
    amounts = [row.remaining, row.spent_total, row.tokens, [list(count) for count in row.replica_counts]]
    return [row.customer, row.plan, row.replica_set_start, row.replica_set_size, row.forward_count, *amounts]


def message_values(message: gossip_codec.GossipMessage | None) -> list | None:
    """Return a decoded gossip message as plain values, or None if it was not valid."""
    if message is None:
        return None
    return [
        message.sent_at_ms,
        message.wants_reply,
        message.to_token_owner,
        [row_values(row) for row in message.rows],
    ]


def request_values(event: policy.RequestArrived) -> list:
    """Return a client's request as plain values."""
    details = [
        event.units,
        event.time_left_us,
        event.replica_set_start,
        event.replica_set_size,
        event.is_retry,
    ]
    return [event.request, event.customer, event.plan, event.request_class, *details]


def outcome_values(event: policy.AttemptFinished) -> list:
    """Return an attempt's outcome as plain values."""
    details = [
        event.outcome.value,
        event.duration_us,
        event.final_response_sent,
        event.reported_usage,
        event.true_units,
    ]
    return [event.request, event.attempt, event.endpoint.hex(), *details, list(event.load_report)]


def list_values(event: policy.EndpointListReceived) -> list:
    """Return an endpoint list as plain values."""
    entries = [
        [
            entry.endpoint.hex(),
            entry.state.value,
            entry.zone,
            entry.cell,
            entry.started_at_us,
            entry.capacity_share,
        ]
        for entry in event.entries
    ]
    return [event.kind.value, event.version, entries]


def start_values(event: codec.StartGateway) -> list:
    """Return a gateway's start as plain values."""
    return [event.seed, settings_values(event.settings)]


EVENT_VALUES: dict[type, Any] = {
    policy.TimerFired: lambda event: [event.token],
    policy.PeerMessageReceived: lambda event: [event.sender, event.body.hex()],
    policy.ClientDisconnected: lambda event: [event.request],
    policy.ResponseStreamStarted: lambda event: [
        event.request,
        event.attempt,
        event.endpoint.hex(),
        event.duration_us,
    ],
    policy.RequestArrived: request_values,
    policy.AttemptFinished: outcome_values,
    policy.EndpointListReceived: list_values,
    policy.CounterCallFinished: lambda event: [
        event.name,
        event.outcome.value,
        event.value,
        event.duration_us,
    ],
    policy.HealthCheckFinished: lambda event: [
        event.endpoint.hex(),
        event.outcome.value,
        event.duration_us,
        list(event.load_report),
    ],
    codec.StartGateway: start_values,
    codec.StopGateway: lambda _: [],
}


# By the code of their record
ACTIONS: dict[int, list[policy.Action]] = {
    65: [policy.SendAttempt(0x5D3A91C4, ENDPOINT, 0x8194DA), policy.SendAttempt(7, ENDPOINT, 0)],
    66: [policy.RejectRequest(7, 9), policy.RejectRequest(7, 0, True)],
    67: [policy.FailRequest(7)],
    68: [policy.CancelAttempt(7, 2)],
    69: [policy.SetTimer(500_000, 77)],
    70: [policy.CheckHealth(ENDPOINT)],
    72: [policy.SendPeerMessage(0xFFFF, b"hi 7"), policy.SendPeerMessage(2, b"")],
    75: [policy.WatchEndpoints()],
    76: [policy.FetchEndpoints()],
}


ACTIONS_WITHOUT_RECORD = {policy.GrantQuota}


def settings_values(settings: policy.Settings) -> dict:
    """Return settings as plain values, under the names in the golden file."""
    return {
        "rank and fleet": [settings.replica, settings.replica_count, settings.zone],
        "classes": [
            [
                c.latency_objective_us,
                c.deadline_us,
                c.priority_weight,
                c.late_priority_weight,
                c.idempotency.value,
                c.deduplication_scope.value,
                c.deduplication_window_us,
            ]
            for c in settings.classes
        ],
        "plans": [
            [p.rate, p.burst, p.max_in_flight, p.price, p.over_quota_credit, p.over_quota_charge]
            for p in settings.plans
        ],
        "ceilings": [[p.ceiling_rate, p.ceiling_burst, p.ceiling_slack] for p in settings.plans],
        "permissions": [
            settings.may_gossip,
            settings.may_check_health,
            settings.may_cancel,
            settings.may_hedge,
        ],
        "attempts": [settings.max_attempts, settings.max_retry_after_us],
        **_charge_and_endpoint_values(settings),
    }


def _charge_and_endpoint_values(settings: policy.Settings) -> dict:
    return {
        "charges": [
            settings.peer_messages_per_second,
            settings.peer_charge,
            settings.health_check_charge,
            settings.waste_charge,
            settings.cross_zone_charge,
        ],
        "counter and list": [
            settings.has_shared_counter,
            settings.polls_endpoint_list,
            settings.poll_timeout_us,
        ],
        "reports": [settings.load_report_source.value, list(settings.load_report_names)],
        "nodes": [
            settings.slow_start_initial_share,
            settings.slow_start_duration_us,
            settings.overload_multiple,
            settings.overload_duration_us,
            settings.drain_grace_us,
        ],
    }


def seal_datagram(kind: int, body: bytes, sequence: int = 5, incarnation: int = 900) -> bytes:
    """Return a sealed datagram from gateway 1 to gateway 2."""
    return datagrams.encode_datagram(SECRET, 1, 2, incarnation, sequence, body, kind)
