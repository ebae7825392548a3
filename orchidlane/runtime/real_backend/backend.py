"""The real backend: non-blocking sockets with ``select.poll``, the machine's clock, durable files."""

from __future__ import annotations

import errno
import os
import random
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from orchidlane.runtime.backend import Address, format_address
from orchidlane.runtime.errors import ConnectionFailedError
from orchidlane.runtime.real_backend import files, unix_sockets
from orchidlane.runtime.real_backend.datagram_socket import RealDatagramSocket
from orchidlane.runtime.real_backend.listener import RealListener
from orchidlane.runtime.real_backend.polling import DescriptorPoller
from orchidlane.runtime.real_backend.stream import RealStream
from orchidlane.runtime.real_backend.wakeup_pipe import WakeupPipe


class RealBackend(DescriptorPoller):
    """Sockets, clock and files of this machine.

    The clock is the time of day when the process started plus the monotonic time since then. So the clocks of
    two gateways differ no more than those of their machines did at the start, and a later step of the
    machine's time of day does not affect a running process.
    """

    def __init__(self, seed: int | None = None) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self._clock_offset_ns = time.time_ns() - time.monotonic_ns()

    # -- clock and process

    def now(self) -> int:
        """Return the clock in microseconds."""
        return (time.monotonic_ns() + self._clock_offset_ns) // 1_000

    def clock_base(self) -> int:
        """Return the offset of the clock from the machine's monotonic clock, in nanoseconds."""
        return self._clock_offset_ns

    def follow_clock(self, base: int) -> None:
        """Use the clock of another process of this machine, given its ``clock_base``."""
        self._clock_offset_ns = base

    def process_id(self) -> int:
        """Return this process's identifier."""
        return os.getpid()

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        """Run ``work`` in a thread while the event loop runs on; return its value or raise its exception."""
        pipe = WakeupPipe(self)
        results: list[tuple[Any, BaseException | None]] = []

        def run() -> None:
            try:
                results.append((work(), None))
            except BaseException as error:
                results.append((None, error))
            pipe.close_writer()

        threading.Thread(target=run, name="worker", daemon=True).start()
        try:
            pipe.recv()
        finally:
            pipe.close()
        value, error = results[0]
        if error is not None:
            raise error
        return value

    # -- network

    def connect(self, address: Address, deadline: int | None = None) -> RealStream:
        """Connect to an address and return the stream.

        Raises ConnectionFailedError, DeadlineExceededError.
        """
        try:
            sock = socket.socket(_address_family(address), socket.SOCK_STREAM)
        except OSError as error:
            raise ConnectionFailedError(str(error)) from None
        sock.setblocking(False)
        stream = RealStream(self, sock, address)
        try:
            _connect_socket(stream, sock, deadline)
        except BaseException:
            stream.close()
            raise
        return stream

    def listen(self, address: Address, backlog: int = 1024) -> RealListener:
        """Listen on an address; port 0 picks a free one. Raises OSError."""
        sock = socket.socket(_address_family(address), socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            if sock.family == socket.AF_UNIX:
                unix_sockets.bind_path(sock, address[0])
            else:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(address)
            sock.listen(backlog)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, error.strerror, format_address(address)) from None
        return RealListener(self, sock)

    def bind_datagrams(self, address: Address) -> RealDatagramSocket:
        """Bind a UDP socket to an address; port 0 picks a free one. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(address)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, error.strerror, format_address(address)) from None
        return RealDatagramSocket(self, sock)

    # -- sockets passed between processes

    def adopt_stream(self, handle: socket.socket) -> RealStream:
        """Return the stream of a socket received from another process."""
        handle.setblocking(False)
        return RealStream(self, handle, ("", 0))

    def adopt_listener(self, handle: socket.socket) -> RealListener:
        """Return the listener of a socket received from another process."""
        handle.setblocking(False)
        return RealListener(self, handle)

    def adopt_datagrams(self, handle: socket.socket) -> RealDatagramSocket:
        """Return the datagram socket of a socket received from another process."""
        handle.setblocking(False)
        return RealDatagramSocket(self, handle)

    def close_handle(self, handle: socket.socket) -> None:
        """Close a handle that was not adopted."""
        handle.close()

    # -- files

    def read_file(self, path: str) -> bytes | None:
        """Return a file's content, None where there is no such file. Raises OSError."""
        return files.read_file(path)

    def write_file(self, path: str, data: bytes) -> None:
        """Replace a file atomically and durably. Raises OSError."""
        files.write_file(path, data)

    def remove_file(self, path: str) -> None:
        """Remove a file, if there is one. Raises OSError."""
        files.remove_file(path)

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file with a single write. Raises OSError."""
        files.append_file(path, data)


def _address_family(address: Address) -> socket.AddressFamily:
    return socket.AF_UNIX if address[0].startswith("/") else socket.AF_INET


def _socket_address(address: Address) -> str | Address:
    """Return an address in the form that the socket module expects."""
    return address[0] if address[0].startswith("/") else address


def _connect_socket(stream: RealStream, sock: socket.socket, deadline: int | None) -> None:
    """Connect a stream's socket to its peer.

    Raises ConnectionFailedError, DeadlineExceededError.
    """
    error_number = sock.connect_ex(_socket_address(stream.peer))
    if error_number == errno.EINPROGRESS:
        stream.wait_write(deadline)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise ConnectionFailedError(os.strerror(error_number))
