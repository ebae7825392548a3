"""The limits that the audit checks a run against, with the keys of the file that stores them."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from orchidlane import policy


class RateLimit(NamedTuple):
    """A customer's quota: units per second, and units that may be used at once."""

    rate: float
    burst: float


class CeilingLimit(NamedTuple):
    """A customer's ceiling: units per second, units at once, and how many more the fleet may grant."""

    rate: float
    burst: float
    slack: float


class AuditLimits(msgspec.Struct, frozen=True):
    """Request classes by name, ceilings and quotas by the customer's id; durations in microseconds."""

    classes: dict[str, policy.RequestClass] = msgspec.field(name="effects")
    drain_grace_us: int = msgspec.field(name="drain_grace")
    response_slack_us: int = msgspec.field(name="answer_slack")  # transfer time of a response to its client
    # from a gateway's decision until the endpoint reads the attempt
    arrival_slack_us: int = msgspec.field(name="arrival_slack")
    ceilings: dict[int, CeilingLimit]
    quotas: dict[int, RateLimit]
