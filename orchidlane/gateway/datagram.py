"""Datagrams between gateways: who sent them, in which life, in which order, under the fleet's key.

    2 bytes magic, u8 format, u8 0, u16 sender's rank, u16 receiver's rank, u64 incarnation, u64 sequence,
    the module's bytes, 16 bytes MAC over all before (BLAKE2b, keyed; RFC 7693 section 2.9)

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
WINDOW = 128  # sequence numbers behind the latest that may still come
AHEAD_MOST = 60_000_000  # microseconds: a life that begins so far after our clock is not believed


def seal(secret: bytes, sender: int, receiver: int, incarnation: int, sequence: int, body: bytes) -> bytes:
    """One datagram."""
    assert len(body) <= BODY_MOST
    head = HEAD.pack(MAGIC, FORMAT, 0, sender, receiver, incarnation, sequence)
    return head + body + _mac(secret, head + body)


def _mac(secret: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=secret[:64], digest_size=MAC).digest()


@dataclass
class _Life:
    """The latest life of one peer, and which of its sequence numbers came."""

    incarnation: int
    latest: int
    seen: int  # bit i: the number latest - i


class Inbox:
    """What one gateway takes from the others; ``refused`` counts the rest by reason."""

    def __init__(self, secret: bytes, rank: int, gateways: int, intake: float, now: int) -> None:
        self.secret = secret
        self.rank = rank
        self.gateways = gateways
        self.intake = intake
        self.refused: dict[str, int] = {}
        self._lives: dict[int, _Life] = {}
        self._allowance, self._filled = intake, now

    def take(self, now: int, data: bytes) -> tuple[int, bytes] | None:
        """Sender and body of a datagram that counts, at clock ``now``; None for all others."""
        reason = self._reason(now, data)
        if reason is not None:
            self.refused[reason] = self.refused.get(reason, 0) + 1
            return None
        return HEAD.unpack_from(data)[3], data[HEAD.size : -MAC]

    def _reason(self, now: int, data: bytes) -> str | None:
        if not HEAD.size + MAC <= len(data) <= SIZE_MOST:
            return "size"
        magic, form, zero, sender, receiver, incarnation, sequence = HEAD.unpack_from(data)
        if (magic, form, zero) != (MAGIC, FORMAT, 0):
            return "format"
        if receiver != self.rank or sender == self.rank or sender >= self.gateways:
            return "address"
        if not hmac.compare_digest(_mac(self.secret, data[:-MAC]), data[-MAC:]):
            return "mac"
        if incarnation > now + AHEAD_MOST:
            return "clock"
        if not self._is_new(sender, incarnation, sequence):
            return "replay"
        return None if self._has_room(now) else "intake"

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

    def _has_room(self, now: int) -> bool:
        gained = (now - self._filled) * self.intake / 1_000_000
        self._allowance, self._filled = min(self.intake, self._allowance + gained), now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
