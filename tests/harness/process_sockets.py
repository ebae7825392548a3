"""The sockets between the test and a gateway process: requests that arrive, and bytes that nobody read."""

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

# Each request comes on a connection of its own
RESPONSE_AND_CLOSE = OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


def answer_next_request(host: socket.socket) -> None:
    """Answer the next request at an endpoint, and close its connection."""
    stream, _ = accept_request(host)
    with stream:
        stream.sendall(RESPONSE_AND_CLOSE)


def hosts_with_requests(gateway: PlatformProcess) -> list[socket.socket]:
    """Wait for a connection at any of the endpoints."""
    ready, _, _ = select.select(gateway.hosts, [], [], TIMEOUT_S)
    assert ready, "no request came"
    return ready


def unaccepted_bytes(*hosts: socket.socket) -> bytes:
    """Return what was received on connections not accepted yet; those without a request are ignored."""
    received = b""
    while ready := select.select(hosts, [], [], 0)[0]:
        for host in ready:
            stream, _ = host.accept()
            with stream:
                received += stream.recv(65_536) if select.select([stream], [], [], 0)[0] else b""
    return received


def unread_bytes(state: int | None, local_port: int, remote_port: int, kind: str = "tcp") -> list[int]:
    """Return the unread bytes of each socket of this machine between two ports, of which 0 is any.

    The sockets are those in a state of the kernel or, with None, in any (proc(5), net/tcp and net/udp).
    """
    rows = [row.split() for row in Path(f"/proc/net/{kind}").read_text().splitlines()[1:]]
    found = [row for row in rows if state in (None, int(row[3], 16))]
    return [
        int(row[4].split(":")[1], 16)
        for row in found
        if local_port in (0, int(row[1].split(":")[1], 16))
        and remote_port in (0, int(row[2].split(":")[1], 16))
    ]


ESTABLISHED, SYN_SENT = 1, 2


def unread_at(gateway: PlatformProcess, client: socket.socket) -> int:
    """Return how many of a client's bytes the gateway has not read."""
    return sum(unread_bytes(ESTABLISHED, gateway.port, client.getsockname()[1]))


def unread_datagrams(port: int) -> int:
    """Return the bytes of datagrams that wait at a UDP port of this machine."""
    return sum(unread_bytes(None, port, 0, "udp"))
