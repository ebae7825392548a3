"""Datagrams between gateways, authenticated under the fleet's key and protected against replay.

    2 bytes magic, u8 format, u8 kind, u16 sender, u16 receiver, u64 incarnation, u64 sequence, body,
    16 bytes MAC over all preceding bytes (keyed BLAKE2b, RFC 7693 section 2.9)

All numbers are little-endian. The incarnation is the sender's clock in microseconds when its process started,
so a later incarnation has a larger number. ``Inbox`` decides which datagrams are accepted: forged, replayed,
misdirected, stale and oversized ones are dropped and counted.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

HEADER = struct.Struct("<2sBBHHQQ")
MAGIC = b"OL"
FORMAT = 1
MAC_BYTES = 16
MAX_KEY_BYTES = 64  # of BLAKE2b
MAX_BODY_BYTES = 256
MAX_DATAGRAM_BYTES = HEADER.size + MAX_BODY_BYTES + MAC_BYTES
REPLAY_WINDOW = 1024  # sequence numbers before the latest one that are still accepted
REPLAY_WINDOW_MASK = (1 << REPLAY_WINDOW) - 1
MAX_CLOCK_AHEAD_US = 60_000_000  # incarnations further ahead of the local clock are rejected


class DatagramKind(IntEnum):
    """The part of the gateway that a datagram is for; the values are on the wire."""

    POLICY = 0
    LIMITS = 1
    ROLLOUT = 2


class Datagram(NamedTuple):
    """An accepted datagram."""

    kind: int
    sender: int
    body: bytes


class PeerRow(NamedTuple):
    """A peer's receive state as plain values; ``seen`` is the replay window as a little-endian bit field."""

    replica: int
    incarnation: int
    latest: int
    seen: bytes


def encode_datagram(
    secret: bytes,
    sender: int,
    receiver: int,
    incarnation: int,
    sequence: int,
    body: bytes,
    kind: int = DatagramKind.POLICY,
) -> bytes:
    """Return the bytes of a datagram; the body has at most ``MAX_BODY_BYTES``."""
    assert len(body) <= MAX_BODY_BYTES
    header = HEADER.pack(MAGIC, FORMAT, kind, sender, receiver, incarnation, sequence)
    return header + body + _mac(secret, header + body)


def _mac(secret: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(data, key=secret[:MAX_KEY_BYTES], digest_size=MAC_BYTES).digest()


@dataclass(slots=True)
class _PeerIncarnation:
    """The latest incarnation of one peer, and which of its sequence numbers have arrived."""

    incarnation: int
    latest: int
    seen: int  # bit i is set if sequence number ``latest - i`` has arrived

    def accept(self, sequence: int) -> bool:
        """Record a sequence number; return False if it is a repeat or older than the replay window."""
        age = self.latest - sequence
        if age < 0:
            ahead = -age
            self.seen = (self.seen << ahead | 1) & REPLAY_WINDOW_MASK if ahead < REPLAY_WINDOW else 1
            self.latest = sequence
            return True
        if age >= REPLAY_WINDOW or self.seen >> age & 1:
            return False
        self.seen |= 1 << age
        return True


@dataclass(slots=True)
class _RateLimit:
    """A token bucket whose capacity is the number of datagrams allowed in one second."""

    rate: float  # per second
    tokens: float
    refilled_at_us: int

    def try_take(self, now: int) -> bool:
        """Take a token for one datagram; return False if none is left."""
        gained = (now - self.refilled_at_us) * self.rate / 1_000_000
        self.tokens = min(self.rate, self.tokens + gained)
        self.refilled_at_us = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Inbox:
    """Accepts datagrams of other gateways; ``rejected`` counts the rejected ones by reason."""

    def __init__(self, secret: bytes, replica: int, replica_count: int, now: int, *rates: float) -> None:
        """Limit datagrams per second of each kind to ``rates``, in the order of ``DatagramKind``."""
        self.secret = secret
        self.replica = replica
        self.replica_count = replica_count
        self.rejected: dict[str, int] = {}
        self._peers: dict[int, _PeerIncarnation] = {}
        self._rate_limits = [_RateLimit(rate, rate, now) for rate in rates]

    def accept(self, now: int, data: bytes) -> Datagram | None:
        """Return the datagram if it is valid at ``now`` (microseconds of the local clock), otherwise None."""
        reason = self._rejection_reason(now, data)
        if reason is not None:
            self.rejected[reason] = self.rejected.get(reason, 0) + 1
            return None
        _, _, kind, sender, *_ = HEADER.unpack_from(data)
        return Datagram(kind, sender, data[HEADER.size : -MAC_BYTES])

    def _rejection_reason(self, now: int, data: bytes) -> str | None:
        if not HEADER.size + MAC_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
            return "size"
        magic, format_, kind, sender, receiver, incarnation, sequence = HEADER.unpack_from(data)
        if (magic, format_) != (MAGIC, FORMAT) or kind >= len(self._rate_limits):
            return "format"
        if receiver != self.replica or sender == self.replica or sender >= self.replica_count:
            return "address"
        if not hmac.compare_digest(_mac(self.secret, data[:-MAC_BYTES]), data[-MAC_BYTES:]):
            return "mac"
        if incarnation > now + MAX_CLOCK_AHEAD_US:
            return "clock"
        if not self._is_new(sender, incarnation, sequence):
            return "replay"
        return None if self._rate_limits[kind].try_take(now) else "intake"

    def _is_new(self, sender: int, incarnation: int, sequence: int) -> bool:
        peer = self._peers.get(sender)
        if peer is None or incarnation > peer.incarnation:
            self._peers[sender] = _PeerIncarnation(incarnation, sequence, 1)
            return True
        if incarnation < peer.incarnation:
            return False
        return peer.accept(sequence)

    # Hot restart

    def peer_rows(self) -> list[PeerRow]:
        """Return the receive state of each peer, so that the new process accepts no datagram twice."""
        return [
            PeerRow(
                replica,
                peer.incarnation,
                peer.latest,
                (peer.seen & REPLAY_WINDOW_MASK).to_bytes(REPLAY_WINDOW // 8, "little"),
            )
            for replica, peer in self._peers.items()
        ]

    def load_peer_rows(self, rows: list[tuple[int, int, int, bytes]]) -> None:
        """Load the receive state of another process of this gateway."""
        for replica, incarnation, latest, seen in rows:
            self._peers[replica] = _PeerIncarnation(incarnation, latest, int.from_bytes(seen, "little"))
