"""The life of one gateway: what it knows, its parts, its start, reload and end."""

from __future__ import annotations

from urllib.parse import unquote_to_bytes

import structlog

from .. import http1
from .. import interface as api
from ..http1 import Malformed, Request
from ..loop import BACKGROUND, CONTROL, PEERS, Closed, Expired, Loop, Scope, Stream
from ..loop.world import Datagrams
from ..routes import DescriptionError
from .datagram import LIMITS, MODULE, SIZE_MOST, Inbox, seal
from .door import accept_clients
from .front import Front
from .host import Host
from .knowledge import Knowledge, read_knowledge
from .limits import LimitService
from .metrics import Metrics
from .nodelist import ListTracker
from .probe import make_view
from .recorder import Recorder
from .respfront import RespFront
from .settings import Fleet, address, module_settings
from .upstream import Upstream
from .watch import Watch

DRAIN_LOOK = 10_000  # microseconds between two looks whether all is answered
ADMIN_PATIENCE = 5_000_000  # microseconds


class Program:
    """One gateway. ``run`` is its main task; ``stop`` and ``reload`` may be called from signals' tasks."""

    def __init__(
        self,
        loop: Loop,
        fleet: Fleet,
        rank: int,
        secret: bytes,
        knowledge: Knowledge | None = None,
        record_to: str | None = None,
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.rank = rank
        self.entry = fleet.gateways[rank]
        self.secret = secret
        self.record_to = record_to
        self.log = structlog.get_logger().bind(gateway=self.entry.name)
        self.knowledge = knowledge or read_knowledge(loop.world, fleet, 1, self.log)
        self.metrics = Metrics()
        self.stopping = False
        self.ready = False
        self.incarnation = loop.now()
        self.sequence = 0
        self.peers = [address(entry.peer) for entry in fleet.gateways]
        self.datagrams: Datagrams
        self.front: Front
        self.host: Host
        self.inbox: Inbox
        self.tracker = ListTracker(self.entry.zone, fleet.bounds.nodes)

    def run(self) -> None:
        """From start to the end of a drain."""
        world = self.loop.world
        listener = world.listen(address(self.entry.listen))
        self.datagrams = world.datagrams(address(self.entry.peer))
        with Scope(self.loop) as scope:
            self._build(scope)
            self.host.start()
            if self.record_to:
                self._record(scope, self.record_to)
            self.watch.restore()
            scope.spawn(self.watch.work, kind=CONTROL, name="node list")
            scope.spawn(self.watch.keep, kind=BACKGROUND, name="node list's cache")
            scope.spawn(self._hear, kind=PEERS, name="peers")
            if self.entry.admin:
                self._listen_admin(scope)
            self.front.listen(listener)
            if self.entry.resp:
                self.resp.listen(world.listen(address(self.entry.resp)))
            self.ready = True
            self.log.info("started", listen=self.entry.listen, rank=self.rank)
            self._until_drained()
            if self.host.recorder is not None:
                self.host.recorder.flush()
            scope.cancel()
        self.datagrams.close()
        self.log.info("ended")

    def _build(self, scope: Scope) -> None:
        settings = module_settings(self.fleet, self.rank, self.knowledge.generation)
        intakes = self.fleet.peers.intake, self.fleet.limits.intake
        self.inbox = Inbox(self.secret, self.rank, len(self.peers), self.loop.now(), *intakes)
        upstream = Upstream(self.loop, self.fleet, self.entry.name, scope, self.tracker)
        self.host = upstream.host = Host(self.loop, settings, self.metrics, upstream.begin, self._tell)
        self.front = Front(self.loop, self.fleet, self.host, lambda: self.knowledge, scope)
        self.metrics.gauges = {
            "connections": ("Clients' connections", lambda: len(self.front.connections)),
            "open_requests": ("Requests under way", lambda: len(self.host.exchanges)),
            "nodes": ("Nodes on the list", lambda: len(self.tracker.nodes)),
            "longest_turn_seconds": ("Longest turn of the loop", lambda: self.loop.longest_turn / 1e6),
        }
        self.limits = LimitService(self.loop, self.fleet, self.rank, self.host, self._tell_limits, scope)
        self.resp = RespFront(self.loop, self.fleet, self.limits, lambda: self.knowledge, scope)
        cache = f"{self.fleet.state}/{self.entry.name}.nodes.json" if self.fleet.state else ""
        self.watch = Watch(self.loop, self.fleet, self.tracker, self.entry.name, cache, self._listed)

    def _names(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        return self.knowledge.generation.class_names, tuple(self.fleet.plans)

    def _record(self, scope: Scope, folder: str) -> None:
        recorder = Recorder(self.loop, folder, self.entry.name, self.host, self._names(), self.log)
        self.host.recorder = recorder
        scope.spawn(recorder.work, kind=BACKGROUND, name="recorder")

    def _until_drained(self) -> None:
        """Wait for ``stop``, then until all is answered or the time for it is over."""
        while not self.stopping:
            self.loop.sleep(5 * DRAIN_LOOK)
        self.front.drain()
        if self.entry.resp:
            self.resp.drain()
        by = self.loop.now() + self.fleet.times.drain
        while (self.front.connections or self.resp.sessions) and self.loop.now() < by:
            self.loop.sleep(DRAIN_LOOK)

    def stop(self) -> None:
        """Begin to drain."""
        self.stopping = True

    def reload(self) -> None:
        """Read description and customers anew, beside the traffic; what can't be used changes nothing."""
        world, number = self.loop.world, self.knowledge.generation.number + 1
        try:
            fresh = world.aside(lambda: read_knowledge(world, self.fleet, number, self.log))
            if fresh.generation.classes != self.knowledge.generation.classes:
                raise DescriptionError(
                    self.fleet.description, [("x-orchidlane", "other classes need a restart of the gateway")]
                )
        except Exception as wrong:
            self.log.error("reload refused", why=str(wrong))
            return
        self.knowledge = fresh
        self.log.info("reloaded", generation=fresh.generation.number)

    # -- node list and peers

    def _listed(self, listed: api.ServerListed) -> None:
        self.host.feed(listed)

    def _tell_limits(self, rank: int, body: bytes) -> None:
        self._tell(rank, body, LIMITS)

    def _tell(self, rank: int, body: bytes, kind: int = MODULE) -> None:
        self.sequence += 1
        self.metrics.told += 1
        sealed = seal(self.secret, self.rank, rank, self.incarnation, self.sequence, body, kind)
        self.datagrams.send(sealed, self.peers[rank])

    def _hear(self) -> None:
        while True:
            data, _ = self.datagrams.recv()
            taken = self.inbox.take(self.loop.now(), data[: SIZE_MOST + 1])
            if taken is not None:
                self.metrics.heard += 1
                kind, sender, body = taken
                if kind == MODULE:
                    self.host.feed(api.PeerMessage(sender, body))
                else:
                    self.limits.hear(sender, body)

    # -- health and metrics

    def _listen_admin(self, scope: Scope) -> None:
        listener = self.loop.world.listen(address(self.entry.admin))

        def take(stream: Stream) -> None:
            scope.spawn(self._admin, stream, kind=BACKGROUND, name="admin")

        scope.spawn(accept_clients, self.loop, listener, take, kind=BACKGROUND, name="admin")

    def _admin(self, stream: Stream) -> None:
        parser, by = http1.RequestParser(), self.loop.now() + ADMIN_PATIENCE
        try:
            while (event := parser.next_event()) is None:
                parser.receive(stream.recv(deadline=by))
                if parser.ended:
                    return
            assert isinstance(event, Request)
            status, body = self._admin_answer(event.target)
            kind = (b"content-type", b"text/plain; charset=utf-8")
            length = (b"content-length", b"%d" % len(body))
            head = http1.response_head(status, [kind, length, (b"connection", b"close")])
            stream.send(head + body, by)
        except (Closed, Expired, Malformed):
            pass
        finally:
            stream.close()

    def _admin_answer(self, target: bytes) -> tuple[int, bytes]:
        if target == b"/metrics":
            return 200, self.metrics.page()
        if target == b"/health":
            fine = self.ready and not self.stopping
            return (200, b"ready\n") if fine else (503, b"draining\n")
        if target.partition(b"?")[0] == b"/view":
            return self._view(target)
        return 404, b"try /metrics, /health or /view\n"

    def _view(self, target: bytes) -> tuple[int, bytes]:
        """What tools ask: hosts, and one customer by its name."""
        customer = None
        if b"?customer=" in target:
            name = unquote_to_bytes(target.partition(b"?customer=")[2])
            found = self.knowledge.customers.named(name)
            if found is None:
                return 404, b"no customer has this name\n"
            customer = found.number, found.plan, found.set_first, found.set_size
        return 200, make_view(self.host.rules, self.entry.name, self.loop.now(), self._names(), customer)
