"""The policy of one gateway under test, with fixed settings, a clock and timers."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from harness.constants import SECOND
from orchidlane import policy
from orchidlane.policy.gateway import Gateway

START_US = 1_000 * SECOND  # well above 0, as tests also use earlier times

IDEMPOTENT = policy.RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, policy.Idempotency.IDEMPOTENT, policy.DeduplicationScope.ALL, 0
)
KEYED_BY_CELL = policy.RequestClass(
    500_000,
    4 * SECOND,
    1.0,
    0.0,
    policy.Idempotency.IDEMPOTENT_WITH_KEY,
    policy.DeduplicationScope.CELL,
    SECOND,
)
NOT_IDEMPOTENT = policy.RequestClass(
    500_000, 2 * SECOND, 1.0, 0.0, policy.Idempotency.NOT_IDEMPOTENT, policy.DeduplicationScope.ALL, 0
)
KEYED_BY_ALL = dataclasses.replace(KEYED_BY_CELL, deduplication_scope=policy.DeduplicationScope.ALL)
KEYED_BY_ZONE = dataclasses.replace(KEYED_BY_CELL, deduplication_scope=policy.DeduplicationScope.ZONE)

PLAIN_PLAN = policy.Plan(2.0, 10.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CONCURRENCY_PLAN = policy.Plan(2.0, 10.0, 2, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
CEILING_PLAN = policy.Plan(4.0, 8.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)
OVER_QUOTA_CREDIT_PLAN = policy.Plan(2.0, 10.0, 0, 1.0, 0.5, 0.0, 0.0, 0.0, 0.0)

SETTINGS = policy.Settings(
    replica=0,
    replica_count=3,
    zone=0,
    classes=(IDEMPOTENT, KEYED_BY_CELL, NOT_IDEMPOTENT, KEYED_BY_ALL, KEYED_BY_ZONE),
    plans=(PLAIN_PLAN, CONCURRENCY_PLAN, CEILING_PLAN, OVER_QUOTA_CREDIT_PLAN),
    may_gossip=True,
    may_check_health=True,
    may_cancel=True,
    may_hedge=True,
    max_attempts=4,
    max_retry_after_us=SECOND,
    peer_messages_per_second=50.0,
    peer_charge=0.01,
    health_check_charge=0.01,
    waste_charge=0.03,
    cross_zone_charge=0.0,
    has_shared_counter=False,
    polls_endpoint_list=False,
    poll_timeout_us=10 * SECOND,
    load_report_source=policy.LoadReportSource.NONE,
    load_report_names=(),
    slow_start_initial_share=0.25,
    slow_start_duration_us=10 * SECOND,
    overload_multiple=2.0,
    overload_duration_us=2 * SECOND,
    drain_grace_us=SECOND // 2,
)


def endpoint_entry(
    number: int,
    state: policy.EndpointState = policy.EndpointState.READY,
    cell: int = 0,
    zone: int = 0,
    started_at_us: int = 0,
) -> policy.EndpointEntry:
    """Return an entry of an endpoint list."""
    endpoint = bytes((10, 0, 0, number, 0, 80))
    return policy.EndpointEntry(endpoint, state, zone, cell, started_at_us, 1.0)


def endpoint_list(
    *entries: policy.EndpointEntry, kind: policy.EndpointListKind = policy.EndpointListKind.COMPLETE
) -> policy.EndpointListReceived:
    """Return an endpoint list from discovery."""
    return policy.EndpointListReceived(kind, 1, tuple(entries))


def actions_of(actions: Iterable[policy.Action], kind: type | tuple[type, ...]) -> list:
    """Return the actions of one type, or of several."""
    return [action for action in actions if isinstance(action, kind)]


class PolicyHarness:
    """One gateway's policy with a clock; its timers fire during ``advance``."""

    def __init__(self, endpoints: int = 4, now: int = START_US, seed: int = 1, **changes: Any) -> None:
        self.now = now
        self.settings = dataclasses.replace(SETTINGS, **changes)
        self.gateway = Gateway(self.settings, seed, now)
        self.actions: list[policy.Action] = list(self.gateway.start())
        self.timers: list[tuple[int, int]] = []
        self._set_timers(self.actions)
        if endpoints:
            self.feed(endpoint_list(*(endpoint_entry(number) for number in range(endpoints))))

    def _set_timers(self, actions: Iterable[policy.Action]) -> None:
        for action in actions_of(actions, policy.SetTimer):
            self.timers.append((self.now + action.delay_us, action.token))

    def feed(self, event: policy.Event) -> list[policy.Action]:
        """Feed one event at the current time; return the resulting actions."""
        actions = list(self.gateway.handle(self.now, event))
        self._set_timers(actions)
        self.actions += actions
        return actions

    def advance(self, duration_us: int) -> list[policy.Action]:
        """Advance the clock and fire the timers that are due; return the resulting actions."""
        end = self.now + duration_us
        actions: list[policy.Action] = []
        while due := [timer for timer in self.timers if timer[0] <= end]:
            fires_at, token = first = min(due)
            self.timers.remove(first)
            self.now = max(self.now, fires_at)
            actions += self.feed(policy.TimerFired(token))
        self.now = end
        return actions

    def request(
        self,
        request: int,
        request_class: int = 0,
        customer: int = 7,
        plan: int = 0,
        units: float = 1.0,
        time_left_us: int = 2 * SECOND,
        replica_set_start: int = 0,
        replica_set_size: int = 3,
    ) -> list[policy.Action]:
        """Feed a client's request; return the resulting actions."""
        return self.feed(
            policy.RequestArrived(
                request,
                customer,
                plan,
                request_class,
                units,
                time_left_us,
                replica_set_start,
                replica_set_size,
                is_retry=False,
            )
        )

    def finish_attempt(
        self,
        request: int,
        endpoint: bytes,
        outcome: policy.Outcome,
        attempt: int = 0,
        duration_us: int = 50_000,
        final_response_sent: bool | None = None,
    ) -> list[policy.Action]:
        """Feed an attempt's outcome; return the resulting actions.

        By default the client was sent its final response if the outcome is SERVED.
        """
        if final_response_sent is None:
            final_response_sent = outcome is policy.Outcome.SERVED
        return self.feed(
            policy.AttemptFinished(
                request, attempt, endpoint, outcome, duration_us, final_response_sent, 0, 0.0, ()
            )
        )

    def final_responses(self, request: int) -> list[policy.Action]:
        """Return the final responses to one request."""
        responses = actions_of(self.actions, (policy.RejectRequest, policy.FailRequest))
        return [response for response in responses if response.request == request]


def serve_request(
    harness: PolicyHarness, request: int, duration_us: Callable[[bytes], int]
) -> policy.SendAttempt | None:
    """Feed a request, served after an endpoint's duration; return the attempt, or None if there was none."""
    sends = actions_of(
        harness.request(request, customer=request, time_left_us=2 * SECOND), policy.SendAttempt
    )
    if not sends:
        return None
    harness.advance(10_000)
    endpoint = sends[0].endpoint
    harness.finish_attempt(request, endpoint, policy.Outcome.SERVED, duration_us=duration_us(endpoint))
    return sends[0]
