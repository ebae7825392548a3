"""One gateway in a simulated backend, with endpoints whose behaviour each test defines."""

from __future__ import annotations

import hashlib
from typing import Any, Self

import msgspec
import structlog

from harness.constants import MATERIALS, MS, SECOND
from orchidlane import http1
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import load_customers
from orchidlane.gateway.control.endpoint_list import EndpointRecord
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.routes import build, load_description
from orchidlane.runtime import CONTROL, ConnectionClosedError, DeadlineExceededError, EventLoop, TaskGroup
from orchidlane.runtime.simulated_backend import NetworkFaults, SimulatedBackend
from orchidlane.simulation.fake_discovery import FakeDiscovery

GENERATION = build(load_description((MATERIALS / "openapi.yaml").read_bytes(), "o"), "o")
KEY = b"a-key"
SETTINGS = (MATERIALS / "fleet.cue").read_text()
LOW_LIMIT_PLANS = parse_settings(SETTINGS, "fleet.cue").plans
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def fleet(**changes) -> FleetSettings:
    """Return the example's settings with high limits for one plan and with changes by settings keys."""
    settings = parse_settings(SETTINGS, "fleet.cue")
    high_limits = msgspec.structs.replace(settings.plans["basico"], rate=1_000.0, burst=3_000.0)
    settings = msgspec.structs.replace(settings, plans={**settings.plans, "basico": high_limits})
    return replace_settings(settings, changes)


def replace_settings(record: msgspec.Struct, changes: dict[str, Any]) -> Any:
    """Return a settings record with changes by settings keys; a dict changes keys of a nested record."""
    fields = {field.encode_name: field.name for field in msgspec.structs.fields(record)}
    values = {}
    for key, value in changes.items():
        inner = getattr(record, fields[key])
        nested = isinstance(value, dict) and isinstance(inner, msgspec.Struct)
        values[fields[key]] = replace_settings(inner, value) if nested else value
    return msgspec.structs.replace(record, **values)


class GatewayHarness:
    """One gateway and its endpoints: each of ``handlers`` serves the connections of one endpoint.

    ``cells`` has the cell of each endpoint, by default the same; ``changes`` are changes to the settings.
    """

    def __init__(self, *handlers, cells: list[str] | None = None, seed: int = 1, **changes) -> None:
        self.backend = SimulatedBackend(
            seed, NetworkFaults(delay_us=(100, 200), slow_probability=0.0, datagram_loss_probability=0.0)
        )
        self.loop = EventLoop(self.backend)
        self.fleet = fleet(**changes)
        self.handlers = handlers
        self.cells = cells or ["r"] * len(handlers)
        self.seen: list[tuple[int, bytes]] = []  # endpoint index, and method and target of each request read
        digest = hashlib.sha256(KEY).hexdigest()
        text = b'{"customers":[{"id":1,"plan":"basico","keys":["%s"]}]}' % digest.encode()
        self.customers = load_customers(text, "customers.json", self.fleet)
        self.program: GatewayProcess
        self.fake_discovery: FakeDiscovery

    @classmethod
    def run_test(cls, *handlers, test, **changes) -> Self:
        """Run ``test`` on a new harness with these endpoints and settings; return the harness."""
        harness = cls(*handlers, **changes)
        harness.run(test)
        return harness

    def run(self, test) -> None:
        """Run ``test(harness)`` once the gateway has received its endpoint list."""
        self.loop.run(self._run, test)

    def _run(self, test) -> None:
        self.fake_discovery = FakeDiscovery(self.loop, ("127.0.0.1", 8300), (1 * MS, 2 * MS), lambda _: None)
        with TaskGroup(self.loop) as scope:
            self.scope = scope
            scope.spawn(self.fake_discovery.serve, priority=CONTROL)
            for index in range(len(self.handlers)):
                scope.spawn(self._serve, index)
                self.set_endpoint_state(index, "ready")
            self.start()
            self.loop.sleep(300 * MS)
            test(self)
            scope.cancel()
            self.backend.kill(self.process)

    def start(self, rank: int = 0) -> None:
        """Start the gateway in its own process."""
        self.process = self.backend.start("gw-0", self._gateway, rank)

    def _gateway(self, rank: int) -> None:
        configuration = ConfigurationSnapshot(GENERATION, self.customers, structlog.get_logger(), False)
        self.program = GatewayProcess(self.loop, self.fleet, rank, b"0123456789abcdef", configuration)
        self.program.run()

    def address(self, index: int) -> tuple[str, int]:
        """Return the address at which an endpoint listens."""
        return "127.0.0.1", 9000 + index

    def set_endpoint_state(self, index: int, state: str, started_at_us: int = 0) -> None:
        """Set the state of an endpoint in the endpoint list: ready, draining or gone."""
        record = EndpointRecord(
            f"127.0.0.1:{9000 + index}", state, "hall-1", self.cells[index], started_at_us
        )
        self.fake_discovery.set_endpoint(f"node-{index}", record)

    def _serve(self, index: int) -> None:
        listener = self.backend.listen(self.address(index))
        while True:
            try:
                stream = listener.accept()
            except ConnectionClosedError:
                return
            self.scope.spawn(self._serve_connection, index, stream)

    def _serve_connection(self, index: int, stream) -> None:
        try:
            self.handlers[index](self, index, stream)
        except Exception:
            stream.close()

    def read_request(self, index: int, stream) -> tuple[http1.Request, bytes]:
        """Read a complete request at an endpoint."""
        parser, head, body = http1.RequestParser(), None, b""
        while True:
            event = parser.next_event()
            if event is None:
                data = stream.recv()
                if not data:
                    raise ConnectionError
                parser.receive(data)
            elif isinstance(event, http1.Request):
                head = event
            elif isinstance(event, http1.Data):
                body += event.data
            else:
                assert head is not None
                self.seen.append((index, head.method.encode() + b" " + head.target))
                return head, body

    # -- clients

    def connect(self):
        """Open a client's connection to the gateway."""
        return self.backend.connect(("127.0.0.1", 8080))

    def ask(self, raw: bytes, wait: int = 8 * SECOND) -> tuple[int, http1.Headers, bytes]:
        """Send a request on a new connection; return status (0 for no response), headers and body."""
        stream = self.connect()
        stream.send(raw)
        return self.answer(stream, raw.split(b" ")[0].decode("latin-1"), wait)

    def answer(self, stream, method: str = "GET", wait: int = 8 * SECOND, parser=None):
        """Read the next final response on a connection; return the same as ``ask``."""
        parser = parser or http1.ResponseParser()
        parser.expect_response_to(method)
        deadline = self.loop.now() + wait
        head, body = None, b""
        while True:
            event = parser.next_event()
            if event is None:
                try:
                    data = stream.recv(deadline=deadline)
                except DeadlineExceededError:
                    return 0, (), body
                parser.receive(data)
                if not data and (event := parser.next_event()) is None:
                    return 0, (), body
            if isinstance(event, http1.Response) and event.status >= 200:
                head = event
            elif isinstance(event, http1.Data):
                body += event.data
            elif isinstance(event, http1.End):
                return head.status, head.headers, body


run = GatewayHarness.run_test


def request(method: str, target: str, headers: str = "", body: bytes = b"", length: bool = True) -> bytes:
    """Encode a request with the customer's API key."""
    lines = f"{method} {target} HTTP/1.1\r\nHost: g\r\nX-Api-Key: {KEY.decode()}\r\n{headers}"
    if body and length:
        lines += f"Content-Length: {len(body)}\r\n"
    return lines.encode() + b"\r\n" + body


GET = request("GET", "/v1/sheets/a")
REPORT = request("POST", "/v1/reports", body=b"{}")
UPLOAD = request("PUT", "/v1/tests/1", "Idempotency-Key: k\r\n", b"data")


def good(harness: GatewayHarness, index: int, stream) -> None:
    """Serve each request at once."""
    while True:
        harness.read_request(index, stream)
        stream.send(OK)


def resets_after(harness: GatewayHarness, index: int, stream) -> None:
    """Read a request and reset the connection."""
    harness.read_request(index, stream)
    stream.abort()


def silent(harness: GatewayHarness, index: int, stream) -> None:
    """Read a request and never respond."""
    harness.read_request(index, stream)
    harness.loop.sleep(60 * SECOND)
