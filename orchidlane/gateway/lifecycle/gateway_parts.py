"""Builds the parts of a gateway process; they stay inactive until the process starts serving."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol

from orchidlane import policy
from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.endpoint_list import EndpointListTracker
from orchidlane.gateway.control.endpoint_watch import EndpointWatch
from orchidlane.gateway.control.settings import FleetSettings, GatewayEntry
from orchidlane.gateway.forwarding.attempt import AttemptStarter
from orchidlane.gateway.forwarding.openapi_clients import OpenApiClientAdapter
from orchidlane.gateway.forwarding.openapi_endpoints import OpenApiEndpointAdapter
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.lifecycle.peer_datagrams import PeerDatagrams
from orchidlane.gateway.peers.datagrams import Inbox
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.gateway.rollout_agent.admin_api import RolloutAdminApi
from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.gateway.server.http_server import HttpServer
from orchidlane.gateway.server.resp_server import RespServer
from orchidlane.gateway.telemetry.admin_api import AdminApi, AdminSources
from orchidlane.gateway.telemetry.counters import Gauge
from orchidlane.gateway.telemetry.metrics import MetricsPage
from orchidlane.gateway.telemetry.policy_source import PolicyNames
from orchidlane.policy.gateway import Gateway
from orchidlane.recording import track_accounts
from orchidlane.runtime import EventLoop, TaskGroup

MICROSECONDS_PER_SECOND = 1e6


class Forwarding(NamedTuple):
    """The path of a request: from clients through the policy to endpoints."""

    policy_driver: PolicyDriver
    http_server: HttpServer


class BuiltGateway(Protocol):
    """Attributes of the gateway process that its parts use."""

    loop: EventLoop
    fleet: FleetSettings
    entry: GatewayEntry
    rank: int
    secret: bytes
    incarnation: int
    ready: bool
    stopping: bool
    metrics: MetricsPage
    tracker: EndpointListTracker
    configuration: ConfigurationSnapshot
    rollout_agent: RolloutAgent | None
    peer_datagrams: PeerDatagrams
    policy_driver: PolicyDriver
    http_server: HttpServer
    limit_service: LimitService

    def state_names(self) -> PolicyNames:
        """Return the names of the request classes and plans, which a stored state holds as numbers."""

    def describe_state(self) -> dict[str, Any]:
        """Return the time, incarnation and generations of a stored state."""

    def unready_reason(self) -> str:
        """Return why requests must not be served yet; empty if they may be."""


def build_inbox(gateway: BuiltGateway) -> Inbox:
    """Return the filter for received datagrams, with a rate limit for each kind."""
    fleet = gateway.fleet
    rate_limits = [fleet.peers.messages_per_second, fleet.quotas.messages_per_second]
    if gateway.rollout_agent is not None:
        rate_limits.append(fleet.rollout.messages_per_second)
    return Inbox(gateway.secret, gateway.rank, len(fleet.gateways), gateway.loop.now(), *rate_limits)


def build_forwarding(gateway: BuiltGateway, settings: policy.Settings, scope: TaskGroup) -> Forwarding:
    """Return the policy driver with its policy, and the HTTP server that feeds requests to it."""
    loop, fleet = gateway.loop, gateway.fleet
    endpoints = OpenApiEndpointAdapter(fleet, gateway.entry.name, gateway.incarnation, gateway.tracker)
    clients = _build_clients(gateway)
    policy_gateway = Gateway(settings, loop.backend.random.getrandbits(64), loop.now())
    track_accounts(policy_gateway)
    attempts = AttemptStarter(loop, fleet, scope, endpoints)
    policy_driver = PolicyDriver(
        loop,
        settings,
        policy_gateway,
        gateway.metrics,
        clients,
        attempts.start_attempt,
        gateway.peer_datagrams.send,
    )
    attempts.policy_driver = policy_driver
    return Forwarding(policy_driver, HttpServer(loop, fleet, policy_driver, clients, scope))


def _build_clients(gateway: BuiltGateway) -> OpenApiClientAdapter:
    agent = gateway.rollout_agent
    return OpenApiClientAdapter(
        gateway.fleet,
        lambda: gateway.configuration,
        lambda: gateway.policy_driver,
        gateway.metrics,
        gateway.unready_reason,
        agent.record_response if agent is not None else None,
    )


def build_resp_server(gateway: BuiltGateway, scope: TaskGroup) -> RespServer:
    """Return the server for quota commands over RESP."""
    return RespServer(
        gateway.loop,
        gateway.fleet,
        gateway.limit_service,
        lambda: gateway.configuration,
        scope,
        gateway.unready_reason,
    )


def build_gauges(gateway: BuiltGateway) -> dict[str, Gauge]:
    """Return the gauges of the metrics page, by metric name."""
    return {
        "connections": Gauge("Clients' connections", lambda: len(gateway.http_server.connections)),
        "open_requests": Gauge("Requests under way", lambda: len(gateway.policy_driver.requests)),
        "nodes": Gauge("Nodes on the list", lambda: len(gateway.tracker.endpoints)),
        "longest_turn_seconds": Gauge(
            "Longest turn of the loop", lambda: gateway.loop.longest_iteration_us / MICROSECONDS_PER_SECOND
        ),
    }


def build_admin_api(gateway: BuiltGateway) -> AdminApi:
    """Return the admin API, with the rollout endpoints if the fleet has voters."""

    def find_customer(name_key_or_number: bytes) -> Customer | None:
        customers = gateway.configuration.customers
        return customers.by_name_or_key(name_key_or_number) or customers.by_number(name_key_or_number)

    sources = AdminSources(
        gateway_name=gateway.entry.name,
        policy_source=gateway.policy_driver,
        metrics=gateway.metrics,
        find_customer=find_customer,
        describe_moment=gateway.describe_state,
        is_healthy=lambda: gateway.ready and not gateway.stopping and not gateway.unready_reason(),
        names=gateway.state_names,
    )
    agent = gateway.rollout_agent
    return AdminApi(gateway.loop, sources, RolloutAdminApi(agent) if agent is not None else None)


def build_endpoint_watch(gateway: BuiltGateway) -> EndpointWatch:
    """Return the watch of the endpoint list, which is cached on disk if there is a state directory."""
    directory = gateway.fleet.state_directory
    name = gateway.entry.name
    cache_path = f"{directory}/{name}.nodes.json" if directory else ""
    return EndpointWatch(
        gateway.loop,
        gateway.fleet,
        gateway.tracker,
        name,
        cache_path,
        lambda event: gateway.policy_driver.feed(event),
    )
