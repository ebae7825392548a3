"""Relays for the connections between gateways that can block, delay, reset and slow them down.

Each ordered pair of gateways has its own relay address, so that a fault can affect the connections from one
gateway to another without those in the other direction.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from orchidlane.runtime import (
    PEERS,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    Listener,
    Stream,
    TaskGroup,
)
from orchidlane.runtime.backend import Address

POLL_INTERVAL_US = 10_000
CONNECT_TIMEOUT_US = 2_000_000
SEND_TIMEOUT_US = 10_000_000
Pair = tuple[int, int]  # ranks of the client and of the server of a connection


class LinkRoute(NamedTuple):
    """The address at which a relay listens, and that of the server to which it connects."""

    relay: Address
    server: Address


@dataclass
class NetworkLinks:
    """The relays of all pairs; the faults of a pair may be changed at any time.

    For a pair in ``cuts`` no data passes in either direction; for one in ``response_cuts`` requests arrive
    and responses do not.
    """

    loop: EventLoop
    routes: Mapping[Pair, LinkRoute]
    cuts: set[Pair] = field(default_factory=set)
    response_cuts: set[Pair] = field(default_factory=set)
    delays_us: dict[Pair, int] = field(default_factory=dict)  # delay of each piece of data
    max_bytes_per_interval: dict[Pair, int] = field(default_factory=dict)  # within POLL_INTERVAL_US
    reset_probability: dict[Pair, float] = field(default_factory=dict)  # for each piece of data
    connection_counts: dict[Pair, int] = field(default_factory=dict)

    def serve(self) -> None:
        """Relay connections until cancelled."""
        with TaskGroup(self.loop) as scope:
            for pair, route in self.routes.items():
                listener = self.loop.backend.listen(route.relay)
                scope.spawn(self._accept, pair, listener, route.server, priority=PEERS, name="links")

    def _accept(self, pair: Pair, listener: Listener, target: Address) -> None:
        with TaskGroup(self.loop) as scope:
            while True:
                try:
                    stream = listener.accept()
                except (ConnectionClosedError, ConnectionFailedError):
                    return
                scope.spawn(self._relay, pair, stream, target, priority=PEERS, name="link")

    def _relay(self, pair: Pair, client: Stream, target: Address) -> None:
        self.connection_counts[pair] = self.connection_counts.get(pair, 0) + 1
        try:
            self._wait_while_cut(pair, self.cuts)
            server = self.loop.backend.connect(target, self.loop.now() + CONNECT_TIMEOUT_US)
        except (ConnectionFailedError, DeadlineExceededError):
            client.abort()
            return
        with TaskGroup(self.loop) as scope:
            scope.spawn(self._forward, pair, client, server, self.cuts, priority=PEERS, name="requests")
            scope.spawn(
                self._forward, pair, server, client, self.response_cuts, priority=PEERS, name="responses"
            )

    def _wait_while_cut(self, pair: Pair, cuts: set[Pair]) -> None:
        while pair in cuts or pair in self.cuts:
            self.loop.sleep(POLL_INTERVAL_US)

    def _forward(self, pair: Pair, source: Stream, sink: Stream, cuts: set[Pair]) -> None:
        """Forward one direction until the source closes it or a side fails."""
        try:
            while data := source.recv():
                self._wait_while_cut(pair, cuts)
                if self.loop.backend.random.random() < self.reset_probability.get(pair, 0.0):
                    source.abort()
                    sink.abort()
                    return
                if self.delays_us.get(pair):
                    self.loop.sleep(self.delays_us[pair])
                self._write(pair, sink, data)
            sink.half_close()
        except (ConnectionClosedError, DeadlineExceededError):
            sink.abort()

    def _write(self, pair: Pair, sink: Stream, data: bytes) -> None:
        while data:
            size = self.max_bytes_per_interval.get(pair, 0) or len(data)
            sink.send(data[:size], self.loop.now() + SEND_TIMEOUT_US)
            data = data[size:]
            if data:
                self.loop.sleep(POLL_INTERVAL_US)
