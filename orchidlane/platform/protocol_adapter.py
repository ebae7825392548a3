"""The platform's clients: the front's side of the seam. Translates; decides nothing on a request."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from orchidlane import policy
from orchidlane.gateway.forwarding.pending_request import Answer, Exchange
from orchidlane.gateway.forwarding.protocol_adapter import Call
from orchidlane.http1 import Request
from orchidlane.platform.request_parsing import PlatformCall, Reader, Wrong

READY = b"/up"
BEYOND, BUSY, FAILED = 429, 503, 500


class PlatformClients:
    """Heads to calls, decisions to answers; the ids of requests in flight are told apart here."""

    whole_first = True

    def __init__(self, reader: Reader, open_most: int, retry_after: bool, ready: Callable[[], bool]) -> None:
        self.reader = reader
        self.open_most = open_most
        self.retry_after = retry_after
        self.ready = ready
        self.in_flight: set[bytes] = set()
        self.told: Counter[str] = Counter()  # final answers by kind

    def understand(self, head: Request, in_flight: int) -> Call | Answer:
        """A call whose id is now open, or an error."""
        if head.target == READY and head.method == "GET":
            return Answer(200 if self.ready() else 503, [], b"")
        try:
            call = self.reader.read(head)
        except Wrong as wrong:
            return self.wrong(wrong.status, wrong.detail)
        if call.id in self.in_flight:
            return self.wrong(409, "a request with this id is open")
        if in_flight >= self.open_most:
            return Answer(BUSY, [], b"", kind="refused")
        self.in_flight.add(call.id)
        return call

    def wrong(self, status: int, detail: str) -> Answer:
        """An error in a few words."""
        self.told["of no use"] += 1
        return Answer(status, [], detail.encode(), kind="refused")

    def refused(self, action: policy.RejectRequest) -> Answer:
        """429 beyond a quota, else 503; with the module's advice when to come back."""
        headers = []
        self.told["beyond quota" if action.over_quota else "no capacity"] += 1
        if self.retry_after and action.retry_after_us > 0:
            headers.append((b"Retry-After", b"%.3f" % (action.retry_after_us / 1_000_000)))
        return Answer(BEYOND if action.over_quota else BUSY, headers, b"", kind="refused")

    def failed(self) -> Answer:
        """Neither 429 nor 503: those say that a retry is harmless."""
        self.told["failed"] += 1
        return Answer(FAILED, [], b"", kind="failed")

    def answering(self, exchange: Exchange, answer: Answer, span: int) -> None:
        """Counted."""
        if answer.status == 200:
            self.told["served"] += 1

    def over(self, exchange: Exchange) -> None:
        """The id may come again."""
        assert isinstance(exchange.call, PlatformCall)
        self.in_flight.discard(exchange.call.id)
