"""Derive the resource limits and timeouts of one gateway from the limits of its machine.

Of the file descriptors, ``RESERVED_DESCRIPTORS`` are kept for everything other than client and endpoint
connections, so that discovery and datagrams work even when the connections use up all others. Of the
descriptors that are available to connections, a sixteenth is for closing connections to clients and another
sixteenth for closing connections to endpoints. The rest is divided between clients and endpoints. Clients
with requests in flight hold at most a third of all descriptors, and each needs one or two attempts; the
remainder of the clients' share is for silent and abusive clients.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.platform.configuration import Configuration
from orchidlane.platform.polling import MAX_PENDING_POLLS

# 3 standard streams, the listener, the peers' datagram socket, 2 for the signal pipe, the configuration file
# during a reload, and a client connection that was accepted and not yet counted
OWN_DESCRIPTORS = 9
DISCOVERY_DESCRIPTORS = 2 * (MAX_PENDING_POLLS + 1)  # for 2 watches, each with 1 poll that is being cancelled
INTERPRETER_DESCRIPTORS = 5  # files that the Python interpreter opens occasionally
RESERVED_DESCRIPTORS = OWN_DESCRIPTORS + DISCOVERY_DESCRIPTORS + INTERPRETER_DESCRIPTORS
LINGERING_SHARE = 1 / 16  # of the available descriptors, once for clients and once for endpoints
CLIENTS_SHARE = 0.58  # of the available descriptors that are not for lingering connections

MAX_BODY_BYTES = 65_536  # by the platform's protocol
MAX_REQUEST_LINE_BYTES = 2_048
MAX_REQUEST_HEAD_BYTES = 8_192
MAX_REQUEST_HEADERS = 40
MAX_PIPELINED_BYTES = 16_384

DEFAULT_ENDPOINT_IDLE_US = 10_000_000
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
# Shares of the time after which an endpoint closes an idle connection: how long the gateway keeps one idle,
# and how long one may have been idle when it carries a request that is not idempotent
IDLE_SHARE = 0.6
NON_IDEMPOTENT_IDLE_SHARE = 0.3
# An endpoint may send a response twice, the second one some milliseconds late
ENDPOINT_REUSE_DELAY_US = 10_000  # if a second response could be told from the next one
ENDPOINT_SETTLE_US = 100_000  # otherwise


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Implements ``orchidlane.gateway.forwarding.protocol_adapter.ResourceLimits``."""

    max_connections: int
    max_connections_per_endpoint: int
    max_endpoint_connections: int
    max_lingering_connections: int
    max_request_line_bytes: int = MAX_REQUEST_LINE_BYTES
    max_request_head_bytes: int = MAX_REQUEST_HEAD_BYTES
    max_request_headers: int = MAX_REQUEST_HEADERS
    max_request_body_bytes: int = MAX_BODY_BYTES
    max_replay_bytes: int = MAX_BODY_BYTES + 1
    max_buffered_response_bytes: int = MAX_BODY_BYTES
    max_pipelined_bytes: int = MAX_PIPELINED_BYTES


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Implements ``orchidlane.gateway.forwarding.protocol_adapter.Timeouts``."""

    endpoint_connect_us: int
    endpoint_idle_us: int
    non_idempotent_idle_us: int
    first_request_us: int = 2_300_000  # the platform requires a close or an error within 3 s of connecting
    request_head_us: int = 2_300_000
    body_progress_us: int = 2_300_000
    error_delay_us: int = 500_000
    client_idle_us: int = 20_000_000
    min_client_idle_us: int = 150_000
    min_silent_client_us: int = 20_000  # clients send as soon as they are connected
    client_write_us: int = 2_000_000
    response_margin_us: int = 12_000
    linger_us: int = 300_000
    endpoint_reuse_delay_us: int = ENDPOINT_REUSE_DELAY_US
    endpoint_settle_us: int = ENDPOINT_SETTLE_US


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """Implements ``orchidlane.gateway.forwarding.protocol_adapter.GatewayLimits``."""

    resource_limits: ResourceLimits
    timeouts: Timeouts


def limits_for(configuration: Configuration) -> PlatformLimits:
    """Return the limits and timeouts for the machine and the settings of a configuration."""
    return PlatformLimits(_resource_limits(int(configuration.limits.sockets)), _timeouts(configuration))


def _resource_limits(descriptors: int) -> ResourceLimits:
    available = descriptors - RESERVED_DESCRIPTORS
    lingering = int(available * LINGERING_SHARE)
    available -= 2 * lingering
    clients = int(available * CLIENTS_SHARE)
    endpoints = available - clients
    return ResourceLimits(
        max_connections=clients,
        max_connections_per_endpoint=endpoints,
        max_endpoint_connections=endpoints,
        max_lingering_connections=lingering,
    )


def _timeouts(configuration: Configuration) -> Timeouts:
    permissions = configuration.platform_settings.permissions
    idle_us = int(permissions.endpoint_idle_us) or DEFAULT_ENDPOINT_IDLE_US
    return Timeouts(
        endpoint_connect_us=int(permissions.connect_timeout_us) or DEFAULT_CONNECT_TIMEOUT_US,
        endpoint_idle_us=int(idle_us * IDLE_SHARE),
        non_idempotent_idle_us=int(idle_us * NON_IDEMPOTENT_IDLE_SHARE),
    )
