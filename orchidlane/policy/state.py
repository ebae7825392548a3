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
    risen: int
    counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    spent: float = 0.0  # the sum of the counts, those of earlier lives too
    total: float = 0.0  # all units known to be spent: the counts, and what tellers knew besides
    news: tuple[int, ...] = ()  # ranks whose counts changed last, the latest at the end
    fresh: bool = True  # no other gateway has told of it yet
    out: int = 0
    others: tuple[int, ...] = ()  # when others' latest approvals became known
    spread: int = 0  # when its set was last told
    ceiling: float = 0.0  # units that its ceiling lets us send
    asked: float = 0.0  # rights asked for and not yet given
    closed: bool = False  # it was fast and spent nearly all: refused until a good part is back

    @property
    def plan(self) -> int:
        """Its plan's number."""
        return self.key[0]

    @property
    def first(self) -> int:
        """The first gateway of its set."""
        return self.key[1]

    @property
    def size(self) -> int:
        """How many gateways its set has."""
        return self.key[2]

    @property
    def room(self) -> float:
        """The limit less all that was spent."""
        return self.limit - self.total


@dataclass(slots=True)
class Known:
    """What requests met lately, at one server or at all."""

    seen: int  # when it last taught us something
    slow: float = 1.0
    fails: float = 0.0

    def marks(self, now: int, fade_over: int, prior: float = 1.0) -> tuple[float, float]:
        """How slow it is and how often it failed, each faded by the time since it taught us something."""
        fade = math.exp((self.seen - now) / fade_over)
        return prior + (self.slow - prior) * fade, self.fails * fade

    def fade(self, now: int, fade_over: int) -> None:
        """Bring the marks up to now."""
        (self.slow, self.fails), self.seen = self.marks(now, fade_over), now


@dataclass(slots=True)
class Host(Known):
    """A server: what discovery says and what requests met."""

    entry: EndpointEntry = field(kw_only=True)
    out: int = 0
    active: int = 0  # last answer, or when the first of those out was sent
    typical: float = 2.0  # load that its answer times were met under

    def shares(self, group: DeduplicationScope) -> int:
        """What two servers have in common that drop each other's repeats."""
        return {
            DeduplicationScope.ALL: 0,
            DeduplicationScope.ZONE: self.entry.zone,
            DeduplicationScope.CELL: self.entry.cell,
        }[group]


class Pool:
    """Servers in a list to draw from; adding and removing one costs the same at any size."""

    def __init__(self) -> None:
        self.hosts: list[Host] = []
        self.places: dict[EndpointId, int] = {}

    def add(self, host: Host) -> None:
        """Put a server in, once."""
        if host.entry.endpoint not in self.places:
            self.places[host.entry.endpoint] = len(self.hosts)
            self.hosts.append(host)

    def remove(self, server: EndpointId) -> None:
        """Take a server out; the last one fills its place."""
        place = self.places.pop(server, None)
        if place is not None:
            last = self.hosts.pop()
            if place < len(self.hosts):
                self.hosts[place] = last
                self.places[last.entry.endpoint] = place


@dataclass(slots=True)
class Attempt:
    """One send; ran means that it may have run."""

    host: Host
    sent: int
    load: float
    out: bool = True
    ran: bool = True


@dataclass(slots=True)
class Request:
    """A request that is owed an answer."""

    event: RequestArrived
    cls: RequestClass
    until: int
    lot: float = 0.0  # drawn anew for each attempt: which cold server it may try
    account: Account | None = None  # known once it is admitted
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def out(self) -> list[Attempt]:
        """Those of its attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.out]


class Memory:
    """All that a gateway holds, empty at its start."""

    def __init__(self) -> None:
        self.accounts: dict[int, Account] = {}
        self.idle_queue: deque[int] = deque()  # customers, in the order of their next look
        self.changed: dict[int, None] = {}  # customers whose counts changed since they were told
        self.closed: dict[int, int] = {}  # customers that are closed, the latest last: how often told besides
        self.heard: dict[int, int] = {}  # rank -> when it was last heard
        self.asked: deque[tuple[int, int, int, int]] = deque()  # when, rank, customer, which keeper
        self.owed: dict[int, dict[int, int]] = {}  # rank -> customers it is to be told of, as which keeper
        self.hosts: dict[EndpointId, Host] = {}
        self.met = Known(0)  # by all servers together
        self.zones_met: dict[int, Known] = {}  # by those of one zone
        self.warm, self.cold = Pool(), Pool()
        self.cells: dict[int, Pool] = {}
        self.zones: dict[int, Pool] = {}
        self.warming: deque[Host] = deque()  # servers in the order of their listing, until they are warm
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], tuple[Attempt, Request]] = {}
        self.actions: list[Action] = []

    def begin(self, request: Request, attempt: Attempt) -> None:
        """Count one more attempt in."""
        attempt.host.out += 1
        request.account.out += 1
        self.attempts[request.event.request, len(request.attempts)] = attempt, request
        request.attempts.append(attempt)

    def ended(self, request: int, number: int) -> tuple[Attempt, int]:
        """Count an attempt out; it and its request's class."""
        attempt, of = self.attempts.pop((request, number))
        attempt.out = False
        attempt.host.out -= 1
        of.account.out -= 1
        return attempt, of.event.request_class

    def apply_list(self, event: EndpointListReceived, now: int) -> list[Host]:
        """Bring the servers up to date with discovery; those that are ready and new or started anew."""
        if event.kind is not EndpointListKind.DELTA:
            told = {entry.endpoint for entry in event.entries}
            for server in [s for s in self.hosts if s not in told]:
                self._forget(self.hosts[server], replace(self.hosts[server].entry, state=EndpointState.GONE))
        fresh = []
        for entry in event.entries:
            host = self.hosts.get(entry.endpoint)
            anew = host is None or entry.started_at_us > host.entry.started_at_us
            was_ready = host is not None and host.entry.state is EndpointState.READY
            if host is not None and (anew or entry.state is not EndpointState.READY):
                self._take_out(host)
            if entry.state is EndpointState.GONE:
                if host is not None:
                    self._forget(host, entry)
                continue
            if host is None or anew:
                host = self.hosts[entry.endpoint] = Host(now, entry=entry)
            host.entry = entry
            self.zones_met.setdefault(entry.zone, Known(0))
            if entry.state is EndpointState.READY and (anew or not was_ready):
                self.cells.setdefault(entry.cell, Pool()).add(host)
                self.zones.setdefault(entry.zone, Pool()).add(host)
                fresh.append(host)
        return fresh

    def warm_first(self) -> None:
        """The server that was listed first joins the warm ones, if it still runs."""
        host = self.warming.popleft()
        if self.hosts.get(host.entry.endpoint) is host and host.entry.state is EndpointState.READY:
            self.cold.remove(host.entry.endpoint)
            self.warm.add(host)

    def near(self, host: Host, group: DeduplicationScope) -> list[Host]:
        """The servers that share the group with this one, those that are cold too."""
        if group is DeduplicationScope.ALL:
            return self.warm.hosts
        pools = self.cells if group is DeduplicationScope.CELL else self.zones
        pool = pools.get(host.shares(group))
        return pool.hosts if pool else []

    def _forget(self, host: Host, entry: EndpointEntry) -> None:
        """A server that is gone; its attempts still know it. Hosts always new must not cost memory."""
        self._take_out(host)
        host.entry = entry
        del self.hosts[entry.endpoint]

    def _take_out(self, host: Host) -> None:
        server = host.entry.endpoint
        self.warm.remove(server)
        self.cold.remove(server)
        for pools, number in ((self.cells, host.entry.cell), (self.zones, host.entry.zone)):
            if number in pools:
                pools[number].remove(server)
                if not pools[number].hosts:
                    del pools[number]
