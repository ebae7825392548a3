"""Handles the requests of one HTTP client after another: reads, notifies the policy, waits, answers.

While a request is in flight its connection is read on: the rest of the body, later requests up to a bound, or
the client's leaving. Answers leave in the order of the requests (RFC 9112 section 9.3.2).
"""

from __future__ import annotations

from typing import Protocol

from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.policy_driver import OutcomeCounter
from orchidlane.gateway.forwarding.protocol_adapter import Call, ClientAdapter, ResourceLimits
from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.gateway.server.client_connection import ClientConnection
from orchidlane.gateway.server.request_reader import ReaderState, RequestReader
from orchidlane.gateway.server.response_writer import CONTINUE, ResponseWriter
from orchidlane.http1 import ProtocolError, Request
from orchidlane.runtime import ConnectionClosedError, DeadlineExceededError

OVERDUE_US = 5_000  # beyond a request's time: then the policy's answer is waited for no more
REQUEST_TIMEOUT = 408


class RequestDriver(Protocol):
    """Who is notified of requests and answers them by the policy's decisions."""

    requests: dict[int, PendingRequest]
    metrics: OutcomeCounter

    def next_number(self) -> int:
        """Return the number of a new request."""

    def request_arrived(self, exchange: PendingRequest, time_left_us: int) -> None:
        """Take a request, so many microseconds before its time is up."""

    def client_disconnected(self, exchange: PendingRequest) -> None:
        """Drop a request whose client left."""

    def fail_overdue(self, exchange: PendingRequest) -> None:
        """End a request whose time is over."""


class HandlerState(ReaderState, Protocol):
    """What a handler needs to know of its server."""

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
        """Serve the next request; return whether the connection goes on."""
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
        understood = server.clients.parse_request(head, len(server.policy_driver.requests))
        if isinstance(understood, ClientResponse):
            if 400 <= understood.status < 500:  # the client's own fault; what is ours is said at once
                self._pause(connection)
            return self._respond(connection, head, understood, body_read=head.body_length == 0)
        return self._handle_call(connection, head, understood)

    def _handle_call(self, connection: ClientConnection, head: Request, call: Call) -> bool:
        server = self._server
        exchange = self._exchange(connection, head, call)
        try:
            if server.clients.needs_complete_request:
                self._reader.read_complete(connection, exchange)
            connection.has_sent_request = True
            server.new_connections.pop(connection, None)
            server.policy_driver.request_arrived(exchange, max(1, exchange.deadline - server.loop.now()))
            self._await_answer(connection, exchange)
        except ProtocolError as error:
            server.policy_driver.client_disconnected(exchange)
            return self._reject_malformed(connection, error)
        except BaseException:
            server.policy_driver.client_disconnected(exchange)
            raise
        answer = exchange.response
        assert answer is not None
        server.clients.before_response(exchange, answer, server.loop.now() - exchange.arrived)
        return self._respond(connection, head, answer, body_read=exchange.body.is_complete)

    def _reject_malformed(self, connection: ClientConnection, error: ProtocolError) -> bool:
        self._server.metrics.malformed += 1
        if error.status != REQUEST_TIMEOUT:  # that took its time
            self._pause(connection)
        self._writer.write_last(connection, self._server.clients.invalid_request(error.status, error.detail))
        return False

    def _pause(self, connection: ClientConnection) -> None:
        """Delay an error: a client that sends the same again at once costs itself time, and us little."""
        server = self._server
        if server.timeouts.error_delay_us:
            connection.idle_since_us = server.loop.now()
            server.new_connections[connection] = None
            server.loop.sleep(server.timeouts.error_delay_us)
            server.new_connections.pop(connection, None)

    def _exchange(self, connection: ClientConnection, head: Request, call: Call) -> PendingRequest:
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

    # -- until the answer is there

    def _await_answer(self, connection: ClientConnection, exchange: PendingRequest) -> None:
        self._reader.transfer(connection, exchange.body)
        while exchange.response is None:
            if exchange.awaits_continue and exchange.attempts:
                exchange.awaits_continue = False
                connection.stream.send(CONTINUE)
                continue
            if exchange.interim_responses:
                self._writer.write_hints(connection, exchange)
            elif not self._read_on(connection, exchange):
                self._wait(exchange)

    def _wait(self, exchange: PendingRequest) -> None:
        """Wait until the task is woken: by an answer, by input, or because the time is over."""
        server, body = self._server, exchange.body
        is_settled = body.is_complete or body.is_full
        deadline = (
            exchange.deadline + OVERDUE_US
            if is_settled
            else server.loop.now() + server.timeouts.body_progress_us
        )
        try:
            server.loop.park(deadline)
        except DeadlineExceededError:
            if is_settled:
                server.policy_driver.fail_overdue(exchange)
                if exchange.response is None:
                    raise ConnectionClosedError("no answer in its time") from None
            elif exchange.response is None:
                raise ProtocolError(REQUEST_TIMEOUT, "the body took too long") from None

    def _read_on(self, connection: ClientConnection, exchange: PendingRequest) -> bool:
        """Take what the client sent; where there is nothing, return False: the task is woken by more."""
        body = exchange.body
        if self._is_at_bound(connection, body):
            if connection.stream.is_closed_by_peer():
                raise ConnectionClosedError("the client left")
            connection.stream.wake_on_peer_close(exchange.task)
            return False
        data = None if connection.stream.is_input_exhausted else connection.stream.try_recv()
        if data is None:
            connection.stream.wake_on_input(exchange.task)
            return False
        if not data:
            raise ConnectionClosedError("the client left")
        self._reader.received(connection, data)
        self._reader.transfer(connection, body)
        return True

    def _is_at_bound(self, connection: ClientConnection, body: RequestBody) -> bool:
        """Return whether no more may be read: then a client's end lies behind bytes that stay unread."""
        if body.is_complete:
            return connection.parser.pending_bytes >= self._server.resource_limits.max_pipelined_bytes
        if body.is_full:
            assert self._server.loop.current is not None
            body.wake_when_not_full(self._server.loop.current)
        return body.is_full

    # -- responses

    def _respond(
        self, connection: ClientConnection, head: Request, answer: ClientResponse, body_read: bool
    ) -> bool:
        """Write an answer; return whether the connection goes on."""
        server = self._server
        keep = head.keep_alive and body_read and not self._is_last_response(connection)
        if server.observer is not None:
            server.observer.response_started(connection.number)
        is_intact = self._writer.write(connection, head, answer, keep)
        if not keep or not is_intact:
            return False
        if server.observer is not None:
            server.observer.connection_idle(connection.number, connection.parser.unread)
        connection.parser.next_message()
        if connection.parser.pending_bytes:
            connection.unread_since_us = connection.last_received_at_us
        server.loop.yield_if_due()
        return True

    def _is_last_response(self, connection: ClientConnection) -> bool:
        """Return whether the process shuts down and no further request of the client has arrived.

        Requests that arrived behind another one are served; those that still arrive when no request is waited
        for any more end with the connection.
        """
        server = self._server
        if not server.draining:
            return False
        is_over = server.shutdown_deadline is not None and server.loop.now() >= server.shutdown_deadline
        return is_over or not connection.has_more()

    def write_last(self, connection: ClientConnection, answer: ClientResponse) -> None:
        """Write the only answer of a connection, its last one."""
        self._writer.write_last(connection, answer)
