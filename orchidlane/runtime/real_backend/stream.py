"""Stream sockets: TCP, and Unix sockets that can pass descriptors (unix(7), ``SCM_RIGHTS``)."""

from __future__ import annotations

import array
import contextlib
import os
import signal
import socket
import struct
from collections import deque
from collections.abc import Iterable
from typing import Any

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionClosedError
from orchidlane.runtime.real_backend.polling import CLOSED_LOCALLY, DescriptorPoller, PolledDescriptor
from orchidlane.runtime.real_backend.unix_sockets import open_peer_pidfd

DESCRIPTOR = struct.Struct("i")  # encoding of a file descriptor in a control message
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 seconds: close(2) resets

ControlMessage = tuple[int, int, Any]  # level, type and data, as sendmsg() expects them


class RealStream(PolledDescriptor):
    """A connection over TCP or a Unix socket."""

    def __init__(self, poller: DescriptorPoller, sock: socket.socket, peer: Address) -> None:
        super().__init__(poller, sock)
        self.peer = peer
        self.sent_bytes = 0
        self.is_duplicated = False  # another descriptor may be open: only shutdown(2) closes the connection
        self.is_unix = sock.family == socket.AF_UNIX
        self._received_handles: deque[socket.socket | None] = deque()
        self._peer_pidfd = open_peer_pidfd(sock) if self.is_unix else None
        if not self.is_unix:
            with contextlib.suppress(OSError):  # already reset: the first read or write raises the error
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    # -- receiving

    def try_recv(self, max_bytes: int = 65536) -> bytes | None:
        """Return the bytes that can be read now, ``b""`` at the end of input, None if a read would wait.

        Raises ConnectionClosedError.
        """
        if self.is_closed:
            raise ConnectionClosedError(CLOSED_LOCALLY)
        try:
            return self._recv_with_handles(max_bytes) if self.is_unix else self.sock.recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None

    def recv(self, max_bytes: int = 65536, deadline: int | None = None) -> bytes:
        """Wait for bytes and return them, ``b""`` at the end of input.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self.poller.loop.yield_if_due()  # before the read: a cancellation must not lose bytes already read
        while True:
            data = None if self.is_input_exhausted and not self.is_closed else self.try_recv(max_bytes)
            if data is not None:
                self.is_input_exhausted = 0 < len(data) < max_bytes
                return data
            self.await_input(deadline)

    def await_input(self, deadline: int | None = None) -> None:
        """Wait until a read would return at once, without reading.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self.wait_read(deadline)
        self.is_input_exhausted = False

    def _recv_with_handles(self, max_bytes: int) -> bytes:
        """Return bytes, and queue the descriptors that arrived with them.

        A descriptor that the kernel dropped because this process has too many open is queued as None, so that
        the others keep their order.
        """
        data, control_messages, flags, _ = self.sock.recvmsg(max_bytes, socket.CMSG_SPACE(DESCRIPTOR.size))
        if flags & socket.MSG_CTRUNC:
            self._received_handles.append(None)
        for level, message_type, payload in control_messages:
            if (level, message_type) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                complete_part = payload[: len(payload) // DESCRIPTOR.size * DESCRIPTOR.size]
                for (fileno,) in DESCRIPTOR.iter_unpack(complete_part):
                    self._received_handles.append(socket.socket(fileno=fileno))
        received: bytes = data
        return received

    def receive_handle(self) -> socket.socket | None:
        """Return the next socket that the peer has passed, None if there is none or if it was lost."""
        return self._received_handles.popleft() if self._received_handles else None

    # -- sending

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Send all bytes, waiting while the socket buffer is full.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        sent = self._send_some(data)
        if sent < len(data):
            remaining = memoryview(data)[sent:]
            while remaining:
                if not (sent := self._send_some(remaining)):
                    self.wait_write(deadline)
                remaining = remaining[sent:]
        self.poller.loop.yield_if_due()

    def try_send(self, data: bytes) -> int:
        """Send as many bytes as the kernel accepts without waiting; return their number.

        Raises ConnectionClosedError.
        """
        return self._send_some(data)

    def send_with_handle(self, data: bytes, handle: socket.socket, deadline: int | None = None) -> None:
        """Send all bytes and pass a socket along with the first byte; the handle is then closed.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        try:
            while not (sent := self.try_send_with_handle(data, handle)):
                self.wait_write(deadline)
        finally:
            handle.close()
        if sent < len(data):
            self.send(data[sent:], deadline)

    def try_send_with_handle(self, data: bytes, handle: socket.socket) -> int:
        """Send what the kernel accepts without waiting and pass a socket along with the first byte.

        Return the number of bytes; unless it is 0, the handle is closed. Raises ConnectionClosedError.
        """
        descriptors = array.array("i", [handle.fileno()])
        sent = self._send_some(data, [(socket.SOL_SOCKET, socket.SCM_RIGHTS, descriptors)])
        if sent:
            handle.close()
        return sent

    def _send_some(
        self, data: bytes | memoryview, control_messages: Iterable[ControlMessage] | None = None
    ) -> int:
        if self.is_closed:
            raise ConnectionClosedError(CLOSED_LOCALLY)
        sent: int
        try:
            sent = self.sock.sendmsg([data], control_messages) if control_messages else self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None
        self.sent_bytes += sent
        return sent

    # -- closing

    def half_close(self) -> None:
        """Close the sending side; the connection can still be read."""
        if not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        """Reset the connection."""
        if not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Close the connection for all processes that share it, and received handles that were not taken."""
        if self.is_duplicated and not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        for handle in filter(None, self._received_handles):
            handle.close()
        self._received_handles.clear()
        self._close_peer_pidfd()
        super().close()

    def duplicate(self) -> socket.socket:
        """Return another descriptor of the connection."""
        self.is_duplicated = True
        return super().duplicate()

    def release(self) -> None:
        """Close only this process's descriptor; the connection stays open in the processes that share it."""
        self._close_peer_pidfd()
        super().close()

    # -- the peer's process

    def kill_peer(self) -> None:
        """Send SIGKILL to the peer's process; does nothing unless this is a Unix socket."""
        if self._peer_pidfd is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._peer_pidfd, signal.SIGKILL)

    def _close_peer_pidfd(self) -> None:
        if self._peer_pidfd is not None:
            os.close(self._peer_pidfd)
            self._peer_pidfd = None
