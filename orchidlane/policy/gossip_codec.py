"""Byte layout of the messages between gateways: no decision, only encoding.

A message is a header and rows. Numbers are LEB128 variable-length integers unless a size is given.

    header u8 format, u8 flags (1: wants a reply, 2: to the token owner), u32 send time in ms (its low bits)
    row    customer, plan, first gateway of its set, size of the set, how many of the set the receiver
           forwards it to, units remaining, all units known to be spent, tokens of its ceiling requested
           (flag 2) or granted, all in 1/16 units, number of counts, counts
    count  position in the set (0: its first gateway), age of its start in 1/16 s, value in 1/16 units
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

FORMAT = 2
MAX_MESSAGE_BYTES = 256  # what the transport carries
HEADER_BYTES = 6
SCALE = 16  # steps in a unit and in a second
TICK_MS = 1000 // SCALE
SEND_TIME_PERIOD_MS = 1 << 32  # send times repeat after it
MAX_VARINT_BYTES = 9  # 63 bits

FLAG_WANTS_REPLY = 1
FLAG_TO_TOKEN_OWNER = 2
ALL_FLAGS = FLAG_WANTS_REPLY | FLAG_TO_TOKEN_OWNER


class CountEntry(NamedTuple):
    """One replica's count in a row; the start in ticks."""

    replica: int
    start: int
    value: float


class CustomerRow(NamedTuple):
    """What a message reports of one customer."""

    customer: int
    plan: int
    replica_set_start: int
    replica_set_size: int
    forward_count: int
    remaining: float
    spent_total: float
    tokens: float
    replica_counts: tuple[CountEntry, ...]


class GossipMessage(NamedTuple):
    """A decoded message."""

    sent_at_ms: int
    wants_reply: bool
    to_token_owner: bool
    rows: tuple[CustomerRow, ...]


class _MalformedMessageError(ValueError):
    """The bytes are no message, or name what does not exist."""


def encode_row(row: CustomerRow, sent_at_ms: int, replica_count: int) -> bytes:
    """Return one row as bytes; starts are encoded as ages at the send time."""
    out = bytearray()
    first = row.replica_set_start
    sent_at_ticks = sent_at_ms // TICK_MS
    _append_varints(out, row.customer, row.plan, first, row.replica_set_size, row.forward_count)
    _append_varints(
        out,
        int(row.remaining * SCALE),
        int(row.spent_total * SCALE),
        int(row.tokens * SCALE),
        len(row.replica_counts),
    )
    for replica, start, value in row.replica_counts:
        position = (replica - first) % replica_count
        _append_varints(out, position, max(0, sent_at_ticks - start), int(value * SCALE))
    return bytes(out)


def take_fitting(rows: Iterable[bytes]) -> list[bytes]:
    """Return as many of the rows, from the first on, as one message holds."""
    taken: list[bytes] = []
    space = MAX_MESSAGE_BYTES - HEADER_BYTES
    for row in rows:
        space -= len(row)
        if space < 0:
            break
        taken.append(row)
    return taken


def encode_message(sent_at_ms: int, wants_reply: bool, to_token_owner: bool, rows: list[bytes]) -> bytes:
    """Return a message of encoded rows."""
    flags = FLAG_WANTS_REPLY * wants_reply | FLAG_TO_TOKEN_OWNER * to_token_owner
    sent = (sent_at_ms % SEND_TIME_PERIOD_MS).to_bytes(4, "little")
    return bytes((FORMAT, flags)) + sent + b"".join(rows)


def decode_message(body: bytes, now_ms: int, replica_count: int, plan_count: int) -> GossipMessage | None:
    """Return the message, or None where the bytes are none or name what does not exist.

    Of the send times that the low bits may mean, the one nearest to now is taken.
    """
    try:
        if body[0] != FORMAT or body[1] > ALL_FLAGS or not HEADER_BYTES <= len(body) <= MAX_MESSAGE_BYTES:
            return None
        sent_at_ms = int.from_bytes(body[2:HEADER_BYTES], "little")
        periods = (now_ms - sent_at_ms + SEND_TIME_PERIOD_MS // 2) // SEND_TIME_PERIOD_MS
        sent_at_ms += periods * SEND_TIME_PERIOD_MS
        rows = []
        offset = HEADER_BYTES
        while offset < len(body):
            row, offset = _decode_row(body, offset, sent_at_ms // TICK_MS, replica_count, plan_count)
            rows.append(row)
    except (IndexError, ValueError):
        return None
    wants_reply = body[1] & FLAG_WANTS_REPLY != 0
    to_token_owner = body[1] & FLAG_TO_TOKEN_OWNER != 0
    return GossipMessage(sent_at_ms, wants_reply, to_token_owner, tuple(rows))


def _decode_row(
    body: bytes, offset: int, sent_at_ticks: int, replica_count: int, plan_count: int
) -> tuple[CustomerRow, int]:
    """Return a row, and the offset behind it. Raises IndexError, ValueError."""
    fields = []
    for _ in range(9):
        value, offset = _read_varint(body, offset)
        fields.append(value)
    customer, plan, first, size, forward_count, remaining, spent_total, tokens, count_number = fields
    if plan >= plan_count or first >= replica_count or not 1 <= size <= replica_count:
        raise _MalformedMessageError("no such plan or replica set")
    if forward_count >= size or count_number > size:
        raise _MalformedMessageError("more replicas than the set has")
    counts = []
    for _ in range(count_number):
        position, offset = _read_varint(body, offset)
        age, offset = _read_varint(body, offset)
        value, offset = _read_varint(body, offset)
        if position >= size:
            raise _MalformedMessageError("a count of a replica outside the set")
        replica = (first + position) % replica_count
        counts.append(CountEntry(replica, sent_at_ticks - age, value / SCALE))
    row = CustomerRow(
        customer,
        plan,
        first,
        size,
        forward_count,
        remaining / SCALE,
        spent_total / SCALE,
        tokens / SCALE,
        tuple(counts),
    )
    return row, offset


def _append_varints(out: bytearray, *values: int) -> None:
    for value in values:
        while value > 0x7F:
            out.append(value & 0x7F | 0x80)
            value >>= 7
        out.append(value)


def _read_varint(body: bytes, offset: int) -> tuple[int, int]:
    """Return a number, and the offset behind it. Raises IndexError, ValueError."""
    byte = body[offset]
    if byte < 0x80:
        return byte, offset + 1
    value = 0
    for index in range(MAX_VARINT_BYTES):
        byte = body[offset + index]
        value |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return value, offset + index + 1
    raise _MalformedMessageError("number too long")
