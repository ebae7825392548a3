"""The interface of the gateway process that both sides of a hot restart use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.endpoint_list import EndpointListTracker
from orchidlane.gateway.control.settings import FleetSettings, GatewayEntry
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.lifecycle.sockets import GatewaySockets
from orchidlane.gateway.lifecycle.successor_units import NewProcessUnits
from orchidlane.gateway.peers.datagrams import Inbox
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.server.http_server import ClientConnection, HttpServer
from orchidlane.gateway.server.resp_server import RespServer, Session
from orchidlane.gateway.telemetry.metrics import MetricsPage
from orchidlane.hot_restart.probation import ResponseCounts
from orchidlane.runtime import EventLoop, TaskGroup


class ServedGateway(Protocol):
    """One gateway process, with all its parts."""

    loop: EventLoop
    fleet: FleetSettings
    entry: GatewayEntry
    rank: int
    log: Any
    metrics: MetricsPage
    configuration: ConfigurationSnapshot
    policy_driver: PolicyDriver
    http_server: HttpServer
    resp_server: RespServer
    limit_service: LimitService
    tracker: EndpointListTracker
    inbox: Inbox
    sockets: GatewaySockets
    incarnation: int
    sequence: int
    stopping: bool
    superseded: bool

    def load_configuration(self, number: int) -> None:
        """Read the description and customers files as the configuration generation of this number."""

    def build_parts(self, scope: TaskGroup) -> None:
        """Create all parts of the process; they stay inactive until ``start_serving``."""

    def start_serving(self, scope: TaskGroup) -> None:
        """Accept requests."""

    def delegate_units(self, units: NewProcessUnits) -> None:
        """Let the new process grant units from now on."""

    def stop_accepting(
        self, hand_over_http: Callable[[ClientConnection], None], hand_over_resp: Callable[[Session], None]
    ) -> None:
        """Stop accepting on all sockets, and hand each client over between two requests."""

    def resume_serving(self) -> None:
        """Serve again after another process served in place of this one."""

    def accept_hot_restarts(self) -> None:
        """Listen for the next hot restart."""

    def send_limits_datagram(self, rank: int, body: bytes) -> None:
        """Send a token request or reply to a peer."""


def count_responses(metrics: MetricsPage) -> ResponseCounts:
    """Return the number of responses sent so far, by result."""
    counts = {"served": 0, "refused": 0, "failed": 0}  # the values of the metric's label ``kind``
    for (kind, _), count in metrics.responses.items():
        counts[kind] += count
    return ResponseCounts(counts["served"], counts["refused"], counts["failed"])


def describe_moment(gateway: ServedGateway) -> dict[str, Any]:
    """Return the time, incarnation and generations of a gateway, under their stored names."""
    tracker = gateway.tracker
    return {
        "now": gateway.loop.now(),
        "incarnation": gateway.incarnation,
        "sequence": gateway.sequence,
        "generation": gateway.configuration.generation.number,
        "list": [tracker.epoch, tracker.version, len(tracker.endpoints)],
        "open": len(gateway.policy_driver.requests),
        "draining": gateway.stopping,
        "client_margin": int(gateway.fleet.timeouts.response_margin_us),
    }
