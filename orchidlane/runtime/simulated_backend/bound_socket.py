"""The common base of the listeners and datagram sockets of the simulated backend."""

from __future__ import annotations

from collections import deque
from typing import Any

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionClosedError
from orchidlane.runtime.simulated_backend.network import SimulatedNetwork
from orchidlane.runtime.simulated_backend.shared_resource import SharedResource
from orchidlane.runtime.tasks import Process, Task


class BoundSocket(SharedResource):
    """A socket bound to an address; tasks of the processes that hold it wait for connections or datagrams."""

    def __init__(
        self, network: SimulatedNetwork, address: Address, bound_sockets: dict[Address, Any]
    ) -> None:
        self.network = network
        self.address = address
        self.holders = {network.loop.process: None}
        self.is_closed = False
        self._bound_sockets = bound_sockets  # all listeners, or all datagram sockets, by address
        self._waiting_tasks: list[Task] = []

    @property
    def process(self) -> Process:
        """One of the processes that hold the socket; all of them run on one machine."""
        holding_processes = (holder for holder in self.holders if isinstance(holder, Process))
        return next(holding_processes, self.network.loop.main_process)

    def _wait_for(self, arrivals: deque[Any], deadline: int | None) -> None:
        """Wait until the queue of arrivals is not empty.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        loop = self.network.loop
        while True:
            if self.is_closed or loop.process not in self.holders:
                raise ConnectionClosedError("the socket was closed locally")
            if arrivals:
                return
            task = loop.current
            assert task is not None
            self._waiting_tasks.append(task)
            try:
                loop.park(deadline)
            finally:
                if task in self._waiting_tasks:
                    self._waiting_tasks.remove(task)

    def _wake_one_waiting(self) -> None:
        """Wake the task that has waited longest and was not woken otherwise, such as by its deadline."""
        while self._waiting_tasks:
            task = self._waiting_tasks.pop(0)
            if task.is_parked:
                self.network.loop.wake(task)
                return

    def close(self) -> None:
        """Close the current process's handle and wake its waiting tasks."""
        self.release_holder(self.network.loop.process)
        for task in [task for task in self._waiting_tasks if task.process not in self.holders]:
            self.network.loop.wake(task)

    def _close_for_all(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._bound_sockets.pop(self.address, None)
        self._discard_arrivals()
        for task in self._waiting_tasks:
            self.network.loop.wake(task)

    def _discard_arrivals(self) -> None:
        """Discard the connections or datagrams that no task has taken."""
