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
class Bounds:
    """See ``seam.Bounds``."""

    connections: int
    node_connections: int
    all_node_connections: int
    lingering: int
    request_line: int = LINE_MOST
    request_head: int = HEAD_MOST
    request_headers: int = HEADERS_MOST
    request_body: int = BODY_MOST
    held_body: int = BODY_MOST + 1
    held_answer: int = BODY_MOST
    pipelined: int = PIPELINED_MOST


@dataclass(frozen=True, slots=True)
class Times:
    """See ``seam.Times``; microseconds."""

    connect: int
    node_idle: int
    unsafe_idle: int
    newcomer: int = 2_300_000  # a close or an error is owed within 3 s of connecting
    head: int = 2_300_000
    body: int = 2_300_000
    wrong: int = 500_000
    idle: int = 20_000_000
    idle_least: int = 150_000
    write: int = 2_000_000
    client_margin: int = 12_000
    linger: int = 300_000
    node_rest: int = 10_000  # a second answer may come some milliseconds late, by the protocol


@dataclass(frozen=True, slots=True)
class Terms:
    """See ``seam.Terms``."""

    bounds: Bounds
    times: Times


def terms_of(config: Config) -> Terms:
    """What fits the machine."""
    sockets = int(config.limits.sockets)
    room = sockets - REST
    lingering = int(room * LINGERING_SHARE)
    room -= 2 * lingering
    clients = int(room * CLIENTS_SHARE)
    nodes = room - clients
    may = config.names.permissions
    idle = int(may.idle_close) or 10_000_000
    return Terms(
        Bounds(connections=clients, node_connections=nodes, all_node_connections=nodes, lingering=lingering),
        Times(
            connect=int(may.connect_timeout) or 1_000_000,
            node_idle=int(idle * IDLE_SHARE),
            unsafe_idle=int(idle * UNSAFE_SHARE),
        ),
    )
