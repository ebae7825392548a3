"""Client of the rollout API at the gateways' admin addresses; calls are sealed under the fleet's key."""

from __future__ import annotations

from typing import NamedTuple

from orchidlane import http1
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.http1 import Data, End, ProtocolError, Response
from orchidlane.rollout.version import compute_seal
from orchidlane.runtime import (
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
)
from orchidlane.runtime.backend import Address

SEAL_HEADER = b"orchidlane-seal"
PATH_PREFIX = b"/change/"
SEAL_PURPOSE = "admin"
MAX_RESPONSE_BYTES = 1 << 16  # callers that fetch content files pass a larger limit


class AdminCallError(Exception):
    """A call got no usable response; the message says why."""


class AdminResponse(NamedTuple):
    """Status code and body of a response."""

    status: int
    body: bytes


class AdminClient:
    """Calls the rollout API of the fleet's gateways by their rank."""

    def __init__(self, loop: EventLoop, fleet: FleetSettings, secret: bytes) -> None:
        self.loop = loop
        self.fleet = fleet
        self.secret = secret

    def call(
        self,
        rank: int,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        timeout_us: int,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> AdminResponse:
        """Call a path below ``PATH_PREFIX`` of one gateway. Raises AdminCallError."""
        return call_admin_api(
            self.loop,
            parse_host_port(self.fleet.gateways[rank].admin),
            self.secret,
            method,
            PATH_PREFIX + path.encode(),
            body,
            deadline_us=self.loop.now() + timeout_us,
            max_response_bytes=max_response_bytes,
        )


def call_admin_api(
    loop: EventLoop,
    admin_address: Address,
    secret: bytes,
    method: str,
    target: bytes,
    body: bytes = b"",
    *,
    deadline_us: int,
    max_response_bytes: int = MAX_RESPONSE_BYTES,
) -> AdminResponse:
    """Make one call over a new connection. Raises AdminCallError."""
    fields = [
        (b"host", b"admin"),
        (SEAL_HEADER, compute_seal(secret, SEAL_PURPOSE, method, target, body).hex().encode()),
        (b"content-length", b"%d" % len(body)),
        (b"connection", b"close"),
    ]
    try:
        stream = loop.backend.connect(admin_address, deadline_us)
    except (ConnectionFailedError, DeadlineExceededError) as error:
        raise AdminCallError(f"connection failed: {error or 'timed out'}") from None
    try:
        stream.send(http1.request_head(method, target, fields) + body, deadline_us)
        return _receive_response(stream, method, deadline_us, max_response_bytes)
    except (ConnectionClosedError, DeadlineExceededError, ProtocolError) as error:
        raise AdminCallError(f"no complete response: {error or 'timed out'}") from None
    finally:
        stream.close()


def _receive_response(
    stream: Stream, method: str, deadline_us: int, max_response_bytes: int
) -> AdminResponse:
    parser = http1.ResponseParser(http1.ParserLimits(max_body_bytes=max_response_bytes))
    parser.expect_response_to(method)
    status = 0
    body = bytearray()
    while True:
        match parser.next_event():
            case None:
                if parser.input_ended:
                    raise AdminCallError("the connection was closed before the response was complete")
                parser.receive(stream.recv(deadline=deadline_us))
            case Response() as response:
                status = response.status
            case Data() as part:
                body += part.data
            case End():
                return AdminResponse(status, bytes(body))
