"""The HTTP server: accepts clients, limits their number, drains, and hands connections over.

``request_handler`` serves the requests of a connection. Connections are closed by a lingering close (RFC 9112
section 9.6).
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from orchidlane import http1
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.protocol_adapter import ClientAdapter, GatewayLimits
from orchidlane.gateway.server.accept_loop import ACCEPT_RETRY_DELAY_US, accept_clients
from orchidlane.gateway.server.client_connection import ClientConnection, ConnectionObserver
from orchidlane.gateway.server.request_handler import RequestDriver, RequestHandler
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
    """Accepts clients and serves them; connections are kept in the order of their age."""

    def __init__(
        self,
        loop: EventLoop,
        gateway_limits: GatewayLimits,
        policy_driver: RequestDriver,
        clients: ClientAdapter,
        scope: TaskGroup,
    ) -> None:
        self.loop = loop
        self.resource_limits = gateway_limits.resource_limits
        self.timeouts = gateway_limits.timeouts
        self.policy_driver = policy_driver
        self.clients = clients
        self.scope = scope
        self.metrics = policy_driver.metrics
        self.draining = False
        self.parser_limits = http1.ParserLimits(
            max_line_bytes=gateway_limits.resource_limits.max_request_line_bytes,
            max_head_bytes=gateway_limits.resource_limits.max_request_head_bytes,
            max_header_lines=gateway_limits.resource_limits.max_request_headers,
            max_body_bytes=gateway_limits.resource_limits.max_request_body_bytes,
        )
        self.connections: dict[ClientConnection, None] = {}
        self.new_connections: dict[ClientConnection, None] = {}  # without a request so far, the oldest first
        self.idle_connections: dict[
            ClientConnection, None
        ] = {}  # between two requests, the longest idle first
        self.lingering = LingeringConnections(
            loop,
            scope,
            gateway_limits.timeouts.linger_us,
            gateway_limits.resource_limits.max_lingering_connections,
        )
        self.listener: Listener
        self.hand_over: Callable[[ClientConnection], None] | None = (
            None  # takes each connection between two requests
        )
        self.on_failure: Callable[[str, Exception], None] | None = None  # None: failures are raised
        self.observer: ConnectionObserver | None = None  # while another process may take over
        self.shutdown_deadline: int | None = None  # of all requests, once we shut down
        self._handler = RequestHandler(self)
        self._accept_task: Task
        self._drain_waiter: Task | None = None  # in ``wait_until_closed``
        self._last_number = loop.now()  # later incarnations start from a higher number

    # -- connections

    def listen(self, listener: Listener) -> None:
        """Begin to accept clients from a listener."""
        self.listener = listener
        self._accept_task = self.scope.spawn(self._accept, priority=REQUESTS, name="accept")

    def stop_accepting(self, hand_over: Callable[[ClientConnection], None]) -> None:
        """Accept no more clients, which wait at the listener; hand over connections between two requests."""
        self.loop.cancel(self._accept_task)
        self.hand_over = hand_over
        for connection in list(self.connections):
            if connection.is_between_requests:
                self._hand_over(connection)

    def resume(self) -> None:
        """Accept clients again."""
        self.hand_over = None
        self._accept_task = self.scope.spawn(self._accept, priority=REQUESTS, name="accept")

    def _hand_over(self, connection: ClientConnection) -> None:
        assert self.hand_over is not None
        assert connection.task is not None
        self._remove(connection)
        self.hand_over(connection)
        self.loop.cancel(connection.task)

    def _remove(self, connection: ClientConnection) -> None:
        """Remove a connection from all tables: nothing more is read or answered here."""
        connection.is_detached = True
        self.new_connections.pop(connection, None)
        self.idle_connections.pop(connection, None)
        self.connections.pop(connection, None)

    def adopt(
        self, stream: Stream, unread: bytes, unread_since_us: int, last_received_at_us: int, number: int
    ) -> None:
        """Serve a client that another process handed over between two requests."""
        connection = ClientConnection(stream, self.parser_limits, unread_since_us, number)
        connection.last_received_at_us = last_received_at_us
        if unread:
            connection.parser.receive(unread)
        self._start_serving(connection)

    def next_number(self) -> int:
        """Return a number that no other connection of this server has."""
        self._last_number += 1
        return self._last_number

    def _accept(self) -> None:
        """Accept clients; where the process is out of descriptors, close an idle one."""
        while True:
            try:
                return accept_clients(self.loop, self.listener, self._accept_client, self._close_idle)
            except OSError as error:  # the client was reset before it was accepted
                if self.on_failure is None:
                    raise
                self.on_failure("accept", error)
                self.loop.sleep(ACCEPT_RETRY_DELAY_US)

    def _accept_client(self, stream: Stream) -> None:
        connection = ClientConnection(stream, self.parser_limits, self.loop.now(), self.next_number())
        if self.observer is not None:
            self.observer.connection_opened(connection.number, connection.stream)
        try:
            self._wait_for_capacity()
        except BaseException:  # cancelled; the connection has no task yet that would close it
            self._close(connection)
            raise
        self._start_serving(connection)

    def _start_serving(self, connection: ClientConnection) -> None:
        connection.has_sent_request = not self.timeouts.first_request_us
        self.connections[connection] = None
        connection.task = self.scope.spawn(self._serve, connection, priority=REQUESTS, name="client")

    def _wait_for_capacity(self) -> None:
        """Wait until there are fewer connections than the limit; close the longest idle one for that."""
        while len(self.connections) >= self.resource_limits.max_connections:
            if not self._close_idle():
                self.loop.sleep(ACCEPT_RETRY_DELAY_US)

    def _close_idle(self) -> bool:
        """Close a connection without a request in flight, new ones first; return False if there is none."""
        idle_before = self.loop.now() - self.timeouts.min_client_idle_us
        for candidates in (self.new_connections, self.idle_connections):
            connection = next(iter(candidates), None)
            # A request that has already arrived is served.
            if (
                connection is not None
                and connection.idle_since_us <= idle_before
                and not connection.stream.has_input()
            ):
                self._close(connection)
                return True
        return False

    def _close(self, connection: ClientConnection) -> None:
        """Close a connection, from its own task or from another."""
        if connection.is_detached:
            return
        self._remove(connection)
        self.lingering.close(connection.stream)
        if self.observer is not None:
            self.observer.connection_closed(connection.number)
        if connection.task is not None and connection.task is not self.loop.current:
            self.loop.cancel(connection.task)
        if self._drain_waiter is not None and not self.connections:
            self.loop.wake(self._drain_waiter)

    def wait_until_closed(self, deadline: int) -> bool:
        """Wait until all connections are closed; return False if some are not at the deadline."""
        self._drain_waiter = self.loop.current
        try:
            while self.connections:
                self.loop.park(deadline)
        except DeadlineExceededError:
            return False
        finally:
            self._drain_waiter = None
        self.lingering.wait(deadline)
        return True

    def drain(self) -> None:
        """Accept no more connections; serve the requests that are in flight or have already arrived.

        Clients that wait at the listener are accepted first: its close would reset them.
        """
        self.draining = True
        self.loop.cancel(self._accept_task)
        with suppress(ConnectionClosedError, ConnectionFailedError):
            while len(self.connections) < self.resource_limits.max_connections:
                if (stream := self._try_accept()) is None:
                    break
                self._accept_client(stream)
        self.listener.close()
        for connection in [*self.new_connections, *self.idle_connections]:
            if self._is_idle(connection):
                self._close(connection)

    def _try_accept(self) -> Stream | None:
        while True:
            with suppress(OSError):  # the client was reset before it was accepted
                return self.listener.try_accept()

    def _is_idle(self, connection: ClientConnection) -> bool:
        """Return whether nothing of a next request has arrived at this machine."""
        return connection.is_between_requests and not connection.has_more()

    def _serve(self, connection: ClientConnection) -> None:
        try:
            while self._serve_next(connection):
                pass
        except (ConnectionClosedError, DeadlineExceededError):
            pass
        except BaseException as error:
            if isinstance(error, Exception) and self.on_failure is not None:
                return self._handle_failure(connection, error)
            if self.observer is not None and not connection.is_detached:
                connection.is_detached = True
                connection.stream.release()  # the connection goes on in the old process
            raise
        finally:
            self._close(connection)

    def _handle_failure(self, connection: ClientConnection, error: Exception) -> None:
        """Report a failure within one connection, respond and close that connection only."""
        assert self.on_failure is not None
        self.on_failure("client", error)
        with suppress(ConnectionClosedError, DeadlineExceededError):
            self._handler.write_last(connection, self.clients.failed())

    def _serve_next(self, connection: ClientConnection) -> bool:
        """Serve one request, or hand the connection over; return whether it goes on here."""
        connection.is_between_requests = True
        if self.hand_over is not None:
            self._hand_over(connection)
            return False
        return self._handler.handle(connection)

    def respond_to_orphan(self, stream: Stream, response: ClientResponse) -> None:
        """Respond to a client whose process died with its request in flight, and close.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self._handler.write_last(ClientConnection(stream, self.parser_limits, self.loop.now(), -1), response)
        self.lingering.close(stream)
