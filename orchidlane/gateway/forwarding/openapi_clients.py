"""The client side of the OpenAPI gateway: finds operations and customers, and builds error responses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from orchidlane import policy
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.forwarding import error_responses
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.error_responses import RETRY_IS_HARMLESS, problem
from orchidlane.gateway.forwarding.openapi_call import (
    OperationCall,
    api_key,
    endpoint_target,
    has_idempotency_key,
    operation_call,
)
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.http1 import Request
from orchidlane.routes import Match, Miss
from orchidlane.routes.generation import client_timeout_us

RETRY_AFTER_1_S = ((b"retry-after", b"1"),)


class ResponseCounter(Protocol):
    """Counts final responses."""

    def count_response(self, kind: str, class_name: str, took_us: int, /) -> None:
        """Count a final response, ``took_us`` microseconds after the request's first byte."""


class OpenApiClientAdapter:
    """Parses requests by the current snapshot's description and customers.

    See ``orchidlane.gateway.forwarding.protocol_adapter.ClientAdapter``. ``reason_not_to_serve`` returns ""
    while requests may be served. ``on_response`` is called with each request, its final response and the
    microseconds that it took.
    """

    needs_complete_request = False

    def __init__(
        self,
        fleet: FleetSettings,
        snapshot: Callable[[], ConfigurationSnapshot],
        driver: Callable[[], PolicyDriver],
        metrics: ResponseCounter,
        reason_not_to_serve: Callable[[], str] = str,
        on_response: Callable[[PendingRequest, ClientResponse, int], None] | None = None,
    ) -> None:
        self.fleet = fleet
        self.snapshot = snapshot
        self.driver = driver
        self.metrics = metrics
        self.on_response = on_response
        self.reason_not_to_serve = reason_not_to_serve

    def parse_request(self, head: Request, in_flight: int) -> Call | ClientResponse:
        """Return the call of a head, or the response to a request that is not forwarded."""
        snapshot = self.snapshot()
        if reason := self.reason_not_to_serve():
            return problem(503, f"Not served: {reason}. {RETRY_IS_HARMLESS}", RETRY_AFTER_1_S)
        match = snapshot.generation.match(head.method, head.target)
        if isinstance(match, Miss):
            return _miss_response(match)
        key = api_key(head, match)
        customer = snapshot.customers.by_key(key) if key is not None else None
        if customer is None:
            return problem(401, "No key of a customer.", ((b"www-authenticate", b"ApiKey"),))
        if customer.migrating:
            detail = f"The subscriber's set of gateways is on the move. {RETRY_IS_HARMLESS}"
            return problem(503, detail, RETRY_AFTER_1_S)
        return self._build_call(head, match, customer, snapshot, in_flight)

    def _build_call(
        self, head: Request, match: Match, customer: Customer, snapshot: ConfigurationSnapshot, in_flight: int
    ) -> Call | ClientResponse:
        operation = match.operation
        request_class = snapshot.generation.classes[operation.class_index]
        needs_key = request_class.idempotency is policy.Idempotency.IDEMPOTENT_WITH_KEY
        if needs_key and not has_idempotency_key(head, match):
            return problem(400, "This operation needs an idempotency key.")
        timeout_us = client_timeout_us(operation, head.headers, request_class.deadline_us)
        if timeout_us is None:
            return problem(400, "The time to give up after is no whole number of milliseconds.")
        if in_flight >= self.fleet.resource_limits.max_requests_in_flight:
            return problem(503, "Too many requests under way.", RETRY_AFTER_1_S)
        return OperationCall(
            class_index=operation.class_index,
            request_class=request_class,
            customer=customer.number,
            plan=customer.plan,
            units=operation.cost,
            replica_set_start=customer.replica_set_start,
            replica_set_size=customer.replica_set_size,
            timeout_us=timeout_us,
            target=endpoint_target(head.target, match),
            match=match,
            owner=customer,
            version=snapshot.version,
        )

    def invalid_request(self, status: int, detail: str) -> ClientResponse:
        """Return the response to a request that is not valid HTTP."""
        return problem(status, detail)

    def rejected(self, action: policy.RejectRequest) -> ClientResponse:
        """Return 429 over the quota, else 503."""
        return error_responses.rejected(action)

    def failed(self) -> ClientResponse:
        """Return 502: the request was possibly executed."""
        return error_responses.failed()

    def before_response(self, request: PendingRequest, response: ClientResponse, took_us: int) -> None:
        """Count, record and log a response; add headers with the customer's remaining quota."""
        recorder = self.driver().recorder
        class_name = operation_call(request).match.operation.class_name
        self.metrics.count_response(response.kind, class_name, took_us)
        if recorder is not None:
            recorder.record_response(request.number, response.status, response.kind, took_us)
        self._add_quota_headers(request, response)
        if self.on_response is not None:
            self.on_response(request, response, took_us)
        _log_response(self.snapshot(), request, response, took_us)

    def request_ended(self, request: PendingRequest) -> None:
        """Do nothing: this adapter keeps no state for a request."""

    def _add_quota_headers(self, request: PendingRequest, response: ClientResponse) -> None:
        """Add the configuration version and the remaining quota (draft-ietf-httpapi-ratelimit-headers)."""
        driver = self.driver()
        call = operation_call(request)
        customer = call.owner
        if call.version:
            response.headers.append((b"orchidlane-version", call.version.encode()))
        account = driver.gateway.accounts.get(customer.number)
        plan = driver.settings.plans[customer.plan]
        if account is None or not plan.rate:
            return
        name = customer.plan_name.encode()
        remaining = max(0, int(account.remaining))
        window_s = max(1, int(plan.burst / plan.rate))
        response.headers.append((b"ratelimit-policy", b'"%s";q=%d;w=%d' % (name, plan.burst, window_s)))
        response.headers.append((b"ratelimit", b'"%s";r=%d' % (name, remaining)))


def _miss_response(miss: Miss) -> ClientResponse:
    allow = ((b"allow", ", ".join(miss.allow).encode()),) if miss.allow else ()
    if miss.status == 204:
        return ClientResponse(204, list(allow), kind="served")
    return problem(miss.status, miss.detail, allow)


def _log_response(
    snapshot: ConfigurationSnapshot, request: PendingRequest, response: ClientResponse, took_us: int
) -> None:
    """Log one line for a request if ``log_requests`` is set; never log a key, a target or a body."""
    if not snapshot.log_requests:
        return
    call = operation_call(request)
    snapshot.log.info(
        "answered",
        request=request.number,
        customer=call.customer,
        operation=call.match.operation.name,
        **({"version": call.version} if call.version else {}),
        kind=response.kind,
        status=response.status,
        attempts=request.attempts,
        ms=took_us / 1_000,
    )
