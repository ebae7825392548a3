"""Endpoint selection, and the health estimates that it uses."""

from __future__ import annotations

from harness.constants import SECOND
from harness.policy_harness import PolicyHarness, actions_of, endpoint_entry, endpoint_list, serve_request

from orchidlane import policy
from orchidlane.policy import Outcome


def test_requests_are_admitted_again_after_an_overload():
    """A latency measured under overload must not cause all later requests to be shed."""
    harness = PolicyHarness(endpoints=3)
    for request in range(1, 200):
        serve_request(harness, request, lambda _: 3 * SECOND)
    harness.advance(10 * SECOND)
    assert sum(serve_request(harness, r, lambda _: 20_000) is not None for r in range(200, 240)) > 30


def test_few_attempts_per_endpoint_suffice_to_detect_a_fleet_overload():
    """In a large fleet a gateway sends to each endpoint once in many seconds."""
    harness = PolicyHarness(endpoints=200)
    for request in range(1, 40):
        serve_request(harness, request, lambda _: 60_000)
    before = sum(serve_request(harness, r, lambda _: 3 * SECOND) is not None for r in range(100, 140))
    during = sum(serve_request(harness, r, lambda _: 3 * SECOND) is not None for r in range(200, 240))
    assert during < before / 2
    harness.advance(15 * SECOND)
    assert serve_request(harness, 300, lambda _: 60_000) is not None


def test_during_an_overload_one_request_is_sent_every_few_seconds():
    """A gateway that sheds all requests cannot detect the recovery."""
    harness = PolicyHarness(endpoints=200)
    for request in range(1, 80):
        serve_request(harness, request, lambda _: 6 * SECOND)
    sent_at_us = [harness.now]
    for request in range(100, 220):  # ten a second while the overload lasts
        sent_at_us += [harness.now] * (serve_request(harness, request, lambda _: 6 * SECOND) is not None)
        harness.advance(90_000)
    intervals = [
        later - earlier for earlier, later in zip(sent_at_us, [*sent_at_us[1:], harness.now], strict=True)
    ]
    assert 3 <= len(sent_at_us) <= 5
    assert max(intervals) < 3.5 * SECOND
    assert min(intervals[:-1]) >= 3 * SECOND


def test_a_slow_endpoint_gets_less_traffic_until_it_recovers():
    harness = PolicyHarness(endpoints=4)
    slow = endpoint_entry(0).endpoint

    def slow_share(first: int, duration_us) -> float:
        sends = [s for r in range(first, first + 120) if (s := serve_request(harness, r, duration_us))]
        return sum(s.endpoint == slow for s in sends) / len(sends)

    assert slow_share(1, lambda endpoint: 200_000 if endpoint == slow else 30_000) < 0.1
    harness.advance(15 * SECOND)
    assert slow_share(500, lambda _: 30_000) > 0.12


def test_an_endpoint_that_refuses_connections_is_avoided():
    harness = PolicyHarness(endpoints=4)
    refusing, attempts_there = endpoint_entry(0).endpoint, 0
    for request in range(1, 101):
        send = actions_of(harness.request(request, customer=request), policy.SendAttempt)[0]
        attempt = 0
        while send.endpoint == refusing:
            attempts_there += 1
            send = actions_of(
                harness.finish_attempt(request, refusing, Outcome.CONNECT_FAILED, attempt=attempt),
                policy.SendAttempt,
            )[0]
            attempt += 1
        harness.advance(5_000)
        harness.finish_attempt(request, send.endpoint, Outcome.SERVED, attempt=attempt, duration_us=30_000)
    assert attempts_there <= 5


def test_an_unreachable_zone_is_avoided_before_all_its_endpoints_fail():
    """Failures count against the zone, so that its endpoints are not tried one by one."""
    harness, attempts_there = PolicyHarness(endpoints=0), 0
    unreachable = {endpoint_entry(i).endpoint for i in range(50)}
    harness.feed(endpoint_list(*(endpoint_entry(i, zone=int(i >= 50)) for i in range(100))))
    for request in range(1, 101):
        sends, attempt = actions_of(harness.request(request, customer=request), policy.SendAttempt), 0
        while sends:
            is_unreachable = sends[0].endpoint in unreachable
            attempts_there += is_unreachable
            outcome = Outcome.CONNECT_FAILED if is_unreachable else Outcome.SERVED
            sends = actions_of(
                harness.finish_attempt(
                    request, sends[0].endpoint, outcome, attempt=attempt, duration_us=30_000
                ),
                policy.SendAttempt,
            )
            attempt += 1
        harness.advance(20_000)
    assert attempts_there < 20


def test_timeouts_of_silent_endpoints_do_not_cause_load_shedding():
    """When a zone is lost, its timeouts must not raise the latency expected of other zones."""
    harness = PolicyHarness(endpoints=200)
    for request in range(1, 40):
        serve_request(harness, request, lambda _: 60_000)
    sent = [
        actions_of(harness.request(r, customer=r, time_left_us=2 * SECOND), policy.SendAttempt)[0].endpoint
        for r in range(100, 120)
    ]
    harness.advance(2 * SECOND)
    for request, endpoint in zip(range(100, 120), sent, strict=True):
        harness.finish_attempt(request, endpoint, Outcome.TIMED_OUT, duration_us=2 * SECOND)
    assert all(serve_request(harness, request, lambda _: 60_000) for request in range(200, 220))


def test_no_endpoint_is_excluded_permanently_when_all_fail():
    harness = PolicyHarness(endpoints=3)
    for request in range(1, 30):
        sends, attempt = actions_of(harness.request(request, customer=request), policy.SendAttempt), 0
        while sends:
            sends = actions_of(
                harness.finish_attempt(request, sends[0].endpoint, Outcome.CONNECT_FAILED, attempt=attempt),
                policy.SendAttempt,
            )
            attempt += 1
    harness.advance(10 * SECOND)
    sends = [s for r in range(50, 62) for s in actions_of(harness.request(r, customer=r), policy.SendAttempt)]
    assert len({s.endpoint for s in sends}) == 3


def test_gateways_with_equal_seeds_and_events_return_equal_actions():
    actions_by_run = []
    for _ in range(2):
        harness = PolicyHarness(endpoints=9, seed=3)
        for request in range(1, 50):
            serve_request(harness, request, lambda s: 20_000 + 1_000 * s[3])
        actions_by_run.append(harness.actions)
    assert actions_by_run[0] == actions_by_run[1]


def test_a_stalled_endpoint_is_avoided():
    harness = PolicyHarness(endpoints=0)
    harness.feed(endpoint_list(endpoint_entry(1), endpoint_entry(2)))
    stalled = actions_of(harness.request(1, request_class=2), policy.SendAttempt)[0].endpoint
    harness.advance(300_000)
    others = [
        s.endpoint
        for r in range(2, 6)
        for s in actions_of(harness.request(r, customer=r, request_class=2), policy.SendAttempt)
    ]
    assert others
    assert stalled not in others


def test_a_warm_endpoint_is_chosen_among_many_in_slow_start():
    """The sample of endpoints to compare must be drawn from the warm ones only."""
    harness = PolicyHarness(endpoints=0)
    harness.feed(
        endpoint_list(
            endpoint_entry(0), *(endpoint_entry(i, started_at_us=harness.now) for i in range(1, 200))
        )
    )
    assert [s.endpoint for s in actions_of(harness.request(1), policy.SendAttempt)] == [
        endpoint_entry(0).endpoint
    ]


def test_failures_influence_the_choice_of_endpoint_but_reject_no_request():
    """Broken connections are no evidence of a high latency, so no request is shed because of them."""
    harness = PolicyHarness()
    for number in range(1, 9):
        (send,) = actions_of(harness.request(number, request_class=2, customer=number), policy.SendAttempt)
        harness.finish_attempt(number, send.endpoint, policy.Outcome.CONNECTION_BROKEN)
    assert all(endpoint.failure_score > 0 for endpoint in harness.gateway.endpoints.values())
    assert actions_of(harness.request(20, customer=20), policy.SendAttempt)
