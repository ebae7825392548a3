"""Events: what the policy is notified of, as frozen records. Nothing here decides anything.

Times are integers in microseconds of the caller's clock. Endpoints are opaque, sortable bytes; requests and
customers are integers.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

EndpointId = bytes


class Outcome(enum.Enum):
    """How an attempt ended, or how a probe or a counter call went."""

    SERVED = "served"
    ERROR = "error"
    ENDPOINT_FULL = "full"
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "not connected"
    CONNECTION_BROKEN = "broken"
    CANCELLED = "cancelled"
    NOT_SENT = "never sent"


class EndpointState(enum.Enum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(enum.Enum):
    """How a server list relates to the one before it."""

    DELTA = 0
    COMPLETE = 1
    CACHED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of a server list; launched 0 means long ago."""

    endpoint: EndpointId
    state: EndpointState
    zone: int
    cell: int
    started_at_us: int
    capacity_share: float


@dataclass(frozen=True, slots=True)
class EndpointListReceived:
    """Discovery told something."""

    kind: EndpointListKind
    version: int
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; the set names the gateways that the customer may use."""

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
    """Units wanted without a server: somebody else carries the request out."""

    request: int
    customer: int
    plan: int
    request_class: int
    units: float
    replica_set_start: int
    replica_set_size: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's outcome; answered means that the request needs no more answer."""

    request: int
    attempt: int
    endpoint: EndpointId
    outcome: Outcome
    duration_us: int
    answered: bool
    use: int
    true_units: float
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ResponseStreamStarted:
    """A streamed answer has begun: no deadline runs any more."""

    request: int
    attempt: int
    endpoint: EndpointId
    duration_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set is up."""

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """What came of a probe."""

    endpoint: EndpointId
    outcome: Outcome
    duration_us: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another gateway; untrusted."""

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """What came of a call to the shared counter."""

    name: int
    outcome: Outcome
    value: float
    duration_us: int


@dataclass(frozen=True, slots=True)
class CountRecovered:
    """What another process of this very gateway counted under our rank, before or after us."""

    customer: int
    plan: int
    replica_set_start: int
    replica_set_size: int
    start: int
    value: float


@dataclass(frozen=True, slots=True)
class ReplicaSetChanged:
    """A customer's set is another from now on, or begins anew: no part of its ceiling is carried over."""

    customer: int
    plan: int
    replica_set_start: int
    replica_set_size: int


Event = (
    EndpointListReceived
    | RequestArrived
    | QuotaRequested
    | AttemptEnded
    | ResponseStreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
    | CounterAnswered
    | CountRecovered
    | ReplicaSetChanged
)
