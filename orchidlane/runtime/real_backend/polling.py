"""Descriptors registered with ``select.poll``, and the tasks that wait for them.

The events that a descriptor is polled for (its interest) stay registered between polls, so a task that waits
again for the same event makes no system call. An event that occurs while no task waits for it is removed from
the interest: poll(2) is level-triggered, so every later poll would return at once.
"""

from __future__ import annotations

import select
import socket
from typing import Any

from orchidlane.runtime.errors import ConnectionClosedError
from orchidlane.runtime.tasks import SchedulerInterface, Task

READABLE = select.POLLIN | select.POLLPRI
WRITABLE = select.POLLOUT
PEER_CLOSED = select.POLLRDHUP  # reported even while earlier bytes are unread
ERROR_OR_HANGUP = select.POLLERR | select.POLLHUP | select.POLLNVAL  # reported regardless of interest

MAX_POLL_MS = 1_000  # keeps the event loop's statistics up to date on an idle gateway
ERROR_BACKOFF_US = 10_000  # delay after an error that is retried, so that a lasting one causes no busy loop
CLOSED_LOCALLY = "the socket was closed locally"


class DescriptorPoller:
    """The registered descriptors, which are polled together."""

    loop: SchedulerInterface

    def __init__(self) -> None:
        self._poller = select.poll()
        self._single_poller = select.poll()
        self._descriptors: dict[int, PolledDescriptor] = {}

    def attach(self, loop: SchedulerInterface) -> None:
        """Set the event loop whose tasks wait for these descriptors."""
        self.loop = loop

    def poll(self, timeout_us: int | None) -> None:
        """Wake the tasks whose descriptors are ready; wait at most ``timeout_us``, None for no limit."""
        timeout_ms = MAX_POLL_MS if timeout_us is None else min(MAX_POLL_MS, -(-timeout_us // 1_000))
        for fileno, events in self._poller.poll(timeout_ms):
            descriptor = self._descriptors.get(fileno)
            if descriptor is not None:
                descriptor.handle_events(events)

    def register(self, descriptor: PolledDescriptor) -> None:
        """Register a descriptor without any interest."""
        self._descriptors[descriptor.fileno] = descriptor
        self._poller.register(descriptor.fileno, 0)
        descriptor.is_registered = True

    def descriptors(self) -> list[PolledDescriptor]:
        """Return the registered descriptors."""
        return list(self._descriptors.values())

    def set_interest(self, descriptor: PolledDescriptor, interest: int) -> None:
        """Replace the events that a registered descriptor is polled for."""
        self._poller.modify(descriptor.fileno, interest)

    def poll_once(self, descriptor: PolledDescriptor, interest: int) -> int:
        """Return which events of ``interest`` a descriptor has right now, without waiting."""
        self._single_poller.register(descriptor.fileno, interest)
        ready = self._single_poller.poll(0)
        self._single_poller.unregister(descriptor.fileno)
        return ready[0][1] if ready else 0

    def unregister(self, descriptor: PolledDescriptor) -> None:
        """Stop polling a descriptor; does nothing if it is not registered."""
        if descriptor.is_registered:
            descriptor.is_registered = False
            del self._descriptors[descriptor.fileno]
            self._poller.unregister(descriptor.fileno)


class PolledDescriptor:
    """A polled socket or pipe, with at most one task waiting to read and one waiting to write."""

    def __init__(self, poller: DescriptorPoller, sock: Any) -> None:
        self.poller = poller
        self.sock = sock
        self.fileno: int = sock.fileno()
        self.interest = 0
        self.reader: Task | None = None
        self.writer: Task | None = None
        self.is_registered = False
        self.is_closed = False
        self.is_input_exhausted = False  # the last read returned everything available
        poller.register(self)

    def handle_events(self, events: int) -> None:
        """Wake the waiting tasks, and remove events that no task waits for from the interest."""
        self.is_input_exhausted = False
        loop = self.poller.loop
        unawaited_events = 0
        if events & (READABLE | PEER_CLOSED | ERROR_OR_HANGUP):
            if self.reader is not None:
                task, self.reader = self.reader, None
                loop.wake(task)
            else:
                unawaited_events |= READABLE | PEER_CLOSED
        if events & (WRITABLE | ERROR_OR_HANGUP):
            if self.writer is not None:
                task, self.writer = self.writer, None
                loop.wake(task)
            unawaited_events |= WRITABLE
        if self.interest & unawaited_events:
            self.interest &= ~unawaited_events
            self.poller.set_interest(self, self.interest)
        elif events & ERROR_OR_HANGUP and not self.interest:
            self.poller.unregister(self)  # poll(2) reports errors and hang-ups even without interest

    def _add_interest(self, events: int) -> None:
        if self.is_closed:
            raise ConnectionClosedError(CLOSED_LOCALLY)
        if not self.is_registered:
            self.poller.register(self)
            self.interest = 0
        if self.interest & events != events:
            self.interest |= events
            self.poller.set_interest(self, self.interest)

    def wait_read(self, deadline: int | None) -> None:
        """Wait until a read would return at once.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self._add_interest(READABLE)
        task = self.reader = self.poller.loop.current
        try:
            self.poller.loop.park(deadline)
        finally:
            if self.reader is task:  # another task may have replaced it in order to close the connection
                self.reader = None
        if self.is_closed:
            raise ConnectionClosedError(CLOSED_LOCALLY)

    def wait_write(self, deadline: int | None) -> None:
        """Wait until a write would be accepted.

        Raises ConnectionClosedError, DeadlineExceededError.
        """
        self._add_interest(WRITABLE)
        self.writer = self.poller.loop.current
        try:
            self.poller.loop.park(deadline)
        finally:
            self.writer = None
        if self.is_closed:
            raise ConnectionClosedError(CLOSED_LOCALLY)

    def wake_on_input(self, task: Task) -> None:
        """Register a task to be woken once a read would return at once; return without waiting."""
        self._add_interest(READABLE)
        self.reader = task

    def wake_on_peer_close(self, task: Task) -> None:
        """Register a task to be woken once the peer has closed or reset; bytes do not wake it."""
        self._add_interest(PEER_CLOSED)
        if self.interest & READABLE:
            self.interest &= ~READABLE
            self.poller.set_interest(self, self.interest)
        self.reader = task

    def has_input(self) -> bool:
        """Return whether a read would return at once: with bytes, the end of input or an error."""
        return not self.is_closed and self.poller.poll_once(self, READABLE | PEER_CLOSED) != 0

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection."""
        return self.is_closed or self.poller.poll_once(self, PEER_CLOSED) != 0

    def duplicate(self) -> socket.socket:
        """Return another descriptor of the same socket."""
        duplicate: socket.socket = self.sock.dup()
        return duplicate

    def close(self) -> None:
        """Close the descriptor and wake the waiting tasks; does nothing if it is already closed."""
        if self.is_closed:
            return
        self.is_closed = True
        self.poller.unregister(self)
        self.sock.close()
        for task in (self.reader, self.writer):
            if task is not None:
                self.poller.loop.wake(task)
        self.reader = self.writer = None
