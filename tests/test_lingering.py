"""How connections end, and what is known of the other side, in both worlds."""

from __future__ import annotations

import pytest

from orchidlane.runtime import (
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    LingeringConnections,
    RealBackend,
    SimulatedBackend,
    TaskGroup,
)

MS, SECOND = 1_000, 1_000_000


@pytest.fixture(params=["real", "simulated"])
def loop(request) -> EventLoop:
    return EventLoop(RealBackend(1) if request.param == "real" else SimulatedBackend(1))


def pairs(loop: EventLoop, count: int) -> list:
    """Connections as (one end, other end)."""
    listener = loop.backend.listen(("127.0.0.1", 0))
    found = []
    for _ in range(count):
        one = loop.backend.connect(listener.address)
        found.append((one, listener.accept()))
    listener.close()
    return found


def play(loop: EventLoop, work, count: int = 1, span: int = 300 * MS, most: int = 8) -> None:
    """``work(scope, lingering, *connections)``."""

    def run():
        with TaskGroup(loop) as scope:
            work(scope, LingeringConnections(loop, scope, span, most), *pairs(loop, count))

    loop.run(run)


def read_all(loop: EventLoop, stream) -> bytes:
    """All up to the end of input; raises Closed where that is a reset."""
    found = b""
    while data := stream.recv(deadline=loop.now() + 5 * SECOND):
        found += data
    return found


def settle(loop: EventLoop, holds) -> None:
    by = loop.now() + 5 * SECOND
    while not holds():
        assert loop.now() < by, "never came"
        loop.sleep(MS)


def test_a_close_over_unread_bytes_is_a_reset_and_a_lingering_one_is_none(loop):
    def work(scope, lingering, plain, ours):
        for ours_end, theirs in (plain, ours):
            theirs.send(b"unread")
            settle(loop, ours_end.has_input)
            ours_end.send(b"the answer")
        plain[0].close()
        with pytest.raises(ConnectionClosedError):
            read_all(loop, plain[1])
        lingering.close(ours[0])
        assert read_all(loop, ours[1]) == b"the answer"
        ours[1].close()
        settle(loop, lambda: not lingering)

    play(loop, work, count=2)


def test_bytes_that_come_after_our_end_are_thrown_away_and_reset_nothing(loop):
    def work(scope, lingering, pair):
        ours, theirs = pair
        ours.send(b"the answer")
        lingering.close(ours)
        theirs.send(b"another request")  # crosses our end
        assert read_all(loop, theirs) == b"the answer"
        theirs.half_close()
        settle(loop, lambda: not lingering)
        assert not theirs.is_closed and theirs.recv() == b""  # it ended in order on both sides

    play(loop, work)


def test_a_connection_lingers_for_its_time_at_most(loop):
    def work(scope, lingering, pair):
        began = loop.now()
        lingering.close(pair[0])
        assert len(lingering) == 1
        lingering.wait(loop.now() + 5 * SECOND)
        assert not lingering and loop.now() - began >= 20 * MS
        settle(loop, lambda: pair[0].is_closed)

    play(loop, work, span=20 * MS)


def test_endless_bytes_end_the_lingering(loop):
    def flood(stream):
        with pytest.raises(ConnectionClosedError):
            while True:
                stream.send(b"x" * 65_536, loop.now() + 5 * SECOND)

    def work(scope, lingering, pair):
        lingering.close(pair[0])
        flood(pair[1])
        assert not lingering

    play(loop, work, span=60 * SECOND)


def test_beyond_the_bound_the_one_that_lingered_longest_closes(loop):
    def work(scope, lingering, *connections):
        for ours, _ in connections:
            lingering.close(ours)
        assert len(lingering) == 2
        assert [ours.is_closed for ours, _ in connections] == [True, True, False, False]
        for _, theirs in connections:
            theirs.close()
        settle(loop, lambda: not lingering)

    play(loop, work, count=4, span=60 * SECOND, most=2)


def test_one_that_the_other_side_ended_closes_at_once(loop):
    def work(scope, lingering, pair):
        pair[1].close()
        settle(loop, pair[0].is_closed_by_peer)
        lingering.close(pair[0])
        assert not lingering and pair[0].is_closed

    play(loop, work)


@pytest.mark.parametrize("leave", ["half_close", "close", "abort"])
def test_an_end_is_seen_behind_bytes_that_nobody_reads(loop, leave):
    def work(scope, lingering, pair):
        ours, theirs = pair
        assert not ours.is_closed_by_peer() and not ours.has_input()
        theirs.send(b"x" * 1_000)
        settle(loop, ours.has_input)
        assert not ours.is_closed_by_peer()
        getattr(theirs, leave)()
        settle(loop, ours.is_closed_by_peer)
        assert ours.has_input()

    play(loop, work)


@pytest.mark.parametrize("leave", ["half_close", "close", "abort"])
def test_whoever_watches_the_end_is_woken_by_it_and_not_by_bytes(loop, leave):
    def work(scope, lingering, pair):
        ours, theirs = pair
        woken = []

        def watcher():
            ours.wake_on_peer_close(loop.current)
            loop.park()
            woken.append(True)

        scope.spawn(watcher)
        theirs.send(b"x" * 1_000)
        settle(loop, ours.has_input)
        iterations_before = loop.iterations
        loop.sleep(20 * MS)
        assert not woken and loop.iterations - iterations_before < 20  # nor do they make the loop spin
        getattr(theirs, leave)()
        settle(loop, lambda: woken)

    play(loop, work)


def test_reading_goes_on_after_the_end_was_watched(loop):
    def work(scope, lingering, pair):
        ours, theirs = pair
        theirs.send(b"one")
        settle(loop, ours.has_input)
        ours.wake_on_peer_close(loop.current)
        with pytest.raises(DeadlineExceededError):
            loop.park(loop.now() + 5 * MS)
        assert ours.recv() == b"one"
        scope.spawn(lambda: theirs.send(b"two"))
        assert ours.recv(deadline=loop.now() + 5 * SECOND) == b"two"

    play(loop, work)
