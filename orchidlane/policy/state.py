"""What a gateway remembers, as plain records. Nothing here decides anything: ``policy/gateway.py`` does."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from orchidlane.policy.actions import Action
from orchidlane.policy.events import (
    EndpointEntry,
    EndpointId,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    RequestArrived,
)
from orchidlane.policy.settings import DeduplicationScope, RequestClass


@dataclass(slots=True)
class Account:
    """One customer: counts by rank as (start, value), the limit."""

    customer: int
    key: tuple[int, int, int]  # plan, first gateway and size of its set, as told
    limit: float
    refilled_at_us: int
    replica_counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    counted_total: float = 0.0  # the sum of the counts, those of earlier lives too
    spent_total: float = 0.0  # all units known to be spent: the counts, and what tellers knew besides
    recently_changed: tuple[int, ...] = ()  # ranks whose counts changed last, the latest at the end
    unconfirmed: bool = True  # no other gateway has told of it yet
    in_flight: int = 0
    peer_admissions_at_us: tuple[int, ...] = ()  # when others' latest approvals became known
    announced_at_us: int = 0  # when its set was last told
    ceiling_tokens: float = 0.0  # units that its ceiling lets us send
    requested_tokens: float = 0.0  # rights asked for and not yet given
    exhausted: bool = False  # it was fast and spent nearly all: refused until a good part is back

    @property
    def plan(self) -> int:
        """Its plan's number."""
        return self.key[0]

    @property
    def replica_set_start(self) -> int:
        """The first gateway of its set."""
        return self.key[1]

    @property
    def replica_set_size(self) -> int:
        """How many gateways its set has."""
        return self.key[2]

    @property
    def remaining(self) -> float:
        """The limit less all that was spent."""
        return self.limit - self.spent_total


@dataclass(slots=True)
class HealthEstimate:
    """What requests met lately, at one server or at all."""

    updated_at_us: int  # when it last taught us something
    slowness: float = 1.0
    failure_score: float = 0.0

    def decayed(self, now: int, fade_over: int, prior: float = 1.0) -> tuple[float, float]:
        """How slow it is and how often it failed, each faded by the time since it taught us something."""
        fade = math.exp((self.updated_at_us - now) / fade_over)
        return prior + (self.slowness - prior) * fade, self.failure_score * fade

    def decay(self, now: int, fade_over: int) -> None:
        """Bring the marks up to now."""
        (self.slowness, self.failure_score), self.updated_at_us = self.decayed(now, fade_over), now


@dataclass(slots=True)
class Endpoint(HealthEstimate):
    """A server: what discovery says and what requests met."""

    entry: EndpointEntry = field(kw_only=True)
    in_flight: int = 0
    last_active_at_us: int = 0  # last answer, or when the first of those out was sent
    baseline_load: float = 2.0  # load that its answer times were met under

    def deduplication_key(self, group: DeduplicationScope) -> int:
        """What two servers have in common that drop each other's repeats."""
        return {
            DeduplicationScope.ALL: 0,
            DeduplicationScope.ZONE: self.entry.zone,
            DeduplicationScope.CELL: self.entry.cell,
        }[group]


class EndpointPool:
    """Servers in a list to draw from; adding and removing one costs the same at any size."""

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.positions: dict[EndpointId, int] = {}

    def add(self, host: Endpoint) -> None:
        """Put a server in, once."""
        if host.entry.endpoint not in self.positions:
            self.positions[host.entry.endpoint] = len(self.endpoints)
            self.endpoints.append(host)

    def remove(self, server: EndpointId) -> None:
        """Take a server out; the last one fills its place."""
        place = self.positions.pop(server, None)
        if place is not None:
            last = self.endpoints.pop()
            if place < len(self.endpoints):
                self.endpoints[place] = last
                self.positions[last.entry.endpoint] = place


@dataclass(slots=True)
class Attempt:
    """One send; ran means that it may have run."""

    endpoint: Endpoint
    sent_at_us: int
    load: float
    in_flight: bool = True
    possibly_executed: bool = True


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed an answer."""

    event: RequestArrived
    request_class: RequestClass
    deadline_at_us: int
    sampled_value: float = 0.0  # drawn anew for each attempt: which cold server it may try
    account: Account | None = None  # known once it is admitted
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def attempts_in_flight(self) -> list[Attempt]:
        """Those of its attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.in_flight]


class PolicyState:
    """All that a gateway holds, empty at its start."""

    def __init__(self) -> None:
        self.accounts: dict[int, Account] = {}
        self.idle_queue: deque[int] = deque()  # customers, in the order of their next look
        self.pending_changes: dict[int, None] = {}  # customers whose counts changed since they were told
        self.exhausted_customers: dict[
            int, int
        ] = {}  # customers that are closed, the latest last: how often told besides
        self.last_seen_at_us: dict[int, int] = {}  # rank -> when it was last heard
        self.awaited_replies: deque[tuple[int, int, int, int]] = deque()  # when, rank, customer, which keeper
        self.pending_deltas: dict[
            int, dict[int, int]
        ] = {}  # rank -> customers it is to be told of, as which keeper
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.fleet_health = HealthEstimate(0)  # by all servers together
        self.zone_health: dict[int, HealthEstimate] = {}  # by those of one zone
        self.warm_pool, self.cold_pool = EndpointPool(), EndpointPool()
        self.cell_pools: dict[int, EndpointPool] = {}
        self.zone_pools: dict[int, EndpointPool] = {}
        self.warming_queue: deque[Endpoint] = (
            deque()
        )  # servers in the order of their listing, until they are warm
        self.requests: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], tuple[Attempt, PendingRequest]] = {}
        self.actions: list[Action] = []

    def start_attempt(self, request: PendingRequest, attempt: Attempt) -> None:
        """Count one more attempt in."""
        attempt.endpoint.in_flight += 1
        request.account.in_flight += 1
        self.attempts[request.event.request, len(request.attempts)] = attempt, request
        request.attempts.append(attempt)

    def end_attempt(self, request: int, number: int) -> tuple[Attempt, int]:
        """Count an attempt out; it and its request's class."""
        attempt, of = self.attempts.pop((request, number))
        attempt.in_flight = False
        attempt.endpoint.in_flight -= 1
        of.account.in_flight -= 1
        return attempt, of.event.request_class

    def apply_endpoint_list(self, event: EndpointListReceived, now: int) -> list[Endpoint]:
        """Bring the servers up to date with discovery; those that are ready and new or started anew."""
        if event.kind is not EndpointListKind.DELTA:
            told = {entry.endpoint for entry in event.entries}
            for server in [s for s in self.endpoints if s not in told]:
                self._forget(
                    self.endpoints[server], replace(self.endpoints[server].entry, state=EndpointState.GONE)
                )
        fresh = []
        for entry in event.entries:
            host = self.endpoints.get(entry.endpoint)
            anew = host is None or entry.started_at_us > host.entry.started_at_us
            was_ready = host is not None and host.entry.state is EndpointState.READY
            if host is not None and (anew or entry.state is not EndpointState.READY):
                self._take_out(host)
            if entry.state is EndpointState.GONE:
                if host is not None:
                    self._forget(host, entry)
                continue
            if host is None or anew:
                host = self.endpoints[entry.endpoint] = Endpoint(now, entry=entry)
            host.entry = entry
            self.zone_health.setdefault(entry.zone, HealthEstimate(0))
            if entry.state is EndpointState.READY and (anew or not was_ready):
                self.cell_pools.setdefault(entry.cell, EndpointPool()).add(host)
                self.zone_pools.setdefault(entry.zone, EndpointPool()).add(host)
                fresh.append(host)
        return fresh

    def promote_oldest(self) -> None:
        """The server that was listed first joins the warm ones, if it still runs."""
        host = self.warming_queue.popleft()
        if self.endpoints.get(host.entry.endpoint) is host and host.entry.state is EndpointState.READY:
            self.cold_pool.remove(host.entry.endpoint)
            self.warm_pool.add(host)

    def endpoints_sharing(self, host: Endpoint, group: DeduplicationScope) -> list[Endpoint]:
        """The servers that share the group with this one, those that are cold too."""
        if group is DeduplicationScope.ALL:
            return self.warm_pool.endpoints
        pools = self.cell_pools if group is DeduplicationScope.CELL else self.zone_pools
        pool = pools.get(host.deduplication_key(group))
        return pool.endpoints if pool else []

    def _forget(self, host: Endpoint, entry: EndpointEntry) -> None:
        """A server that is gone; its attempts still know it. Hosts always new must not cost memory."""
        self._take_out(host)
        host.entry = entry
        del self.endpoints[entry.endpoint]

    def _take_out(self, host: Endpoint) -> None:
        server = host.entry.endpoint
        self.warm_pool.remove(server)
        self.cold_pool.remove(server)
        for pools, number in ((self.cell_pools, host.entry.cell), (self.zone_pools, host.entry.zone)):
            if number in pools:
                pools[number].remove(server)
                if not pools[number].endpoints:
                    del pools[number]
