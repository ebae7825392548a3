# Guards against bodies that take many times their bytes in memory, of clients and of endpoints (review/6).
import tracemalloc

import pytest
from harness.constants import MS
from harness.platform_harness import PlatformHarness, call, chunked_call, serve_every_request

from orchidlane.gateway.forwarding.request_body import RequestBody
from orchidlane.gateway.server.client_connection import MAX_RECEIVE_BYTES
from orchidlane.platform.resource_limits import MAX_BODY_BYTES, MAX_REQUEST_HEAD_BYTES
from orchidlane.runtime import EventLoop
from orchidlane.runtime.simulated_backend import SimulatedBackend

CLIENTS = 5
# A buffer that grows may hold an eighth more than its bytes; the rest is for the objects of a connection
MAX_CONNECTION_BYTES = MAX_BODY_BYTES * 9 // 8 + MAX_RECEIVE_BYTES + MAX_REQUEST_HEAD_BYTES + 16_384
CHUNK_BYTES = [1, 2, 3, 15, 16, 255, 4_096]


def chunked(body: bytes, chunk_bytes: int) -> bytes:
    """Return a body in chunks of one size, without the end."""
    pieces = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    return b"".join([b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces])


def send_bodies(harness, body: bytes) -> None:
    """Send a request with a chunked body on each of several connections at once, and wait."""
    for stream in [harness.connect() for _ in range(CLIENTS)]:
        harness.scope.spawn(stream.send, chunked_call() + body)
    harness.loop.sleep(300 * MS)


def grown_bytes(action) -> int:
    """Return by how much the memory of Python's objects grows through an action."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        action()
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("piece_bytes", [1, 2, 7, 100, 5_000])
def test_a_body_takes_about_its_bytes_in_memory_whatever_its_pieces(piece_bytes):
    body = RequestBody(EventLoop(SimulatedBackend(1)), MAX_BODY_BYTES + 1, None)

    def add_all() -> None:
        for start in range(0, MAX_BODY_BYTES - piece_bytes, piece_bytes):
            body.add(bytes([start % 256]) * piece_bytes)

    assert grown_bytes(add_all) <= MAX_BODY_BYTES * 9 // 8 + 1_024


@pytest.mark.parametrize("chunk_bytes", CHUNK_BYTES)
def test_clients_with_incomplete_chunked_bodies_take_memory_by_their_bytes(chunk_bytes):
    def test(harness) -> None:
        body = chunked(bytes(MAX_BODY_BYTES - 4_096), chunk_bytes)
        per_client = grown_bytes(lambda: send_bodies(harness, body)) / CLIENTS
        assert len(harness.gateway.http_server.connections) == CLIENTS
        assert per_client <= MAX_CONNECTION_BYTES

    PlatformHarness(serve_every_request).run(test)


@pytest.mark.parametrize("chunk_bytes", CHUNK_BYTES)
def test_clients_whose_body_was_rejected_hold_none_of_it_while_they_wait_for_their_error(chunk_bytes):
    def test(harness) -> None:
        body = chunked(bytes(MAX_BODY_BYTES + 1), chunk_bytes)
        per_client = grown_bytes(lambda: send_bodies(harness, body)) / CLIENTS
        assert len(harness.gateway.http_server.waiting_connections.rejected) == CLIENTS
        assert per_client <= MAX_REQUEST_HEAD_BYTES + 16_384

    PlatformHarness(serve_every_request).run(test)


@pytest.mark.parametrize("chunk_bytes", CHUNK_BYTES)
def test_responses_in_small_chunks_take_memory_by_their_bytes(chunk_bytes):
    body = bytes(MAX_BODY_BYTES - 4_096)

    def respond_without_end(harness, index, stream) -> None:
        harness.read_request(index, stream)
        stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, chunk_bytes))
        harness.loop.sleep(5_000 * MS)

    def test(harness) -> None:
        stream = harness.connect()

        def request() -> None:
            stream.send(call("read"))
            harness.loop.sleep(400 * MS)

        grown = grown_bytes(request)
        assert len(harness.seen) == 1
        assert grown <= MAX_CONNECTION_BYTES + 65_536  # one read from an endpoint

    PlatformHarness(respond_without_end).run(test)
