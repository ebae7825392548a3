"""Stand-ins for the node list and for the network between gateways."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from orchidlane import http1
from orchidlane.gateway.control.endpoint_list import EndpointRecord, WatchEvent
from orchidlane.gateway.peers.datagrams import HEADER
from orchidlane.http1 import ProtocolError, Request
from orchidlane.runtime import (
    CONTROL,
    PEERS,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    TaskGroup,
)
from orchidlane.runtime.backend import Address, DatagramSocket
from orchidlane.simulation.observations import EndpointNotice, Record

HEARTBEAT = 3_000_000  # microseconds between two empty lines


class FakeDiscovery:
    """Keeps the list and pushes each change to every watch, so long after it happened."""

    def __init__(
        self, loop: EventLoop, address: Address, delay_us: tuple[int, int], record: Callable[[Record], None]
    ) -> None:
        self.loop = loop
        self.delay_us = delay_us
        self.record = record
        self.epoch = "one"
        self.version = 0
        self.endpoints: dict[str, EndpointRecord] = {}
        self.endpoint_names: dict[str, str] = {}  # address -> node
        self.watchers: dict[Stream, str] = {}
        self._last: dict[str, int] = {}  # when a node's latest news is due: each node's keep their order
        self.listener = loop.backend.listen(address)

    def set_endpoint(self, name: str, node: EndpointRecord) -> None:
        """A node's state changed just now; the watches hear of it later."""
        due = self.loop.now() + self.loop.backend.random.randint(*self.delay_us)
        self._last[name] = due = max(due, self._last.get(name, 0) + 1)
        self.loop.call_at(due, self._publish, (name, node))

    def _publish(self, what: tuple[str, EndpointRecord]) -> None:
        name, node = what
        self.version += 1
        self.endpoint_names[node.address] = name
        if node.state == "gone":
            self.endpoints.pop(node.address, None)
        else:
            self.endpoints[node.address] = node
        line = WatchEvent("changes", self.epoch, self.version, (node,), self.version - 1)
        for stream, gateway in list(self.watchers.items()):
            self._push(stream, gateway, line)

    def _push(self, stream: Stream, gateway: str, line: WatchEvent) -> None:
        self.loop.spawn(self._write, stream, gateway, line, priority=CONTROL, name="push")

    def _write(self, stream: Stream, gateway: str, line: WatchEvent) -> None:
        try:
            stream.send(http1.chunk(msgspec.json.encode(line) + b"\n"), self.loop.now() + 5_000_000)
        except (ConnectionClosedError, DeadlineExceededError):
            self._drop(stream)
            return
        for node in line.endpoints:
            self.record(
                EndpointNotice(self.loop.now(), gateway, self.endpoint_names[node.address], node.state)
            )

    def serve(self) -> None:
        """Take watches for ever."""
        with TaskGroup(self.loop) as scope:
            while True:
                try:
                    stream = self.listener.accept()
                except ConnectionClosedError:
                    return
                scope.spawn(self._watch, stream, priority=CONTROL)

    def _watch(self, stream: Stream) -> None:
        parser = http1.RequestParser()
        try:
            while not isinstance(head := parser.next_event(), Request):
                parser.receive(stream.recv())
                if parser.input_ended:
                    return
            gateway = (http1.header(head.headers, b"user-agent") or b" ").decode().split(" ")[-1]
            stream.send(http1.response_head(200, [(b"transfer-encoding", b"chunked")]))
            whole = WatchEvent("whole", self.epoch, self.version, tuple(self.endpoints.values()))
            self.watchers[stream] = gateway
            self._write(stream, gateway, whole)
            for address, name in self.endpoint_names.items():
                if address not in self.endpoints:  # a whole list tells of those that are not on it, too
                    self.record(EndpointNotice(self.loop.now(), gateway, name, "gone"))
            while stream in self.watchers:
                self.loop.sleep(HEARTBEAT)
                stream.send(http1.chunk(b"\n"), self.loop.now() + HEARTBEAT)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError):
            pass
        finally:
            self._drop(stream)

    def _drop(self, stream: Stream) -> None:
        self.watchers.pop(stream, None)
        stream.close()


class DatagramRelay:
    """Between the gateways: datagrams are lost, delayed, doubled, or cut off by pair of ranks."""

    def __init__(self, loop: EventLoop, routes: list[tuple[Address, Address]]) -> None:
        self.loop = loop
        self.targets = [target for _, target in routes]
        self.sockets: list[DatagramSocket] = [loop.backend.bind_datagrams(at) for at, _ in routes]
        self.loss = 0.0
        self.duplication = 0.0
        self.delay_us = (0, 0)
        self.cuts: set[frozenset[int]] = set()
        self.one_way_cuts: set[tuple[int, int]] = set()  # sender and receiver: nothing passes that way
        self.extra_delay_us: dict[tuple[int, int], int] = {}  # microseconds more, by sender and receiver
        self.on_datagram: Callable[[int, int, bytes], None] = lambda sender, receiver, data: None

    def serve(self) -> None:
        """Bring datagrams for ever."""
        with TaskGroup(self.loop) as scope:
            for rank in range(len(self.sockets)):
                scope.spawn(self._one, rank, priority=PEERS)

    def _one(self, rank: int) -> None:
        random = self.loop.backend.random
        while True:
            data, _ = self.sockets[rank].recv()
            sender = HEADER.unpack_from(data)[3] if len(data) >= HEADER.size else -1
            self.on_datagram(sender, rank, data)
            if frozenset((sender, rank)) in self.cuts or (sender, rank) in self.one_way_cuts:
                continue
            if random.random() < self.loss:
                continue
            for _ in range(1 + (random.random() < self.duplication)):
                span = random.randint(*self.delay_us) + self.extra_delay_us.get((sender, rank), 0)
                if span:
                    self.loop.call_at(self.loop.now() + span, self._bring, (rank, data))
                else:
                    self._bring((rank, data))

    def _bring(self, what: tuple[int, bytes]) -> None:
        rank, data = what
        self.sockets[rank].send(data, self.targets[rank])
