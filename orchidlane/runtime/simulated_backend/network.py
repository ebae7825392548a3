"""The faults of the simulated network, and the interface that the simulated sockets use."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, Protocol

from orchidlane.runtime.simulated_backend.shared_resource import SharedResource, SimulatedHandle
from orchidlane.runtime.tasks import Process, SchedulerInterface


@dataclass
class NetworkFaults:
    """Delays and faults of the network: ranges of microseconds, and probabilities from 0 to 1."""

    delay_us: tuple[int, int] = (50, 400)
    slow_probability: float = 0.001
    slow_delay_us: tuple[int, int] = (5_000, 40_000)
    datagram_loss_probability: float = 0.01
    datagram_duplication_probability: float = 0.005
    reset_probability: float = 0.0  # that sending bytes resets the connection instead


class SimulatedNetwork(Protocol):
    """The part of ``SimulatedBackend`` that its sockets use."""

    random: random.Random
    faults: NetworkFaults
    loop: SchedulerInterface
    is_out_of_descriptors: bool

    def now(self) -> int:
        """Return the virtual clock in microseconds."""

    def random_delay_us(self) -> int:
        """Return a random delay of one delivery, in microseconds."""

    def is_partitioned(self, process: Process, other_process: Process) -> bool:
        """Return whether a partition separates two processes."""

    def add_stream(self, process: Process, stream: SharedResource) -> None:
        """Record that a process holds a stream; killing the process resets the stream."""

    def remove_stream(self, process: Process, stream: SharedResource) -> None:
        """Record that a process no longer holds a stream."""

    def close_handle(self, handle: SimulatedHandle) -> None:
        """Close a handle that was not adopted."""

    def kill(self, process: Process) -> None:
        """Kill a process: its connections are reset and its addresses become free."""


def is_unix_address(address: Any) -> bool:
    """Return whether an address is the path of a Unix socket."""
    return bool(address[0].startswith("/"))
