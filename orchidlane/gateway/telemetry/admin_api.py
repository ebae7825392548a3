"""The admin API of a gateway: health, metrics, the policy's state and views of it, and rollout calls.

The complete state is sent from a ``Snapshot``, in pages and only as fast as the tool reads, so that neither
its size nor a tool that hangs blocks the event loop. One such response is sent at a time, within
``STATE_TIMEOUT_US``. Accounts that the policy accesses during that time are copied, which bounds the memory
by one row for each account.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol
from urllib.parse import unquote_to_bytes

from orchidlane import http1
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.server.accept_loop import accept_clients
from orchidlane.gateway.telemetry.metrics import MetricsPage
from orchidlane.gateway.telemetry.policy_source import PolicyNames, PolicySource
from orchidlane.gateway.telemetry.policy_views import ViewedCustomer, encode_view
from orchidlane.gateway.telemetry.state_stream import StateStream
from orchidlane.http1 import Data, End, ProtocolError, Request
from orchidlane.runtime import (
    BACKGROUND,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    Listener,
    Stream,
    Task,
    TaskGroup,
)

IO_TIMEOUT_US = 5_000_000  # to read a request head, each piece of a request body, or to send a state's page
STATE_TIMEOUT_US = 30_000_000  # to read a request body, or to send a response or the complete state
MAX_ROLLOUT_CALLS = 16  # at once, since each may have a version's content in memory
ROLLOUT_PREFIX = b"/change/"
SIGNATURE_HEADER = b"orchidlane-seal"


class RolloutApi(Protocol):
    """Handles signed calls about the fleet's versions."""

    max_body_bytes: int

    def answer(self, method: str, target: bytes, signature: bytes | None, body: bytes) -> tuple[int, bytes]:
        """Return the status and body of the response to one call."""


@dataclass(frozen=True)
class AdminSources:
    """The parts of a gateway that the admin API reads its responses from."""

    gateway_name: str
    policy_source: PolicySource
    metrics: MetricsPage
    find_customer: Callable[[bytes], Customer | None]  # by name, number or key
    describe_moment: Callable[[], dict[str, Any]]
    is_healthy: Callable[[], bool]
    names: Callable[[], PolicyNames]


class _Response(NamedTuple):
    """The status and body of a response."""

    status: int
    body: bytes


class AdminApi:
    """Serves the admin address of one gateway."""

    def __init__(self, loop: EventLoop, sources: AdminSources, rollout: RolloutApi | None = None) -> None:
        self.loop = loop
        self.sources = sources
        self.rollout = rollout
        self.is_sending_state = False
        self._accepting: Task | None = None
        self._rollout_calls = 0

    def listen(self, listener: Listener, scope: TaskGroup) -> None:
        """Accept connections from a listener, as background tasks."""

        def serve(stream: Stream) -> None:
            scope.spawn(self._serve, stream, priority=BACKGROUND, name="admin")

        self._accepting = scope.spawn(
            accept_clients, self.loop, listener, serve, priority=BACKGROUND, name="admin"
        )

    def stop_accepting(self) -> None:
        """Accept no more connections; they wait at the listener."""
        if self._accepting is not None:
            self.loop.cancel(self._accepting)

    def _serve(self, stream: Stream) -> None:
        try:
            parser = http1.RequestParser()
            request = self._read_request(stream, parser)
            if request is None:
                return
            if request.target.startswith(ROLLOUT_PREFIX) and self.rollout is not None:
                self._serve_rollout_call(stream, parser, request, self.rollout)
            elif request.target == b"/state" and not self.is_sending_state:
                self._send_state(stream)
            else:
                self._send(stream, self._response_to(request.target))
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError):
            pass
        finally:
            stream.close()

    def _read_request(self, stream: Stream, parser: http1.RequestParser) -> Request | None:
        """Return the head of a request, or None where the client closed the connection before its end."""
        deadline = self.loop.now() + IO_TIMEOUT_US
        while (event := parser.next_event()) is None:
            parser.receive(stream.recv(deadline=deadline))
            if parser.input_ended:
                return None
        assert isinstance(event, Request)
        return event

    def _serve_rollout_call(
        self, stream: Stream, parser: http1.RequestParser, head: Request, rollout: RolloutApi
    ) -> None:
        """Serve a call about the fleet's versions, within the limits on calls at once and on body size."""
        too_large = head.body_length is not None and head.body_length > rollout.max_body_bytes
        if self._rollout_calls >= MAX_ROLLOUT_CALLS or too_large:
            self._send(stream, _Response(503, b"too many calls, or one that is too large\n"))
            return
        self._rollout_calls += 1
        try:
            body = self._read_body(stream, parser, rollout.max_body_bytes)
            if body is None:
                return
            if len(body) > rollout.max_body_bytes:
                self._send(stream, _Response(413, b"too large\n"))
                return
            signature = http1.header(head.headers, SIGNATURE_HEADER)
            self._send(stream, _Response(*rollout.answer(head.method, head.target, signature, body)))
        finally:
            self._rollout_calls -= 1

    def _read_body(self, stream: Stream, parser: http1.RequestParser, max_bytes: int) -> bytes | None:
        """Return a body, cut off after ``max_bytes``; None where the client closed the connection before."""
        body = bytearray()
        deadline = self.loop.now() + STATE_TIMEOUT_US
        while not isinstance(event := parser.next_event(), End):
            if isinstance(event, Data):
                body += event.data
                if len(body) > max_bytes:
                    break
            elif event is None:
                parser.receive(stream.recv(deadline=min(deadline, self.loop.now() + IO_TIMEOUT_US)))
                if parser.input_ended:
                    return None
        return bytes(body)

    def _send(self, stream: Stream, response: _Response) -> None:
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(response.body)),
            (b"connection", b"close"),
        ]
        head = http1.response_head(response.status, headers)
        stream.send(head + response.body, self.loop.now() + STATE_TIMEOUT_US)

    def _response_to(self, target: bytes) -> _Response:
        if target == b"/metrics":
            return _Response(200, self.sources.metrics.render())
        if target == b"/health":
            return _Response(200, b"ready\n") if self.sources.is_healthy() else _Response(503, b"draining\n")
        if target == b"/state":
            return _Response(503, b"the state is being told to another; one at a time\n")
        if target.partition(b"?")[0] == b"/view":
            return self._view_response(target)
        return _Response(404, b"try /metrics, /health, /state or /view\n")

    def _view_response(self, target: bytes) -> _Response:
        """Return a view of the endpoints, and of one customer by its name, number or key."""
        viewed = None
        if b"?customer=" in target:
            customer = self.sources.find_customer(unquote_to_bytes(target.partition(b"?customer=")[2]))
            if customer is None:
                return _Response(404, b"no customer has this name, number or key\n")
            viewed = ViewedCustomer(
                customer.number, customer.plan, customer.replica_set_start, customer.replica_set_size
            )
        policy_source = self.sources.policy_source
        names = self.sources.names()
        return _Response(
            200, encode_view(policy_source.gateway, self.sources.gateway_name, self.loop.now(), names, viewed)
        )

    def _send_state(self, stream: Stream) -> None:
        self.is_sending_state = True
        now = self.loop.now()
        deadline = now + STATE_TIMEOUT_US
        sources = self.sources
        state = StateStream(
            sources.policy_source, sources.gateway_name, now, 0, sources.names(), sources.describe_moment()
        )
        headers = [
            (b"content-type", b"application/octet-stream"),
            (b"transfer-encoding", b"chunked"),
            (b"connection", b"close"),
        ]
        data = http1.response_head(200, headers) + http1.chunk(state.header)
        try:
            for page in state:
                stream.send(data, min(deadline, self.loop.now() + IO_TIMEOUT_US))
                data = http1.chunk(page)
                self.loop.yield_to_others()
            stream.send(data + http1.last_chunk(), min(deadline, self.loop.now() + IO_TIMEOUT_US))
        finally:
            state.close()
            self.is_sending_state = False
