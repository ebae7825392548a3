"""The endpoint side of the platform's protocol: build an attempt's request and evaluate its response."""

from __future__ import annotations

from orchidlane import http1
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.http1 import Response
from orchidlane.platform.discovery import DiscoveryTracker
from orchidlane.platform.request_parsing import PlatformCall
from orchidlane.policy import Outcome
from orchidlane.runtime import Address
from orchidlane.runtime.backend import format_address

NOT_PROCESSED_HEADER = b"x-not-processed"
LOAD_REPORT_HEADER = b"x-server-load"
LOAD_REPORT_PREFIX = "TEXT "
LOAD_REPORT_LIMIT = 1e12  # exclusive


class PlatformEndpointAdapter:
    """Builds requests that keep the client's method, path, query, body and identifiers unchanged.

    Implements ``orchidlane.gateway.forwarding.protocol_adapter.EndpointAdapter``.
    """

    forwards_interim_responses = False
    forwards_streams = False
    incomplete_request_outcome = Outcome.CONNECT_FAILED  # endpoints don't execute an incomplete request

    def __init__(self, tracker: DiscoveryTracker, load_report_names: tuple[str, ...]) -> None:
        self.tracker = tracker
        self.load_report_names = load_report_names

    def address(self, endpoint: bytes) -> Address | None:
        """Return the endpoint's latest address, or None if it has none."""
        return self.tracker.addresses.get(endpoint)

    def state(self, endpoint: bytes) -> str:
        """Return the endpoint's latest known state: ready, draining or gone."""
        return self.tracker.state(endpoint)

    def request_head(
        self, request: PendingRequest, _attempt: int, endpoint: bytes, time_left_us: int
    ) -> bytes:
        """Return the request head of an attempt; ``time_left_us`` becomes its X-Timeout."""
        call = request.call
        assert isinstance(call, PlatformCall)
        headers = [
            (b"Host", format_address(self.tracker.addresses[endpoint]).encode()),
            (b"X-Request-ID", call.request_id),
            (b"X-Timeout", b"%.3f" % (time_left_us / 1_000_000)),
        ]
        if call.idempotency_key:
            headers.append((b"Idempotency-Key", call.idempotency_key))
        if request.body.length is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif request.head.method == "POST":
            headers.append((b"Content-Length", b"%d" % request.body.length))
        return http1.request_head(request.head.method, call.target, headers)

    def outcome(self, head: Response) -> Outcome:
        """Return the outcome of a response.

        At status 200 the request was served. At 503 or 504 with the header ``X-Not-Processed: 1`` it was
        rejected and not executed. At any other response it was possibly executed.
        """
        if head.status == 200:
            return Outcome.SERVED
        if head.status in (503, 504) and http1.header(head.headers, NOT_PROCESSED_HEADER) == b"1":
            return Outcome.ENDPOINT_FULL
        return Outcome.ERROR

    def load_report(self, head: Response) -> tuple[float, ...]:
        """Return the values of a header ``TEXT name=value, ...`` in the order of ``load_report_names``.

        The result is empty if a value is missing, not a number or out of range.
        """
        text = http1.header(head.headers, LOAD_REPORT_HEADER) if self.load_report_names else None
        if text is None:
            return ()
        items = text.decode("latin-1").removeprefix(LOAD_REPORT_PREFIX).split(",")
        reported = dict(item.strip().partition("=")[::2] for item in items)
        try:
            values = tuple(float(reported[name]) for name in self.load_report_names)
        except (KeyError, ValueError):
            return ()
        return values if all(0 <= value < LOAD_REPORT_LIMIT for value in values) else ()

    def client_response(self, _request: PendingRequest, head: Response) -> ClientResponse:
        """Return the response to the client: the endpoint's status and, added later, the endpoint's body."""
        return ClientResponse(head.status, [])
