"""Endpoints: what discovery reports of them and how requests fared there. Nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from orchidlane.policy.constants import US_PER_SECOND
from orchidlane.policy.events import EndpointEntry, EndpointId
from orchidlane.policy.settings import DeduplicationScope

ESTIMATE_DECAY_US = 3 * US_PER_SECOND  # time constant of the exponential decay of estimates
INITIAL_LOAD = 2.0  # requests in flight that first latencies are assumed to be measured under


@dataclass(slots=True)
class HealthEstimate:
    """Latency and failures of recent attempts at one endpoint, in one zone or in the whole fleet.

    ``slowness`` is a multiple of the class's baseline latency. Both values decay towards their priors from
    ``updated_at_us`` on, so that traffic returns gently to what has recovered.
    """

    updated_at_us: int
    slowness: float = 1.0
    failure_score: float = 0.0

    def decayed_slowness(self, now_us: int, prior: float = 1.0) -> float:
        """Return the slowness at a later time: the longer ago it was measured, the nearer to the prior."""
        decay = math.exp((self.updated_at_us - now_us) / ESTIMATE_DECAY_US)
        return prior + (self.slowness - prior) * decay

    def decayed_failure_score(self, now_us: int) -> float:
        """Return the failure score at a later time."""
        return self.failure_score * math.exp((self.updated_at_us - now_us) / ESTIMATE_DECAY_US)

    def decay(self, now_us: int) -> None:
        """Bring the estimate up to a later time."""
        decay = math.exp((self.updated_at_us - now_us) / ESTIMATE_DECAY_US)
        self.slowness = 1.0 + (self.slowness - 1.0) * decay
        self.failure_score *= decay
        self.updated_at_us = now_us


@dataclass(slots=True)
class Endpoint(HealthEstimate):
    """One endpoint: its entry of the endpoint list, and how requests fared there."""

    entry: EndpointEntry = field(kw_only=True)
    in_flight: int = 0
    last_active_at_us: int = 0  # the last answer, or when the first of the attempts in flight was sent
    baseline_load: float = INITIAL_LOAD  # requests in flight that its slowness was measured under

    def deduplication_key(self, scope: DeduplicationScope) -> int:
        """Return what endpoints have in common that drop each other's repeats."""
        if scope is DeduplicationScope.ALL:
            return 0
        return self.entry.zone if scope is DeduplicationScope.ZONE else self.entry.cell


class EndpointPool:
    """Endpoints in a list to draw from; adding and removing one take constant time."""

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.positions: dict[EndpointId, int] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint, once."""
        if endpoint.entry.endpoint not in self.positions:
            self.positions[endpoint.entry.endpoint] = len(self.endpoints)
            self.endpoints.append(endpoint)

    def remove(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint, if it is there; the last one takes its position."""
        position = self.positions.pop(endpoint_id, None)
        if position is None:
            return
        last = self.endpoints.pop()
        if position < len(self.endpoints):
            self.endpoints[position] = last
            self.positions[last.entry.endpoint] = position
