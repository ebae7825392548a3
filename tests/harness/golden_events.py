"""The policy's events, actions and messages, built in one place from plain values for the golden tests."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from orchidlane import policy
from orchidlane.gateway.peers import datagrams
from orchidlane.policy import gossip_codec
from orchidlane.simulator_protocol import codec

MATERIALS = Path(__file__).parent.parent.parent / "examples" / "materials"


SECOND = 1_000_000


SERVER = bytes.fromhex("0a124a072b23")


OTHER_SERVER = bytes.fromhex("0a9011f25423")


SECRET = b"0123456789abcdef"


def counts_row(customer, plan, first, size, reach, room, total, rights, counts) -> gossip_codec.CustomerRow:
    """What a message tells of one customer."""
    return gossip_codec.CustomerRow(customer, plan, first, size, reach, room, total, rights, counts)


def row_values(row: gossip_codec.CustomerRow) -> list:
    """The same as plain values."""
    amounts = [row.remaining, row.spent_total, row.tokens, [list(count) for count in row.replica_counts]]
    return [row.customer, row.plan, row.replica_set_start, row.replica_set_size, row.forward_count, *amounts]


def message_values(message: gossip_codec.GossipMessage | None) -> list | None:
    """A decoded message as plain values."""
    if message is None:
        return None
    return [
        message.sent_at_ms,
        message.wants_reply,
        message.to_token_owner,
        [row_values(row) for row in message.rows],
    ]


def request_values(event: policy.RequestArrived) -> list:
    """A client's request as plain values."""
    counts = [
        event.units,
        event.time_left_us,
        event.replica_set_start,
        event.replica_set_size,
        event.is_retry,
    ]
    return [event.request, event.customer, event.plan, event.request_class, *counts]


def outcome_values(event: policy.AttemptEnded) -> list:
    """How an attempt ended as plain values."""
    ended = [event.outcome.value, event.duration_us, event.answered, event.use, event.true_units]
    return [event.request, event.attempt, event.endpoint.hex(), *ended, list(event.load_report)]


def list_values(event: policy.EndpointListReceived) -> list:
    """News of discovery as plain values."""
    entries = [
        [one.endpoint.hex(), one.state.value, one.zone, one.cell, one.started_at_us, one.capacity_share]
        for one in event.entries
    ]
    return [event.kind.value, event.version, entries]


def start_values(event: codec.StartGateway) -> list:
    """A gateway's start as plain values."""
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
    policy.AttemptEnded: outcome_values,
    policy.EndpointListReceived: list_values,
    policy.CounterAnswered: lambda event: [event.name, event.outcome.value, event.value, event.duration_us],
    policy.HealthCheckEnded: lambda event: [
        event.endpoint.hex(),
        event.outcome.value,
        event.duration_us,
        list(event.load_report),
    ],
    codec.StartGateway: start_values,
    codec.StopGateway: lambda event: [],
}


ACTIONS: dict[int, list[policy.Action]] = {  # by the code of its record
    65: [policy.SendAttempt(0x5D3A91C4, SERVER, 0x8194DA), policy.SendAttempt(7, SERVER, 0)],
    66: [policy.RejectRequest(7, 9), policy.RejectRequest(7, 0, True)],
    67: [policy.FailRequest(7)],
    68: [policy.CancelAttempt(7, 2)],
    69: [policy.SetTimer(500_000, 77)],
    70: [policy.CheckHealth(SERVER)],
    72: [policy.SendPeerMessage(0xFFFF, b"hi 7"), policy.SendPeerMessage(2, b"")],
    75: [policy.WatchEndpoints()],
    76: [policy.FetchEndpoints()],
}


NOT_OF_THE_WIRE = {policy.GrantQuota}


def settings_values(s: policy.Settings) -> dict:
    """Settings as plain values under names of their own."""
    return {
        "rank and fleet": [s.replica, s.replica_count, s.zone],
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
            for c in s.classes
        ],
        "plans": [
            [p.rate, p.burst, p.max_in_flight, p.price, p.over_quota_credit, p.over_quota_charge]
            for p in s.plans
        ],
        "ceilings": [[p.ceiling_rate, p.ceiling_burst, p.ceiling_slack] for p in s.plans],
        "permissions": [s.may_gossip, s.may_check_health, s.may_cancel, s.may_hedge],
        "attempts": [s.max_attempts, s.max_retry_after_us],
        "charges": [
            s.peer_messages_per_second,
            s.peer_charge,
            s.health_check_charge,
            s.waste_charge,
            s.cross_zone_charge,
        ],
        "counter and list": [s.has_shared_counter, s.polls_endpoint_list, s.poll_timeout_us],
        "reports": [s.load_report_source.value, list(s.load_report_names)],
        "nodes": [
            s.slow_start_initial_share,
            s.slow_start_duration_us,
            s.overload_multiple,
            s.overload_duration_us,
            s.drain_grace_us,
        ],
    }


def sealed(kind: int, body: bytes, sequence: int = 5, incarnation: int = 900) -> bytes:
    """A datagram from gateway 1 to gateway 2."""
    return datagrams.encode_datagram(SECRET, 1, 2, incarnation, sequence, body, kind)
