"""The life of one gateway on the platform: its parts, start, SIGHUP, SIGTERM and end.

After SIGTERM clients go on to connect and to use what they have for a while; all that comes then is owed an
answer. So for a while nothing changes but ``GET /up``; then no more connections are taken, those between two
requests are closed, each answer closes its own, and the end comes once all is answered (``shutdown.py``).

A gateway counts as told from its first moment of what discovery has, and it starts with a list that may be
old. So ``GET /up`` says 200 once discovery spoke. While that is silent no more can be known: then the grace
of drains, in which an old list may be gone by, is waited for and no longer.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

from orchidlane import policy
from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.gateway.forwarding.connection_pool import Upstream
from orchidlane.gateway.forwarding.policy_driver import Host
from orchidlane.gateway.server.http_server import Front
from orchidlane.gateway.telemetry.counters import GatewayCounters
from orchidlane.platform.configuration import Config, ConfigError, parse
from orchidlane.platform.discovery import Tracker, Watch
from orchidlane.platform.polling import retry_interval
from orchidlane.platform.protocol_adapter import PlatformClients
from orchidlane.platform.rate_limited_log import Log
from orchidlane.platform.request_parsing import Reader
from orchidlane.platform.resource_limits import limits_for
from orchidlane.platform.response_outcomes import PlatformNodes
from orchidlane.platform.shutdown import Shutdown, graceful_shutdown
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import BACKGROUND, CONTROL, PEERS, Address, Expired, Loop, Scope, Task

BIND_MOST = (
    8_000_000  # microseconds in which an address that a process of ours held may come free: ready in 10 s
)
FIRST_WORD = 100_000  # microseconds that clients wait at most for discovery's first word at the start
RETRY = 100_000  # microseconds until a task that failed begins anew
REPORT = 10_000_000  # microseconds between two lines of the log on what passed
WATCHES_MOST = 2  # of the list: the one before is followed until the new one speaks
DATAGRAM_MOST = 256  # bytes


class _Stopped(Exception):
    """We were told to end before we had begun."""


class Life:
    """One gateway from its start to its end; ``stop`` and ``reload`` come from signals."""

    def __init__(self, loop: Loop, config: Config, path: str) -> None:
        self.loop = loop
        self.config = config
        self.path = path
        self.log = Log(loop.now, config.name)
        self.tracker = Tracker(config.names.zones)
        self.ranks = {peer: rank for rank, peer in enumerate(config.peers)}
        self.stopping = False
        self.scope: Scope
        self.host: Host
        self.front: Front
        self.clients: PlatformClients
        self._datagrams: Any = None
        self._watching: list[Task] = []  # the newest last
        self._following: Address = config.discovery
        self._main: Task | None = None
        self._known_until = (
            loop.now() + config.settings.drain_grace_us
        )  # the list may be as old as it was given
        self._heard = False  # discovery has told something
        self._shutdown = Shutdown(0, 0, 0)  # once it has begun

    def run(self) -> None:
        """The main task."""
        with Scope(self.loop) as scope:
            self.scope = scope
            self._main = self.loop.current
            self._build(scope)
            with suppress(_Stopped):
                self._start(scope)
                while not self.stopping:
                    self.loop.park()
                self._shut_down()
            scope.cancel()
        self.log.say("ended")

    def _build(self, scope: Scope) -> None:
        config, loop = self.config, self.loop
        terms = limits_for(config)
        may = config.names.permissions
        reader = Reader(config.settings, config.names)
        self.clients = PlatformClients(
            reader,
            int(may.open_cap) or terms.resource_limits.max_connections,
            may.retry_after,
            self._is_ready,
        )
        rules = Gateway(config.settings, config.seed, loop.now())
        upstream = Upstream(
            loop, terms, scope, PlatformNodes(self.tracker, config.settings.load_report_names)
        )
        self.host = Host(
            loop, config.settings, rules, GatewayCounters(), self.clients, upstream.begin, self._tell
        )
        upstream.host = self.host
        self.pool = upstream.pool
        self.front = Front(loop, terms, self.host, self.clients, scope)
        self.host.contain = self.front.contain = self.log.contain

    def _is_ready(self) -> bool:
        """What ``GET /up`` says."""
        return not self.stopping and (self._heard or self.loop.now() >= self._known_until)

    def _start(self, scope: Scope) -> None:
        """The list as last known first; then all the rest, and clients last."""
        if self.config.known is not None:
            self._take_known()
        if self.config.peer_listen is not None:
            self._datagrams = self._bind(self.loop.world.datagrams, self.config.peer_listen)
            self._spawn(self._hear, kind=PEERS, name="peers")
        self.host.start()
        self._follow(self._following)
        self._await_list()
        self.front.listen(self._bind(self.loop.world.listen, self.config.listen))
        self._spawn(self._report, kind=BACKGROUND, name="report")
        self.log.say(f"serves, {len(self.tracker.nodes)} hosts known")
        if self.config.settings.may_gossip and len(self.config.peers) != self.config.settings.replica_count:
            told = f"{len(self.config.peers)} addresses for {self.config.settings.replica_count} gateways"
            self.log.say(f"peers: {told}, those without one are not told")

    def _await_list(self) -> None:
        """Discovery's agent answers at once: whoever asks for ``GET /up`` first need not ask again."""
        by = self.loop.now() + FIRST_WORD
        with suppress(Expired):
            while not (self._heard or self.stopping):
                self.loop.park(by)

    def _bind(self, bind: Callable[[Address], Any], at: Address) -> Any:
        """A socket at an address. The process before us may not be gone yet; raises OSError after a while,
        and _Stopped.
        """
        by = self.loop.now() + BIND_MOST
        while True:
            if self.stopping:
                raise _Stopped
            try:
                return bind(at)
            except OSError:
                if self.loop.now() >= by:
                    raise
            self.loop.sleep(RETRY)

    def _take_known(self) -> None:
        assert self.config.known is not None
        try:
            listed = self.tracker.apply(self.config.known, policy.EndpointListKind.CACHED)
        except WatchEventError as wrong:
            self.log.say(f"the known list can't be used: {wrong}")
            return
        self.tracker.generation = -1  # it may be old: what discovery says first counts, whatever its number
        if listed is not None:
            self.host.feed(listed)

    def _report(self) -> None:
        """What passed so far, in one line now and then."""
        while True:
            self.loop.sleep(REPORT)
            self._sum_up()

    def _sum_up(self) -> None:
        answers = ", ".join(f"{kind} {count}" for kind, count in sorted(self.clients.told.items()))
        attempts = ", ".join(f"{kind} {count}" for kind, count in sorted(self.host.metrics.outcomes.items()))
        held = f"{len(self.front.connections)} clients', {self.pool.open} hosts'"
        self.log.say(f"answers: {answers}; attempts: {attempts}; connections: {held}")

    # -- tasks that may not end the others

    def _spawn(self, work: Callable[..., None], *args: Any, kind: int, name: str) -> Task:
        return self.scope.spawn(self._guard, name, work, args, kind=kind, name=name)

    def _guard(self, name: str, work: Callable[..., None], args: tuple[Any, ...]) -> None:
        while True:
            try:
                return work(*args)
            except Exception as wrong:
                self.log.contain(name, wrong)
            self.loop.sleep(RETRY)

    # -- discovery

    def _follow(self, at: Address) -> None:
        """Follow the list at an address; those followed before end once news come from there."""

        def followed() -> None:
            while task in self._watching and self._watching[0] is not task:
                self.loop.cancel(self._watching.pop(0))

        interval = retry_interval(self.config.settings.drain_grace_us)
        watch = Watch(self.loop, self.tracker, self._listed, self.log.say, interval)
        task = self._spawn(watch.work, at, followed, kind=CONTROL, name="list")
        self._watching.append(task)
        while len(self._watching) > WATCHES_MOST:
            self.loop.cancel(self._watching.pop(0))
        self._following = at

    def _listed(self, listed: policy.EndpointListReceived) -> None:
        if not self._heard:
            self._heard = True
            if self._main is not None:
                self.loop.wake(self._main)
        self.host.feed(listed)
        for entry in listed.entries:
            if entry.state is policy.EndpointState.GONE:
                self.pool.forget(entry.endpoint)

    # -- the others

    def _tell(self, rank: int, body: bytes) -> None:
        if self._datagrams is not None and 0 <= rank < len(self.config.peers) and len(body) <= DATAGRAM_MOST:
            self._datagrams.send(body, self.config.peers[rank])

    def _hear(self) -> None:
        """Who a datagram is from, its source address says; anyone else's are dropped."""
        while True:
            body, sender = self._datagrams.recv()
            rank = self.ranks.get(sender)
            if rank is not None and rank != self.config.settings.replica and len(body) <= DATAGRAM_MOST:
                self.host.feed(policy.PeerMessageReceived(rank, body))

    # -- signals

    def stop(self) -> None:
        """Begin to end, once."""
        if self.stopping:
            return
        self.stopping = True
        longest = max((cls.deadline_us for cls in self.config.settings.classes), default=0)
        self._shutdown = graceful_shutdown(self.loop.now(), longest)
        if self._main is not None:
            self.loop.wake(self._main)

    def reload(self) -> None:
        """Another discovery's address counts at once; a file that can't be used changes nothing."""
        try:
            self._reload()
        except Exception as wrong:
            self.log.contain("reload", wrong)

    def _reload(self) -> None:
        try:
            text = self.loop.world.read_file(self.path)
            if text is None:
                raise ConfigError(f"{self.path}: no such file")
            fresh = parse(text, self.path)
        except (ConfigError, OSError) as wrong:
            self.log.say(f"not reloaded: {wrong}")
            return
        if not self._watching:  # we still begin: what is followed first is the latest
            self._following = fresh.discovery
        elif fresh.discovery != self._following:
            self._follow(fresh.discovery)
        self.log.say("reloaded")

    def _shut_down(self) -> None:
        self.log.say("ends")
        leave, last, end = self._shutdown
        self.front.last = last
        self.loop.sleep(leave - self.loop.now())
        self.front.drain()
        if not self.front.wait_left(last):
            for exchange in list(self.host.exchanges.values()):
                self.host.overdue(exchange)
            self.front.wait_left(end)
        self._sum_up()
