"""One request to an endpoint and its response, over one connection."""

from __future__ import annotations

from orchidlane import http1
from orchidlane.gateway.forwarding.connection_pool import EndpointConnection
from orchidlane.gateway.forwarding.pending_request import PendingRequest
from orchidlane.http1 import End, Response
from orchidlane.runtime import BACKGROUND, ConnectionClosedError, DeadlineExceededError, EventLoop

WRITE_SLICE_US = 50_000  # a blocked write looks for an early response at this interval
MAX_INTERIM_RESPONSES = 64  # before a final response; an endpoint that sends more is faulty
MAX_DRAINED_BYTES = 16_384  # longest body that is read and discarded to reuse its connection
FIRST_FINAL_STATUS = 200
CONTINUE = 100


class EndpointExchange:
    """Sends a request and reads its response; gives up at ``deadline``, a time of the loop's clock."""

    def __init__(
        self, loop: EventLoop, connection: EndpointConnection, request: PendingRequest, deadline: int
    ) -> None:
        self.loop = loop
        self.connection = connection
        self.request = request
        self.deadline = deadline

    # -- the request

    def send(self, head: bytes) -> bool:
        """Send head and body; return True where the endpoint responded before the request was complete.

        Raises DeadlineExceededError, ConnectionClosedError.
        """
        body = self.request.body
        if body.length == 0:
            return self._write(head)
        if body.is_complete:
            return self._write(self._complete_request(head))
        if self._write(head):
            return True
        offset = 0
        while (data := body.read(offset, self.deadline)) is not None:
            if self._has_early_response() or self._write(self._frame(data)):
                return True
            offset += len(data)
        return body.length is None and self._write(http1.last_chunk(body.trailers))

    def _complete_request(self, head: bytes) -> bytes:
        """Return head and body in one piece, so that most requests take a single write."""
        body = self.request.body
        parts = [head]
        offset = 0
        while (data := body.read(offset, self.deadline)) is not None:
            parts.append(self._frame(data))
            offset += len(data)
        if body.length is None:
            parts.append(http1.last_chunk(body.trailers))
        return b"".join(parts)

    def _frame(self, data: bytes) -> bytes:
        return http1.chunk(data) if self.request.body.length is None else data

    def _has_early_response(self) -> bool:
        data = self.connection.stream.try_recv()
        if data is not None:
            self.connection.parser.receive(data)
        return data is not None

    def _write(self, data: bytes) -> bool:
        """Write ``data``; return True, without writing the rest, once the endpoint starts to respond."""
        stream = self.connection.stream
        while data:
            sent_before = stream.sent_bytes
            try:
                stream.send(data, min(self.deadline, self.loop.now() + WRITE_SLICE_US))
            except DeadlineExceededError:
                data = data[stream.sent_bytes - sent_before :]
                if self.loop.now() >= self.deadline:
                    raise
                if self._has_early_response():
                    return True
            else:
                return False
        return False

    # -- the response

    def receive_final_head(self, forwards_interim_responses: bool) -> Response:
        """Read the head of the final response; forward interim responses to the client if asked to.

        Raises DeadlineExceededError, ConnectionClosedError, ProtocolError.
        """
        for _ in range(MAX_INTERIM_RESPONSES):
            event = self.next_event()
            assert isinstance(event, Response)
            if event.status >= FIRST_FINAL_STATUS:
                return event
            # the gateway sends 100 Continue itself and forwards other 1xx responses (RFC 9110 section 15.2)
            if event.status > CONTINUE and forwards_interim_responses:
                self.request.add_interim_response(event)
        raise http1.ProtocolError(502, "too many interim responses before the final response")

    def next_event(self) -> http1.Event:
        """Read the next event of the response; after many that have arrived together, others run first.

        Raises DeadlineExceededError, ConnectionClosedError, ProtocolError.
        """
        self.loop.yield_if_due(BACKGROUND, self.deadline)
        connection = self.connection
        parser = connection.parser
        while (event := parser.next_event()) is None:
            data = connection.stream.recv(deadline=self.deadline)
            parser.receive(data)
            connection.has_response_bytes = connection.has_response_bytes or bool(data)
            if not data and (event := parser.next_event()) is None:
                raise ConnectionClosedError(
                    "the endpoint closed the connection before its response was complete"
                )
            if event is not None:
                return event
        return event

    def drain(self, head: Response) -> bool:
        """Read and discard a short body; return whether the connection can be reused."""
        if not head.keep_alive or head.body_length is None or head.body_length > MAX_DRAINED_BYTES:
            return False
        while not isinstance(self.next_event(), End):
            pass
        return self.finish(head)

    def finish(self, head: Response) -> bool:
        """Prepare the parser for the next response; return whether the connection can be reused."""
        if not head.keep_alive or self.connection.parser.pending_bytes:
            return False
        self.connection.parser.next_message()
        return True
