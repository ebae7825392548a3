"""The times of a graceful shutdown, between SIGTERM and SIGKILL. Does no I/O.

By the platform's protocol new connections keep coming for 0.4 s after SIGTERM, clients use those that stay
open, and SIGKILL comes ``KILL_DELAY_US`` after the longest deadline, of which 3 s are counted at most. So:

    ACCEPT_PERIOD_US      everything goes on as before; at its end the listener and idle connections close
    + longest deadline    until the last request that came meanwhile has had its time
    + RESPONSE_MARGIN_US  for the last responses to leave
    --------------------
    = longest deadline + KILL_DELAY_US: whatever the deadlines are, each request that came in time has all of
    its own

Only a request whose own time is longer than what is counted of it ends earlier, ``RESPONSE_MARGIN_US`` before
SIGKILL.
"""

from __future__ import annotations

from typing import NamedTuple

NEW_CONNECTIONS_PERIOD_US = 400_000  # by the platform's protocol
KILL_DELAY_US = 700_000  # by the platform's protocol
MAX_COUNTED_DEADLINE_US = 3_000_000  # by the platform's protocol
ACCEPT_PERIOD_US = NEW_CONNECTIONS_PERIOD_US + 100_000  # for connections on their way
RESPONSE_MARGIN_US = KILL_DELAY_US - ACCEPT_PERIOD_US


class ShutdownTimes(NamedTuple):
    """Clock times in microseconds.

    No connection is accepted from ``stop_accepting`` on; open requests are waited for until ``stop_waiting``;
    by ``end`` the last responses have been read, or never will be.
    """

    stop_accepting: int
    stop_waiting: int
    end: int


def graceful_shutdown(now: int, longest_deadline_us: int) -> ShutdownTimes:
    """Return the times of a shutdown that begins now; the deadline is the longest of any request class."""
    killed_at = now + min(longest_deadline_us, MAX_COUNTED_DEADLINE_US) + KILL_DELAY_US
    return ShutdownTimes(
        stop_accepting=now + ACCEPT_PERIOD_US,
        stop_waiting=killed_at - RESPONSE_MARGIN_US,
        end=killed_at - RESPONSE_MARGIN_US // 2,
    )
