"""Handlers of fake endpoints for tests of the platform's gateway; ``run`` runs one test with them."""

from __future__ import annotations

from harness.platform_harness import OK, PlatformHarness

run = PlatformHarness.run_test


def serves(harness, index, stream):
    """Serve each request at once and append its head to ``harness.heads``."""
    while True:
        harness.heads.append(harness.read_request(index, stream)[0])
        stream.send(OK)


def silent(harness, index, stream):
    """Read requests and never respond."""
    while True:
        harness.read_request(index, stream)


def responds_with(response: bytes):
    """Return the handler of an endpoint that sends the same response to every request."""

    def handler(harness, index, stream):
        while True:
            harness.read_request(index, stream)
            stream.send(response)

    return handler
