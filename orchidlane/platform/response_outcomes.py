"""The platform's nodes: what an attempt's head looks like and what an answer means. No I/O, no decision."""

from __future__ import annotations

from orchidlane import http1
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange
from orchidlane.http1 import Response
from orchidlane.platform.discovery import Tracker
from orchidlane.platform.request_parsing import PlatformCall
from orchidlane.policy import Outcome
from orchidlane.runtime import Address
from orchidlane.runtime.backend import show

NOT_PROCESSED = b"x-not-processed"
REPORT = b"x-server-load"
REPORT_FORM = "TEXT "


class PlatformNodes:
    """Method, path, query, body and ids pass unchanged; the outcome table of the protocol."""

    passes_hints = False
    passes_streams = False
    cut_short = Outcome.CONNECT_FAILED  # half a request never runs

    def __init__(self, tracker: Tracker, report_names: tuple[str, ...]) -> None:
        self.tracker = tracker
        self.names = report_names

    def address(self, server: bytes) -> Address | None:
        """By the list's latest word."""
        return self.tracker.places.get(server)

    def phase(self, server: bytes) -> str:
        """By the list."""
        return self.tracker.phase(server)

    def head(self, exchange: Exchange, attempt: int, server: bytes, left: int) -> bytes:
        """An attempt's head; ``left`` microseconds."""
        call = exchange.call
        assert isinstance(call, PlatformCall)
        headers = [
            (b"Host", show(self.tracker.places[server]).encode()),
            (b"X-Request-ID", call.id),
            (b"X-Timeout", b"%.3f" % (left / 1_000_000)),
        ]
        if call.key:
            headers.append((b"Idempotency-Key", call.key))
        if exchange.body.length is None:
            headers.append((b"Transfer-Encoding", b"chunked"))
        elif exchange.head.method == "POST":
            headers.append((b"Content-Length", b"%d" % exchange.body.length))
        return http1.request_head(exchange.head.method, call.target, headers)

    def outcome(self, head: Response) -> Outcome:
        """200: served; 503 or 504 with the mark: turned away, it never ran; all else may have run."""
        if head.status == 200:
            return Outcome.SERVED
        if head.status in (503, 504) and http1.header(head.headers, NOT_PROCESSED) == b"1":
            return Outcome.ENDPOINT_FULL
        return Outcome.ERROR

    def report(self, head: Response) -> tuple[float, ...]:
        """``TEXT name=value, ...``; none where a value is missing or no number."""
        text = http1.header(head.headers, REPORT) if self.names else None
        if text is None:
            return ()
        found = dict(
            part.strip().partition("=")[::2]
            for part in text.decode("latin-1").removeprefix(REPORT_FORM).split(",")
        )
        try:
            values = tuple(float(found[name]) for name in self.names)
        except (KeyError, ValueError):
            return ()
        return values if all(0 <= value < 1e12 for value in values) else ()

    def answer(self, exchange: Exchange, head: Response) -> Answer:
        """The body alone is the host's."""
        return Answer(head.status, [])
