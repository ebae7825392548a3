"""Gateways of the platform in a simulated backend, with endpoints that a test scripts."""

from __future__ import annotations

import json
import os
from contextlib import suppress

from harness.constants import MS, SECOND
from harness.gateway_harness import GatewayHarness
from orchidlane.platform.configuration import Configuration, parse_configuration
from orchidlane.platform.lifecycle import PlatformGateway
from orchidlane.runtime import CONTROL, ConnectionClosedError, EventLoop, RealBackend, TaskGroup
from orchidlane.runtime.simulated_backend import NetworkFaults, SimulatedBackend

ZONES = ["hall-1", "hall-2"]
DISCOVERY = ("127.0.0.1", 8500)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def request_classes_and_plans() -> dict:
    """Return the classes and plans of the settings; all figures are made up."""
    plan = {
        "beyondEarns": 0,
        "capDepth": 0,
        "capSlack": 0,
        "hardRate": 0,
        "open": 0,
        "overrunCost": 1,
        "pays": 1,
    }
    classes = [
        {"name": "read", "effect": "repeatable", "group": "all", "deadline": 2_000_000, "dedupWindow": 0},
        {"name": "put", "effect": "by_key", "group": "cell", "deadline": 2_000_000, "dedupWindow": 900_000},
        {"name": "bill", "effect": "once", "group": "all", "deadline": 2_000_000, "dedupWindow": 0},
    ]
    return {
        "classes": [{**c, "target": 500_000, "credit": 1.0, "lateWorth": 0.0} for c in classes],
        "packages": [
            {**plan, "name": "small", "perSecond": 1.0, "peakUnits": 3.0},
            {**plan, "name": "large", "perSecond": 500.0, "peakUnits": 2_000.0},
        ],
    }


def settings(**changes) -> dict:
    """Return settings in the form of the simulator's protocol; all figures are made up."""
    found = {
        "rank": 0,
        "balancers": 1,
        "locality": 0,
        "zones": ZONES,
        "discovery": "pushed",
        **request_classes_and_plans(),
        "familyInfo": {"peerIntake": 40.0, "sharedCounter": False, "unitsTop": 1.0},
        "permissions": {
            "peers": False,
            "probes": False,
            "cancel": True,
            "secondCopies": False,
            "maxAttempts": 3,
            "maxRetryAfter": 1_000_000,
            "retryAfter": True,
            "idleClose": 10_000_000,
            "connectTimeout": 250_000,
            "openCap": 1_000,
        },
        "charges": {"peer": 0, "probe": 0, "waste": 0, "crossZone": 0},
        "rules": {
            "askWithin": 10_000_000,
            "coldFrom": 0.3,
            "warmWithin": 10_000_000,
            "fallMultiple": 3,
            "overloadFor": 3_000_000,
            "drainGrace": 1_000_000,
        },
        "loadReport": {"how": "inline", "names": ["util", "inflight"]},
    }
    return {**found, **changes}


def file(**changes) -> dict:
    """A configuration file's content."""
    found = {
        "name": "n0",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.1:7946"],
        "settings": settings(),
    }
    return {**found, **changes}


def configuration(**changes) -> Configuration:
    """The same, checked."""
    return parse_configuration(json.dumps(file(**changes)).encode(), "config.json")


def instance(index: int, lifecycle: str = "active", port: int | None = None, **changes) -> dict:
    """An entry of the list."""
    found = {
        "instanceId": f"s-{index}",
        "hostPort": f"127.0.0.1:{9000 + index if port is None else port}",
        "zone": ZONES[0],
        "cell": 0,
        "lifecycle": lifecycle,
        "startedAtMs": 0,
    }
    return {**found, **changes}


class Discovery:
    """A fake discovery service that sends what a test says, to each watch."""

    def __init__(self, harness: PlatformHarness, at: tuple[str, int]) -> None:
        self.harness, self.at = harness, at
        self.streams: list = []
        self.unanswered: list = []  # polls without a response
        self.polls: list[bytes] = []
        self.first_events: list[dict] = []  # what a new watch gets first
        self.sends_keepalives = True  # an empty line every 2 s, by the protocol
        self.responds = True  # else polls are accepted and get no response, now or later
        self.listener = None

    def _send_keepalives(self) -> None:
        while True:
            self.harness.loop.sleep(2 * SECOND)
            for stream in self.streams if self.sends_keepalives else ():
                with suppress(ConnectionClosedError):
                    stream.send(b"1\r\n\n\r\n")

    def serve(self) -> None:
        """Accept polls until the listener closes."""
        self.listener = self.harness.backend.listen(self.at)
        self.harness.scope.spawn(self._send_keepalives, priority=CONTROL)
        while True:
            try:
                stream = self.listener.accept()
            except ConnectionClosedError:
                return
            with suppress(ConnectionClosedError):
                self._respond(stream)

    def _respond(self, stream) -> None:
        self.polls.append(stream.recv())
        if not self.responds:
            self.unanswered.append(stream)
            return
        stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.streams.append(stream)
        for line in self.first_events:
            self.send(stream, line)

    def send(self, stream, line: dict | bytes, indent: int | None = None) -> None:
        """Send an object, or bytes as they are, as one chunk."""
        data = line if isinstance(line, bytes) else json.dumps(line, indent=indent).encode() + b"\n"
        stream.send(b"%x\r\n%s\r\n" % (len(data), data))

    def notify(self, generation: int, *instances: dict, reset: bool = False) -> None:
        """Send changes on all open watches."""
        for stream in self.streams:
            self.send(stream, {"generation": generation, "reset": reset, "instances": list(instances)})


class PlatformHarness(GatewayHarness):
    """One gateway; ``handlers`` serve the endpoints' connections, one handler for each endpoint."""

    at = "127.0.0.1"  # where all of it listens

    def __init__(self, *handlers, seed: int = 1, **changes) -> None:
        self.backend = self._make_backend(seed)
        self.loop = EventLoop(self.backend)
        self.handlers = handlers
        self.changes = changes
        self.seen: list[tuple[int, bytes]] = []
        self.heads: list = []  # of the requests that ``good`` served
        self.ended = False
        self.gateway: PlatformGateway

    def _make_backend(self, seed: int):
        return SimulatedBackend(
            seed, NetworkFaults(delay_us=(100, 200), slow_probability=0.0, datagram_loss_probability=0.0)
        )

    def instance(self, index: int, lifecycle: str = "active", **changes) -> dict:
        """An entry of the list, for an endpoint of this harness."""
        return instance(index, lifecycle, **{"hostPort": f"{self.at}:{9000 + index}", **changes})

    def _run(self, test) -> None:
        self.discovery = Discovery(self, (self.at, DISCOVERY[1]))
        hosts = [self.instance(index) for index in range(len(self.handlers))]
        self.discovery.first_events = [{"generation": 1, "reset": True, "instances": hosts}]
        with TaskGroup(self.loop) as scope:
            self.scope = scope
            scope.spawn(self.discovery.serve, priority=CONTROL)
            for index in range(len(self.handlers)):
                scope.spawn(self._serve, index)
            self._begin()
            test(self)
            scope.cancel()
            self._finish()

    def _begin(self) -> None:
        self.process = self.backend.start("n0", self._gateway)
        self.loop.sleep(300 * MS)

    def _finish(self) -> None:
        self.backend.kill(self.process)

    def _gateway(self) -> None:
        self.gateway = PlatformGateway(self.loop, configuration(**self.changes), "config.json")
        self.gateway.run()
        self.ended = True

    def until(self, holds, span: int = 10 * SECOND) -> None:
        """Wait for a condition."""
        by = self.loop.now() + span
        while not holds():
            assert self.loop.now() < by, "never came"
            self.loop.sleep(5 * MS)


class RealPlatformHarness(PlatformHarness):
    """The same over real connections.

    All parties are tasks of one event loop, so that a test can force any order.
    """

    def __init__(self, *handlers, seed: int = 1, **changes) -> None:
        number = os.getpid() << 8 | next(HARNESS_NUMBERS) & 255
        self.at = f"127.{1 + (number >> 16) % 250}.{number >> 8 & 255}.{number & 255}"
        places = {"listen": 8080, "discovery": DISCOVERY[1], "peer_listen": 7946}
        ours = {name: f"{self.at}:{port}" for name, port in places.items()}
        super().__init__(*handlers, seed=seed, **{**ours, "peers": [ours["peer_listen"]], **changes})

    def _make_backend(self, seed: int):
        return RealBackend(seed)

    def address(self, index: int) -> tuple[str, int]:
        """Return the address of an endpoint."""
        return self.at, 9000 + index

    def connect(self):
        """Return a client's connection to the gateway."""
        return self.backend.connect((self.at, 8080))

    def _begin(self) -> None:
        self.scope.spawn(self._gateway, priority=CONTROL)
        self.until(lambda: self.discovery.streams and self.gateway.tracker.generation == 1)

    def _finish(self) -> None:
        """Its tasks are ours: they end with our scope."""


HARNESS_NUMBERS = iter(range(10**9))
NUMBERS = iter(range(10**9))


def serve_every_request(harness, index, stream) -> None:
    """Serve the requests of a connection at an endpoint."""
    while True:
        harness.read_request(index, stream)
        stream.send(OK)


def call(
    name: str = "read",
    *,
    client: str = "0000000000000001",
    plan: str = "large",
    left: str = "1.000",
    extras: str = "units=1,spread=1,first=0",
    number: str | None = None,
    more: str = "",
    body: bytes = b"",
    method: str | None = None,
) -> bytes:
    """A client's request."""
    number = f"{next(NUMBERS):016x}" if number is None else number
    method = method or ("GET" if name == "read" else "POST")
    lines = [f"{method} /{name}?client={client} HTTP/1.1", "Host: origin.svc", f"X-Request-ID: {number}"]
    lines += [f"Plan: {plan}", f"X-Timeout: {left}", f"Quota-Info: {extras}"]
    lines += ["Idempotency-Key: 5c0f6e1a"] if name == "put" else []
    lines += [more] if more else []
    lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
