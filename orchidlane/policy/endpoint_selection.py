"""Endpoint selection: chooses the allowed endpoint with the lowest expected cost, and applies slow start."""

from __future__ import annotations

from orchidlane.policy import endpoint_registry, health
from orchidlane.policy.constants import US_PER_MS
from orchidlane.policy.endpoints import Endpoint
from orchidlane.policy.events import EndpointState
from orchidlane.policy.settings import Idempotency
from orchidlane.policy.state import PendingRequest, PolicyState

# No attempt starts this close to a deadline or to the end of a deduplication window.
DEADLINE_MARGIN_US = 30 * US_PER_MS
ENDPOINTS_COMPARED = 12  # random sample of a larger pool, to bound the work per attempt
COST_JITTER = 0.1  # random share added to a cost, so that gateways do not all choose the same endpoint
FAILURE_COST = 3.0  # share added to the expected latency per unit of failure score
SLOW_START_MARGIN = 0.9  # share of the traffic allowed in slow start that is actually sent


def choose_endpoint(state: PolicyState, request: PendingRequest) -> Endpoint | None:
    """Return the allowed endpoint with the lowest expected cost, or None if no endpoint is allowed."""
    if endpoint := _sample_slow_start_endpoint(state, request):
        return endpoint
    executed = request.executed_attempts
    if executed:
        scope = request.request_class.deduplication_scope
        pool = endpoint_registry.endpoints_sharing(state, executed[0].endpoint, scope)
    else:
        pool = state.warm_pool.endpoints
    if len(pool) > ENDPOINTS_COMPARED:
        pool = state.random.sample(pool, ENDPOINTS_COMPARED)
    usable = [
        endpoint
        for endpoint in pool
        if endpoint_registry.is_warm(state, endpoint) and _may_send(state, request, endpoint)
    ]
    return min(usable, key=lambda endpoint: _cost(state, request, endpoint), default=None)


def _cost(state: PolicyState, request: PendingRequest, endpoint: Endpoint) -> float:
    """Return the expected latency, increased for recent failures of endpoint, zone and request."""
    cost = health.expected_latency_us(state, endpoint, request.event.request_class)
    cost *= 1 + COST_JITTER * state.random.random()
    cost *= 1 + FAILURE_COST * endpoint.decayed_failure_score(state.now)
    cost *= 1 + FAILURE_COST * state.zone_health[endpoint.entry.zone].decayed_failure_score(state.now)
    return cost * (1 + FAILURE_COST * any(attempt.endpoint is endpoint for attempt in request.attempts))


def _may_send(state: PolicyState, request: PendingRequest, endpoint: Endpoint) -> bool:
    """Return whether the endpoint is ready, and sending the request there cannot execute it twice."""
    if endpoint.entry.state is not EndpointState.READY:
        return False
    executed = request.executed_attempts
    request_class = request.request_class
    if not executed or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return False
    first = executed[0]
    if state.now >= first.sent_at_us + request_class.deduplication_window_us - DEADLINE_MARGIN_US:
        return False
    scope = request_class.deduplication_scope
    return endpoint.deduplication_key(scope) == first.endpoint.deduplication_key(scope)


def _sample_slow_start_endpoint(state: PolicyState, request: PendingRequest) -> Endpoint | None:
    """Return an endpoint in slow start for this attempt, or None to choose among the warm ones.

    The attempt's sampled value picks one of all endpoints uniformly. If that endpoint is in slow start, it
    gets the attempt with a probability that grows with its progress in the slow start.
    """
    endpoint_registry.promote_warmed_up(state)
    warming_up = state.slow_start_pool.endpoints
    endpoint_count = len(warming_up) + len(state.warm_pool.endpoints)
    index, acceptance_sample = divmod(request.sampled_value * endpoint_count, 1)
    if index >= len(warming_up):
        return None
    endpoint = warming_up[int(index)]
    settings = state.settings
    progress = max(0, state.now - endpoint.entry.started_at_us) / settings.slow_start_duration_us
    allowed_share = settings.slow_start_initial_share + (1 - settings.slow_start_initial_share) * progress
    if acceptance_sample < SLOW_START_MARGIN * allowed_share and _may_send(state, request, endpoint):
        return endpoint
    return None
