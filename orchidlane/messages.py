"""Byte layout of the messages between gateways: no decision, only packing.

A message is a head and rows. Numbers are LEB128 variable-length integers unless a size is given.

    head  u8 format, u8 flags (1: caught up), u48 send time in ms, age of the sender's birth in ms
    row   u40 customer, u8 plan, u8 first gateway of its set, u8 size of the set, u8 attempts out now,
          limit in 1/64 units, u8 number of counts, counts
    count u8 rank, age of its start in ms, value in 1/64 units
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

FORMAT = 1
SIZE_MOST = 256  # bytes: what the transport carries
HEAD_MOST = 17  # bytes a head may take
ROWS_MOST = SIZE_MOST - HEAD_MOST  # bytes left for rows
SCALE = 64  # parts of a unit that travel
VARINT_MOST = 9  # bytes: 63 bits


@dataclass(frozen=True, slots=True)
class Row:
    """What a message tells of one customer; counts are (rank, start in ms, value)."""

    customer: int
    plan: int
    set_first: int
    set_size: int
    out: int
    limit: float
    counts: tuple[tuple[int, int, float], ...]


@dataclass(frozen=True, slots=True)
class Message:
    """A decoded message; times in ms."""

    sent: int
    birth: int
    caught_up: bool
    rows: tuple[Row, ...]


def _varint(value: int) -> bytes:
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def _read_varint(body: bytes, at: int) -> tuple[int, int]:
    value = 0
    for i in range(VARINT_MOST):
        byte = body[at + i]
        value |= (byte & 0x7F) << (7 * i)
        if byte < 0x80:
            return value, at + i + 1
    raise ValueError("number too long")


def pack_row(row: Row, sent: int) -> bytes:
    """One row as bytes; starts are told as ages at the send time."""
    out = bytearray(row.customer.to_bytes(5, "little"))
    out += bytes((row.plan, row.set_first, row.set_size, min(row.out, 255)))
    out += _varint(int(row.limit * SCALE))
    out.append(len(row.counts))
    for rank, start, value in row.counts:
        out.append(rank)
        out += _varint(sent - start)
        out += _varint(int(value * SCALE))
    return bytes(out)


def fit(rows: Iterable[bytes]) -> list[bytes]:
    """As many of the rows, from the first on, as one message holds."""
    taken: list[bytes] = []
    space = ROWS_MOST
    for row in rows:
        space -= len(row)
        if space < 0:
            break
        taken.append(row)
    return taken


def pack(sent: int, birth: int, caught_up: bool, rows: list[bytes]) -> bytes:
    """A whole message."""
    return (
        bytes((FORMAT, int(caught_up))) + sent.to_bytes(6, "little") + _varint(sent - birth) + b"".join(rows)
    )


def unpack(body: bytes, now: int, ranks: int, plans: int) -> Message | None:
    """The message, or None where the bytes are none, tell of the future, or name what does not exist."""
    try:
        if body[0] != FORMAT or body[1] > 1 or len(body) > SIZE_MOST:
            return None
        sent = int.from_bytes(body[2:8], "little")
        age, at = _read_varint(body, 8)
        if sent > now:
            return None
        rows = []
        while at < len(body):
            customer = int.from_bytes(body[at : at + 5], "little")
            plan, first, size, out = body[at + 5 : at + 9]
            limit, at = _read_varint(body, at + 9)
            number, at = body[at], at + 1
            if plan >= plans or first >= ranks or size < 1:
                return None
            counts = []
            for _ in range(number):
                rank = body[at]
                if rank >= ranks:
                    return None
                start_age, at = _read_varint(body, at + 1)
                value, at = _read_varint(body, at)
                counts.append((rank, sent - start_age, value / SCALE))
            rows.append(Row(customer, plan, first, size, out, limit / SCALE, tuple(counts)))
        return Message(sent, sent - age, body[1] == 1, tuple(rows))
    except (IndexError, ValueError):
        return None
