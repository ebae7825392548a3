"""The lifecycle of one gateway on the platform: its parts, start, SIGHUP, SIGTERM and end.

After SIGTERM clients go on to connect and to use their connections for a while, and whatever they send then
is owed a response. So nothing changes at first but the readiness check; then no more connections are
accepted, idle ones are closed, each response closes its own, and the end comes once everything is answered
(``shutdown.py``).

By the platform's rules a gateway counts as notified, from its first moment, of what discovery has, and it
starts with a list that may be old. So it is ready once discovery has responded. While discovery is silent it
becomes ready after the grace of drains, in which endpoints of an old list may have gone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from orchidlane import policy
from orchidlane.gateway.control.endpoint_list import WatchEventError
from orchidlane.gateway.forwarding.attempt import AttemptStarter
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.server.http_server import HttpServer
from orchidlane.gateway.telemetry.counters import GatewayCounters
from orchidlane.platform.configuration import Configuration, ConfigurationError, parse_configuration
from orchidlane.platform.discovery import DiscoveryEvent, DiscoveryTracker
from orchidlane.platform.discovery_watch import DiscoveryWatch
from orchidlane.platform.polling import retry_interval_us
from orchidlane.platform.protocol_adapter import PlatformClientAdapter
from orchidlane.platform.rate_limited_log import RateLimitedLog
from orchidlane.platform.request_parsing import RequestParser
from orchidlane.platform.resource_limits import limits_for
from orchidlane.platform.response_outcomes import PlatformEndpointAdapter
from orchidlane.platform.shutdown import ShutdownTimes, graceful_shutdown
from orchidlane.policy.gateway import Gateway
from orchidlane.runtime import (
    BACKGROUND,
    CONTROL,
    PEERS,
    Address,
    DeadlineExceededError,
    EventLoop,
    Task,
    TaskGroup,
)

BIND_TIMEOUT_US = 8_000_000  # for an address that an earlier process still holds; the platform allows 10 s
FIRST_RESPONSE_TIMEOUT_US = 100_000  # clients wait for discovery at most so long at the start
RETRY_DELAY_US = 100_000
REPORT_INTERVAL_US = 10_000_000
MAX_WATCHES = 2  # the previous one goes on until the new one has a response
MAX_DATAGRAM_BYTES = 256


class _StoppedError(Exception):
    """The gateway was stopped before it had started."""


class PlatformGateway:
    """One gateway from its start to its end; ``stop`` and ``reload`` are called for signals."""

    def __init__(self, loop: EventLoop, configuration: Configuration, path: str) -> None:
        self.loop = loop
        self.configuration = configuration
        self.settings = configuration.policy_settings
        self.path = path
        self.log = RateLimitedLog(loop.now, configuration.name)
        self.tracker = DiscoveryTracker(configuration.platform_settings.zones)
        self.metrics = GatewayCounters()
        self.ranks = {peer: rank for rank, peer in enumerate(configuration.peers)}
        self.stopping = False
        self.scope: TaskGroup
        self.policy_driver: PolicyDriver
        self.http_server: HttpServer
        self.clients: PlatformClientAdapter
        self._datagrams: Any = None
        self._watch_tasks: list[Task] = []  # the newest last
        self._discovery_address: Address = configuration.discovery
        self._main: Task | None = None
        self._ready_without_discovery_at = loop.now() + self.settings.drain_grace_us
        self._discovery_responded = False
        self._shutdown = ShutdownTimes(0, 0, 0)  # once it has begun

    def run(self) -> None:
        """Run the main task, from the start to the end. Raises OSError where an address can't be bound."""
        with TaskGroup(self.loop) as scope:
            self.scope = scope
            self._main = self.loop.current
            self._build(scope)
            with suppress(_StoppedError):
                self._start()
                while not self.stopping:
                    self.loop.park()
                self._shut_down()
            scope.cancel()
        self.log.write("ended")

    # -- start

    def _build(self, scope: TaskGroup) -> None:
        limits = limits_for(self.configuration)
        permissions = self.configuration.platform_settings.permissions
        parser = RequestParser(self.settings, self.configuration.platform_settings)
        self.clients = PlatformClientAdapter(
            parser,
            int(permissions.max_requests_in_flight) or limits.resource_limits.max_connections,
            permissions.may_send_retry_after,
            self._is_ready,
        )
        gateway = Gateway(self.settings, self.configuration.seed, self.loop.now())
        endpoints = PlatformEndpointAdapter(self.tracker, self.settings.load_report_names)
        attempts = AttemptStarter(self.loop, limits, scope, endpoints)
        self.policy_driver = PolicyDriver(
            self.loop,
            self.settings,
            gateway,
            self.metrics,
            self.clients,
            attempts.start_attempt,
            self._send_to_peer,
        )
        attempts.policy_driver = self.policy_driver
        self.pool = attempts.pool
        self.http_server = HttpServer(self.loop, limits, self.policy_driver, self.clients, scope)
        self.policy_driver.on_failure = self.log.write_failure
        self.http_server.on_failure = self.log.write_failure

    def _is_ready(self) -> bool:
        """Return what the readiness check reports."""
        if self.stopping:
            return False
        return self._discovery_responded or self.loop.now() >= self._ready_without_discovery_at

    def _start(self) -> None:
        """Apply the last known list, then start everything else, clients last."""
        if self.configuration.last_known_list is not None:
            self._apply_last_known_list(self.configuration.last_known_list)
        if self.configuration.peer_listen is not None:
            self._datagrams = self._bind(self.loop.backend.bind_datagrams, self.configuration.peer_listen)
            self._spawn(self._receive_from_peers, priority=PEERS, name="peers")
        self.policy_driver.start()
        self._watch(self._discovery_address)
        self._await_discovery()
        self.http_server.listen(self._bind(self.loop.backend.listen, self.configuration.listen))
        self._spawn(self._report, priority=BACKGROUND, name="report")
        self.log.write(f"serves, {len(self.tracker.endpoints)} endpoints known")
        self._check_peer_count()

    def _apply_last_known_list(self, event: DiscoveryEvent) -> None:
        try:
            listed = self.tracker.apply(event, policy.EndpointListKind.CACHED)
        except WatchEventError as error:
            self.log.write(f"the last known list is not valid: {error}")
            return
        self.tracker.generation = -1  # it may be old: discovery's first list counts, whatever its generation
        if listed is not None:
            self.policy_driver.feed(listed)

    def _await_discovery(self) -> None:
        """Wait a moment for discovery, which responds at once, so that the first check finds us ready."""
        deadline = self.loop.now() + FIRST_RESPONSE_TIMEOUT_US
        with suppress(DeadlineExceededError):
            while not (self._discovery_responded or self.stopping):
                self.loop.park(deadline)

    def _bind(self, bind: Callable[[Address], Any], address: Address) -> Any:
        """Bind an address, which an earlier process may still hold.

        Raises OSError after ``BIND_TIMEOUT_US``, and _StoppedError.
        """
        deadline = self.loop.now() + BIND_TIMEOUT_US
        while True:
            if self.stopping:
                raise _StoppedError
            try:
                return bind(address)
            except OSError:
                if self.loop.now() >= deadline:
                    raise
            self.loop.sleep(RETRY_DELAY_US)

    def _check_peer_count(self) -> None:
        peers = len(self.configuration.peers)
        count = self.settings.replica_count
        if self.settings.may_gossip and peers != count:
            self.log.write(
                f"peers: {peers} addresses for {count} gateways, those without one are not notified"
            )

    # -- tasks whose failures do not end the others

    def _spawn(self, work: Callable[..., None], *args: Any, priority: int, name: str) -> Task:
        return self.scope.spawn(self._run_guarded, name, work, args, priority=priority, name=name)

    def _run_guarded(self, name: str, work: Callable[..., None], args: tuple[Any, ...]) -> None:
        while True:
            try:
                return work(*args)
            except Exception as error:
                self.log.write_failure(name, error)
            self.loop.sleep(RETRY_DELAY_US)

    def _report(self) -> None:
        while True:
            self.loop.sleep(REPORT_INTERVAL_US)
            self._write_report()

    def _write_report(self) -> None:
        """Write what was served so far to the log."""
        responses = _format_counts(self.clients.response_counts)
        attempts = _format_counts(self.metrics.outcomes)
        connections = (
            f"{len(self.http_server.connections)} of clients, {self.pool.open_connections} of endpoints"
        )
        self.log.write(f"responses: {responses}; attempts: {attempts}; connections: {connections}")

    # -- discovery

    def _watch(self, address: Address) -> None:
        """Watch discovery at an address; earlier watches end once there is a response from it."""

        def end_earlier_watches() -> None:
            while task in self._watch_tasks and self._watch_tasks[0] is not task:
                self.loop.cancel(self._watch_tasks.pop(0))

        interval_us = retry_interval_us(self.settings.drain_grace_us)
        watch = DiscoveryWatch(self.loop, self.tracker, self._list_received, self.log.write, interval_us)
        task = self._spawn(watch.run, address, end_earlier_watches, priority=CONTROL, name="list")
        self._watch_tasks.append(task)
        while len(self._watch_tasks) > MAX_WATCHES:
            self.loop.cancel(self._watch_tasks.pop(0))
        self._discovery_address = address

    def _list_received(self, listed: policy.EndpointListReceived) -> None:
        if not self._discovery_responded:
            self._discovery_responded = True
            if self._main is not None:
                self.loop.wake(self._main)
        self.policy_driver.feed(listed)
        for entry in listed.entries:
            if entry.state is policy.EndpointState.GONE:
                self.pool.retire_idle(entry.endpoint)

    # -- peers

    def _send_to_peer(self, rank: int, body: bytes) -> None:
        is_known = 0 <= rank < len(self.configuration.peers)
        if self._datagrams is not None and is_known and len(body) <= MAX_DATAGRAM_BYTES:
            self._datagrams.send(body, self.configuration.peers[rank])

    def _receive_from_peers(self) -> None:
        """Pass datagrams to the policy; those from addresses that are no peer's are dropped."""
        while True:
            body, sender = self._datagrams.recv()
            rank = self.ranks.get(sender)
            if rank is not None and rank != self.settings.replica and len(body) <= MAX_DATAGRAM_BYTES:
                self.policy_driver.feed(policy.PeerMessageReceived(rank, body))

    # -- signals

    def stop(self) -> None:
        """Begin the shutdown; later calls change nothing."""
        if self.stopping:
            return
        self.stopping = True
        longest_us = max((cls.deadline_us for cls in self.settings.classes), default=0)
        self._shutdown = graceful_shutdown(self.loop.now(), longest_us)
        if self._main is not None:
            self.loop.wake(self._main)

    def reload(self) -> None:
        """Read the file again and follow its discovery address; one that is not valid changes nothing."""
        try:
            self._reload()
        except Exception as error:
            self.log.write_failure("reload", error)

    def _reload(self) -> None:
        try:
            configuration = self._read_configuration()
        except (ConfigurationError, OSError) as error:
            self.log.write(f"not reloaded: {error}")
            return
        if not self._watch_tasks:  # still starting: the first watch takes the latest address
            self._discovery_address = configuration.discovery
        elif configuration.discovery != self._discovery_address:
            self._watch(configuration.discovery)
        self.log.write("reloaded")

    def _read_configuration(self) -> Configuration:
        text = self.loop.backend.read_file(self.path)
        if text is None:
            raise ConfigurationError(f"{self.path}: no such file")
        return parse_configuration(text, self.path)

    def _shut_down(self) -> None:
        self.log.write("ends")
        times = self._shutdown
        self.http_server.shutdown_deadline = times.stop_waiting
        self.loop.sleep(times.stop_accepting - self.loop.now())
        self.http_server.drain()
        if not self.http_server.wait_until_closed(times.stop_waiting):
            for request in list(self.policy_driver.requests.values()):
                self.policy_driver.fail_overdue(request)
            self.http_server.wait_until_closed(times.end)
        self._write_report()


def _format_counts(counts: Counter[str]) -> str:
    return ", ".join(f"{kind} {count}" for kind, count in sorted(counts.items()))
