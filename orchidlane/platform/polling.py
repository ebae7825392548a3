"""Decide when discovery is polled. Does no I/O: the caller passes the clock's time and gets deadlines.

A poll requests a long-lived response from discovery; a poll that has a response is a watch. A watch receives
something at least every heartbeat interval; otherwise it is broken. If a broken watch missed an event, the
gateway counts as notified of it ``NOTIFICATION_DEADLINE_US`` after the watch fell silent, whether or not the
event arrived. So the next watch must have a response by then, and it takes the sum of:

    SILENCE_TIMEOUT_US   a heartbeat interval and the largest delay; then the silent watch is closed
    retry interval       for each poll without a response; then another poll is made in parallel
    ------------------
    2.5 s + 7 x 0.5 s    at most: seven polls in a row may fail before the notification deadline

While discovery is down, no poll gets a response. The gateway counts as notified of the events of the outage
from discovery's return on, and an endpoint that drains may get no more requests after the drain grace. So
while no poll has a response, another one is made every half of the drain grace, at most ``MAX_PENDING_POLLS``
wait in parallel, and the first one with a response becomes the active watch. While a watch is active no polls
are made.

A watch may also finish because of an event, without sending it, and any number of watches in a row may. So a
watch that finishes is replaced at once, or one retry interval after its own poll was made, if that is later:
the gateway is never without an open poll for longer than one retry interval.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_US = 2_000_000  # by the platform's protocol
MAX_HEARTBEAT_DELAY_US = 500_000  # in the network, or while this process was paused
SILENCE_TIMEOUT_US = HEARTBEAT_INTERVAL_US + MAX_HEARTBEAT_DELAY_US
NOTIFICATION_DEADLINE_US = 6_000_000  # by the platform's protocol
MIN_RETRY_INTERVAL_US = 100_000
MAX_RETRY_INTERVAL_US = 500_000
MAX_PENDING_POLLS = 4


def retry_interval_us(drain_grace_us: int) -> int:
    """Return the microseconds from one poll to the next while there is no watch."""
    return min(MAX_RETRY_INTERVAL_US, max(MIN_RETRY_INTERVAL_US, drain_grace_us // 2))


class PollSchedule:
    """The open polls, by number; times are the caller's clock in microseconds.

    ``active`` is the poll that became the watch. ``pending`` maps each poll without a response to the time
    when it was made, the oldest first. No poll is made before ``next_poll_at``.
    """

    def __init__(self, interval_us: int) -> None:
        self.interval_us = interval_us
        self.active: int | None = None
        self.pending: dict[int, int] = {}
        self.next_poll_at = 0
        self._last_number = 0

    def next_poll(self, now: int) -> tuple[int | None, list[int]]:
        """Return the number of the poll to make now, None if none is due, and the polls to cancel."""
        if self.active is not None or now < self.next_poll_at:
            return None, []
        self._last_number += 1
        self.pending[self._last_number] = now
        self.next_poll_at = now + self.interval_us
        surplus = list(self.pending)[:-MAX_PENDING_POLLS]
        for number in surplus:
            del self.pending[number]
        return self._last_number, surplus

    def response_received(self, number: int) -> list[int]:
        """Make the poll that got a response the active watch; return the pending polls to cancel."""
        if number not in self.pending:
            return []
        del self.pending[number]
        others = list(self.pending)
        self.pending.clear()
        self.active = number
        return others

    def poll_finished(self, number: int) -> None:
        """Handle a poll that finished: refused, reset, closed, silent, or its response was not valid."""
        self.pending.pop(number, None)
        if number == self.active:
            self.active = None

    def next_deadline(self) -> int | None:
        """Return the time from which ``next_poll`` returns a poll, None while a watch is active."""
        return None if self.active is not None else self.next_poll_at
