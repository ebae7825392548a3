"""Settings of the policy, fixed when it starts: request classes, plans, permissions and charges.

Times are integers in microseconds, rates in units of quota per second.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Idempotency(enum.Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DeduplicationScope(enum.Enum):
    """Which endpoints deduplicate requests with the same idempotency key together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReportSource(enum.Enum):
    """Where load reports of endpoints come from."""

    INLINE = "inline"
    ON_HEALTH_CHECK = "on probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings of one class of requests."""

    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_weight: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window_us: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan; a ``rate``, ``max_in_flight`` or ``ceiling_rate`` of zero disables that limit."""

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
    """All settings of one gateway's policy."""

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
