"""Compares a gateway's responses over its admin API, HTTP and RESP with golden files."""

from __future__ import annotations

import json
import struct
from typing import Any

import msgspec
from harness.constants import SECOND
from harness.gateway_harness import (
    GET,
    KEY,
    REPORT,
    SETTINGS,
    UPLOAD,
    GatewayHarness,
    good,
    request,
    resets_after,
)
from harness.golden_admin import request_admin, without_build
from harness.golden_files import check_golden

from orchidlane import resp
from orchidlane.gateway.control import settings_loader


def metric_lines(page: bytes) -> list[str]:
    """Return the metrics page without its help texts, whose wording may change."""
    return [line for line in page.decode().splitlines() if not line.startswith("# HELP ")]


def admin_responses() -> dict[str, Any]:
    """Return the responses of a gateway's admin API after a few requests."""
    responses: dict[str, Any] = {}

    def test(harness):
        for raw in (GET, REPORT, UPLOAD, GET, GET, b"nonsense\r\n\r\n"):
            harness.ask(raw)
        for target in ("/health", "/nothing", "/view?customer=nobody", "/change/status", "/change/content/x"):
            status, headers, body = request_admin(harness, target)
            responses[target] = [status, headers, body.decode()]
        status, headers, body = request_admin(harness, "/metrics")
        del headers["content-length"]
        responses["/metrics"] = [status, headers, metric_lines(body)]
        for target in ("/view", "/view?customer=1"):
            body = request_admin(harness, target)[2]
            responses[target] = without_build(msgspec.msgpack.decode(body))
        body, offset, frames = request_admin(harness, "/state")[2], 7, []
        responses["/state"] = [body[:offset].decode(), frames]
        while offset < len(body):
            length, _ = struct.unpack_from("<II", body, offset)
            frames.append(without_build(msgspec.msgpack.decode(body[offset + 8 : offset + 8 + length])))
            offset += 8 + length

    GatewayHarness(good, resets_after, good, seed=5).run(test)
    return responses


def test_the_admin_api_gives_the_golden_responses():
    check_golden("admin-answers", admin_responses())


def http_response(harness: GatewayHarness, raw: bytes) -> list:
    """Return status, headers and body of a response; of a problem+json body, only its keys and its status."""
    status, headers, body = harness.ask(raw)
    fields = {name.decode(): value.decode() for name, value in headers}
    if fields.get("content-type") != "application/problem+json":
        return [status, fields, body.decode()]
    fields.pop("content-length", None)
    problem = json.loads(body)
    return [status, fields, sorted(problem), problem["status"]]


def test_clients_over_http_get_the_golden_responses():
    """Covers served requests, each kind of error, and requests over the quota."""
    requests = {
        "served": GET,
        "served under a key": UPLOAD,
        "without a key": b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\n\r\n",
        "of no customer": b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\nX-Api-Key: other\r\n\r\n",
        "no such path": request("GET", "/v1/nothing"),
        "no such method": request("DELETE", "/v1/reports"),
        "a wrong patience": request("GET", "/v1/sheets/a", "Give-Up-After-Ms: soon\r\n"),
        "without its key": request("PUT", "/v1/tests/1", body=b"x"),
        "broken": b"nonsense\r\n\r\n",
    }
    responses: dict[str, Any] = {}

    def test(harness):
        for name, raw in requests.items():
            responses[name] = http_response(harness, raw)
        for number in range(30):
            responses[f"request {number}"] = http_response(harness, GET)

    def test_failure(harness):
        responses["may have run"] = http_response(harness, REPORT)

    GatewayHarness(good, good, seed=5, plans=settings_loader.parse_settings(SETTINGS, "fleet.cue").plans).run(
        test
    )
    GatewayHarness(resets_after, seed=5).run(test_failure)
    assert {response[0] for response in responses.values()} >= {200, 400, 401, 404, 405, 429, 502}
    check_golden("http-answers", responses)


def test_clients_over_resp_get_the_golden_replies():
    """Covers each command; replies are compared byte by byte."""
    key = KEY.decode()
    commands = [
        ["PING"], ["PING", "x"], ["ECHO", "x"], ["HELLO"], ["HELLO", "3"], ["SELECT", "0"], ["SELECT", "1"],
        ["CLIENT", "SETNAME", "a"], ["CLIENT", "GETNAME"], ["COMMAND", "COUNT"], ["COMMAND", "DOCS"],
        ["LIMIT.INFO"], ["LIMIT.PEEK", key], ["LIMIT.TAKE", key, "2"], ["LIMIT.TAKE", key, "100000"],
        ["LIMIT.TAKE", key, "1", "WITHIN", "5", "CLASS", "sheet-read"],
        ["LIMIT.TAKE", key, "2", "IDEMPOTENT", "t"], ["LIMIT.TAKE", key, "2", "IDEMPOTENT", "t"],
        ["LIMIT.GIVEBACK", key, "t"], ["LIMIT.GIVEBACK", key, "t"], ["LIMIT.GIVEBACK", key, "other"],
        ["LIMIT.RESERVE", key, "3", "FOR", "10000"], ["LIMIT.COMMIT", key, "RESERVED"],
        ["LIMIT.RELEASE", key, "RESERVED"],
        ["LIMIT.RELEASE", key, "0-0-1"], ["LIMIT.RELEASE", key, "none"],
        ["CL.THROTTLE", key, "2999", "1000", "1"], ["CL.THROTTLE", key, "2999", "1000", "1", "5"],
        ["CL.THROTTLE", key, "9", "10", "1"],
        ["LIMIT.TAKE", "of nobody", "1"], ["LIMIT.TAKE", key, "many"], ["LIMIT.TAKE"], ["NOTHING"],
        ["AUTH", "a password"], ["RESET"], ["QUIT"],
    ]  # fmt: skip
    replies = []

    def test(harness):
        harness.loop.sleep(4 * SECOND)  # after the token lifetime, the token owner no longer replies TRYAGAIN
        stream = harness.backend.connect(("127.0.0.1", 8380))
        reservation = ""
        for words in commands:
            arguments = [reservation if word == "RESERVED" else word for word in words]
            stream.send(resp.encode(arguments))
            harness.loop.sleep(500_000)
            reply = stream.recv(deadline=harness.loop.now() + SECOND).decode()
            reservation = reply.split("\r\n")[1] if words[0] == "LIMIT.RESERVE" else reservation
            # Only the code of an error is compared, as its wording may change.
            replies.append([words, reply.split()[0] if reply.startswith("-") else reply])

    fleet = settings_loader.parse_settings(SETTINGS, "fleet.cue")
    GatewayHarness(good, gateways=fleet.gateways[:1], seed=5).run(test)
    check_golden("resp-replies", replies)
