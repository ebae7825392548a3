"""The life of one gateway: what it knows, its parts, its start, reload and end."""

from __future__ import annotations

from typing import Any

import structlog

from .. import interface as api
from ..loop import BACKGROUND, CONTROL, PEERS, Loop, Scope
from ..loop.world import Datagrams
from ..routes import DescriptionError
from .admin import Admin, Names
from .datagram import LIMITS, MODULE, SIZE_MOST, Inbox, seal
from .front import Front
from .host import Host
from .knowledge import Knowledge, read_knowledge
from .limits import LimitService
from .metrics import Metrics
from .nodelist import ListTracker
from .recorder import Recorder
from .respfront import RespFront
from .settings import Fleet, address, module_settings
from .upstream import Upstream
from .watch import Watch

DRAIN_LOOK = 10_000  # microseconds between two looks whether all is answered


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
                self.admin.listen(address(self.entry.admin), scope)
            self.front.listen(listener)
            if self.entry.resp:
                self.resp.listen(world.listen(address(self.entry.resp)))
            self.ready = True
            self.log.info("started", listen=self.entry.listen, rank=self.rank)
            self._until_drained()
            if self.host.recorder is not None:
                self.host.recorder.finish()
            scope.cancel()
        self.datagrams.close()
        self.log.info("ended")

    def _build(self, scope: Scope) -> None:
        settings = module_settings(self.fleet, self.rank, self.knowledge.generation)
        intakes = self.fleet.peers.intake, self.fleet.limits.intake
        self.inbox = Inbox(self.secret, self.rank, len(self.peers), self.loop.now(), *intakes)
        upstream = Upstream(self.loop, self.fleet, self.entry.name, self.incarnation, scope, self.tracker)
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
        self.admin = Admin(
            self.loop,
            self.entry.name,
            self.host,
            self.metrics,
            lambda: self.knowledge,
            self.about,
            lambda: self.ready and not self.stopping,
            self._names,
        )
        cache = f"{self.fleet.state}/{self.entry.name}.nodes.json" if self.fleet.state else ""
        self.watch = Watch(self.loop, self.fleet, self.tracker, self.entry.name, cache, self._listed)

    def _names(self) -> Names:
        return self.knowledge.generation.class_names, tuple(self.fleet.plans)

    def about(self) -> dict[str, Any]:
        """What a state is told to be of: which moment of which life, and the generations it goes by."""
        return {
            "now": self.loop.now(),
            "incarnation": self.incarnation,
            "sequence": self.sequence,
            "generation": self.knowledge.generation.number,
            "list": [self.tracker.epoch, self.tracker.version, len(self.tracker.nodes)],
            "open": len(self.host.exchanges),
            "draining": self.stopping,
            "client_margin": int(self.fleet.times.client_margin),
        }

    def _record(self, scope: Scope, folder: str) -> None:
        recorder = Recorder(
            self.loop, folder, self.entry.name, self.host, self._names(), self.log, self.about
        )
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
