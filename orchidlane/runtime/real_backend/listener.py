"""Listening sockets."""

from __future__ import annotations

import errno
import socket

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionClosedError, ConnectionFailedError
from orchidlane.runtime.real_backend.polling import (
    CLOSED_LOCALLY,
    ERROR_BACKOFF_US,
    DescriptorPoller,
    PolledDescriptor,
)
from orchidlane.runtime.real_backend.stream import RealStream

RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# The errors of accept(2) that concern the listener; all others concern the new connection or the network.
LISTENER_ERRORS = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP)


class RealListener(PolledDescriptor):
    """A listening TCP or Unix socket."""

    def __init__(self, poller: DescriptorPoller, sock: socket.socket) -> None:
        super().__init__(poller, sock)
        name = sock.getsockname()
        self.address: Address = (name, 0) if isinstance(name, str) else name

    def accept(self, deadline: int | None = None) -> RealStream:
        """Wait for the next connection and return it.

        Raises ConnectionClosedError, DeadlineExceededError, and ConnectionFailedError when out of file
        descriptors.
        """
        self.poller.loop.yield_if_due()
        while True:
            try:
                if (stream := self.try_accept()) is not None:
                    return stream
            except OSError:  # concerns only the new connection, such as a reset before it was accepted
                self.poller.loop.sleep(ERROR_BACKOFF_US)
                continue
            self.wait_read(deadline)

    def try_accept(self) -> RealStream | None:
        """Return a connection that is already queued, None if there is none.

        Raises ConnectionClosedError, ConnectionFailedError when out of file descriptors, and OSError for an
        error that concerns only the new connection.
        """
        if self.is_closed:
            raise ConnectionClosedError(CLOSED_LOCALLY)
        try:
            sock, peer = self.sock.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in LISTENER_ERRORS:
                raise ConnectionClosedError(str(error)) from None
            if error.errno in RESOURCE_ERRORS:
                raise ConnectionFailedError(str(error)) from None
            raise
        sock.setblocking(False)
        return RealStream(self.poller, sock, peer or self.address)
