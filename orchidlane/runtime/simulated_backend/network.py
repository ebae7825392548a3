"""What the sockets of the simulated backend need of it, and how its network behaves."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any, Protocol

from orchidlane.runtime.simulated_backend.shared_resource import SharedResource, SimulatedHandle
from orchidlane.runtime.tasks import Process, SchedulerInterface


@dataclass
class NetworkFaults:
    """How the network behaves: delays as ranges in microseconds, probabilities from 0 to 1."""

    delay_us: tuple[int, int] = (50, 400)
    slow_probability: float = 0.001
    slow_delay_us: tuple[int, int] = (5_000, 40_000)
    datagram_loss_probability: float = 0.01
    datagram_duplication_probability: float = 0.005
    reset_probability: float = 0.0  # of a connection, at each delivery


class SimulatedNetwork(Protocol):
    """The part of ``SimulatedBackend`` that its sockets use."""

    random: random.Random
    faults: NetworkFaults
    loop: SchedulerInterface
    is_out_of_descriptors: bool

    def now(self) -> int:
        """Return the virtual clock in microseconds."""

    def draw_delay(self) -> int:
        """Return how many microseconds one delivery takes."""

    def is_partitioned(self, one: Process, other: Process) -> bool:
        """Return whether two processes can't reach each other."""

    def add_stream(self, process: Process, stream: SharedResource) -> None:
        """Note that a process has a stream, which is reset when the process is killed."""

    def remove_stream(self, process: Process, stream: SharedResource) -> None:
        """Note that a process no longer has a stream."""

    def close_handle(self, handle: SimulatedHandle) -> None:
        """Close a handle that is not adopted."""

    def kill(self, process: Process) -> None:
        """Kill a process."""


def is_unix_address(address: Any) -> bool:
    """Return whether an address is the path of a Unix socket."""
    return bool(address[0].startswith("/"))
