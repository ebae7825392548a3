"""The real world: non-blocking sockets under ``select.poll``, the machine's clock, files with fsync."""

from __future__ import annotations

import array
import contextlib
import errno
import os
import random
import select
import signal
import socket
import stat
import struct
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from orchidlane.runtime.backend import Address, format_address
from orchidlane.runtime.errors import ConnectionClosedError, ConnectionFailedError
from orchidlane.runtime.tasks import SchedulerInterface, Task

READ = select.POLLIN | select.POLLPRI
WRITE = select.POLLOUT
LEFT = select.POLLRDHUP  # the other side's end has come, behind whatever waits to be read
ENDED = select.POLLERR | select.POLLHUP | select.POLLNVAL
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# The listener's own errors of accept(2); all others are of the connection that came, or of the network
NO_LISTENER = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP)
PAUSE = 10_000  # microseconds after an error that nobody waits for: one that stays may not spin
LONGEST_POLL = 1_000  # ms: a poll ends by then, so that a turn's figures stay fresh


class RealBackend:
    """Sockets, clock and files of this machine.

    The clock is the time of day at the start plus the monotonic clock since: peers' clocks agree as well as
    their machines' do, and a step of the time of day changes nothing within a life.
    """

    def __init__(self, seed: int | None = None) -> None:
        self.random = random.Random(seed)
        self._offset = time.time_ns() - time.monotonic_ns()
        self._poller = select.poll()
        self._glancer = select.poll()
        self._descriptors: dict[int, PolledDescriptor] = {}
        self.loop: SchedulerInterface

    def attach(self, loop: SchedulerInterface) -> None:
        self.loop = loop

    def now(self) -> int:
        return (time.monotonic_ns() + self._offset) // 1_000

    def poll(self, timeout_us: int | None) -> None:
        span = LONGEST_POLL if timeout_us is None else min(LONGEST_POLL, -(-timeout_us // 1_000))
        for number, events in self._poller.poll(span):
            descriptor = self._descriptors.get(number)
            if descriptor is not None:
                descriptor.ready(events)

    def watch(self, descriptor: PolledDescriptor) -> None:
        """Register a descriptor; its interest stays registered between polls."""
        self._descriptors[descriptor.number] = descriptor
        self._poller.register(descriptor.number, 0)

    def want(self, descriptor: PolledDescriptor, mask: int) -> None:
        """Change what a descriptor is polled for."""
        self._poller.modify(descriptor.number, mask)

    def glance(self, descriptor: PolledDescriptor, mask: int) -> int:
        """What holds of a descriptor right now, whether polled for or not."""
        self._glancer.register(descriptor.number, mask)
        found = self._glancer.poll(0)
        self._glancer.unregister(descriptor.number)
        return found[0][1] if found else 0

    def forget(self, descriptor: PolledDescriptor) -> None:
        """A descriptor is closed."""
        if self._descriptors.pop(descriptor.number, None) is not None:
            self._poller.unregister(descriptor.number)

    def connect(self, address: Address, deadline: int | None = None) -> RealStream:
        try:
            sock = socket.socket(_family(address), socket.SOCK_STREAM)
        except OSError as error:
            raise ConnectionFailedError(str(error)) from None
        sock.setblocking(False)
        stream = RealStream(self, sock, address)
        try:
            code = sock.connect_ex(_where(address))
            if code == errno.EINPROGRESS:
                stream.wait_write(deadline)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise ConnectionFailedError(os.strerror(code))
        except BaseException:
            stream.close()
            raise
        return stream

    def listen(self, address: Address, backlog: int = 1024) -> RealListener:
        sock = socket.socket(_family(address), socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            if sock.family == socket.AF_UNIX:
                _bind_path(sock, address[0])
            else:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(address)
            sock.listen(backlog)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, error.strerror, format_address(address)) from None
        return RealListener(self, sock)

    def bind_datagrams(self, address: Address) -> RealDatagramSocket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind(address)
        except OSError as error:
            sock.close()
            raise OSError(error.errno, error.strerror, format_address(address)) from None
        return RealDatagramSocket(self, sock)

    def adopt_stream(self, handle: socket.socket) -> RealStream:
        handle.setblocking(False)
        return RealStream(self, handle, ("", 0))

    def adopt_listener(self, handle: socket.socket) -> RealListener:
        handle.setblocking(False)
        return RealListener(self, handle)

    def adopt_datagrams(self, handle: socket.socket) -> RealDatagramSocket:
        handle.setblocking(False)
        return RealDatagramSocket(self, handle)

    def close_handle(self, handle: socket.socket) -> None:
        handle.close()

    def process_id(self) -> int:
        return os.getpid()

    def clock_base(self) -> int:
        return self._offset

    def follow_clock(self, base: int) -> None:
        self._offset = base  # the monotonic clock is the machine's, so the two processes' clocks are one

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        signs = WakeupPipe(self)
        found: list[Any] = []

        def run() -> None:
            try:
                found.append((work(), None))
            except BaseException as error:
                found.append((None, error))
            signs.hang_up()

        threading.Thread(target=run, name="aside", daemon=True).start()
        try:
            signs.recv()
        finally:
            signs.close()
        value, error = found[0]
        if error is not None:
            raise error
        return value

    def read_file(self, path: str) -> bytes | None:
        try:
            with open(path, "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    def write_file(self, path: str, data: bytes) -> None:
        aside = f"{path}.new"
        with open(aside, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(aside, path)
        folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove_file(self, path: str) -> None:
        with contextlib.suppress(FileNotFoundError):
            os.remove(path)

    def append_file(self, path: str, data: bytes) -> None:
        number = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        try:
            os.write(number, data)
        finally:
            os.close(number)


def _family(at: Address) -> socket.AddressFamily:
    return socket.AF_UNIX if at[0].startswith("/") else socket.AF_INET


def _where(at: Address) -> Any:
    return at[0] if at[0].startswith("/") else at


def _bind_path(sock: socket.socket, path: str) -> None:
    """Bind a path for this user alone; one that a dead process left behind is replaced."""
    with contextlib.suppress(FileNotFoundError):
        if stat.S_ISSOCK(os.stat(path).st_mode) and _is_dead(path):
            os.remove(path)
    before = os.umask(0o177)
    try:
        sock.bind(path)
    finally:
        os.umask(before)


def _is_dead(path: str) -> bool:
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        return probe.connect_ex(path) == errno.ECONNREFUSED


def _process_behind(sock: socket.socket) -> int:
    """A descriptor of the process at the other end, -1 where it is gone or is us.

    Opened while the connection is young: a number could be another process's by the time that one is to be
    killed (pidfd_open(2)).
    """
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, struct.calcsize("3i"))
    pid = struct.unpack("3i", credentials)[0]
    if pid <= 0 or pid == os.getpid():
        return -1
    try:
        return os.pidfd_open(pid)
    except OSError:
        return -1


class PolledDescriptor:
    """A polled socket or pipe, with the tasks that wait to read and to write."""

    def __init__(self, backend: RealBackend, sock: Any) -> None:
        self.backend = backend
        self.sock = sock
        self.number = sock.fileno()
        self.mask = 0
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.is_closed = False
        self.is_input_exhausted = (
            False  # the last read took all there was: the next one waits for the poll's word
        )
        backend.watch(self)

    def ready(self, events: int) -> None:
        """Wake who waits; interest that nobody has is dropped, or the poll would spin."""
        self.is_input_exhausted = False
        loop = self.backend.loop
        drop = 0
        if events & (READ | LEFT | ENDED):
            if self.reader is not None:
                task, self.reader = self.reader, None
                loop.wake(task)
            else:
                drop |= READ | LEFT
        if events & (WRITE | ENDED):
            if self.writer is not None:
                task, self.writer = self.writer, None
                loop.wake(task)
            drop |= WRITE
        if self.mask & drop:
            self.mask &= ~drop
            self.backend.want(self, self.mask)
        elif events & ENDED and not self.mask:
            self.backend.forget(self)  # poll tells of an end whatever the interest

    def _want(self, bits: int) -> None:
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")
        if self.number not in self.backend._descriptors:
            self.backend.watch(self)
            self.mask = 0
        if self.mask & bits != bits:
            self.mask |= bits
            self.backend.want(self, self.mask)

    def wait_read(self, deadline: int | None) -> None:
        """Wait until something can be read."""
        self._want(READ)
        task = self.reader = self.backend.loop.current
        try:
            self.backend.loop.park(deadline)
        finally:
            if self.reader is task:  # else somebody else reads on, who ends the connection
                self.reader = None
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")

    def wait_write(self, deadline: int | None) -> None:
        """Wait until something can be written."""
        self._want(WRITE)
        self.writer = self.backend.loop.current
        try:
            self.backend.loop.park(deadline)
        finally:
            self.writer = None
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")

    def wake_on_input(self, task: Task) -> None:
        """Wake the task once something can be read, without waiting here."""
        self._want(READ)
        self.reader = task

    def wake_on_peer_close(self, task: Task) -> None:
        """Wake the task once the other side has ended; bytes that wait unread wake nobody."""
        self._want(LEFT)
        if self.mask & READ:
            self.mask &= ~READ
            self.backend.want(self, self.mask)
        self.reader = task

    def has_input(self) -> bool:
        """Whether something can be read at once, an end or an error among it."""
        return not self.is_closed and self.backend.glance(self, READ | LEFT) != 0

    def is_closed_by_peer(self) -> bool:
        """Whether the other side has ended or reset."""
        return self.is_closed or self.backend.glance(self, LEFT) != 0

    def duplicate(self) -> socket.socket:
        """A second hold on the socket."""
        return self.sock.dup()

    def close(self) -> None:
        """Close, and wake who waits."""
        if self.is_closed:
            return
        self.is_closed = True
        self.backend.forget(self)
        self.sock.close()
        for task in (self.reader, self.writer):
            if task is not None:
                self.backend.loop.wake(task)
        self.reader = self.writer = None


class WakeupPipe(PolledDescriptor):
    """Bytes from a signal's handler or another thread, which wake the loop: a pipe.

    A pair of Unix sockets would do, too, but not where only TCP and UDP are known: there its end has no
    credentials. A pipe is polled alike everywhere.
    """

    def __init__(self, backend: RealBackend) -> None:
        ours, theirs = os.pipe()
        os.set_blocking(ours, False)
        os.set_blocking(theirs, False)
        self._reading = os.fdopen(ours, "rb", buffering=0)
        self._writing = os.fdopen(theirs, "wb", buffering=0)
        super().__init__(backend, self._reading)

    @property
    def writer_number(self) -> int:
        """The descriptor that takes the bytes."""
        return self._writing.fileno()

    def recv(self) -> bytes:
        """What came since the last time, nothing after ``hang_up``; waits for either."""
        while (data := self._reading.read(4096)) is None:
            self.wait_read(None)
        return data

    def hang_up(self) -> None:
        """No more bytes come. Belongs to whoever writes: a number that it may still use is not closed."""
        self._writing.close()


class RealStream(PolledDescriptor):
    """A connection, over TCP or a Unix socket."""

    def __init__(self, backend: RealBackend, sock: socket.socket, peer: Address) -> None:
        super().__init__(backend, sock)
        self.peer = peer
        self.sent_bytes = 0
        self.is_duplicated = False  # another hold exists: only a shutdown ends the connection
        self.is_unix = sock.family == socket.AF_UNIX
        self._handles: deque[socket.socket | None] = deque()
        self._peer = _process_behind(sock) if self.is_unix else -1
        if not self.is_unix:
            with contextlib.suppress(OSError):  # reset already: the first read or write tells
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def try_recv(self, max_bytes: int = 65536) -> bytes | None:
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")
        try:
            return self._recv_with(max_bytes) if self.is_unix else self.sock.recv(max_bytes)
        except BlockingIOError:
            return None
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None

    def recv(self, max_bytes: int = 65536, deadline: int | None = None) -> bytes:
        self.backend.loop.yield_sometimes()  # before the read: a cancel may not lose what was read
        while True:
            data = None if self.is_input_exhausted and not self.is_closed else self.try_recv(max_bytes)
            if data is not None:
                self.is_input_exhausted = 0 < len(data) < max_bytes
                return data
            self.await_input(deadline)

    def await_input(self, deadline: int | None = None) -> None:
        self.wait_read(deadline)
        self.is_input_exhausted = False

    def send(self, data: bytes, deadline: int | None = None) -> None:
        done = self._send_some(data)
        if done < len(data):
            view = memoryview(data)[done:]
            while view:
                if not (done := self._send_some(view)):
                    self.wait_write(deadline)
                view = view[done:]
        self.backend.loop.yield_sometimes()

    def _recv_with(self, most: int) -> bytes:
        """Bytes, and the handles that came with them; those that no descriptor was left for are lost."""
        data, extras, flags, _ = self.sock.recvmsg(most, socket.CMSG_SPACE(4))
        if flags & socket.MSG_CTRUNC:
            self._handles.append(None)  # it keeps its place among the others
        for level, kind, numbers in extras:
            if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                for (number,) in struct.iter_unpack("i", numbers[: len(numbers) // 4 * 4]):
                    self._handles.append(socket.socket(fileno=number))
        return data

    def receive_handle(self) -> socket.socket | None:
        return self._handles.popleft() if self._handles else None

    def send_with_handle(self, data: bytes, handle: socket.socket, deadline: int | None = None) -> None:
        try:
            while not (done := self.try_send_with_handle(data, handle)):
                self.wait_write(deadline)
        finally:
            handle.close()
        if done < len(data):
            self.send(data[done:], deadline)

    def try_send_with_handle(self, data: bytes, handle: socket.socket) -> int:
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [handle.fileno()]))]
        done = self._send_some(data, rights)
        if done:
            handle.close()
        return done

    def kill_peer(self) -> None:
        if self._peer >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self._peer, signal.SIGKILL)

    def duplicate(self) -> socket.socket:
        self.is_duplicated = True
        return super().duplicate()

    def release(self) -> None:
        self._forget_peer()
        super().close()

    def _forget_peer(self) -> None:
        if self._peer >= 0:
            os.close(self._peer)
            self._peer = -1

    def close(self) -> None:
        if self.is_duplicated and not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
        for handle in filter(None, self._handles):
            handle.close()
        self._handles.clear()
        self._forget_peer()
        super().close()

    def try_send(self, data: bytes) -> int:
        return self._send_some(data)

    def _send_some(self, data: bytes | memoryview, extras: Any = None) -> int:
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")
        try:
            done = self.sock.sendmsg([data], extras) if extras else self.sock.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise ConnectionClosedError(str(error)) from None
        self.sent_bytes += done
        return done

    def half_close(self) -> None:
        if not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def abort(self) -> None:
        if not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.close()


class RealListener(PolledDescriptor):
    """A listening TCP socket."""

    def __init__(self, backend: RealBackend, sock: socket.socket) -> None:
        super().__init__(backend, sock)
        name = sock.getsockname()
        self.address: Address = (name, 0) if isinstance(name, str) else name

    def accept(self, deadline: int | None = None) -> RealStream:
        self.backend.loop.yield_sometimes()
        while True:
            try:
                if (stream := self.try_accept()) is not None:
                    return stream
            except OSError:  # of the connection that came: it was reset before we took it
                self.backend.loop.sleep(PAUSE)
                continue
            self.wait_read(deadline)

    def try_accept(self) -> RealStream | None:
        if self.is_closed:
            raise ConnectionClosedError("closed on our side")
        try:
            sock, peer = self.sock.accept()
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno in NO_LISTENER:
                raise ConnectionClosedError(str(error)) from None
            if error.errno in NO_DESCRIPTOR:
                raise ConnectionFailedError(str(error)) from None
            raise
        sock.setblocking(False)
        return RealStream(self.backend, sock, peer or self.address)


class RealDatagramSocket(PolledDescriptor):
    """A bound UDP socket."""

    def __init__(self, backend: RealBackend, sock: socket.socket) -> None:
        super().__init__(backend, sock)
        self.address: Address = sock.getsockname()

    def recv(self, deadline: int | None = None) -> tuple[bytes, Address]:
        while True:
            if self.is_closed:
                raise ConnectionClosedError("closed on our side")
            try:
                data, sender = self.sock.recvfrom(65536)
                self.backend.loop.yield_sometimes()
                return data, sender
            except BlockingIOError:
                self.wait_read(deadline)
            except OSError:  # a refusal that an earlier send of ours met; one that stays may not spin
                self.backend.loop.sleep(PAUSE)

    def send(self, data: bytes, address: Address) -> None:
        if not self.is_closed:
            with contextlib.suppress(OSError):
                self.sock.sendto(data, address)
