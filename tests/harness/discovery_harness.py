"""Helpers for tests of one platform gateway whose discovery is faulty."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

from harness.constants import MS, SECOND
from harness.platform_harness import PlatformHarness, RealPlatformHarness, serve_every_request
from orchidlane.runtime import ConnectionClosedError, Stream

REAL_TIMEOUT_US = 20 * SECOND
TRICKLE_INTERVAL_US = 200 * MS


def run(
    backend: type[PlatformHarness],
    test: Callable[[PlatformHarness], None],
    *handlers: Callable[[PlatformHarness, int, Stream], None],
    **changes: Any,
) -> PlatformHarness:
    """Run a test; unless handlers are given, with one endpoint that serves every request."""
    return backend.run_test(*(handlers or (serve_every_request,)), test=test, **changes)


def drain_endpoint(harness: PlatformHarness, generation: int = 2) -> None:
    """Make discovery send to each new watch, from now on, the event that endpoint 0 drains."""
    entry = harness.instance(0, "leaving")
    harness.discovery.first_events = [{"generation": generation, "reset": False, "instances": [entry]}]


def is_drain_known(harness: PlatformHarness) -> bool:
    """Return whether the gateway knows that endpoint 0 drains."""
    return harness.gateway.tracker.state(b"s-0") == "draining"


def timeout_us(harness: PlatformHarness, simulated_us: int) -> int:
    """Return ``simulated_us``, or a longer timeout for real connections, since the machine may be busy."""
    return REAL_TIMEOUT_US if isinstance(harness, RealPlatformHarness) else simulated_us


def trickle(harness: PlatformHarness, piece: bytes) -> None:
    """Send a piece that completes no object at intervals, until the connection is closed."""
    with suppress(ConnectionClosedError):
        while True:
            harness.discovery.send(harness.discovery.streams[0], piece)
            harness.loop.sleep(TRICKLE_INTERVAL_US)
