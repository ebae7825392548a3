"""The HTTP server: accepts clients, limits their number and drains.

``connection_server`` keeps the connections, ``request_handler`` serves the requests of each.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from orchidlane import http1
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.protocol_adapter import ClientAdapter, GatewayLimits
from orchidlane.gateway.server.accept_loop import ACCEPT_RETRY_DELAY_US, accept_clients
from orchidlane.gateway.server.client_connection import ClientConnection
from orchidlane.gateway.server.connection_server import ConnectionServer
from orchidlane.gateway.server.request_handler import RequestDriver, RequestHandler
from orchidlane.gateway.server.waiting_connections import WaitingConnections
from orchidlane.runtime import (
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    TaskGroup,
)

CAPACITY_RETRY_DELAY_US = 5_000  # while no connection can be closed for a new one


class HttpServer(ConnectionServer[ClientConnection]):
    """Accepts clients and serves their requests.

    ``on_failure`` is called with the failed step and the exception for each failure that concerns only one
    connection; if it is None, the exception is raised. A shutdown sets ``shutdown_deadline``: the server
    waits for no request past it.
    """

    accept_task_name = "accept"
    client_task_name = "client"

    def __init__(
        self,
        loop: EventLoop,
        gateway_limits: GatewayLimits,
        policy_driver: RequestDriver,
        clients: ClientAdapter,
        scope: TaskGroup,
    ) -> None:
        super().__init__(loop, gateway_limits, scope)
        self.resource_limits = gateway_limits.resource_limits
        self.timeouts = gateway_limits.timeouts
        self.policy_driver = policy_driver
        self.clients = clients
        self.metrics = policy_driver.metrics
        self.parser_limits = http1.ParserLimits(
            max_line_bytes=self.resource_limits.max_request_line_bytes,
            max_head_bytes=self.resource_limits.max_request_head_bytes,
            max_header_lines=self.resource_limits.max_request_headers,
            max_body_bytes=self.resource_limits.max_request_body_bytes,
        )
        self.waiting_connections = WaitingConnections(self.timeouts)
        self.on_failure: Callable[[str, Exception], None] | None = None
        self.shutdown_deadline: int | None = None
        self._handler = RequestHandler(self)

    def _can_hand_over(self, connection: ClientConnection) -> bool:
        return connection.is_between_requests

    def _remove(self, connection: ClientConnection) -> None:
        super()._remove(connection)
        self.waiting_connections.remove(connection)

    def adopt(
        self, stream: Stream, unread: bytes, unread_since_us: int, last_received_at_us: int, number: int
    ) -> None:
        """Serve a client that another process handed over between two requests."""
        connection = ClientConnection(stream, self.parser_limits, unread_since_us, number)
        connection.last_received_at_us = last_received_at_us
        if unread:
            connection.parser.receive(unread)
        self._start_serving(connection)

    def _accept(self) -> None:
        """Accept clients; close an idle connection if the process is out of file descriptors."""
        while True:
            try:
                return accept_clients(self.loop, self.listener, self._accept_client, self._close_waiting)
            except OSError as error:  # the client reset its connection before it was accepted
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
        except BaseException:  # a cancellation; the connection has no task yet that would close it
            self._close(connection)
            raise
        self._start_serving(connection)

    def _start_serving(self, connection: ClientConnection) -> None:
        connection.has_sent_request = not self.timeouts.first_request_us
        super()._start_serving(connection)

    def _wait_for_capacity(self) -> None:
        """Wait until the number of connections is below its limit; close idle connections to get there."""
        while len(self.connections) >= self.resource_limits.max_connections:
            if not self._close_waiting():
                self.loop.sleep(CAPACITY_RETRY_DELAY_US)

    def _close_waiting(self) -> bool:
        """Close a connection without a request in flight; return False if none can be closed now."""
        connection = self.waiting_connections.next_to_close(self.loop.now())
        if connection is None:
            return False
        self._close(connection)
        return True

    def drain(self) -> None:
        """Accept no more connections; serve the requests that are in flight or have already arrived.

        Clients in the listener's queue are accepted first, as closing the listener would reset them.
        """
        self.draining = True
        self.loop.cancel(self._accept_task)
        with suppress(ConnectionClosedError, ConnectionFailedError):
            while len(self.connections) < self.resource_limits.max_connections:
                if (stream := self._try_accept()) is None:
                    break
                self._accept_client(stream)
        self.listener.close()
        for connection in self.waiting_connections.awaiting_requests():
            if self._is_idle(connection):
                self._close(connection)

    def _try_accept(self) -> Stream | None:
        while True:
            with suppress(OSError):  # the client reset its connection before it was accepted
                return self.listener.try_accept()

    def _is_idle(self, connection: ClientConnection) -> bool:
        """Return whether no request is in flight and no bytes of the next one have arrived, even unread."""
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
            self._release_if_observed(connection)
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
        """Serve one request, or hand the connection over; return whether this server keeps serving it."""
        connection.is_between_requests = True
        if self.hand_over is not None:
            self._hand_over(connection)
            return False
        return self._handler.handle(connection)

    def respond_to_orphan(self, stream: Stream, response: ClientResponse) -> None:
        """Respond to a client whose request was in flight in a process that crashed; close the connection.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self._handler.write_last(ClientConnection(stream, self.parser_limits, self.loop.now(), -1), response)
        self.lingering.close(stream)
