"""Tests of lingering close and of the detection of a peer's close, on both backends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NoReturn

import pytest
from harness.constants import MS, SECOND

from orchidlane.runtime import (
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    LingeringConnections,
    TaskGroup,
)


@dataclass
class LingeringSetup:
    """A task group, the connections in lingering close, and open connections as (local end, peer's end)."""

    group: TaskGroup
    lingering: LingeringConnections
    pairs: list[tuple[Any, Any]]


def connect_pairs(loop: EventLoop, count: int) -> list[tuple[Any, Any]]:
    """Return open connections as pairs of the local end and the peer's end."""
    listener = loop.backend.listen(("127.0.0.1", 0))
    pairs = []
    for _ in range(count):
        local_end = loop.backend.connect(listener.address)
        pairs.append((local_end, listener.accept()))
    listener.close()
    return pairs


def run_with_connections(
    loop: EventLoop,
    work: Callable[[LingeringSetup], None],
    count: int = 1,
    timeout_us: int = 300 * MS,
    max_connections: int = 8,
) -> None:
    """Run ``work`` on an event loop with ``count`` open connections."""

    def run() -> None:
        with TaskGroup(loop) as group:
            lingering = LingeringConnections(loop, group, timeout_us, max_connections)
            work(LingeringSetup(group, lingering, connect_pairs(loop, count)))

    loop.run(run)


def read_all(loop: EventLoop, stream: Any) -> bytes:
    """Return all bytes up to the end of input. Raises ConnectionClosedError on a reset."""
    data = b""
    while piece := stream.recv(deadline=loop.now() + 5 * SECOND):
        data += piece
    return data


def wait_until(loop: EventLoop, condition: Callable[[], Any]) -> None:
    """Wait until a condition holds."""
    deadline = loop.now() + 5 * SECOND
    while not condition():
        assert loop.now() < deadline, "the condition did not become true within 5 seconds"
        loop.sleep(MS)


# A close with unread bytes makes the kernel send a reset, which can destroy a response in flight.
def test_a_close_with_unread_bytes_resets_and_a_lingering_close_does_not(loop: EventLoop) -> None:
    def work(setup: LingeringSetup) -> None:
        plain_pair, lingering_pair = setup.pairs
        lingering = setup.lingering
        for local_end, peer_end in (plain_pair, lingering_pair):
            peer_end.send(b"unread")
            wait_until(loop, local_end.has_input)
            local_end.send(b"the response")
        plain_pair[0].close()
        with pytest.raises(ConnectionClosedError):
            read_all(loop, plain_pair[1])
        lingering.close(lingering_pair[0])
        assert read_all(loop, lingering_pair[1]) == b"the response"
        lingering_pair[1].close()
        wait_until(loop, lambda: not lingering)

    run_with_connections(loop, work, count=2)


def test_bytes_received_after_the_half_close_are_discarded_without_reset(loop: EventLoop) -> None:
    def work(setup: LingeringSetup) -> None:
        [(local_end, peer_end)] = setup.pairs
        lingering = setup.lingering
        local_end.send(b"the response")
        lingering.close(local_end)
        peer_end.send(b"another request")  # sent before the half-close is received
        assert read_all(loop, peer_end) == b"the response"
        peer_end.half_close()
        wait_until(loop, lambda: not lingering)
        assert not peer_end.is_closed
        assert peer_end.recv() == b""  # both ends closed without a reset

    run_with_connections(loop, work)


def test_a_connection_lingers_until_its_timeout_at_most(loop: EventLoop) -> None:
    def work(setup: LingeringSetup) -> None:
        [(local_end, _)] = setup.pairs
        lingering = setup.lingering
        started_at = loop.now()
        lingering.close(local_end)
        assert len(lingering) == 1
        lingering.wait(loop.now() + 5 * SECOND)
        assert not lingering
        assert loop.now() - started_at >= 20 * MS
        wait_until(loop, lambda: local_end.is_closed)

    run_with_connections(loop, work, timeout_us=20 * MS)


def test_a_peer_that_keeps_sending_is_closed_at_the_byte_limit(loop: EventLoop) -> None:
    def flood(stream: Any) -> NoReturn:
        while True:
            stream.send(b"x" * 65_536, loop.now() + 5 * SECOND)

    def work(setup: LingeringSetup) -> None:
        [(local_end, peer_end)] = setup.pairs
        lingering = setup.lingering
        lingering.close(local_end)
        with pytest.raises(ConnectionClosedError):
            flood(peer_end)
        assert not lingering

    run_with_connections(loop, work, timeout_us=60 * SECOND)


def test_beyond_the_limit_the_longest_lingering_connection_is_closed(loop: EventLoop) -> None:
    def work(setup: LingeringSetup) -> None:
        lingering, connections = setup.lingering, setup.pairs
        for local_end, _ in connections:
            lingering.close(local_end)
        assert len(lingering) == 2
        assert [local_end.is_closed for local_end, _ in connections] == [True, True, False, False]
        for _, peer_end in connections:
            peer_end.close()
        wait_until(loop, lambda: not lingering)

    run_with_connections(loop, work, count=4, timeout_us=60 * SECOND, max_connections=2)


def test_a_connection_closed_by_the_peer_is_closed_without_lingering(loop: EventLoop) -> None:
    def work(setup: LingeringSetup) -> None:
        [(local_end, peer_end)] = setup.pairs
        lingering = setup.lingering
        peer_end.close()
        wait_until(loop, local_end.is_closed_by_peer)
        lingering.close(local_end)
        assert not lingering
        assert local_end.is_closed

    run_with_connections(loop, work)


@pytest.mark.parametrize("ending", ["half_close", "close", "abort"])
def test_a_peers_close_is_detected_while_earlier_bytes_are_unread(loop: EventLoop, ending: str) -> None:
    def work(setup: LingeringSetup) -> None:
        [(local_end, peer_end)] = setup.pairs
        assert not local_end.is_closed_by_peer()
        assert not local_end.has_input()
        peer_end.send(b"x" * 1_000)
        wait_until(loop, local_end.has_input)
        assert not local_end.is_closed_by_peer()
        getattr(peer_end, ending)()
        wait_until(loop, local_end.is_closed_by_peer)
        assert local_end.has_input()

    run_with_connections(loop, work)


@pytest.mark.parametrize("ending", ["half_close", "close", "abort"])
def test_wake_on_peer_close_wakes_on_a_close_and_not_on_bytes(loop: EventLoop, ending: str) -> None:
    def work(setup: LingeringSetup) -> None:
        [(local_end, peer_end)] = setup.pairs
        wakeups = []

        def watch() -> None:
            local_end.wake_on_peer_close(loop.current)
            loop.park()
            wakeups.append(True)

        setup.group.spawn(watch)
        peer_end.send(b"x" * 1_000)
        wait_until(loop, local_end.has_input)
        iterations_before = loop.iterations
        loop.sleep(20 * MS)
        assert not wakeups
        assert loop.iterations - iterations_before < 20  # unread bytes cause no busy loop either
        getattr(peer_end, ending)()
        wait_until(loop, lambda: wakeups)

    run_with_connections(loop, work)


def test_a_stream_can_still_be_read_after_wake_on_peer_close(loop: EventLoop) -> None:
    def work(setup: LingeringSetup) -> None:
        [(local_end, peer_end)] = setup.pairs
        peer_end.send(b"one")
        wait_until(loop, local_end.has_input)
        local_end.wake_on_peer_close(loop.current)
        with pytest.raises(DeadlineExceededError):
            loop.park(loop.now() + 5 * MS)
        assert local_end.recv() == b"one"
        setup.group.spawn(lambda: peer_end.send(b"two"))
        assert local_end.recv(deadline=loop.now() + 5 * SECOND) == b"two"

    run_with_connections(loop, work)
