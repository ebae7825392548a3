"""Endpoints: discovery entries, load, and health estimates. Data types only; decisions are made elsewhere."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from orchidlane.policy.constants import US_PER_SECOND
from orchidlane.policy.events import EndpointEntry, EndpointId
from orchidlane.policy.settings import DeduplicationScope

ESTIMATE_DECAY_US = 3 * US_PER_SECOND  # time constant of the exponential decay of estimates
INITIAL_LOAD = 2.0  # requests in flight; added to every load, and assumed as the load of the first latency


@dataclass(slots=True)
class HealthEstimate:
    """Latency and failures of recent attempts at one endpoint, in one zone or in the whole fleet.

    ``slowness`` is a multiple of the request class's baseline latency. From ``updated_at_us`` on, slowness
    decays towards a prior and the failure score towards 0, so that traffic to a recovered endpoint rises
    gradually.
    """

    updated_at_us: int
    slowness: float = 1.0
    failure_score: float = 0.0

    def decayed_slowness(self, now_us: int, prior: float = 1.0) -> float:
        """Return the slowness at a later time; it decays towards the prior."""
        decay = math.exp((self.updated_at_us - now_us) / ESTIMATE_DECAY_US)
        return prior + (self.slowness - prior) * decay

    def decayed_failure_score(self, now_us: int) -> float:
        """Return the failure score at a later time; it decays towards 0."""
        return self.failure_score * math.exp((self.updated_at_us - now_us) / ESTIMATE_DECAY_US)

    def decay(self, now_us: int) -> None:
        """Apply the decay up to a later time, which becomes the time of the last update."""
        decay = math.exp((self.updated_at_us - now_us) / ESTIMATE_DECAY_US)
        self.slowness = 1.0 + (self.slowness - 1.0) * decay
        self.failure_score *= decay
        self.updated_at_us = now_us


@dataclass(slots=True)
class Endpoint(HealthEstimate):
    """One endpoint: its entry in the endpoint list, its load, and its latency and failure estimates."""

    entry: EndpointEntry = field(kw_only=True)
    in_flight: int = 0
    last_active_at_us: int = 0  # last response, or when an attempt was sent while none was in flight
    baseline_load: float = INITIAL_LOAD  # moving average of the load at which its slowness was measured

    def deduplication_key(self, scope: DeduplicationScope) -> int:
        """Return a key that is equal for endpoints that deduplicate requests together in this scope."""
        if scope is DeduplicationScope.ALL:
            return 0
        return self.entry.zone if scope is DeduplicationScope.ZONE else self.entry.cell


class EndpointPool:
    """A list of endpoints to sample from; adding and removing an endpoint take constant time."""

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.positions: dict[EndpointId, int] = {}

    def add(self, endpoint: Endpoint) -> None:
        """Add an endpoint, unless it is already in the pool."""
        if endpoint.entry.endpoint not in self.positions:
            self.positions[endpoint.entry.endpoint] = len(self.endpoints)
            self.endpoints.append(endpoint)

    def remove(self, endpoint_id: EndpointId) -> None:
        """Remove an endpoint, if it is in the pool; the last endpoint moves to its position."""
        position = self.positions.pop(endpoint_id, None)
        if position is None:
            return
        last = self.endpoints.pop()
        if position < len(self.endpoints):
            self.endpoints[position] = last
            self.positions[last.entry.endpoint] = position
