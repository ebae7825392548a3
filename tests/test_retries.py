"""Requests from arrival to their final response: retries, deadlines and load shedding."""

from __future__ import annotations

import pytest
from harness.constants import SECOND
from harness.policy_harness import PolicyHarness, actions_of, endpoint_entry, endpoint_list, serve_request

from orchidlane import policy
from orchidlane.policy import Outcome

# Indexes of request classes in the settings of the harness
KEYED_BY_CELL_CLASS = 1
NOT_IDEMPOTENT_CLASS = 2
KEYED_BY_ALL_CLASS = 3
KEYED_BY_ZONE_CLASS = 4

NOT_EXECUTED = (Outcome.ENDPOINT_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
POSSIBLY_EXECUTED = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED)


def test_a_request_without_endpoints_is_held_until_near_its_deadline():
    harness = PolicyHarness(endpoints=0)
    assert not actions_of(harness.request(1, time_left_us=SECOND), (policy.RejectRequest, policy.FailRequest))
    harness.advance(SECOND - 1)
    assert harness.final_responses(1) == [policy.RejectRequest(1, 0)]


def test_a_held_request_is_sent_when_an_endpoint_is_listed():
    harness = PolicyHarness(endpoints=0)
    harness.request(1)
    harness.advance(100_000)
    harness.feed(endpoint_list(endpoint_entry(1)))
    assert len(actions_of(harness.advance(100_000), policy.SendAttempt)) == 1


def test_a_timeout_at_the_deadline_gets_one_final_response(harness):
    send = actions_of(harness.request(1, request_class=NOT_IDEMPOTENT_CLASS), policy.SendAttempt)[0]
    harness.now += 2 * SECOND
    harness.finish_attempt(1, send.endpoint, Outcome.TIMED_OUT, duration_us=2 * SECOND)
    assert harness.final_responses(1) == [policy.FailRequest(1)]
    harness.advance(5 * SECOND)
    assert len(harness.final_responses(1)) == 1


def test_no_action_follows_a_final_response_or_a_client_disconnect(harness):
    send = actions_of(harness.request(1), policy.SendAttempt)[0]
    harness.finish_attempt(1, send.endpoint, Outcome.SERVED)
    other = actions_of(harness.request(2), policy.SendAttempt)[0]
    harness.feed(policy.ClientDisconnected(2))
    harness.finish_attempt(2, other.endpoint, Outcome.ERROR)
    assert not actions_of(
        harness.advance(3 * SECOND), (policy.SendAttempt, policy.RejectRequest, policy.FailRequest)
    )


def test_events_of_unknown_requests_are_ignored(harness):
    assert harness.finish_attempt(99, endpoint_entry(1).endpoint, Outcome.SERVED) == []
    assert harness.feed(policy.TimerFired(99)) == []
    assert harness.feed(policy.ClientDisconnected(99)) == []


@pytest.mark.parametrize("outcome", POSSIBLY_EXECUTED)
def test_a_possibly_executed_non_idempotent_request_fails_without_retry(harness, outcome):
    send = actions_of(harness.request(1, request_class=NOT_IDEMPOTENT_CLASS), policy.SendAttempt)[0]
    harness.now += 10_000
    actions = harness.finish_attempt(1, send.endpoint, outcome)
    assert not actions_of(actions, (policy.SendAttempt, policy.RejectRequest))
    assert actions_of(actions, policy.FailRequest) == [policy.FailRequest(1)]


@pytest.mark.parametrize("outcome", NOT_EXECUTED)
def test_a_non_idempotent_request_is_retried_if_it_was_not_executed(harness, outcome):
    send = actions_of(harness.request(1, request_class=NOT_IDEMPOTENT_CLASS), policy.SendAttempt)[0]
    assert actions_of(harness.finish_attempt(1, send.endpoint, outcome), policy.SendAttempt)


def test_a_non_idempotent_request_is_not_hedged(harness):
    harness.request(1, request_class=NOT_IDEMPOTENT_CLASS)
    assert not actions_of(harness.advance(3 * SECOND), policy.SendAttempt)


@pytest.mark.parametrize(
    ("request_class", "scope"), [(KEYED_BY_CELL_CLASS, "cell"), (KEYED_BY_ZONE_CLASS, "zone")]
)
def test_a_keyed_request_is_retried_within_its_deduplication_scope(request_class, scope):
    for seed in range(12):
        harness = PolicyHarness(endpoints=0, seed=seed)
        group_of_endpoint = {endpoint_entry(i).endpoint: i % 2 for i in range(6)}
        harness.feed(endpoint_list(*(endpoint_entry(i, **{scope: i % 2}) for i in range(6))))
        send = actions_of(harness.request(1, request_class=request_class), policy.SendAttempt)[0]
        harness.now += 10_000
        retries = actions_of(
            harness.finish_attempt(1, send.endpoint, Outcome.CONNECTION_BROKEN), policy.SendAttempt
        )
        assert [group_of_endpoint[retry.endpoint] for retry in retries] == [group_of_endpoint[send.endpoint]]


def test_a_keyed_request_fails_if_its_deduplication_scope_is_empty():
    harness = PolicyHarness(endpoints=0)
    harness.feed(endpoint_list(endpoint_entry(1, cell=1)))
    send = actions_of(harness.request(1, request_class=KEYED_BY_CELL_CLASS), policy.SendAttempt)[0]
    harness.feed(endpoint_list(endpoint_entry(2, cell=2)))
    harness.now += 10_000
    assert not actions_of(
        harness.finish_attempt(1, send.endpoint, Outcome.CONNECTION_BROKEN), policy.SendAttempt
    )
    harness.advance(2 * SECOND)
    assert harness.final_responses(1) == [policy.FailRequest(1)]


def test_a_keyed_request_is_not_retried_after_its_deduplication_window(harness):
    send = actions_of(
        harness.request(1, request_class=KEYED_BY_ALL_CLASS, time_left_us=4 * SECOND), policy.SendAttempt
    )[0]
    harness.now += SECOND + 1
    assert not actions_of(
        harness.finish_attempt(1, send.endpoint, Outcome.CONNECTION_BROKEN), policy.SendAttempt
    )
    harness.advance(4 * SECOND)
    assert harness.final_responses(1) == [policy.RejectRequest(1, 0)]


def test_an_attempt_is_cancelled_when_the_client_disconnects(harness):
    harness.request(1)
    assert actions_of(harness.feed(policy.ClientDisconnected(1)), policy.CancelAttempt) == [
        policy.CancelAttempt(1, 0)
    ]


def test_attempts_are_limited_to_the_configured_maximum():
    harness = PolicyHarness(max_attempts=2)
    send = actions_of(harness.request(1), policy.SendAttempt)[0]
    send = actions_of(harness.finish_attempt(1, send.endpoint, Outcome.ENDPOINT_FULL), policy.SendAttempt)[0]
    actions = harness.finish_attempt(1, send.endpoint, Outcome.ENDPOINT_FULL, attempt=1)
    assert actions_of(actions, (policy.SendAttempt, policy.RejectRequest)) == [policy.RejectRequest(1, 0)]


def test_the_retry_budget_limits_the_load_when_all_attempts_fail():
    harness = PolicyHarness(endpoints=4)
    sends = 0
    for request in range(1, 201):
        sends_of_request = actions_of(harness.request(request, customer=request), policy.SendAttempt)
        attempt = 0
        while sends_of_request:
            sends += 1
            sends_of_request = actions_of(
                harness.finish_attempt(request, sends_of_request[0].endpoint, Outcome.ERROR, attempt=attempt),
                policy.SendAttempt,
            )
            attempt += 1
        harness.advance(50_000)
    assert sends < 200 * 1.15


def test_requests_are_shed_immediately_in_an_overload():
    harness = PolicyHarness(endpoints=2)
    for request in range(1, 41):
        serve_request(harness, request, lambda _: 60_000)
    sends = [
        s for r in range(100, 200) for s in actions_of(harness.request(r, customer=r), policy.SendAttempt)
    ]
    assert 0 < len(sends) < 50
    assert not [
        a for a in harness.advance(SECOND // 10) if isinstance(a, policy.RejectRequest)
    ]  # no request was held before it was shed


def test_a_request_class_that_is_always_slow_is_not_shed():
    """The usual latency of a class is no reason to shed load, even if it is near the latency objective."""
    harness = PolicyHarness(endpoints=1)
    assert all(serve_request(harness, r, lambda _: 110_000) for r in range(1, 60))
