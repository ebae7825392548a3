"""Resource limits and timeouts of one gateway, derived from the limits of its machine.

File descriptors: ``RESERVED_DESCRIPTORS`` are for everything but connections of clients and endpoints, so
that discovery and datagrams get theirs whoever uses up the others. Two sixteenths of the others are for
connections that are closing. Of the rest, clients with requests hold at most a third of the whole, each with
an attempt or two; what remains of the clients' part is for silent and abusive clients, and endpoints have a
part of their own.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.platform.configuration import Configuration
from orchidlane.platform.polling import MAX_PENDING_POLLS

# 3 standard streams, a listener, datagrams, 2 of the signals' pipe, the file of a reload, a client that was
# accepted and has no place yet
OWN_DESCRIPTORS = 9
DISCOVERY_DESCRIPTORS = 2 * (MAX_PENDING_POLLS + 1)  # 2 watches, each with one poll that is being replaced
INTERPRETER_DESCRIPTORS = 5  # what the interpreter opens now and then
RESERVED_DESCRIPTORS = OWN_DESCRIPTORS + DISCOVERY_DESCRIPTORS + INTERPRETER_DESCRIPTORS
LINGERING_SHARE = 1 / 16  # of the others, for clients and again for endpoints
CLIENTS_SHARE = 0.58  # of what is left

MAX_BODY_BYTES = 65_536  # by the platform's protocol
MAX_REQUEST_LINE_BYTES = 2_048
MAX_REQUEST_HEAD_BYTES = 8_192
MAX_REQUEST_HEADERS = 40
MAX_PIPELINED_BYTES = 16_384

DEFAULT_ENDPOINT_IDLE_US = 10_000_000
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
IDLE_SHARE = 0.6  # of an endpoint's idle time: well inside it
NON_IDEMPOTENT_IDLE_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """See ``orchidlane.gateway.forwarding.protocol_adapter.ResourceLimits``."""

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
    """See ``orchidlane.gateway.forwarding.protocol_adapter.Timeouts``."""

    endpoint_connect_us: int
    endpoint_idle_us: int
    non_idempotent_idle_us: int
    first_request_us: int = 2_300_000  # a close or an error is due within 3 s of connecting
    request_head_us: int = 2_300_000
    body_progress_us: int = 2_300_000
    error_delay_us: int = 500_000
    client_idle_us: int = 20_000_000
    min_client_idle_us: int = 150_000
    client_write_us: int = 2_000_000
    response_margin_us: int = 12_000
    linger_us: int = 300_000
    endpoint_reuse_delay_us: int = 10_000  # by the protocol a second response may come some milliseconds late


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """See ``orchidlane.gateway.forwarding.protocol_adapter.GatewayLimits``."""

    resource_limits: ResourceLimits
    timeouts: Timeouts


def limits_for(configuration: Configuration) -> PlatformLimits:
    """Return the limits and timeouts that fit the machine of a configuration."""
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
