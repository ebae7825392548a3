"""The endpoint side of the OpenAPI gateway: builds requests to endpoints and evaluates their responses."""

from __future__ import annotations

from orchidlane import http1
from orchidlane.gateway.control.endpoint_list import EndpointListTracker
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.openapi_call import operation_call
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.http1 import Response
from orchidlane.policy import Outcome
from orchidlane.routes import Operation
from orchidlane.runtime import Address

MAX_CACHED_OPERATIONS = 20_000
VIA_PROTOCOL = b"1.1 "
GATEWAY_HEADER_PREFIX = b"orchidlane-"
BODY_METHODS = ("POST", "PUT", "PATCH")
NOT_MODIFIED = 304


class OpenApiEndpointAdapter:
    """Builds request heads by a description's operations; reads responses by the settings' header names.

    See ``orchidlane.gateway.forwarding.protocol_adapter.EndpointAdapter``.
    """

    forwards_interim_responses = True
    forwards_streams = True
    incomplete_request_outcome = Outcome.CONNECTION_BROKEN

    def __init__(
        self, fleet: FleetSettings, name: str, incarnation: int, tracker: EndpointListTracker
    ) -> None:
        self.tracker = tracker
        self.incarnation = b"%s-%x" % (name.encode(), incarnation)
        self.via = VIA_PROTOCOL + name.encode()
        self.rejection_header = fleet.endpoints.rejection_header.lower().encode()
        self.load_report_header = fleet.endpoints.load_report_header.lower().encode()
        self.load_report_names = fleet.endpoints.load_report_names
        self._dropped_headers: dict[Operation, frozenset[bytes]] = {}

    def address(self, endpoint: bytes) -> Address | None:
        """Return the endpoint's address, which is parsed from its name (host:port)."""
        return parse_host_port(endpoint.decode())

    def state(self, endpoint: bytes) -> str:
        """Return the endpoint's latest known state: ready, draining or gone."""
        return self.tracker.state(endpoint)

    def outcome(self, head: Response) -> Outcome:
        """Return the outcome of a response.

        A request with a 503 and the rejection header was not executed; with any other 5xx it possibly was.
        """
        if head.status < 500:
            return Outcome.SERVED
        is_rejected = head.status == 503 and http1.header(head.headers, self.rejection_header) is not None
        return Outcome.ENDPOINT_FULL if is_rejected else Outcome.ERROR

    def _headers_to_drop(self, operation: Operation) -> frozenset[bytes]:
        """Return the client headers that are not forwarded: API keys, and what the gateway itself sets."""
        names = self._dropped_headers.get(operation)
        if names is None:
            set_by_gateway = (b"content-length", b"host", b"expect", b"via", operation.give_up_header or b"")
            names = frozenset((*set_by_gateway, *operation.key_headers))
            self._dropped_headers[operation] = names
            if len(self._dropped_headers) > MAX_CACHED_OPERATIONS:
                self._dropped_headers.clear()
        return names

    def request_head(
        self, request: PendingRequest, attempt: int, endpoint: bytes, time_left_us: int
    ) -> bytes:
        """Return the head of an attempt: the client's end-to-end headers and the gateway's own."""
        call = operation_call(request)
        operation = call.match.operation
        drop = self._headers_to_drop(operation)
        headers = [
            header
            for header in http1.end_to_end(request.head.headers)
            if header[0] not in drop and not header[0].startswith(GATEWAY_HEADER_PREFIX)
        ]
        headers.append((b"host", endpoint))
        client_via = http1.header(request.head.headers, b"via")
        headers.append((b"via", client_via + b", " + self.via if client_via else self.via))
        attempt_id = b"%s-%d-%d" % (self.incarnation, request.number, attempt)
        headers.append((b"orchidlane-attempt", attempt_id))
        headers.append((b"orchidlane-customer", b"%d" % call.customer))
        if operation.give_up_header is not None:
            headers.append((operation.give_up_header, b"%d" % max(1, time_left_us // 1_000)))
        if request.body.length is None:
            headers.append((b"transfer-encoding", b"chunked"))
        elif request.body.length or request.head.method in BODY_METHODS:
            headers.append((b"content-length", b"%d" % request.body.length))
        return http1.request_head(request.head.method, call.target, headers)

    def client_response(self, request: PendingRequest, head: Response) -> ClientResponse:
        """Return the client's response with the endpoint's end-to-end headers."""
        drop = (b"content-length", self.load_report_header, self.rejection_header)
        headers = [header for header in http1.end_to_end(head.headers) if header[0] not in drop]
        if request.head.method == "HEAD" or head.status == NOT_MODIFIED:
            length = http1.header(head.headers, b"content-length")
            headers += [(b"content-length", length)] if length is not None else []
        headers.append((b"via", self.via))
        return ClientResponse(head.status, headers)

    def load_report(self, head: Response) -> tuple[float, ...]:
        """Parse ``name=value, ...``; return no values where one is missing or not a number."""
        text = http1.header(head.headers, self.load_report_header) if self.load_report_names else None
        if text is None:
            return ()
        reported = dict(item.strip().partition("=")[::2] for item in text.decode("latin-1").split(","))
        try:
            return tuple(float(reported[name]) for name in self.load_report_names)
        except (KeyError, ValueError):
            return ()
