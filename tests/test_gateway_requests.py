"""The path of a request through the gateway, over the simulated network."""

from __future__ import annotations

import json

import pytest
from harness.gateway_harness import (
    GET,
    KEY,
    LOW_LIMIT_PLANS,
    OK,
    good,
    request,
    run,
)

from orchidlane.http1 import header


def test_a_request_is_forwarded_and_its_response_returned():
    def test(harness):
        status, headers, body = harness.ask(GET)
        assert (status, body) == (200, b"ok")
        assert header(headers, b"via") == b"1.1 gw-0"
        assert header(headers, b"ratelimit").startswith(b'"basico";r=')

    harness = run(good, test=test)
    assert harness.seen == [(0, b"GET /v1/sheets/a")]


def test_neither_the_key_nor_hop_by_hop_headers_reach_the_endpoint():
    def endpoint(harness, index, stream):
        head, _ = harness.read_request(index, stream)
        names.update(dict(head.headers))
        stream.send(OK)

    names: dict[bytes, bytes] = {}
    raw = request(
        "GET", "/v1/sheets/a", "Connection: X-Hop\r\nX-Hop: 1\r\nX-Far: 2\r\nOrchidlane-Customer: 9\r\n"
    )
    run(endpoint, test=lambda harness: harness.ask(raw))
    assert names[b"x-far"] == b"2"
    assert names[b"orchidlane-customer"] == b"1"
    assert not {b"x-api-key", b"x-hop", b"connection"} & set(names)
    assert KEY not in b"".join(names.values())


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\n\r\n", 401),
        (b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\nX-Api-Key: other\r\n\r\n", 401),
        (request("GET", "/v1/nothing"), 404),
        (request("DELETE", "/v1/reports"), 405),
        (request("GET", "/v1/sheets/a", "Give-Up-After-Ms: soon\r\n"), 400),
        (request("PUT", "/v1/tests/1", body=b"x"), 400),
        (request("GET", "/v1/sheets/a%2fb"), 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
    ],
)
def test_an_invalid_request_gets_an_error_and_is_not_forwarded(raw, status):
    def test(harness):
        received_status, headers, body = harness.ask(raw)
        assert received_status == status
        assert header(headers, b"content-type") == b"application/problem+json"
        assert json.loads(body)["status"] == status

    assert run(good, test=test).seen == []


def test_a_request_beyond_the_quota_gets_429_and_may_be_retried():
    def test(harness):
        responses = [harness.ask(GET) for _ in range(30)]
        rejected = [response for response in responses if response[0] == 429]
        assert rejected
        assert all(int(header(headers, b"retry-after")) >= 1 for _, headers, _ in rejected)
        assert b"harmless" in rejected[0][2]
        assert len(harness.seen) == len(responses) - len(rejected)

    run(good, test=test, plans=LOW_LIMIT_PLANS)
