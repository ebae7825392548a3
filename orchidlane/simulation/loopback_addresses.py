"""Finds free addresses of the loopback interface for processes of scenarios, tests and benchmarks."""

from __future__ import annotations

import socket
from collections.abc import Collection

from orchidlane.runtime.backend import Address

LOOPBACK = "127.0.0.1"


def free_addresses(count: int, host: str = LOOPBACK, taken: Collection[Address] = ()) -> list[Address]:
    """Return TCP addresses that nothing listens on, none of them in ``taken``."""
    sockets: list[socket.socket] = []
    addresses: list[Address] = []
    while len(addresses) < count:
        sockets.append(socket.socket())
        sockets[-1].bind((host, 0))
        address = sockets[-1].getsockname()
        if address not in taken:
            addresses.append(address)
    for bound in sockets:
        bound.close()
    return addresses


def free_ports(count: int) -> list[int]:
    """Return TCP ports of the loopback address that nothing listens on."""
    return [port for _, port in free_addresses(count)]
