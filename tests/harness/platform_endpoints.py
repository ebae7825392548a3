"""Endpoints for tests of the platform's gateway, and a run of one test with them."""

from __future__ import annotations

from harness.platform_harness import OK, PlatformHarness

run = PlatformHarness.run_test


def serves(harness, index, stream):
    """Serve each request at once and keep its head."""
    while True:
        harness.heads.append(harness.read_request(index, stream)[0])
        stream.send(OK)


def silent(harness, index, stream):
    """Read requests and never respond."""
    while True:
        harness.read_request(index, stream)


def responds_with(answer: bytes):
    """Return an endpoint that gives every request the same response."""

    def handler(harness, index, stream):
        while True:
            harness.read_request(index, stream)
            stream.send(answer)

    return handler
