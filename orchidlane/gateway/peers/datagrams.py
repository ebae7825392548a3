"""Datagrams between gateways: who sent them, in which life, in which order, under the fleet's key.

    2 bytes magic, u8 format, u8 kind, u16 sender's rank, u16 receiver's rank, u64 incarnation, u64 sequence,
    body, 16 bytes MAC over all before (BLAKE2b, keyed; RFC 7693 section 2.9)

All numbers are little-endian. The incarnation is the sender's clock at its start, so a later life is larger.
``Inbox`` decides what is taken: forged, replayed, misdirected, stale and oversized datagrams change nothing.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass

HEAD = struct.Struct("<2sBBHHQQ")
MAGIC, FORMAT = b"OL", 1
MAC = 16  # bytes
BODY_MOST = 256  # bytes
SIZE_MOST = HEAD.size + BODY_MOST + MAC
MODULE, LIMITS, CHANGE = 0, 1, 2  # kinds: the module's messages, the limits', the fleet's versions'
WINDOW = 1024  # sequence numbers behind the latest that may still come
AHEAD_MOST = 60_000_000  # microseconds: a life that begins so far after our clock is not believed


def seal(
    secret: bytes,
    sender: int,
    receiver: int,
    incarnation: int,
    sequence: int,
    body: bytes,
    kind: int = MODULE,
) -> bytes:
    """One datagram."""
    assert len(body) <= BODY_MOST
    head = HEAD.pack(MAGIC, FORMAT, kind, sender, receiver, incarnation, sequence)
    return head + body + _mac(secret, head + body)


def _mac(secret: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=secret[:64], digest_size=MAC).digest()


@dataclass
class _Life:
    """The latest life of one peer, and which of its sequence numbers came."""

    incarnation: int
    latest: int
    seen: int  # bit i: the number latest - i


@dataclass
class _Bucket:
    """So many datagrams a second."""

    rate: float
    allowance: float
    filled: int

    def has_room(self, now: int) -> bool:
        """Whether one more may come; it is counted."""
        gained = (now - self.filled) * self.rate / 1_000_000
        self.allowance, self.filled = min(self.rate, self.allowance + gained), now
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True


class Inbox:
    """What one gateway takes from the others; ``refused`` counts the rest by reason."""

    def __init__(self, secret: bytes, rank: int, gateways: int, now: int, *intakes: float) -> None:
        self.secret = secret
        self.rank = rank
        self.gateways = gateways
        self.refused: dict[str, int] = {}
        self._lives: dict[int, _Life] = {}
        self._buckets = [_Bucket(intake, intake, now) for intake in intakes]  # by kind

    def take(self, now: int, data: bytes) -> tuple[int, int, bytes] | None:
        """Kind, sender and body of a datagram that counts, at clock ``now``; None for all others."""
        reason = self._reason(now, data)
        if reason is not None:
            self.refused[reason] = self.refused.get(reason, 0) + 1
            return None
        _, _, kind, sender, *_ = HEAD.unpack_from(data)
        return kind, sender, data[HEAD.size : -MAC]

    def _reason(self, now: int, data: bytes) -> str | None:
        if not HEAD.size + MAC <= len(data) <= SIZE_MOST:
            return "size"
        magic, form, kind, sender, receiver, incarnation, sequence = HEAD.unpack_from(data)
        if (magic, form) != (MAGIC, FORMAT) or kind >= len(self._buckets):
            return "format"
        if receiver != self.rank or sender == self.rank or sender >= self.gateways:
            return "address"
        if not hmac.compare_digest(_mac(self.secret, data[:-MAC]), data[-MAC:]):
            return "mac"
        if incarnation > now + AHEAD_MOST:
            return "clock"
        if not self._is_new(sender, incarnation, sequence):
            return "replay"
        return None if self._buckets[kind].has_room(now) else "intake"

    def carried(self) -> list[tuple[int, int, int, bytes]]:
        """What came of each peer, so that a successor takes no datagram twice."""
        size = WINDOW // 8
        return [
            (rank, life.incarnation, life.latest, (life.seen & ((1 << WINDOW) - 1)).to_bytes(size, "little"))
            for rank, life in self._lives.items()
        ]

    def carry_on(self, rows: list[tuple[int, int, int, bytes]]) -> None:
        """Go on where another process of this gateway stood."""
        for rank, incarnation, latest, seen in rows:
            self._lives[rank] = _Life(incarnation, latest, int.from_bytes(seen, "little"))

    def _is_new(self, sender: int, incarnation: int, sequence: int) -> bool:
        life = self._lives.get(sender)
        if life is None or incarnation > life.incarnation:
            self._lives[sender] = _Life(incarnation, sequence, 1)
            return True
        if incarnation < life.incarnation:
            return False
        behind = life.latest - sequence
        if behind < 0:
            life.seen = (life.seen << -behind | 1) & ((1 << WINDOW) - 1) if -behind < WINDOW else 1
            life.latest = sequence
            return True
        if behind >= WINDOW or life.seen >> behind & 1:
            return False
        life.seen |= 1 << behind
        return True
