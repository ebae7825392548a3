"""Serves the requests of an HTTP connection in turn: reads one, notifies the policy, waits and responds.

While a request is in flight, reading continues: for the rest of its body, for pipelined requests up to a
limit, and to detect that the client closes the connection. Responses are sent in the order of the requests
(RFC 9112 section 9.3.2).
"""

from __future__ import annotations

from typing import Protocol

from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.policy_driver import OutcomeCounter
from orchidlane.gateway.forwarding.protocol_adapter import Call, ClientAdapter, ResourceLimits
from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.gateway.server.client_connection import MAX_RECEIVE_BYTES, ClientConnection
from orchidlane.gateway.server.request_reader import (
    BODY_TOOK_TOO_LONG,
    REQUEST_TIMEOUT,
    ReaderState,
    RequestReader,
)
from orchidlane.gateway.server.response_writer import CONTINUE, ResponseWriter
from orchidlane.http1 import ProtocolError, Request
from orchidlane.runtime import ConnectionClosedError, DeadlineExceededError

DECISION_GRACE_US = 5_000  # how long after a request's deadline to wait for the policy's decision


class RequestDriver(Protocol):
    """Passes requests to the policy and sets their responses by its decisions."""

    requests: dict[int, PendingRequest]
    metrics: OutcomeCounter

    def next_number(self) -> int:
        """Return the number of a new request."""

    def request_arrived(self, request: PendingRequest, time_left_us: int) -> None:
        """Pass a request to the policy, ``time_left_us`` microseconds before its deadline."""

    def client_disconnected(self, request: PendingRequest) -> None:
        """Drop a request whose client closed the connection."""

    def fail_overdue(self, request: PendingRequest) -> None:
        """Fail a request whose deadline has passed without a decision."""


class HandlerState(ReaderState, Protocol):
    """The attributes of its server that a handler uses."""

    resource_limits: ResourceLimits
    policy_driver: RequestDriver
    clients: ClientAdapter
    metrics: OutcomeCounter


class RequestHandler:
    """Serves one request of a connection at a time."""

    def __init__(self, server: HandlerState) -> None:
        self._server = server
        self._reader = RequestReader(server)
        self._writer = ResponseWriter(server)

    def handle(self, connection: ClientConnection) -> bool:
        """Serve the next request; return whether the connection stays open."""
        server = self._server
        try:
            head = self._reader.read_head(connection)
        except ProtocolError as error:
            connection.is_between_requests = False
            return self._reject_malformed(connection, error)
        connection.is_between_requests = False
        if head is None:
            return False
        if server.observer is not None:
            server.observer.request_started(connection.number)
        call_or_response = server.clients.parse_request(head, len(server.policy_driver.requests))
        if isinstance(call_or_response, ClientResponse):
            # Errors of the client are delayed, those of the gateway are not.
            if 400 <= call_or_response.status < 500:
                self._pause(connection)
            return self._respond(connection, head, call_or_response, body_read=head.body_length == 0)
        return self._handle_call(connection, head, call_or_response)

    def _handle_call(self, connection: ClientConnection, head: Request, call: Call) -> bool:
        server = self._server
        request = self._create_pending_request(connection, head, call)
        try:
            if server.clients.needs_complete_request:
                self._reader.read_complete(connection, request)
            connection.has_sent_request = True
            server.waiting_connections.remove(connection)
            server.policy_driver.request_arrived(request, max(1, request.deadline - server.loop.now()))
            self._await_response(connection, request)
        except ProtocolError as error:
            server.policy_driver.client_disconnected(request)
            request.body.discard()  # the error response may be delayed
            return self._reject_malformed(connection, error)
        except BaseException:
            server.policy_driver.client_disconnected(request)
            raise
        response = request.response
        assert response is not None
        server.clients.before_response(request, response, server.loop.now() - request.arrived)
        return self._respond(connection, head, response, body_read=request.body.is_complete)

    def _reject_malformed(self, connection: ClientConnection, error: ProtocolError) -> bool:
        self._server.metrics.malformed += 1
        if error.status != REQUEST_TIMEOUT:  # a timeout has delayed the response already
            self._pause(connection)
        self._writer.write_last(connection, self._server.clients.invalid_request(error.status, error.detail))
        return False

    def _pause(self, connection: ClientConnection) -> None:
        """Delay an error response, so that a client that retries at once costs the gateway little."""
        server = self._server
        if server.timeouts.error_delay_us:
            server.waiting_connections.await_error(connection, server.loop.now())
            server.loop.sleep(server.timeouts.error_delay_us)
            server.waiting_connections.remove(connection)

    def _create_pending_request(
        self, connection: ClientConnection, head: Request, call: Call
    ) -> PendingRequest:
        server = self._server
        task = server.loop.current
        assert task is not None
        return PendingRequest(
            number=server.policy_driver.next_number(),
            head=head,
            call=call,
            body=RequestBody(server.loop, server.resource_limits.max_replay_bytes, head.body_length),
            task=task,
            deadline=connection.unread_since_us + call.timeout_us - server.timeouts.response_margin_us,
            arrived=connection.unread_since_us,
            awaits_continue=head.expects_continue,
            has_client_left=connection.stream.is_closed_by_peer,
        )

    # -- waiting for the response

    def _await_response(self, connection: ClientConnection, request: PendingRequest) -> None:
        self._reader.transfer(connection, request.body)
        while request.response is None:
            if request.awaits_continue and request.attempts:
                request.awaits_continue = False
                connection.stream.send(CONTINUE)
                continue
            if request.interim_responses:
                self._writer.write_interim_responses(connection, request)
            elif not self._read_more(connection, request):
                self._wait(request)

    def _wait(self, request: PendingRequest) -> None:
        """Wait until the response or input wakes the task; fail the request if its deadline passes.

        Raises ProtocolError (408) if no more of an incomplete body arrives within ``body_progress_us``.
        """
        server, body = self._server, request.body
        is_settled = body.is_complete or body.is_full
        deadline = (
            request.deadline + DECISION_GRACE_US
            if is_settled
            else server.loop.now() + server.timeouts.body_progress_us
        )
        try:
            server.loop.park(deadline)
        except DeadlineExceededError:
            if is_settled:
                server.policy_driver.fail_overdue(request)
                if request.response is None:
                    raise ConnectionClosedError("no response by the request's deadline") from None
            elif request.response is None:
                raise ProtocolError(REQUEST_TIMEOUT, BODY_TOOK_TOO_LONG) from None

    def _read_more(self, connection: ClientConnection, request: PendingRequest) -> bool:
        """Read input of the client; if there is none, return False, and new input wakes the task."""
        body = request.body
        if self._is_at_read_limit(connection, body):
            if connection.stream.is_closed_by_peer():
                raise ConnectionClosedError("the client closed the connection")
            connection.stream.wake_on_peer_close(request.task)
            return False
        data = None if connection.stream.is_input_exhausted else connection.stream.try_recv(MAX_RECEIVE_BYTES)
        if data is None:
            connection.stream.wake_on_input(request.task)
            return False
        if not data:
            raise ConnectionClosedError("the client closed the connection")
        self._reader.feed_parser(connection, data)
        self._reader.transfer(connection, body)
        return True

    def _is_at_read_limit(self, connection: ClientConnection, body: RequestBody) -> bool:
        """Return whether no more input may be read now.

        A close by the client is then behind unread bytes, so that reading does not detect it.
        """
        if body.is_complete:
            return connection.parser.pending_bytes >= self._server.resource_limits.max_pipelined_bytes
        if body.is_full:
            assert self._server.loop.current is not None
            body.wake_when_not_full(self._server.loop.current)
        return body.is_full

    # -- responses

    def _respond(
        self, connection: ClientConnection, head: Request, response: ClientResponse, body_read: bool
    ) -> bool:
        """Write a response; return whether the connection stays open."""
        server = self._server
        stays_open = head.keep_alive and body_read and not self._is_last_response(connection)
        if server.observer is not None:
            server.observer.response_started(connection.number)
        is_reusable = self._writer.write(connection, head, response, stays_open)
        if not stays_open or not is_reusable:
            return False
        if server.observer is not None:
            server.observer.connection_idle(connection.number, connection.parser.unread)
        connection.parser.next_message()
        if connection.parser.pending_bytes:
            connection.unread_since_us = connection.last_received_at_us
            server.loop.yield_to_others()  # a client's pipelined requests are served one a turn
        return True

    def _is_last_response(self, connection: ClientConnection) -> bool:
        """Return whether the process shuts down and no further request of the client has arrived.

        Pipelined requests that have already arrived are served until the shutdown deadline. After it they are
        dropped as the connection closes.
        """
        server = self._server
        if not server.draining:
            return False
        is_over = server.shutdown_deadline is not None and server.loop.now() >= server.shutdown_deadline
        return is_over or not connection.has_more()

    def write_last(self, connection: ClientConnection, response: ClientResponse) -> None:
        """Write the last response of a connection, which is closed afterwards."""
        self._writer.write_last(connection, response)
