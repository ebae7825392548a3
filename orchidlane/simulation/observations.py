"""What nodes, clients and the node list saw pass on their sockets: the audit's only source."""

from __future__ import annotations

from typing import Literal

import msgspec

CLIENTS, TERMS = "clients.records", "terms.json"  # files beside the nodes' records of a kept day


class Arrival(msgspec.Struct, frozen=True, tag="arrival"):
    """A node read the head of an attempt. Times are microseconds of the world's clock."""

    at: int
    node: str
    gateway: str
    attempt: str
    request: str  # the client's, over all its tries
    attempt_of: str  # the client's try
    customer: int
    units: float


class Run(msgspec.Struct, frozen=True, tag="run"):
    """A node did the work of a request: its effect, if it has one, is done."""

    at: int
    node: str
    cell: str
    request: str
    attempt_of: str
    key: str
    class_name: str


class Fell(msgspec.Struct, frozen=True, tag="fell"):
    """A cold node was pushed over."""

    at: int
    node: str


class Told(msgspec.Struct, frozen=True, tag="told"):
    """The node list wrote a node's phase to a gateway's watch."""

    at: int
    gateway: str
    node: str
    phase: str


class Try(msgspec.Struct, frozen=True, tag="try"):
    """One try of a client, up to ``by``. ``end``: answer, cut, reset, silence, left, unreachable."""

    at: int
    by: int
    ended: int
    gateway: str
    request: str
    name: str
    class_name: str
    customer: int
    end: str
    status: int = 0
    harmless: bool = False  # the answer says that a repeat is
    extra: int = 0  # bytes after the answer that belong to none
    version: str = ""  # of the rules that the answer was made by, where it says so


class Take(msgspec.Struct, frozen=True, tag="take"):
    """One try of a take over RESP. ``end``: granted, refused, error, silence, reset, unreachable."""

    at: int
    by: int
    ended: int
    gateway: str
    name: str  # the same over all tries, and the token
    customer: int
    units: float
    end: str
    extra: int


class Extra(msgspec.Struct, frozen=True, tag="extra"):
    """Bytes came on a client's connection after the answer to a try, and belong to none."""

    name: str


class Away(msgspec.Struct, frozen=True, tag="away"):
    """A gateway or node was killed, drained, or stood still (``why``): from when to when."""

    who: str
    begin: int
    end: int
    why: Literal["killed", "drained", "still"]


Record = Arrival | Run | Fell | Told | Try | Take | Extra | Away


def encode(record: Record) -> bytes:
    """One line."""
    return msgspec.json.encode(record) + b"\n"


def decode(text: bytes) -> list[Record]:
    """All whole lines of a file: a kill may leave the last one cut."""
    lines = text.split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Record) for line in lines]
