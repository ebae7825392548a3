"""Which idle connections are worth another request: judged by what became of earlier ones. No I/O.

A kept connection may be closed by the other side, or by something between, without our knowing; a request
written to it may then have run. How long connections really last differs from what is agreed, so it is
measured: of the requests over connections idle for so long (in classes of doubling length), how many
ended without a byte of an answer. A new connection costs a handshake, about ``WORTH`` of a request; once more
than that is lost beyond what new connections lose, connections of that age are used no more. Counts fade, so
that an age is tried again some time after it went wrong.
"""

from __future__ import annotations

STEP = 16_000  # microseconds: the shortest idle time that is told apart
CLASSES = 12  # the last one is for all beyond 16 s
WORTH = 0.02  # of a request: what a new connection costs
UNSAFE_WORTH = 0.004  # before a request that can't be repeated: less may be lost
PRIOR = 20.0  # requests without loss that each class is taken to have had
HALVE = 8_000_000  # microseconds after which counts have halved


class Reuse:
    """Counts by idle time; place 0 is for new connections."""

    def __init__(self, now: int) -> None:
        self._tries = [0.0] * (CLASSES + 1)
        self._lost = [0.0] * (CLASSES + 1)
        self._faded = now

    def may(self, idle: int, unsafe: bool, now: int) -> bool:
        """Whether a connection that was idle for so many microseconds may carry a request."""
        self._fade(now)
        place = _place(idle)
        beyond = self._share(place) - self._share(0)
        return beyond <= (UNSAFE_WORTH if unsafe else WORTH)

    def told(self, idle: int | None, lost: bool, now: int) -> None:
        """A request over a connection that was idle for so long (None: new) was answered, or lost."""
        self._fade(now)
        place = 0 if idle is None else _place(idle)
        self._tries[place] += 1
        self._lost[place] += lost

    def _share(self, place: int) -> float:
        return self._lost[place] / (PRIOR + self._tries[place])

    def _fade(self, now: int) -> None:
        while now - self._faded >= HALVE:
            if now - self._faded > 64 * HALVE:  # we stood still, or nobody asked for long
                self._faded = now - HALVE
            self._faded += HALVE
            self._tries = [count / 2 for count in self._tries]
            self._lost = [count / 2 for count in self._lost]


def _place(idle: int) -> int:
    return 1 + min(CLASSES - 1, (max(0, idle) // STEP).bit_length())
