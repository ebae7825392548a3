"""A relay for the datagrams between gateways that can drop, delay and duplicate them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from orchidlane.gateway.peers.datagrams import HEADER
from orchidlane.runtime import PEERS, EventLoop, TaskGroup
from orchidlane.runtime.backend import Address, DatagramSocket

UNKNOWN_SENDER = -1  # rank for a datagram that is too short for a header


class DatagramRoute(NamedTuple):
    """The address at which the relay receives a gateway's datagrams, and the gateway's own address."""

    relay: Address
    gateway: Address


class DatagramRelay:
    """Forwards datagrams between gateways; the faults may be changed at any time.

    ``loss`` and ``duplication`` are probabilities; ``delay_us`` is the range of random delays. ``cuts`` are
    pairs of ranks between which no datagram passes in either direction. ``one_way_cuts`` and
    ``extra_delay_us`` apply to a pair of sender and receiver. ``on_datagram`` is called with sender, receiver
    and data of each datagram, also of those that are dropped.
    """

    def __init__(self, loop: EventLoop, routes: Sequence[DatagramRoute]) -> None:
        self.loop = loop
        self.targets = [route.gateway for route in routes]
        self.sockets: list[DatagramSocket] = [loop.backend.bind_datagrams(route.relay) for route in routes]
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_us = (0, 0)
        self.cuts: set[frozenset[int]] = set()
        self.one_way_cuts: set[tuple[int, int]] = set()
        self.extra_delay_us: dict[tuple[int, int], int] = {}
        self.on_datagram: Callable[[int, int, bytes], None] | None = None

    def serve(self) -> None:
        """Forward datagrams until cancelled."""
        with TaskGroup(self.loop) as scope:
            for rank in range(len(self.sockets)):
                scope.spawn(self._forward_all, rank, priority=PEERS)

    def _forward_all(self, receiver: int) -> None:
        random = self.loop.backend.random
        while True:
            data, _ = self.sockets[receiver].recv()
            sender = HEADER.unpack_from(data)[3] if len(data) >= HEADER.size else UNKNOWN_SENDER
            if self.on_datagram is not None:
                self.on_datagram(sender, receiver, data)
            if self._is_cut(sender, receiver) or random.random() < self.loss:
                continue
            for _ in range(1 + (random.random() < self.duplication)):
                self._forward(sender, receiver, data)

    def _is_cut(self, sender: int, receiver: int) -> bool:
        return frozenset((sender, receiver)) in self.cuts or (sender, receiver) in self.one_way_cuts

    def _forward(self, sender: int, receiver: int, data: bytes) -> None:
        drawn_us = self.loop.backend.random.randint(*self.delay_us)
        delay_us = drawn_us + self.extra_delay_us.get((sender, receiver), 0)
        if delay_us:
            self.loop.call_at(self.loop.now() + delay_us, self._send, (receiver, data))
        else:
            self._send((receiver, data))

    def _send(self, delivery: tuple[int, bytes]) -> None:
        receiver, data = delivery
        self.sockets[receiver].send(data, self.targets[receiver])
