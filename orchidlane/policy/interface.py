"""What a gateway is told (settings, events) and what it answers (actions).

Times are integers in microseconds of the caller's clock. Servers are opaque, sortable bytes; requests and
customers are integers. Nothing here decides anything: the decisions are in ``policy/gateway.py``.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import ClassVar

Server = bytes


class Effect(enum.Enum):
    """What a repeat of a request does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(enum.Enum):
    """Which servers together drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(enum.Enum):
    """How an attempt ended, or how a probe or a counter call went."""

    SERVED = "served"
    ERROR = "error"
    FULL = "full"
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    NEVER_SENT = "never sent"


class Phase(enum.Enum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(enum.Enum):
    """How a server list relates to the one before it."""

    CHANGES = 0
    WHOLE = 1
    CACHED = 2
    FAILED = 3


class Reports(enum.Enum):
    """Where load reports come from."""

    INLINE = "inline"
    ON_PROBE = "on probe"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    aim: int
    deadline: int
    worth: float
    late_worth: float
    effect: Effect
    group: Group
    window: int


@dataclass(frozen=True, slots=True)
class Plan:
    """One plan; zero rate, open or ceiling_rate means no such limit."""

    rate: float
    burst: float
    open: int
    price: float
    beyond_earns: float
    beyond_costs: float
    ceiling_rate: float
    ceiling_burst: float
    ceiling_slack: float


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told when it starts."""

    rank: int
    gateways: int
    zone: int
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    may_tell_peers: bool
    may_probe: bool
    may_cancel: bool
    may_copy: bool
    max_attempts: int
    max_retry_after: int
    peer_intake: float
    peer_charge: float
    probe_charge: float
    waste_charge: float
    cross_zone_charge: float
    has_counter: bool
    asks_for_list: bool
    ask_within: int
    reports: Reports
    report_names: tuple[str, ...]
    cold_from: float
    warm_within: int
    fall_multiple: float
    overload_for: int
    drain_grace: int


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One line of a server list; launched 0 means long ago."""

    server: Server
    phase: Phase
    zone: int
    cell: int
    launched: int
    size: float


@dataclass(frozen=True, slots=True)
class ServerListed:
    """Discovery told something."""

    topic: ClassVar[str] = "server_listed"

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request; the set names the gateways that the customer may use."""

    topic: ClassVar[str] = "request_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    time_left: int
    set_first: int
    set_size: int
    is_repeat: bool


@dataclass(frozen=True, slots=True)
class TakeArrived:
    """Units wanted without a server: somebody else carries the request out."""

    topic: ClassVar[str] = "take_arrived"

    request: int
    customer: int
    plan: int
    kind: int
    units: float
    set_first: int
    set_size: int


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt's outcome; answered means that the request needs no more answer."""

    topic: ClassVar[str] = "attempt_ended"

    request: int
    attempt: int
    server: Server
    outcome: Outcome
    took: int
    answered: bool
    use: int
    true_units: float
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun: no deadline runs any more."""

    topic: ClassVar[str] = "stream_started"

    request: int
    attempt: int
    server: Server
    took: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing more is owed."""

    topic: ClassVar[str] = "client_gone"

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that was set is up."""

    topic: ClassVar[str] = "timer_fired"

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What came of a probe."""

    topic: ClassVar[str] = "probe_ended"

    server: Server
    outcome: Outcome
    took: int
    report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
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
    took: int


@dataclass(frozen=True, slots=True)
class Counted:
    """What another process of this very gateway counted under our rank, before or after us."""

    topic: ClassVar[str] = "counted"

    customer: int
    plan: int
    set_first: int
    set_size: int
    start: int
    value: float


@dataclass(frozen=True, slots=True)
class SetMoved:
    """A customer's set is another from now on, or begins anew: no part of its ceiling is carried over."""

    topic: ClassVar[str] = "set_moved"

    customer: int
    plan: int
    set_first: int
    set_size: int


Event = (
    ServerListed
    | RequestArrived
    | TakeArrived
    | AttemptEnded
    | StreamStarted
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | CounterAnswered
    | Counted
    | SetMoved
)


@dataclass(frozen=True, slots=True)
class Send:
    """Begin an attempt; give_up_at 0 leaves it to the client's patience."""

    request: int
    server: Server
    give_up_at: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Grant:
    """A take's units are counted: whoever asked may pass them on."""

    request: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and trying again is harmless; beyond_quota tells why."""

    request: int
    retry_after: int
    beyond_quota: bool = False


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, nothing promised."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired after a span."""

    span: int
    token: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Send bytes to one peer."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its state."""

    server: Server


@dataclass(frozen=True, slots=True)
class AskList:
    """Subscribe to discovery."""


@dataclass(frozen=True, slots=True)
class FetchList:
    """Ask discovery for the whole list once."""


Action = Send | Cancel | Grant | Refuse | Fail | SetTimer | TellPeer | Probe | AskList | FetchList
