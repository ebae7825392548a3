"""A simulated world: a virtual clock, and a network and files in memory, all from one seed.

Time passes only when nothing is ready. Streams keep their order and bring each byte once or end; datagrams
are lost, doubled and reordered. Processes are killed and stand still as wholes: what is sent to one that
stands still waits for it, as a kernel would hold it.
"""

from __future__ import annotations

import errno
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from orchidlane.runtime.backend import Address
from orchidlane.runtime.errors import ConnectionClosedError, ConnectionFailedError
from orchidlane.runtime.tasks import CONTROL, Process, SchedulerInterface, Task

START = 1_700_000_000_000_000  # microseconds: where the virtual clock begins
WINDOW = 65536  # bytes that a connection holds for a reader that does not read
DATAGRAMS_HELD = 256  # datagrams that a socket holds; more are lost


@dataclass
class NetworkFaults:
    """How the network behaves; spans in microseconds, the rest are chances."""

    delay_us: tuple[int, int] = (50, 400)
    slow_probability: float = 0.001
    slow_delay_us: tuple[int, int] = (5_000, 40_000)
    datagram_loss_probability: float = 0.01
    datagram_duplication_probability: float = 0.005
    reset_probability: float = 0.0  # of a connection, at each delivery


class SimulatedBackend:
    """Virtual clock, network and files; give it to an EventLoop."""

    def __init__(self, seed: int, faults: NetworkFaults | None = None) -> None:
        self.random = random.Random(seed)
        self.faults = faults or NetworkFaults()
        self.clock = START
        self.loop: SchedulerInterface
        self.files: dict[str, bytes] = {}
        self.listeners: dict[Address, SimulatedListener] = {}
        self.datagram_sockets: dict[Address, SimulatedDatagramSocket] = {}
        self.streams: dict[Process, dict[SimulatedStream, None]] = {}
        self._ids: dict[Process, int] = {}
        self._partitions: set[frozenset[str]] = set()
        self.processes_with_full_disk: set[str] = set()  # names of processes whose writes fail
        self.is_out_of_descriptors = False  # handles that arrive are lost
        self._next_port = 40_000

    def attach(self, loop: SchedulerInterface) -> None:
        self.loop = loop

    def now(self) -> int:
        return self.clock

    def poll(self, timeout_us: int | None) -> None:
        if timeout_us is None:
            raise RuntimeError("the simulated world stands still: every task waits and no timer is set")
        self.clock += timeout_us

    # -- processes

    def process_id(self) -> int:
        return self.process_id_of(self.loop.process)

    def process_id_of(self, process: Process) -> int:
        """The number of a process, from 1 on in the order in which they were asked for."""
        return self._ids.setdefault(process, len(self._ids) + 1)

    def start(self, name: str, work: Callable[..., Any], *args: Any) -> Process:
        """Run ``work(*args)`` as a process of its own."""
        process = Process(name)
        self.loop.spawn(work, *args, priority=CONTROL, process=process, name=name)
        return process

    def kill(self, process: Process) -> None:
        """The process ends without a word; its connections are reset, its addresses free.

        What another process holds as well stays, as in a kernel.
        """
        for stream in list(self.streams.pop(process, ())):
            stream.lose(process)
        for listener in [it for it in self.listeners.values() if process in it.holders]:
            listener.lose(process)
        for socket in [it for it in self.datagram_sockets.values() if process in it.holders]:
            socket.lose(process)
        self.loop.kill(process)

    def partition(self, one: str, other: str) -> None:
        """Stop all traffic between two processes until ``heal``: datagrams are lost, bytes delayed."""
        self._partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a partition between two processes."""
        self._partitions.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        """Undo all partitions."""
        self._partitions.clear()

    def is_partitioned(self, one: Process, other: Process) -> bool:
        """Whether the two can't reach each other."""
        return bool(self._partitions) and frozenset((one.name, other.name)) in self._partitions

    def draw_delay(self) -> int:
        """How long one delivery takes."""
        slow = self.random.random() < self.faults.slow_probability
        return self.random.randint(*(self.faults.slow_delay_us if slow else self.faults.delay_us))

    # -- network

    def _port(self, at: Address, taken: dict[Address, Any]) -> Address:
        host, port = at
        if port == 0 and not host.startswith("/"):
            self._next_port += 1
            port = self._next_port
        if (host, port) in taken:
            raise OSError(98, "address in use")
        return host, port

    def connect(self, address: Address, deadline: int | None = None) -> SimulatedStream:
        loop, task = self.loop, self.loop.current
        arrival = loop.call_at_outside_processes(loop.now() + self.draw_delay(), loop.wake, task)
        try:
            loop.park(deadline)
        finally:
            loop.timers.cancel(arrival)  # a late one may not wake another wait of the task
        listener = self.listeners.get(tuple(address))  # type: ignore[arg-type]
        if listener is None or listener.full():
            raise ConnectionFailedError("refused")
        if self.is_partitioned(loop.process, listener.process) and not address[0].startswith("/"):
            loop.park(deadline if deadline is not None else loop.now() + 60_000_000)
        mine, theirs = (
            SimulatedStream(self, loop.process, address),
            SimulatedStream(self, listener.process, ("sim", 0)),
        )
        mine.other, theirs.other = theirs, mine
        mine.local = theirs.local = address[0].startswith("/")
        listener.arrive(theirs)
        return mine

    def listen(self, address: Address, backlog: int = 1024) -> SimulatedListener:
        address = self._port(address, self.listeners)
        self.listeners[address] = listener = SimulatedListener(self, address, backlog)
        return listener

    def bind_datagrams(self, address: Address) -> SimulatedDatagramSocket:
        address = self._port(address, self.datagram_sockets)
        self.datagram_sockets[address] = found = SimulatedDatagramSocket(self, address)
        return found

    def adopt_stream(self, handle: SimulatedHandle) -> SimulatedStream:
        stream = handle.taken_by(self.loop.process)
        assert isinstance(stream, SimulatedStream)
        stream.process, stream.is_closed = self.loop.process, False
        self.streams.setdefault(stream.process, {})[stream] = None
        return stream

    def adopt_listener(self, handle: SimulatedHandle) -> SimulatedListener:
        listener = handle.taken_by(self.loop.process)
        assert isinstance(listener, SimulatedListener)
        return listener

    def adopt_datagrams(self, handle: SimulatedHandle) -> SimulatedDatagramSocket:
        found = handle.taken_by(self.loop.process)
        assert isinstance(found, SimulatedDatagramSocket)
        return found

    def close_handle(self, handle: SimulatedHandle) -> None:
        handle.what.lose(handle)

    def clock_base(self) -> int:
        return 0

    def follow_clock(self, base: int) -> None:
        """There is one clock here."""

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        return work()  # takes no virtual time

    # -- files

    def read_file(self, path: str) -> bytes | None:
        return self.files.get(path)

    def write_file(self, path: str, data: bytes) -> None:
        if self.loop.process.name in self.processes_with_full_disk:
            raise OSError(errno.ENOSPC, "no space left", path)
        if not self.loop.process.is_dead:
            self.files[path] = data

    def remove_file(self, path: str) -> None:
        self.files.pop(path, None)

    def append_file(self, path: str, data: bytes) -> None:
        if not self.loop.process.is_dead:
            self.files[path] = self.files.get(path, b"") + data


class SharedResource:
    """What several processes may hold: it ends with the last hold."""

    holders: dict[Any, None]  # processes, and handles on their way

    def duplicate(self) -> SimulatedHandle:
        """A second hold, on its way."""
        handle = SimulatedHandle(self)
        self.holders[handle] = None
        return handle

    def lose(self, holder: Any) -> None:
        """One hold is gone."""
        self.holders.pop(holder, None)
        if not self.holders:
            self._end_hold()

    def _end_hold(self) -> None:
        raise NotImplementedError


class SimulatedHandle:
    """A hold that no process has yet."""

    def __init__(self, what: SharedResource) -> None:
        self.what = what

    def taken_by(self, process: Process) -> SharedResource:
        """It is the process's from here on."""
        self.what.holders.pop(self, None)
        self.what.holders[process] = None
        return self.what


class SimulatedStream(SharedResource):
    """One end of a connection."""

    def __init__(self, backend: SimulatedBackend, process: Process, peer: Address) -> None:
        self.backend = backend
        self.process = process
        self.peer = peer
        self.sent_bytes = 0
        self.other: SimulatedStream
        self.inbox: deque[bytes] = deque()
        self.held = 0  # bytes on the way to us or not read yet
        self.ended = False  # the other side sends no more
        self.reset = False
        self.is_closed = False
        self.is_input_exhausted = False
        self.finished = False  # we send no more
        self.reader: Task | None = None
        self.only_end = False  # the reader waits for the other side's end alone
        self.writer: Task | None = None
        self.holders = {process: None}
        self.local = False  # over a Unix socket
        self.handles: deque[SimulatedHandle | None] = deque()
        self._last = 0  # when the latest delivery to us is due: they keep their order
        backend.streams.setdefault(process, {})[self] = None

    def _deliver(self, call: Callable[[Any], None], argument: Any) -> None:
        backend = self.backend
        when = max(self._last + 1, backend.now() + backend.draw_delay())
        self._last = when
        backend.loop.call_at_outside_processes(when, call, argument)

    def _arrive(self, data: bytes) -> None:
        if self.backend.is_partitioned(self.process, self.other.process):
            self.backend.loop.call_at_outside_processes(self.backend.now() + 10_000, self._arrive, data)
            return
        if self.is_closed:
            self.held -= len(data)
            # bytes for a socket that is gone: a reset comes back
            if self.local:
                self.other._deliver(self.other._fail, None)
            else:
                self.other._fail(None)
            return
        self.inbox.append(data)
        if not self.only_end:
            self._wake_reader()

    def _end(self, _: Any) -> None:
        if self.backend.is_partitioned(self.process, self.other.process):
            self.backend.loop.call_at_outside_processes(self.backend.now() + 10_000, self._end, None)
            return
        self.ended = True
        self._wake_reader()

    def _fail(self, _: Any) -> None:
        if not self.is_closed and not self.reset:
            self.reset = True
            if not self.local:  # over a Unix socket what came before is still read
                self.inbox.clear()
            self._wake_reader()
            self._wake_writer()

    def _wake_reader(self) -> None:
        task, self.reader = self.reader, None
        if task is not None:
            self.backend.loop.wake(task)

    def _wake_writer(self) -> None:
        task, self.writer = self.writer, None
        if task is not None:
            self.backend.loop.wake(task)

    def _check(self) -> None:
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")
        if self.reset:
            raise ConnectionClosedError("reset by the other side")

    def try_recv(self, max_bytes: int = 65536) -> bytes | None:
        if self.is_closed or not (self.local and self.inbox):
            self._check()
        if not self.inbox:
            return b"" if self.ended else None
        data = self.inbox.popleft()
        if len(data) > max_bytes:
            self.inbox.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self.held -= len(data)
        self.other._wake_writer()
        return data

    def recv(self, max_bytes: int = 65536, deadline: int | None = None) -> bytes:
        self.backend.loop.yield_sometimes()
        while True:
            data = self.try_recv(max_bytes)
            if data is not None:
                return data
            self.await_input(deadline)

    def wake_on_input(self, task: Task) -> None:
        self.reader, self.only_end = task, False
        if self.inbox or self.ended or self.reset:
            self.reader = None
            self.backend.loop.wake(task)

    def wake_on_peer_close(self, task: Task) -> None:
        self.reader, self.only_end = task, True
        if self.ended or self.reset:
            self.reader = None
            self.backend.loop.wake(task)

    def has_input(self) -> bool:
        return not self.is_closed and bool(self.inbox or self.ended or self.reset)

    def is_closed_by_peer(self) -> bool:
        return self.is_closed or self.ended or self.reset

    def await_input(self, deadline: int | None = None) -> None:
        if not (self.inbox or self.ended):
            self._check()
            task = self.backend.loop.current
            self.reader, self.only_end = task, False
            try:
                self.backend.loop.park(deadline)
            finally:
                if self.reader is task:  # else somebody else reads on, who ends the connection
                    self.reader = None

    def send(self, data: bytes, deadline: int | None = None) -> None:
        at = 0
        while at < len(data):
            done = self.try_send(data[at:])
            at += done
            if not done:
                self.writer = self.backend.loop.current
                try:
                    self.backend.loop.park(deadline)
                finally:
                    self.writer = None
        self.backend.loop.yield_sometimes()

    def try_send(self, data: bytes) -> int:
        self._check()
        if self.backend.loop.process.is_dead:
            raise ConnectionClosedError("the process is dead")
        part = bytes(data[: max(0, WINDOW - self.other.held)])
        if not part:
            return 0
        self.sent_bytes += len(part)
        self.other.held += len(part)
        if not self.local and self.backend.random.random() < self.backend.faults.reset_probability:
            self.other._deliver(self.other._fail, None)
            self._deliver(self._fail, None)
        else:
            self.other._deliver(self.other._arrive, part)
        return len(part)

    def half_close(self) -> None:
        if not self.is_closed and not self.finished and not self.backend.loop.process.is_dead:
            self.finished = True
            self.other._deliver(self.other._end, None)

    def close(self) -> None:
        """What a dead process's tasks still do as they end changes nothing: it was killed where it stood.

        Over bytes that nobody has read it is a reset, as in a kernel.
        """
        if not self.is_closed and not self.backend.loop.process.is_dead:
            if self.inbox and not self.local:
                return self.abort()
            self.half_close()
            self._leave()

    def abort(self) -> None:
        if not self.is_closed and not self.backend.loop.process.is_dead:
            self._leave()
            self.other._deliver(self.other._fail, None)

    # -- between processes of one machine

    def send_with_handle(self, data: bytes, handle: SimulatedHandle, deadline: int | None = None) -> None:
        self._check()
        self.other._deliver(self.other._arrive_handle, handle)
        self.send(data, deadline)

    def try_send_with_handle(self, data: bytes, handle: SimulatedHandle) -> int:
        self._check()
        if self.other.held >= WINDOW:
            return 0
        self.other._deliver(self.other._arrive_handle, handle)
        return self.try_send(data)

    def _arrive_handle(self, handle: SimulatedHandle) -> None:
        if self.is_closed:
            self.backend.close_handle(handle)
        else:
            self.handles.append(handle if not self.backend.is_out_of_descriptors else None)
            if self.backend.is_out_of_descriptors:
                self.backend.close_handle(handle)

    def receive_handle(self) -> SimulatedHandle | None:
        return self.handles.popleft() if self.handles else None

    def kill_peer(self) -> None:
        if not self.backend.loop.process.is_dead:
            self.backend.kill(self.other.process)

    def release(self) -> None:
        if self.backend.loop.process.is_dead:
            return
        self.backend.streams.get(self.backend.loop.process, {}).pop(self, None)
        self._wake_reader()
        self._wake_writer()
        self.lose(self.backend.loop.process)

    def _end_hold(self) -> None:
        if self.local:
            self.close()  # what was handed over is still read
        else:
            self.abort()

    def _leave(self) -> None:
        self.is_closed = True
        for handle in filter(None, self.handles):
            self.backend.close_handle(handle)
        self.handles.clear()
        self.inbox.clear()
        self.backend.streams.get(self.process, {}).pop(self, None)
        self._wake_reader()
        self._wake_writer()


class BoundAddress(SharedResource):
    """A bound address, where tasks of the processes that hold it wait for what arrives."""

    backend: SimulatedBackend
    tasks: list[Task]
    is_closed: bool

    @property
    def process(self) -> Process:
        """One of the processes that hold it: all are on one machine."""
        return next((one for one in self.holders if isinstance(one, Process)), self.backend.loop.main_process)

    def _wait_for(self, arrived: deque[Any], deadline: int | None) -> None:
        """Wait until something has arrived. Raises ConnectionClosedError, DeadlineExceededError."""
        loop = self.backend.loop
        while True:
            if self.is_closed or loop.process not in self.holders:
                raise ConnectionClosedError("closed on our side")
            if arrived:
                return
            task = loop.current
            assert task is not None
            self.tasks.append(task)
            try:
                loop.park(deadline)
            finally:
                if task in self.tasks:
                    self.tasks.remove(task)

    def close(self) -> None:
        self.lose(self.backend.loop.process)
        for task in [one for one in self.tasks if one.process not in self.holders]:
            self.backend.loop.wake(task)


class SimulatedListener(BoundAddress):
    """A bound address with its queue of connections not yet taken."""

    def __init__(self, backend: SimulatedBackend, address: Address, backlog: int) -> None:
        self.backend = backend
        self.address = address
        self.backlog = backlog
        self.holders = {backend.loop.process: None}
        self.queue: deque[SimulatedStream] = deque()
        self.tasks: list[Task] = []
        self.is_closed = False

    def full(self) -> bool:
        """Whether the queue takes no more."""
        return len(self.queue) >= self.backlog

    def arrive(self, stream: SimulatedStream) -> None:
        """A connection was made."""
        self.queue.append(stream)
        if self.tasks:
            self.backend.loop.wake(self.tasks.pop(0))

    def accept(self, deadline: int | None = None) -> SimulatedStream:
        loop = self.backend.loop
        loop.yield_sometimes()
        self._wait_for(self.queue, deadline)
        return self._taken()

    def try_accept(self) -> SimulatedStream | None:
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")
        return self._taken() if self.queue else None

    def _taken(self) -> SimulatedStream:
        loop = self.backend.loop
        stream = self.queue.popleft()
        stream.holders, before = {loop.process: None}, stream.process
        self.backend.streams.get(before, {}).pop(stream, None)
        stream.process = loop.process
        self.backend.streams.setdefault(loop.process, {})[stream] = None
        return stream

    def _end_hold(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.backend.listeners.pop(self.address, None)
        while self.queue:
            self.queue.popleft().abort()
        for task in self.tasks:
            self.backend.loop.wake(task)


class SimulatedDatagramSocket(BoundAddress):
    """A bound address for datagrams."""

    def __init__(self, backend: SimulatedBackend, address: Address) -> None:
        self.backend = backend
        self.address = address
        self.holders = {backend.loop.process: None}
        self.inbox: deque[tuple[bytes, Address]] = deque()
        self.tasks: list[Task] = []
        self.is_closed = False

    def recv(self, deadline: int | None = None) -> tuple[bytes, Address]:
        self._wait_for(self.inbox, deadline)
        self.backend.loop.yield_sometimes()
        return self.inbox.popleft()

    def send(self, data: bytes, address: Address) -> None:
        backend = self.backend
        if backend.loop.process.is_dead:
            return
        copies = 1 + (backend.random.random() < backend.faults.datagram_duplication_probability)
        for _ in range(copies):
            if backend.random.random() >= backend.faults.datagram_loss_probability:
                when = backend.now() + backend.draw_delay()
                backend.loop.call_at_outside_processes(when, self._bring, (bytes(data), tuple(address)))

    def _bring(self, what: tuple[bytes, Address]) -> None:
        data, to = what
        target = self.backend.datagram_sockets.get(to)
        if target is None or self.backend.is_partitioned(self.process, target.process):
            return
        if len(target.inbox) < DATAGRAMS_HELD:
            target.inbox.append((data, self.address))
            if target.tasks:
                self.backend.loop.wake(target.tasks.pop(0))

    def _end_hold(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.backend.datagram_sockets.pop(self.address, None)
            for task in self.tasks:
                self.backend.loop.wake(task)
