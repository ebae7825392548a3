"""All that a decision module knows, as plain values, and a module made from them that goes on just the same.
 Hosts and accounts are shared by many records of the module; here each stands once, and the others name it.
The order of pools, queues and dictionaries is kept, since draws and looks go by it. ``restore`` takes bytes
of files and peers' words for nothing: what does not fit is a FormatError, never a half-made module.
"""

from __future__ import annotations

import dataclasses
from collections import deque
from copy import copy
from typing import Any

import msgspec

from orchidlane import policy
from orchidlane.policy.accounts import Account, AccountKey, ReplicaCount
from orchidlane.policy.endpoints import Endpoint, EndpointPool, HealthEstimate
from orchidlane.policy.gateway import Gateway
from orchidlane.policy.state import Attempt, AwaitedReply, PendingRequest
from orchidlane.recording.codec import FormatError, pack_event, unpack_event

FORMAT = 1
PLAIN_NAMES = {  # stored name -> attribute of the gateway
    "now": "now",
    "filled": "allowance_refilled_at_us",
    "born": "started_at_us",
    "last_sent": "last_attempt_at_us",
    "usual": "usual_duration_us",
    "budget": "retry_budget",
    "unheard": "unreachable_share",
    "allowance": "message_allowance",
}
ENDPOINT_FIELDS = ("in_flight", "last_active_at_us", "baseline_load")
ACCOUNT = tuple(field.name for field in dataclasses.fields(Account))


class Dump(msgspec.Struct, frozen=True, array_like=True):
    """One module's state; hosts are named by their server, accounts by their customer."""

    format: int
    plain: dict[str, Any]
    random: list[Any]
    accounts: list[list[Any]]
    idle_queue: list[int]
    changed: list[int]
    heard: list[tuple[int, int]]
    asked: list[tuple[int, int, int, int]]
    hosts: list[list[Any]]  # entry, known, fields, whether it is the listed one
    met: list[float]
    zones_met: list[tuple[int, list[float]]]
    pools: list[list[int]]  # warm, cold, as places in hosts
    cells: list[tuple[int, list[int]]]
    zones: list[tuple[int, list[int]]]
    warming: list[int]
    requests: list[list[Any]]
    detached: list[list[Any]]  # attempts whose request has ended
    owed: list[tuple[int, list[tuple[int, int]]]] = []  # rank, its customers and which keeper it is tried as
    closed: list[int] = []
    told: list[int] = []  # how often each that is closed was told of besides; older files have none


def dump(gateway: Gateway, customers: list[int] | None = None, accounts: bool = True) -> Dump:
    """The state of a module; with ``customers`` only their accounts, and no requests under way.

    Without ``accounts`` all but these: a ``Snapshot`` brings them page by page.
    """
    hosts = _Hosts(gateway)
    whole = customers is None
    chosen = gateway.accounts.values() if customers is None else _some(gateway, customers)
    requests = [_dump_request(request, hosts) for request in gateway.requests.values()] if whole else []
    held = {id(attempt) for request in gateway.requests.values() for attempt in request.attempts}
    detached = [
        [
            *key,
            *_dump_attempt(attempt, hosts),
            _customer(request),
            pack_event(request.event),
            request.deadline_at_us,
        ]
        for key, (attempt, request) in gateway.attempts.items()
        if whole and id(attempt) not in held
    ]
    kept = () if whole else {account.customer for account in chosen}
    pools = [hosts.places(gateway.warm_pool.endpoints), hosts.places(gateway.cold_pool.endpoints)]
    cells = [(cell, hosts.places(pool.endpoints)) for cell, pool in gateway.cell_pools.items()]
    zones = [(zone, hosts.places(pool.endpoints)) for zone, pool in gateway.zone_pools.items()]
    warming = hosts.places(gateway.warming_queue)
    closed = {one: told for one, told in gateway.exhausted_customers.items() if whole or one in kept}
    return Dump(
        format=FORMAT,
        # a list goes on changing
        plain={stored: copy(getattr(gateway, name)) for stored, name in PLAIN_NAMES.items()},
        random=_dump_random(gateway),
        accounts=[dump_account(account) for account in chosen] if accounts else [],
        idle_queue=list(gateway.idle_queue) if whole else [one for one in gateway.idle_queue if one in kept],
        changed=list(gateway.pending_changes)
        if whole
        else [one for one in gateway.pending_changes if one in kept],
        heard=list(gateway.last_seen_at_us.items()),
        asked=list(gateway.awaited_replies) if whole else [],
        hosts=hosts.rows(),  # after all that name a host
        met=_known(gateway.fleet_health),
        zones_met=[(zone, _known(known)) for zone, known in gateway.zone_health.items()],
        pools=pools,
        cells=cells,
        zones=zones,
        warming=warming,
        requests=requests,
        detached=detached,
        owed=[(rank, list(owed.items())) for rank, owed in gateway.pending_deltas.items()] if whole else [],
        closed=list(closed),
        told=list(closed.values()),
    )


def _customer(request: PendingRequest) -> int:
    return request.account.customer if request.account is not None else -1


def _some(gateway: Gateway, customers: list[int]) -> list[Account]:
    return [gateway.accounts[one] for one in customers if one in gateway.accounts]


def _dump_random(gateway: Gateway) -> list[Any]:
    version, numbers, gauss = gateway.random.getstate()
    return [version, list(numbers), gauss]


class _Hosts:
    """Every host that anything of the module names, each once."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._places: dict[int, int] = {}
        self._hosts: list[Endpoint] = []
        self.places(gateway.endpoints.values())

    def places(self, hosts: Any) -> list[int]:
        """Where these hosts stand; new ones are added."""
        return [self.place(host) for host in hosts]

    def place(self, host: Endpoint) -> int:
        place = self._places.get(id(host))
        if place is None:
            place = self._places[id(host)] = len(self._hosts)
            self._hosts.append(host)
        return place

    def rows(self) -> list[list[Any]]:
        listed = {id(host) for host in self.gateway.endpoints.values()}
        return [
            [
                list(dataclasses.astuple(host.entry)),
                _known(host),
                [getattr(host, name) for name in ENDPOINT_FIELDS],
                id(host) in listed,
            ]
            for host in self._hosts
        ]


def _known(known: HealthEstimate) -> list[float]:
    return [known.updated_at_us, known.slowness, known.failure_score]


def dump_account(account: Account) -> list[Any]:
    """One account as a row of ``Dump.accounts``."""
    values = [getattr(account, name) for name in ACCOUNT]
    values[ACCOUNT.index("replica_counts")] = [
        (rank, *count) for rank, count in account.replica_counts.items()
    ]
    return values


def _dump_attempt(attempt: Attempt, hosts: _Hosts) -> list[Any]:
    return [
        hosts.place(attempt.endpoint),
        attempt.sent_at_us,
        attempt.load,
        attempt.in_flight,
        attempt.possibly_executed,
    ]


def _dump_request(request: PendingRequest, hosts: _Hosts) -> list[Any]:
    account = _customer(request)
    attempts = [_dump_attempt(attempt, hosts) for attempt in request.attempts]
    return [pack_event(request.event), request.deadline_at_us, request.sampled_value, account, attempts]


# -- back


def restore(settings: policy.Settings, kept: Dump) -> Gateway:
    """A module that goes on where the dumped one stood. Raises FormatError."""
    if kept.format != FORMAT:
        raise FormatError(f"a state of format {kept.format}; this build reads {FORMAT}")
    try:
        return _Restorer(settings, kept).gateway()
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as wrong:
        raise FormatError(f"a state that can't be read: {type(wrong).__name__} {wrong}") from None


class _Restorer:
    def __init__(self, settings: policy.Settings, kept: Dump) -> None:
        self.kept = kept
        self.made = Gateway(settings, 0, int(kept.plain["now"]))
        self.hosts = [_host(row) for row in kept.hosts]

    def gateway(self) -> Gateway:
        made, kept = self.made, self.kept
        now = kept.plain["now"]
        plain = {"born": now, "last_sent": now, **kept.plain}  # older files have none
        for stored, name in PLAIN_NAMES.items():
            value = plain[stored]
            setattr(made, name, list(value) if isinstance(value, list | tuple) else value)
        version, numbers, gauss = kept.random
        made.random.setstate((version, tuple(numbers), gauss))
        made.accounts = {row[0]: load_account(row) for row in kept.accounts}
        for customer in (*kept.idle_queue, *kept.changed, *kept.closed):
            made.accounts[customer]  # one that is not there does not fit: the module would stumble over it
        made.idle_queue = deque(kept.idle_queue)
        made.pending_changes = dict.fromkeys(kept.changed)
        made.exhausted_customers = dict(zip(kept.closed, kept.told or [0] * len(kept.closed), strict=True))
        made.last_seen_at_us = dict(kept.heard)
        made.pending_deltas = {rank: dict(owed) for rank, owed in kept.owed}
        made.awaited_replies = deque(AwaitedReply(*row) for row in kept.asked)
        self._servers()
        self._requests()
        return made

    def _servers(self) -> None:
        made, kept = self.made, self.kept
        listed = [host for host, row in zip(self.hosts, kept.hosts, strict=True) if row[3]]
        made.endpoints = {host.entry.endpoint: host for host in listed}
        made.fleet_health = HealthEstimate(*kept.met)  # type: ignore[arg-type]
        made.zone_health = {
            zone: HealthEstimate(*known)  # type: ignore[arg-type]
            for zone, known in kept.zones_met
        }
        made.warm_pool, made.cold_pool = (self._pool(places) for places in kept.pools)
        made.cell_pools = {cell: self._pool(places) for cell, places in kept.cells}
        made.zone_pools = {zone: self._pool(places) for zone, places in kept.zones}
        made.warming_queue = deque(self.hosts[place] for place in kept.warming)

    def _pool(self, places: list[int]) -> EndpointPool:
        pool = EndpointPool()
        for place in places:
            pool.add(self.hosts[place])
        return pool

    def _requests(self) -> None:
        made = self.made
        for event_row, until, lot, customer, attempts in self.kept.requests:
            request = self._request(event_row, until, customer)
            request.sampled_value = lot
            number = request.event.request
            made.requests[number] = request
            for place, row in enumerate(attempts):
                attempt = self._attempt(row)
                request.attempts.append(attempt)
                if attempt.in_flight:
                    made.attempts[number, place] = attempt, request
        for number, place, *row, customer, event_row, until in self.kept.detached:
            request = self._request(event_row, until, customer)
            made.attempts[number, place] = self._attempt(row), request

    def _request(self, event_row: list[Any], until: int, customer: int) -> PendingRequest:
        event: Any = unpack_event(event_row)
        request = PendingRequest(event, self.made.settings.classes[event.request_class], until)
        request.account = self.made.accounts.get(customer) or _gone(customer, event, self.made)
        if customer == -1:
            request.account = None
        return request

    def _attempt(self, row: list[Any]) -> Attempt:
        return Attempt(self.hosts[row[0]], *row[1:])


def _gone(customer: int, event: Any, gateway: Gateway) -> Account:
    """An account that the module has dropped, for an attempt that still names it."""
    key = AccountKey(event.plan, event.replica_set_start, max(1, event.replica_set_size))
    account = Account(customer, key, 0.0, gateway.now)
    account.in_flight = 1
    return account


def _host(row: list[Any]) -> Endpoint:
    entry, known, fields, _ = row
    made = policy.EndpointEntry(bytes(entry[0]), policy.EndpointState(entry[1]), *entry[2:])
    host = Endpoint(*known, entry=made)
    for name, value in zip(ENDPOINT_FIELDS, fields, strict=True):
        setattr(host, name, value)
    return host


def load_account(row: list[Any]) -> Account:
    """The account of a row of ``Dump.accounts``."""
    values = dict(zip(ACCOUNT, row, strict=True))
    values["key"] = AccountKey(*values["key"])
    values["replica_counts"] = {
        rank: ReplicaCount(start, value) for rank, start, value in values["replica_counts"]
    }
    for name in ("recently_changed", "peer_admissions_at_us"):
        values[name] = tuple(values[name])
    return Account(**values)
