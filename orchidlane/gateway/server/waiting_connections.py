"""Client connections without a request in flight, and which of them to close when room is needed.

Clients in the listener's queue wait until those before them have a connection or are closed. Many silent
clients that connect at once are therefore closed early. Early closes are bounded by a token bucket, so that
silent clients that connect again and again cost the gateway little.
"""

from __future__ import annotations

from collections.abc import Iterable

from orchidlane.gateway.forwarding.protocol_adapter import Timeouts
from orchidlane.gateway.server.client_connection import ClientConnection

MAX_EARLY_CLOSES = 1_000  # at once; silent clients may connect by the hundreds
EARLY_CLOSE_INTERVAL_US = 5_000  # from one to the next beyond those, so that they take little CPU


class EarlyCloses:
    """A token bucket that bounds how often a client is closed early."""

    def __init__(self) -> None:
        self._full_at_us = 0  # when the bucket is full again

    def try_take(self, now: int) -> bool:
        """Take a token; return False if there is none."""
        full_at_us = max(self._full_at_us, now) + EARLY_CLOSE_INTERVAL_US
        if full_at_us - now > MAX_EARLY_CLOSES * EARLY_CLOSE_INTERVAL_US:
            return False
        self._full_at_us = full_at_us
        return True


class WaitingConnections:
    """The connections that may be closed to make room, each table in the order in which they began to wait.

    ``new`` have had no valid request so far, ``rejected`` sent an invalid one whose error is delayed, and
    ``idle`` are between two requests.
    """

    def __init__(self, timeouts: Timeouts) -> None:
        self.new: dict[ClientConnection, None] = {}
        self.rejected: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self._min_idle_us = timeouts.min_client_idle_us
        self._min_silent_us = timeouts.min_silent_client_us
        self._early_closes = EarlyCloses()

    def await_request(self, connection: ClientConnection, now: int) -> None:
        """Add a connection that waits for its next request."""
        connection.idle_since_us = now
        table = self.idle if connection.has_sent_request else self.new
        table.pop(connection, None)
        table[connection] = None

    def await_error(self, connection: ClientConnection, now: int) -> None:
        """Add a connection that waits for a delayed error response."""
        connection.idle_since_us = now
        self.new.pop(connection, None)
        self.rejected[connection] = None

    def awaiting_requests(self) -> list[ClientConnection]:
        """Return the connections that wait for a request."""
        return [*self.new, *self.idle]

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection from all tables."""
        for table in (self.new, self.rejected, self.idle):
            table.pop(connection, None)

    def next_to_close(self, now: int) -> ClientConnection | None:
        """Return the connection to close first, None if none can be closed now.

        Silent clients come first, then those with an invalid request, whatever they sent after it, then
        incomplete first requests, then the connection that was idle longest. The latter two are not closed
        while a silent or a rejected one is only too young, nor with unread input: that request is served.
        """
        idle_before = now - self._min_idle_us
        silent = next(filter(is_silent, self.new), None)
        if silent is not None and self._may_close_silent(silent, now):
            return silent
        rejected = next(iter(self.rejected), None)
        if rejected is not None and rejected.idle_since_us <= idle_before:
            return rejected
        if silent is not None or rejected is not None:
            return None
        return _first_without_input(self.new, idle_before) or _first_without_input(self.idle, idle_before)

    def _may_close_silent(self, connection: ClientConnection, now: int) -> bool:
        silent_us = now - connection.idle_since_us
        if silent_us >= self._min_idle_us:
            return True
        return silent_us >= self._min_silent_us and self._early_closes.try_take(now)


def is_silent(connection: ClientConnection) -> bool:
    """Return whether nothing of the next request has arrived, not even unread."""
    return connection.is_between_requests and not connection.has_more()


def _first_without_input(
    connections: Iterable[ClientConnection], idle_before: int
) -> ClientConnection | None:
    """Return the first connection that has been waiting since ``idle_before`` and has no unread input."""
    for connection in connections:
        if connection.idle_since_us > idle_before:
            return None
        if not connection.stream.has_input():
            return connection
    return None
