"""Calls of the operations of an OpenAPI description, parsed from request heads."""

from __future__ import annotations

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from orchidlane import http1
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.forwarding.call import Call
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.http1 import Request
from orchidlane.routes import Match

BEARER_PREFIX = b"bearer "


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationCall(Call):
    """A call of one operation by one customer; ``version`` is the fleet's configuration version."""

    match: Match
    owner: Customer
    version: str = ""


def operation_call(request: PendingRequest) -> OperationCall:
    """Return a request's call, which in the OpenAPI gateway is an operation's."""
    assert isinstance(request.call, OperationCall)
    return request.call


def api_key(head: Request, match: Match) -> bytes | None:
    """Return the API key: the first header or query parameter for keys that is set in the request."""
    for name in match.operation.key_headers:
        value = http1.header(head.headers, name)
        if value:
            return _without_scheme(value) if name == b"authorization" else value
    for key_name in match.operation.key_queries:
        for part in head.target.partition(b"?")[2].split(b"&"):
            name, _, value = part.partition(b"=")
            if unquote_to_bytes(name) == key_name.encode() and value:
                return unquote_to_bytes(value.replace(b"+", b" "))
    return None


def _without_scheme(value: bytes) -> bytes:
    has_scheme = value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX
    return value[len(BEARER_PREFIX) :] if has_scheme else value


def has_idempotency_key(head: Request, match: Match) -> bool:
    """Return whether a request has an idempotency key, or its operation declares no header for one."""
    name = match.operation.idempotency_header
    return name is None or bool(http1.header(head.headers, name))


def endpoint_target(target: bytes, match: Match) -> bytes:
    """Return the target with the canonical path that was matched, and without the customer's API key."""
    query = target.partition(b"?")[2]
    key_names = [name.encode() for name in match.operation.key_queries]
    if key_names:
        parts = query.split(b"&")
        query = b"&".join(
            part for part in parts if unquote_to_bytes(part.partition(b"=")[0]) not in key_names
        )
    path = match.path.encode("latin-1")
    return path + b"?" + query if query else path
