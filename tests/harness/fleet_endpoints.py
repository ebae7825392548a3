"""Endpoints of a simulated fleet: a limited number of slots, slower while in slow start."""

from __future__ import annotations

import random
from contextlib import suppress
from dataclasses import dataclass, field

from harness.constants import MS, SECOND
from harness.platform_harness import OK
from orchidlane import http1
from orchidlane.runtime import ConnectionClosedError, EventLoop, Stream, TaskGroup

BUSY = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
WAITING_PER_SLOT = 4  # waiting requests; further ones are rejected
SLOT_POLL_US = 5 * MS
GATEWAY_NETWORK, AGENT_NETWORK, ENDPOINT_NETWORK = 1, 2, 3  # second byte of an address


def fleet_address(network: int, number: int) -> str:
    """Return the address of a gateway, discovery agent or endpoint."""
    return f"127.{network}.{number // 250}.{1 + number % 250}"


@dataclass
class FakeEndpoint:
    """An emulated endpoint; ``started_at_us`` is 0 if it is not in slow start."""

    number: int
    started_at_us: int
    busy: int = 0
    waiting: int = 0
    request_times_us: list[int] = field(default_factory=list)
    removed: bool = False


@dataclass(frozen=True)
class FleetParameters:
    """Size and load of a fleet, and its settings of slow start and overload."""

    gateways: int
    endpoints: int
    slots: int = 4
    work_us: int = 50 * MS  # mean work of one request on a warm endpoint
    load: float = 0.6  # share of the capacity of all endpoints when warm
    max_discovery_lag_us: int = 2 * SECOND  # of the agent with the largest lag
    slow_start_initial_share: float = 0.25
    slow_start_us: int = 10 * SECOND
    overload_multiple: float = 2.5
    overload_window_us: int = 1_200 * MS
    duration_us: int = 8 * SECOND

    @property
    def requests_per_second(self) -> float:
        """The requests per second that one warm endpoint can serve."""
        return self.slots * SECOND / self.work_us

    def capacity_share(self, endpoint: FakeEndpoint, now_us: int) -> float:
        """Return the share of its warm capacity that an endpoint has at a time."""
        if not endpoint.started_at_us:
            return 1.0
        return min(
            1.0,
            self.slow_start_initial_share
            + (1 - self.slow_start_initial_share) * (now_us - endpoint.started_at_us) / self.slow_start_us,
        )

    def window_budget(self, endpoint: FakeEndpoint, start_us: int) -> float:
        """Return the requests of mean work that an endpoint is allowed in the window from ``start_us``."""
        return (
            self.overload_multiple
            * self.capacity_share(endpoint, start_us)
            * self.requests_per_second
            * self.overload_window_us
            / SECOND
        )

    def worst_excess(self, endpoint: FakeEndpoint) -> float:
        """Return the largest excess of requests to an endpoint over its budget in any window.

        A result of 1 can be explained by chance: 2 requests plus twice the square root of the budget.
        """
        times = endpoint.request_times_us
        worst = float("-inf")
        for index, start_us in enumerate(times):
            count = sum(1 for time_us in times[index:] if time_us < start_us + self.overload_window_us)
            budget = self.window_budget(endpoint, start_us)
            worst = max(worst, (count - budget) / (2 * budget**0.5 + 2))
        return worst


class EndpointServers:
    """Serves the connections of all endpoints, and records the first arrival of each request."""

    def __init__(self, loop: EventLoop, parameters: FleetParameters, random_source: random.Random) -> None:
        self.loop, self.parameters, self.random = loop, parameters, random_source
        self.first_attempts: list[tuple[int, int]] = []  # time and customer; retries are left out
        self._seen_request_ids: set[bytes] = set()

    def run_endpoint(self, scope: TaskGroup, endpoint: FakeEndpoint) -> None:
        """Accept the connections of an endpoint."""
        listener = self.loop.backend.listen((fleet_address(ENDPOINT_NETWORK, endpoint.number), 9000))
        while True:
            scope.spawn(self._serve_connection, endpoint, listener.accept())

    def _serve_connection(self, endpoint: FakeEndpoint, stream: Stream) -> None:
        parser = http1.RequestParser()
        with suppress(ConnectionClosedError):
            while self._read_request(endpoint, stream, parser):
                parser.next_message()
                stream.send(self._serve_request(endpoint))

    def _read_request(self, endpoint: FakeEndpoint, stream: Stream, parser: http1.RequestParser) -> bool:
        """Read a request; return False if the client closes the connection."""
        while not isinstance(event := parser.next_event(), http1.End):
            if isinstance(event, http1.Request):
                self._record_request(endpoint, event)
            elif event is None:
                data = stream.recv()
                if not data:
                    return False
                parser.receive(data)
        return True

    def _record_request(self, endpoint: FakeEndpoint, head: http1.Request) -> None:
        endpoint.request_times_us.append(self.loop.now())
        request_id = http1.header(head.headers, b"x-request-id") or b""
        if request_id not in self._seen_request_ids:
            self._seen_request_ids.add(request_id)
            self.first_attempts.append((self.loop.now(), int(head.target[-16:], 16)))

    def _serve_request(self, endpoint: FakeEndpoint) -> bytes:
        slots = self.parameters.slots
        if endpoint.removed or (endpoint.busy >= slots and endpoint.waiting >= WAITING_PER_SLOT * slots):
            return BUSY
        endpoint.waiting += 1
        while endpoint.busy >= slots:
            self.loop.sleep(SLOT_POLL_US)
        endpoint.waiting -= 1
        endpoint.busy += 1
        work_us = self.random.expovariate(1 / self.parameters.work_us)
        self.loop.sleep(int(work_us / self.parameters.capacity_share(endpoint, self.loop.now())))
        endpoint.busy -= 1
        return OK
