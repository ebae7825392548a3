"""A platform's gateway over real connections, on which tests force the order of events.

All parties are tasks of one event loop in one process: what a test sends without waiting has arrived at the
gateway's machine before the gateway runs again.
"""

from __future__ import annotations

from contextlib import suppress

from harness.constants import SECOND
from harness.platform_harness import OK, RealPlatformHarness, call
from orchidlane.runtime import ConnectionClosedError

CLOSE = "Connection: close"
UNREAD_BYTES = b"x" * 100_000  # more than the gateway reads ahead, less than its machine takes


run = RealPlatformHarness.run_test


def responds_when_told(harness, index, stream):
    """Respond once the test sets ``harness.answer_now``."""
    while True:
        harness.read_request(index, stream)
        harness.until(lambda: harness.answer_now)
        stream.send(OK)


def silent(harness, index, stream):
    """Never respond; set ``harness.endpoint_saw_close`` when the connection is closed."""
    harness.read_request(index, stream)
    with suppress(ConnectionClosedError):
        while stream.recv():
            pass
    harness.endpoint_saw_close = True


def read_to_end(harness, stream) -> bytes:
    """Return all bytes up to an orderly close. Raises ConnectionClosedError for a reset."""
    found = b""
    while data := stream.recv(deadline=harness.loop.now() + 5 * SECOND):
        found += data
    return found


def endpoint_streams(harness) -> list:
    """Return the gateway's connections to endpoints."""
    streams = harness.backend.descriptors()
    return [one for one in streams if getattr(one, "peer", ("", 0)) == (harness.at, 9000)]


def send_what_fits(stream, data: bytes) -> None:
    """Send as much as the connection takes without a wait."""
    while data and (done := stream.try_send(data)):
        data = data[done:]


class Gate:
    """Delays connections to endpoints, from the ``first`` on, after they were made and before their use."""

    def __init__(self, harness, first: int = 0) -> None:
        self.harness, self.first = harness, first
        self.made, self.is_open = 0, False
        self.waiting: list = []
        self.connect, harness.backend.connect = harness.backend.connect, self

    def __call__(self, to, deadline=None):
        """Connect, and wait for ``open`` where the connection is to be delayed."""
        stream = self.connect(to, deadline)
        if to[1] >= 9000:
            self.made += 1
            if self.made > self.first and not self.is_open:
                self.waiting.append(self.harness.loop.current)
                self.harness.loop.park(deadline)
        return stream

    def open(self) -> None:
        """Let the waiting tasks go on before anything that arrives from now on is read."""
        self.is_open = True
        for task in self.waiting:
            self.harness.loop.wake(task)


def idle_client(harness):
    """Return a client that was served and is idle for long enough to be closed for capacity."""
    client = harness.connect()
    client.send(call())
    assert harness.answer(client)[0] == 200
    harness.until(lambda: harness.gateway.http_server.idle_connections)
    next(iter(harness.gateway.http_server.idle_connections)).idle_since_us -= SECOND
    return client
