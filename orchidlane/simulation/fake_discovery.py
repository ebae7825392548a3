"""A fake discovery service: it keeps the endpoint list and streams its changes to gateways that watch it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import msgspec

from orchidlane import http1
from orchidlane.gateway.control.endpoint_list import EndpointRecord, WatchEvent
from orchidlane.http1 import ProtocolError, Request
from orchidlane.runtime import (
    CONTROL,
    ConnectionClosedError,
    DeadlineExceededError,
    EventLoop,
    Stream,
    TaskGroup,
)
from orchidlane.runtime.backend import Address, format_address
from orchidlane.simulation.endpoint_spec import EndpointSpec
from orchidlane.simulation.observations import EndpointNotice, Record

HEARTBEAT_INTERVAL_US = 3_000_000  # between the empty lines that show that a watch is alive
SEND_TIMEOUT_US = 5_000_000
ZONE = "hall-1"
EPOCH = "one"

EndpointPhase = Literal["ready", "draining", "gone"]


def endpoint_record(spec: EndpointSpec, state: EndpointPhase, started_at_us: int = 0) -> EndpointRecord:
    """Return an endpoint's entry in the list; ``started_at_us`` 0 is for one that warmed up long ago."""
    return EndpointRecord(format_address(spec.address), state, ZONE, spec.cell, started_at_us, 1.0)


class FakeDiscovery:
    """Serves watches of the endpoint list; changes are sent after a random delay within ``delay_us``."""

    def __init__(
        self, loop: EventLoop, address: Address, delay_us: tuple[int, int], record: Callable[[Record], None]
    ) -> None:
        self.loop = loop
        self.delay_us = delay_us
        self.record = record
        self.epoch = EPOCH
        self.version = 0
        self.endpoints: dict[str, EndpointRecord] = {}  # by address
        self.endpoint_names: dict[str, str] = {}  # by address
        self.watchers: dict[Stream, str] = {}  # name of the gateway, by the connection of its watch
        # Time of each endpoint's latest change: a later change is published after it
        self._last_due: dict[str, int] = {}
        self.listener = loop.backend.listen(address)

    def add_endpoint(self, name: str, record: EndpointRecord) -> None:
        """Add an endpoint to the list without notifying any watch: for use before the gateways start."""
        self.endpoints[record.address] = record
        self.endpoint_names[record.address] = name

    def set_endpoint(self, name: str, record: EndpointRecord) -> None:
        """Change an endpoint's entry; the list and the watches get the change after the random delay."""
        due = self.loop.now() + self.loop.backend.random.randint(*self.delay_us)
        self._last_due[name] = due = max(due, self._last_due.get(name, 0) + 1)
        self.loop.call_at(due, self._publish, (name, record))

    def _publish(self, change: tuple[str, EndpointRecord]) -> None:
        name, record = change
        self.version += 1
        self.endpoint_names[record.address] = name
        if record.state == "gone":
            self.endpoints.pop(record.address, None)
        else:
            self.endpoints[record.address] = record
        event = WatchEvent("changes", self.epoch, self.version, (record,), self.version - 1)
        for stream, gateway in list(self.watchers.items()):
            self.loop.spawn(self._send, stream, gateway, event, priority=CONTROL, name="push")

    def _send(self, stream: Stream, gateway: str, event: WatchEvent) -> None:
        try:
            line = msgspec.json.encode(event) + b"\n"
            stream.send(http1.chunk(line), self.loop.now() + SEND_TIMEOUT_US)
        except (ConnectionClosedError, DeadlineExceededError):
            self._drop(stream)
            return
        for record in event.endpoints:
            self._record_notice(gateway, self.endpoint_names[record.address], record.state)

    def _record_notice(self, gateway: str, name: str, state: EndpointPhase) -> None:
        self.record(EndpointNotice(self.loop.now(), gateway, name, state))

    def serve(self) -> None:
        """Accept watches until cancelled."""
        with TaskGroup(self.loop) as scope:
            while True:
                try:
                    stream = self.listener.accept()
                except ConnectionClosedError:
                    return
                scope.spawn(self._serve_watch, stream, priority=CONTROL)

    def _serve_watch(self, stream: Stream) -> None:
        try:
            head = self._read_head(stream)
            if head is None:
                return
            gateway = (http1.header(head.headers, b"user-agent") or b" ").decode().split(" ")[-1]
            stream.send(http1.response_head(200, [(b"transfer-encoding", b"chunked")]))
            self._send_complete_list(stream, gateway)
            while stream in self.watchers:
                self.loop.sleep(HEARTBEAT_INTERVAL_US)
                stream.send(http1.chunk(b"\n"), self.loop.now() + HEARTBEAT_INTERVAL_US)
        except (ConnectionClosedError, DeadlineExceededError, ProtocolError):
            pass
        finally:
            self._drop(stream)

    def _read_head(self, stream: Stream) -> Request | None:
        """Return the head of a request; None if the connection was closed before it was complete."""
        parser = http1.RequestParser()
        while not isinstance(head := parser.next_event(), Request):
            parser.receive(stream.recv())
            if parser.input_ended:
                return None
        return head

    def _send_complete_list(self, stream: Stream, gateway: str) -> None:
        event = WatchEvent("whole", self.epoch, self.version, tuple(self.endpoints.values()))
        self.watchers[stream] = gateway
        self._send(stream, gateway, event)
        for address, name in self.endpoint_names.items():
            if address not in self.endpoints:  # an endpoint that is missing in a complete list is gone
                self._record_notice(gateway, name, "gone")

    def _drop(self, stream: Stream) -> None:
        self.watchers.pop(stream, None)
        stream.close()
