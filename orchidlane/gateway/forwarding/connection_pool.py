"""Pool of connections to endpoints: idle ones are reused, and their number is bounded."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import deque

from orchidlane import http1
from orchidlane.gateway.forwarding.connection_reuse import ReuseStatistics
from orchidlane.gateway.forwarding.protocol_adapter import GatewayLimits
from orchidlane.gateway.forwarding.response_history import UNKNOWN, ResponseHistory, hash_of
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
RESPONSE_HEAD_FACTOR = 2  # a response head may be this many times as long as a request head


class PoolExhaustedError(Exception):
    """The gateway's connections to all endpoints together are at their limit; the endpoint may be healthy."""


class EndpointConnection:
    """A connection to an endpoint with its parser.

    ``has_response_bytes`` is whether a byte of the response to the current request was received; ``idle_us``
    is how long the connection was idle before that request, None for a new connection. ``body_hash`` is
    that of the latest response, ``is_settled`` whether the next one must be genuine (``response_history``).
    """

    __slots__ = (
        "address",
        "body_hash",
        "has_response_bytes",
        "idle_since",
        "idle_us",
        "is_settled",
        "parser",
        "stream",
    )

    def __init__(self, stream: Stream, limits: http1.ParserLimits, address: Address) -> None:
        self.stream = stream
        self.parser = http1.ResponseParser(limits)
        self.address = address
        self.idle_since = 0
        self.has_response_bytes = False
        self.idle_us: int | None = None
        self.body_hash: int | None = UNKNOWN
        self.is_settled = True


class ConnectionPool:
    """Connections by endpoint; the most recently used idle connection is reused first."""

    def __init__(self, loop: EventLoop, limits: GatewayLimits, scope: TaskGroup) -> None:
        resource_limits = limits.resource_limits
        self.loop = loop
        self.timeouts = limits.timeouts
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
        self.reuse_statistics = ReuseStatistics(loop.now())
        self._responses = ResponseHistory()
        self._idle: dict[bytes, deque[EndpointConnection]] = {}
        self._open_by_endpoint: dict[bytes, int] = {}

    def acquire(
        self, endpoint: bytes, address: Address, is_non_idempotent: bool, deadline: int
    ) -> EndpointConnection:
        """Return a connection to the endpoint at its current address, idle or new.

        Raises ConnectionFailedError (also at the endpoint's connection limit), DeadlineExceededError, and
        PoolExhaustedError at the limit for all endpoints together. In each case no byte was sent.
        """
        connection = self._acquire_idle(endpoint, address, is_non_idempotent)
        if connection is not None:
            return connection
        if self._open_by_endpoint.get(endpoint, 0) >= self.max_per_endpoint:
            raise ConnectionFailedError("the endpoint has as many connections as the settings allow")
        if self.open_connections >= self.max_total and not self._retire_any_idle():
            raise PoolExhaustedError
        self._open_by_endpoint[endpoint] = self._open_by_endpoint.get(endpoint, 0) + 1
        self.open_connections += 1
        try:
            connect_deadline = min(deadline, self.loop.now() + self.timeouts.endpoint_connect_us)
            stream = self.loop.backend.connect(address, connect_deadline)
        except BaseException:
            self._count_closed(endpoint)
            raise
        return EndpointConnection(stream, self.parser_limits, address)

    def _acquire_idle(
        self, endpoint: bytes, address: Address, is_non_idempotent: bool
    ) -> EndpointConnection | None:
        timeouts = self.timeouts
        max_idle_us = timeouts.non_idempotent_idle_us if is_non_idempotent else timeouts.endpoint_idle_us
        idle = self._idle.get(endpoint)
        while idle and (index := self._latest_reusable(idle)) is not None:
            connection = idle[index]
            if is_non_idempotent and not self._may_reuse(connection, is_non_idempotent):
                return None  # idempotent requests may still use it
            del idle[index]
            if connection.address == address and self._is_fresh(connection, max_idle_us):
                connection.idle_us = self.loop.now() - connection.idle_since
                connection.is_settled = connection.idle_us >= timeouts.endpoint_settle_us
                return connection
            self.retire(endpoint, connection)
        return None

    def _latest_reusable(self, idle: deque[EndpointConnection]) -> int | None:
        """Return the index of the most recently idle connection that is settled, or may be reused before."""
        now, timeouts = self.loop.now(), self.timeouts
        if self._responses.are_distinct:
            index = _latest_before(idle, now - timeouts.endpoint_reuse_delay_us)
            if index is None or idle[index].body_hash is not UNKNOWN:
                return index
        return _latest_before(idle, now - timeouts.endpoint_settle_us)

    def accept_response(self, connection: EndpointConnection, body: bytes) -> bool:
        """Record the body of a complete response; return False if it may be a copy of the one before."""
        if not self.timeouts.endpoint_settle_us:
            return True
        previous, connection.body_hash = connection.body_hash, hash_of(body)
        return self._responses.accept(previous, connection.body_hash, connection.is_settled)

    def _may_reuse(self, connection: EndpointConnection, is_non_idempotent: bool) -> bool:
        now = self.loop.now()
        return self.reuse_statistics.may_reuse(now - connection.idle_since, is_non_idempotent, now)

    def _is_fresh(self, connection: EndpointConnection, max_idle_us: int) -> bool:
        """Return whether a connection was not idle for too long and was not closed by the endpoint."""
        if self.loop.now() - connection.idle_since > max_idle_us:
            return False
        if not self._may_reuse(connection, is_non_idempotent=False):
            return False
        try:
            return connection.stream.try_recv(1) is None
        except ConnectionClosedError:
            return False

    def _retire_any_idle(self) -> bool:
        """Close one idle connection of any endpoint; return False where none is idle."""
        for endpoint, idle in self._idle.items():
            if idle:
                self.retire(endpoint, idle.popleft())
                return True
        return False

    def release(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Put a connection back into the pool after a complete response."""
        connection.idle_since = self.loop.now()
        self._idle.setdefault(endpoint, deque()).append(connection)

    def release_unused(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Put a connection back into the pool to which nothing was written.

        Its idle time goes on: the endpoint measures it from the last request, or from the connection's start.
        """
        if connection.idle_us is None:
            self.release(endpoint, connection)
            return
        insort(self._idle.setdefault(endpoint, deque()), connection, key=_idle_since)

    def drop(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Close a connection at once that can't be reused.

        Where a request is in flight on it, this signals to the endpoint that the gateway gave it up.
        """
        connection.stream.close()
        self._count_closed(endpoint)

    def retire(self, endpoint: bytes, connection: EndpointConnection) -> None:
        """Close an idle connection with a lingering close."""
        self.lingering.close(connection.stream)
        self._count_closed(endpoint)

    def _count_closed(self, endpoint: bytes) -> None:
        self.open_connections -= 1
        self._open_by_endpoint[endpoint] -= 1
        if not self._open_by_endpoint[endpoint]:
            del self._open_by_endpoint[endpoint]
            self._idle.pop(endpoint, None)

    def run_sweeper(self) -> None:
        """Close connections that were idle for too long, indefinitely (a background task)."""
        while True:
            self.loop.sleep(SWEEP_INTERVAL_US)
            for endpoint in list(self._idle):
                idle = self._idle.get(endpoint)
                while idle and self.loop.now() - idle[0].idle_since > self.timeouts.endpoint_idle_us:
                    self.retire(endpoint, idle.popleft())

    def retire_idle(self, endpoint: bytes) -> None:
        """Close the idle connections of an endpoint that has left the endpoint list."""
        idle = self._idle.get(endpoint)
        while idle:
            self.retire(endpoint, idle.popleft())


def _latest_before(idle: deque[EndpointConnection], idle_since: int) -> int | None:
    """Return the index of the last connection that has been idle since then; they are in that order."""
    index = bisect_right(idle, idle_since, key=_idle_since) - 1
    return index if index >= 0 else None


def _idle_since(connection: EndpointConnection) -> int:
    return connection.idle_since
