"""A platform gateway over real connections, with helpers to force the order of events.

All parties are tasks of one event loop in one process: bytes that a test sends without waiting are in the
gateway's socket buffer before the gateway runs again.
"""

from __future__ import annotations

from contextlib import suppress

from harness.constants import SECOND
from harness.platform_harness import OK, RealPlatformHarness, call
from orchidlane.runtime import ConnectionClosedError

CLOSE = "Connection: close"
UNREAD_BYTES = b"x" * 100_000  # more than the gateway reads ahead, less than its socket buffer holds


run = RealPlatformHarness.run_test


def responds_when_allowed(harness, index, stream):
    """Respond once the test sets ``harness.may_respond``."""
    while True:
        harness.read_request(index, stream)
        harness.until(lambda: harness.may_respond)
        stream.send(OK)


def silent(harness, index, stream):
    """Never respond; set ``harness.endpoint_saw_close`` when the connection is closed."""
    harness.read_request(index, stream)
    with suppress(ConnectionClosedError):
        while stream.recv():
            pass
    harness.endpoint_saw_close = True


def read_to_end(harness, stream) -> bytes:
    """Return all bytes up to an orderly close. Raises ConnectionClosedError on a reset."""
    received = b""
    while data := stream.recv(deadline=harness.loop.now() + 5 * SECOND):
        received += data
    return received


def endpoint_streams(harness) -> list:
    """Return the gateway's connections to endpoints."""
    streams = harness.backend.descriptors()
    return [stream for stream in streams if getattr(stream, "peer", ("", 0)) == (harness.host, 9000)]


def send_what_fits(stream, data: bytes) -> None:
    """Send as much as the socket buffers take without waiting."""
    while data and (sent_bytes := stream.try_send(data)):
        data = data[sent_bytes:]


class Gate:
    """Delays new connections to endpoints until ``open``, from the one with index ``first`` on.

    They are delayed after they are established and before the gateway uses them.
    """

    def __init__(self, harness, first: int = 0) -> None:
        self.harness, self.first = harness, first
        self.connection_count, self.is_open = 0, False
        self.waiting: list = []
        self.connect, harness.backend.connect = harness.backend.connect, self

    def __call__(self, address, deadline=None):
        """Connect, then wait for ``open`` if the connection is to be delayed."""
        stream = self.connect(address, deadline)
        if address[1] >= 9000:
            self.connection_count += 1
            if self.connection_count > self.first and not self.is_open:
                self.waiting.append(self.harness.loop.current)
                self.harness.loop.park(deadline)
        return stream

    def open(self) -> None:
        """Wake the waiting tasks, before bytes that arrive from now on are read."""
        self.is_open = True
        for task in self.waiting:
            self.harness.loop.wake(task)


def idle_client(harness):
    """Return a client that was served and then idle for long enough to be closed to make room."""
    client = harness.connect()
    client.send(call())
    assert harness.answer(client)[0] == 200
    harness.until(lambda: harness.gateway.http_server.waiting_connections.idle)
    next(iter(harness.gateway.http_server.waiting_connections.idle)).idle_since_us -= SECOND
    return client
