"""Final answers of our own, as ``application/problem+json`` (RFC 9457)."""

from __future__ import annotations

import json
from http import HTTPStatus

from orchidlane import policy
from orchidlane.gateway.forwarding.pending_request import ClientResponse

TYPE = (b"content-type", b"application/problem+json")
HARMLESS = "Not served; nothing was done, so trying again is harmless."
UNKNOWN = "Not served; whether it had an effect is not known."


def problem(status: int, detail: str, headers: tuple[tuple[bytes, bytes], ...] = ()) -> ClientResponse:
    """An answer that says what is wrong with the request."""
    title = HTTPStatus(status).phrase
    body = json.dumps({"type": "about:blank", "title": title, "status": status, "detail": detail}).encode()
    return ClientResponse(status, [TYPE, *headers], body, kind="refused")


def refused(action: policy.RejectRequest) -> ClientResponse:
    """Not served, and a repeat is harmless: 429 beyond a quota, else 503 (RFC 6585, RFC 9110)."""
    wait = max(1, -(-action.retry_after_us // 1_000_000))
    headers = ((b"retry-after", b"%d" % wait),)
    if action.over_quota:
        return problem(429, "Beyond the quota of the plan. " + HARMLESS, headers)
    return problem(503, "No capacity for this request in its time. " + HARMLESS, headers)


def failed() -> ClientResponse:
    """Not served, nothing promised."""
    answer = problem(502, UNKNOWN)
    answer.kind = "failed"
    return answer
