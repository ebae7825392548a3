"""Events and settings as records of the simulator protocol's bytes, which no name in the code changes."""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass

from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec, settings_json

MS, SECOND = 1_000, 1_000_000
START_US = 1_000 * SECOND
SERVED, ERROR, ENDPOINT_FULL, TIMED_OUT, CONNECT_FAILED, CONNECTION_BROKEN, CANCELLED, NOT_SENT = (
    100, 301, 302, 303, 304, 305, 306, 307,
)  # fmt: skip
GONE, READY, DRAINING = 0, 1, 2
DELTA, COMPLETE, CACHED, FAILED = 0, 1, 2, 3
SEND, REJECT, FAIL, CANCEL, SET_TIMER, SEND_PEER_MESSAGE, POLICY_FAILURE, WATCH_ENDPOINTS = (
    65,
    66,
    67,
    68,
    69,
    72,
    74,
    75,
)


# What names the code's types: nothing else in this file does


def make_gateway(settings: bytes, seed: int, now: int) -> Gateway:
    """A gateway under test."""
    return Gateway(settings_json.parse_settings(settings), seed, now)


def quota_requested_event(
    request: int, customer: int, plan: int, kind: int, units: float, first: int, size: int
):
    """Quota is requested without an endpoint."""
    return policy.QuotaRequested(request, customer, plan, kind, units, first, size)


def count_recovered_event(customer: int, plan: int, first: int, size: int, start: int, value: float):
    """A count of another process of this gateway."""
    return policy.CountRecovered(customer, plan, first, size, start, value)


def replica_set_changed_event(customer: int, plan: int, first: int, size: int):
    """A customer's replica set changes."""
    return policy.ReplicaSetChanged(customer, plan, first, size)


def action_bytes(gateway: int, action) -> bytes:
    """An action as the protocol encodes it; it has no record of grants and of the reason of a rejection."""
    if isinstance(action, policy.GrantQuota):
        return struct.pack("<BHI", 200, gateway, action.request)
    encoder = codec.Encoder()
    encoder.add_action(gateway, action)
    found = encoder.encode_reply()[8:]
    if isinstance(action, policy.RejectRequest):
        found += b"beyond quota" if action.over_quota else b""
    return found


# Records of the wire


def record(code: int, layout: str, *values) -> bytes:
    """A record of an event."""
    return struct.pack("<B" + layout, code, *values).ljust(48, b"\0")


def request_record(gateway, request, customer, plan, kind, units, left, first, size, repeat) -> bytes:
    """A client's request."""
    values = gateway, request, kind, plan, customer, left, units, float(size), float(first), 2 * repeat
    return record(5, "HIBHQIfffH", *values)


def outcome_record(gateway, request, attempt, server, outcome, took, answered) -> bytes:
    """How an attempt ended."""
    values = gateway, request, attempt, server, outcome, took, answered, 40, 1, 2, 0.5, 3.0, 0.0, 0.0
    return record(6, "HIH6sHIBHHB4f", *values)


def frame(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    """A frame of records."""
    body = b"".join(records) + tail
    return struct.pack("<IIQ", len(records), len(body), now) + body


def settings_text(rank: int, gateways: int, **permissions) -> bytes:
    """Settings with every kind of class and plan; all figures are made up."""

    def request_class(effect: str, group: str, window: int, deadline: int) -> dict:
        times = {"target": 400_000, "deadline": deadline, "dedupWindow": window}
        return {"effect": effect, "group": group, "credit": 1.0, "lateWorth": 0.2, **times}

    def plan(rate: float, burst: float, opened: int = 0, ceiling=(0.0, 0.0, 0.0)) -> dict:
        money = {"pays": 1.0, "beyondEarns": 0.2, "overrunCost": 1.0}
        hard_rate, depth, slack = ceiling
        limits = {"perSecond": rate, "peakUnits": burst, "open": opened, "hardRate": hard_rate}
        return {**limits, "capDepth": depth, "capSlack": slack, **money}

    classes = [
        request_class("repeatable", "all", 0, 2_000_000),
        request_class("by_key", "cell", 900_000, 2_500_000),
        request_class("by_key", "zone", 900_000, 2_500_000),
        request_class("by_key", "all", 600_000, 2_500_000),
        request_class("once", "all", 0, 2_000_000),
    ]
    plans = [
        plan(30.0, 20.0),
        plan(20.0, 12.0, opened=2),
        plan(40.0, 20.0, ceiling=(50.0, 24.0, 3.0)),
        plan(0.0, 0.0),
        plan(4.0, 6.0),
        plan(0.0, 0.0, ceiling=(8.0, 12.0, 1.0)),
    ]
    may = {
        "peers": True,
        "probes": True,
        "cancel": True,
        "secondCopies": True,
        "maxAttempts": 4,
        "retryAfter": True,
        "maxRetryAfter": 800_000,
    }
    value = {
        "rank": rank,
        "balancers": gateways,
        "locality": rank % 3,
        "classes": classes,
        "packages": plans,
        "discovery": "on_request" if rank % 2 else "pushed",
        "permissions": {**may, **permissions},
        "familyInfo": {"peerIntake": 60.0, "sharedCounter": True},
        "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "loadReport": {"how": "inline", "names": ["util", "inflight"]},
        "rules": {
            "askWithin": 10_000_000,
            "coldFrom": 0.25,
            "drainGrace": 500_000,
            "fallMultiple": 3.0,
            "overloadFor": 2_000_000,
            "warmWithin": 4_000_000,
        },
    }
    return json.dumps(value).encode()


@dataclass
class Endpoint:
    """An endpoint as discovery reports it, and its requests in flight."""

    name: bytes
    zone: int
    cell: int
    started_at_us: int = 0
    state: int = READY
    in_flight: int = 0

    def entry(self) -> bytes:
        """Its entry of an endpoint list."""
        return struct.pack(
            "<fB6sBQBH", 1.0, 0, self.name, self.zone, self.started_at_us, self.state, self.cell
        )
