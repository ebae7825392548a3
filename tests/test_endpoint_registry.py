"""Endpoint lists, draining endpoints and slow start."""

from __future__ import annotations

import pytest
from harness.constants import SECOND
from harness.policy_harness import START_US, PolicyHarness, actions_of, endpoint_entry, endpoint_list

from orchidlane import policy
from orchidlane.policy import Outcome


@pytest.mark.parametrize("state", [policy.EndpointState.DRAINING, policy.EndpointState.GONE])
def test_no_request_is_sent_to_a_draining_or_gone_endpoint(state):
    harness = PolicyHarness(endpoints=0)
    harness.feed(endpoint_list(endpoint_entry(1), endpoint_entry(2)))
    harness.feed(endpoint_list(endpoint_entry(1, state=state), kind=policy.EndpointListKind.DELTA))
    for request in range(1, 9):
        for send in actions_of(harness.request(request, customer=request), policy.SendAttempt):
            assert send.endpoint == endpoint_entry(2).endpoint
            for retry in actions_of(
                harness.finish_attempt(request, send.endpoint, Outcome.ENDPOINT_FULL), policy.SendAttempt
            ):
                assert retry.endpoint == endpoint_entry(2).endpoint


def test_endpoints_missing_from_a_complete_list_get_no_requests():
    harness = PolicyHarness(endpoints=2)
    harness.feed(endpoint_list())
    assert not actions_of(harness.request(1), policy.SendAttempt)
    assert not actions_of(harness.advance(2 * SECOND), policy.SendAttempt)
    assert harness.final_responses(1) == [policy.RejectRequest(1, 0)]


def test_a_failed_list_request_changes_nothing(harness):
    harness.feed(policy.EndpointListReceived(policy.EndpointListKind.FAILED, 9, ()))
    assert actions_of(harness.request(1), policy.SendAttempt)


def test_slow_start_limits_an_endpoint_to_its_allowed_share_of_requests():
    harness = PolicyHarness(endpoints=0)
    warming_up = endpoint_entry(9, started_at_us=START_US)
    harness.feed(endpoint_list(*(endpoint_entry(i) for i in range(4)), warming_up))
    sent = {"warming_up": 0, "warm": 0}
    for request in range(1, 401):
        for send in actions_of(harness.request(request, customer=request), policy.SendAttempt):
            sent["warming_up" if send.endpoint == warming_up.endpoint else "warm"] += 1
            harness.finish_attempt(request, send.endpoint, Outcome.SERVED, duration_us=1_000)
        harness.advance(5_000)
    allowed_share = 0.25 + 0.75 * 2 / 10  # 2 s into a slow start of 10 s
    assert sent["warm"] > 300
    assert sent["warming_up"] <= allowed_share * sent["warm"] / 4 + 1


def test_a_restarted_endpoint_is_in_slow_start_again():
    harness = PolicyHarness(endpoints=0)
    harness.feed(endpoint_list(endpoint_entry(1, started_at_us=START_US - 60 * SECOND)))
    assert len(actions_of(harness.request(1), policy.SendAttempt)) == 1
    harness.feed(endpoint_list(endpoint_entry(1, started_at_us=START_US), kind=policy.EndpointListKind.DELTA))
    sends = [s for r in range(2, 402) for s in actions_of(harness.request(r, customer=r), policy.SendAttempt)]
    assert 0 < len(sends) <= 0.25 * 400
    for _ in range(50):  # a held request keeps its sampled value, so trying again does not raise the share
        harness.advance(20_000)
    assert len(actions_of(harness.actions, policy.SendAttempt)) <= 0.4 * 400


def test_slow_start_limits_the_sum_of_requests_of_many_gateways():
    """In a large fleet each gateway sends less than one request to an endpoint during its slow start."""
    # Requests sent, by whether the endpoint is in slow start
    warming_up, sent = endpoint_entry(9, started_at_us=START_US), {True: 0, False: 0}
    for seed in range(200):
        harness = PolicyHarness(endpoints=0, seed=seed, replica_count=200, now=START_US + 2 * SECOND)
        harness.feed(endpoint_list(*(endpoint_entry(i) for i in range(4)), warming_up))
        for request in range(1, 11):
            for send in actions_of(
                harness.request(request, customer=request, replica_set_size=1), policy.SendAttempt
            ):
                sent[send.endpoint == warming_up.endpoint] += 1
                harness.finish_attempt(request, send.endpoint, Outcome.SERVED, duration_us=30_000)
    assert 0.2 * sent[False] / 4 < sent[True] < 0.4 * sent[False] / 4


def test_endpoints_that_are_gone_leave_no_state():
    harness = PolicyHarness(endpoints=0)
    for number in range(1, 200):
        harness.feed(endpoint_list(endpoint_entry(number, cell=number), kind=policy.EndpointListKind.DELTA))
        harness.feed(
            endpoint_list(
                endpoint_entry(number, cell=number, state=policy.EndpointState.GONE),
                kind=policy.EndpointListKind.DELTA,
            )
        )
    gateway = harness.gateway
    assert not gateway.endpoints
    assert not gateway.cell_pools
    assert not gateway.zone_pools
