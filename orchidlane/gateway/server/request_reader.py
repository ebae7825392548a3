"""Reads requests of HTTP clients: heads and bodies, each within its time."""

from __future__ import annotations

from typing import Protocol

from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.protocol_adapter import Timeouts
from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.gateway.server.client_connection import ClientConnection, ConnectionObserver, receive_observed
from orchidlane.http1 import Data, End, ProtocolError, Request
from orchidlane.runtime import ConnectionClosedError, DeadlineExceededError, EventLoop


class ReaderState(Protocol):
    """What a reader needs to know of its server."""

    loop: EventLoop
    timeouts: Timeouts
    draining: bool
    shutdown_deadline: int | None
    observer: ConnectionObserver | None
    new_connections: dict[ClientConnection, None]
    idle_connections: dict[ClientConnection, None]


class RequestReader:
    """Feeds a connection's parser and waits for what a request is made of."""

    def __init__(self, server: ReaderState) -> None:
        self._server = server

    def read_head(self, connection: ClientConnection) -> Request | None:
        """Return the next head, None where the client left or stayed silent between requests.

        Raises ProtocolError for a head that is cut or takes too long.
        """
        server, parser = self._server, connection.parser
        is_known = connection.has_sent_request
        connection.idle_since_us = server.loop.now()
        resting = server.idle_connections if is_known else server.new_connections
        resting[connection] = None
        try:
            if not parser.pending_bytes and not self._wait_for_request(connection):
                return None
        except DeadlineExceededError:
            return None
        finally:
            server.idle_connections.pop(connection, None)
        deadline = self._head_deadline(connection)
        while (event := parser.next_event()) is None:
            try:
                if not self._receive(connection, deadline - server.loop.now()):
                    parser.next_event()  # raises ProtocolError for a head that was cut
                    return None
            except DeadlineExceededError:
                raise ProtocolError(408, "the head took too long") from None
        assert isinstance(event, Request)
        return event

    def _wait_for_request(self, connection: ClientConnection) -> bool:
        server = self._server
        if server.draining and not connection.stream.has_input():
            return False
        timeout = (
            server.timeouts.client_idle_us
            if connection.has_sent_request
            else server.timeouts.first_request_us
        )
        return self.wait_for_first_bytes(connection, timeout)

    def wait_for_first_bytes(self, connection: ClientConnection, timeout: int) -> bool:
        """Wait for a request to begin; return False where the client left or stayed silent."""
        try:
            return self._receive(connection, timeout)
        except DeadlineExceededError:
            if not connection.stream.has_input():
                return False
            # This process itself stood still: what arrived in the meantime is served.
            return self._receive(connection, self._server.timeouts.request_head_us)

    def _head_deadline(self, connection: ClientConnection) -> int:
        """Return when a request that has begun to arrive must be complete."""
        times = self._server.timeouts
        deadline = connection.unread_since_us + times.request_head_us
        if connection.has_sent_request:
            return deadline
        return min(connection.opened_at_us + times.first_request_us, deadline)

    def _receive(self, connection: ClientConnection, timeout: int) -> bool:
        """Feed the parser once; return False at the end of input. Raises DeadlineExceededError."""
        server = self._server
        deadline = server.loop.now() + timeout
        if server.observer is None or not connection.is_between_requests:
            data = connection.stream.recv(deadline=deadline)
        else:
            data = receive_observed(connection.stream, server.observer, connection.number, deadline)
        self.received(connection, data)
        if server.observer is not None and connection.is_between_requests:
            server.observer.connection_idle(connection.number, connection.parser.unread)
        return bool(data)

    def received(self, connection: ClientConnection, data: bytes) -> None:
        """Give bytes that were read to the parser, and note when they arrived."""
        connection.last_received_at_us = self._server.loop.now()
        if not connection.parser.pending_bytes:
            connection.unread_since_us = connection.last_received_at_us
        connection.parser.receive(data)

    def read_complete(self, connection: ClientConnection, exchange: PendingRequest) -> None:
        """Read a request to its end, where it begins with its last byte: the policy knows of none before.

        Raises ConnectionClosedError where the client left, ProtocolError where the body takes too long.
        """
        server = self._server
        deadline = self._head_deadline(connection)
        body = exchange.body
        self.transfer(connection, body)
        while not body.is_complete:
            try:
                if not self._receive(connection, deadline - server.loop.now()):
                    raise ConnectionClosedError("the client left")
            except DeadlineExceededError:
                raise ProtocolError(408, "the body took too long") from None
            self.transfer(connection, body)
        exchange.arrived = connection.last_received_at_us
        exchange.deadline = exchange.arrived + exchange.call.timeout_us - server.timeouts.response_margin_us
        if server.shutdown_deadline is not None:
            exchange.deadline = min(exchange.deadline, server.shutdown_deadline)

    def transfer(self, connection: ClientConnection, body: RequestBody) -> None:
        """Move what was parsed of a body from the parser to the body."""
        while not body.is_complete or body.length == 0:
            event = connection.parser.next_event()
            if event is None:
                return
            if isinstance(event, End):
                body.end(event.trailers)
                return
            assert isinstance(event, Data)
            body.add(event.data)
