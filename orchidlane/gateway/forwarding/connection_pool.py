"""Connections to the endpoints: idle ones are reused, and all are bounded."""

from __future__ import annotations

from bisect import insort
from collections import deque

from orchidlane import http1
from orchidlane.gateway.forwarding.connection_reuse import ReuseStatistics
from orchidlane.gateway.forwarding.protocol_adapter import GatewayLimits
from orchidlane.runtime import (
    Address,
    ConnectionClosedError,
    ConnectionFailedError,
    EventLoop,
    LingeringConnections,
    Stream,
    TaskGroup,
)

SWEEP_INTERVAL_US = 1_000_000
RESPONSE_HEAD_FACTOR = 2  # a response's head may be so many times as long as a request's


class PoolExhaustedError(Exception):
    """All connections that the gateway may have are in use; this says nothing about the endpoint."""


class EndpointConnection:
    """A connection to an endpoint with its parser.

    ``has_response_bytes`` is whether a byte of a response to the current request came; ``idle_us`` is how
    long the connection was idle before that request, None for a new one.
    """

    __slots__ = ("address", "has_response_bytes", "idle_since", "idle_us", "parser", "stream")

    def __init__(self, stream: Stream, limits: http1.ParserLimits, address: Address) -> None:
        self.stream = stream
        self.parser = http1.ResponseParser(limits)
        self.address = address
        self.idle_since = 0
        self.has_response_bytes = False
        self.idle_us: int | None = None


class ConnectionPool:
    """Connections by endpoint; the one that became idle last is reused first."""

    def __init__(self, loop: EventLoop, limits: GatewayLimits, scope: TaskGroup) -> None:
        resource_limits = limits.resource_limits
        self.loop = loop
        self.times = limits.timeouts
        self.lingering = LingeringConnections(
            loop, scope, limits.timeouts.linger_us, resource_limits.max_lingering_connections
        )
        self.max_per_endpoint = resource_limits.max_connections_per_endpoint
        self.max_total = resource_limits.max_endpoint_connections
        self.parser_limits = http1.ParserLimits(
            max_head_bytes=resource_limits.max_request_head_bytes * RESPONSE_HEAD_FACTOR,
            max_header_lines=resource_limits.max_request_headers,
        )
        self.open_connections = 0
        self.reuse = ReuseStatistics(loop.now())
        self._idle: dict[bytes, deque[EndpointConnection]] = {}
        self._count: dict[bytes, int] = {}

    def acquire(
        self, endpoint: bytes, address: Address, is_non_idempotent: bool, deadline: int
    ) -> EndpointConnection:
        """Return a connection to the endpoint at its current address, idle or new.

        Raises ConnectionFailedError (also beyond the endpoint's bound), DeadlineExceededError, and
        PoolExhaustedError beyond the bound of all; then no byte has left.
        """
        connection = self._acquire_idle(endpoint, address, is_non_idempotent)
        if connection is not None:
            return connection
        if self._count.get(endpoint, 0) >= self.max_per_endpoint:
            raise ConnectionFailedError("as many connections as the settings allow")
        if self.open_connections >= self.max_total and not self._retire_one():
            raise PoolExhaustedError
        self._count[endpoint] = self._count.get(endpoint, 0) + 1
        self.open_connections += 1
        try:
            connect_deadline = min(deadline, self.loop.now() + self.times.endpoint_connect_us)
            stream = self.loop.backend.connect(address, connect_deadline)
        except BaseException:
            self._uncount(endpoint)
            raise
        return EndpointConnection(stream, self.parser_limits, address)

    def _acquire_idle(
        self, endpoint: bytes, address: Address, is_non_idempotent: bool
    ) -> EndpointConnection | None:
        times = self.times
        max_idle_us = times.non_idempotent_idle_us if is_non_idempotent else times.endpoint_idle_us
        idle = self._idle.get(endpoint)
        while idle and (index := self._latest_reusable(idle)) is not None:
            connection = idle[index]
            if is_non_idempotent and not self._may_reuse(connection, is_non_idempotent):
                return None  # others may still use it
            del idle[index]
            if connection.address == address and self._is_fresh(connection, max_idle_us):
                connection.idle_us = self.loop.now() - connection.idle_since
                return connection
            self.retire(endpoint, connection)
        return None

    def _latest_reusable(self, idle: deque[EndpointConnection]) -> int | None:
        """Return the index of the connection that became idle last, but not just now.

        A second response that comes a little late would be taken for the next request's.
        """
        latest = self.loop.now() - self.times.endpoint_reuse_delay_us
        return next((at for at in range(len(idle) - 1, -1, -1) if idle[at].idle_since <= latest), None)

    def _may_reuse(self, connection: EndpointConnection, is_non_idempotent: bool) -> bool:
        now = self.loop.now()
        return self.reuse.may_reuse(now - connection.idle_since, is_non_idempotent, now)

    def _is_fresh(self, connection: EndpointConnection, max_idle_us: int) -> bool:
        """Return whether the endpoint has not closed the connection so far."""
        if self.loop.now() - connection.idle_since > max_idle_us:
            return False
        if not self._may_reuse(connection, is_non_idempotent=False):
            return False
        try:
            return connection.stream.try_recv(1) is None
        except ConnectionClosedError:
            return False

    def _retire_one(self) -> bool:
        """Close an idle connection of any endpoint; return False where none is idle."""
        for endpoint, idle in self._idle.items():
            if idle:
                self.retire(endpoint, idle.popleft())
                return True
        return False

    def release(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Return a connection that is idle after a complete response."""
        connection.idle_since = self.loop.now()
        self._idle.setdefault(endpoint, deque()).append(connection)

    def release_unused(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Return a connection to which nothing was written.

        It keeps its age: the endpoint counts from the last request, or from the connection's begin.
        """
        if connection.idle_us is None:
            self.release(endpoint, connection)
            return
        insort(self._idle.setdefault(endpoint, deque()), connection, key=_idle_since)

    def drop(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Close a connection at once, with a request in flight or out of step: this says that we gave up."""
        connection.stream.close()
        self._uncount(endpoint)

    def retire(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Close an idle connection in order."""
        self.lingering.close(connection.stream)
        self._uncount(endpoint)

    def _uncount(self, endpoint: bytes) -> None:
        self.open_connections -= 1
        self._count[endpoint] -= 1
        if not self._count[endpoint]:
            del self._count[endpoint]
            self._idle.pop(endpoint, None)

    def run_sweeper(self) -> None:
        """Close connections that were idle for long, for ever: background work."""
        while True:
            self.loop.sleep(SWEEP_INTERVAL_US)
            for endpoint in list(self._idle):
                idle = self._idle.get(endpoint)
                while idle and self.loop.now() - idle[0].idle_since > self.times.endpoint_idle_us:
                    self.retire(endpoint, idle.popleft())

    def retire_idle(self, endpoint: bytes) -> None:
        """Close the idle connections of an endpoint that is gone."""
        idle = self._idle.get(endpoint)
        while idle:
            self.retire(endpoint, idle.popleft())


def _idle_since(connection: EndpointConnection) -> int:
    return connection.idle_since
