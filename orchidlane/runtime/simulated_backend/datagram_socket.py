"""Datagram sockets of the simulated backend."""

from __future__ import annotations

from collections import deque

from orchidlane.runtime.backend import Address
from orchidlane.runtime.simulated_backend.bound_socket import BoundSocket
from orchidlane.runtime.simulated_backend.network import SimulatedNetwork

MAX_QUEUED_DATAGRAMS = 256  # per socket; further datagrams are lost


class SimulatedDatagramSocket(BoundSocket):
    """A bound datagram socket; its datagrams are delayed, lost, duplicated and reordered."""

    def __init__(
        self,
        network: SimulatedNetwork,
        address: Address,
        datagram_sockets: dict[Address, SimulatedDatagramSocket],
    ) -> None:
        super().__init__(network, address, datagram_sockets)
        self._inbox: deque[tuple[bytes, Address]] = deque()

    def recv(self, deadline: int | None = None) -> tuple[bytes, Address]:
        """Wait for the next datagram; return it with its sender's address.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self._wait_for(self._inbox, deadline)
        self.network.loop.yield_if_due()
        return self._inbox.popleft()

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram without waiting; it may be lost."""
        network = self.network
        if network.loop.process.is_dead:
            return
        copies = 1 + (network.random.random() < network.faults.datagram_duplication_probability)
        for _ in range(copies):
            if network.random.random() >= network.faults.datagram_loss_probability:
                when = network.now() + network.random_delay_us()
                datagram = (bytes(data), tuple(address))
                network.loop.call_at_outside_processes(when, self._deliver, datagram)

    def _deliver(self, datagram: tuple[bytes, Address]) -> None:
        """Deliver a datagram of this socket to the socket bound to its address now, if there is one."""
        data, address = datagram
        receiver = self._bound_sockets.get(address)
        if receiver is not None and not self.network.is_partitioned(self.process, receiver.process):
            receiver.enqueue(data, self.address)

    def enqueue(self, data: bytes, sender: Address) -> None:
        """Add a datagram to the queue, unless it is full."""
        if len(self._inbox) < MAX_QUEUED_DATAGRAMS:
            self._inbox.append((data, sender))
            self._wake_one_waiting()
