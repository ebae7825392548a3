"""Sockets shared by several processes, and the handles that pass them between processes."""

from __future__ import annotations

from orchidlane.runtime.tasks import Process


class SharedResource:
    """A socket that several processes may hold; it closes when the last of them releases it."""

    holders: dict[Process | SimulatedHandle, None]  # in the order in which they got hold of it

    def duplicate(self) -> SimulatedHandle:
        """Return a handle that can be passed to another process."""
        handle = SimulatedHandle(self)
        self.holders[handle] = None
        return handle

    def release_holder(self, holder: Process | SimulatedHandle) -> None:
        """Remove a process or handle from the holders; close the socket if it was the last one."""
        self.holders.pop(holder, None)
        if not self.holders:
            self._close_for_all()

    def _close_for_all(self) -> None:
        """Close the socket, which no process or handle holds any more."""
        raise NotImplementedError


class SimulatedHandle:
    """A socket that is being passed to another process."""

    def __init__(self, resource: SharedResource) -> None:
        self.resource = resource

    def adopt(self, process: Process) -> SharedResource:
        """Replace this handle by a process in the socket's holders; return the socket."""
        self.resource.holders.pop(self, None)
        self.resource.holders[process] = None
        return self.resource
