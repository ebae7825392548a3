"""The specification of a fake endpoint, read from a file, and its faults, set over a connection."""

from __future__ import annotations

import msgspec

from orchidlane.runtime.backend import Address

FAULTS_TARGET = "/_lab/faults"


class ClassWork(msgspec.Struct, frozen=True):
    """The work of one request class: mean time on one core in microseconds, and cost in units."""

    method: str
    class_name: str
    mean_us: int = msgspec.field(name="mean")
    units: float


class EndpointSpec(msgspec.Struct, frozen=True):
    """One endpoint: its address, its capacity, and its behaviour while it warms up."""

    name: str
    address: Address
    cell: str
    records_path: str = msgspec.field(name="records")  # no records are written if it is empty
    work_by_class: tuple[ClassWork, ...] = msgspec.field(name="work")
    cores: float = 2.0
    max_active: int = msgspec.field(name="slots", default=32)
    max_queued: int = msgspec.field(name="queue", default=64)
    slow_start: bool = msgspec.field(name="cold", default=False)
    slow_start_initial_share: float = msgspec.field(name="cold_from", default=0.25)
    slow_start_duration_us: int = msgspec.field(name="warm_within", default=15_000_000)
    overload_multiple: float = msgspec.field(name="fall_multiple", default=2.0)
    overload_duration_us: int = msgspec.field(name="overload_for", default=2_000_000)
    response_bytes: int = msgspec.field(name="answer_size", default=400)


class EndpointFaults(msgspec.Struct, frozen=True):
    """Probability of each fault of a request.

    The connection is reset before or after the request is executed, the response is truncated, no response is
    sent (``hang``), or the response is 503 (``reject``).
    """

    reset_before: float = 0.0
    reset_after: float = 0.0
    truncate: float = msgspec.field(name="cut", default=0.0)
    hang: float = msgspec.field(name="silent", default=0.0)
    reject: float = msgspec.field(name="full", default=0.0)
