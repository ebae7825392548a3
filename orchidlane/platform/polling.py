"""Decides when discovery is polled. Does no I/O: the caller gives the clock and gets deadlines.

A watch sends something at least every heartbeat interval. One that did not is broken; what it misses counts
as notified ``NOTIFICATION_DEADLINE_US`` after it fell silent, whether or not it arrived. The next watch has
to respond within the sum of:

    SILENCE_TIMEOUT_US   a heartbeat and its largest delay; then the silent watch is closed
    retry interval       for each poll without a response: the next one is made beside it
    ------------------
    2.5 s + 7 x 0.5 s    at most: seven polls in a row may fail before the notification deadline

While discovery is down nothing responds, and what it has to report counts from its return on: an endpoint
that drains may get no more requests after the grace of drains. So a poll is made every half of that grace
while none has a response, up to ``MAX_PENDING_POLLS`` wait side by side, and the first one with a response
becomes the active watch. While a watch is active there are no polls. One that ends is replaced at once, but
watches that end soon after their start, one after the other, are replaced with backoff.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_US = 2_000_000  # by the platform's protocol
MAX_HEARTBEAT_DELAY_US = 500_000  # on its way, or while this process stood still
SILENCE_TIMEOUT_US = HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US
NOTIFICATION_DEADLINE_US = 6_000_000  # by the platform's protocol
MIN_RETRY_INTERVAL_US = 100_000
MAX_RETRY_INTERVAL_US = 500_000
MAX_BACKOFF_US = 1_600_000
MAX_PENDING_POLLS = 4


def retry_interval_us(drain_grace_us: int) -> int:
    """Return how long to wait for the response to a poll before the next one is made."""
    return min(MAX_RETRY_INTERVAL_US, max(MIN_RETRY_INTERVAL_US, drain_grace_us // 2))


class PollSchedule:
    """The polls under way, by number; times are the caller's clock in microseconds.

    ``active`` is the poll that became the watch; ``pending`` has the polls without a response and when each
    was made, the oldest first; no poll is made before ``due``.
    """

    def __init__(self, interval_us: int) -> None:
        self.interval_us = interval_us
        self.active: int | None = None
        self.pending: dict[int, int] = {}
        self.due = 0
        self._last_number = 0
        self._active_since = 0  # when the active poll was made
        self._short_watches = 0  # in a row

    def next_poll(self, now: int) -> tuple[int | None, list[int]]:
        """Return the number of a poll to make now, if one is due, and the polls to cancel for it."""
        if self.active is not None or now < self.due:
            return None, []
        self._last_number += 1
        self.pending[self._last_number] = now
        self.due = now + self.interval_us
        replaced = list(self.pending)[:-MAX_PENDING_POLLS]
        for number in replaced:
            del self.pending[number]
        return self._last_number, replaced

    def response_received(self, number: int) -> list[int]:
        """Make a poll that has a response the active one; return the polls to cancel."""
        if number not in self.pending:
            return []
        self._active_since = self.pending.pop(number)
        others = list(self.pending)
        self.pending.clear()
        self.active = number
        return others

    def poll_ended(self, number: int, now: int) -> None:
        """Note the end of a poll: refused, reset, closed, silent, or with a response that is not valid."""
        self.pending.pop(number, None)
        if number != self.active:
            return
        self.active = None
        if now - self._active_since >= HEARTBEAT_INTERVAL_US:
            self._short_watches = 0
            self.due = now
            return
        self._short_watches += 1
        backoff_us = self.interval_us << (self._short_watches - 1)
        self.due = max(self.due, self._active_since + min(MAX_BACKOFF_US, backoff_us))

    def next_deadline(self) -> int | None:
        """Return when ``next_poll`` has a poll to make; None while a watch is active."""
        return None if self.active is not None else self.due
