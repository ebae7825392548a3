"""Responses of the admin address for the golden tests."""

from __future__ import annotations

from typing import Any

from harness.gateway_harness import (
    GatewayHarness,
)


def without_build(value: Any) -> Any:
    """Bytes as text, and the build left out: each build has a name of its own."""
    if isinstance(value, dict):
        return {str(key): "" if key == "build" else without_build(part) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [without_build(part) for part in value]
    return value.hex() if isinstance(value, bytes) else value


def ask_admin(harness: GatewayHarness, target: str) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and body of an answer at the admin address."""
    stream = harness.backend.connect(("127.0.0.1", 8280))
    stream.send(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    status, headers, body = harness.answer(stream)
    return status, {name.decode(): value.decode() for name, value in headers}, body
