"""A process that serves until a signal ends it; signals are tasks of the loop."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable

from orchidlane.runtime.real_backend import RealBackend, WakeupPipe
from orchidlane.runtime.scheduler import EventLoop, TaskGroup
from orchidlane.runtime.tasks import CONTROL

GARBAGE = (20_000, 20, 50)  # most goes by its count; rare runs keep pauses few


def block_reload_signal() -> None:
    """Hold SIGHUP back until ``serve`` hears it. Guards against its default, which ends the process, and
    against one that comes after the configuration was read and before anybody listens.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def serve(
    loop: EventLoop,
    backend: RealBackend,
    work: Callable[[], None],
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> None:
    """Run ``work`` as all that this process does: SIGTERM and SIGINT call ``stop``, SIGHUP ``reload``."""
    gc.set_threshold(*GARBAGE)
    handlers = {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload}
    loop.run(_with_signals, loop, backend, handlers, work)


def _with_signals(
    loop: EventLoop,
    backend: RealBackend,
    handlers: dict[signal.Signals, Callable[[], None]],
    work: Callable[[], None],
) -> None:
    """Run ``work`` with signals brought to the loop as bytes on a pipe."""
    signs = WakeupPipe(backend)
    for number in handlers:
        signal.signal(number, lambda *_: None)
    signal.set_wakeup_fd(signs.writer_number, warn_on_full_buffer=False)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def listen() -> None:
        while True:
            for number in signs.recv():
                if number in handlers:  # another one says nothing to us
                    scope.spawn(handlers[signal.Signals(number)], priority=CONTROL, name="signal")

    try:
        with TaskGroup(loop) as scope:
            scope.spawn(listen, priority=CONTROL, name="signals")
            work()
            scope.cancel()
    finally:
        signal.set_wakeup_fd(-1)
        signs.close()
        signs.hang_up()
