"""A closed-loop load: each connection sends its next request as soon as the reply is complete."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

RECEIVE_BYTES = 1 << 16
SELECT_TIMEOUT_SECONDS = 0.1


class ReplyReader(Protocol):
    """Reads the replies of one connection."""

    error_count: int

    def receive(self, data: bytes) -> bool:
        """Return whether the reply is complete with these bytes."""
        ...


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Measurements of one load."""

    replies_per_second: float
    latencies_ms: list[float]
    error_count: int


@dataclass(slots=True)
class _Client:
    sock: socket.socket
    reader: ReplyReader
    sent_at: float

    def send(self, request: bytes) -> None:
        self.sent_at = time.perf_counter()
        self.sock.send(request)


def run_load(
    port: int,
    connection_count: int,
    seconds: float,
    request: bytes,
    new_reader: Callable[[], ReplyReader],
) -> LoadResult:
    """Load a port of the loopback address for some seconds.

    Raises RuntimeError if the server closes a connection.
    """
    selector = selectors.DefaultSelector()
    clients = [_connect(port, new_reader()) for _ in range(connection_count)]
    for client in clients:
        selector.register(client.sock, selectors.EVENT_READ, client)
        client.send(request)
    latencies_ms: list[float] = []
    ends_at = time.perf_counter() + seconds
    while time.perf_counter() < ends_at:
        for key, _ in selector.select(SELECT_TIMEOUT_SECONDS):
            ready_client: _Client = key.data
            if _receive(ready_client):
                latencies_ms.append((time.perf_counter() - ready_client.sent_at) * 1e3)
                ready_client.send(request)
    for client in clients:
        client.sock.close()
    error_count = sum(client.reader.error_count for client in clients)
    return LoadResult(len(latencies_ms) / seconds, latencies_ms, error_count)


def _connect(port: int, reader: ReplyReader) -> _Client:
    sock = socket.create_connection(("127.0.0.1", port))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return _Client(sock, reader, 0.0)


def _receive(client: _Client) -> bool:
    """Return whether the reply is complete."""
    data = client.sock.recv(RECEIVE_BYTES)
    if not data:
        raise RuntimeError("the server closed a connection")
    return client.reader.receive(data)


class HttpReplyReader:
    """Reads HTTP responses with a Content-Length; a status other than 200 counts as an error."""

    def __init__(self) -> None:
        self.error_count = 0
        self._body_remaining = 0  # bytes

    def receive(self, data: bytes) -> bool:
        """Return whether the response is complete with these bytes; its head must arrive in one piece."""
        if self._body_remaining:
            self._body_remaining -= len(data)
        else:
            head, _, body = data.partition(b"\r\n\r\n")
            self.error_count += not head.startswith(b"HTTP/1.1 200")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            self._body_remaining = length - len(body)
        return self._body_remaining <= 0
