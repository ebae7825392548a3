"""The loop's contract, in both worlds where it can be."""

from __future__ import annotations

import errno
import gc
import resource
import subprocess
import sys

import pytest

from orchidlane.runtime import (
    BACKGROUND,
    REQUESTS,
    Cancelled,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    NetworkFaults,
    RealBackend,
    SimulatedBackend,
    TaskGroup,
)
from orchidlane.runtime.timers import Timers

MS, SECOND = 1_000, 1_000_000
ANY = ("127.0.0.1", 0)


@pytest.fixture(params=["real", "simulated"])
def loop(request) -> EventLoop:
    return EventLoop(
        RealBackend(1)
        if request.param == "real"
        else SimulatedBackend(1, NetworkFaults(datagram_loss_probability=0))
    )


def play(loop: EventLoop, work) -> list:
    log: list = []
    loop.run(work, log)
    return log


def test_a_child_that_fails_ends_its_siblings_and_is_raised(loop):
    def sibling(log):
        try:
            loop.sleep(100 * SECOND)
        except Cancelled:
            log.append("ended")
            raise

    def fails():
        loop.sleep(MS)
        raise ZeroDivisionError

    def work(log):
        with pytest.raises(ZeroDivisionError), TaskGroup(loop) as scope:
            scope.spawn(sibling, log)
            scope.spawn(fails)
            loop.sleep(100 * SECOND)

    assert play(loop, work) == ["ended"]


def test_no_child_outlives_its_scope(loop):
    def child(log):
        loop.sleep(5 * MS)
        log.append("child")

    def work(log):
        with TaskGroup(loop) as scope:
            for _ in range(3):
                scope.spawn(child, log)
        log.append("after")

    assert play(loop, work) == ["child"] * 3 + ["after"]


def test_a_cancelled_task_cannot_wait_any_more(loop):
    def child(log):
        for _ in range(2):
            try:
                loop.sleep(SECOND)
            except Cancelled:
                log.append("cancelled")

    def work(log):
        with TaskGroup(loop) as scope:
            scope.spawn(child, log)
            loop.sleep(MS)
            scope.cancel()

    assert play(loop, work) == ["cancelled"] * 2


def test_a_task_cancelled_before_it_ran_still_does_what_it_owes(loop):
    def child(log):
        try:
            loop.sleep(SECOND)
        finally:
            log.append("told")

    def work(log):
        with TaskGroup(loop) as scope:
            scope.spawn(child, log)
            scope.cancel()

    assert play(loop, work) == ["told"]


def test_an_expired_wait_leaves_nothing_behind(loop):
    def work(log):
        listener = loop.backend.listen(ANY)
        for _ in range(3):
            with pytest.raises(DeadlineExceededError):
                listener.accept(loop.now() + 5 * MS)
        assert len(loop.timers) == 0
        with TaskGroup(loop) as scope:
            scope.spawn(lambda: loop.backend.connect(listener.address).send(b"x"))
            log.append(listener.accept(loop.now() + SECOND).recv())

    assert play(loop, work) == [b"x"]


def test_a_busy_task_does_not_starve_others(loop):
    def busy(log):
        for _ in range(2_000):
            loop.yield_sometimes()
        log.append("busy")

    def work(log):
        with TaskGroup(loop) as scope:
            scope.spawn(busy, log, priority=REQUESTS)
            scope.spawn(lambda: log.append("other"), priority=REQUESTS)

    assert play(loop, work) == ["other", "busy"]


def test_background_work_goes_on_beside_requests_and_does_not_hold_them_up(loop):
    def endless(log, name, kind):
        for _ in range(200):
            loop.yield_to_others()
        log.append(name)

    def work(log):
        with TaskGroup(loop) as scope:
            for number in range(40):
                scope.spawn(endless, log, f"b{number}", BACKGROUND, priority=BACKGROUND)
            scope.spawn(endless, log, "request", REQUESTS, priority=REQUESTS)

    log = play(loop, work)
    assert log[0] == "request"
    assert len(log) == 41


def test_streams_keep_bytes_in_order_under_back_pressure(loop):
    data = bytes(range(256)) * 4_000

    def work(log):
        listener = loop.backend.listen(ANY)

        def send():
            stream = loop.backend.connect(listener.address)
            stream.send(data)
            stream.close()

        with TaskGroup(loop) as scope:
            scope.spawn(send)
            stream, got = listener.accept(), b""
            while piece := stream.recv(10_000):
                got += piece
                loop.yield_to_others()
            log.append(got == data)

    assert play(loop, work) == [True]


def test_a_reset_and_a_refusal_are_told_apart(loop):
    def work(log):
        listener = loop.backend.listen(ANY)
        stream = loop.backend.connect(listener.address)
        other = listener.accept()
        other.abort()
        with pytest.raises(ConnectionClosedError):
            while True:
                stream.recv(deadline=loop.now() + SECOND)
        listener.close()
        with pytest.raises(ConnectionFailedError):
            loop.backend.connect(listener.address, loop.now() + SECOND)

    play(loop, work)


def test_datagrams_come_with_their_sender(loop):
    def work(log):
        one, two = loop.backend.bind_datagrams(ANY), loop.backend.bind_datagrams(ANY)
        one.send(b"hello", two.address)
        log.append(two.recv(loop.now() + SECOND) == (b"hello", one.address))

    assert play(loop, work) == [True]


def test_files_are_replaced_whole(loop, tmp_path):
    path = str(tmp_path / "f")

    def work(log):
        assert loop.backend.read_file(path) is None
        loop.backend.write_file(path, b"one")
        loop.backend.append_file(path, b"two")
        log.append(loop.backend.read_file(path))

    assert play(loop, work) == [b"onetwo"]


def test_long_work_aside_does_not_hold_the_loop_up(loop):
    def work(log):
        log.append(loop.backend.run_in_thread(lambda: sum(range(1_000))))
        with pytest.raises(ZeroDivisionError):
            loop.backend.run_in_thread(lambda: 1 / 0)

    assert play(loop, work) == [499_500]


SIGNALLED = """
import os, signal, sys
# Where only TCP and UDP are known, a pair of Unix sockets has no credentials and nobody comes to one.
def refuse(event, arguments):
    if event == "socket.__new__" and arguments[1] == 1:
        raise OSError("no Unix sockets here")
sys.addaudithook(refuse)
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.runtime.signals import serve
backend = RealBackend(1)
loop, told = EventLoop(backend), []
def work():
    task = loop.current
    def tell(name):
        told.append(name)
        loop.wake(task)
    hear["stop"], hear["reload"] = (lambda: tell("stop")), (lambda: tell("reload"))
    for number, deadline in ((signal.SIGHUP, None), (signal.SIGTERM, loop.now() + 30_000_000)):
        loop.spawn(os.kill, os.getpid(), number)
        loop.park(deadline)
hear = {}
began = loop.now()
serve(loop, backend, work, lambda: hear["stop"](), lambda: hear["reload"]())
print(*told, loop.now() - began < 10_000_000)
"""


def test_signals_wake_every_wait_without_a_unix_socket():
    done = subprocess.run([sys.executable, "-c", SIGNALLED], capture_output=True, text=True, timeout=60)
    assert (done.stdout, done.stderr) == ("reload stop True\n", "")


class Failing:
    """A socket whose next calls fail with these errors."""

    def __init__(self, sock, *errors):
        self.sock, self.errors = sock, list(errors)

    def __getattr__(self, name):
        if name in ("accept", "recvfrom") and self.errors:
            raise OSError(self.errors.pop(0), "made to fail")
        return getattr(self.sock, name)


def test_errors_of_one_client_or_of_the_network_do_not_end_accepting():
    loop = EventLoop(RealBackend(1))

    def work(log):
        listener = loop.backend.listen(ANY)
        listener.sock = Failing(listener.sock, errno.EPROTO, errno.ENETDOWN, errno.ECONNABORTED, errno.EPERM)
        stream = loop.backend.connect(listener.address)
        stream.send(b"hello")
        log.append(listener.accept(loop.now() + SECOND).recv(deadline=loop.now() + SECOND))

    assert play(loop, work) == [b"hello"]


def test_an_error_of_datagrams_that_stays_does_not_spin():
    loop = EventLoop(RealBackend(1))

    def work(log):
        here = loop.backend.bind_datagrams(ANY)
        here.send(b"one", here.address)
        here.sock = Failing(here.sock, *[errno.ENETDOWN] * 5)
        others = []

        def other():
            while not log:
                others.append(loop.now())
                loop.sleep(MS)

        loop.spawn(other)
        log.append(here.recv(loop.now() + SECOND)[0])
        assert len(others) > 5

    assert play(loop, work) == [b"one"]


def test_idle_descriptors_do_not_make_the_poll_spin():
    loop = EventLoop(RealBackend(1))

    def work(log):
        listener = loop.backend.listen(ANY)
        streams = [loop.backend.connect(listener.address) for _ in range(20)]
        others = [listener.accept() for _ in range(20)]
        for other in others:
            other.send(b"unread")
            other.close()
        loop.sleep(20 * MS)
        iterations_before = loop.iterations
        loop.sleep(100 * MS)
        log.append(loop.iterations - iterations_before)
        assert [stream.recv() for stream in streams] == [b"unread"] * 20

    assert play(loop, work)[0] < 40


def test_out_of_descriptors_is_no_connection_and_no_crash():
    loop = EventLoop(RealBackend(1))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def work(log):
        listener = loop.backend.listen(ANY)
        held = []
        gc.collect()  # what earlier tests left open may not come free meanwhile
        resource.setrlimit(resource.RLIMIT_NOFILE, (80, hard))
        try:
            with pytest.raises(ConnectionFailedError):
                while True:
                    held.append(loop.backend.connect(listener.address, loop.now() + SECOND))
            with pytest.raises(ConnectionFailedError):
                listener.accept(loop.now() + SECOND)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for stream in held:
                stream.close()

    play(loop, work)


def test_a_process_that_stands_still_finds_everything_at_once():
    backend = SimulatedBackend(1)
    loop = EventLoop(backend)
    times = []

    def ticks():
        while True:
            loop.sleep(100 * MS)
            times.append(loop.now())

    def work(log):
        process = backend.start("p", ticks)
        loop.sleep(250 * MS)
        loop.freeze(process)
        loop.sleep(SECOND)
        assert len(times) == 2
        loop.thaw(process)
        loop.sleep(MS)
        assert len(times) == 3
        backend.kill(process)
        loop.sleep(SECOND)
        log.append(len(times))

    assert play(loop, work) == [3]


def test_the_same_seed_gives_the_same_world():
    def trace(seed):
        backend = SimulatedBackend(seed)
        loop = EventLoop(backend)
        seen = []

        def work(log):
            listener = backend.listen(ANY)

            def client(number):
                stream = backend.connect(listener.address)
                stream.send(b"%d" % number)

            with TaskGroup(loop) as scope:
                for number in range(50):
                    scope.spawn(client, number)
                for _ in range(50):
                    seen.append((listener.accept().recv(), loop.now()))

        loop.run(work, [])
        return seen

    assert trace(3) == trace(3)
    assert trace(3) != trace(4)


def test_timers_fire_in_order_and_cancelled_ones_do_not_pile_up():
    timers, fired = Timers(), []
    kept = [timers.add(n * 7 % 1_000, fired.append, n) for n in range(1_000)]
    for number, timer in enumerate(kept):
        if number % 10:
            timers.cancel(timer)
            timers.cancel(timer)
    assert len(timers) == 100
    assert len(timers._heap) < 300
    while due := timers.pop_due(10_000):
        due[0](due[1])
    assert fired == sorted((n for n in range(0, 1_000, 10)), key=lambda n: n * 7 % 1_000)
