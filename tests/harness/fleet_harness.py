"""A fleet of platform gateways in the simulated backend, with hosts in slow start and clients.

Each gateway has a discovery agent of its own, which learns of changes with a lag of its own. One
seed determines the whole run.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

from harness.platform_harness import MS, SECOND, ZONES, call, file, settings
from orchidlane import http1
from orchidlane.platform.configuration import parse_configuration
from orchidlane.platform.lifecycle import PlatformGateway
from orchidlane.runtime import (
    CONTROL,
    ConnectionClosedError,
    ConnectionFailedError,
    DeadlineExceededError,
    EventLoop,
    NetworkFaults,
    SimulatedBackend,
    TaskGroup,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FULL = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass
class FakeHost:
    """An emulated host; ``started_at_us`` 0 means long ago."""

    number: int
    started_at_us: int
    busy: int = 0
    waiting: int = 0
    request_times_us: list[int] = field(default_factory=list)
    removed: bool = False


@dataclass(frozen=True)
class FleetTerms:
    """How a fleet is made and loaded."""

    gateways: int
    hosts: int
    slots: int = 4
    work_us: int = 50 * MS  # of one request on a warm host
    load: float = 0.6  # of what all hosts can do when warm
    max_discovery_lag_us: int = 2 * SECOND  # of the agent that hears of changes last
    slow_start_initial_share: float = 0.25
    slow_start_us: int = 10 * SECOND
    overload_multiple: float = 2.5
    overload_window_us: int = 1_200 * MS
    duration_us: int = 8 * SECOND

    @property
    def requests_per_second(self) -> float:
        """What one warm host serves."""
        return self.slots * SECOND / self.work_us


class SimulatedFleet:
    """Gateways, discovery agents, hosts and clients; ``run`` runs them."""

    def __init__(
        self, terms: FleetTerms, plans: list[dict], customers: list[tuple[int, int]], seed: int = 1
    ) -> None:
        """Make a fleet; ``customers`` are plan and share of all requests, by number."""
        self.terms, self.plans, self.customers = terms, plans, customers
        self.random = random.Random(seed)
        self.backend = SimulatedBackend(
            seed, NetworkFaults(delay_us=(100, 400), slow_probability=0.0, datagram_loss_probability=0.02)
        )
        self.loop = EventLoop(self.backend)
        self.hosts = [FakeHost(number, 0) for number in range(terms.hosts)]
        self.generation = 1
        self.changes: list[tuple[int, int, dict]] = []  # generation, time, entry
        self.programs: list[PlatformGateway] = []
        self.requests: list[tuple[int, int]] = []  # time and customer
        self.first_attempts: list[tuple[int, int]] = []  # the same, when it first reached a host
        self.statuses: dict[int, int] = {}
        self._seen_request_ids: set[bytes] = set()

    # Discovery

    def address(self, kind: int, number: int) -> str:
        return f"127.{kind}.{number // 250}.{1 + number % 250}"

    def _discovery_entry(self, host: FakeHost) -> dict:
        return {
            "instanceId": f"s-{host.number}",
            "hostPort": f"{self.address(3, host.number)}:9000",
            "zone": ZONES[host.number % 2],
            "cell": host.number // 4,
            "lifecycle": "left" if host.removed else "active",
            "startedAtMs": host.started_at_us // MS,
        }

    def _gateway_config(self, rank: int):
        terms = self.terms
        rules = {
            **settings()["rules"],
            "coldFrom": terms.slow_start_initial_share,
            "warmWithin": terms.slow_start_us,
        }
        rules |= {"fallMultiple": terms.overload_multiple, "overloadFor": terms.overload_window_us}
        gateway_settings = settings(rank=rank, balancers=terms.gateways, packages=self.plans, rules=rules)
        gateway_settings["permissions"] |= {"peers": True}
        peers = [f"{self.address(1, number)}:7946" for number in range(terms.gateways)]
        initial_list = {
            "generation": 1,
            "reset": True,
            "instances": [self._discovery_entry(host) for host in self.hosts[: terms.hosts]],
        }
        config = file(
            name=f"n{rank}",
            listen=f"{self.address(1, rank)}:8080",
            discovery=f"{self.address(2, rank)}:8500",
            peer_listen=peers[rank],
            peers=peers,
            seed=f"{rank:x}",
            settings=gateway_settings,
            known=initial_list,
        )
        return parse_configuration(json.dumps(config).encode(), "config.json")

    def _run_agent(self, rank: int) -> None:
        """Serve the watches of one gateway."""
        listener = self.backend.listen((self.address(2, rank), 8500))
        while True:
            self.scope.spawn(self._serve_watch, listener.accept(), self._discovery_lag_us(rank))

    def _discovery_lag_us(self, rank: int) -> int:
        return self.terms.max_discovery_lag_us * rank // max(1, self.terms.gateways - 1)

    def _serve_watch(self, stream, lag: int) -> None:
        try:
            target = stream.recv().split(b" ")[1]
            generation = int(target.partition(b"from=")[2] or b"1")
            stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = {"generation": generation, "reset": False, "instances": []}
            if b"from=" not in target:
                line = {
                    "generation": 1,
                    "reset": True,
                    "instances": [self._discovery_entry(h) for h in self.first],
                }
            beat = 0
            while True:
                if line or self.loop.now() - beat >= SECOND:
                    data = json.dumps(line).encode() + b"\n" if line else b"\n"
                    stream.send(b"%x\r\n%s\r\n" % (len(data), data))
                    beat = self.loop.now()
                self.loop.sleep(50 * MS)
                due = [c for c in self.changes if c[0] > generation and c[1] + lag <= self.loop.now()]
                line = (
                    {"generation": due[-1][0], "reset": False, "instances": [c[2] for c in due]}
                    if due
                    else None
                )
                generation = due[-1][0] if due else generation
        except ConnectionClosedError:
            pass

    # Hosts

    def add(self) -> None:
        """Start one more host, in slow start."""
        host = FakeHost(len(self.hosts), self.loop.now())
        self.hosts.append(host)
        self.scope.spawn(self._run_host, host)
        self._publish(host)

    def remove(self, host: FakeHost) -> None:
        """Remove a host; the requests that it has are not answered."""
        host.removed = True
        self._publish(host)

    def _publish(self, host: FakeHost) -> None:
        self.generation += 1
        self.changes.append((self.generation, self.loop.now(), self._discovery_entry(host)))

    def capacity_share(self, host: FakeHost, now: int) -> float:
        """Return the part of its capacity that a host has."""
        if not host.started_at_us:
            return 1.0
        return min(
            1.0,
            self.terms.slow_start_initial_share
            + (1 - self.terms.slow_start_initial_share)
            * (now - host.started_at_us)
            / self.terms.slow_start_us,
        )

    def _run_host(self, host: FakeHost) -> None:
        listener = self.backend.listen((self.address(3, host.number), 9000))
        while True:
            self.scope.spawn(self._serve_connection, host, listener.accept())

    def _serve_connection(self, host: FakeHost, stream) -> None:
        parser = http1.RequestParser()
        try:
            while True:
                while not isinstance(event := parser.next_event(), http1.End):
                    if event is None and not (data := stream.recv()):
                        return
                    elif event is None:
                        parser.receive(data)
                    elif isinstance(event, http1.Request):
                        self._note_request(host, event)
                parser.next_message()
                stream.send(self._serve_request(host))
        except ConnectionClosedError:
            pass

    def _note_request(self, host: FakeHost, head: http1.Request) -> None:
        host.request_times_us.append(self.loop.now())
        number = http1.header(head.headers, b"x-request-id") or b""
        if number not in self._seen_request_ids:
            self._seen_request_ids.add(number)
            self.first_attempts.append((self.loop.now(), int(head.target[-16:], 16)))

    def _serve_request(self, host: FakeHost) -> bytes:
        if host.removed or (host.busy >= self.terms.slots and host.waiting >= 4 * self.terms.slots):
            return FULL
        host.waiting += 1
        while host.busy >= self.terms.slots:
            self.loop.sleep(5 * MS)
        host.waiting -= 1
        host.busy += 1
        self.loop.sleep(
            int(self.random.expovariate(1 / self.terms.work_us) / self.capacity_share(host, self.loop.now()))
        )
        host.busy -= 1
        return OK

    # Clients

    def _run_clients(self, rank: int, rate: float) -> None:
        weights = [share for _, share in self.customers]
        while True:
            self.loop.sleep(int(self.random.expovariate(rate) * SECOND))
            customer = self.random.choices(range(len(self.customers)), weights)[0]
            self.scope.spawn(self._send_request, rank, customer)

    def _send_request(self, rank: int, customer: int) -> None:
        size = self.terms.gateways
        raw = call(
            client=f"{customer:016x}",
            plan=self.plans[self.customers[customer][0]]["name"],
            left="1.000",
            extras=f"units=1,spread={size},first=0",
        )
        self.requests.append((self.loop.now(), customer))
        try:
            stream = self.backend.connect((self.address(1, rank), 8080))
            stream.send(raw)
            status = int(stream.recv(deadline=self.loop.now() + 2 * SECOND)[9:12] or b"0")
            stream.close()
        except (ConnectionClosedError, DeadlineExceededError, ConnectionFailedError):
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1

    # The run

    def run(self, during) -> SimulatedFleet:
        """Run the load for the duration, and ``during(fleet)`` beside it."""
        self.loop.run(self._run, during)
        return self

    def start(self, rank: int) -> None:
        """Start a gateway, for the first time or again."""

        def work() -> None:
            self.programs[rank] = PlatformGateway(self.loop, self._gateway_config(rank), "config.json")
            self.programs[rank].run()

        self.processes[rank] = self.backend.start(f"n{rank}", work)

    def restart(self, rank: int) -> None:
        """Kill a gateway and start it anew."""
        self.backend.kill(self.processes[rank])
        self.start(rank)

    def _run(self, during) -> None:
        terms = self.terms
        self.first = list(self.hosts)
        self.programs, self.processes = [None] * terms.gateways, [None] * terms.gateways
        with TaskGroup(self.loop) as scope:
            self.scope = scope
            for host in self.hosts:
                scope.spawn(self._run_host, host)
            for rank in range(terms.gateways):
                scope.spawn(self._run_agent, rank, priority=CONTROL)
                self.start(rank)
            self.loop.sleep(200 * MS)
            rate = terms.load * terms.requests_per_second * terms.hosts / terms.gateways
            for rank in range(terms.gateways):
                scope.spawn(self._run_clients, rank, rate)
            began = self.loop.now()
            during(self)
            self.loop.sleep(began + terms.duration_us - self.loop.now())
            scope.cancel()
            for process in self.processes:
                self.backend.kill(process)

    def worst_excess(self, host: FakeHost) -> float:
        """Return how far requests to a cold host exceeded its budget at worst; chance explains 1.

        The budget of a window is what the settings allow at its start, in requests of mean work; chance
        explains twice its square root and 2 more.
        """
        terms = self.terms
        times = host.request_times_us
        worst = float("-inf")
        for first, begin in enumerate(times):
            count = sum(1 for when in times[first:] if when < begin + terms.overload_window_us)
            budget = (
                terms.overload_multiple
                * self.capacity_share(host, begin)
                * terms.requests_per_second
                * terms.overload_window_us
                / SECOND
            )
            worst = max(worst, (count - budget) / (2 * budget**0.5 + 2))
        return worst
