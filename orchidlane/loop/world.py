"""What a world offers: the one interface of the real and the simulated one."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from .scheduler import Loop, Task

Address = tuple[str, int]  # host, port


class Stream(Protocol):
    """A connection. One task may read and one may write at a time."""

    sent: int  # bytes that left us: 0 proves that the other side saw nothing
    peer: Address
    drained: bool  # a try to read now would most likely be in vain

    def recv(self, most: int = 65536, deadline: int | None = None) -> bytes:
        """Bytes as they come, ``b""`` at the end of input. Raises Closed, Expired."""

    def try_recv(self, most: int = 65536) -> bytes | None:
        """The same without waiting: None where there is nothing yet. Raises Closed."""

    def watch(self, task: Task) -> None:
        """Wake the task once something can be read; holds until it did or until the next read."""

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Hand all bytes over; waits while the other side does not take them. Raises Closed, Expired."""

    def end(self) -> None:
        """Send no more; reading goes on."""

    def close(self) -> None:
        """End the connection in order; what was handed over is still brought."""

    def abort(self) -> None:
        """Reset the connection."""


class Listener(Protocol):
    """A bound address that takes connections."""

    address: Address

    def accept(self, deadline: int | None = None) -> Stream:
        """The next connection. Raises Closed, Expired, and NotConnected out of descriptors."""

    def close(self) -> None:
        """Take no more; those waiting are reset."""


class Datagrams(Protocol):
    """A bound address for datagrams; sending never waits, and what does not fit is lost."""

    address: Address

    def recv(self, deadline: int | None = None) -> tuple[bytes, Address]:
        """The next datagram and where it came from. Raises Closed, Expired."""

    def send(self, data: bytes, to: Address) -> None:
        """Send one datagram, perhaps in vain."""

    def close(self) -> None:
        """Give the address up."""


class World(Protocol):
    """Clock, randomness, network and files."""

    random: random.Random

    def attach(self, loop: Loop) -> None:
        """Called once by the loop that lives in this world."""

    def now(self) -> int:
        """The clock in microseconds: near the time of day, and never going backwards."""

    def poll(self, wait: int | None) -> None:
        """Wake the tasks whose I/O is ready; wait for it so many microseconds, None for ever."""

    def connect(self, to: Address, deadline: int | None = None) -> Stream:
        """A new connection. Raises NotConnected, Expired."""

    def listen(self, at: Address, backlog: int = 1024) -> Listener:
        """Take connections at an address; port 0 picks a free one."""

    def datagrams(self, at: Address) -> Datagrams:
        """Take datagrams at an address; port 0 picks a free one."""

    def aside(self, work: Callable[[], Any]) -> Any:
        """Run long work that does no I/O of the loop's beside it, and wait for its value or exception."""

    def read_file(self, path: str) -> bytes | None:
        """A whole file, or None where there is none."""

    def write_file(self, path: str, data: bytes) -> None:
        """Replace a whole file so that a crash leaves the old or the new one."""

    def remove_file(self, path: str) -> None:
        """Take a file away, if there is one."""

    def append_file(self, path: str, data: bytes) -> None:
        """Add to the end of a file with one write."""


def show(address: Any) -> str:
    """An address as text."""
    return f"{address[0]}:{address[1]}"
