"""Reads requests of HTTP clients: heads and bodies, each within its timeout."""

from __future__ import annotations

from typing import Protocol

from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.protocol_adapter import Timeouts
from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.gateway.server.client_connection import (
    MAX_RECEIVE_BYTES,
    ClientConnection,
    ConnectionObserver,
    receive_observed,
)
from orchidlane.gateway.server.waiting_connections import WaitingConnections
from orchidlane.http1 import Data, End, ProtocolError, Request
from orchidlane.runtime import BACKGROUND, ConnectionClosedError, DeadlineExceededError, EventLoop

REQUEST_TIMEOUT = 408  # status (RFC 9110 section 15.5.9)
BODY_TOOK_TOO_LONG = "the body took too long"


class ReaderState(Protocol):
    """The attributes of its server that a reader uses."""

    loop: EventLoop
    timeouts: Timeouts
    draining: bool
    shutdown_deadline: int | None
    observer: ConnectionObserver | None
    waiting_connections: WaitingConnections


class RequestReader:
    """Feeds a connection's parser and waits for the heads and bodies of its requests."""

    def __init__(self, server: ReaderState) -> None:
        self._server = server

    def read_head(self, connection: ClientConnection) -> Request | None:
        """Return the next head, or None if the client closes or sends nothing before the timeout.

        Raises ProtocolError for a head that is invalid, truncated or takes too long.
        """
        server, parser = self._server, connection.parser
        server.waiting_connections.await_request(connection, server.loop.now())
        try:
            if not parser.pending_bytes and not self._wait_for_request(connection):
                return None
        except DeadlineExceededError:
            return None
        finally:
            server.waiting_connections.idle.pop(connection, None)
        deadline = self._head_deadline(connection)
        while (event := parser.next_event()) is None:
            try:
                if not self._receive(connection, deadline - server.loop.now()):
                    parser.next_event()  # raises ProtocolError for a truncated head
                    return None
            except DeadlineExceededError:
                raise ProtocolError(REQUEST_TIMEOUT, "the head took too long") from None
        assert isinstance(event, Request)
        return event

    def _wait_for_request(self, connection: ClientConnection) -> bool:
        server = self._server
        if server.draining and not connection.stream.has_input():
            return False
        timeout_us = (
            server.timeouts.client_idle_us
            if connection.has_sent_request
            else server.timeouts.first_request_us
        )
        return self.wait_for_first_bytes(connection, timeout_us)

    def wait_for_first_bytes(self, connection: ClientConnection, timeout_us: int) -> bool:
        """Wait for the first bytes of a request; return False if the client closes or sends none in time."""
        try:
            return self._receive(connection, timeout_us)
        except DeadlineExceededError:
            if not connection.stream.has_input():
                return False
            # This process was stalled past the timeout; a request that arrived in the meantime is served.
            return self._receive(connection, self._server.timeouts.request_head_us)

    def _head_deadline(self, connection: ClientConnection) -> int:
        """Return when the head, or in ``read_complete`` the whole request, must have arrived."""
        timeouts = self._server.timeouts
        deadline = connection.unread_since_us + timeouts.request_head_us
        if connection.has_sent_request:
            return deadline
        return min(connection.opened_at_us + timeouts.first_request_us, deadline)

    def _receive(self, connection: ClientConnection, timeout_us: int) -> bool:
        """Receive once into the parser; return False at the end of input. Raises DeadlineExceededError."""
        server = self._server
        deadline = server.loop.now() + timeout_us
        if server.observer is None or not connection.is_between_requests:
            data = connection.stream.recv(MAX_RECEIVE_BYTES, deadline)
        else:
            data = receive_observed(connection.stream, server.observer, connection.number, deadline)
        self.feed_parser(connection, data)
        if server.observer is not None and connection.is_between_requests:
            server.observer.connection_idle(connection.number, connection.parser.unread)
        return bool(data)

    def feed_parser(self, connection: ClientConnection, data: bytes) -> None:
        """Feed received bytes to the parser and record when they arrived."""
        connection.last_received_at_us = self._server.loop.now()
        if not connection.parser.pending_bytes:
            connection.unread_since_us = connection.last_received_at_us
        connection.parser.receive(data)

    def read_complete(self, connection: ClientConnection, request: PendingRequest) -> None:
        """Read a request's whole body before the policy is notified; the request arrives with its last byte.

        Raises ConnectionClosedError if the client closes, ProtocolError if the body is invalid or takes too
        long.
        """
        server = self._server
        deadline = self._head_deadline(connection)
        body = request.body
        try:
            self.transfer(connection, body, deadline)
            while not body.is_complete:
                if not self._receive(connection, deadline - server.loop.now()):
                    raise ConnectionClosedError("the client closed the connection")
                self.transfer(connection, body, deadline)
        except DeadlineExceededError:
            raise ProtocolError(REQUEST_TIMEOUT, BODY_TOOK_TOO_LONG) from None
        request.arrived = connection.last_received_at_us
        request.deadline = request.arrived + request.call.timeout_us - server.timeouts.response_margin_us
        if server.shutdown_deadline is not None:
            request.deadline = min(request.deadline, server.shutdown_deadline)

    def transfer(self, connection: ClientConnection, body: RequestBody, deadline: int | None = None) -> None:
        """Move the data that the parser has of a body to ``body``; if it is much, others run meanwhile.

        Raises ProtocolError, and DeadlineExceededError if the deadline passes while others run.
        """
        while not body.is_complete or body.length == 0:
            event = connection.parser.next_event()
            if event is None:
                return
            if isinstance(event, End):
                body.end(event.trailers)
                return
            assert isinstance(event, Data)
            body.add(event.data)
            self._server.loop.yield_if_due(BACKGROUND, deadline)
