"""The limits that the audit checks a run against; their keys in a file are mapped here."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from orchidlane import policy


class RateLimit(NamedTuple):
    """Units per second, and units at once."""

    rate: float
    burst: float


class CeilingLimit(NamedTuple):
    """A customer's ceiling, and by how many units the fleet may exceed it."""

    rate: float
    burst: float
    slack: float


class AuditLimits(msgspec.Struct, frozen=True):
    """Classes by name, and limits by customer; durations in microseconds."""

    classes: dict[str, policy.RequestClass] = msgspec.field(name="effects")
    drain_grace_us: int = msgspec.field(name="drain_grace")
    response_slack_us: int = msgspec.field(name="answer_slack")  # for the way of a response to its client
    arrival_slack_us: int = msgspec.field(name="arrival_slack")  # from a decision to the reading endpoint
    ceilings: dict[int, CeilingLimit]
    quotas: dict[int, RateLimit]
