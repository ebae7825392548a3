"""Attempts: send a request to one endpoint and notify the policy of the outcome.

What happened                                        Outcome
connection refused or not established in time        CONNECT_FAILED
nothing written                                      NOT_SENT
complete response head received                      by the protocol (``EndpointAdapter.outcome``)
connection reset or closed after a byte was sent     CONNECTION_BROKEN: possibly executed
no response in time after a byte was sent            TIMED_OUT

The outcome of a reset before the last byte of a request depends on the protocol
(``EndpointAdapter.incomplete_request_outcome``): some endpoints may execute an incomplete request, others
never do.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidlane import http1, policy
from orchidlane.gateway.forwarding.client_response import ClientResponse, ResponseStream
from orchidlane.gateway.forwarding.connection_pool import (
    ConnectionPool,
    EndpointConnection,
    PoolExhaustedError,
)
from orchidlane.gateway.forwarding.endpoint_exchange import EndpointExchange
from orchidlane.gateway.forwarding.last_check import PendingSend, RejectionReason, rejection_reason
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.forwarding.protocol_adapter import EndpointAdapter, GatewayLimits
from orchidlane.gateway.forwarding.response_history import UNKNOWN
from orchidlane.http1 import Data, End, Response
from orchidlane.policy import Idempotency, Outcome
from orchidlane.runtime import (
    BACKGROUND,
    Cancelled,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    Task,
    TaskGroup,
)


class AttemptResult(NamedTuple):
    """The result of an attempt; ``is_reusable`` is whether its connection can carry another request."""

    outcome: Outcome
    response: ClientResponse | None = None
    is_reusable: bool = False


NOT_SENT = AttemptResult(Outcome.NOT_SENT)


class AttemptStarter:
    """Starts attempts; ``policy_driver`` has to be set before the first one."""

    def __init__(
        self, loop: EventLoop, limits: GatewayLimits, scope: TaskGroup, endpoints: EndpointAdapter
    ) -> None:
        self.loop = loop
        self.scope = scope
        self.endpoints = endpoints
        self.timeouts = limits.timeouts
        self.max_buffered_response_bytes = limits.resource_limits.max_buffered_response_bytes
        self.policy_driver: PolicyDriver
        self.pool = ConnectionPool(loop, limits, scope)
        scope.spawn(self.pool.run_sweeper, priority=BACKGROUND, name="sweep")

    def start_attempt(self, request: PendingRequest, number: int, action: policy.SendAttempt) -> None:
        """Start an attempt in its own task."""
        attempt = Attempt(self, request, number, action)
        self.policy_driver.attempts[request.number, number] = attempt
        attempt.task = self.scope.spawn(attempt.run, priority=request.task.priority, name="attempt")


class Attempt:
    """One attempt, from the policy's decision to send it to its outcome.

    ``was_sent`` is whether a byte may have reached the endpoint, ``is_first_sent_attempt`` whether this is
    the request's first attempt that was possibly executed, ``is_finished`` whether the policy was notified of
    the outcome.
    """

    def __init__(
        self, starter: AttemptStarter, request: PendingRequest, number: int, action: policy.SendAttempt
    ) -> None:
        self.starter = starter
        self.loop = starter.loop
        self.request = request
        self.number = number
        self.endpoint = action.endpoint
        self.deadline = action.timeout_at_us or request.deadline
        self.started_at = self.loop.now()
        self.was_sent = False
        self.is_first_sent_attempt = False
        self.is_finished = False
        self.load_report: tuple[float, ...] = ()
        self.task: Task

    def cancel(self) -> None:
        """Stop the attempt's task, which closes the connection to the endpoint."""
        self.loop.cancel(self.task)

    def run(self) -> None:
        """Run the attempt to its outcome."""
        try:
            result = self._run()
        except Cancelled:
            if self.loop.process.is_dead:
                raise
            if not self.is_finished:
                self._finish(Outcome.CANCELLED if self.was_sent else Outcome.NOT_SENT, None)
            raise
        except Exception as error:
            on_failure = self.starter.policy_driver.on_failure
            if on_failure is None:
                raise
            on_failure("attempt", error)
            result = AttemptResult(Outcome.CONNECTION_BROKEN) if self.was_sent else NOT_SENT
        if not self.is_finished:
            self._finish(result.outcome, result.response)

    def _finish(self, outcome: Outcome, response: ClientResponse | None) -> None:
        self.is_finished = True
        if outcome is Outcome.ENDPOINT_FULL and self.is_first_sent_attempt:
            # not executed, so the next attempt counts as the first one sent
            self.request.first_sent_at = None
        took_us = self.loop.now() - self.started_at
        self.starter.policy_driver.attempt_finished(
            self.request, self.number, self.endpoint, outcome, took_us, self.load_report, response
        )

    def _run(self) -> AttemptResult:
        body = self.request.body
        if not self._charge_units():
            return NOT_SENT
        if not body.is_replayable:
            return NOT_SENT  # the start of the body was dropped after an earlier attempt had read it
        try:
            body.wait_settled(self.deadline)
        except DeadlineExceededError:
            return NOT_SENT
        address = self.starter.endpoints.address(self.endpoint)
        if address is None:
            return NOT_SENT
        is_non_idempotent = self.request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT
        pool = self.starter.pool
        try:
            connection = pool.acquire(self.endpoint, address, is_non_idempotent, self.deadline)
        except (ConnectionFailedError, DeadlineExceededError):
            return AttemptResult(Outcome.CONNECT_FAILED)
        except PoolExhaustedError:
            return NOT_SENT
        reason = rejection_reason(self.loop.now(), self._pending_send())
        if reason is not None:
            pool.release_unused(self.endpoint, connection)
            if reason is RejectionReason.CLIENT_LEFT:  # the client's own task may not have run since it left
                self.starter.policy_driver.client_disconnected(self.request)
            return NOT_SENT
        return self._run_on_connection(connection)

    def _run_on_connection(self, connection: EndpointConnection) -> AttemptResult:
        is_reusable = False
        try:
            result = self._exchange(connection)
            is_reusable = result.is_reusable
        finally:
            if is_reusable:
                self.starter.pool.release(self.endpoint, connection)
            else:
                self.starter.pool.drop(self.endpoint, connection)
        return result

    def _charge_units(self) -> bool:
        """Charge the units of a request that was unsent at the hand-over of a hot restart.

        Return False where the new process, which counts the units, did not grant them; such a request is not
        sent.
        """
        request = self.request
        remote_quota = self.starter.policy_driver.remote_quota
        if remote_quota is not None and request.was_unsent_at_hand_over and not request.is_charged:
            call = request.call
            request.is_charged = remote_quota.take(call, call.units, call.class_index)
            return request.is_charged
        return True

    def _pending_send(self) -> PendingSend:
        request_class = self.request.request_class
        return PendingSend(
            self.starter.endpoints.state(self.endpoint),
            self.deadline,
            request_class.idempotency,
            request_class.deduplication_window_us,
            self.request.first_sent_at,
            self.request.has_client_left(),
        )

    # -- the exchange over one connection

    def _exchange(self, connection: EndpointConnection) -> AttemptResult:
        stream = connection.stream
        sent_before = stream.sent_bytes
        self.started_at = self.loop.now()
        connection.parser.expect_response_to(self.request.head.method)
        connection.has_response_bytes = False
        exchange = EndpointExchange(self.loop, connection, self.request, self.deadline)
        try:
            responded_early = exchange.send(self._request_head())
        except DeadlineExceededError:
            self.was_sent = stream.sent_bytes > sent_before
            return self._timed_out_in_send()
        except ConnectionClosedError:
            self.was_sent = stream.sent_bytes > sent_before
            incomplete = self.starter.endpoints.incomplete_request_outcome
            if not self.was_sent or incomplete is not Outcome.CONNECTION_BROKEN:
                self.was_sent = False
                return NOT_SENT if incomplete is Outcome.CONNECTION_BROKEN else AttemptResult(incomplete)
            responded_early = True  # a response may have arrived before the reset
        except Cancelled:
            self.was_sent = stream.sent_bytes > sent_before
            self._mark_sent()
            raise
        self.was_sent = True
        self._mark_sent()
        try:
            result = self._receive(exchange)
        except DeadlineExceededError:
            return AttemptResult(Outcome.TIMED_OUT)
        except (ConnectionClosedError, http1.ProtocolError):
            result = AttemptResult(Outcome.CONNECTION_BROKEN)
        was_lost = not connection.has_response_bytes
        self.starter.pool.reuse_statistics.record(connection.idle_us, was_lost, self.loop.now())
        return result._replace(is_reusable=False) if responded_early else result

    def _request_head(self) -> bytes:
        time_left_us = max(1, self.deadline - self.loop.now())
        return self.starter.endpoints.request_head(self.request, self.number, self.endpoint, time_left_us)

    def _timed_out_in_send(self) -> AttemptResult:
        if not self.was_sent:
            return NOT_SENT
        self._mark_sent()
        return AttemptResult(Outcome.TIMED_OUT)

    def _mark_sent(self) -> None:
        if self.was_sent and self.request.first_sent_at is None:
            self.request.first_sent_at = self.started_at
            self.is_first_sent_attempt = True

    def _receive(self, exchange: EndpointExchange) -> AttemptResult:
        endpoints = self.starter.endpoints
        head = exchange.receive_final_head(endpoints.forwards_interim_responses)
        self.load_report = endpoints.load_report(head)
        outcome = endpoints.outcome(head)
        if outcome is not Outcome.SERVED:
            exchange.connection.body_hash = UNKNOWN
            return AttemptResult(outcome, None, exchange.drain(head))
        response = endpoints.client_response(self.request, head)
        body = bytearray()  # one buffer: an endpoint may send its response in pieces of one byte
        while not isinstance(event := exchange.next_event(), End):
            assert isinstance(event, Data)
            body += event.data
            if len(body) > self.starter.max_buffered_response_bytes:
                if not endpoints.forwards_streams:
                    return AttemptResult(Outcome.CONNECTION_BROKEN)
                return self._stream(exchange, head, response, bytes(body))
        response.body = bytes(body)
        if not self.starter.pool.accept_response(exchange.connection, response.body):
            return AttemptResult(Outcome.CONNECTION_BROKEN)
        response.trailers = event.trailers
        return AttemptResult(Outcome.SERVED, response, exchange.finish(head))

    # -- a response too large to buffer

    def _stream(
        self, exchange: EndpointExchange, head: Response, response: ClientResponse, first: bytes
    ) -> AttemptResult:
        """Notify the policy that the request was served, then stream the rest of the body to the client."""
        stream = ResponseStream(self.loop, first)
        response.stream = stream
        self._finish(Outcome.SERVED, response)
        if self.request.response is not response:
            return AttemptResult(Outcome.SERVED)
        try:
            while not isinstance(event := self._next_stream_event(exchange), End):
                assert isinstance(event, Data)
                stream.put(event.data)
                if stream.is_broken:  # the client left
                    return AttemptResult(Outcome.SERVED)
        except BaseException as error:
            stream.end(broken=True)
            if isinstance(error, ConnectionClosedError | DeadlineExceededError | http1.ProtocolError):
                return AttemptResult(Outcome.SERVED)
            raise
        stream.end(broken=False, trailers=event.trailers)
        return AttemptResult(Outcome.SERVED, None, exchange.finish(head))

    def _next_stream_event(self, exchange: EndpointExchange) -> http1.Event:
        exchange.deadline = self.loop.now() + self.starter.timeouts.body_progress_us
        return exchange.next_event()
