"""Dumps the complete state of a policy as plain values, from which ``state_restore`` makes an equal policy.

Many objects of the policy share endpoints and accounts; here each is stored once, and the others refer to it:
to endpoints by their position in ``StateDump.endpoints``, to accounts by their customer. The order of pools,
queues and dictionaries is kept, since random choices and look-ups depend on it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from copy import copy
from typing import Any, NamedTuple

import msgspec

from orchidlane.policy.accounts import Account
from orchidlane.policy.endpoints import Endpoint, HealthEstimate
from orchidlane.policy.gateway import Gateway
from orchidlane.policy.state import Attempt, PendingRequest
from orchidlane.recording.codec import pack_event

FORMAT_VERSION = 1
NO_CUSTOMER = -1  # stands for the customer of a request that has no account yet
SCALAR_NAMES = {  # stored name -> attribute of the gateway
    "now": "now",
    "filled": "allowance_refilled_at_us",
    "born": "started_at_us",
    "last_sent": "last_attempt_at_us",
    "usual": "baseline_latency_us",
    "budget": "retry_budget",
    "unheard": "unreachable_share",
    "allowance": "message_allowance",
}
ENDPOINT_FIELDS = ("in_flight", "last_active_at_us", "baseline_load")
ACCOUNT_FIELDS = tuple(field.name for field in dataclasses.fields(Account))
_REPLICA_COUNTS_POSITION = ACCOUNT_FIELDS.index("replica_counts")


class StateDump(msgspec.Struct, frozen=True, array_like=True):
    """The state of one policy. Fields are stored by position: add new ones at the end, with a default."""

    format: int
    scalars: dict[str, Any]  # by the stored names in ``SCALAR_NAMES``
    random_state: list[Any]
    accounts: list[list[Any]]  # rows of ``account_to_row``
    idle_queue: list[int]
    pending_changes: list[int]
    last_seen: list[tuple[int, int]]  # replica, time in microseconds
    awaited_replies: list[tuple[int, int, int, int]]  # fields of ``AwaitedReply``
    endpoints: list[list[Any]]  # entry, health estimate, ``ENDPOINT_FIELDS``, whether listed
    fleet_health: list[float]
    zone_health: list[tuple[int, list[float]]]
    pools: list[list[int]]  # warm, cold
    cell_pools: list[tuple[int, list[int]]]
    zone_pools: list[tuple[int, list[int]]]
    slow_start_queue: list[int]
    requests: list[list[Any]]
    detached_attempts: list[list[Any]]  # attempts whose request is finished
    # For each token owner: its replica, then customers with the owner's index in their replica sets.
    pending_deltas: list[tuple[int, list[tuple[int, int]]]] = []
    exhausted_customers: list[int] = []
    # The number of messages that each exhausted customer was attached to; older files have an empty list.
    exhaustion_notices: list[int] = []


def dump_state(
    gateway: Gateway, customers: list[int] | None = None, include_accounts: bool = True
) -> StateDump:
    """Return the state of a policy; with ``customers`` only their accounts, and no pending requests.

    With ``include_accounts`` false the accounts are left out: a ``Snapshot`` yields them page by page.
    """
    endpoints = _EndpointTable(gateway)
    complete = customers is None
    accounts = gateway.accounts.values() if customers is None else _accounts_of(gateway, customers)
    selected = None if complete else {account.customer for account in accounts}
    requests = _dump_requests(gateway, endpoints) if complete else []
    detached_attempts = _dump_detached_attempts(gateway, endpoints) if complete else []
    pools = _dump_pools(gateway, endpoints)
    exhausted = _select(gateway.exhausted_customers, selected)
    return StateDump(
        format=FORMAT_VERSION,
        # Copied, since the policy continues to change the lists among these values.
        scalars={stored: copy(getattr(gateway, name)) for stored, name in SCALAR_NAMES.items()},
        random_state=_dump_random(gateway),
        accounts=[account_to_row(account) for account in accounts] if include_accounts else [],
        idle_queue=_select(gateway.idle_queue, selected),
        pending_changes=_select(gateway.pending_changes, selected),
        last_seen=list(gateway.last_seen_at_us.items()),
        awaited_replies=list(gateway.awaited_replies) if complete else [],
        endpoints=endpoints.rows(),  # complete now: all references are collected
        fleet_health=_dump_health(gateway.fleet_health),
        zone_health=[(zone, _dump_health(health)) for zone, health in gateway.zone_health.items()],
        pools=[pools.warm, pools.cold],
        cell_pools=pools.cells,
        zone_pools=pools.zones,
        slow_start_queue=pools.slow_start_queue,
        requests=requests,
        detached_attempts=detached_attempts,
        pending_deltas=_dump_pending_deltas(gateway) if complete else [],
        exhausted_customers=exhausted,
        exhaustion_notices=[gateway.exhausted_customers[customer] for customer in exhausted],
    )


def account_to_row(account: Account) -> list[Any]:
    """Return one account as a row of ``StateDump.accounts``."""
    values = [getattr(account, name) for name in ACCOUNT_FIELDS]
    values[_REPLICA_COUNTS_POSITION] = [
        (replica, *count) for replica, count in account.replica_counts.items()
    ]
    return values


class _EndpointTable:
    """The endpoints that the policy's objects refer to, each once."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._positions: dict[int, int] = {}
        self._endpoints: list[Endpoint] = []
        self.positions(gateway.endpoints.values())

    def positions(self, endpoints: Iterable[Endpoint]) -> list[int]:
        """Return the positions of endpoints; new ones are added."""
        return [self.position(endpoint) for endpoint in endpoints]

    def position(self, endpoint: Endpoint) -> int:
        """Return the position of an endpoint; a new one is added."""
        position = self._positions.get(id(endpoint))
        if position is None:
            position = self._positions[id(endpoint)] = len(self._endpoints)
            self._endpoints.append(endpoint)
        return position

    def rows(self) -> list[list[Any]]:
        """Return all endpoints as rows of ``StateDump.endpoints``."""
        listed = {id(endpoint) for endpoint in self.gateway.endpoints.values()}
        return [
            [
                list(dataclasses.astuple(endpoint.entry)),
                _dump_health(endpoint),
                [getattr(endpoint, name) for name in ENDPOINT_FIELDS],
                id(endpoint) in listed,
            ]
            for endpoint in self._endpoints
        ]


class _Pools(NamedTuple):
    """The pools of a policy, as positions in ``StateDump.endpoints``."""

    warm: list[int]
    cold: list[int]
    cells: list[tuple[int, list[int]]]
    zones: list[tuple[int, list[int]]]
    slow_start_queue: list[int]


def _dump_pools(gateway: Gateway, endpoints: _EndpointTable) -> _Pools:
    return _Pools(
        warm=endpoints.positions(gateway.warm_pool.endpoints),
        cold=endpoints.positions(gateway.slow_start_pool.endpoints),
        cells=[(cell, endpoints.positions(pool.endpoints)) for cell, pool in gateway.cell_pools.items()],
        zones=[(zone, endpoints.positions(pool.endpoints)) for zone, pool in gateway.zone_pools.items()],
        slow_start_queue=endpoints.positions(gateway.slow_start_queue),
    )


def _accounts_of(gateway: Gateway, customers: list[int]) -> list[Account]:
    return [gateway.accounts[customer] for customer in customers if customer in gateway.accounts]


def _select(customers: Iterable[int], selected: set[int] | None) -> list[int]:
    """Return the customers that are selected, in their order; all of them where ``selected`` is None."""
    if selected is None:
        return list(customers)
    return [customer for customer in customers if customer in selected]


def _dump_random(gateway: Gateway) -> list[Any]:
    version, numbers, gauss = gateway.random.getstate()
    return [version, list(numbers), gauss]


def _dump_health(health: HealthEstimate) -> list[float]:
    return [health.updated_at_us, health.slowness, health.failure_score]


def _dump_pending_deltas(gateway: Gateway) -> list[tuple[int, list[tuple[int, int]]]]:
    return [(replica, list(deltas.items())) for replica, deltas in gateway.pending_deltas.items()]


def _dump_requests(gateway: Gateway, endpoints: _EndpointTable) -> list[list[Any]]:
    return [_dump_request(request, endpoints) for request in gateway.requests.values()]


def _dump_request(request: PendingRequest, endpoints: _EndpointTable) -> list[Any]:
    return [
        pack_event(request.event),
        request.deadline_at_us,
        request.sampled_value,
        _customer(request),
        [_dump_attempt(attempt, endpoints) for attempt in request.attempts],
    ]


def _dump_detached_attempts(gateway: Gateway, endpoints: _EndpointTable) -> list[list[Any]]:
    attached = {id(attempt) for request in gateway.requests.values() for attempt in request.attempts}
    return [
        [
            *key,
            *_dump_attempt(attempt, endpoints),
            _customer(request),
            pack_event(request.event),
            request.deadline_at_us,
        ]
        for key, (attempt, request) in gateway.attempts.items()
        if id(attempt) not in attached
    ]


def _dump_attempt(attempt: Attempt, endpoints: _EndpointTable) -> list[Any]:
    return [
        endpoints.position(attempt.endpoint),
        attempt.sent_at_us,
        attempt.load,
        attempt.in_flight,
        attempt.possibly_executed,
    ]


def _customer(request: PendingRequest) -> int:
    return request.account.customer if request.account is not None else NO_CUSTOMER
