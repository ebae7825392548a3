"""The state shared by all modules of the policy. Data types only; decisions are made elsewhere."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from orchidlane.policy.accounts import Account
from orchidlane.policy.actions import Action
from orchidlane.policy.endpoints import Endpoint, EndpointPool, HealthEstimate
from orchidlane.policy.events import EndpointId, RequestArrived
from orchidlane.policy.settings import RequestClass, Settings

PEER_INTAKE_SHARE = 0.8  # used share of a peer's message rate limit; the rest absorbs jitter
MAX_RETRY_BUDGET = 5.0  # retries
INITIAL_LATENCY_SHARE = 0.25  # share of the latency objective; baseline latency until one is measured


@dataclass(slots=True)
class Attempt:
    """One attempt at an endpoint, which may have executed the request unless the outcome rules that out."""

    endpoint: Endpoint
    sent_at_us: int
    load: float  # the endpoint's load when the attempt was sent, with INITIAL_LOAD added
    in_flight: bool = True
    possibly_executed: bool = True


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final response yet."""

    event: RequestArrived
    request_class: RequestClass
    deadline_at_us: int
    sampled_value: float = 0.0  # random in [0, 1) for each attempt: selects among endpoints in slow start
    account: Account | None = None  # set when admission looks it up
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def attempts_in_flight(self) -> list[Attempt]:
        """The request's attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.in_flight]

    @property
    def executed_attempts(self) -> list[Attempt]:
        """The request's attempts that their endpoint may have executed."""
        return [attempt for attempt in self.attempts if attempt.possibly_executed]


class AwaitedReply(NamedTuple):
    """A reply that is expected from a peer; ``owner_index`` is -1 if no stand-in replaces it."""

    sent_at_us: int
    replica: int
    customer: int
    owner_index: int


class PolicyState:
    """The whole state of one gateway's policy. Times are in microseconds of the caller's clock."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = now
        self.started_at_us = now  # new accounts refill from this time on, whenever they are created
        self.replica = settings.replica
        self.is_standalone = not settings.may_gossip
        self.actions: list[Action] = []
        # Quotas
        self.accounts: dict[int, Account] = {}
        self.idle_queue: deque[int] = deque()  # customers in the order of their next idle check
        self.exhausted_customers: dict[int, int] = {}  # customer -> number of messages it was attached to
        # Gossip
        self.messages_per_second = PEER_INTAKE_SHARE * settings.peer_messages_per_second
        self.message_allowance = self.messages_per_second
        self.allowance_refilled_at_us = now
        self.pending_changes: dict[int, None] = {}  # customers whose counts were not gossiped since a change
        # Reports to token owners: peer -> customer -> index of the peer among the customer's token owners
        self.pending_deltas: dict[int, dict[int, int]] = {}
        self.awaited_replies: deque[AwaitedReply] = deque()
        self.last_seen_at_us: dict[int, int] = {}  # by peer
        self.unreachable_share = 0.0
        # Endpoints
        self.baseline_latency_us = [INITIAL_LATENCY_SHARE * c.latency_objective_us for c in settings.classes]
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.fleet_health = HealthEstimate(0)
        self.zone_health: dict[int, HealthEstimate] = {}
        self.warm_pool = EndpointPool()
        self.slow_start_pool = EndpointPool()
        self.cell_pools: dict[int, EndpointPool] = {}
        self.zone_pools: dict[int, EndpointPool] = {}
        self.slow_start_queue: deque[Endpoint] = deque()  # in the order in which they were listed
        # Requests
        self.requests: dict[int, PendingRequest] = {}
        # In flight, by request and attempt number
        self.attempts: dict[tuple[int, int], tuple[Attempt, PendingRequest]] = {}
        self.retry_budget = MAX_RETRY_BUDGET
        self.last_attempt_at_us = now

    def start_attempt(self, request: PendingRequest, attempt: Attempt) -> None:
        """Add an attempt to its request, and count it as in flight."""
        assert request.account is not None
        attempt.endpoint.in_flight += 1
        request.account.in_flight += 1
        self.attempts[request.event.request, len(request.attempts)] = attempt, request
        request.attempts.append(attempt)

    def finish_attempt(self, request_id: int, number: int) -> tuple[Attempt, PendingRequest]:
        """Mark an attempt as finished; return it and its request. Raises KeyError if it is not in flight."""
        attempt, request = self.attempts.pop((request_id, number))
        assert request.account is not None
        attempt.in_flight = False
        attempt.endpoint.in_flight -= 1
        request.account.in_flight -= 1
        return attempt, request
