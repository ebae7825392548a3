"""Restores a policy from a ``StateDump``; it decides exactly as the dumped policy would.

Files and peers' messages are not trusted: invalid content raises FormatError, and a policy is never restored
in part.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from orchidlane import policy
from orchidlane.policy.accounts import Account, AccountKey, ReplicaCount
from orchidlane.policy.endpoints import Endpoint, EndpointPool, HealthEstimate
from orchidlane.policy.gateway import Gateway
from orchidlane.policy.state import Attempt, AwaitedReply, PendingRequest
from orchidlane.recording.codec import unpack_event
from orchidlane.recording.errors import FormatError
from orchidlane.recording.state_dump import (
    ACCOUNT_FIELDS,
    ENDPOINT_FIELDS,
    FORMAT_VERSION,
    NO_CUSTOMER,
    SCALAR_NAMES,
    StateDump,
)


def restore_gateway(settings: policy.Settings, state: StateDump) -> Gateway:
    """Return a policy that continues from the dumped state. Raises FormatError."""
    if state.format != FORMAT_VERSION:
        raise FormatError(
            f"the state has format {state.format}; this build reads only format {FORMAT_VERSION}"
        )
    try:
        return _Restorer(settings, state).restore()
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        raise FormatError(f"the state can't be restored: {type(error).__name__} {error}") from None


def account_from_row(row: list[Any]) -> Account:
    """Return the account in a row of ``StateDump.accounts``. Raises ValueError, TypeError."""
    values = dict(zip(ACCOUNT_FIELDS, row, strict=True))
    values["key"] = AccountKey(*values["key"])
    values["replica_counts"] = {
        replica: ReplicaCount(start, value) for replica, start, value in values["replica_counts"]
    }
    for name in ("recently_changed", "peer_admissions_at_us"):
        values[name] = tuple(values[name])
    return Account(**values)


def listed_endpoints(state: StateDump) -> list[Endpoint]:
    """Return the endpoints of a state that discovery lists. Raises ValueError, TypeError."""
    return [_endpoint_from_row(row) for row in state.endpoints if row[3]]


class _Restorer:
    """Fills a new policy with the values of one dump."""

    def __init__(self, settings: policy.Settings, state: StateDump) -> None:
        self._state = state
        self._gateway = Gateway(settings, 0, int(state.scalars["now"]))
        self._endpoints = [_endpoint_from_row(row) for row in state.endpoints]

    def restore(self) -> Gateway:
        """Return the restored policy."""
        self._restore_scalars()
        self._restore_accounts()
        self._restore_gossip()
        self._restore_endpoints()
        self._restore_requests()
        self._restore_detached_attempts()
        return self._gateway

    def _restore_scalars(self) -> None:
        now = self._state.scalars["now"]
        scalars = {"born": now, "last_sent": now, **self._state.scalars}  # older files lack these two
        for stored, name in SCALAR_NAMES.items():
            value = scalars[stored]
            setattr(self._gateway, name, list(value) if isinstance(value, list | tuple) else value)
        version, numbers, gauss = self._state.random_state
        self._gateway.random.setstate((version, tuple(numbers), gauss))

    def _restore_accounts(self) -> None:
        gateway, state = self._gateway, self._state
        gateway.accounts = {row[0]: account_from_row(row) for row in state.accounts}
        for customer in (*state.idle_queue, *state.pending_changes, *state.exhausted_customers):
            if customer not in gateway.accounts:  # the policy would fail later
                raise KeyError(customer)
        gateway.idle_queue = deque(state.idle_queue)
        gateway.pending_changes = dict.fromkeys(state.pending_changes)
        notices = state.exhaustion_notices or [0] * len(state.exhausted_customers)
        gateway.exhausted_customers = dict(zip(state.exhausted_customers, notices, strict=True))

    def _restore_gossip(self) -> None:
        gateway, state = self._gateway, self._state
        gateway.last_seen_at_us = dict(state.last_seen)
        gateway.pending_deltas = {replica: dict(deltas) for replica, deltas in state.pending_deltas}
        gateway.awaited_replies = deque(AwaitedReply(*row) for row in state.awaited_replies)

    def _restore_endpoints(self) -> None:
        gateway, state = self._gateway, self._state
        listed = [endpoint for endpoint, row in zip(self._endpoints, state.endpoints, strict=True) if row[3]]
        gateway.endpoints = {endpoint.entry.endpoint: endpoint for endpoint in listed}
        gateway.fleet_health = _health_from_row(state.fleet_health)
        gateway.zone_health = {zone: _health_from_row(row) for zone, row in state.zone_health}
        warm, cold = state.pools
        gateway.warm_pool = self._pool(warm)
        gateway.slow_start_pool = self._pool(cold)
        gateway.cell_pools = {cell: self._pool(positions) for cell, positions in state.cell_pools}
        gateway.zone_pools = {zone: self._pool(positions) for zone, positions in state.zone_pools}
        gateway.slow_start_queue = deque(self._endpoints[position] for position in state.slow_start_queue)

    def _pool(self, positions: list[int]) -> EndpointPool:
        pool = EndpointPool()
        for position in positions:
            pool.add(self._endpoints[position])
        return pool

    def _restore_requests(self) -> None:
        gateway = self._gateway
        for event_row, deadline_at_us, sampled_value, customer, attempt_rows in self._state.requests:
            request = self._request(event_row, deadline_at_us, customer)
            request.sampled_value = sampled_value
            number = request.event.request
            gateway.requests[number] = request
            for position, row in enumerate(attempt_rows):
                attempt = self._attempt(row)
                request.attempts.append(attempt)
                if attempt.in_flight:
                    gateway.attempts[number, position] = attempt, request

    def _restore_detached_attempts(self) -> None:
        for row in self._state.detached_attempts:
            number, position, *attempt_row, customer, event_row, deadline_at_us = row
            request = self._request(event_row, deadline_at_us, customer)
            self._gateway.attempts[number, position] = self._attempt(attempt_row), request

    def _request(self, event_row: list[Any], deadline_at_us: int, customer: int) -> PendingRequest:
        event: Any = unpack_event(event_row)
        request_class = self._gateway.settings.classes[event.request_class]
        request = PendingRequest(event, request_class, deadline_at_us)
        if customer != NO_CUSTOMER:
            account = self._gateway.accounts.get(customer)
            request.account = account or _dropped_account(customer, event, self._gateway.now)
        return request

    def _attempt(self, row: list[Any]) -> Attempt:
        return Attempt(self._endpoints[row[0]], *row[1:])


def _dropped_account(customer: int, event: Any, now_us: int) -> Account:
    """Return a replacement for an account that the policy dropped while an attempt still refers to it."""
    key = AccountKey(event.plan, event.replica_set_start, max(1, event.replica_set_size))
    account = Account(customer, key, 0.0, now_us)
    account.in_flight = 1
    return account


def _health_from_row(row: list[float]) -> HealthEstimate:
    return HealthEstimate(*row)  # type: ignore[arg-type]


def _endpoint_from_row(row: list[Any]) -> Endpoint:
    entry_row, health, fields, _ = row
    entry = policy.EndpointEntry(bytes(entry_row[0]), policy.EndpointState(entry_row[1]), *entry_row[2:])
    endpoint = Endpoint(*health, entry=entry)
    for name, value in zip(ENDPOINT_FIELDS, fields, strict=True):
        setattr(endpoint, name, value)
    return endpoint
