"""What the simulated network delivers to one end of a connection."""

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

    Deliveries take time and keep their order. Bytes and the end of input wait while the two processes are
    partitioned; a reset does not.
    """

    def __init__(self, network: SimulatedNetwork, process: Process) -> None:
        self.network = network
        self.process = process
        self.holders = {process: None}
        self.other_end: StreamDelivery
        self.is_unix = False
        self.is_closed = False  # on our side
        self.is_input_ended = False  # the peer sends no more
        self.is_reset = False
        self.inbox: deque[bytes] = deque()
        self.buffered_bytes = 0  # in flight to us or not read yet
        self.received_handles: deque[SimulatedHandle | None] = deque()  # None: lost for want of a descriptor
        self.reader: Task | None = None
        self.reader_ignores_bytes = False  # the reader waits only for the end of input or a reset
        self.writer: Task | None = None
        self._last_delivery_us = 0  # when the latest scheduled delivery arrives
        network.add_stream(process, self)

    # -- scheduled by the other end

    def schedule_bytes(self, data: bytes) -> None:
        """Deliver bytes to this end."""
        self.buffered_bytes += len(data)
        self._schedule(self._receive_bytes, data)

    def schedule_end_of_input(self) -> None:
        """Deliver the end of input to this end."""
        self._schedule(self._receive_end_of_input, None)

    def schedule_reset(self) -> None:
        """Deliver a reset to this end."""
        self._schedule(self._receive_reset, None)

    def schedule_handle(self, handle: SimulatedHandle) -> None:
        """Deliver a handle to this end."""
        self._schedule(self._receive_handle, handle)

    def _schedule(self, deliver: Callable[[Any], None], argument: Any) -> None:
        network = self.network
        when = max(self._last_delivery_us + 1, network.now() + network.draw_delay())
        self._last_delivery_us = when
        network.loop.call_at_outside_processes(when, deliver, argument)

    # -- arrivals

    def _receive_bytes(self, data: bytes) -> None:
        if self._is_postponed(self._receive_bytes, data):
            return
        if self.is_closed:
            self.buffered_bytes -= len(data)
            self._answer_with_reset()
            return
        self.inbox.append(data)
        if not self.reader_ignores_bytes:
            self._wake_reader()

    def _answer_with_reset(self) -> None:
        """Reset the other end, which has sent bytes to a closed socket."""
        if self.is_unix:
            self.other_end.schedule_reset()
        else:
            self.other_end._receive_reset(None)

    def _receive_end_of_input(self, _: None) -> None:
        if self._is_postponed(self._receive_end_of_input, None):
            return
        self.is_input_ended = True
        self._wake_reader()

    def _is_postponed(self, deliver: Callable[[Any], None], argument: Any) -> bool:
        """Return whether a partition holds a delivery up, which is then tried again later."""
        if not self.network.is_partitioned(self.process, self.other_end.process):
            return False
        retry_at = self.network.now() + PARTITION_RETRY_DELAY_US
        self.network.loop.call_at_outside_processes(retry_at, deliver, argument)
        return True

    def _receive_reset(self, _: None) -> None:
        if not self.is_closed and not self.is_reset:
            self.is_reset = True
            if not self.is_unix:  # a Unix socket's earlier bytes are still read
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
