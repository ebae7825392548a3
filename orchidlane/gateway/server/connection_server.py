"""Base class of the HTTP and RESP servers: keeps connections from accept to close or hand-over."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from orchidlane.gateway.forwarding.protocol_adapter import GatewayLimits
from orchidlane.gateway.server.client_connection import ConnectionObserver
from orchidlane.runtime import (
    REQUESTS,
    DeadlineExceededError,
    EventLoop,
    LingeringConnections,
    Listener,
    Stream,
    Task,
    TaskGroup,
)


class ServedConnection(Protocol):
    """The attributes of a client's connection that both servers use."""

    number: int
    stream: Stream
    task: Task | None
    is_detached: bool


ConnectionT = TypeVar("ConnectionT", bound=ServedConnection)


class ConnectionServer(ABC, Generic[ConnectionT]):
    """Keeps the connections of one listener, each served by a task of its own.

    Connections are kept in order of arrival. They are closed by a lingering close (RFC 9112 section 9.6) or,
    in a hot restart, handed over to another process between two requests.
    """

    accept_task_name: str
    client_task_name: str

    def __init__(self, loop: EventLoop, gateway_limits: GatewayLimits, scope: TaskGroup) -> None:
        self.loop = loop
        self.scope = scope
        self.connections: dict[ConnectionT, None] = {}
        self.lingering = LingeringConnections(
            loop,
            scope,
            gateway_limits.timeouts.linger_us,
            gateway_limits.resource_limits.max_lingering_connections,
        )
        self.draining = False
        self.listener: Listener
        self.hand_over: Callable[[ConnectionT], None] | None = None  # set while connections are handed over
        self.observer: ConnectionObserver | None = None  # set while another process may continue them
        self._accept_task: Task
        self._drain_waiter: Task | None = None  # the task that runs ``wait_until_closed``
        self._last_number = loop.now()  # a process that starts later uses higher numbers

    @abstractmethod
    def _accept(self) -> None:
        """Accept clients until the listener closes."""

    @abstractmethod
    def _serve(self, connection: ConnectionT) -> None:
        """Serve a connection until it is closed or handed over."""

    @abstractmethod
    def _can_hand_over(self, connection: ConnectionT) -> bool:
        """Return whether a connection is between two requests."""

    def listen(self, listener: Listener) -> None:
        """Start accepting clients from a listener."""
        self.listener = listener
        self._start_accepting()

    def _start_accepting(self) -> None:
        self._accept_task = self.scope.spawn(self._accept, priority=REQUESTS, name=self.accept_task_name)

    def stop_accepting(self, hand_over: Callable[[ConnectionT], None]) -> None:
        """Stop accepting clients and hand over each connection once it is between two requests.

        New clients wait in the listener's queue.
        """
        self.loop.cancel(self._accept_task)
        self.hand_over = hand_over
        for connection in list(self.connections):
            if self._can_hand_over(connection):
                self._hand_over(connection)

    def resume(self) -> None:
        """Accept clients again."""
        self.hand_over = None
        self._start_accepting()

    def next_number(self) -> int:
        """Return a number that no other connection of this server has."""
        self._last_number += 1
        return self._last_number

    def _start_serving(self, connection: ConnectionT) -> None:
        self.connections[connection] = None
        connection.task = self.scope.spawn(
            self._serve, connection, priority=REQUESTS, name=self.client_task_name
        )

    def _hand_over(self, connection: ConnectionT) -> None:
        assert self.hand_over is not None
        assert connection.task is not None
        self._remove(connection)
        self.hand_over(connection)
        self.loop.cancel(connection.task)

    def _remove(self, connection: ConnectionT) -> None:
        """Remove a connection from all tables; no more requests are served on it here."""
        connection.is_detached = True
        self.connections.pop(connection, None)

    def _release_if_observed(self, connection: ConnectionT) -> None:
        """Release a connection whose task fails, without closing it, if an observing process continues it."""
        if self.observer is not None and not connection.is_detached:
            self._remove(connection)
            connection.stream.release()

    def _close(self, connection: ConnectionT) -> None:
        """Close a connection, from its own task or from another."""
        if connection.is_detached:
            return
        self._remove(connection)
        self.lingering.close(connection.stream)
        if self.observer is not None:
            self.observer.connection_closed(connection.number)
        if connection.task is not None and connection.task is not self.loop.current:
            self.loop.cancel(connection.task)
        if self._drain_waiter is not None and not self.connections:
            self.loop.wake(self._drain_waiter)

    def wait_until_closed(self, deadline: int) -> bool:
        """Wait until all connections are closed; return False if some are still open at the deadline."""
        self._drain_waiter = self.loop.current
        try:
            while self.connections:
                self.loop.park(deadline)
        except DeadlineExceededError:
            return False
        finally:
            self._drain_waiter = None
        self.lingering.wait(deadline)
        return True
