"""When discovery is asked anew: events with the clock in, deadlines out. Decides without I/O.

A watch says something at least every heartbeat. One that did not is broken: what it misses counts as told
``TOLD`` after it fell silent, whether or not it arrived. The way to the next one, as a sum:

    HEARTBEAT + LATE   until it is known to be silent (``SILENCE``); then it is ended, and counts no more
    retry interval     for each call that is not answered: the next one is made beside it
    ------------------
    2.5 s + 7 x 0.5 s  at most: seven calls in a row may fail within ``TOLD``

While discovery is down nobody answers, and what it has to tell counts from its return on; a node that drains
may then get nothing after the grace. So a call is made every half of the grace while none is answered,
``CALLS`` of them wait beside one another, and the first one that is answered is followed. There is no
polling: while a watch speaks nothing is asked. One that ends is followed by the next at once, but one that
ends soon after its begin, time and again, is asked for less and less often.
"""

from __future__ import annotations

HEARTBEAT = 2_000_000  # microseconds between two lines of a watch, by the protocol
LATE = 500_000  # for a heartbeat's way, and for our own standing still
SILENCE = HEARTBEAT + LATE
TOLD = 6_000_000  # after its begin a silent watch counts as having told all the same, by the protocol
RETRY_LEAST, RETRY_MOST = 100_000, 500_000  # between two calls that are not answered
BACKOFF_MOST = 1_600_000  # between two watches that end soon after their begin
CALLS = 4  # that wait for an answer at a time


def retry_interval(grace: int) -> int:
    """Microseconds until a call without an answer is made again; ``grace`` is that of drains."""
    return min(RETRY_MOST, max(RETRY_LEAST, grace // 2))


class Asking:
    """Which calls are open; times are the caller's clock in microseconds, calls have numbers."""

    def __init__(self, interval: int) -> None:
        self.interval = interval
        self.following: int | None = None  # the call that speaks
        self.waiting: dict[int, int] = {}  # calls without an answer yet, when each was made; the oldest first
        self.due = 0  # no call is made before
        self._calls = 0
        self._begun = 0  # when the one that is followed was made
        self._short = 0  # watches in a row that ended soon

    def ask(self, now: int) -> tuple[int | None, list[int]]:
        """The number of a call to make now, if one is due, and those to give up for it."""
        if self.following is not None or now < self.due:
            return None, []
        self._calls += 1
        self.waiting[self._calls] = now
        self.due = now + self.interval
        given_up = list(self.waiting)[:-CALLS]
        for number in given_up:
            del self.waiting[number]
        return self._calls, given_up

    def spoke(self, number: int) -> list[int]:
        """A call was answered, or says more: those to give up, as it is followed from now on."""
        if number not in self.waiting:
            return []
        self._begun = self.waiting.pop(number)
        others = [*self.waiting]
        self.waiting.clear()
        self.following = number
        return others

    def ended(self, number: int, now: int) -> None:
        """A call is over: refused, reset, ended by the other side, silent, or with what can't be read."""
        self.waiting.pop(number, None)
        if number != self.following:
            return
        self.following = None
        self._short = self._short + 1 if now - self._begun < HEARTBEAT else 0
        backoff = self.interval << max(0, self._short - 1)
        self.due = max(self.due, self._begun + min(BACKOFF_MOST, backoff)) if self._short else now

    def next_look(self) -> int | None:
        """When ``ask`` has something to say; None while a watch speaks."""
        return None if self.following is not None else self.due
