"""Tests of processes and determinism of the simulated backend."""

from __future__ import annotations

from harness.constants import MS, SECOND
from harness.event_loop import run_with_log

from orchidlane.runtime import EventLoop, TaskGroup
from orchidlane.runtime.simulated_backend import SimulatedBackend


def test_a_frozen_process_runs_its_due_timers_once_thawed() -> None:
    backend = SimulatedBackend(1)
    loop = EventLoop(backend)
    wakeups = []

    def wake_periodically() -> None:
        while True:
            loop.sleep(100 * MS)
            wakeups.append(loop.now())

    def work(log: list) -> None:
        process = backend.start("p", wake_periodically)
        loop.sleep(250 * MS)
        loop.freeze(process)
        loop.sleep(SECOND)
        assert len(wakeups) == 2
        loop.thaw(process)
        loop.sleep(MS)
        assert len(wakeups) == 3
        backend.kill(process)
        loop.sleep(SECOND)
        log.append(len(wakeups))

    assert run_with_log(loop, work) == [3]


def received_messages(seed: int) -> list:
    """Return the messages that 50 clients sent, each with the time at which it was received."""
    backend = SimulatedBackend(seed)
    loop = EventLoop(backend)

    def work(log: list) -> None:
        listener = backend.listen(("127.0.0.1", 0))

        def send(number: int) -> None:
            backend.connect(listener.address).send(b"%d" % number)

        with TaskGroup(loop) as group:
            for number in range(50):
                group.spawn(send, number)
            for _ in range(50):
                log.append((listener.accept().recv(), loop.now()))

    return run_with_log(loop, work)


def test_the_same_seed_gives_the_same_run() -> None:
    assert received_messages(3) == received_messages(3)
    assert received_messages(3) != received_messages(4)
