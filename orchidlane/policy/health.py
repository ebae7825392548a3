"""Health estimates: updates endpoints, zones and the fleet from attempts, and predicts latencies."""

from __future__ import annotations

from orchidlane.policy.endpoints import INITIAL_LOAD, Endpoint
from orchidlane.policy.events import AttemptFinished, Outcome
from orchidlane.policy.state import INITIAL_LATENCY_SHARE, Attempt, PolicyState

SMOOTHING = 0.15  # weight of the newest value in an exponential moving average
MAX_SLOWNESS = 8.0  # multiple of the baseline latency at which one measurement is capped
MAX_FAILURE_SCORE = 1 / SMOOTHING  # low enough to decay soon after recovery

RESPONDED_OUTCOMES = (Outcome.SERVED, Outcome.ERROR, Outcome.ENDPOINT_FULL)
MEASURED_OUTCOMES = (Outcome.SERVED, Outcome.TIMED_OUT)
NEUTRAL_OUTCOMES = (Outcome.CANCELLED, Outcome.NOT_SENT)  # no evidence about the endpoint's health


def expected_latency_us(state: PolicyState, endpoint: Endpoint, request_class: int) -> float:
    """Return the expected latency by the endpoint's decayed slowness, load, and time without a response."""
    fleet_slowness = state.fleet_health.decayed_slowness(state.now)
    slowness = endpoint.decayed_slowness(state.now, fleet_slowness)
    load = endpoint.in_flight + INITIAL_LOAD
    latency_us = state.baseline_latency_us[request_class] * slowness * load / endpoint.baseline_load
    if endpoint.in_flight:  # a stalled endpoint sends no response, so no latency is measured there
        latency_us = max(latency_us, state.now - endpoint.last_active_at_us)
    return latency_us


def record_outcome(state: PolicyState, attempt: Attempt, request_class: int, event: AttemptFinished) -> None:
    """Update the estimates of the attempt's endpoint, its zone and the fleet with its outcome."""
    endpoint = attempt.endpoint
    zone_health = state.zone_health[endpoint.entry.zone]
    for estimate in (endpoint, zone_health, state.fleet_health):
        estimate.decay(state.now)
    if event.outcome in RESPONDED_OUTCOMES:
        endpoint.last_active_at_us = state.now
    if event.outcome in MEASURED_OUTCOMES:
        _record_latency(state, attempt, request_class, event)
    # Failures also count against the zone: otherwise, in a partition, each of its endpoints is tried in turn.
    for estimate in (endpoint, zone_health):
        if event.outcome is Outcome.SERVED:
            estimate.failure_score /= 2
        elif event.outcome not in NEUTRAL_OUTCOMES:
            estimate.failure_score = min(estimate.failure_score + 1, MAX_FAILURE_SCORE)


def _record_latency(state: PolicyState, attempt: Attempt, request_class: int, event: AttemptFinished) -> None:
    endpoint = attempt.endpoint
    baseline_us = state.baseline_latency_us[request_class]
    slowness = min(MAX_SLOWNESS, event.duration_us / baseline_us)
    endpoint.slowness += SMOOTHING * (slowness - endpoint.slowness)
    # In a large fleet a gateway uses each endpoint too rarely to detect an overload, so latencies also update
    # the fleet's estimate. A timeout at an endpoint that has not responded since the attempt was sent does
    # not: that endpoint may be down, which is no evidence about the others.
    is_silent = event.outcome is Outcome.TIMED_OUT and endpoint.last_active_at_us <= attempt.sent_at_us
    if not is_silent:
        state.fleet_health.slowness += SMOOTHING * (slowness - state.fleet_health.slowness)
    endpoint.baseline_load += SMOOTHING * (attempt.load - endpoint.baseline_load)
    # The baseline is capped, so that in an overload attempts at idle endpoints continue and detect recovery.
    cap_us = INITIAL_LATENCY_SHARE * state.settings.classes[request_class].latency_objective_us
    state.baseline_latency_us[request_class] = min(
        cap_us, baseline_us + SMOOTHING / 5 * (event.duration_us - baseline_us)
    )
