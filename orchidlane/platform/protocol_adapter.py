"""The client side of the platform's protocol: parse requests and build responses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from orchidlane import policy
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.http1 import Request
from orchidlane.platform.request_parsing import InvalidRequestError, PlatformCall, RequestParser

READINESS_TARGET = b"/up"
OVER_QUOTA = 429
UNAVAILABLE = 503
FAILED = 500  # unlike 429 and 503, it doesn't promise that the request was not executed


class PlatformClientAdapter:
    """Parses requests, builds responses, and rejects a request whose identifier is already in flight.

    As long as ``has_current_list`` is False, all requests are rejected: endpoints of an older list may be
    draining. Implements ``orchidlane.gateway.forwarding.protocol_adapter.ClientAdapter``.
    """

    needs_complete_request = True

    def __init__(
        self,
        parser: RequestParser,
        max_requests_in_flight: int,
        may_send_retry_after: bool,
        is_ready: Callable[[], bool],
        has_current_list: Callable[[], bool],
    ) -> None:
        self.parser = parser
        self.max_requests_in_flight = max_requests_in_flight
        self.may_send_retry_after = may_send_retry_after
        self.is_ready = is_ready
        self.has_current_list = has_current_list
        self.in_flight: set[bytes] = set()
        self.response_counts: Counter[str] = Counter()  # final responses by result

    def parse_request(self, head: Request, in_flight: int) -> Call | ClientResponse:
        """Return the call of a request, or the response to one that is not forwarded.

        The identifier of a request with a call is in flight until ``request_ended``.
        """
        if head.target == READINESS_TARGET and head.method == "GET":
            return ClientResponse(200 if self.is_ready() else 503, [], b"")
        try:
            call = self.parser.parse(head)
        except InvalidRequestError as error:
            return self.invalid_request(error.status, error.detail)
        if call.request_id in self.in_flight:
            return self.invalid_request(409, "a request with this id is open")
        if not self.has_current_list():
            return self._unavailable("no endpoint list")
        if in_flight >= self.max_requests_in_flight:
            return self._unavailable("too many in flight")
        self.in_flight.add(call.request_id)
        return call

    def _unavailable(self, reason: str) -> ClientResponse:
        self.response_counts[reason] += 1
        return ClientResponse(UNAVAILABLE, [], b"", kind="refused")

    def invalid_request(self, status: int, detail: str) -> ClientResponse:
        """Return the response to a request that is not valid."""
        self.response_counts["invalid"] += 1
        return ClientResponse(status, [], detail.encode(), kind="refused")

    def rejected(self, action: policy.RejectRequest) -> ClientResponse:
        """Return 429 if the quota is exceeded, otherwise 503; add Retry-After if the policy sets it."""
        self.response_counts["over quota" if action.over_quota else "no capacity"] += 1
        headers = []
        if self.may_send_retry_after and action.retry_after_us > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_us / 1_000_000)))
        return ClientResponse(OVER_QUOTA if action.over_quota else UNAVAILABLE, headers, b"", kind="refused")

    def failed(self) -> ClientResponse:
        """Return 500, the response to a request that was possibly executed."""
        self.response_counts["failed"] += 1
        return ClientResponse(FAILED, [], b"", kind="failed")

    def before_response(self, _request: PendingRequest, response: ClientResponse, _took_us: int) -> None:
        """Count a successful response before it is sent."""
        if response.status == 200:
            self.response_counts["served"] += 1

    def request_ended(self, request: PendingRequest) -> None:
        """Allow the request's identifier to be used again."""
        assert isinstance(request.call, PlatformCall)
        self.in_flight.discard(request.call.request_id)
