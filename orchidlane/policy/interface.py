"""What a gateway is told (settings, events) and what it answers (actions).

Times are integers in microseconds of the caller's clock. Servers are opaque, sortable bytes; requests and
customers are integers. Nothing here decides anything: the decisions are in ``policy/gateway.py``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar

EndpointId = bytes


class Idempotency(enum.Enum):
    """What a repeat of a request does."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(enum.Enum):
    """Which servers together drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


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


class LoadReportSource(enum.Enum):
    """Where load reports come from."""

    INLINE = "inline"
    ON_HEALTH_CHECK = "on probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan; zero rate, open or ceiling_rate means no such limit."""

    rate: float
    burst: float
    max_in_flight: int
    price: float
    over_quota_credit: float
    over_quota_charge: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told when it starts."""

    replica: int
    replica_count: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    may_gossip: bool
    may_check_health: bool
    may_cancel: bool
    may_hedge: bool
    max_attempts: int
    max_retry_after_us: int
    peer_messages_per_second: float
    peer_charge: float
    health_check_charge: float
    waste_charge: float
    cross_zone_charge: float
    has_shared_counter: bool
    polls_endpoint_list: bool
    poll_timeout_us: int
    load_report_source: LoadReportSource
    load_report_names: tuple[str, ...]
    slow_start_initial_share: float
    slow_start_duration_us: int
    overload_multiple: float
    overload_duration_us: int
    drain_grace_us: int


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

    topic: ClassVar[str] = "server_listed"

    kind: EndpointListKind
    version: int
    entries: tuple[EndpointEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; the set names the gateways that the customer may use."""

    topic: ClassVar[str] = "request_arrived"

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

    topic: ClassVar[str] = "take_arrived"

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

    topic: ClassVar[str] = "attempt_ended"

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

    topic: ClassVar[str] = "stream_started"

    request: int
    attempt: int
    endpoint: EndpointId
    duration_us: int


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    topic: ClassVar[str] = "client_gone"

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set is up."""

    topic: ClassVar[str] = "timer_fired"

    token: int


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """What came of a probe."""

    topic: ClassVar[str] = "probe_ended"

    endpoint: EndpointId
    outcome: Outcome
    duration_us: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Bytes from another gateway; untrusted."""

    topic: ClassVar[str] = "peer_message"

    sender: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """What came of a call to the shared counter."""

    topic: ClassVar[str] = "counter_answered"

    name: int
    outcome: Outcome
    value: float
    duration_us: int


@dataclass(frozen=True, slots=True)
class CountRecovered:
    """What another process of this very gateway counted under our rank, before or after us."""

    topic: ClassVar[str] = "counted"

    customer: int
    plan: int
    replica_set_start: int
    replica_set_size: int
    start: int
    value: float


@dataclass(frozen=True, slots=True)
class ReplicaSetChanged:
    """A customer's set is another from now on, or begins anew: no part of its ceiling is carried over."""

    topic: ClassVar[str] = "set_moved"

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


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Begin an attempt; give_up_at 0 leaves it to the client's patience."""

    request: int
    endpoint: EndpointId
    timeout_at_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """A take's units are counted: whoever asked may pass them on."""

    request: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not served, and trying again is harmless; beyond_quota tells why."""

    request: int
    retry_after_us: int
    over_quota: bool = False


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after a span."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to one peer."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Ask a server for its state."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to discovery."""


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask discovery for the whole list once."""


Action = (
    SendAttempt
    | CancelAttempt
    | GrantQuota
    | RejectRequest
    | FailRequest
    | SetTimer
    | SendPeerMessage
    | CheckHealth
    | WatchEndpoints
    | FetchEndpoints
)
