"""Read the sockets between a test and a gateway process: received requests and unread bytes."""

from __future__ import annotations

import select
import socket
from pathlib import Path

from harness.platform_harness import OK
from harness.platform_processes import (
    TIMEOUT_S,
    PlatformProcess,
    accept_request,
)

# Closes the connection, so that each request arrives on a new one
RESPONSE_AND_CLOSE = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


def serve_next_request(endpoint: socket.socket) -> None:
    """Serve the next request at an endpoint, and close its connection."""
    stream, _ = accept_request(endpoint)
    with stream:
        stream.sendall(RESPONSE_AND_CLOSE)


def endpoints_with_connections(gateway: PlatformProcess) -> list[socket.socket]:
    """Return the endpoints with connections that are not accepted yet; wait until there is one."""
    ready, _, _ = select.select(gateway.endpoints, [], [], TIMEOUT_S)
    assert ready, "no endpoint received a connection before the timeout"
    return ready


def unaccepted_bytes(*endpoints: socket.socket) -> bytes:
    """Accept the connections that wait at endpoints, and return the bytes received on all of them."""
    received = b""
    while ready := select.select(endpoints, [], [], 0)[0]:
        for endpoint in ready:
            stream, _ = endpoint.accept()
            with stream:
                received += stream.recv(65_536) if select.select([stream], [], [], 0)[0] else b""
    return received


def unread_bytes(state: int | None, local_port: int, remote_port: int, kind: str = "tcp") -> list[int]:
    """Return the number of unread bytes of each socket of this machine that has these ports and this state.

    Port 0 and state None match any; ``state`` is a TCP state of the kernel (proc(5), net/tcp and net/udp).
    """
    rows = [row.split() for row in Path(f"/proc/net/{kind}").read_text().splitlines()[1:]]
    in_state = [row for row in rows if state in (None, int(row[3], 16))]
    return [
        int(row[4].split(":")[1], 16)
        for row in in_state
        if local_port in (0, int(row[1].split(":")[1], 16))
        and remote_port in (0, int(row[2].split(":")[1], 16))
    ]


ESTABLISHED, SYN_SENT = 1, 2


def unread_by_gateway(gateway: PlatformProcess, client: socket.socket) -> int:
    """Return the number of bytes that the gateway received from a client and has not read."""
    return sum(unread_bytes(ESTABLISHED, gateway.port, client.getsockname()[1]))


def unread_datagrams(port: int) -> int:
    """Return the number of bytes in the receive buffer of a UDP port of this machine."""
    return sum(unread_bytes(None, port, 0, "udp"))
