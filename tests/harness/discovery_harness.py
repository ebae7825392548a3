"""One gateway of the platform whose discovery misbehaves."""

from __future__ import annotations

from harness.platform_harness import (
    MS,
    SECOND,
    RealPlatformHarness,
)
from orchidlane.runtime import ConnectionClosedError


def serves(harness, index, stream):
    while True:
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def run(backend, test, *handlers, **changes):
    harness = backend(*(handlers or (serves,)), **changes)
    harness.run(test)
    return harness


def drains(harness, generation=2) -> None:
    """Discovery knows from now on that host 0 drains; whoever asks is told."""
    entry = harness.instance(0, "leaving")
    harness.discovery.hello = [{"generation": generation, "reset": False, "instances": [entry]}]


def is_drain_known(harness) -> bool:
    return harness.gateway.tracker.state(b"s-0") == "draining"


def within(harness, span: int) -> int:
    """Exact times are the simulated world's; over real connections a busy machine may take longer."""
    return 20 * SECOND if isinstance(harness, RealPlatformHarness) else span


def trickle(harness, piece: bytes) -> None:
    """Bytes that end no line, ever."""
    try:
        while True:
            harness.discovery.send(harness.discovery.streams[0], piece)
            harness.loop.sleep(200 * MS)
    except ConnectionClosedError:
        pass
