"""Endpoint registry: applies endpoint lists from discovery to the pools of endpoints."""

from __future__ import annotations

from dataclasses import replace

from orchidlane.policy.endpoints import Endpoint, EndpointPool, HealthEstimate
from orchidlane.policy.events import (
    EndpointEntry,
    EndpointId,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
)
from orchidlane.policy.settings import DeduplicationScope
from orchidlane.policy.state import PolicyState


def endpoint_list_received(state: PolicyState, event: EndpointListReceived) -> None:
    """Update the endpoints from a list; new and restarted ones enter slow start."""
    if event.kind is EndpointListKind.FAILED:
        return
    if event.kind is not EndpointListKind.DELTA:
        _remove_unlisted(state, {entry.endpoint for entry in event.entries})
    newly_ready = [endpoint for entry in event.entries if (endpoint := _apply_entry(state, entry))]
    for endpoint in newly_ready:
        pool = state.warm_pool if is_warm(state, endpoint) else state.slow_start_pool
        pool.add(endpoint)
        state.slow_start_queue.append(endpoint)


def is_warm(state: PolicyState, endpoint: Endpoint) -> bool:
    """Return whether an endpoint's slow start is over; a start time of 0 means no slow start."""
    started_at_us = endpoint.entry.started_at_us
    return not started_at_us or state.now - started_at_us >= state.settings.slow_start_duration_us


def promote_warmed_up(state: PolicyState) -> None:
    """Move endpoints that have completed slow start to the warm pool, if they are still ready."""
    while state.slow_start_queue and is_warm(state, state.slow_start_queue[0]):
        endpoint = state.slow_start_queue.popleft()
        endpoint_id = endpoint.entry.endpoint
        if state.endpoints.get(endpoint_id) is endpoint and endpoint.entry.state is EndpointState.READY:
            state.slow_start_pool.remove(endpoint_id)
            state.warm_pool.add(endpoint)


def endpoints_sharing(state: PolicyState, endpoint: Endpoint, scope: DeduplicationScope) -> list[Endpoint]:
    """Return the endpoints that deduplicate requests together with this one.

    Scopes zone and cell include endpoints in slow start; scope all gives the warm pool.
    """
    if scope is DeduplicationScope.ALL:
        return state.warm_pool.endpoints
    pools = state.cell_pools if scope is DeduplicationScope.CELL else state.zone_pools
    pool = pools.get(endpoint.deduplication_key(scope))
    return pool.endpoints if pool else []


def _remove_unlisted(state: PolicyState, listed: set[EndpointId]) -> None:
    for endpoint_id in [known_id for known_id in state.endpoints if known_id not in listed]:
        endpoint = state.endpoints[endpoint_id]
        _forget(state, endpoint, replace(endpoint.entry, state=EndpointState.GONE))


def _apply_entry(state: PolicyState, entry: EndpointEntry) -> Endpoint | None:
    """Apply one entry; return the endpoint if it has become ready or has restarted, else None."""
    endpoint = state.endpoints.get(entry.endpoint)
    is_new = endpoint is None or entry.started_at_us > endpoint.entry.started_at_us
    was_ready = endpoint is not None and endpoint.entry.state is EndpointState.READY
    if endpoint is not None and (is_new or entry.state is not EndpointState.READY):
        _remove_from_pools(state, endpoint)
    if entry.state is EndpointState.GONE:
        if endpoint is not None:
            _forget(state, endpoint, entry)
        return None
    if endpoint is None or is_new:
        endpoint = state.endpoints[entry.endpoint] = Endpoint(state.now, entry=entry)
    endpoint.entry = entry
    state.zone_health.setdefault(entry.zone, HealthEstimate(0))
    if entry.state is not EndpointState.READY or (was_ready and not is_new):
        return None
    state.cell_pools.setdefault(entry.cell, EndpointPool()).add(endpoint)
    state.zone_pools.setdefault(entry.zone, EndpointPool()).add(endpoint)
    return endpoint


def _forget(state: PolicyState, endpoint: Endpoint, entry: EndpointEntry) -> None:
    """Remove an endpoint, to free its memory; its attempts in flight still refer to it."""
    _remove_from_pools(state, endpoint)
    endpoint.entry = entry
    del state.endpoints[entry.endpoint]


def _remove_from_pools(state: PolicyState, endpoint: Endpoint) -> None:
    entry = endpoint.entry
    state.warm_pool.remove(entry.endpoint)
    state.slow_start_pool.remove(entry.endpoint)
    _remove_from_group(state.cell_pools, entry.cell, entry.endpoint)
    _remove_from_group(state.zone_pools, entry.zone, entry.endpoint)


def _remove_from_group(pools: dict[int, EndpointPool], group: int, endpoint_id: EndpointId) -> None:
    if group not in pools:
        return
    pools[group].remove(endpoint_id)
    if not pools[group].endpoints:
        del pools[group]
