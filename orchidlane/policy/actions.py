"""Actions: what the policy asks its driver to carry out, in this order. Nothing here decides anything."""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.policy.events import EndpointId


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
