"""Discovery agents of a simulated fleet: one for each gateway, which sends changes with its own lag."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import Any, NamedTuple

from harness.constants import MS, SECOND
from harness.fleet_endpoints import (
    AGENT_NETWORK,
    ENDPOINT_NETWORK,
    FakeEndpoint,
    FleetParameters,
    fleet_address,
)
from harness.platform_harness import ZONES
from orchidlane.runtime import ConnectionClosedError, EventLoop, Stream, TaskGroup

ENDPOINTS_PER_CELL = 4
CHECK_INTERVAL_US = 50 * MS
HEARTBEAT_INTERVAL_US = SECOND


class EndpointChange(NamedTuple):
    """A change of one entry of the endpoint list."""

    generation: int
    published_at_us: int
    entry: dict[str, Any]


def discovery_entry(endpoint: FakeEndpoint) -> dict[str, Any]:
    """Return an endpoint's entry of the discovery list."""
    return {
        "instanceId": f"s-{endpoint.number}",
        "hostPort": f"{fleet_address(ENDPOINT_NETWORK, endpoint.number)}:9000",
        "zone": ZONES[endpoint.number % 2],
        "cell": endpoint.number // ENDPOINTS_PER_CELL,
        "lifecycle": "left" if endpoint.removed else "active",
        "startedAtMs": endpoint.started_at_us // MS,
    }


def complete_list(endpoints: list[FakeEndpoint]) -> dict[str, Any]:
    """Return a complete endpoint list with generation 1."""
    return {
        "generation": 1,
        "reset": True,
        "instances": [discovery_entry(endpoint) for endpoint in endpoints],
    }


class DiscoveryAgents:
    """All discovery agents, and the changes that they send."""

    def __init__(self, loop: EventLoop, parameters: FleetParameters) -> None:
        self.loop, self.parameters = loop, parameters
        self.generation = 1
        self.changes: list[EndpointChange] = []
        self.initial_endpoints: list[FakeEndpoint] = []

    def publish(self, endpoint: FakeEndpoint) -> None:
        """Publish the current entry of an endpoint as a change."""
        self.generation += 1
        self.changes.append(EndpointChange(self.generation, self.loop.now(), discovery_entry(endpoint)))

    def run_agent(self, scope: TaskGroup, rank: int) -> None:
        """Accept and serve the watches of one gateway."""
        listener = self.loop.backend.listen((fleet_address(AGENT_NETWORK, rank), 8500))
        while True:
            scope.spawn(self._serve_watch, listener.accept(), self._lag_us(rank))

    def _lag_us(self, rank: int) -> int:
        return self.parameters.max_discovery_lag_us * rank // max(1, self.parameters.gateways - 1)

    def _serve_watch(self, stream: Stream, lag_us: int) -> None:
        with suppress(ConnectionClosedError):
            target = stream.recv().split(b" ")[1]
            generation = int(target.partition(b"from=")[2] or b"1")
            stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if b"from=" in target:
                line: dict[str, Any] | None = {"generation": generation, "reset": False, "instances": []}
            else:
                line = complete_list(self.initial_endpoints)
            sent_at_us = 0
            while True:
                if line or self.loop.now() - sent_at_us >= HEARTBEAT_INTERVAL_US:
                    data = json.dumps(line).encode() + b"\n" if line else b"\n"
                    stream.send(b"%x\r\n%s\r\n" % (len(data), data))
                    sent_at_us = self.loop.now()
                self.loop.sleep(CHECK_INTERVAL_US)
                line = self._due_changes(generation, lag_us)
                generation = line["generation"] if line else generation

    def _due_changes(self, generation: int, lag_us: int) -> dict[str, Any] | None:
        """Return one line with all changes after a generation that are older than the lag, or None."""
        due = [
            change
            for change in self.changes
            if change.generation > generation and change.published_at_us + lag_us <= self.loop.now()
        ]
        if not due:
            return None
        entries = [change.entry for change in due]
        return {"generation": due[-1].generation, "reset": False, "instances": entries}
