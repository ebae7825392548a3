"""Responses of the admin API for the golden tests."""

from __future__ import annotations

from typing import Any

from harness.gateway_harness import GatewayHarness


def without_build(value: Any) -> Any:
    """Return a value with bytes as hex text and an empty ``build``, which differs between builds."""
    if isinstance(value, dict):
        return {str(key): "" if key == "build" else without_build(part) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [without_build(part) for part in value]
    return value.hex() if isinstance(value, bytes) else value


def request_admin(harness: GatewayHarness, target: str) -> tuple[int, dict[str, str], bytes]:
    """Send a GET to the admin API; return status, headers and body of the response."""
    stream = harness.backend.connect(("127.0.0.1", 8280))
    stream.send(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    status, headers, body = harness.answer(stream)
    return status, {name.decode(): value.decode() for name, value in headers}, body
