"""HTTP client for the admin addresses of gateways."""

from __future__ import annotations

import socket
from collections.abc import Iterator

from orchidlane import http1
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.gateway.telemetry.policy_views import ViewError
from orchidlane.http1 import Data, End, ProtocolError, Response

TIMEOUT_SECONDS = 5.0  # to connect, and for each part of a response
RECEIVE_BYTES = 1 << 16
HTTP_OK = 200


def fetch(admin: str, target: str, max_bytes: int) -> Iterator[bytes]:
    """Yield the body of a response from a gateway's admin address, in parts. Raises ViewError."""
    try:
        admin_address = parse_host_port(admin)
    except ValueError:
        raise ViewError(f"{admin}: neither a file nor an address in the form host:port") from None
    try:
        with socket.create_connection(admin_address, TIMEOUT_SECONDS) as connection:
            connection.sendall(http1.request_head("GET", target.encode(), [(b"host", b"admin")]))
            yield from _read_body(connection, admin, max_bytes)
    except ProtocolError as error:
        raise ViewError(f"{admin} did not send a valid HTTP response: {error}") from None
    except TimeoutError:
        raise ViewError(f"{admin} did not respond within {TIMEOUT_SECONDS:g} s") from None
    except OSError as error:
        raise ViewError(f"{admin}: {error.strerror or error}") from None


def _read_body(connection: socket.socket, admin: str, max_bytes: int) -> Iterator[bytes]:
    parser = http1.ResponseParser()
    status = 0
    error_text = b""
    size = 0
    while not isinstance(event := parser.next_event(), End):
        match event:
            case None:
                if parser.input_ended:
                    raise ViewError(f"{admin} closed the connection before the end of its response")
                parser.receive(connection.recv(RECEIVE_BYTES))
            case Response():
                status = event.status
            case Data():
                size += len(event.data)
                if size > max_bytes:
                    raise ViewError(f"{admin}: the response is larger than {max_bytes} bytes")
                if status == HTTP_OK:
                    yield event.data
                else:
                    error_text += event.data
    if status != HTTP_OK:
        raise ViewError(
            error_text.decode("utf-8", "replace").strip() or f"{admin} responded with status {status}"
        )
