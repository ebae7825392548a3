"""The simulated backend: a virtual clock, a network and files in memory, all determined by one seed.

Time passes only when no task is ready. Streams deliver each byte once and in order, until they are closed
or reset; datagrams are lost, duplicated and reordered. Processes are frozen and killed as a whole. Data sent
to a frozen process is queued for it, as a kernel would queue it.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from typing import Any

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionFailedError
from orchidlane.runtime.simulated_backend.datagram_socket import SimulatedDatagramSocket
from orchidlane.runtime.simulated_backend.listener import SimulatedListener
from orchidlane.runtime.simulated_backend.network import NetworkFaults, is_unix_address
from orchidlane.runtime.simulated_backend.shared_resource import SharedResource, SimulatedHandle
from orchidlane.runtime.simulated_backend.stream import SimulatedStream
from orchidlane.runtime.tasks import CONTROL, Process, SchedulerInterface

CLOCK_START_US = 1_700_000_000_000_000
FIRST_EPHEMERAL_PORT = 40_001
PARTITIONED_CONNECT_TIMEOUT_US = 60_000_000  # used if the caller sets no deadline


class SimulatedBackend:
    """A virtual clock, a network and files for one EventLoop."""

    def __init__(self, seed: int, faults: NetworkFaults | None = None) -> None:
        self.random = random.Random(seed)
        self.faults = faults or NetworkFaults()
        self.clock = CLOCK_START_US
        self.loop: SchedulerInterface
        self.files: dict[str, bytes] = {}
        self.listeners: dict[Address, SimulatedListener] = {}
        self.datagram_sockets: dict[Address, SimulatedDatagramSocket] = {}
        self.processes_with_full_disk: set[str] = set()  # by process name; their file replacements fail
        self.is_out_of_descriptors = False  # if set, passed handles are lost on arrival
        self._streams: dict[Process, dict[SharedResource, None]] = {}
        self._process_ids: dict[Process, int] = {}
        self._partitions: set[frozenset[str]] = set()  # pairs of process names
        self._next_port = FIRST_EPHEMERAL_PORT

    def attach(self, loop: SchedulerInterface) -> None:
        """Set the event loop that runs on this backend."""
        self.loop = loop

    # -- clock

    def now(self) -> int:
        """Return the virtual clock in microseconds."""
        return self.clock

    def poll(self, timeout_us: int | None) -> None:
        """Advance the virtual clock. Raises RuntimeError for an unlimited wait, which could never finish."""
        if timeout_us is None:
            raise RuntimeError("the simulation is deadlocked: all tasks are waiting and no timer is pending")
        self.clock += timeout_us

    def clock_base(self) -> int:
        """Return 0: all processes share the virtual clock."""
        return 0

    def follow_clock(self, base: int) -> None:
        """Do nothing: all processes share the virtual clock."""

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        """Run ``work`` immediately, in no virtual time; return its value or raise its exception."""
        return work()

    # -- processes

    def process_id(self) -> int:
        """Return the current process's identifier."""
        return self.process_id_of(self.loop.process)

    def process_id_of(self, process: Process) -> int:
        """Return a process's identifier: processes are numbered from 1 as they first need an identifier."""
        return self._process_ids.setdefault(process, len(self._process_ids) + 1)

    def start(self, name: str, work: Callable[..., Any], *args: Any) -> Process:
        """Run ``work(*args)`` as the main task of a new process and return the process."""
        process = Process(name)
        self.loop.spawn(work, *args, priority=CONTROL, process=process, name=name)
        return process

    def kill(self, process: Process) -> None:
        """Kill a process: its connections are reset and its addresses become free.

        Sockets that another process also holds stay open, as in a kernel.
        """
        for stream in list(self._streams.pop(process, ())):
            stream.release_holder(process)
        for bound_sockets in (self.listeners, self.datagram_sockets):
            for bound_socket in [bound for bound in bound_sockets.values() if process in bound.holders]:
                bound_socket.release_holder(process)
        self.loop.kill(process)

    # -- faults of the network

    def partition(self, name: str, other_name: str) -> None:
        """Stop all traffic between two processes, given by name, until ``heal``.

        Datagrams are lost; bytes of streams are delayed.
        """
        self._partitions.add(frozenset((name, other_name)))

    def heal(self, name: str, other_name: str) -> None:
        """End a partition between two processes, given by name."""
        self._partitions.discard(frozenset((name, other_name)))

    def heal_all(self) -> None:
        """End all partitions."""
        self._partitions.clear()

    def is_partitioned(self, process: Process, other_process: Process) -> bool:
        """Return whether a partition separates two processes."""
        return bool(self._partitions) and frozenset((process.name, other_process.name)) in self._partitions

    def random_delay_us(self) -> int:
        """Return a random delay of one delivery, in microseconds."""
        is_slow = self.random.random() < self.faults.slow_probability
        return self.random.randint(*(self.faults.slow_delay_us if is_slow else self.faults.delay_us))

    # -- network

    def connect(self, address: Address, deadline: int | None = None) -> SimulatedStream:
        """Connect to an address and return the stream.

        Raises ConnectionFailedError, DeadlineExceededError.
        """
        self._wait_for_delivery(deadline)
        listener = self.listeners.get(tuple(address))  # type: ignore[arg-type]
        if listener is None or listener.is_full():
            raise ConnectionFailedError("connection refused: nothing listens there, or the backlog is full")
        is_unix = is_unix_address(address)
        process = self.loop.process
        if self.is_partitioned(process, listener.process) and not is_unix:
            timeout_at = self.loop.now() + PARTITIONED_CONNECT_TIMEOUT_US
            self.loop.park(deadline if deadline is not None else timeout_at)
        client_end = SimulatedStream(self, process, address)
        server_end = SimulatedStream(self, listener.process, ("sim", 0))
        client_end.connect_to(server_end, is_unix=is_unix)
        listener.enqueue(server_end)
        return client_end

    def _wait_for_delivery(self, deadline: int | None) -> None:
        """Wait for the delay of one delivery. Raises DeadlineExceededError."""
        loop = self.loop
        arrival = loop.call_at_outside_processes(loop.now() + self.random_delay_us(), loop.wake, loop.current)
        try:
            loop.park(deadline)
        finally:
            loop.timers.cancel(arrival)  # otherwise it could end a later wait of the task

    def listen(self, address: Address, backlog: int = 1024) -> SimulatedListener:
        """Listen on an address; port 0 picks a free one. Raises OSError."""
        address = self._pick_address(address, self.listeners)
        listener = SimulatedListener(self, address, backlog, self.listeners)
        self.listeners[address] = listener
        return listener

    def bind_datagrams(self, address: Address) -> SimulatedDatagramSocket:
        """Bind a datagram socket to an address; port 0 picks a free one. Raises OSError."""
        address = self._pick_address(address, self.datagram_sockets)
        datagram_socket = SimulatedDatagramSocket(self, address, self.datagram_sockets)
        self.datagram_sockets[address] = datagram_socket
        return datagram_socket

    def _pick_address(self, address: Address, bound_sockets: dict[Address, Any]) -> Address:
        host, port = address
        if port == 0 and not is_unix_address(address):
            port = self._next_port
            self._next_port += 1
        if (host, port) in bound_sockets:
            raise OSError(errno.EADDRINUSE, "another socket is bound to this address")
        return host, port

    def add_stream(self, process: Process, stream: SharedResource) -> None:
        """Record that a process holds a stream; killing the process resets the stream."""
        self._streams.setdefault(process, {})[stream] = None

    def remove_stream(self, process: Process, stream: SharedResource) -> None:
        """Record that a process no longer holds a stream."""
        self._streams.get(process, {}).pop(stream, None)

    # -- sockets passed between processes

    def adopt_stream(self, handle: SimulatedHandle) -> SimulatedStream:
        """Return the stream of a handle, now held by the current process."""
        stream = handle.adopt(self.loop.process)
        assert isinstance(stream, SimulatedStream)
        stream.is_closed = False
        stream.move_to(self.loop.process)
        return stream

    def adopt_listener(self, handle: SimulatedHandle) -> SimulatedListener:
        """Return the listener of a handle, now held by the current process too."""
        listener = handle.adopt(self.loop.process)
        assert isinstance(listener, SimulatedListener)
        return listener

    def adopt_datagrams(self, handle: SimulatedHandle) -> SimulatedDatagramSocket:
        """Return the datagram socket of a handle, now held by the current process too."""
        datagram_socket = handle.adopt(self.loop.process)
        assert isinstance(datagram_socket, SimulatedDatagramSocket)
        return datagram_socket

    def close_handle(self, handle: SimulatedHandle) -> None:
        """Close a handle that was not adopted."""
        handle.resource.release_holder(handle)

    # -- files

    def read_file(self, path: str) -> bytes | None:
        """Return a file's content, None where there is no such file."""
        return self.files.get(path)

    def write_file(self, path: str, data: bytes) -> None:
        """Replace a file, unless the process is dead. Raises OSError if the process's disk is full."""
        if self.loop.process.name in self.processes_with_full_disk:
            raise OSError(errno.ENOSPC, "the simulated disk of the process is full", path)
        if not self.loop.process.is_dead:
            self.files[path] = data

    def remove_file(self, path: str) -> None:
        """Remove a file, if there is one."""
        self.files.pop(path, None)

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file, creating it if there is none, unless the process is dead."""
        if not self.loop.process.is_dead:
            self.files[path] = self.files.get(path, b"") + data
