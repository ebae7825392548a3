"""Delivery of bytes, handles, the end of input and resets to one end of a simulated connection."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from orchidlane.runtime.simulated_backend.network import SimulatedNetwork
from orchidlane.runtime.simulated_backend.shared_resource import SharedResource, SimulatedHandle
from orchidlane.runtime.tasks import Process, Task

PARTITION_RETRY_DELAY_US = 10_000


class StreamDelivery(SharedResource):
    """The receiving side of one end of a connection.

    Deliveries take time and keep their order. Bytes and the end of input are delayed while a partition
    separates the two processes; a reset is not.
    """

    def __init__(self, network: SimulatedNetwork, process: Process) -> None:
        self.network = network
        self.process = process
        self.holders = {process: None}
        self.other_end: StreamDelivery
        self.is_unix = False
        self.is_closed = False  # by the local process
        self.is_input_ended = False  # the peer has closed its sending side
        self.is_reset = False
        self.inbox: deque[bytes] = deque()
        self.buffered_bytes = 0  # in flight to this end, or received and unread
        self.received_handles: deque[SimulatedHandle | None] = deque()  # None: lost, out of descriptors
        self.reader: Task | None = None
        self.reader_ignores_bytes = False  # the reader waits only for the end of input or a reset
        self.writer: Task | None = None
        self._last_delivery_at_us = 0  # time at which the last scheduled delivery arrives
        network.add_stream(process, self)

    # -- scheduled by the other end

    def schedule_bytes(self, data: bytes) -> None:
        """Schedule the delivery of bytes to this end."""
        self.buffered_bytes += len(data)
        self._schedule(self._receive_bytes, data)

    def schedule_end_of_input(self) -> None:
        """Schedule the delivery of the end of input to this end."""
        self._schedule(self._receive_end_of_input, None)

    def schedule_reset(self) -> None:
        """Schedule the delivery of a reset to this end."""
        self._schedule(self._receive_reset, None)

    def schedule_handle(self, handle: SimulatedHandle) -> None:
        """Schedule the delivery of a handle to this end."""
        self._schedule(self._receive_handle, handle)

    def _schedule(self, deliver: Callable[[Any], None], argument: Any) -> None:
        network = self.network
        when = max(self._last_delivery_at_us + 1, network.now() + network.random_delay_us())
        self._last_delivery_at_us = when
        network.loop.call_at_outside_processes(when, deliver, argument)

    # -- arrivals

    def _receive_bytes(self, data: bytes) -> None:
        if self._postpone_if_partitioned(self._receive_bytes, data):
            return
        if self.is_closed:
            self.buffered_bytes -= len(data)
            self._respond_with_reset()
            return
        self.inbox.append(data)
        if not self.reader_ignores_bytes:
            self._wake_reader()

    def _respond_with_reset(self) -> None:
        """Reset the other end, which has sent bytes to a closed socket."""
        if self.is_unix:
            self.other_end.schedule_reset()
        else:
            self.other_end._receive_reset(None)

    def _receive_end_of_input(self, _: None) -> None:
        if self._postpone_if_partitioned(self._receive_end_of_input, None):
            return
        self.is_input_ended = True
        self._wake_reader()

    def _postpone_if_partitioned(self, deliver: Callable[[Any], None], argument: Any) -> bool:
        """Return whether a partition blocks a delivery; if so, schedule a retry of the delivery."""
        if not self.network.is_partitioned(self.process, self.other_end.process):
            return False
        retry_at = self.network.now() + PARTITION_RETRY_DELAY_US
        self.network.loop.call_at_outside_processes(retry_at, deliver, argument)
        return True

    def _receive_reset(self, _: None) -> None:
        if not self.is_closed and not self.is_reset:
            self.is_reset = True
            if not self.is_unix:  # a Unix socket's earlier bytes can still be read
                self.inbox.clear()
            self._wake_reader()
            self._wake_writer()

    def _receive_handle(self, handle: SimulatedHandle) -> None:
        if self.is_closed:
            self.network.close_handle(handle)
        elif self.network.is_out_of_descriptors:
            self.received_handles.append(None)
            self.network.close_handle(handle)
        else:
            self.received_handles.append(handle)

    # -- waiting tasks

    def _wake_reader(self) -> None:
        task, self.reader = self.reader, None
        if task is not None:
            self.network.loop.wake(task)

    def _wake_writer(self) -> None:
        task, self.writer = self.writer, None
        if task is not None:
            self.network.loop.wake(task)
