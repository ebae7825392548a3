"""Watch discovery: poll it and apply the lines of its long-lived HTTP responses to a tracker."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

from orchidlane import http1, policy
from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.gateway.control.json_stream import LineTooLongError, read_objects
from orchidlane.http1 import ProtocolError
from orchidlane.platform.discovery import DiscoveryTracker
from orchidlane.platform.polling import SILENCE_TIMEOUT_US, PollSchedule
from orchidlane.runtime import (
    CONTROL,
    Address,
    DeadlineExceededError,
    EventLoop,
    EventLoopError,
    Task,
    TaskGroup,
)
from orchidlane.runtime.backend import format_address

MAX_LINE_BYTES = 4 << 20


class DiscoveryWatch:
    """Keeps a tracker up to date from one discovery address.

    ``notify`` is called with each event for the policy. ``log`` is called with the reason when a poll fails,
    unless the previous failure had the same reason and no line has arrived since.
    """

    def __init__(
        self,
        loop: EventLoop,
        tracker: DiscoveryTracker,
        notify: Callable[[policy.EndpointListReceived], None],
        log: Callable[[str], None],
        retry_interval_us: int,
    ) -> None:
        self.loop = loop
        self.tracker = tracker
        self.notify = notify
        self.log = log
        self.schedule = PollSchedule(retry_interval_us)
        self._polls: dict[int, Task] = {}
        self._logged_failure = ""  # the reason logged last, cleared by the next line that arrives
        self._wake: Callable[[], None]

    def run(self, address: Address, on_response: Callable[[], None] = lambda: None) -> None:
        """Watch until cancelled; call ``on_response`` for each piece of a response after its head."""
        task = self.loop.current
        assert task is not None
        self._wake = lambda: self.loop.wake(task)
        with TaskGroup(self.loop) as polls:
            while True:
                number, polls_to_cancel = self.schedule.next_poll(self.loop.now())
                self._cancel(polls_to_cancel)
                if number is not None:
                    poll = polls.spawn(
                        self._poll, number, address, on_response, priority=CONTROL, name="discovery poll"
                    )
                    self._polls[number] = poll
                with suppress(DeadlineExceededError):
                    self.loop.park(self.schedule.next_deadline())

    def _cancel(self, numbers: list[int]) -> None:
        for number in numbers:
            self.loop.cancel(self._polls[number])

    def _poll(self, number: int, address: Address, on_response: Callable[[], None]) -> None:
        """Run one poll until it finishes, then wake ``run``, which may start the next one."""
        try:
            self._read_events(number, address, on_response)
        except (EventLoopError, ProtocolError, LineTooLongError, WatchEventError) as error:
            if str(error) != self._logged_failure:
                self._logged_failure = str(error)
                self.log(f"discovery: {error}")
        finally:
            del self._polls[number]
            self.schedule.poll_finished(number)
            self._wake()

    def _read_events(self, number: int, address: Address, on_response: Callable[[], None]) -> None:
        """Send a poll and apply the lines of its response. Raises what ``_poll`` logs."""
        stream = self.loop.backend.connect(address)
        try:
            stream.send(self._request(address))
            pieces = read_objects(self.loop, stream, SILENCE_TIMEOUT_US, MAX_LINE_BYTES)
            for piece, lines in enumerate(pieces):
                self._cancel(self.schedule.response_received(number))
                for line in lines:
                    event = self.tracker.apply_line(line)
                    if event is not None:
                        self.notify(event)
                    self._logged_failure = ""
                if piece:  # piece 0 is the response's head without any line
                    on_response()
        finally:
            stream.close()

    def _request(self, address: Address) -> bytes:
        target = "/discovery/hosts?watch=1"
        if self.tracker.generation >= 0:
            target += f"&from={self.tracker.generation}"
        return http1.request_head("GET", target.encode(), [(b"host", format_address(address).encode())])
