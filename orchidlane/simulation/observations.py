"""What nodes, clients and the node list saw pass on their sockets: the audit's only source."""

from __future__ import annotations

from typing import Literal

import msgspec

CLIENT_RECORDS_FILE, LIMITS_FILE = (
    "clients.records",
    "terms.json",
)  # files beside the nodes' records of a kept day


class Arrival(msgspec.Struct, frozen=True, tag="arrival"):
    """A node read the head of an attempt. Times are microseconds of the world's clock."""

    at: int
    endpoint: str = msgspec.field(name="node")
    gateway: str
    attempt: str
    request: str  # the client's, over all its tries
    client_attempt: str = msgspec.field(name="attempt_of")  # the client's try
    customer: int
    units: float


class Execution(msgspec.Struct, frozen=True, tag="run"):
    """A node did the work of a request: its effect, if it has one, is done."""

    at: int
    endpoint: str = msgspec.field(name="node")
    cell: str
    request: str
    client_attempt: str = msgspec.field(name="attempt_of")
    idempotency_key: str = msgspec.field(name="key")
    class_name: str


class EndpointOverload(msgspec.Struct, frozen=True, tag="fell"):
    """A cold node was pushed over."""

    at: int
    endpoint: str = msgspec.field(name="node")


class EndpointNotice(msgspec.Struct, frozen=True, tag="told"):
    """The node list wrote a node's phase to a gateway's watch."""

    at: int
    gateway: str
    endpoint: str = msgspec.field(name="node")
    state: str = msgspec.field(name="phase")


class ClientAttempt(msgspec.Struct, frozen=True, tag="try"):
    """One try of a client, up to ``by``. ``end``: answer, cut, reset, silence, left, unreachable."""

    at: int
    give_up_at: int = msgspec.field(name="by")
    ended_at: int = msgspec.field(name="ended")
    gateway: str
    request: str
    name: str
    class_name: str
    customer: int
    outcome: str = msgspec.field(name="end")
    status: int = 0
    is_safe_to_retry: bool = msgspec.field(name="harmless", default=False)  # the answer says that a repeat is
    extra_bytes: int = msgspec.field(name="extra", default=0)  # bytes after the answer that belong to none
    version: str = ""  # of the rules that the answer was made by, where it says so


class QuotaAttempt(msgspec.Struct, frozen=True, tag="take"):
    """One try of a take over RESP. ``end``: granted, refused, error, silence, reset, unreachable."""

    at: int
    give_up_at: int = msgspec.field(name="by")
    ended_at: int = msgspec.field(name="ended")
    gateway: str
    name: str  # the same over all tries, and the token
    customer: int
    units: float
    outcome: str = msgspec.field(name="end")
    extra_bytes: int = msgspec.field(name="extra")


class UnexpectedData(msgspec.Struct, frozen=True, tag="extra"):
    """Bytes came on a client's connection after the answer to a try, and belong to none."""

    name: str


class Outage(msgspec.Struct, frozen=True, tag="away"):
    """A gateway or node was killed, drained, or stood still (``why``): from when to when."""

    process: str = msgspec.field(name="who")
    began_at: int = msgspec.field(name="begin")
    ended_at: int = msgspec.field(name="end")
    reason: Literal["killed", "drained", "still"] = msgspec.field(name="why")


Record = (
    Arrival
    | Execution
    | EndpointOverload
    | EndpointNotice
    | ClientAttempt
    | QuotaAttempt
    | UnexpectedData
    | Outage
)


def encode(record: Record) -> bytes:
    """One line."""
    return msgspec.json.encode(record) + b"\n"


def decode(text: bytes) -> list[Record]:
    """All whole lines of a file: a kill may leave the last one cut."""
    lines = text.split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Record) for line in lines]
