"""The interface that the real and the simulated backend implement: clock, randomness, network and files.

A deadline is a time of the backend's clock in microseconds; None means no limit. Every wait may raise
``Cancelled``.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from orchidlane.runtime.tasks import SchedulerInterface, Task

Address = tuple[str, int]  # host and port; a host that begins with "/" is the path of a Unix socket
Handle = Any  # a socket to be passed between processes; its type depends on the backend

MAX_PORT = 65_535


class Stream(Protocol):
    """A connection; at most one task may read and one may write at a time."""

    sent_bytes: int  # bytes handed to the network; 0 proves that the peer has received nothing
    peer: Address
    is_input_exhausted: bool  # the last read returned everything available: the next would probably wait

    def recv(self, max_bytes: int = 65536, deadline: int | None = None) -> bytes:
        """Wait for bytes and return them, ``b""`` at the end of input.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def try_recv(self, max_bytes: int = 65536) -> bytes | None:
        """Return the bytes that can be read now, ``b""`` at the end of input, None if a read would wait.

        Raises ConnectionClosedError.
        """

    def await_input(self, deadline: int | None = None) -> None:
        """Wait until a read would return at once, without reading.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def wake_on_input(self, task: Task) -> None:
        """Register a task to be woken once a read would return at once; return without waiting.

        The registration ends with the wake-up or with the next read.
        """

    def wake_on_peer_close(self, task: Task) -> None:
        """Register a task to be woken once the peer has closed or reset the connection; bytes do not wake it.

        The registration ends with the wake-up or with the next read.
        """

    def has_input(self) -> bool:
        """Return whether a read would return at once: with bytes, the end of input or a reset."""

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection, even if earlier bytes are unread."""

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Send all bytes, waiting while the socket buffer is full.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def try_send(self, data: bytes) -> int:
        """Send as many bytes as possible without waiting; return their number.

        Raises ConnectionClosedError.
        """

    def half_close(self) -> None:
        """Close the sending side; the connection can still be read."""

    def close(self) -> None:
        """Close the connection at once; unread bytes make this a reset (see ``LingeringConnections``)."""

    def abort(self) -> None:
        """Reset the connection."""

    def duplicate(self) -> Handle:
        """Return another handle of the connection, to be kept or passed to another process."""

    def release(self) -> None:
        """Close only this process's handle; the connection stays open in the processes that share it."""

    # -- between processes of one machine, over a Unix socket

    def send_with_handle(self, data: bytes, handle: Handle, deadline: int | None = None) -> None:
        """Send all bytes and pass a handle along with the first byte; the handle is consumed.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def try_send_with_handle(self, data: bytes, handle: Handle) -> int:
        """Send as many bytes as possible without waiting and pass a handle along with the first byte.

        Return the number of bytes; unless it is 0, the handle is consumed. Raises ConnectionClosedError.
        """

    def receive_handle(self) -> Handle | None:
        """Return the next handle in the order of sending, None if there is none or if it was lost."""

    def kill_peer(self) -> None:
        """Kill the peer's process; the next read of this stream returns once that process has exited."""


class Listener(Protocol):
    """A bound address that accepts connections."""

    address: Address

    def accept(self, deadline: int | None = None) -> Stream:
        """Wait for the next connection and return it.

        Raises ConnectionClosedError, DeadlineExceededError, and ConnectionFailedError when out of file
        descriptors.
        """

    def try_accept(self) -> Stream | None:
        """Return a connection that is already queued, None if there is none.

        Raises ConnectionClosedError, and ConnectionFailedError when out of file descriptors.
        """

    def duplicate(self) -> Handle:
        """Return another handle of the address and its queue of connections."""

    def close(self) -> None:
        """Close this process's handle; closing the last handle of all resets the queued connections."""


class DatagramSocket(Protocol):
    """A bound address for datagrams."""

    address: Address

    def recv(self, deadline: int | None = None) -> tuple[bytes, Address]:
        """Wait for the next datagram; return it with its sender's address.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram without waiting; it may be lost."""

    def duplicate(self) -> Handle:
        """Return another handle of the address and its queue of datagrams."""

    def close(self) -> None:
        """Close this process's handle."""


class Backend(Protocol):
    """Clock, randomness, network and files."""

    random: random.Random

    def attach(self, loop: SchedulerInterface) -> None:
        """Set the event loop that runs on this backend; the loop calls this once."""

    def now(self) -> int:
        """Return the clock in microseconds: close to the time of day, but never going backwards."""

    def poll(self, timeout_us: int | None) -> None:
        """Wake the tasks whose I/O is ready; wait at most ``timeout_us``, None for no limit."""

    def connect(self, address: Address, deadline: int | None = None) -> Stream:
        """Connect to an address and return the stream.

        Raises ConnectionFailedError, DeadlineExceededError.
        """

    def listen(self, address: Address, backlog: int = 1024) -> Listener:
        """Listen on an address; port 0 picks a free one. Raises OSError."""

    def bind_datagrams(self, address: Address) -> DatagramSocket:
        """Bind a datagram socket to an address; port 0 picks a free one. Raises OSError."""

    def adopt_stream(self, handle: Handle) -> Stream:
        """Return the stream of a handle that the current process has received."""

    def adopt_listener(self, handle: Handle) -> Listener:
        """Return the listener of a handle that the current process has received."""

    def adopt_datagrams(self, handle: Handle) -> DatagramSocket:
        """Return the datagram socket of a handle that the current process has received."""

    def close_handle(self, handle: Handle) -> None:
        """Close a handle that was not adopted."""

    def process_id(self) -> int:
        """Return the current process's identifier, unique among the running ones."""

    def clock_base(self) -> int:
        """Return the value from which ``follow_clock`` continues this clock in another process."""

    def follow_clock(self, base: int) -> None:
        """Continue the clock of another process of this machine, given its ``clock_base``."""

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        """Run long work while the event loop runs on; return its value or raise its exception.

        The work must not use the event loop.
        """

    def read_file(self, path: str) -> bytes | None:
        """Return a file's content, None where there is no such file. Raises OSError."""

    def write_file(self, path: str, data: bytes) -> None:
        """Replace a file so that a crash leaves either the old or the new content. Raises OSError."""

    def remove_file(self, path: str) -> None:
        """Remove a file, if there is one. Raises OSError."""

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file with a single write; create it if there is none. Raises OSError."""


def parse_address(text: str) -> Address:
    """Return the host and port of ``host:port``. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not host:port with a port of 1 to 65535, such as 10.0.0.4:3000")
    return host, int(port)


def format_address(address: Any) -> str:
    """Return an address as ``host:port``, or the path of a Unix socket."""
    return address[0] if address[0].startswith("/") else f"{address[0]}:{address[1]}"
