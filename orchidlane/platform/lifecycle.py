"""The lifecycle of one gateway on the platform: startup, reload at SIGHUP and shutdown at SIGTERM.

For a while after SIGTERM, clients still connect and send requests on open connections, and every such request
must get a response. So at first only the readiness check changes. Then the gateway accepts no more
connections, closes idle ones, and closes each other connection with its response. It exits once every request
has its response; ``shutdown.py`` has the times.

By the platform's rules a gateway counts as notified of discovery's list from the moment it starts, but the
list that it starts with may be old: endpoints in it may be draining. So nothing is forwarded before discovery
has responded, and the gateway is ready then. If discovery doesn't respond, the gateway is ready after
``READINESS_TIMEOUT_US`` nevertheless, as the platform demands, and rejects requests until it does.
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

BIND_TIMEOUT_US = 8_000_000  # for an address that another process still uses; the platform allows 10 s
FIRST_RESPONSE_TIMEOUT_US = 100_000  # the longest that clients wait at startup for discovery's response
READINESS_TIMEOUT_US = 9_000_000  # without discovery; the platform allows 10 s from the start of the process
RETRY_DELAY_US = 100_000
REPORT_INTERVAL_US = 10_000_000
MAX_WATCHES = 2  # the watch of the previous address continues until the new one has a response
MAX_DATAGRAM_BYTES = 256


class _StoppedError(Exception):
    """The gateway was stopped during startup."""


class PlatformGateway:
    """One gateway: ``run`` is its main task, ``stop`` and ``reload`` are called by signal handlers."""

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
        self.task_group: TaskGroup
        self.policy_driver: PolicyDriver
        self.http_server: HttpServer
        self.clients: PlatformClientAdapter
        self._peer_socket: Any = None
        self._watch_tasks: list[Task] = []  # the newest last
        self._discovery_address: Address = configuration.discovery
        self._main_task: Task | None = None
        self._ready_without_discovery_at = loop.now() + READINESS_TIMEOUT_US
        self._discovery_responded = False
        self._shutdown_times = ShutdownTimes(0, 0, 0)  # set by ``stop``

    def run(self) -> None:
        """Start, serve until ``stop`` is called, shut down. Raises OSError if an address can't be bound."""
        with TaskGroup(self.loop) as task_group:
            self.task_group = task_group
            self._main_task = self.loop.current
            self._build(task_group)
            with suppress(_StoppedError):
                self._start()
                while not self.stopping:
                    self.loop.park()
                self._shut_down()
            task_group.cancel()
        self.log.write("stopped")

    # -- startup

    def _build(self, task_group: TaskGroup) -> None:
        """Create the parts of the gateway and connect them."""
        limits = limits_for(self.configuration)
        permissions = self.configuration.platform_settings.permissions
        parser = RequestParser(self.settings, self.configuration.platform_settings)
        self.clients = PlatformClientAdapter(
            parser,
            int(permissions.max_requests_in_flight) or limits.resource_limits.max_connections,
            permissions.may_send_retry_after,
            self._is_ready,
            lambda: self._discovery_responded,
        )
        gateway = Gateway(self.settings, self.configuration.seed, self.loop.now())
        endpoints = PlatformEndpointAdapter(self.tracker, self.settings.load_report_names)
        attempts = AttemptStarter(self.loop, limits, task_group, endpoints)
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
        self.http_server = HttpServer(self.loop, limits, self.policy_driver, self.clients, task_group)
        self.policy_driver.on_failure = self.log.write_failure
        self.http_server.on_failure = self.log.write_failure

    def _is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        if self.stopping:
            return False
        return self._discovery_responded or self.loop.now() >= self._ready_without_discovery_at

    def _start(self) -> None:
        """Apply the last known list, start the tasks and accept clients.

        Raises OSError if an address can't be bound, and _StoppedError.
        """
        if self.configuration.last_known_list is not None:
            self._apply_last_known_list(self.configuration.last_known_list)
        if self.configuration.peer_listen is not None:
            self._peer_socket = self._bind(self.loop.backend.bind_datagrams, self.configuration.peer_listen)
            self._spawn(self._receive_from_peers, priority=PEERS, name="peers")
        self.policy_driver.start()
        self._watch(self._discovery_address)
        self._await_discovery()
        self.http_server.listen(self._bind(self.loop.backend.listen, self.configuration.listen))
        self._spawn(self._report, priority=BACKGROUND, name="report")
        self.log.write(f"serving, {len(self.tracker.endpoints)} endpoints in the list")
        self._check_peer_count()

    def _apply_last_known_list(self, event: DiscoveryEvent) -> None:
        try:
            list_event = self.tracker.apply(event, policy.EndpointListKind.CACHED)
        except WatchEventError as error:
            self.log.write(f"the last known list is ignored, it is not valid: {error}")
            return
        # The last known list may be old: discovery's first list replaces it whatever its generation
        self.tracker.generation = -1
        if list_event is not None:
            self.policy_driver.feed(list_event)

    def _await_discovery(self) -> None:
        """Wait briefly for discovery's response, so that the first readiness check succeeds.

        Discovery normally responds at once; after ``FIRST_RESPONSE_TIMEOUT_US`` clients are accepted anyway.
        """
        deadline = self.loop.now() + FIRST_RESPONSE_TIMEOUT_US
        with suppress(DeadlineExceededError):
            while not (self._discovery_responded or self.stopping):
                self.loop.park(deadline)

    def _bind(self, bind: Callable[[Address], Any], address: Address) -> Any:
        """Bind an address, with retries because another process may still use it.

        Raises OSError after ``BIND_TIMEOUT_US``, and _StoppedError if the gateway is stopped.
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
                f"peers: {peers} addresses for {count} gateways, no messages to those without an address"
            )

    # -- tasks that are started again after an exception

    def _spawn(self, work: Callable[..., None], *args: Any, priority: int, name: str) -> Task:
        return self.task_group.spawn(self._run_guarded, name, work, args, priority=priority, name=name)

    def _run_guarded(self, name: str, work: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Run ``work`` until it returns; after an exception log it and run ``work`` again."""
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
        """Log the counts of responses and attempts since startup, and of open connections."""
        responses = _format_counts(self.clients.response_counts)
        attempts = _format_counts(self.metrics.outcomes)
        connections = (
            f"{len(self.http_server.connections)} from clients, {self.pool.open_connections} to endpoints"
        )
        self.log.write(f"responses: {responses}; attempts: {attempts}; connections: {connections}")

    # -- discovery

    def _watch(self, address: Address) -> None:
        """Watch discovery at an address; cancel earlier watches once that address has responded."""

        def cancel_earlier_watches() -> None:
            while task in self._watch_tasks and self._watch_tasks[0] is not task:
                self.loop.cancel(self._watch_tasks.pop(0))

        interval_us = retry_interval_us(self.settings.drain_grace_us)
        watch = DiscoveryWatch(
            self.loop, self.tracker, self._endpoint_list_received, self.log.write, interval_us
        )
        task = self._spawn(
            watch.run, address, cancel_earlier_watches, priority=CONTROL, name="discovery watch"
        )
        self._watch_tasks.append(task)
        while len(self._watch_tasks) > MAX_WATCHES:
            self.loop.cancel(self._watch_tasks.pop(0))
        self._discovery_address = address

    def _endpoint_list_received(self, list_event: policy.EndpointListReceived) -> None:
        """Pass a list event to the policy, and close idle connections to endpoints that are gone."""
        if not self._discovery_responded:
            self._discovery_responded = True
            if self._main_task is not None:
                self.loop.wake(self._main_task)
        self.policy_driver.feed(list_event)
        for entry in list_event.entries:
            if entry.state is policy.EndpointState.GONE:
                self.pool.retire_idle(entry.endpoint)

    # -- peers

    def _send_to_peer(self, rank: int, body: bytes) -> None:
        has_address = 0 <= rank < len(self.configuration.peers)
        if self._peer_socket is not None and has_address and len(body) <= MAX_DATAGRAM_BYTES:
            self._peer_socket.send(body, self.configuration.peers[rank])

    def _receive_from_peers(self) -> None:
        """Pass datagrams to the policy; drop those from other addresses than the peers'."""
        while True:
            body, sender = self._peer_socket.recv()
            rank = self.ranks.get(sender)
            if rank is not None and rank != self.settings.replica and len(body) <= MAX_DATAGRAM_BYTES:
                self.policy_driver.feed(policy.PeerMessageReceived(rank, body))

    # -- signals

    def stop(self) -> None:
        """Start the shutdown; later calls change nothing."""
        if self.stopping:
            return
        self.stopping = True
        longest_deadline_us = max((cls.deadline_us for cls in self.settings.classes), default=0)
        self._shutdown_times = graceful_shutdown(self.loop.now(), longest_deadline_us)
        if self._main_task is not None:
            self.loop.wake(self._main_task)

    def reload(self) -> None:
        """Read the configuration file again and watch the discovery address that it names.

        A file that is not valid is logged and changes nothing; other settings need a restart.
        """
        try:
            self._reload()
        except Exception as error:
            self.log.write_failure("reload", error)

    def _reload(self) -> None:
        try:
            configuration = self._read_configuration()
        except (ConfigurationError, OSError) as error:
            self.log.write(f"reload failed, configuration unchanged: {error}")
            return
        if not self._watch_tasks:  # during startup: the first watch will use the new address
            self._discovery_address = configuration.discovery
        elif configuration.discovery != self._discovery_address:
            self._watch(configuration.discovery)
        self.log.write("configuration reloaded")

    def _read_configuration(self) -> Configuration:
        text = self.loop.backend.read_file(self.path)
        if text is None:
            raise ConfigurationError(f"{self.path}: the configuration file does not exist")
        return parse_configuration(text, self.path)

    def _shut_down(self) -> None:
        """Shut down gracefully; requests that are still pending when time is over fail."""
        self.log.write("shutting down")
        times = self._shutdown_times
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
