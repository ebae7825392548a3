"""What a gateway remembers, as plain records. Nothing here decides anything: ``rules.py`` does."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field, replace

from . import interface as api


@dataclass(slots=True)
class Account:
    """One customer: counts by rank as (start in ms, value), the limit, and what is held back."""

    key: tuple[int, int, int]  # plan, first gateway and size of its set, as told
    peers: tuple[int, ...]  # the other gateways of its set
    limit: float
    risen: int
    counts: dict[int, tuple[int, float]] = field(default_factory=dict)
    held: float = 0.0  # what unheard gateways may have spent
    unheard: float = 0.0  # their part of the set
    adopted: float = 0.0  # of an earlier life's count taken into our own
    out: int = 0
    peers_out: dict[int, tuple[int, int]] = field(default_factory=dict)  # rank -> (attempts out, when told)
    approved: tuple[int, ...] = ()  # times of the last approvals
    ceiling: float = 0.0

    @property
    def plan(self) -> int:
        """Its plan's number."""
        return self.key[0]

    @property
    def size(self) -> int:
        """How many gateways its set has."""
        return max(1, self.key[2])

    @property
    def room(self) -> float:
        """The limit less all that was spent."""
        return self.limit - self.used

    @property
    def used(self) -> float:
        """All that is known to be spent."""
        return sum(value for _, value in self.counts.values())


@dataclass(slots=True)
class Host:
    """A server: what discovery says and what requests met."""

    entry: api.ServerEntry
    seen: int  # when it last taught us something
    credited: int
    slow: float = 1.0
    fails: float = 0.0
    out: int = 0
    active: int = 0  # last answer, or when the first of those out was sent
    typical: float = 2.0  # load that its answer times were met under
    credit: float = 0.0  # sends that its cold start allows

    def marks(self, now: int, fade_over: int) -> tuple[float, float]:
        """How slow it is and how often it failed, each faded by the time since it taught us something."""
        fade = math.exp((self.seen - now) / fade_over)
        return 1 + (self.slow - 1) * fade, self.fails * fade

    def shares(self, group: api.Group) -> int:
        """What two servers have in common that drop each other's repeats."""
        return {api.Group.ALL: 0, api.Group.ZONE: self.entry.zone, api.Group.CELL: self.entry.cell}[group]


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

    event: api.RequestArrived
    cls: api.RequestClass
    until: int
    account: Account | None = None  # known once it is admitted
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def out(self) -> list[Attempt]:
        """Those of its attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if attempt.out]


@dataclass(slots=True)
class Peer:
    """Another gateway: when it was heard, what it has to be told."""

    heard: int
    told: int
    filled: int
    birth: int = -1
    synced: bool = False
    allowance: float = 1.0
    pending: dict[int, int] = field(default_factory=dict)  # customer -> bits of the changed counts
    owed: set[int] = field(default_factory=set)  # customers of the first transfer that are still to come


class Memory:
    """All that a gateway holds, empty at its start."""

    def __init__(self) -> None:
        self.accounts: dict[int, Account] = {}
        self.idle_queue: deque[int] = deque()  # customers, in the order of their next look
        self.hosts: dict[api.Server, Host] = {}
        self.ready: list[Host] = []
        self.requests: dict[int, Request] = {}
        self.attempts: dict[tuple[int, int], tuple[Attempt, int, Account]] = {}
        self.actions: list[api.Action] = []


def apply_list(hosts: dict[api.Server, Host], event: api.ServerListed, now: int) -> list[Host]:
    """Bring the servers up to date with discovery; those ready, in the order of their names."""
    told = {entry.server: entry for entry in event.entries}
    if event.kind is not api.ListKind.CHANGES:
        for server, host in hosts.items():
            if server not in told:
                host.entry = replace(host.entry, phase=api.Phase.GONE)
    for server, entry in told.items():
        if server not in hosts or entry.launched > hosts[server].entry.launched:
            hosts[server] = Host(entry, now, now)
        else:
            hosts[server].entry = entry
    return [hosts[s] for s in sorted(hosts) if hosts[s].entry.phase is api.Phase.READY]
