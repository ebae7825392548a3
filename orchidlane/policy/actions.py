"""Actions: the policy's instructions to its caller, which carries them out in the order returned."""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.policy.events import EndpointId


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Start an attempt that times out at a clock time; 0 means that only the client's timeout applies."""

    request: int
    endpoint: EndpointId
    timeout_at_us: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt; ``attempt`` is its number within the request, from 0."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class GrantQuota:
    """Grant the units of a ``QuotaRequested``; they are counted as spent."""

    request: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Send a final response for a request that was not executed or is safe to repeat.

    ``retry_after_us`` is 0 where it is unknown when a retry would succeed.
    """

    request: int
    retry_after_us: int
    over_quota: bool = False


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Send a final response for a request that was not served but may have been executed."""

    request: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Set a timer: a ``TimerFired`` with this token is due after the delay."""

    delay_us: int
    token: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send bytes to the peer with this rank; the message may be lost."""

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
