"""Requests from arrival to their one final response: attempts, the retry budget, load shedding.

``_send_attempt`` sends every attempt, and ``_finish`` every final response that the gateway itself creates.
"""

from __future__ import annotations

from orchidlane.policy import admission, health
from orchidlane.policy.actions import CancelAttempt, FailRequest, RejectRequest, SendAttempt, SetTimer
from orchidlane.policy.constants import REQUEST_TIMER_OFFSET, US_PER_MS
from orchidlane.policy.endpoint_selection import DEADLINE_MARGIN_US, choose_endpoint
from orchidlane.policy.endpoints import ESTIMATE_DECAY_US, INITIAL_LOAD, Endpoint
from orchidlane.policy.events import AttemptFinished, ClientDisconnected, Outcome, RequestArrived
from orchidlane.policy.settings import DeduplicationScope, Idempotency
from orchidlane.policy.state import MAX_RETRY_BUDGET, Attempt, PendingRequest, PolicyState

HELD_REQUEST_INTERVAL_US = 20 * US_PER_MS  # delay before a request without an endpoint is tried again
RETRY_BUDGET_PER_REQUEST = 0.05  # retries that each new request adds to the budget
LATENCY_SLACK_SHARE = 0.15  # share of the time between baseline latency and latency objective

NOT_EXECUTED_OUTCOMES = (Outcome.ENDPOINT_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


def request_arrived(state: PolicyState, event: RequestArrived) -> None:
    """Admit a new request and send it to an endpoint, hold it, or send its final response."""
    request = PendingRequest(
        event,
        state.settings.classes[event.request_class],
        state.now + event.time_left_us,
        state.random.random(),
    )
    state.requests[event.request] = request
    state.retry_budget = min(MAX_RETRY_BUDGET, max(0.0, state.retry_budget) + RETRY_BUDGET_PER_REQUEST)
    _advance(state, request)
    admission.evict_idle_accounts(state)


def attempt_finished(state: PolicyState, event: AttemptFinished) -> None:
    """Update the health estimates, then retry the request, send its final response, or forget it."""
    if (event.request, event.attempt) not in state.attempts:
        return
    attempt, sent_request = state.finish_attempt(event.request, event.attempt)
    health.record_outcome(state, attempt, sent_request.event.request_class, event)
    attempt.possibly_executed = event.outcome not in NOT_EXECUTED_OUTCOMES
    request = state.requests.get(event.request)
    if request is None:
        return  # its final response was sent, or the client disconnected
    if event.final_response_sent:
        _forget(state, request)
        return
    # The budget keeps failures from multiplying the load; attempts that were not executed are free.
    if attempt.possibly_executed:
        state.retry_budget -= 1
    is_repeatable = request.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
    if not attempt.possibly_executed or (state.retry_budget >= 0 and is_repeatable):
        _advance(state, request)
    else:
        _finish(state, request)


def client_disconnected(state: PolicyState, event: ClientDisconnected) -> None:
    """Forget a request whose client no longer waits for a response."""
    if request := state.requests.get(event.request):
        _forget(state, request)


def held_request_timer_fired(state: PolicyState, request_id: int) -> None:
    """Try a held request again; a request that has finished or has an attempt in flight is left unchanged."""
    request = state.requests.get(request_id)
    if request and not request.attempts_in_flight:
        _advance(state, request)


def _advance(state: PolicyState, request: PendingRequest) -> None:
    """Send the next attempt of a pending request, hold the request, or send its final response."""
    give_up_at_us = request.deadline_at_us - DEADLINE_MARGIN_US
    if state.now >= give_up_at_us or len(request.attempts) >= state.settings.max_attempts:
        _finish(state, request)
        return
    is_first = not request.attempts
    if is_first:
        request.account = admission.account_of(state, request.event)
        if not admission.admits(state, request.event, request.account):
            _finish(state, request, over_quota=True)
            return
    endpoint = choose_endpoint(state, request)
    if endpoint is None:
        delay_us = min(HELD_REQUEST_INTERVAL_US, give_up_at_us - state.now)
        state.actions.append(SetTimer(delay_us, request.event.request + REQUEST_TIMER_OFFSET))
    elif is_first and _is_shed(state, request, endpoint):
        _finish(state, request)
    else:
        _send_attempt(state, request, endpoint)


def _is_shed(state: PolicyState, request: PendingRequest, endpoint: Endpoint) -> bool:
    """Return whether to shed a request because the expected latency is too long.

    One request is sent anyway once ``ESTIMATE_DECAY_US`` has passed without an attempt, since only an attempt
    can show that an overload is over.
    """
    latency_us = health.expected_latency_us(state, endpoint, request.event.request_class)
    if latency_us <= _admission_latency_bound_us(state, request):
        return False
    return state.now - state.last_attempt_at_us < ESTIMATE_DECAY_US


def _admission_latency_bound_us(state: PolicyState, request: PendingRequest) -> float:
    """Return the longest expected latency at which a new request is still sent rather than shed."""
    baseline_us = state.baseline_latency_us[request.event.request_class]
    time_left_us = min(request.request_class.latency_objective_us, request.event.time_left_us)
    return baseline_us + LATENCY_SLACK_SHARE * max(0.0, time_left_us - baseline_us)


def _send_attempt(state: PolicyState, request: PendingRequest, endpoint: Endpoint) -> None:
    if not request.attempts:
        assert request.account is not None
        admission.spend(state, request.account, request.event.units)
    if not endpoint.in_flight:
        endpoint.last_active_at_us = state.now
    state.last_attempt_at_us = state.now
    state.start_attempt(request, Attempt(endpoint, state.now, endpoint.in_flight + INITIAL_LOAD))
    request.sampled_value = state.random.random()
    state.actions.append(SendAttempt(request.event.request, endpoint.entry.endpoint, request.deadline_at_us))


def _finish(state: PolicyState, request: PendingRequest, over_quota: bool = False) -> None:
    """Send the final response: a rejection if the client may safely retry, else a failure."""
    request_id = request.event.request
    if not request.executed_attempts or _is_repeatable_by_client(request):
        retry_after_us = 0
        if over_quota and request.account:
            retry_after_us = admission.refill_time_us(state, request, request.account)
        state.actions.append(RejectRequest(request_id, retry_after_us, over_quota))
    else:
        state.actions.append(FailRequest(request_id))
    _forget(state, request)


def _is_repeatable_by_client(request: PendingRequest) -> bool:
    """Return whether a client's retry is safe, whichever endpoint it is sent to."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
        return request_class.deduplication_scope is DeduplicationScope.ALL
    return request_class.idempotency is Idempotency.IDEMPOTENT


def _forget(state: PolicyState, request: PendingRequest) -> None:
    """Remove a request that needs no further response, and cancel its attempt in flight."""
    state.requests.pop(request.event.request, None)
    if state.settings.may_cancel and request.attempts_in_flight:
        state.actions.append(CancelAttempt(request.event.request, len(request.attempts) - 1))
