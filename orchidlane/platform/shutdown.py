"""The times of a graceful shutdown, between SIGTERM and SIGKILL. Does no I/O.

By the platform's protocol, clients open new connections for 0.4 s after SIGTERM and use open connections
until they are closed. SIGKILL follows ``KILL_DELAY_US`` after the longest deadline of any request class, of
which at most 3 s count. So the time between the two signals is divided into:

    ACCEPT_PERIOD_US      the gateway serves as before; at its end the listener and idle connections close
    + longest deadline    the last request that arrived during the accept period has its full deadline
    + RESPONSE_MARGIN_US  the last responses are sent
    --------------------
    = longest deadline + KILL_DELAY_US

Each request that arrives during the accept period has its full deadline, whatever the deadlines are. The
only exception is a request with a deadline over 3 s: it fails if it is still pending ``RESPONSE_MARGIN_US``
before SIGKILL.
"""

from __future__ import annotations

from typing import NamedTuple

NEW_CONNECTIONS_PERIOD_US = 400_000  # by the platform's protocol
KILL_DELAY_US = 700_000  # by the platform's protocol
MAX_COUNTED_DEADLINE_US = 3_000_000  # by the platform's protocol
ACCEPT_PERIOD_US = NEW_CONNECTIONS_PERIOD_US + 100_000  # 0.1 s for connections that arrive with a delay
RESPONSE_MARGIN_US = KILL_DELAY_US - ACCEPT_PERIOD_US


class ShutdownTimes(NamedTuple):
    """Clock times in microseconds.

    From ``stop_accepting`` on no connections are accepted. Requests that are pending at
    ``stop_waiting`` fail. At ``end`` the gateway stops waiting for connections to close.
    """

    stop_accepting: int
    stop_waiting: int
    end: int


def graceful_shutdown(now: int, longest_deadline_us: int) -> ShutdownTimes:
    """Return the times of a shutdown that starts now.

    ``longest_deadline_us`` is the longest deadline of any request class.
    """
    killed_at = now + min(longest_deadline_us, MAX_COUNTED_DEADLINE_US) + KILL_DELAY_US
    return ShutdownTimes(
        stop_accepting=now + ACCEPT_PERIOD_US,
        stop_waiting=killed_at - RESPONSE_MARGIN_US,
        end=killed_at - RESPONSE_MARGIN_US // 2,
    )
