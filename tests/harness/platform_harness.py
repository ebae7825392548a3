"""One platform gateway in one event loop with a fake discovery and endpoints that a test defines."""

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
    """Return the request classes and plans of the settings; the values are arbitrary."""
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
        "classes": [
            {**request_class, "target": 500_000, "credit": 1.0, "lateWorth": 0.0} for request_class in classes
        ],
        "packages": [
            {**plan, "name": "small", "perSecond": 1.0, "peakUnits": 3.0},
            {**plan, "name": "large", "perSecond": 500.0, "peakUnits": 2_000.0},
        ],
    }


def settings(**changes) -> dict:
    """Return settings in the form of the simulator protocol; the values are arbitrary."""
    content = {
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
    return {**content, **changes}


def configuration_file(**changes) -> dict:
    """Return the content of a configuration file."""
    content = {
        "name": "n0",
        "listen": "127.0.0.1:8080",
        "discovery": "127.0.0.1:8500",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "peer_listen": "127.0.0.1:7946",
        "peers": ["127.0.0.1:7946"],
        "settings": settings(),
    }
    return {**content, **changes}


def configuration(**changes) -> Configuration:
    """Return the configuration that the gateway parses from such a file."""
    return parse_configuration(json.dumps(configuration_file(**changes)).encode(), "config.json")


def instance(index: int, lifecycle: str = "active", port: int | None = None, **changes) -> dict:
    """Return an endpoint's entry in the lines that discovery sends."""
    content = {
        "instanceId": f"s-{index}",
        "hostPort": f"127.0.0.1:{9000 + index if port is None else port}",
        "zone": ZONES[0],
        "cell": 0,
        "lifecycle": lifecycle,
        "startedAtMs": 0,
    }
    return {**content, **changes}


class Discovery:
    """A fake discovery service; the test decides what each watch receives."""

    def __init__(self, harness: PlatformHarness, address: tuple[str, int]) -> None:
        self.harness, self.address = harness, address
        self.streams: list = []
        self.polls_without_response: list = []  # their streams
        self.polls: list[bytes] = []
        self.first_events: list[dict] = []  # sent at the start of each new watch
        self.sends_heartbeats = True  # the protocol's heartbeat: an empty line every 2 s
        self.responds = True  # otherwise new polls are accepted and never get a response
        self.listener = None

    def _send_heartbeats(self) -> None:
        while True:
            self.harness.loop.sleep(2 * SECOND)
            for stream in self.streams if self.sends_heartbeats else ():
                with suppress(ConnectionClosedError):
                    stream.send(b"1\r\n\n\r\n")

    def serve(self) -> None:
        """Accept polls until the listener closes."""
        self.listener = self.harness.backend.listen(self.address)
        self.harness.scope.spawn(self._send_heartbeats, priority=CONTROL)
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
            self.polls_without_response.append(stream)
            return
        stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.streams.append(stream)
        for line in self.first_events:
            self.send(stream, line)

    def send(self, stream, line: dict | bytes, indent: int | None = None) -> None:
        """Send a JSON object, or bytes unchanged, as one chunk of a watch."""
        data = line if isinstance(line, bytes) else json.dumps(line, indent=indent).encode() + b"\n"
        stream.send(b"%x\r\n%s\r\n" % (len(data), data))

    def end_watches(self) -> None:
        """Close all open watches, in order, without telling them anything."""
        for stream in self.streams:
            with suppress(ConnectionClosedError):
                stream.send(b"0\r\n\r\n")
            stream.close()
        self.streams = []

    def notify(self, generation: int, *instances: dict, reset: bool = False) -> None:
        """Send an event to all open watches."""
        for stream in self.streams:
            self.send(stream, {"generation": generation, "reset": reset, "instances": list(instances)})


class PlatformHarness(GatewayHarness):
    """One gateway over the simulated network; each of ``handlers`` serves one endpoint's connections."""

    host = "127.0.0.1"  # the gateway, its discovery and its endpoints listen here

    def __init__(self, *handlers, seed: int = 1, **changes) -> None:
        self.backend = self._make_backend(seed)
        self.loop = EventLoop(self.backend)
        self.handlers = handlers
        self.changes = changes
        self.seen: list[tuple[int, bytes]] = []
        self.heads: list = []  # heads of the requests that ``platform_endpoints.serves`` served
        self.has_stopped = False
        self.gateway: PlatformGateway

    def _make_backend(self, seed: int):
        return SimulatedBackend(
            seed, NetworkFaults(delay_us=(100, 200), slow_probability=0.0, datagram_loss_probability=0.0)
        )

    def instance(self, index: int, lifecycle: str = "active", **changes) -> dict:
        """Return the entry of an endpoint of this harness."""
        return instance(index, lifecycle, **{"hostPort": f"{self.host}:{9000 + index}", **changes})

    def _run(self, test) -> None:
        self.discovery = Discovery(self, (self.host, DISCOVERY[1]))
        instances = [self.instance(index) for index in range(len(self.handlers))]
        self.discovery.first_events = [{"generation": 1, "reset": True, "instances": instances}]
        with TaskGroup(self.loop) as scope:
            self.scope = scope
            scope.spawn(self.discovery.serve, priority=CONTROL)
            for index in range(len(self.handlers)):
                scope.spawn(self._serve, index)
            self._start_gateway()
            test(self)
            scope.cancel()
            self._kill_gateway()

    def _start_gateway(self) -> None:
        self.process = self.backend.start("n0", self._gateway)
        self.loop.sleep(300 * MS)

    def _kill_gateway(self) -> None:
        self.backend.kill(self.process)

    def _gateway(self) -> None:
        self.gateway = PlatformGateway(self.loop, configuration(**self.changes), "config.json")
        self.gateway.run()
        self.has_stopped = True

    def until(self, condition, timeout_us: int = 10 * SECOND) -> None:
        """Wait until a condition holds."""
        deadline = self.loop.now() + timeout_us
        while not condition():
            assert self.loop.now() < deadline, "the condition did not hold before the timeout"
            self.loop.sleep(5 * MS)


class RealPlatformHarness(PlatformHarness):
    """A ``PlatformHarness`` over real connections.

    Gateway, discovery, endpoints and clients are tasks of one event loop, so a test can force any order of
    events.
    """

    def __init__(self, *handlers, seed: int = 1, **changes) -> None:
        number = os.getpid() << 8 | next(HARNESS_NUMBERS) & 255
        self.host = f"127.{1 + (number >> 16) % 250}.{number >> 8 & 255}.{number & 255}"
        ports = {"listen": 8080, "discovery": DISCOVERY[1], "peer_listen": 7946}
        addresses = {name: f"{self.host}:{port}" for name, port in ports.items()}
        super().__init__(
            *handlers, seed=seed, **{**addresses, "peers": [addresses["peer_listen"]], **changes}
        )

    def _make_backend(self, seed: int):
        return RealBackend(seed)

    def address(self, index: int) -> tuple[str, int]:
        """Return the address of an endpoint."""
        return self.host, 9000 + index

    def connect(self):
        """Return a client's connection to the gateway."""
        return self.backend.connect((self.host, 8080))

    def _start_gateway(self) -> None:
        self.scope.spawn(self._gateway, priority=CONTROL)
        self.until(lambda: self.discovery.streams and self.gateway.tracker.generation == 1)

    def _kill_gateway(self) -> None:
        """Do nothing: the gateway's tasks belong to the test's task group, which cancels them."""


HARNESS_NUMBERS = iter(range(10**9))
REQUEST_NUMBERS = iter(range(10**9))


def serve_every_request(harness, index, stream) -> None:
    """Serve all requests on a connection to an endpoint."""
    while True:
        harness.read_request(index, stream)
        stream.send(OK)


def chunked_call() -> bytes:
    """Return the head of a client's request with a chunked body."""
    return call("put").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


def call(
    class_name: str = "read",
    *,
    client: str = "0000000000000001",
    plan: str = "large",
    timeout: str = "1.000",
    quota_info: str = "units=1,spread=1,first=0",
    request_id: str | None = None,
    extra_header: str = "",
    body: bytes = b"",
    method: str | None = None,
) -> bytes:
    """Return a client's request; without ``request_id`` it has a new one."""
    request_id = f"{next(REQUEST_NUMBERS):016x}" if request_id is None else request_id
    method = method or ("GET" if class_name == "read" else "POST")
    lines = [
        f"{method} /{class_name}?client={client} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-ID: {request_id}",
    ]
    lines += [f"Plan: {plan}", f"X-Timeout: {timeout}", f"Quota-Info: {quota_info}"]
    lines += ["Idempotency-Key: 5c0f6e1a"] if class_name == "put" else []
    lines += [extra_header] if extra_header else []
    lines += [f"Content-Length: {len(body)}"] if method == "POST" else []
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
