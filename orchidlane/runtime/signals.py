"""Signal handling of a serving process: each signal runs its handler as a task of the event loop."""

from __future__ import annotations

import gc
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from orchidlane.runtime.real_backend import RealBackend, WakeupPipe
from orchidlane.runtime.scheduler import EventLoop
from orchidlane.runtime.task_group import TaskGroup
from orchidlane.runtime.tasks import CONTROL

# Allocations before a collection of the youngest generation, then collections of each generation before one
# of the next. Reference counting frees most objects, so rare collections suffice and keep pauses rare.
GARBAGE_COLLECTION_THRESHOLDS = (20_000, 20, 50)

SignalHandlers = dict[signal.Signals, Callable[[], None]]


def block_reload_signal() -> None:
    """Block SIGHUP until ``serve`` handles it.

    The default action of SIGHUP ends the process. While it is blocked, a SIGHUP that arrives after the
    configuration was read and before ``serve`` handles signals stays pending instead of being lost.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def serve(
    loop: EventLoop,
    backend: RealBackend,
    work: Callable[[], None],
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> None:
    """Run ``work`` as the process's main task: SIGTERM and SIGINT call ``stop``, SIGHUP calls ``reload``."""
    gc.set_threshold(*GARBAGE_COLLECTION_THRESHOLDS)
    handlers = {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload}
    loop.run(_run_with_handlers, loop, backend, handlers, work)


def _run_with_handlers(
    loop: EventLoop, backend: RealBackend, handlers: SignalHandlers, work: Callable[[], None]
) -> None:
    """Run ``work``, and the handlers of the signals received in the meantime."""
    with _signal_pipe(backend, handlers) as pipe, TaskGroup(loop) as group:
        group.spawn(_dispatch_signals, pipe, handlers, group, priority=CONTROL, name="signals")
        work()
        group.cancel()


@contextmanager
def _signal_pipe(backend: RealBackend, handlers: SignalHandlers) -> Iterator[WakeupPipe]:
    """Write the number of each received signal to a pipe (see ``signal.set_wakeup_fd``)."""
    pipe = WakeupPipe(backend)
    for number in handlers:
        signal.signal(number, lambda *_: None)
    signal.set_wakeup_fd(pipe.writer_fileno, warn_on_full_buffer=False)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        yield pipe
    finally:
        signal.set_wakeup_fd(-1)
        pipe.close()
        pipe.close_writer()


def _dispatch_signals(pipe: WakeupPipe, handlers: SignalHandlers, group: TaskGroup) -> None:
    """Spawn the handler of each received signal; ignore signals without a handler."""
    while True:
        for number in pipe.recv():
            if number in handlers:
                group.spawn(handlers[signal.Signals(number)], priority=CONTROL, name="signal")
