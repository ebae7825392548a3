"""Calls to a gateway's admin address for what versions need, sealed under the fleet's key."""

from __future__ import annotations

from orchidlane import http1
from orchidlane.http1 import Data, End, Malformed, Response
from orchidlane.rollout.version import compute_seal
from orchidlane.runtime import Closed, Expired, Loop, NotConnected
from orchidlane.runtime.backend import Address

SEAL_HEADER = b"orchidlane-seal"
PATH_PREFIX = b"/change/"
SEAL_PURPOSE = "admin"
MAX_RESPONSE_BYTES = 1 << 16  # bytes of an answer that is no content


class AdminCallError(Exception):
    """No answer, or one that can't be used; says why."""


def call_admin_api(
    loop: Loop,
    admin_address: Address,
    secret: bytes,
    method: str,
    target: bytes,
    body: bytes = b"",
    *,
    deadline_us: int,
    max_response_bytes: int = MAX_RESPONSE_BYTES,
) -> tuple[int, bytes]:
    """Status and body of one call. Raises FetchError."""
    fields = [
        (b"host", b"admin"),
        (SEAL_HEADER, compute_seal(secret, SEAL_PURPOSE, method, target, body).hex().encode()),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]
    try:
        stream = loop.world.connect(admin_address, deadline_us)
    except (NotConnected, Expired) as wrong:
        raise AdminCallError(f"no connection: {wrong or 'in time'}") from None
    try:
        stream.send(http1.request_head(method, target, fields) + body, deadline_us)
        parser = http1.ResponseParser(http1.Limits(body=max_response_bytes))
        parser.expect(method)
        status, found = 0, bytearray()
        while True:
            event = parser.next_event()
            if event is None:
                if parser.ended:
                    raise AdminCallError("the answer ended early")
                parser.receive(stream.recv(deadline=deadline_us))
            elif isinstance(event, Response):
                status = event.status
            elif isinstance(event, Data):
                found += event.data
            elif isinstance(event, End):
                return status, bytes(found)
    except (Closed, Expired, Malformed) as wrong:
        raise AdminCallError(f"no whole answer: {wrong or 'in time'}") from None
    finally:
        stream.close()
