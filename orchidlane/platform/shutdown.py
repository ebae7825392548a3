"""Graceful shutdown: what is owed between SIGTERM and SIGKILL, as times. Decides without I/O.

By the protocol new connections keep coming for 0.4 s, clients use those that stay open, and SIGKILL comes
``KILLED`` after the longest deadline, of which 3 s are counted at most. So:

    ``STAY``              all goes on as before; at its end the listener and the connections at rest close
    + longest deadline    until the last request that came meanwhile has had its time
    + ``SPARE``           for the last answers to leave
    -------------------
    = longest + KILLED    whatever the deadlines are, each request that came in time has all of its own

Only a request whose own time is longer than what is counted of it ends earlier, ``SPARE`` before we are
killed.
"""

from __future__ import annotations

from typing import NamedTuple

NEW_MOST = 400_000  # microseconds after SIGTERM in which new connections keep coming
KILLED = 700_000  # microseconds: SIGKILL comes no sooner than this after the longest deadline
COUNTED = 3_000_000  # microseconds that the longest deadline counts as at most
STAY = NEW_MOST + 100_000  # the rest: for those on their way
SPARE = KILLED - STAY


class Shutdown(NamedTuple):
    """Clock times in microseconds."""

    leave: int  # no more clients are taken from then on
    last: int  # nothing is waited for any more
    end: int  # the last answers have been taken, or never will be


def graceful_shutdown(now: int, longest: int) -> Shutdown:
    """The times of a shutdown that begins now; ``longest`` is the longest deadline of any class."""
    killed = now + min(longest, COUNTED) + KILLED
    return Shutdown(now + STAY, killed - SPARE, killed - SPARE // 2)
