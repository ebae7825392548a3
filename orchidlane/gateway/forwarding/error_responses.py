"""The gateway's own error responses, as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import json
from http import HTTPStatus

from orchidlane import policy
from orchidlane.gateway.forwarding.client_response import ClientResponse

CONTENT_TYPE = (b"content-type", b"application/problem+json")
RETRY_IS_HARMLESS = "Not served; nothing was done, so trying again is harmless."
EFFECT_UNKNOWN = "Not served; whether it had an effect is not known."


def problem(status: int, detail: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> ClientResponse:
    """Return an error response that describes what is wrong."""
    title = HTTPStatus(status).phrase
    body = json.dumps({"type": "about:blank", "title": title, "status": status, "detail": detail}).encode()
    return ClientResponse(status, [CONTENT_TYPE, *headers], body, kind="refused")


def rejected(action: policy.RejectRequest) -> ClientResponse:
    """Return the response to a rejected request: 429 over the quota, else 503 (RFC 6585, RFC 9110)."""
    retry_after_s = max(1, -(-action.retry_after_us // 1_000_000))
    headers = ((b"retry-after", b"%d" % retry_after_s),)
    if action.over_quota:
        return problem(429, "Beyond the quota of the plan. " + RETRY_IS_HARMLESS, headers)
    return problem(503, "No capacity for this request in its time. " + RETRY_IS_HARMLESS, headers)


def failed() -> ClientResponse:
    """Return the response to a request that was possibly executed."""
    response = problem(502, EFFECT_UNKNOWN)
    response.kind = "failed"
    return response
