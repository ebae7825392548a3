"""The HTTP server: accepts clients, keeps their connections, makes room, drains, hands connections over.

``request_handler`` serves what a connection asks. The servers' one way to end a connection is the lingering
close (RFC 9112 section 9.6).
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from orchidlane import http1
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.protocol_adapter import ClientAdapter, GatewayLimits
from orchidlane.gateway.server.accept_loop import NO_DESCRIPTOR_WAIT, accept_clients
from orchidlane.gateway.server.client_connection import Connection, Watcher
from orchidlane.gateway.server.request_handler import Driver, RequestHandler
from orchidlane.runtime import (
    REQUESTS,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    LingeringConnections,
    Listener,
    Stream,
    Task,
    TaskGroup,
)


class HttpServer:
    """Accepts clients and serves them."""

    def __init__(
        self, loop: EventLoop, terms: GatewayLimits, host: Driver, clients: ClientAdapter, scope: TaskGroup
    ) -> None:
        self.loop = loop
        self.bounds = terms.resource_limits
        self.times = terms.timeouts
        self.host = host
        self.clients = clients
        self.scope = scope
        self.metrics = host.metrics
        self.draining = False
        self.limits = http1.ParserLimits(
            max_line_bytes=terms.resource_limits.max_request_line_bytes,
            max_head_bytes=terms.resource_limits.max_request_head_bytes,
            max_header_lines=terms.resource_limits.max_request_headers,
            max_body_bytes=terms.resource_limits.max_request_body_bytes,
        )
        self.connections: dict[Connection, None] = {}
        self.newcomers: dict[Connection, None] = {}  # those that asked nothing yet, the oldest first
        self.idle: dict[Connection, None] = {}  # those between two requests, the longest idle first
        self.lingering = LingeringConnections(
            loop, scope, terms.timeouts.linger_us, terms.resource_limits.max_lingering_connections
        )
        self.listener: Listener
        self.pass_on: Callable[[Connection], None] | None = None  # gets each connection between two requests
        self.contain: Callable[[str, Exception], None] | None = None  # is told of failures, which end there
        self.watcher: Watcher | None = None  # is told of connections while another process may need them
        self.last: int | None = None  # no request that comes from now on is waited for longer
        self._handler = RequestHandler(self)
        self._accepting: Task
        self._leaving: Task | None = None  # waits until no connection is left
        self._numbers = loop.now()  # a later process of this gateway numbers on from later

    # -- connections

    def listen(self, listener: Listener) -> None:
        """Take clients from a listener."""
        self.listener = listener
        self._accepting = self.scope.spawn(self._accept, priority=REQUESTS, name="accept")

    def hold(self, pass_on: Callable[[Connection], None]) -> None:
        """Take no more clients, who wait at the listener; each that we have is passed on between requests."""
        self.loop.cancel(self._accepting)
        self.pass_on = pass_on
        for connection in list(self.connections):
            if connection.between:
                self._pass(connection)

    def resume(self) -> None:
        """Take clients again."""
        self.pass_on = None
        self._accepting = self.scope.spawn(self._accept, priority=REQUESTS, name="accept")

    def _pass(self, connection: Connection) -> None:
        assert self.pass_on is not None
        assert connection.task is not None
        self._remove(connection)
        self.pass_on(connection)
        self.loop.cancel(connection.task)

    def _remove(self, connection: Connection) -> None:
        """Take a connection out of all tables: nothing more is read or answered here."""
        connection.over = True
        self.newcomers.pop(connection, None)
        self.idle.pop(connection, None)
        self.connections.pop(connection, None)

    def adopt(self, stream: Stream, unread: bytes, since: int, last: int, number: int) -> None:
        """Serve a client that another process passed on between two requests."""
        connection = Connection(stream, self.limits, since, number)
        connection.last_recv = last
        if unread:
            connection.parser.receive(unread)
        self._begin(connection)

    def next_number(self) -> int:
        """A number that no other connection of this front has."""
        self._numbers += 1
        return self._numbers

    def _accept(self) -> None:
        """Out of descriptors an idle client gives its own up."""
        while True:
            try:
                return accept_clients(self.loop, self.listener, self._take, self._evict)
            except OSError as wrong:  # a client that was reset before we took it
                if self.contain is None:
                    raise
                self.contain("accept", wrong)
                self.loop.sleep(NO_DESCRIPTOR_WAIT)

    def _take(self, stream: Stream) -> None:
        connection = Connection(stream, self.limits, self.loop.now(), self.next_number())
        if self.watcher is not None:
            self.watcher.opened(connection.number, connection.stream)
        try:
            self._make_room()
        except BaseException:  # we shut down, and it has no task yet that would end it
            self._forget(connection)
            raise
        self._begin(connection)

    def _begin(self, connection: Connection) -> None:
        connection.known = not self.times.first_request_us
        self.connections[connection] = None
        connection.task = self.scope.spawn(self._client, connection, priority=REQUESTS, name="client")

    def _make_room(self) -> None:
        """At the bound the client that is idle for longest goes; while all are busy, no more are taken."""
        while len(self.connections) >= self.bounds.max_connections:
            if not self._evict():
                self.loop.sleep(NO_DESCRIPTOR_WAIT)

    def _evict(self) -> bool:
        """End a client that has no request under way: silent newcomers first, then the longest idle one."""
        least = self.loop.now() - self.times.min_client_idle_us
        for resting in (self.newcomers, self.idle):
            connection = next(iter(resting), None)
            # Guards against a close that crosses a request: what has come already is served.
            if connection is not None and connection.rested <= least and not connection.stream.has_input():
                self._forget(connection)
                return True
        return False

    def _forget(self, connection: Connection) -> None:
        """End a connection, from its own task or, where it has none of its own under way, from another."""
        if connection.over:
            return
        self._remove(connection)
        self.lingering.close(connection.stream)
        if self.watcher is not None:
            self.watcher.ended(connection.number)
        if connection.task is not None and connection.task is not self.loop.current:
            self.loop.cancel(connection.task)
        if self._leaving is not None and not self.connections:
            self.loop.wake(self._leaving)

    def wait_left(self, by: int) -> bool:
        """Wait until all clients have left and their connections have ended; False where some have not."""
        self._leaving = self.loop.current
        try:
            while self.connections:
                self.loop.park(by)
        except DeadlineExceededError:
            return False
        finally:
            self._leaving = None
        self.lingering.wait(by)
        return True

    def drain(self) -> None:
        """Take no more connections or requests; what is under way, or has come already, goes on.

        Clients that wait at the listener are taken before it closes, which would reset them.
        """
        self.draining = True
        self.loop.cancel(self._accepting)
        with suppress(ConnectionClosedError, ConnectionFailedError):
            while len(self.connections) < self.bounds.max_connections:
                if (stream := self._next_waiting()) is None:
                    break
                self._take(stream)
        self.listener.close()
        for connection in [*self.newcomers, *self.idle]:
            if self._is_at_rest(connection):
                self._forget(connection)

    def _next_waiting(self) -> Stream | None:
        while True:
            with suppress(OSError):  # a client that was reset before we took it
                return self.listener.try_accept()

    def _is_at_rest(self, connection: Connection) -> bool:
        """Whether nothing of a next request has come, as far as our machine knows."""
        return connection.between and not connection.has_more()

    def _client(self, connection: Connection) -> None:
        try:
            while self._serve_next(connection):
                pass
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        except BaseException as wrong:
            if isinstance(wrong, Exception) and self.contain is not None:
                return self._contain(connection, wrong)
            if self.watcher is not None and not connection.over:
                connection.over = True
                connection.stream.release()  # we fail: the client is whoever's who stands by
            raise
        finally:
            self._forget(connection)

    def _contain(self, connection: Connection, wrong: Exception) -> None:
        """A failure within one connection ends that connection, with an answer, and nothing else."""
        assert self.contain is not None
        self.contain("client", wrong)
        with suppress(ConnectionClosedError, DeadlineExceededError):
            self._handler.respond_alone(connection, self.clients.failed())

    def _serve_next(self, connection: Connection) -> bool:
        """Serve one request, or pass the connection on; return whether it goes on here."""
        connection.between = True
        if self.pass_on is not None:
            self._pass(connection)
            return False
        return self._handler.handle(connection)

    def answer_alone(self, stream: Stream, answer: ClientResponse) -> None:
        """Answer a client whose request another process took and can't answer any more, and end."""
        self._handler.respond_alone(Connection(stream, self.limits, self.loop.now(), -1), answer)
        self.lingering.close(stream)
