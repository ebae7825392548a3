"""Discovery agents of a simulated fleet: one for each gateway, which learns of changes with its own lag."""

from __future__ import annotations

import json
from contextlib import suppress
from typing import Any, NamedTuple

from harness.constants import MS, SECOND
from harness.fleet_hosts import AGENT_NETWORK, HOST_NETWORK, FakeHost, FleetTerms, fleet_address
from harness.platform_harness import ZONES
from orchidlane.runtime import ConnectionClosedError, EventLoop, Stream, TaskGroup

HOSTS_PER_CELL = 4
CHECK_INTERVAL_US = 50 * MS
HEARTBEAT_INTERVAL_US = SECOND


class HostChange(NamedTuple):
    """A change of the list of hosts."""

    generation: int
    at_us: int
    entry: dict[str, Any]


def discovery_entry(host: FakeHost) -> dict[str, Any]:
    """Return a host's entry of the list."""
    return {
        "instanceId": f"s-{host.number}",
        "hostPort": f"{fleet_address(HOST_NETWORK, host.number)}:9000",
        "zone": ZONES[host.number % 2],
        "cell": host.number // HOSTS_PER_CELL,
        "lifecycle": "left" if host.removed else "active",
        "startedAtMs": host.started_at_us // MS,
    }


def complete_list(hosts: list[FakeHost]) -> dict[str, Any]:
    """Return a complete list of the first generation."""
    return {"generation": 1, "reset": True, "instances": [discovery_entry(host) for host in hosts]}


class DiscoveryAgents:
    """All agents, and the changes that they learn of."""

    def __init__(self, loop: EventLoop, terms: FleetTerms) -> None:
        self.loop, self.terms = loop, terms
        self.generation = 1
        self.changes: list[HostChange] = []
        self.initial_hosts: list[FakeHost] = []

    def publish(self, host: FakeHost) -> None:
        """Add a host as it is now to the changes."""
        self.generation += 1
        self.changes.append(HostChange(self.generation, self.loop.now(), discovery_entry(host)))

    def run_agent(self, scope: TaskGroup, rank: int) -> None:
        """Serve the watches of one gateway."""
        listener = self.loop.backend.listen((fleet_address(AGENT_NETWORK, rank), 8500))
        while True:
            scope.spawn(self._serve_watch, listener.accept(), self._lag_us(rank))

    def _lag_us(self, rank: int) -> int:
        return self.terms.max_discovery_lag_us * rank // max(1, self.terms.gateways - 1)

    def _serve_watch(self, stream: Stream, lag_us: int) -> None:
        with suppress(ConnectionClosedError):
            target = stream.recv().split(b" ")[1]
            generation = int(target.partition(b"from=")[2] or b"1")
            stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if b"from=" in target:
                line: dict[str, Any] | None = {"generation": generation, "reset": False, "instances": []}
            else:
                line = complete_list(self.initial_hosts)
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
        """Return a line of all changes after a generation that an agent has learned of."""
        due = [
            change
            for change in self.changes
            if change.generation > generation and change.at_us + lag_us <= self.loop.now()
        ]
        if not due:
            return None
        entries = [change.entry for change in due]
        return {"generation": due[-1].generation, "reset": False, "instances": entries}
