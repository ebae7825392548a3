"""A fleet of platform gateways in the simulated world, with hosts that are cold at first and clients beside.

Each gateway has an agent of discovery of its own, which hears of changes late by a time of its own. All is
one seed.
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

from harness.platform_house import HALLS, MS, SECOND, call, file, settings
from orchidlane import http1
from orchidlane.platform.configuration import parse_configuration
from orchidlane.platform.lifecycle import PlatformGateway
from orchidlane.runtime import CONTROL, Closed, Expired, Faults, Loop, NotConnected, Scope, SimWorld

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FULL = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"


@dataclass
class Host:
    """An emulated host; ``started`` in microseconds, 0: long ago."""

    number: int
    started: int
    busy: int = 0
    waiting: int = 0
    came: list[tuple[int, int]] = field(default_factory=list)  # when, from which gateway
    gone: bool = False


@dataclass(frozen=True)
class Terms:
    """How a fleet is made; spans in microseconds."""

    gateways: int
    hosts: int
    slots: int = 4
    work: int = 50 * MS  # of one request on a warm host
    load: float = 0.6  # of what all hosts can do when warm
    late: int = 2 * SECOND  # the latest agent hears of a change so much later
    cold_from: float = 0.25
    warm_within: int = 10 * SECOND
    fall_multiple: float = 2.5
    overload_for: int = 1_200 * MS
    span: int = 8 * SECOND

    @property
    def capacity(self) -> float:
        """Requests a second of one warm host."""
        return self.slots * SECOND / self.work


class Fleet:
    """Gateways, agents, hosts and clients; ``play`` runs them."""

    def __init__(
        self, terms: Terms, plans: list[dict], customers: list[tuple[int, int]], seed: int = 1
    ) -> None:
        """``customers``: plan and share of all requests, by number."""
        self.terms, self.plans, self.customers = terms, plans, customers
        self.random = random.Random(seed)
        self.world = SimWorld(seed, Faults(delay=(100, 400), slow_chance=0.0, datagram_loss=0.02))
        self.loop = Loop(self.world)
        self.hosts = [Host(number, 0) for number in range(terms.hosts)]
        self.generation = 1
        self.changes: list[tuple[int, int, dict]] = []  # generation, when, entry
        self.lives: list[PlatformGateway] = []
        self.asked: list[tuple[int, int]] = []  # when and whose: every try
        self.sent: list[tuple[int, int]] = []  # the same: its first attempt reached a host
        self.statuses: dict[int, int] = {}
        self._firsts: set[bytes] = set()

    # -- what the gateways are told

    def at(self, kind: int, number: int) -> str:
        return f"127.{kind}.{number // 250}.{1 + number % 250}"

    def _entry(self, host: Host) -> dict:
        return {
            "instanceId": f"s-{host.number}",
            "hostPort": f"{self.at(3, host.number)}:9000",
            "zone": HALLS[host.number % 2],
            "cell": host.number // 4,
            "lifecycle": "left" if host.gone else "active",
            "startedAtMs": host.started // MS,
        }

    def _config(self, rank: int):
        t = self.terms
        rules = {**settings()["rules"], "coldFrom": t.cold_from, "warmWithin": t.warm_within}
        rules |= {"fallMultiple": t.fall_multiple, "overloadFor": t.overload_for}
        told = settings(rank=rank, balancers=t.gateways, packages=self.plans, rules=rules)
        told["permissions"] |= {"peers": True}
        peers = [f"{self.at(1, number)}:7946" for number in range(t.gateways)]
        known = {
            "generation": 1,
            "reset": True,
            "instances": [self._entry(host) for host in self.hosts[: t.hosts]],
        }
        whole = file(
            name=f"n{rank}",
            listen=f"{self.at(1, rank)}:8080",
            discovery=f"{self.at(2, rank)}:8500",
            peer_listen=peers[rank],
            peers=peers,
            seed=f"{rank:x}",
            settings=told,
            known=known,
        )
        return parse_configuration(json.dumps(whole).encode(), "config.json")

    def _agent(self, rank: int) -> None:
        """Tells what it has heard of so far to each watch, and goes on."""
        listener = self.world.listen((self.at(2, rank), 8500))
        while True:
            self.scope.spawn(self._watch, listener.accept(), self._lag(rank))

    def _lag(self, rank: int) -> int:
        return self.terms.late * rank // max(1, self.terms.gateways - 1)

    def _watch(self, stream, lag: int) -> None:
        try:
            asked = stream.recv().split(b" ")[1]
            begun = int(asked.partition(b"from=")[2] or b"1")
            stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = {"generation": begun, "reset": False, "instances": []}
            if b"from=" not in asked:
                line = {"generation": 1, "reset": True, "instances": [self._entry(h) for h in self.first]}
            beat = 0
            while True:
                if line or self.loop.now() - beat >= SECOND:
                    data = json.dumps(line).encode() + b"\n" if line else b"\n"
                    stream.send(b"%x\r\n%s\r\n" % (len(data), data))
                    beat = self.loop.now()
                self.loop.sleep(50 * MS)
                known = [c for c in self.changes if c[0] > begun and c[1] + lag <= self.loop.now()]
                line = (
                    {"generation": known[-1][0], "reset": False, "instances": [c[2] for c in known]}
                    if known
                    else None
                )
                begun = known[-1][0] if known else begun
        except Closed:
            pass

    # -- hosts

    def add(self) -> None:
        """One more host starts, cold."""
        host = Host(len(self.hosts), self.loop.now())
        self.hosts.append(host)
        self.scope.spawn(self._host, host)
        self._told(host)

    def remove(self, host: Host) -> None:
        """A host leaves, and what it has is not answered."""
        host.gone = True
        self._told(host)

    def _told(self, host: Host) -> None:
        self.generation += 1
        self.changes.append((self.generation, self.loop.now(), self._entry(host)))

    def ramp(self, host: Host, now: int) -> float:
        """What part of its capacity a host has."""
        if not host.started:
            return 1.0
        return min(
            1.0,
            self.terms.cold_from + (1 - self.terms.cold_from) * (now - host.started) / self.terms.warm_within,
        )

    def _host(self, host: Host) -> None:
        listener = self.world.listen((self.at(3, host.number), 9000))
        while True:
            self.scope.spawn(self._serve, host, listener.accept())

    def _serve(self, host: Host, stream) -> None:
        parser = http1.RequestParser()
        try:
            while True:
                while not isinstance(event := parser.next_event(), http1.End):
                    if event is None and not (data := stream.recv()):
                        return
                    elif event is None:
                        parser.receive(data)
                    elif isinstance(event, http1.Request):
                        self._came(host, event)
                parser.next_message()
                stream.send(self._work(host))
        except Closed:
            pass

    def _came(self, host: Host, head: http1.Request) -> None:
        host.came.append((self.loop.now(), 0))
        number = http1.header(head.headers, b"x-request-id") or b""
        if number not in self._firsts:
            self._firsts.add(number)
            self.sent.append((self.loop.now(), int(head.target[-16:], 16)))

    def _work(self, host: Host) -> bytes:
        if host.gone or (host.busy >= self.terms.slots and host.waiting >= 4 * self.terms.slots):
            return FULL
        host.waiting += 1
        while host.busy >= self.terms.slots:
            self.loop.sleep(5 * MS)
        host.waiting -= 1
        host.busy += 1
        self.loop.sleep(int(self.random.expovariate(1 / self.terms.work) / self.ramp(host, self.loop.now())))
        host.busy -= 1
        return OK

    # -- clients

    def _clients(self, rank: int, rate: float) -> None:
        weights = [share for _, share in self.customers]
        while True:
            self.loop.sleep(int(self.random.expovariate(rate) * SECOND))
            customer = self.random.choices(range(len(self.customers)), weights)[0]
            self.scope.spawn(self._ask, rank, customer)

    def _ask(self, rank: int, customer: int) -> None:
        size = self.terms.gateways
        raw = call(
            client=f"{customer:016x}",
            plan=self.plans[self.customers[customer][0]]["name"],
            left="1.000",
            extras=f"units=1,spread={size},first=0",
        )
        self.asked.append((self.loop.now(), customer))
        try:
            stream = self.world.connect((self.at(1, rank), 8080))
            stream.send(raw)
            status = int(stream.recv(deadline=self.loop.now() + 2 * SECOND)[9:12] or b"0")
            stream.close()
        except (Closed, Expired, NotConnected):
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1

    # -- a day

    def play(self, during) -> Fleet:
        """Run ``during(fleet)`` beside the load for the terms' span."""
        self.loop.run(self._play, during)
        return self

    def start(self, rank: int) -> None:
        """Start a gateway, or start it again."""

        def work() -> None:
            self.lives[rank] = PlatformGateway(self.loop, self._config(rank), "config.json")
            self.lives[rank].run()

        self.processes[rank] = self.world.start(f"n{rank}", work)

    def restart(self, rank: int) -> None:
        """Kill a gateway and start it anew."""
        self.world.kill(self.processes[rank])
        self.start(rank)

    def _play(self, during) -> None:
        t = self.terms
        self.first = list(self.hosts)
        self.lives, self.processes = [None] * t.gateways, [None] * t.gateways
        with Scope(self.loop) as scope:
            self.scope = scope
            for host in self.hosts:
                scope.spawn(self._host, host)
            for rank in range(t.gateways):
                scope.spawn(self._agent, rank, kind=CONTROL)
                self.start(rank)
            self.loop.sleep(200 * MS)
            rate = t.load * t.capacity * t.hosts / t.gateways
            for rank in range(t.gateways):
                scope.spawn(self._clients, rank, rate)
            began = self.loop.now()
            during(self)
            self.loop.sleep(began + t.span - self.loop.now())
            scope.cancel()
            for process in self.processes:
                self.world.kill(process)

    def over_budget(self, host: Host) -> float:
        """How far beyond its budget a cold host was sent at worst, in units of what chance explains.

        The budget of a window is what the settings allow at its begin, in requests of mean work; chance
        explains 2 x its root + 2 more.
        """
        t, times, worst = self.terms, [when for when, _ in host.came], float("-inf")
        for first, begin in enumerate(times):
            count = sum(1 for when in times[first:] if when < begin + t.overload_for)
            budget = t.fall_multiple * self.ramp(host, begin) * t.capacity * t.overload_for / SECOND
            worst = max(worst, (count - budget) / (2 * budget**0.5 + 2))
        return worst
