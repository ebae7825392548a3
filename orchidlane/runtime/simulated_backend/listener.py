"""Listeners of the simulated backend."""

from __future__ import annotations

from collections import deque

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionClosedError
from orchidlane.runtime.simulated_backend.bound_socket import BoundSocket
from orchidlane.runtime.simulated_backend.network import SimulatedNetwork
from orchidlane.runtime.simulated_backend.stream import SimulatedStream


class SimulatedListener(BoundSocket):
    """A bound address with a queue of connections that were not accepted yet."""

    def __init__(
        self,
        network: SimulatedNetwork,
        address: Address,
        backlog: int,
        listeners: dict[Address, SimulatedListener],
    ) -> None:
        super().__init__(network, address, listeners)
        self._backlog = backlog
        self._queue: deque[SimulatedStream] = deque()

    def is_full(self) -> bool:
        """Return whether the backlog is full, so that further connections are refused."""
        return len(self._queue) >= self._backlog

    def enqueue(self, stream: SimulatedStream) -> None:
        """Add a new connection to the queue."""
        self._queue.append(stream)
        self._wake_one_waiting()

    def accept(self, deadline: int | None = None) -> SimulatedStream:
        """Wait for the next connection and return it.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self.network.loop.yield_if_due()
        self._wait_for(self._queue, deadline)
        return self._take_next()

    def try_accept(self) -> SimulatedStream | None:
        """Return a connection that is already queued, None if there is none.

        Raises ConnectionClosedError.
        """
        if self.is_closed:
            raise ConnectionClosedError("the socket was closed locally")
        return self._take_next() if self._queue else None

    def _take_next(self) -> SimulatedStream:
        """Remove the first connection from the queue and return it, now held by the current process."""
        process = self.network.loop.process
        stream = self._queue.popleft()
        stream.holders = {process: None}
        self.network.remove_stream(stream.process, stream)
        stream.move_to(process)
        return stream

    def _discard_arrivals(self) -> None:
        while self._queue:
            self._queue.popleft().abort()
