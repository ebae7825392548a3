"""Events and settings as bytes of the simulator's protocol, which do not depend on names in the code."""

from __future__ import annotations

import json
import struct
from dataclasses import dataclass
from typing import Any, NamedTuple

from harness.constants import SECOND
from orchidlane import policy
from orchidlane.policy.gateway import Gateway
from orchidlane.simulator_protocol import codec, settings_json

START_US = 1_000 * SECOND
# Codes of outcomes of attempts
SERVED, ERROR, ENDPOINT_FULL, TIMED_OUT, CONNECT_FAILED, CONNECTION_BROKEN, CANCELLED, NOT_SENT = (
    100,
    301,
    302,
    303,
    304,
    305,
    306,
    307,
)
# Codes of endpoint states, and of kinds of endpoint lists
GONE, READY, DRAINING = 0, 1, 2
DELTA, COMPLETE, CACHED, FAILED = 0, 1, 2, 3
# Codes of action records
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


PERMISSIONS = {
    "peers": True,
    "probes": True,
    "cancel": True,
    "secondCopies": True,
    "maxAttempts": 4,
    "retryAfter": True,
    "maxRetryAfter": 800_000,
}


class Ceiling(NamedTuple):
    """A plan's ceiling: units per second, burst and slack."""

    rate: float
    burst: float
    slack: float


NO_CEILING = Ceiling(0.0, 0.0, 0.0)


# -- the policy, and its events that the protocol has no record for


def make_gateway(settings: bytes, seed: int, now: int) -> Gateway:
    """Return a new policy with the settings of a settings text."""
    return Gateway(settings_json.parse_settings(settings), seed, now)


def quota_requested_event(
    request: int, customer: int, plan: int, request_class: int, units: float, first: int, size: int
) -> policy.Event:
    """Return the event of a request for quota, without a request to forward."""
    return policy.QuotaRequested(request, customer, plan, request_class, units, first, size)


def count_recovered_event(
    customer: int, plan: int, first: int, size: int, start: int, value: float
) -> policy.Event:
    """Return the event of a count that was recovered from another process of the gateway."""
    return policy.CountRecovered(customer, plan, first, size, start, value)


def replica_set_changed_event(customer: int, plan: int, first: int, size: int) -> policy.Event:
    """Return the event of a change of a customer's replica set."""
    return policy.ReplicaSetChanged(customer, plan, first, size)


def action_bytes(gateway: int, action: policy.Action) -> bytes:
    """Return an action's record for the golden digest.

    The protocol has no record for a grant and no field for the reason of a rejection: both are added here.
    """
    if isinstance(action, policy.GrantQuota):
        return struct.pack("<BHI", 200, gateway, action.request)
    encoder = codec.Encoder()
    encoder.add_action(gateway, action)
    data = encoder.encode_reply()[8:]
    if isinstance(action, policy.RejectRequest):
        data += b"beyond quota" if action.over_quota else b""
    return data


# -- records of the protocol


def record(code: int, layout: str, *values: Any) -> bytes:
    """Return an event's record of a code and fields of a ``struct`` layout, padded to 48 bytes."""
    return struct.pack("<B" + layout, code, *values).ljust(48, b"\0")


def request_record(
    gateway: int,
    request: int,
    customer: int,
    plan: int,
    request_class: int,
    units: float,
    time_left_us: int,
    first: int,
    size: int,
    is_retry: bool,
) -> bytes:
    """Return the record of an arrived request."""
    values = gateway, request, request_class, plan, customer, time_left_us, units
    return record(5, "HIBHQIfffH", *values, float(size), float(first), 2 * is_retry)


def outcome_record(
    gateway: int,
    request: int,
    attempt: int,
    endpoint: bytes,
    outcome: int,
    duration_us: int,
    final_response_sent: bool,
) -> bytes:
    """Return the record of an attempt's outcome."""
    values = gateway, request, attempt, endpoint, outcome, duration_us, final_response_sent
    return record(6, "HIH6sHIBHHB4f", *values, 40, 1, 2, 0.5, 3.0, 0.0, 0.0)


def frame(now: int, records: list[bytes], tail: bytes = b"") -> bytes:
    """Return a frame of records and a tail."""
    body = b"".join(records) + tail
    return struct.pack("<IIQ", len(records), len(body), now) + body


def settings_text(rank: int, gateways: int, **permissions: Any) -> bytes:
    """Return a settings text with every kind of request class and plan; the figures are arbitrary."""
    value = {
        "rank": rank,
        "balancers": gateways,
        "locality": rank % 3,
        "classes": _classes(),
        "packages": _plans(),
        "discovery": "on_request" if rank % 2 else "pushed",
        "permissions": {**PERMISSIONS, **permissions},
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


def _classes() -> list[dict[str, Any]]:
    def request_class(effect: str, group: str, window: int, deadline: int) -> dict[str, Any]:
        times = {"target": 400_000, "deadline": deadline, "dedupWindow": window}
        return {"effect": effect, "group": group, "credit": 1.0, "lateWorth": 0.2, **times}

    return [
        request_class("repeatable", "all", 0, 2_000_000),
        request_class("by_key", "cell", 900_000, 2_500_000),
        request_class("by_key", "zone", 900_000, 2_500_000),
        request_class("by_key", "all", 600_000, 2_500_000),
        request_class("once", "all", 0, 2_000_000),
    ]


def _plans() -> list[dict[str, Any]]:
    def plan(
        rate: float, burst: float, max_in_flight: int = 0, ceiling: Ceiling = NO_CEILING
    ) -> dict[str, Any]:
        prices = {"pays": 1.0, "beyondEarns": 0.2, "overrunCost": 1.0}
        limits = {"perSecond": rate, "peakUnits": burst, "open": max_in_flight, "hardRate": ceiling.rate}
        return {**limits, "capDepth": ceiling.burst, "capSlack": ceiling.slack, **prices}

    return [
        plan(30.0, 20.0),
        plan(20.0, 12.0, max_in_flight=2),
        plan(40.0, 20.0, ceiling=Ceiling(50.0, 24.0, 3.0)),
        plan(0.0, 0.0),
        plan(4.0, 6.0),
        plan(0.0, 0.0, ceiling=Ceiling(8.0, 12.0, 1.0)),
    ]


@dataclass
class Endpoint:
    """An endpoint as discovery reports it, and the number of its attempts in flight."""

    name: bytes
    zone: int
    cell: int
    started_at_us: int = 0
    state: int = READY
    in_flight: int = 0

    def entry(self) -> bytes:
        """Return the endpoint's entry in an endpoint list, as bytes of the protocol."""
        return struct.pack(
            "<fB6sBQBH", 1.0, 0, self.name, self.zone, self.started_at_us, self.state, self.cell
        )
