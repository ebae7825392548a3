"""Actions: what the policy asks its caller to carry out, in their order."""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.policy.events import EndpointId


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start an attempt that times out at a clock time; 0 leaves that to the client."""

    request: int
    endpoint: EndpointId
    timeout_at_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt, by its number in the request from 0."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """The units of a ``QuotaRequested`` are counted as spent."""

    request: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: not executed, or safe to repeat; ``retry_after_us`` is 0 where that time is not known."""

    request: int
    retry_after_us: int
    over_quota: bool = False


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: not served, but possibly executed."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` with this token after a delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to one peer, by its rank; the message may be lost."""

    peer: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Start a health check of an endpoint."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to endpoint lists."""


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the complete endpoint list once."""


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
