"""Bodies of calls to the admin address and of their answers, in MessagePack; field names are those sent."""

from __future__ import annotations

import msgspec

from orchidlane.rollout.replicated_state import HistoryEntry
from orchidlane.rollout.version import ContentHashes, Version


class CommandRequest(msgspec.Struct, frozen=True):
    """A command; ``base`` is the latest version that its author knew of.

    ``command_id`` makes it idempotent; ``action`` is "propose", "stop" or "resume". A gateway that does not
    lead forwards it once.
    """

    command_id: str = msgspec.field(name="id")
    action: str = msgspec.field(name="do")
    base: int
    author: str = ""
    reason: str = ""
    contents: ContentHashes | None = msgspec.field(default=None, name="parts")
    reverts: int = msgspec.field(default=0, name="undoes")
    followed_by: tuple[ContentHashes, ...] = msgspec.field(default=(), name="then")
    is_forwarded: bool = msgspec.field(default=False, name="passed_on")


class CommandOutcome(msgspec.Struct, frozen=True):
    """What became of a command; a retryable one may be sent again and is carried out once at most."""

    is_accepted: bool = msgspec.field(name="taken")
    reason: str = msgspec.field(default="", name="why")
    is_retryable: bool = msgspec.field(default=False, name="again")


class GatewayStatus(msgspec.Struct, frozen=True):
    """What the leader knows of one gateway; durations in microseconds, -1: it did not report."""

    rank: int
    running_number: int = msgspec.field(default=-1, name="runs")
    target_number: int = msgspec.field(default=-1, name="wanted")
    reason: str = msgspec.field(default="", name="why")
    last_seen_us_ago: int = msgspec.field(default=-1, name="heard")
    running_for_us: int = msgspec.field(default=-1, name="since")  # at least


class RolloutStatus(msgspec.Struct, frozen=True):
    """The state of fleet versions, as the answering gateway knows it.

    ``confirmed_us_ago``: when a quorum confirmed it, -1: never. ``rejection_reason``: why this gateway
    rejects requests, "" where it serves. ``gateways`` is empty unless the gateway leads.
    """

    gateway: int
    is_leader: bool = msgspec.field(name="leads")
    term: int
    leader: int
    confirmed_us_ago: int = msgspec.field(name="confirmed")
    rejection_reason: str = msgspec.field(name="serves")
    running_version: str = msgspec.field(name="running")
    index: int
    current_version: Version | None = msgspec.field(name="current")
    rollout_version: Version | None = msgspec.field(name="change")
    phase: str = msgspec.field(name="stage")
    pause_reason: str = msgspec.field(name="paused")
    halted_version: Version | None = msgspec.field(name="halted")
    history: tuple[HistoryEntry, ...]
    member_ranks: tuple[int, ...] = msgspec.field(name="seats")
    votes: dict[int, str]
    gateways: tuple[GatewayStatus, ...]
