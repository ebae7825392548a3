"""Interfaces of the protocol adapters, which hold what differs between the protocols of a gateway.

Forwarding is the same for each protocol: the server reads a request, the policy decides, attempts are made,
and one final response is sent. The adapters parse heads and build responses. The OpenAPI gateway
(``openapi_clients.py``, ``openapi_endpoints.py``) and the operators' platform (``orchidlane.platform``)
implement them.
"""

from __future__ import annotations

from typing import Protocol

from orchidlane import http1, policy
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.pending_request import ClientResponse, PendingRequest
from orchidlane.runtime import Address


class ResourceLimits(Protocol):
    """Limits on what the server and the attempts hold; sizes in bytes."""

    @property
    def max_connections(self) -> int:
        """Maximum connections of clients."""

    @property
    def max_connections_per_endpoint(self) -> int:
        """Maximum connections to one endpoint."""

    @property
    def max_endpoint_connections(self) -> int:
        """Maximum connections to all endpoints together."""

    @property
    def max_request_line_bytes(self) -> int:
        """Maximum size of a request line."""

    @property
    def max_request_head_bytes(self) -> int:
        """Maximum size of a request head; a response head may be twice as long."""

    @property
    def max_request_headers(self) -> int:
        """Maximum number of header lines in a head."""

    @property
    def max_request_body_bytes(self) -> int:
        """Maximum size of a request body."""

    @property
    def max_replay_bytes(self) -> int:
        """Maximum size of a request body that is kept for further attempts."""

    @property
    def max_buffered_response_bytes(self) -> int:
        """Maximum size of a response body that is buffered."""

    @property
    def max_pipelined_bytes(self) -> int:
        """Maximum bytes of pipelined requests that are read while a request is in flight."""

    @property
    def max_lingering_connections(self) -> int:
        """Maximum connections in a lingering close: this many of clients, and as many of endpoints.

        Beyond it, the connection that has lingered longest is closed at once.
        """


class Timeouts(Protocol):
    """Timeouts in microseconds."""

    @property
    def first_request_us(self) -> int:
        """From a new connection to its first complete request; 0: the timeouts of any other request apply."""

    @property
    def request_head_us(self) -> int:
        """From the first byte of a head to its last."""

    @property
    def body_progress_us(self) -> int:
        """Between two pieces of a body."""

    @property
    def error_delay_us(self) -> int:
        """Delay of the response to a request that is not valid; 0: none."""

    @property
    def client_idle_us(self) -> int:
        """Between two requests over a client's connection."""

    @property
    def min_client_idle_us(self) -> int:
        """A client's connection that was idle for less is not closed to make room for a new one."""

    @property
    def min_silent_client_us(self) -> int:
        """The same for one on which nothing has arrived; a client sends as soon as it is connected."""

    @property
    def client_write_us(self) -> int:
        """For one write of a response."""

    @property
    def endpoint_connect_us(self) -> int:
        """To establish a connection to an endpoint."""

    @property
    def endpoint_idle_us(self) -> int:
        """Between two requests over a connection to an endpoint."""

    @property
    def endpoint_reuse_delay_us(self) -> int:
        """From a response to the earliest reuse of its connection."""

    @property
    def endpoint_settle_us(self) -> int:
        """From a response until no second copy of it can still arrive; 0: there are none."""

    @property
    def non_idempotent_idle_us(self) -> int:
        """Like ``endpoint_idle_us``, for requests that are not idempotent."""

    @property
    def response_margin_us(self) -> int:
        """Subtracted from the client's timeout for the transfer of the response."""

    @property
    def linger_us(self) -> int:
        """Longest lingering close, from the gateway's FIN on; it is shorter if the other side closes."""


class GatewayLimits(Protocol):
    """Limits and timeouts of one gateway."""

    @property
    def resource_limits(self) -> ResourceLimits:
        """Limits on what the gateway holds."""

    @property
    def timeouts(self) -> Timeouts:
        """Timeouts of the steps of a request."""


class ClientAdapter(Protocol):
    """Parses clients' requests and builds the responses to them."""

    needs_complete_request: bool  # the policy is notified of a request at its last byte, not its head

    def parse_request(self, head: http1.Request, in_flight: int, /) -> Call | ClientResponse:
        """Return the call of a head, or the response to a request that is not forwarded.

        ``in_flight`` is the number of requests in flight.
        """

    def invalid_request(self, status: int, detail: str, /) -> ClientResponse:
        """Return the response to a request that is not valid HTTP."""

    def rejected(self, action: policy.RejectRequest, /) -> ClientResponse:
        """Return the response to a request that the policy rejects; it says that a retry is harmless."""

    def failed(self) -> ClientResponse:
        """Return the response to a request that was possibly executed."""

    def before_response(self, request: PendingRequest, response: ClientResponse, took_us: int, /) -> None:
        """Handle a response, ``took_us`` after its request arrived, before it is sent; may add headers."""

    def request_ended(self, request: PendingRequest, /) -> None:
        """Handle the end of a request, whether or not it got a response."""


class EndpointAdapter(Protocol):
    """Builds requests to endpoints and evaluates their responses."""

    forwards_interim_responses: bool
    forwards_streams: bool  # a response that is too large to buffer is forwarded in pieces
    incomplete_request_outcome: (
        policy.Outcome
    )  # of a connection that closes before the request's last byte is written

    def address(self, endpoint: bytes, /) -> Address | None:
        """Return the endpoint's latest address, None where it is unknown."""

    def state(self, endpoint: bytes, /) -> str:
        """Return the endpoint's latest known state: ready, draining or gone."""

    def request_head(
        self, request: PendingRequest, attempt: int, endpoint: bytes, time_left_us: int, /
    ) -> bytes:
        """Return the request head of an attempt, which is given up after ``time_left_us``."""

    def outcome(self, head: http1.Response, /) -> policy.Outcome:
        """Return the outcome of a final response."""

    def load_report(self, head: http1.Response, /) -> tuple[float, ...]:
        """Return the endpoint's load report; empty where there is none or it is not valid."""

    def client_response(self, request: PendingRequest, head: http1.Response, /) -> ClientResponse:
        """Return the response to the client, whose body is added later."""
