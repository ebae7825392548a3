"""Writes responses to HTTP clients: complete ones, the last one of a connection, and streams."""

from __future__ import annotations

from typing import Protocol

from orchidlane import http1
from orchidlane.gateway.forwarding.client_response import ClientResponse
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.gateway.forwarding.protocol_adapter import Timeouts
from orchidlane.gateway.server.client_connection import ClientConnection, ConnectionObserver, send_all
from orchidlane.http1 import Request
from orchidlane.runtime import EventLoop

STATUS_WITHOUT_BODY = (204, 304)  # RFC 9110 section 6.4.1
STREAM_PIECE_WAITS = 2  # times the wait for a piece of a body: the endpoint's own wait ends first
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class WriterState(Protocol):
    """What a writer needs to know of its server."""

    loop: EventLoop
    timeouts: Timeouts
    observer: ConnectionObserver | None


class ResponseWriter:
    """Puts answers on a connection's stream."""

    def __init__(self, server: WriterState) -> None:
        self._server = server

    def write(self, connection: ClientConnection, head: Request, answer: ClientResponse, keep: bool) -> bool:
        """Write an answer; return whether the connection can go on.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        if answer.stream is not None:
            return self._write_stream(connection, head, answer, keep)
        has_body = head.method != "HEAD" and answer.status not in STATUS_WITHOUT_BODY
        data = _response_head(answer, keep, len(answer.body) if has_body else None)
        send_all(connection.stream, data + answer.body if has_body else data, self._deadline())
        return True

    def write_last(self, connection: ClientConnection, answer: ClientResponse) -> None:
        """Write an answer after which nothing of the connection can be understood."""
        if self._server.observer is not None:
            self._server.observer.response_started(connection.number)
        data = _response_head(answer, keep=False, length=len(answer.body)) + answer.body
        connection.stream.send(data, self._deadline())

    def write_hints(self, connection: ClientConnection, exchange: PendingRequest) -> None:
        """Write the interim responses of an endpoint; HTTP/1.0 has none (RFC 9110 section 15.2)."""
        hints, exchange.interim_responses = exchange.interim_responses, []
        if not exchange.head.minor_version:
            return
        for hint in hints:
            data = http1.response_head(hint.status, http1.end_to_end(hint.headers))
            connection.stream.send(data, self._deadline())

    def _write_stream(
        self, connection: ClientConnection, head: Request, answer: ClientResponse, keep: bool
    ) -> bool:
        """Forward a large answer piece by piece; reset where its endpoint failed, so that the cut shows."""
        pieces = answer.stream
        assert pieces is not None
        is_chunked = head.minor_version == 1
        loop, times = self._server.loop, self._server.timeouts
        headers = answer.headers
        if is_chunked:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        if not keep or not is_chunked:
            headers = [*headers, (b"connection", b"close")]
        is_complete = False
        try:
            connection.stream.send(http1.response_head(answer.status, headers), self._deadline())
            while (
                piece := pieces.take(loop.now() + STREAM_PIECE_WAITS * times.body_progress_us)
            ) is not None:
                data = http1.chunk(piece) if is_chunked else piece
                connection.stream.send(data, self._deadline())
            is_complete = not pieces.is_broken
        finally:
            if not is_complete:
                pieces.end(broken=True)
        if not is_complete:
            connection.stream.abort()
            return False
        if is_chunked:
            connection.stream.send(http1.last_chunk(pieces.trailers), self._deadline())
        return is_chunked

    def _deadline(self) -> int:
        return self._server.loop.now() + self._server.timeouts.client_write_us


def _response_head(answer: ClientResponse, keep: bool, length: int | None) -> bytes:
    headers = answer.headers
    if length is not None:
        headers = [*headers, (b"content-length", b"%d" % length)]
    if not keep:
        headers = [*headers, (b"connection", b"close")]
    return http1.response_head(answer.status, headers)
