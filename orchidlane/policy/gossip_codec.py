"""Byte layout of the gossip messages between gateways: encoding and decoding only.

A message is a header followed by rows. Numbers are LEB128 variable-length integers unless a size is given.

    header u8 format, u8 flags (1: a reply is requested, 2: to the token owner), u32 send time in ms, little
           endian (the low 32 bits)
    row    customer, plan, first gateway of the replica set, size of the set, number of further members that
           the receiver forwards the row to, units remaining, all units known to be spent, ceiling tokens
           requested (flag 2) or granted (the last three in 1/16 units), number of counts, counts
    count  position in the replica set (0: its first gateway), age of its start in 1/16 s, value in 1/16 units
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

FORMAT = 2
MAX_MESSAGE_BYTES = 256  # limit of the transport
HEADER_BYTES = 6
SCALE = 16  # encoded steps per unit of quota, and ticks per second
TICK_MS = 1000 // SCALE  # unit of the start of a count
SEND_TIME_PERIOD_MS = 1 << 32  # encoded send times wrap around after this period
MAX_VARINT_BYTES = 9  # 63 bits

FLAG_WANTS_REPLY = 1
FLAG_TO_TOKEN_OWNER = 2
ALL_FLAGS = FLAG_WANTS_REPLY | FLAG_TO_TOKEN_OWNER


class CountEntry(NamedTuple):
    """One replica's count in a row; ``start`` is in ticks of ``TICK_MS``, ``value`` in units."""

    replica: int
    start: int
    value: float


class CustomerRow(NamedTuple):
    """One customer's part of a message; amounts are in units."""

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
    """The bytes are not a valid message, or refer to a plan or replica that does not exist."""


def encode_row(row: CustomerRow, sent_at_ms: int, replica_count: int) -> bytes:
    """Encode one row; the start of a count is encoded as its age at the send time."""
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
    """Return the longest prefix of the rows that fits into one message."""
    fitting: list[bytes] = []
    free_bytes = MAX_MESSAGE_BYTES - HEADER_BYTES
    for row in rows:
        free_bytes -= len(row)
        if free_bytes < 0:
            break
        fitting.append(row)
    return fitting


def encode_message(sent_at_ms: int, wants_reply: bool, to_token_owner: bool, rows: list[bytes]) -> bytes:
    """Encode a message from rows that are already encoded."""
    flags = FLAG_WANTS_REPLY * wants_reply | FLAG_TO_TOKEN_OWNER * to_token_owner
    sent = (sent_at_ms % SEND_TIME_PERIOD_MS).to_bytes(4, "little")
    return bytes((FORMAT, flags)) + sent + b"".join(rows)


def decode_message(body: bytes, now_ms: int, replica_count: int, plan_count: int) -> GossipMessage | None:
    """Decode a message; return None if it is malformed or refers to a plan or replica that does not exist.

    The message has only the low bits of the send time; the matching time nearest to ``now_ms`` is used.
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
    """Decode a row; return it and the offset after it. Raises IndexError, ValueError."""
    fields = []
    for _ in range(9):
        value, offset = _read_varint(body, offset)
        fields.append(value)
    customer, plan, first, size, forward_count, remaining, spent_total, tokens, entry_count = fields
    if plan >= plan_count or first >= replica_count or not 1 <= size <= replica_count:
        raise _MalformedMessageError("plan, or start or size of the replica set, is out of range")
    if forward_count >= size or entry_count > size:
        raise _MalformedMessageError(
            "forward count must be below the replica set's size, the number of counts at most the size"
        )
    counts = []
    for _ in range(entry_count):
        position, offset = _read_varint(body, offset)
        age, offset = _read_varint(body, offset)
        value, offset = _read_varint(body, offset)
        if position >= size:
            raise _MalformedMessageError("position of a count must be below the replica set's size")
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
    """Decode a variable-length integer; return it and the offset after it. Raises IndexError, ValueError."""
    byte = body[offset]
    if byte < 0x80:
        return byte, offset + 1
    value = 0
    for index in range(MAX_VARINT_BYTES):
        byte = body[offset + index]
        value |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return value, offset + index + 1
    raise _MalformedMessageError("variable-length integer is longer than 9 bytes")
