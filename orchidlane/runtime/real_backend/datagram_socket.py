"""UDP sockets."""

from __future__ import annotations

import contextlib
import socket

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionClosedError
from orchidlane.runtime.real_backend.polling import (
    CLOSED_LOCALLY,
    ERROR_BACKOFF_US,
    DescriptorPoller,
    PolledDescriptor,
)

MAX_DATAGRAM_BYTES = 65_536


class RealDatagramSocket(PolledDescriptor):
    """A bound UDP socket."""

    def __init__(self, poller: DescriptorPoller, sock: socket.socket) -> None:
        super().__init__(poller, sock)
        self.address: Address = sock.getsockname()

    def recv(self, deadline: int | None = None) -> tuple[bytes, Address]:
        """Wait for the next datagram; return it with its sender's address.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        while True:
            if self.is_closed:
                raise ConnectionClosedError(CLOSED_LOCALLY)
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                self.wait_read(deadline)
            except OSError:  # such as ECONNREFUSED, caused by an earlier send of this socket
                self.poller.loop.sleep(ERROR_BACKOFF_US)
            else:
                self.poller.loop.yield_if_due()
                return data, sender

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram without waiting; it is lost if the kernel does not accept it."""
        if not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.sendto(data, address)
