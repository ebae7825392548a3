"""Calls to a gateway's admin address for what versions need, sealed under the fleet's key."""

from __future__ import annotations

from orchidlane import http1
from orchidlane.http1 import Data, End, Malformed, Response
from orchidlane.rollout.version import seal_of
from orchidlane.runtime import Closed, Expired, Loop, NotConnected
from orchidlane.runtime.backend import Address

SEAL = b"orchidlane-seal"
PREFIX = b"/change/"
PURPOSE = "admin"
ANSWER_MOST = 1 << 16  # bytes of an answer that is no content


class FetchError(Exception):
    """No answer, or one that can't be used; says why."""


def call(
    loop: Loop,
    at: Address,
    secret: bytes,
    method: str,
    target: bytes,
    body: bytes = b"",
    *,
    by: int,
    most: int = ANSWER_MOST,
) -> tuple[int, bytes]:
    """Status and body of one call. Raises FetchError."""
    fields = [
        (b"host", b"admin"),
        (SEAL, seal_of(secret, PURPOSE, method, target, body).hex().encode()),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]
    try:
        stream = loop.world.connect(at, by)
    except (NotConnected, Expired) as wrong:
        raise FetchError(f"no connection: {wrong or 'in time'}") from None
    try:
        stream.send(http1.request_head(method, target, fields) + body, by)
        parser = http1.ResponseParser(http1.Limits(body=most))
        parser.expect(method)
        status, found = 0, bytearray()
        while True:
            event = parser.next_event()
            if event is None:
                if parser.ended:
                    raise FetchError("the answer ended early")
                parser.receive(stream.recv(deadline=by))
            elif isinstance(event, Response):
                status = event.status
            elif isinstance(event, Data):
                found += event.data
            elif isinstance(event, End):
                return status, bytes(found)
    except (Closed, Expired, Malformed) as wrong:
        raise FetchError(f"no whole answer: {wrong or 'in time'}") from None
    finally:
        stream.close()
