"""Tests of streams, listeners, datagrams and files on both backends, and of errors of the real backend."""

from __future__ import annotations

import errno
import gc
import resource
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NoReturn

import pytest
from harness.constants import MS, SECOND
from harness.event_loop import run_with_log

from orchidlane.runtime import (
    Address,
    ConnectionClosedError,
    ConnectionFailedError,
    EventLoop,
    RealBackend,
    Stream,
    TaskGroup,
)

ANY_PORT = ("127.0.0.1", 0)


@pytest.fixture
def real_loop() -> EventLoop:
    return EventLoop(RealBackend(1))


def test_streams_keep_bytes_in_order_under_back_pressure(loop: EventLoop) -> None:
    data = bytes(range(256)) * 4_000

    def work(log: list) -> None:
        listener = loop.backend.listen(ANY_PORT)

        def send() -> None:
            stream = loop.backend.connect(listener.address)
            stream.send(data)
            stream.close()

        with TaskGroup(loop) as group:
            group.spawn(send)
            stream, received = listener.accept(), b""
            while piece := stream.recv(10_000):
                received += piece
                loop.yield_to_others()
            log.append(received == data)

    assert run_with_log(loop, work) == [True]


def read_until_error(loop: EventLoop, stream: Stream) -> NoReturn:
    while True:
        stream.recv(deadline=loop.now() + SECOND)


def test_a_reset_and_a_refused_connection_raise_different_errors(loop: EventLoop) -> None:
    def work(_log: list) -> None:
        listener = loop.backend.listen(ANY_PORT)
        stream = loop.backend.connect(listener.address)
        other_end = listener.accept()
        other_end.abort()
        with pytest.raises(ConnectionClosedError):
            read_until_error(loop, stream)
        listener.close()
        with pytest.raises(ConnectionFailedError):
            loop.backend.connect(listener.address, loop.now() + SECOND)

    run_with_log(loop, work)


def test_datagrams_come_with_their_senders_address(loop: EventLoop) -> None:
    def work(log: list) -> None:
        sender, receiver = loop.backend.bind_datagrams(ANY_PORT), loop.backend.bind_datagrams(ANY_PORT)
        sender.send(b"hello", receiver.address)
        log.append(receiver.recv(loop.now() + SECOND) == (b"hello", sender.address))

    assert run_with_log(loop, work) == [True]


def test_files_are_created_replaced_and_appended_to(loop: EventLoop, tmp_path: Path) -> None:
    path = str(tmp_path / "f")

    def work(log: list) -> None:
        assert loop.backend.read_file(path) is None
        loop.backend.write_file(path, b"one")
        loop.backend.append_file(path, b"two")
        log.append(loop.backend.read_file(path))

    assert run_with_log(loop, work) == [b"onetwo"]


class FailingSocket:
    """A socket whose next calls of accept or recvfrom fail, one for each given error number."""

    def __init__(self, sock: Any, *error_numbers: int) -> None:
        self._sock = sock
        self._error_numbers = list(error_numbers)

    def __getattr__(self, name: str) -> Any:
        if name in ("accept", "recvfrom") and self._error_numbers:
            raise OSError(self._error_numbers.pop(0), "injected by the test")
        return getattr(self._sock, name)


# accept(2) also reports errors of the network and of single new connections; the listener remains usable.
def test_accept_continues_after_errors_of_one_client_or_of_the_network(real_loop: EventLoop) -> None:
    def work(log: list) -> None:
        deadline = real_loop.now() + SECOND
        listener: Any = real_loop.backend.listen(ANY_PORT)
        errors = (errno.EPROTO, errno.ENETDOWN, errno.ECONNABORTED, errno.EPERM)
        listener.sock = FailingSocket(listener.sock, *errors)
        stream = real_loop.backend.connect(listener.address)
        stream.send(b"hello")
        log.append(listener.accept(deadline).recv(deadline=deadline))

    assert run_with_log(real_loop, work) == [b"hello"]


# Guards against a task that retries without a delay, so that no other task gets a turn.
def test_a_lasting_error_of_a_datagram_socket_causes_no_busy_loop(real_loop: EventLoop) -> None:
    def work(log: list) -> None:
        datagram_socket: Any = real_loop.backend.bind_datagrams(ANY_PORT)
        datagram_socket.send(b"one", datagram_socket.address)
        datagram_socket.sock = FailingSocket(datagram_socket.sock, *[errno.ENETDOWN] * 5)
        wakeups_of_another_task = []

        def sleep_repeatedly() -> None:
            while not log:
                wakeups_of_another_task.append(real_loop.now())
                real_loop.sleep(MS)

        real_loop.spawn(sleep_repeatedly)
        log.append(datagram_socket.recv(real_loop.now() + SECOND)[0])
        assert len(wakeups_of_another_task) > 5

    assert run_with_log(real_loop, work) == [b"one"]


# Guards against polls that return at once: poll(2) reports unread input and closed peers again each time.
def test_unread_input_and_closed_peers_cause_no_busy_loop(real_loop: EventLoop) -> None:
    def work(log: list) -> None:
        listener = real_loop.backend.listen(ANY_PORT)
        streams = [real_loop.backend.connect(listener.address) for _ in range(20)]
        other_ends = [listener.accept() for _ in range(20)]
        for other_end in other_ends:
            other_end.send(b"unread")
            other_end.close()
        real_loop.sleep(20 * MS)
        iterations_before = real_loop.iterations
        real_loop.sleep(100 * MS)
        log.append(real_loop.iterations - iterations_before)
        assert [stream.recv() for stream in streams] == [b"unread"] * 20

    assert run_with_log(real_loop, work)[0] < 40


@contextmanager
def descriptor_limit(limit: int) -> Iterator[None]:
    """Limit the number of descriptors that this process may have open."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    gc.collect()  # frees the descriptors of earlier tests now, not while the limit is being tested
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def connect_until_error(loop: EventLoop, address: Address, streams: list[Stream]) -> NoReturn:
    while True:
        streams.append(loop.backend.connect(address, loop.now() + SECOND))


def test_connecting_and_accepting_fail_when_out_of_descriptors(real_loop: EventLoop) -> None:
    def work(_log: list) -> None:
        listener = real_loop.backend.listen(ANY_PORT)
        streams: list[Stream] = []
        try:
            with descriptor_limit(80):
                with pytest.raises(ConnectionFailedError):
                    connect_until_error(real_loop, listener.address, streams)
                with pytest.raises(ConnectionFailedError):
                    listener.accept(real_loop.now() + SECOND)
        finally:
            for stream in streams:
                stream.close()

    run_with_log(real_loop, work)
