"""Hosts of a simulated fleet: each serves a number of requests at once, fewer while it warms up."""

from __future__ import annotations

import random
from contextlib import suppress
from dataclasses import dataclass, field

from harness.constants import MS, SECOND
from harness.platform_harness import OK
from orchidlane import http1
from orchidlane.runtime import ConnectionClosedError, EventLoop, Stream, TaskGroup

BUSY = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
WAITING_PER_SLOT = 4  # requests beyond these are rejected
SLOT_POLL_US = 5 * MS
GATEWAY_NETWORK, AGENT_NETWORK, HOST_NETWORK = 1, 2, 3  # second byte of an address


def fleet_address(network: int, number: int) -> str:
    """Return the address of a gateway, discovery agent or host."""
    return f"127.{network}.{number // 250}.{1 + number % 250}"


@dataclass
class FakeHost:
    """An emulated host; ``started_at_us`` 0 means long ago."""

    number: int
    started_at_us: int
    busy: int = 0
    waiting: int = 0
    request_times_us: list[int] = field(default_factory=list)
    removed: bool = False


@dataclass(frozen=True)
class FleetTerms:
    """How a fleet is made and loaded."""

    gateways: int
    hosts: int
    slots: int = 4
    work_us: int = 50 * MS  # of one request on a warm host
    load: float = 0.6  # of what all hosts can do when warm
    max_discovery_lag_us: int = 2 * SECOND  # of the agent that learns of changes last
    slow_start_initial_share: float = 0.25
    slow_start_us: int = 10 * SECOND
    overload_multiple: float = 2.5
    overload_window_us: int = 1_200 * MS
    duration_us: int = 8 * SECOND

    @property
    def requests_per_second(self) -> float:
        """What one warm host serves."""
        return self.slots * SECOND / self.work_us

    def capacity_share(self, host: FakeHost, now_us: int) -> float:
        """Return the part of its capacity that a host has."""
        if not host.started_at_us:
            return 1.0
        return min(
            1.0,
            self.slow_start_initial_share
            + (1 - self.slow_start_initial_share) * (now_us - host.started_at_us) / self.slow_start_us,
        )

    def window_budget(self, host: FakeHost, start_us: int) -> float:
        """Return the requests of mean work that the settings allow a host in a window from a time on."""
        return (
            self.overload_multiple
            * self.capacity_share(host, start_us)
            * self.requests_per_second
            * self.overload_window_us
            / SECOND
        )

    def worst_excess(self, host: FakeHost) -> float:
        """Return how far requests to a cold host exceeded its budget at worst; chance explains 1.

        Chance explains twice the square root of a window's budget and 2 more.
        """
        times = host.request_times_us
        worst = float("-inf")
        for first, start_us in enumerate(times):
            count = sum(1 for at_us in times[first:] if at_us < start_us + self.overload_window_us)
            budget = self.window_budget(host, start_us)
            worst = max(worst, (count - budget) / (2 * budget**0.5 + 2))
        return worst


class HostServers:
    """Serves the connections of all hosts, and records when each request came first."""

    def __init__(self, loop: EventLoop, terms: FleetTerms, random_source: random.Random) -> None:
        self.loop, self.terms, self.random = loop, terms, random_source
        self.first_attempts: list[tuple[int, int]] = []  # time and customer, at a first host
        self._seen_request_ids: set[bytes] = set()

    def run_host(self, scope: TaskGroup, host: FakeHost) -> None:
        """Accept the connections of a host."""
        listener = self.loop.backend.listen((fleet_address(HOST_NETWORK, host.number), 9000))
        while True:
            scope.spawn(self._serve_connection, host, listener.accept())

    def _serve_connection(self, host: FakeHost, stream: Stream) -> None:
        parser = http1.RequestParser()
        with suppress(ConnectionClosedError):
            while self._read_request(host, stream, parser):
                parser.next_message()
                stream.send(self._serve_request(host))

    def _read_request(self, host: FakeHost, stream: Stream, parser: http1.RequestParser) -> bool:
        """Read a request; return False where the connection ends."""
        while not isinstance(event := parser.next_event(), http1.End):
            if isinstance(event, http1.Request):
                self._record_request(host, event)
            elif event is None:
                data = stream.recv()
                if not data:
                    return False
                parser.receive(data)
        return True

    def _record_request(self, host: FakeHost, head: http1.Request) -> None:
        host.request_times_us.append(self.loop.now())
        request_id = http1.header(head.headers, b"x-request-id") or b""
        if request_id not in self._seen_request_ids:
            self._seen_request_ids.add(request_id)
            self.first_attempts.append((self.loop.now(), int(head.target[-16:], 16)))

    def _serve_request(self, host: FakeHost) -> bytes:
        slots = self.terms.slots
        if host.removed or (host.busy >= slots and host.waiting >= WAITING_PER_SLOT * slots):
            return BUSY
        host.waiting += 1
        while host.busy >= slots:
            self.loop.sleep(SLOT_POLL_US)
        host.waiting -= 1
        host.busy += 1
        work_us = self.random.expovariate(1 / self.terms.work_us)
        self.loop.sleep(int(work_us / self.terms.capacity_share(host, self.loop.now())))
        host.busy -= 1
        return OK
