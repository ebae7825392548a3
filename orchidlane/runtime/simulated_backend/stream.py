"""Streams of the simulated backend."""

from __future__ import annotations

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionClosedError
from orchidlane.runtime.simulated_backend.network import SimulatedNetwork
from orchidlane.runtime.simulated_backend.shared_resource import SimulatedHandle
from orchidlane.runtime.simulated_backend.stream_delivery import StreamDelivery
from orchidlane.runtime.tasks import Process, Task

STREAM_WINDOW_BYTES = 65_536  # limit of bytes in flight or unread, beyond which senders wait


class SimulatedStream(StreamDelivery):
    """One end of a connection.

    The tasks of a killed process still run their cleanup; closing or resetting a stream then has no effect.
    """

    other_end: SimulatedStream

    def __init__(self, network: SimulatedNetwork, process: Process, peer: Address) -> None:
        super().__init__(network, process)
        self.peer = peer
        self.sent_bytes = 0
        self.is_input_exhausted = False  # never set, as an unsuccessful read costs nothing here
        self._is_half_closed = False

    def connect_to(self, other_end: SimulatedStream, *, is_unix: bool) -> None:
        """Make this stream and ``other_end`` the two ends of a connection."""
        self.other_end, other_end.other_end = other_end, self
        self.is_unix = other_end.is_unix = is_unix

    def move_to(self, process: Process) -> None:
        """Assign the stream to another process, which has accepted or adopted it."""
        self.process = process
        self.network.add_stream(process, self)

    def _raise_if_closed(self) -> None:
        if self.is_closed:
            raise ConnectionClosedError("the socket was closed locally")
        if self.is_reset:
            raise ConnectionClosedError("the connection was reset by the peer")

    # -- receiving

    def try_recv(self, max_bytes: int = 65536) -> bytes | None:
        """Return the bytes that can be read now, ``b""`` at the end of input, None if a read would wait.

        Raises ConnectionClosedError.
        """
        if self.is_closed or not (self.is_unix and self.inbox):
            self._raise_if_closed()
        if not self.inbox:
            return b"" if self.is_input_ended else None
        data = self.inbox.popleft()
        if len(data) > max_bytes:
            self.inbox.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self.buffered_bytes -= len(data)
        self.other_end._wake_writer()
        return data

    def recv(self, max_bytes: int = 65536, deadline: int | None = None) -> bytes:
        """Wait for bytes and return them, ``b""`` at the end of input.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self.network.loop.yield_if_due()
        while True:
            data = self.try_recv(max_bytes)
            if data is not None:
                return data
            self.await_input(deadline)

    def await_input(self, deadline: int | None = None) -> None:
        """Wait until a read would return at once, without reading.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        if self.inbox or self.is_input_ended:
            return
        self._raise_if_closed()
        task = self.network.loop.current
        self.reader, self.reader_ignores_bytes = task, False
        try:
            self.network.loop.park(deadline)
        finally:
            if self.reader is task:  # another task may have replaced it in order to close the connection
                self.reader = None

    def wake_on_input(self, task: Task) -> None:
        """Register a task to be woken once a read would return at once; return without waiting."""
        self.reader, self.reader_ignores_bytes = task, False
        if self.inbox or self.is_input_ended or self.is_reset:
            self._wake_reader()

    def wake_on_peer_close(self, task: Task) -> None:
        """Register a task to be woken once the peer has closed or reset; bytes do not wake it."""
        self.reader, self.reader_ignores_bytes = task, True
        if self.is_input_ended or self.is_reset:
            self._wake_reader()

    def has_input(self) -> bool:
        """Return whether a read would return at once: with bytes, the end of input or an error."""
        return not self.is_closed and bool(self.inbox or self.is_input_ended or self.is_reset)

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection."""
        return self.is_closed or self.is_input_ended or self.is_reset

    # -- sending

    def send(self, data: bytes, deadline: int | None = None) -> None:
        """Send all bytes, waiting while the window is full.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        position = 0
        while position < len(data):
            sent = self.try_send(data[position:])
            position += sent
            if not sent:
                self.writer = self.network.loop.current
                try:
                    self.network.loop.park(deadline)
                finally:
                    self.writer = None
        self.network.loop.yield_if_due()

    def try_send(self, data: bytes) -> int:
        """Send the bytes that fit into the window without waiting; return their number.

        Raises ConnectionClosedError.
        """
        self._raise_if_closed()
        if self.network.loop.process.is_dead:
            raise ConnectionClosedError("the process of this stream was killed")
        part = bytes(data[: max(0, STREAM_WINDOW_BYTES - self.other_end.buffered_bytes)])
        if not part:
            return 0
        self.sent_bytes += len(part)
        if not self.is_unix and self.network.random.random() < self.network.faults.reset_probability:
            self.other_end.buffered_bytes += len(part)
            self.other_end.schedule_reset()
            self.schedule_reset()
        else:
            self.other_end.schedule_bytes(part)
        return len(part)

    # -- closing

    def half_close(self) -> None:
        """Close the sending side; the connection can still be read."""
        if not self.is_closed and not self._is_half_closed and not self.network.loop.process.is_dead:
            self._is_half_closed = True
            self.other_end.schedule_end_of_input()

    def close(self) -> None:
        """Close the connection for all processes; unread bytes make this a reset, as in a kernel."""
        if not self.is_closed and not self.network.loop.process.is_dead:
            if self.inbox and not self.is_unix:
                self.abort()
                return
            self.half_close()
            self._discard()

    def abort(self) -> None:
        """Reset the connection."""
        if not self.is_closed and not self.network.loop.process.is_dead:
            self._discard()
            self.other_end.schedule_reset()

    def release(self) -> None:
        """Close only this process's handle; the connection stays open in the processes that share it."""
        process = self.network.loop.process
        if process.is_dead:
            return
        self.network.remove_stream(process, self)
        self._wake_reader()
        self._wake_writer()
        self.release_holder(process)

    def _close_for_all(self) -> None:
        if self.is_unix:
            self.close()  # the peer can still read what was sent
        else:
            self.abort()

    def _discard(self) -> None:
        """Discard the unread bytes and handles of this end, and wake its waiting tasks."""
        self.is_closed = True
        for handle in filter(None, self.received_handles):
            self.network.close_handle(handle)
        self.received_handles.clear()
        self.inbox.clear()
        self.network.remove_stream(self.process, self)
        self._wake_reader()
        self._wake_writer()

    # -- between processes of one machine, over a Unix socket

    def send_with_handle(self, data: bytes, handle: SimulatedHandle, deadline: int | None = None) -> None:
        """Send all bytes and pass a handle along; the handle is consumed.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self._raise_if_closed()
        self.other_end.schedule_handle(handle)
        self.send(data, deadline)

    def try_send_with_handle(self, data: bytes, handle: SimulatedHandle) -> int:
        """Send the bytes that fit into the window without waiting and pass a handle along.

        Return the number of bytes; unless it is 0, the handle is consumed. Raises ConnectionClosedError.
        """
        self._raise_if_closed()
        if self.other_end.buffered_bytes >= STREAM_WINDOW_BYTES:
            return 0
        self.other_end.schedule_handle(handle)
        return self.try_send(data)

    def receive_handle(self) -> SimulatedHandle | None:
        """Return the next handle that the peer has passed, None if there is none or if it was lost."""
        return self.received_handles.popleft() if self.received_handles else None

    def kill_peer(self) -> None:
        """Kill the peer's process."""
        if not self.network.loop.process.is_dead:
            self.network.kill(self.other_end.process)
