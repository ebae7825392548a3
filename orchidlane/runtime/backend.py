"""What a world offers: the one interface of the real and the simulated one."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

from orchidlane.runtime.tasks import SchedulerInterface, Task

Address = tuple[str, int]  # host, port; a host that begins with "/" is the path of a Unix socket
Handle = Any  # a socket on its way to another process: only a world knows what is in it


class Stream(Protocol):
    """A connection. One task may read and one may write at a time."""

    sent_bytes: int  # bytes that left us: 0 proves that the other side saw nothing
    peer: Address
    is_input_exhausted: bool  # a try to read now would most likely be in vain

    def recv(self, max_bytes: int = 65536, deadline: int | None = None) -> bytes:
        """Bytes as they come, ``b""`` at the end of input.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def try_recv(self, max_bytes: int = 65536) -> bytes | None:
        """The same without waiting: None where there is nothing yet. Raises ConnectionClosedError."""

    def await_input(self, deadline: int | None = None) -> None:
        """Wait until something can be read, and leave it there.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def wake_on_input(self, task: Task) -> None:
        """Wake the task once something can be read; holds until it did or until the next read."""

    def wake_on_peer_close(self, task: Task) -> None:
        """The same once the other side has ended or reset the connection, whatever waits to be read."""

    def has_input(self) -> bool:
        """Whether something can be read at once: bytes, the end of input, or that it was reset."""

    def is_closed_by_peer(self) -> bool:
        """Whether the other side has ended or reset the connection, seen behind bytes that wait unread."""

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Hand all bytes over; waits while the other side does not take them.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def try_send(self, data: bytes) -> int:
        """Hand over what is taken without waiting; how many bytes. Raises ConnectionClosedError."""

    def half_close(self) -> None:
        """Send no more; reading goes on."""

    def close(self) -> None:
        """End the connection at once; over unread bytes that is a reset, see ``LingeringConnections``."""

    def abort(self) -> None:
        """Reset the connection."""

    def duplicate(self) -> Handle:
        """A second hold on the connection, to be sent to another process or kept."""

    def release(self) -> None:
        """Let our hold go and nothing else: whoever else holds the connection goes on with it."""

    # -- between processes of one machine, over a Unix socket

    def send_with_handle(self, data: bytes, handle: Handle, deadline: int | None = None) -> None:
        """The same as ``send`` with one handle along with the first byte; it is used up.

        Raises ConnectionClosedError, DeadlineExceededError.
        """

    def try_send_with_handle(self, data: bytes, handle: Handle) -> int:
        """The same as ``try_send`` with one handle, which is used up where a byte is taken.

        Raises ConnectionClosedError.
        """

    def receive_handle(self) -> Handle | None:
        """The next handle that came, in the order they were sent; None where none did, or it was lost."""

    def kill_peer(self) -> None:
        """End the process on the other side where it stands; our next read tells when it is gone."""


class Listener(Protocol):
    """A bound address that takes connections."""

    address: Address

    def accept(self, deadline: int | None = None) -> Stream:
        """The next connection.

        Raises ConnectionClosedError, DeadlineExceededError, and ConnectionFailedError out of descriptors.
        """

    def try_accept(self) -> Stream | None:
        """One that waits already, None where there is none.

        Raises ConnectionClosedError, and ConnectionFailedError as above.
        """

    def duplicate(self) -> Handle:
        """A second hold on the address and those who wait there."""

    def close(self) -> None:
        """Take no more; those waiting are reset, unless another process holds the address too."""


class DatagramSocket(Protocol):
    """A bound address for datagrams; sending never waits, and what does not fit is lost."""

    address: Address

    def recv(self, deadline: int | None = None) -> tuple[bytes, Address]:
        """The next datagram and where it came from. Raises ConnectionClosedError, DeadlineExceededError."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram, perhaps in vain."""

    def duplicate(self) -> Handle:
        """A second hold on the address and what waits there."""

    def close(self) -> None:
        """Give the address up."""


class Backend(Protocol):
    """Clock, randomness, network and files."""

    random: random.Random

    def attach(self, loop: SchedulerInterface) -> None:
        """Called once by the loop that lives in this world."""

    def now(self) -> int:
        """The clock in microseconds: near the time of day, and never going backwards."""

    def poll(self, timeout_us: int | None) -> None:
        """Wake the tasks whose I/O is ready; wait for it so many microseconds, None for ever."""

    def connect(self, address: Address, deadline: int | None = None) -> Stream:
        """A new connection. Raises ConnectionFailedError, DeadlineExceededError."""

    def listen(self, address: Address, backlog: int = 1024) -> Listener:
        """Take connections at an address; port 0 picks a free one."""

    def bind_datagrams(self, address: Address) -> DatagramSocket:
        """Take datagrams at an address; port 0 picks a free one."""

    def adopt_stream(self, handle: Handle) -> Stream:
        """The connection of a handle, as ours."""

    def adopt_listener(self, handle: Handle) -> Listener:
        """The listener of a handle, as ours."""

    def adopt_datagrams(self, handle: Handle) -> DatagramSocket:
        """The datagrams' address of a handle, as ours."""

    def close_handle(self, handle: Handle) -> None:
        """Let a handle go that nobody adopts."""

    def process_id(self) -> int:
        """The number of this process, which no other that lives has."""

    def clock_base(self) -> int:
        """What a process of the same machine needs to go on with this clock."""

    def follow_clock(self, base: int) -> None:
        """Go on with the clock of the process that this one follows."""

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        """Run long work that does no I/O of the loop's beside it, and wait for its value or exception."""

    def read_file(self, path: str) -> bytes | None:
        """A whole file, or None where there is none."""

    def write_file(self, path: str, data: bytes) -> None:
        """Replace a whole file so that a crash leaves the old or the new one."""

    def remove_file(self, path: str) -> None:
        """Take a file away, if there is one."""

    def append_file(self, path: str, data: bytes) -> None:
        """Add to the end of a file with one write."""


def parse_address(text: str) -> Address:
    """Host and port of ``host:port``, as somebody else told them. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"{text!r} is no address such as 10.0.0.4:3000")
    return host, int(port)


def format_address(address: Any) -> str:
    """An address as text."""
    return address[0] if address[0].startswith("/") else f"{address[0]}:{address[1]}"
