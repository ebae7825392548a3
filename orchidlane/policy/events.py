"""Events: the inputs of the policy.

Times are integers in microseconds of the caller's clock. Endpoints are opaque, sortable bytes; requests and
customers are integers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

EndpointId = bytes


class Outcome(enum.Enum):
    """How an attempt, a health check or a call to the shared counter finished."""

    SERVED = "served"
    ERROR = "error"
    ENDPOINT_FULL = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "not connected"
    CONNECTION_BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "never sent"


class EndpointState(enum.Enum):
    """An endpoint's state as reported by discovery."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(enum.Enum):
    """How an endpoint list relates to the one before it."""

    DELTA = 0
    COMPLETE = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of an endpoint list; ``started_at_us`` is 0 for an endpoint that is not in slow start."""

    endpoint: EndpointId
    state: EndpointState
    zone: int
    cell: int
    started_at_us: int
    capacity_share: float


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """Discovery sent an endpoint list, or failed to (kind ``FAILED``)."""

    kind: EndpointListKind
    version: int
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client sent a request; the replica set names the gateways that serve the customer."""

    request: int
    customer: int
    plan: int
    request_class: int
    units: float
    time_left_us: int
    replica_set_start: int
    replica_set_size: int
    is_retry: bool


@dataclass(frozen=True, slots=True)
class QuotaRequested:
    """Units were requested without an attempt at an endpoint: the caller serves the request itself."""

    request: int
    customer: int
    plan: int
    request_class: int
    units: float
    replica_set_start: int
    replica_set_size: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt finished; ``final_response_sent`` means that the client was sent its final response."""

    request: int
    attempt: int
    endpoint: EndpointId
    outcome: Outcome
    duration_us: int
    final_response_sent: bool
    reported_usage: int
    true_units: float
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ResponseStreamStarted:
    """A streamed response has started: its deadline no longer applies."""

    request: int
    attempt: int
    endpoint: EndpointId
    duration_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client disconnected, so the request needs no response."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by ``SetTimer`` expired."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckFinished:
    """A health check finished."""

    endpoint: EndpointId
    outcome: Outcome
    duration_us: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A peer sent a message; its bytes are untrusted."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterCallFinished:
    """A call to the shared counter finished."""

    name: int
    outcome: Outcome
    value: float
    duration_us: int


@dataclass(frozen=True, slots=True)
class CountRecovered:
    """A count was recovered that another process of this gateway spent under the same rank.

    That process may have run before or after this one.
    """

    customer: int
    plan: int
    replica_set_start: int
    replica_set_size: int
    start: int
    value: float


@dataclass(frozen=True, slots=True)
class ReplicaSetChanged:
    """A customer's replica set was changed or created again; no tokens of its ceiling are carried over."""

    customer: int
    plan: int
    replica_set_start: int
    replica_set_size: int


Event = (
    EndpointListReceived
    | RequestArrived
    | QuotaRequested
    | AttemptFinished
    | ResponseStreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckFinished
    | PeerMessageReceived
    | CounterCallFinished
    | CountRecovered
    | ReplicaSetChanged
)
