"""Writes responses to HTTP clients: buffered ones, the last one of a connection, and streamed ones."""

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
STREAM_TIMEOUT_FACTOR = 2  # of ``body_progress_us``, so that the timeout for the endpoint expires first
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class WriterState(Protocol):
    """The attributes of its server that a writer uses."""

    loop: EventLoop
    timeouts: Timeouts
    observer: ConnectionObserver | None


class ResponseWriter:
    """Writes responses to a connection's stream."""

    def __init__(self, server: WriterState) -> None:
        self._server = server

    def write(
        self, connection: ClientConnection, head: Request, response: ClientResponse, stays_open: bool
    ) -> bool:
        """Write a response; return whether the connection can serve another request.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        if response.stream is not None:
            return self._write_stream(connection, head, response, stays_open)
        has_body = head.method != "HEAD" and response.status not in STATUS_WITHOUT_BODY
        data = _response_head(response, stays_open, len(response.body) if has_body else None)
        send_all(connection.stream, data + response.body if has_body else data, self._deadline())
        return True

    def write_last(self, connection: ClientConnection, response: ClientResponse) -> None:
        """Write a response that announces the close of the connection."""
        if self._server.observer is not None:
            self._server.observer.response_started(connection.number)
        data = _response_head(response, stays_open=False, length=len(response.body)) + response.body
        connection.stream.send(data, self._deadline())

    def write_interim_responses(self, connection: ClientConnection, request: PendingRequest) -> None:
        """Write the interim responses of an endpoint, except to HTTP/1.0 clients (RFC 9110 section 15.2)."""
        interim_responses, request.interim_responses = request.interim_responses, []
        if not request.head.minor_version:
            return
        for interim in interim_responses:
            data = http1.response_head(interim.status, http1.end_to_end(interim.headers))
            connection.stream.send(data, self._deadline())

    def _write_stream(
        self, connection: ClientConnection, head: Request, response: ClientResponse, stays_open: bool
    ) -> bool:
        """Forward a large response piece by piece; return whether the connection can serve another request.

        If the endpoint fails, the connection is reset, so that the client detects the truncation.
        """
        pieces = response.stream
        assert pieces is not None
        is_chunked = head.minor_version == 1
        loop, timeouts = self._server.loop, self._server.timeouts
        headers = response.headers
        if is_chunked:
            headers = [*headers, (b"transfer-encoding", b"chunked")]
        if not stays_open or not is_chunked:
            headers = [*headers, (b"connection", b"close")]
        is_complete = False
        try:
            connection.stream.send(http1.response_head(response.status, headers), self._deadline())
            while (
                piece := pieces.take(loop.now() + STREAM_TIMEOUT_FACTOR * timeouts.body_progress_us)
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


def _response_head(response: ClientResponse, stays_open: bool, length: int | None) -> bytes:
    headers = response.headers
    if length is not None:
        headers = [*headers, (b"content-length", b"%d" % length)]
    if not stays_open:
        headers = [*headers, (b"connection", b"close")]
    return http1.response_head(response.status, headers)
