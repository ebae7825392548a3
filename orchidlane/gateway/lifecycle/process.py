"""The life of one gateway: what it knows, its parts, its start, reload and end."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import structlog

from orchidlane import policy
from orchidlane.gateway.control.configuration import ConfigurationSnapshot, build_snapshot, read_source_files
from orchidlane.gateway.control.endpoint_list import EndpointListTracker
from orchidlane.gateway.control.endpoint_watch import EndpointWatch
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import hot_restart_address, parse_host_port
from orchidlane.gateway.forwarding.attempt import AttemptStarter
from orchidlane.gateway.forwarding.openapi_clients import OpenApiClientAdapter
from orchidlane.gateway.forwarding.openapi_endpoints import OpenApiEndpointAdapter
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.lifecycle.account_store import Memory
from orchidlane.gateway.lifecycle.hot_restart import GivingSide, Lent, TakingSide
from orchidlane.gateway.peers.datagrams import (
    MAX_DATAGRAM_BYTES,
    DatagramKind,
    Inbox,
    encode_datagram,
)
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.rollout_agent.admin_api import Desk
from orchidlane.gateway.rollout_agent.agent import Versions
from orchidlane.gateway.server import http_server as http_front
from orchidlane.gateway.server.http_server import HttpServer
from orchidlane.gateway.server.resp_server import RespServer, Session
from orchidlane.gateway.telemetry.admin_api import Admin, Names
from orchidlane.gateway.telemetry.metrics import Metrics
from orchidlane.gateway.telemetry.traffic_recorder import TrafficRecorder
from orchidlane.hot_restart import messages, new_process, old_process
from orchidlane.policy.gateway import Gateway
from orchidlane.recording import track_accounts
from orchidlane.routes import DescriptionError, DescriptionProblem
from orchidlane.runtime import BACKGROUND, CONTROL, PEERS, Loop, Scope, Task
from orchidlane.runtime.backend import Handle

DRAIN_LOOK = 10_000  # microseconds between two looks whether all is answered


class Program:
    """One gateway. ``run`` is its main task; ``stop`` and ``reload`` may be called from signals' tasks.

    ``places`` are its listeners and the peers' datagrams by name: what a successor takes over. With
    ``take_over`` they come from the process that runs now; ``failed`` says afterwards why nothing became of
    it.
    """

    def __init__(
        self,
        loop: Loop,
        fleet: FleetSettings,
        rank: int,
        secret: bytes,
        knowledge: ConfigurationSnapshot | None = None,
        record_to: str | None = None,
        take_over: bool = False,
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.rank = rank
        self.entry = fleet.gateways[rank]
        self.secret = secret
        self.record_to = record_to
        self.take_over = take_over
        self.log = structlog.get_logger().bind(gateway=self.entry.name)
        self.given = knowledge is not None
        self.sources: tuple[bytes, bytes] | None = None  # what our files say
        self.versions = Versions(self) if fleet.rollout.voting_members else None
        self.knowledge = knowledge or self._first_knowledge(1)
        self.metrics = Metrics()
        self.stopping = False
        self.ready = False
        self.quiet = False  # peers hear of another process in our place
        self.failed = ""
        self.when_ready: Callable[[], None] = lambda: None  # called once, when requests are served
        self.incarnation = loop.now()
        self.sequence = 0
        self.peers = [parse_host_port(entry.peer) for entry in fleet.gateways]
        self.places: dict[str, Any] = {}
        self.front: HttpServer
        self.host: PolicyDriver
        self.inbox: Inbox
        self.memory: Memory | None = None
        self.tracker = EndpointListTracker(self.entry.zone, fleet.resource_limits.max_endpoints)
        self._hearing: Task

    def run(self) -> None:
        """From start to the end of a drain."""
        with Scope(self.loop) as scope:
            self.giving = GivingSide(self, scope)
            if self.take_over:
                self.taking = TakingSide(self, scope)
                if not self.taking.take_over():
                    self.failed = self.taking.ended_because
                    scope.cancel()
                    return
            else:
                for name in ("http", "peer"):
                    self.open(name)
                self.build(scope)
                self.start_serving(scope)
                self.giving.listen()
            self._until_drained()
            self.giving.part()
            if self.host.recorder is not None:
                self.host.recorder.finish()
            if self.memory is not None and not self.quiet:
                self.memory.finish()
            scope.cancel()
        for place in self.places.values():
            place.close()
        if self.take_over:
            self.failed = self.taking.ended_because
        self.log.info("ended", why=self.failed)

    # -- places

    def open(self, name: str) -> None:
        """Bind the address that the settings have for a place, if they have one and it is not ours yet."""
        world, entry = self.loop.world, self.entry
        if name in self.places:
            return
        if name == "peer":
            self.places[name] = world.datagrams(parse_host_port(entry.peer))
            return
        wanted = {"http": entry.listen, "resp": entry.resp, "admin": entry.admin}
        at = hot_restart_address(self.fleet, entry) if name == "upgrade" else None
        if wanted.get(name):
            at = parse_host_port(wanted[name])
        if at is not None:
            self.places[name] = world.listen(at)

    def adopt_places(self, handles: dict[str, Handle]) -> None:
        """Take over the places of the process before us."""
        world = self.loop.world
        for name, handle in handles.items():
            adopt = world.adopt_datagrams if name == "peer" else world.adopt_listener
            self.places[name] = adopt(handle)

    # -- parts

    def _first_knowledge(self, number: int) -> ConfigurationSnapshot:
        """What an earlier life went by, or what the files say. Raises what ``_read_files`` does."""
        found = self.versions.restored(number) if self.versions is not None else None
        return found or self._read_files(number)

    def _read_files(self, number: int) -> ConfigurationSnapshot:
        """Raises DescriptionError, CustomersError, OSError."""
        sources = read_source_files(self.loop.world, self.fleet)
        found = build_snapshot(*sources, self.fleet, number, self.log)
        self.sources = sources
        return found

    def read(self, number: int) -> None:
        """Read description and customers beside the loop. Raises what ``_read_files`` does."""
        if not self.given:
            self.knowledge = self.loop.world.aside(lambda: self._first_knowledge(number))

    def build(self, scope: Scope) -> None:
        """Make all parts; none of them does anything yet."""
        self.scope = scope
        settings = policy_settings(self.fleet, self.rank, self.knowledge.generation)
        intakes = [self.fleet.peers.messages_per_second, self.fleet.quotas.messages_per_second]
        if self.versions is not None:
            intakes.append(self.fleet.rollout.messages_per_second)
        self.inbox = Inbox(self.secret, self.rank, len(self.peers), self.loop.now(), *intakes)
        nodes = OpenApiEndpointAdapter(self.fleet, self.entry.name, self.incarnation, self.tracker)
        why_not = self.versions.why_not_serve if self.versions is not None else str
        note = self.versions.note if self.versions is not None else None
        clients = OpenApiClientAdapter(
            self.fleet, lambda: self.knowledge, lambda: self.host, self.metrics, why_not, note
        )
        rules = Gateway(settings, self.loop.world.random.getrandbits(64), self.loop.now())
        track_accounts(rules)
        upstream = AttemptStarter(self.loop, self.fleet, scope, nodes)
        begin = upstream.begin
        self.host = PolicyDriver(self.loop, settings, rules, self.metrics, clients, begin, self._tell)
        upstream.host = self.host
        self.front = HttpServer(self.loop, self.fleet, self.host, clients, scope)
        self.metrics.gauges = {
            "connections": ("Clients' connections", lambda: len(self.front.connections)),
            "open_requests": ("Requests under way", lambda: len(self.host.requests)),
            "nodes": ("Nodes on the list", lambda: len(self.tracker.endpoints)),
            "longest_turn_seconds": ("Longest turn of the loop", lambda: self.loop.longest_turn / 1e6),
        }
        self.limits = LimitService(self.loop, self.fleet, self.rank, self.host, self.tell_limits)
        self.resp = RespServer(self.loop, self.fleet, self.limits, lambda: self.knowledge, scope, why_not)
        self.admin = Admin(
            self.loop,
            self.entry.name,
            self.host,
            self.metrics,
            lambda: self.knowledge,
            self.about,
            lambda: self.ready and not self.stopping and not why_not(),
            self.names,
            Desk(self.versions) if self.versions is not None else None,
        )
        cache = (
            f"{self.fleet.state_directory}/{self.entry.name}.nodes.json" if self.fleet.state_directory else ""
        )
        self.watch = EndpointWatch(self.loop, self.fleet, self.tracker, self.entry.name, cache, self._listed)

    def start_serving(self, scope: Scope) -> None:
        """Take requests; what is not bound or taken over yet is bound here."""
        if not self.take_over:
            self.watch.load_cache()
        self._remember(scope)
        for name in ("http", "peer", "resp", "admin"):
            self.open(name)
        self.host.start()
        if self.record_to:
            self._record(scope, self.record_to)
        if self.versions is not None:
            self.versions.start(scope)
        scope.spawn(self.watch.run, kind=CONTROL, name="node list")
        scope.spawn(self.watch.run_cache_writer, kind=BACKGROUND, name="node list's cache")
        self._listen()
        self.front.listen(self.places["http"])
        if "resp" in self.places:
            self.resp.listen(self.places["resp"])
        self.ready = True
        if self.versions is None:
            self.when_ready()
        self.log.info("started", listen=self.entry.listen, rank=self.rank, pid=os.getpid())

    def _remember(self, scope: Scope) -> None:
        """Go on with the accounts of an earlier life, unless another process told us its own."""
        if not self.fleet.state_directory or not self.fleet.account_store.write_interval_us:
            return
        self.memory = Memory(self, f"{self.fleet.state_directory}/{self.entry.name}.accounts")
        if not self.take_over:
            self.log.info("remembered", accounts=self.memory.load())
            self.memory.begin()
        scope.spawn(self.memory.work, kind=BACKGROUND, name="memory")

    def _listen(self) -> None:
        self._hearing = self.scope.spawn(self._hear, kind=PEERS, name="peers")
        if "admin" in self.places:
            self.admin.listen(self.places["admin"], self.scope)

    # -- another process in our place

    def lend(self, lent: Lent) -> None:
        """Units are another process's to decide on from here on; what is held here asks it."""
        self.quiet = True
        self.host.remote_quota = lent
        self.limits.successor = lent
        for exchange in self.host.requests.values():
            exchange.was_unsent_at_hand_over = not exchange.attempts

    def hold(
        self, pass_http: Callable[[http_front.Connection], None], pass_resp: Callable[[Session], None]
    ) -> None:
        """Take nothing new at any place; the clients are passed on between two requests."""
        self.loop.cancel(self._hearing)
        if self.versions is not None:
            self.versions.stop()
        self.admin.hold()
        self.front.hold(pass_http)
        if "resp" in self.places:
            self.resp.hold(pass_resp)

    def take_back(self) -> None:
        """Serve again: nobody else does."""
        self.quiet = False
        self.host.remote_quota = None
        self.limits.reclaim()
        self._listen()
        if self.versions is not None:
            self.versions.start(self.scope)
        self.front.resume()
        if "resp" in self.places:
            self.resp.resume()

    def names(self) -> Names:
        """The names that a state's numbers stand for: classes, plans."""
        return self.knowledge.generation.class_names, tuple(self.fleet.plans)

    def about(self) -> dict[str, Any]:
        """What a state is told to be of: which moment of which life, and the generations it goes by."""
        return {
            "now": self.loop.now(),
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "generation": self.knowledge.generation.number,
            "list": [self.tracker.epoch, self.tracker.version, len(self.tracker.endpoints)],
            "open": len(self.host.requests),
            "draining": self.stopping,
            "client_margin": int(self.fleet.timeouts.response_margin_us),
            **({"version": self.versions.show()} if self.versions is not None else {}),
        }

    def _record(self, scope: Scope, folder: str) -> None:
        recorder = TrafficRecorder(
            self.loop, folder, self.entry.name, self.host, self.names(), self.log, self.about
        )
        self.host.recorder = recorder
        scope.spawn(recorder.work, kind=BACKGROUND, name="recorder")

    def _until_drained(self) -> None:
        """Wait for ``stop``, then until all is answered or the time for it is over."""
        while not self.stopping:
            self.loop.sleep(5 * DRAIN_LOOK)
        self.front.drain()
        if "resp" in self.places:
            self.resp.drain()
        by = self.loop.now() + self.fleet.timeouts.drain_us
        while (self.front.connections or self.resp.sessions) and self.loop.now() < by:
            self.loop.sleep(DRAIN_LOOK)
        self.front.lingering.wait(by)
        self.resp.lingering.wait(by)

    def stop(self) -> None:
        """Begin to drain; while a successor is on trial, let it go on alone or give everything back first."""
        self.giving.feed(old_process.Stopped())
        if self.take_over and self.taking.machine.phase is new_process.Phase.TRIAL:
            self.taking.feed(new_process.Stopped())
        else:
            self.stopping = True

    def reload(self) -> None:
        """Read description and customers anew, beside the traffic; what can't be used changes nothing."""
        world, number = self.loop.world, self.knowledge.generation.number + 1
        if self.versions is not None and self.versions.ledger is not None:
            self.log.error("reload refused", why="the fleet goes by its ledger: propose the change")
            return
        try:
            fresh = world.aside(lambda: self._read_files(number))
            if fresh.generation.classes != self.knowledge.generation.classes:
                problem = DescriptionProblem("x-orchidlane", "other classes need a restart of the gateway")
                raise DescriptionError(self.fleet.description, [problem])
        except Exception as wrong:
            self.log.error("reload refused", why=str(wrong))
            return
        self.knowledge = fresh
        self.log.info("reloaded", generation=fresh.generation.number)

    # -- node list and peers

    def _listed(self, listed: policy.EndpointListReceived) -> None:
        self.host.feed(listed)

    def tell_limits(self, rank: int, body: bytes) -> None:
        """A question or answer of the limits: sealed by whoever serves in this gateway's name."""
        if self.giving.lent is not None and self.quiet:
            self.giving.lent.channel.send(messages.Tell(rank, body))
        elif rank == self.rank:
            self.taking.own_reply(body)  # to a question of the process before us
        else:
            self._tell(rank, body, DatagramKind.LIMITS)

    def tell_change(self, rank: int, body: bytes) -> None:
        """A datagram about the fleet's versions."""
        self._tell(rank, body, DatagramKind.ROLLOUT)

    def _tell(self, rank: int, body: bytes, kind: int = DatagramKind.POLICY) -> None:
        if self.quiet:
            return
        self.sequence += 1
        self.metrics.datagrams_sent += 1
        sealed = encode_datagram(self.secret, self.rank, rank, self.incarnation, self.sequence, body, kind)
        self.places["peer"].send(sealed, self.peers[rank])

    def _hear(self) -> None:
        datagrams = self.places["peer"]
        while True:
            data, _ = datagrams.recv()
            taken = self.inbox.accept(self.loop.now(), data[: MAX_DATAGRAM_BYTES + 1])
            if taken is not None:
                self.metrics.datagrams_received += 1
                kind, sender, body = taken
                if kind == DatagramKind.POLICY:
                    self.host.feed(policy.PeerMessageReceived(sender, body))
                elif kind == DatagramKind.ROLLOUT and self.versions is not None:
                    self.versions.hear(sender, body)
                else:
                    self.limits.receive(sender, body)
