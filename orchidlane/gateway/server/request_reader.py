"""Reads requests of HTTP clients: heads and bodies, each within its time."""

from __future__ import annotations

from typing import Protocol

from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.protocol_adapter import Timeouts
from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.gateway.server.client_connection import Connection, Watcher, recv_watched
from orchidlane.http1 import Data, End, ProtocolError, Request
from orchidlane.runtime import ConnectionClosedError, DeadlineExceededError, EventLoop


class ReaderState(Protocol):
    """What a reader needs to know of its server."""

    loop: EventLoop
    times: Timeouts
    draining: bool
    last: int | None
    watcher: Watcher | None
    newcomers: dict[Connection, None]
    idle: dict[Connection, None]


class RequestReader:
    """Feeds a connection's parser and waits for what a request is made of."""

    def __init__(self, server: ReaderState) -> None:
        self._server = server

    def read_head(self, connection: Connection) -> Request | None:
        """Return the next head, None where the client left or stayed silent between requests.

        Raises ProtocolError for a head that is cut or takes too long.
        """
        server, parser = self._server, connection.parser
        is_known = connection.known
        connection.rested = server.loop.now()
        resting = server.idle if is_known else server.newcomers
        resting[connection] = None
        try:
            if not parser.pending_bytes and not self._wait_for_request(connection):
                return None
        except DeadlineExceededError:
            return None
        finally:
            server.idle.pop(connection, None)
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

    def _wait_for_request(self, connection: Connection) -> bool:
        server = self._server
        if server.draining and not connection.stream.has_input():
            return False
        timeout = server.times.client_idle_us if connection.known else server.times.first_request_us
        return self.wait_for_first_bytes(connection, timeout)

    def wait_for_first_bytes(self, connection: Connection, timeout: int) -> bool:
        """Wait for a request to begin; return False where the client left or stayed silent."""
        try:
            return self._receive(connection, timeout)
        except DeadlineExceededError:
            if not connection.stream.has_input():
                return False
            # This process itself stood still: what arrived in the meantime is served.
            return self._receive(connection, self._server.times.request_head_us)

    def _head_deadline(self, connection: Connection) -> int:
        """Return when a request that has begun to arrive must be complete."""
        times = self._server.times
        deadline = connection.since + times.request_head_us
        if connection.known:
            return deadline
        return min(connection.opened + times.first_request_us, deadline)

    def _receive(self, connection: Connection, timeout: int) -> bool:
        """Feed the parser once; return False at the end of input. Raises DeadlineExceededError."""
        server = self._server
        deadline = server.loop.now() + timeout
        if server.watcher is None or not connection.between:
            data = connection.stream.recv(deadline=deadline)
        else:
            data = recv_watched(connection.stream, server.watcher, connection.number, deadline)
        self.received(connection, data)
        if server.watcher is not None and connection.between:
            server.watcher.idle(connection.number, connection.parser.unread)
        return bool(data)

    def received(self, connection: Connection, data: bytes) -> None:
        """Give bytes that were read to the parser, and note when they arrived."""
        connection.last_recv = self._server.loop.now()
        if not connection.parser.pending_bytes:
            connection.since = connection.last_recv
        connection.parser.receive(data)

    def read_complete(self, connection: Connection, exchange: PendingRequest) -> None:
        """Read a request to its end, where it begins with its last byte: nobody is notified of it before.

        Raises Closed where the client left, ProtocolError where the body takes too long.
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
        exchange.arrived = connection.last_recv
        exchange.deadline = exchange.arrived + exchange.call.timeout_us - server.times.response_margin_us
        if server.last is not None:
            exchange.deadline = min(exchange.deadline, server.last)

    def transfer(self, connection: Connection, body: RequestBody) -> None:
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
