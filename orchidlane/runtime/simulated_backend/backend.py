"""The simulated backend: a virtual clock, and a network and files in memory, all from one seed.

Time passes only when no task is ready. Streams keep their order and deliver each byte once or end; datagrams
are lost, duplicated and reordered. Processes are killed and frozen as wholes: what is sent to a frozen one
waits for it, as a kernel would queue it.
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
PARTITIONED_CONNECT_TIMEOUT_US = 60_000_000  # where the caller gives no deadline


class SimulatedBackend:
    """Virtual clock, network and files; give it to an EventLoop."""

    def __init__(self, seed: int, faults: NetworkFaults | None = None) -> None:
        self.random = random.Random(seed)
        self.faults = faults or NetworkFaults()
        self.clock = CLOCK_START_US
        self.loop: SchedulerInterface
        self.files: dict[str, bytes] = {}
        self.listeners: dict[Address, SimulatedListener] = {}
        self.datagram_sockets: dict[Address, SimulatedDatagramSocket] = {}
        self.processes_with_full_disk: set[str] = set()  # names of processes whose writes fail
        self.is_out_of_descriptors = False  # handles that arrive are lost
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
        """Let virtual time pass. Raises RuntimeError for an unlimited wait, which nothing could end."""
        if timeout_us is None:
            raise RuntimeError("the simulation is deadlocked: every task waits and no timer is set")
        self.clock += timeout_us

    def clock_base(self) -> int:
        """Return 0: all processes have one clock."""
        return 0

    def follow_clock(self, base: int) -> None:
        """Do nothing: all processes have one clock."""

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        """Run ``work`` at once; it takes no virtual time."""
        return work()

    # -- processes

    def process_id(self) -> int:
        """Return the current process's identifier."""
        return self.process_id_of(self.loop.process)

    def process_id_of(self, process: Process) -> int:
        """Return a process's identifier: from 1 on, in the order of the first call for each."""
        return self._process_ids.setdefault(process, len(self._process_ids) + 1)

    def start(self, name: str, work: Callable[..., Any], *args: Any) -> Process:
        """Run ``work(*args)`` as a process of its own and return the process."""
        process = Process(name)
        self.loop.spawn(work, *args, priority=CONTROL, process=process, name=name)
        return process

    def kill(self, process: Process) -> None:
        """Kill a process: its connections are reset and its addresses are free.

        What another process holds as well stays open, as in a kernel.
        """
        for stream in list(self._streams.pop(process, ())):
            stream.release_holder(process)
        for bound_sockets in (self.listeners, self.datagram_sockets):
            for bound_socket in [each for each in bound_sockets.values() if process in each.holders]:
                bound_socket.release_holder(process)
        self.loop.kill(process)

    # -- faults of the network

    def partition(self, one: str, other: str) -> None:
        """Stop all traffic between two processes until ``heal``: datagrams are lost, bytes delayed."""
        self._partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a partition between two processes."""
        self._partitions.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        """End all partitions."""
        self._partitions.clear()

    def is_partitioned(self, one: Process, other: Process) -> bool:
        """Return whether two processes can't reach each other."""
        return bool(self._partitions) and frozenset((one.name, other.name)) in self._partitions

    def draw_delay(self) -> int:
        """Return how many microseconds one delivery takes."""
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
            raise ConnectionFailedError("refused")
        is_unix = is_unix_address(address)
        process = self.loop.process
        if self.is_partitioned(process, listener.process) and not is_unix:
            timeout_at = self.loop.now() + PARTITIONED_CONNECT_TIMEOUT_US
            self.loop.park(deadline if deadline is not None else timeout_at)
        our_end = SimulatedStream(self, process, address)
        their_end = SimulatedStream(self, listener.process, ("sim", 0))
        our_end.connect_to(their_end, is_unix=is_unix)
        listener.enqueue(their_end)
        return our_end

    def _wait_for_delivery(self, deadline: int | None) -> None:
        """Wait as long as one delivery takes. Raises DeadlineExceededError."""
        loop = self.loop
        arrival = loop.call_at_outside_processes(loop.now() + self.draw_delay(), loop.wake, loop.current)
        try:
            loop.park(deadline)
        finally:
            loop.timers.cancel(arrival)  # a late one must not wake another wait of the task

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

    def _pick_address(self, address: Address, taken: dict[Address, Any]) -> Address:
        host, port = address
        if port == 0 and not is_unix_address(address):
            port = self._next_port
            self._next_port += 1
        if (host, port) in taken:
            raise OSError(errno.EADDRINUSE, "address in use")
        return host, port

    def add_stream(self, process: Process, stream: SharedResource) -> None:
        """Note that a process has a stream, which is reset when the process is killed."""
        self._streams.setdefault(process, {})[stream] = None

    def remove_stream(self, process: Process, stream: SharedResource) -> None:
        """Note that a process no longer has a stream."""
        self._streams.get(process, {}).pop(stream, None)

    # -- sockets passed between processes

    def adopt_stream(self, handle: SimulatedHandle) -> SimulatedStream:
        """Return the stream of a handle, as one of the current process."""
        stream = handle.adopt(self.loop.process)
        assert isinstance(stream, SimulatedStream)
        stream.is_closed = False
        stream.move_to(self.loop.process)
        return stream

    def adopt_listener(self, handle: SimulatedHandle) -> SimulatedListener:
        """Return the listener of a handle, held by the current process too."""
        listener = handle.adopt(self.loop.process)
        assert isinstance(listener, SimulatedListener)
        return listener

    def adopt_datagrams(self, handle: SimulatedHandle) -> SimulatedDatagramSocket:
        """Return the datagram socket of a handle, held by the current process too."""
        datagram_socket = handle.adopt(self.loop.process)
        assert isinstance(datagram_socket, SimulatedDatagramSocket)
        return datagram_socket

    def close_handle(self, handle: SimulatedHandle) -> None:
        """Close a handle that is not adopted."""
        handle.resource.release_holder(handle)

    # -- files

    def read_file(self, path: str) -> bytes | None:
        """Return a file's content, None where there is no such file."""
        return self.files.get(path)

    def write_file(self, path: str, data: bytes) -> None:
        """Replace a file. Raises OSError where the process's disk is full."""
        if self.loop.process.name in self.processes_with_full_disk:
            raise OSError(errno.ENOSPC, "no space left", path)
        if not self.loop.process.is_dead:
            self.files[path] = data

    def remove_file(self, path: str) -> None:
        """Remove a file, if there is one."""
        self.files.pop(path, None)

    def append_file(self, path: str, data: bytes) -> None:
        """Append to a file; create it if there is none."""
        if not self.loop.process.is_dead:
            self.files[path] = self.files.get(path, b"") + data
