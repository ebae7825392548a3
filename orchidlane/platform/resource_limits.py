"""Bounds and times of one gateway, from the limits of its machine. No table on requests: only room.

Descriptors: ``REST`` are for all that is no connection of clients or nodes, so that discovery and the
datagrams get theirs whoever fills the rest, and two sixteenths of the others for connections that are ending.
A third of the whole is held at most by clients with requests, each with an attempt or two; the rest of the
clients' part is for those that are silent or rude, and nodes have a part of their own.
"""

from __future__ import annotations

from dataclasses import dataclass

from orchidlane.platform.configuration import Config
from orchidlane.platform.polling import CALLS

# Descriptors: 3 standard streams, a listener, datagrams, 2 of the pipe of signals, the file of a reload, a
# client that was taken and has no room yet, and discovery: 2 watches, each with CALLS and one that it gives
# up for them
REST = 9 + 2 * (CALLS + 1) + 5  # the last 5: for what the interpreter opens now and then
LINGERING_SHARE = 1 / 16  # of the others: connections that are ending, of clients and as many of nodes
CLIENTS_SHARE = 0.58  # of the others
BODY_MOST = 65_536  # bytes, by the protocol
LINE_MOST = 2_048
HEAD_MOST = 8_192
HEADERS_MOST = 40
PIPELINED_MOST = 16_384
IDLE_SHARE, UNSAFE_SHARE = 0.6, 0.3  # of a node's idle time: well inside it


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """See ``seam.Bounds``."""

    max_connections: int
    max_connections_per_endpoint: int
    max_endpoint_connections: int
    max_lingering_connections: int
    max_request_line_bytes: int = LINE_MOST
    max_request_head_bytes: int = HEAD_MOST
    max_request_headers: int = HEADERS_MOST
    max_request_body_bytes: int = BODY_MOST
    max_replay_bytes: int = BODY_MOST + 1
    max_buffered_response_bytes: int = BODY_MOST
    max_pipelined_bytes: int = PIPELINED_MOST


@dataclass(frozen=True, slots=True)
class Timeouts:
    """See ``seam.Times``; microseconds."""

    endpoint_connect_us: int
    endpoint_idle_us: int
    non_idempotent_idle_us: int
    first_request_us: int = 2_300_000  # a close or an error is owed within 3 s of connecting
    request_head_us: int = 2_300_000
    body_progress_us: int = 2_300_000
    error_delay_us: int = 500_000
    client_idle_us: int = 20_000_000
    min_client_idle_us: int = 150_000
    client_write_us: int = 2_000_000
    response_margin_us: int = 12_000
    linger_us: int = 300_000
    endpoint_reuse_delay_us: int = 10_000  # a second answer may come some milliseconds late, by the protocol


@dataclass(frozen=True, slots=True)
class PlatformLimits:
    """See ``seam.Terms``."""

    resource_limits: ResourceLimits
    timeouts: Timeouts


def limits_for(config: Config) -> PlatformLimits:
    """What fits the machine."""
    sockets = int(config.limits.sockets)
    room = sockets - REST
    lingering = int(room * LINGERING_SHARE)
    room -= 2 * lingering
    clients = int(room * CLIENTS_SHARE)
    nodes = room - clients
    may = config.names.permissions
    idle = int(may.idle_close) or 10_000_000
    return PlatformLimits(
        ResourceLimits(
            max_connections=clients,
            max_connections_per_endpoint=nodes,
            max_endpoint_connections=nodes,
            max_lingering_connections=lingering,
        ),
        Timeouts(
            endpoint_connect_us=int(may.connect_timeout) or 1_000_000,
            endpoint_idle_us=int(idle * IDLE_SHARE),
            non_idempotent_idle_us=int(idle * UNSAFE_SHARE),
        ),
    )
