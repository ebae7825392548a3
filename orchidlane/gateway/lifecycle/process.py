"""The gateway process: starts, serves, takes part in hot restarts, drains and exits.

``gateway_parts`` builds the parts of the process, ``configuration_loader`` reads and reloads its
configuration, and ``peer_datagrams`` exchanges datagrams with the other gateways.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import structlog

from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.endpoint_list import EndpointListTracker
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.lifecycle import gateway_parts
from orchidlane.gateway.lifecycle.account_store import AccountStore
from orchidlane.gateway.lifecycle.configuration_loader import ConfigurationLoader
from orchidlane.gateway.lifecycle.new_side import NewSide
from orchidlane.gateway.lifecycle.old_side import OldSide
from orchidlane.gateway.lifecycle.peer_datagrams import PeerDatagrams
from orchidlane.gateway.lifecycle.served_gateway import describe_moment
from orchidlane.gateway.lifecycle.sockets import PEER, GatewaySockets
from orchidlane.gateway.lifecycle.successor_units import NewProcessUnits
from orchidlane.gateway.peers.datagrams import DatagramKind, Inbox
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.gateway.server.http_server import ClientConnection, HttpServer
from orchidlane.gateway.server.resp_server import Session
from orchidlane.gateway.telemetry.metrics import MetricsPage
from orchidlane.gateway.telemetry.policy_source import PolicyNames
from orchidlane.gateway.telemetry.traffic_recorder import TrafficRecorder
from orchidlane.hot_restart import new_process, old_process
from orchidlane.runtime import BACKGROUND, CONTROL, PEERS, EventLoop, Task, TaskGroup

DRAIN_POLL_INTERVAL_US = 10_000
STOP_POLL_INTERVAL_US = 50_000


class GatewayProcess:
    """One gateway. ``run`` is its main task; ``stop`` and ``reload`` may be called from tasks of signals.

    ``sockets`` holds the listeners and the datagram socket for peers, by name; a hot restart hands them over.
    With ``is_hot_restart`` they come from the process that serves now. After ``run``, ``failure`` says why
    the hot restart failed, or is empty.
    """

    def __init__(
        self,
        loop: EventLoop,
        fleet: FleetSettings,
        rank: int,
        secret: bytes,
        configuration: ConfigurationSnapshot | None = None,
        record_to: str | None = None,
        is_hot_restart: bool = False,
    ) -> None:
        self.loop = loop
        self.fleet = fleet
        self.rank = rank
        self.entry = fleet.gateways[rank]
        self.secret = secret
        self.record_to = record_to
        self.is_hot_restart = is_hot_restart
        self.log = structlog.get_logger().bind(gateway=self.entry.name)
        self.sources: tuple[bytes, bytes] | None = None  # contents of the description and customers files
        self.rollout_agent = RolloutAgent(self) if fleet.rollout.voting_members else None
        self._configuration_loader = ConfigurationLoader(self)
        self._is_configuration_given = configuration is not None
        self.configuration = configuration or self._configuration_loader.load(1)
        self.metrics = MetricsPage()
        self.stopping = False
        self.ready = False
        self.superseded = False  # another process serves in place of this one
        self.failure = ""
        self.when_ready: Callable[[], None] = lambda: None  # called once, when this process starts serving
        self.incarnation = loop.now()
        self.sequence = 0  # of the last datagram sent
        self.sockets = GatewaySockets(loop, fleet, self.entry)
        self.peer_datagrams = PeerDatagrams(self)
        self.policy_driver: PolicyDriver
        self.http_server: HttpServer
        self.inbox: Inbox
        self.account_store: AccountStore | None = None
        self.tracker = EndpointListTracker(self.entry.zone, fleet.resource_limits.max_endpoints)
        self._receive_task: Task

    def run(self) -> None:
        """Serve from the start, or from the handover of a hot restart, until the drain is complete."""
        with TaskGroup(self.loop) as scope:
            self.old_side = OldSide(self, scope)
            if self.is_hot_restart:
                self.new_side = NewSide(self, scope)
                if not self.new_side.await_serving():
                    self.failure = self.new_side.failure
                    scope.cancel()
                    return
            else:
                self._start(scope)
            self._run_until_drained()
            self._finish()
            scope.cancel()
        self.sockets.close()
        if self.is_hot_restart:
            self.failure = self.new_side.failure
        self.log.info("stopped", reason=self.failure)

    def _start(self, scope: TaskGroup) -> None:
        for name in ("http", PEER):
            self.sockets.bind(name)
        self.build_parts(scope)
        self.start_serving(scope)
        self.accept_hot_restarts()

    def _run_until_drained(self) -> None:
        """Wait for ``stop``, then until all requests are answered or the drain times out."""
        while not self.stopping:
            self.loop.sleep(STOP_POLL_INTERVAL_US)
        self.http_server.drain()
        if "resp" in self.sockets:
            self.resp_server.drain()
        deadline = self.loop.now() + self.fleet.timeouts.drain_us
        while (self.http_server.connections or self.resp_server.connections) and self.loop.now() < deadline:
            self.loop.sleep(DRAIN_POLL_INTERVAL_US)
        self.http_server.lingering.wait(deadline)
        self.resp_server.lingering.wait(deadline)

    def _finish(self) -> None:
        self.old_side.finish()
        if self.policy_driver.recorder is not None:
            self.policy_driver.recorder.finish()
        if self.account_store is not None and not self.superseded:
            self.account_store.save_final()

    def stop(self) -> None:
        """Start to drain.

        During the probation of a hot restart, the old process first releases the new one, and the new process
        first returns its clients to the old one.
        """
        self.old_side.feed(old_process.StopRequested())
        if self.is_hot_restart and self.new_side.machine.phase is new_process.Phase.PROBATION:
            self.new_side.feed(new_process.StopRequested())
        else:
            self.stopping = True

    # -- configuration

    def load_configuration(self, number: int) -> None:
        """Read the configuration in a separate thread, unless it was passed to the constructor.

        Raises DescriptionError, CustomersError, OSError.
        """
        if not self._is_configuration_given:
            self.configuration = self._configuration_loader.load_in_thread(number)

    def reload(self) -> None:
        """Read the description and customers files again; an invalid configuration changes nothing."""
        self._configuration_loader.reload()

    # -- parts

    def build_parts(self, scope: TaskGroup) -> None:
        """Create all parts of the process; they stay inactive until ``start_serving``."""
        self.scope = scope
        settings = policy_settings(self.fleet, self.rank, self.configuration.generation)
        self.inbox = gateway_parts.build_inbox(self)
        self.policy_driver, self.http_server = gateway_parts.build_forwarding(self, settings, scope)
        self.metrics.gauges = gateway_parts.build_gauges(self)
        self.limit_service = LimitService(
            self.loop, self.fleet, self.rank, self.policy_driver, self.send_limits_datagram
        )
        self.resp_server = gateway_parts.build_resp_server(self, scope)
        self.admin = gateway_parts.build_admin_api(self)
        self.watch = gateway_parts.build_endpoint_watch(self)

    def unready_reason(self) -> str:
        """Return why requests must not be served yet; empty if they may be."""
        return self.rollout_agent.rejection_reason() if self.rollout_agent is not None else ""

    # -- serving

    def start_serving(self, scope: TaskGroup) -> None:
        """Accept requests, and bind the sockets that are neither bound nor inherited yet."""
        if not self.is_hot_restart:
            self.watch.load_cache()
        self._start_account_store(scope)
        for name in ("http", PEER, "resp", "admin"):
            self.sockets.bind(name)
        self.policy_driver.start()
        if self.record_to:
            self._start_recorder(scope, self.record_to)
        if self.rollout_agent is not None:
            self.rollout_agent.start(scope)
        scope.spawn(self.watch.run, priority=CONTROL, name="endpoint list")
        scope.spawn(self.watch.run_cache_writer, priority=BACKGROUND, name="endpoint list cache")
        self._receive_from_peers_and_admin()
        self.http_server.listen(self.sockets["http"])
        if "resp" in self.sockets:
            self.resp_server.listen(self.sockets["resp"])
        self.ready = True
        if self.rollout_agent is None:
            self.when_ready()
        self.log.info("started", listen=self.entry.listen, rank=self.rank, pid=os.getpid())

    def _start_account_store(self, scope: TaskGroup) -> None:
        """Restore the saved accounts and save them periodically; a hot restart has received them already."""
        if not self.fleet.state_directory or not self.fleet.account_store.write_interval_us:
            return
        self.account_store = AccountStore(self, f"{self.fleet.state_directory}/{self.entry.name}.accounts")
        if not self.is_hot_restart:
            self.log.info("accounts restored", accounts=self.account_store.load())
            self.account_store.save_before_serving()
        scope.spawn(self.account_store.save_periodically, priority=BACKGROUND, name="account store")

    def _start_recorder(self, scope: TaskGroup, folder: str) -> None:
        names = self.state_names()
        name, describe = self.entry.name, self.describe_state
        recorder = TrafficRecorder(self.loop, folder, name, self.policy_driver, names, self.log, describe)
        self.policy_driver.recorder = recorder
        scope.spawn(recorder.run, priority=BACKGROUND, name="recorder")

    def _receive_from_peers_and_admin(self) -> None:
        """Receive datagrams from peers and requests to the admin API."""
        self._receive_task = self.scope.spawn(self.peer_datagrams.receive_all, priority=PEERS, name="peers")
        if "admin" in self.sockets:
            self.admin.listen(self.sockets["admin"], self.scope)

    def state_names(self) -> PolicyNames:
        """Return the names of the request classes and plans, which a stored state holds as numbers."""
        return PolicyNames(self.configuration.generation.class_names, tuple(self.fleet.plans))

    def describe_state(self) -> dict[str, Any]:
        """Return the time, incarnation and generations of a stored state."""
        description = describe_moment(self)
        if self.rollout_agent is not None:
            description["version"] = self.rollout_agent.agent_state.running_label
        return description

    # -- hot restart

    def accept_hot_restarts(self) -> None:
        """Listen for the next hot restart."""
        self.old_side.listen()

    def delegate_units(self, units: NewProcessUnits) -> None:
        """Let the new process grant units from now on; requests in progress here request theirs from it."""
        self.superseded = True
        self.policy_driver.remote_quota = units
        self.limit_service.new_process_grants = units
        for exchange in self.policy_driver.requests.values():
            exchange.was_unsent_at_hand_over = not exchange.attempts

    def stop_accepting(
        self, hand_over_http: Callable[[ClientConnection], None], hand_over_resp: Callable[[Session], None]
    ) -> None:
        """Stop accepting on all sockets; each client is handed over between two requests."""
        self.loop.cancel(self._receive_task)
        if self.rollout_agent is not None:
            self.rollout_agent.stop()
        self.admin.stop_accepting()
        self.http_server.stop_accepting(hand_over_http)
        if "resp" in self.sockets:
            self.resp_server.stop_accepting(hand_over_resp)

    def resume_serving(self) -> None:
        """Serve again after another process served in place of this one."""
        self.superseded = False
        self.policy_driver.remote_quota = None
        self.limit_service.reclaim()
        self._receive_from_peers_and_admin()
        if self.rollout_agent is not None:
            self.rollout_agent.start(self.scope)
        self.http_server.resume()
        if "resp" in self.sockets:
            self.resp_server.resume()

    # -- peers

    def send_limits_datagram(self, rank: int, body: bytes) -> None:
        """Send a token request or reply through the process that serves this gateway's datagram socket."""
        if self.old_side.new_process_units is not None and self.superseded:
            self.old_side.new_process_units.send_datagram(rank, body)
        elif rank == self.rank:
            self.new_side.send_own_reply(body)  # replies to the old process's token request
        else:
            self.peer_datagrams.send(rank, body, DatagramKind.LIMITS)

    def send_rollout_datagram(self, rank: int, body: bytes) -> None:
        """Send a datagram of a rollout."""
        self.peer_datagrams.send(rank, body, DatagramKind.ROLLOUT)
