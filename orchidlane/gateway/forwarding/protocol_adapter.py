"""What differs between the protocols that a gateway serves.

Forwarding is the same for each protocol: the server reads a request, the policy decides, attempts are made,
and one response leaves. The adapters say what a head means and how responses are put. The OpenAPI gateway
(``openapi_adapter.py``) and the operators' platform (``orchidlane.platform``) implement them.
"""

from __future__ import annotations

from typing import Protocol

from orchidlane import http1, policy
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.pending_request import ClientResponse, PendingRequest
from orchidlane.runtime import Address


class ResourceLimits(Protocol):
    """What the server and the attempts hold at most; sizes in bytes."""

    @property
    def max_connections(self) -> int:
        """Connections of clients."""

    @property
    def max_connections_per_endpoint(self) -> int:
        """Connections to one endpoint."""

    @property
    def max_endpoint_connections(self) -> int:
        """Connections to all endpoints together."""

    @property
    def max_request_line_bytes(self) -> int:
        """A request's first line."""

    @property
    def max_request_head_bytes(self) -> int:
        """A request's head; a response's may be twice as long."""

    @property
    def max_request_headers(self) -> int:
        """Header lines of a head."""

    @property
    def max_request_body_bytes(self) -> int:
        """A request's body."""

    @property
    def max_replay_bytes(self) -> int:
        """What is kept of a body for further attempts."""

    @property
    def max_buffered_response_bytes(self) -> int:
        """What is buffered of a response."""

    @property
    def max_pipelined_bytes(self) -> int:
        """What is read of a client's further requests while one is in flight."""

    @property
    def max_lingering_connections(self) -> int:
        """Closing connections of clients, and as many of endpoints; beyond it they close at once."""


class Timeouts(Protocol):
    """How long things may take, in microseconds."""

    @property
    def first_request_us(self) -> int:
        """From a new connection to its first complete request; 0: as any other request."""

    @property
    def request_head_us(self) -> int:
        """From the first byte of a head to its last."""

    @property
    def body_progress_us(self) -> int:
        """Between two pieces of a body."""

    @property
    def error_delay_us(self) -> int:
        """Until the response to a request that is not valid; 0: at once."""

    @property
    def client_idle_us(self) -> int:
        """Between two requests of a client."""

    @property
    def min_client_idle_us(self) -> int:
        """A connection that was idle for less is not closed to make room."""

    @property
    def client_write_us(self) -> int:
        """A write of a response."""

    @property
    def endpoint_connect_us(self) -> int:
        """Until a connection to an endpoint is made."""

    @property
    def endpoint_idle_us(self) -> int:
        """Between two requests over a connection to an endpoint."""

    @property
    def endpoint_reuse_delay_us(self) -> int:
        """A connection to an endpoint carries no request sooner after a response."""

    @property
    def non_idempotent_idle_us(self) -> int:
        """As ``endpoint_idle_us``, before a request that is not idempotent."""

    @property
    def response_margin_us(self) -> int:
        """Taken off the client's timeout for the response's way back."""

    @property
    def linger_us(self) -> int:
        """From our end of a connection to its close, unless the other side ends first."""


class GatewayLimits(Protocol):
    """Limits and timeouts of one gateway."""

    @property
    def resource_limits(self) -> ResourceLimits:
        """What is held at most."""

    @property
    def timeouts(self) -> Timeouts:
        """How long things may take."""


class ClientAdapter(Protocol):
    """How clients' requests are parsed and answered."""

    needs_complete_request: bool  # a request begins with its last byte instead of its head

    def parse_request(self, head: http1.Request, in_flight: int, /) -> Call | ClientResponse:
        """Return the call of a head, or the response that ends it; ``in_flight`` counts open requests."""

    def invalid_request(self, status: int, detail: str, /) -> ClientResponse:
        """Return the response to what is not a valid request."""

    def rejected(self, action: policy.RejectRequest, /) -> ClientResponse:
        """Return the response to a request that the policy rejects: a retry is harmless."""

    def failed(self) -> ClientResponse:
        """Return the response to a request that was possibly executed."""

    def before_response(self, request: PendingRequest, response: ClientResponse, took_us: int, /) -> None:
        """Note a response that is about to leave, so long after the request came; may add headers."""

    def request_ended(self, request: PendingRequest, /) -> None:
        """Note the end of a request, whether it was answered or not."""


class EndpointAdapter(Protocol):
    """How endpoints are asked, and their responses understood."""

    forwards_interim_responses: bool
    forwards_streams: bool  # a response that is too large to buffer, or has no length, is passed on in pieces
    incomplete_request_outcome: (
        policy.Outcome
    )  # the connection broke before a request's last byte was written

    def address(self, endpoint: bytes, /) -> Address | None:
        """Return the endpoint's latest address, None where it has none."""

    def state(self, endpoint: bytes, /) -> str:
        """Return the endpoint's latest known state: ready, draining or gone."""

    def request_head(
        self, request: PendingRequest, attempt: int, endpoint: bytes, time_left_us: int, /
    ) -> bytes:
        """Return the head of an attempt that is given up after ``time_left_us``."""

    def outcome(self, head: http1.Response, /) -> policy.Outcome:
        """Return the outcome of a final response."""

    def load_report(self, head: http1.Response, /) -> tuple[float, ...]:
        """Return the endpoint's load report; empty where there is none that is valid."""

    def client_response(self, request: PendingRequest, head: http1.Response, /) -> ClientResponse:
        """Return the client's response, without the body, which follows."""
