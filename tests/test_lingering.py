"""How connections end, and what is known of the peer, on both backends."""

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
class Setting:
    """What a test works with: a task group, closing connections, and open ones, each as its two ends."""

    group: TaskGroup
    lingering: LingeringConnections
    pairs: list[tuple[Any, Any]]


def connect_pairs(loop: EventLoop, count: int) -> list[tuple[Any, Any]]:
    """Return connections, each as its two ends."""
    listener = loop.backend.listen(("127.0.0.1", 0))
    pairs = []
    for _ in range(count):
        our_end = loop.backend.connect(listener.address)
        pairs.append((our_end, listener.accept()))
    listener.close()
    return pairs


def run_with_connections(
    loop: EventLoop,
    work: Callable[[Setting], None],
    count: int = 1,
    timeout_us: int = 300 * MS,
    max_connections: int = 8,
) -> None:
    """Run ``work`` on an event loop with ``count`` connections."""

    def run() -> None:
        with TaskGroup(loop) as group:
            lingering = LingeringConnections(loop, group, timeout_us, max_connections)
            work(Setting(group, lingering, connect_pairs(loop, count)))

    loop.run(run)


def read_all(loop: EventLoop, stream: Any) -> bytes:
    """Return all input up to its end. Raises ConnectionClosedError where that is a reset."""
    data = b""
    while piece := stream.recv(deadline=loop.now() + 5 * SECOND):
        data += piece
    return data


def wait_until(loop: EventLoop, condition: Callable[[], Any]) -> None:
    """Wait until a condition holds."""
    deadline = loop.now() + 5 * SECOND
    while not condition():
        assert loop.now() < deadline, "the condition never held"
        loop.sleep(MS)


def test_a_close_over_unread_bytes_resets_and_a_lingering_close_does_not(loop: EventLoop) -> None:
    def work(setting: Setting) -> None:
        plain, ours = setting.pairs
        lingering = setting.lingering
        for ours_end, theirs in (plain, ours):
            theirs.send(b"unread")
            wait_until(loop, ours_end.has_input)
            ours_end.send(b"the response")
        plain[0].close()
        with pytest.raises(ConnectionClosedError):
            read_all(loop, plain[1])
        lingering.close(ours[0])
        assert read_all(loop, ours[1]) == b"the response"
        ours[1].close()
        wait_until(loop, lambda: not lingering)

    run_with_connections(loop, work, count=2)


def test_bytes_that_arrive_after_our_half_close_are_discarded_and_reset_nothing(loop: EventLoop) -> None:
    def work(setting: Setting) -> None:
        [(ours, theirs)] = setting.pairs
        lingering = setting.lingering
        ours.send(b"the response")
        lingering.close(ours)
        theirs.send(b"another request")  # crosses our half-close
        assert read_all(loop, theirs) == b"the response"
        theirs.half_close()
        wait_until(loop, lambda: not lingering)
        assert not theirs.is_closed
        assert theirs.recv() == b""  # both sides ended without a reset

    run_with_connections(loop, work)


def test_a_connection_lingers_until_its_timeout_at_most(loop: EventLoop) -> None:
    def work(setting: Setting) -> None:
        [(ours, _)] = setting.pairs
        lingering = setting.lingering
        started_at = loop.now()
        lingering.close(ours)
        assert len(lingering) == 1
        lingering.wait(loop.now() + 5 * SECOND)
        assert not lingering
        assert loop.now() - started_at >= 20 * MS
        wait_until(loop, lambda: ours.is_closed)

    run_with_connections(loop, work, timeout_us=20 * MS)


def test_a_peer_that_sends_without_end_is_closed_at_the_bound_of_bytes(loop: EventLoop) -> None:
    def flood(stream: Any) -> NoReturn:
        while True:
            stream.send(b"x" * 65_536, loop.now() + 5 * SECOND)

    def work(setting: Setting) -> None:
        [(ours, theirs)] = setting.pairs
        lingering = setting.lingering
        lingering.close(ours)
        with pytest.raises(ConnectionClosedError):
            flood(theirs)
        assert not lingering

    run_with_connections(loop, work, timeout_us=60 * SECOND)


def test_beyond_the_bound_the_one_that_lingered_longest_closes(loop: EventLoop) -> None:
    def work(setting: Setting) -> None:
        lingering, connections = setting.lingering, setting.pairs
        for ours, _ in connections:
            lingering.close(ours)
        assert len(lingering) == 2
        assert [ours.is_closed for ours, _ in connections] == [True, True, False, False]
        for _, theirs in connections:
            theirs.close()
        wait_until(loop, lambda: not lingering)

    run_with_connections(loop, work, count=4, timeout_us=60 * SECOND, max_connections=2)


def test_a_connection_that_the_peer_has_closed_closes_at_once(loop: EventLoop) -> None:
    def work(setting: Setting) -> None:
        [(ours, theirs)] = setting.pairs
        lingering = setting.lingering
        theirs.close()
        wait_until(loop, ours.is_closed_by_peer)
        lingering.close(ours)
        assert not lingering
        assert ours.is_closed

    run_with_connections(loop, work)


@pytest.mark.parametrize("ending", ["half_close", "close", "abort"])
def test_a_peers_close_is_seen_even_if_bytes_before_it_are_unread(loop: EventLoop, ending: str) -> None:
    def work(setting: Setting) -> None:
        [(ours, theirs)] = setting.pairs
        assert not ours.is_closed_by_peer()
        assert not ours.has_input()
        theirs.send(b"x" * 1_000)
        wait_until(loop, ours.has_input)
        assert not ours.is_closed_by_peer()
        getattr(theirs, ending)()
        wait_until(loop, ours.is_closed_by_peer)
        assert ours.has_input()

    run_with_connections(loop, work)


@pytest.mark.parametrize("ending", ["half_close", "close", "abort"])
def test_a_task_that_watches_for_a_close_is_woken_by_it_and_not_by_bytes(
    loop: EventLoop, ending: str
) -> None:
    def work(setting: Setting) -> None:
        [(ours, theirs)] = setting.pairs
        woken = []

        def watch() -> None:
            ours.wake_on_peer_close(loop.current)
            loop.park()
            woken.append(True)

        setting.group.spawn(watch)
        theirs.send(b"x" * 1_000)
        wait_until(loop, ours.has_input)
        iterations_before = loop.iterations
        loop.sleep(20 * MS)
        assert not woken
        assert loop.iterations - iterations_before < 20  # unread bytes do not make the loop spin either
        getattr(theirs, ending)()
        wait_until(loop, lambda: woken)

    run_with_connections(loop, work)


def test_reading_goes_on_after_a_watch_for_the_peers_close(loop: EventLoop) -> None:
    def work(setting: Setting) -> None:
        [(ours, theirs)] = setting.pairs
        theirs.send(b"one")
        wait_until(loop, ours.has_input)
        ours.wake_on_peer_close(loop.current)
        with pytest.raises(DeadlineExceededError):
            loop.park(loop.now() + 5 * MS)
        assert ours.recv() == b"one"
        setting.group.spawn(lambda: theirs.send(b"two"))
        assert ours.recv(deadline=loop.now() + 5 * SECOND) == b"two"

    run_with_connections(loop, work)
