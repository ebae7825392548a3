"""Bodies of rollout API requests and responses in MessagePack; ``name=`` is a field's name in the message."""

from __future__ import annotations

import msgspec

from orchidlane.rollout.replicated_state import HistoryEntry
from orchidlane.rollout.version import ContentHashes, Version


class CommandRequest(msgspec.Struct, frozen=True):
    """A command; ``base`` is the number of the latest version that its author had seen.

    A command is carried out at most once per ``command_id``. ``action`` is "propose", "stop" or "resume".
    A gateway that is not the leader sets ``is_forwarded`` and sends the command on to the leader.
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
    """The outcome of a command; a retryable one may be sent again and is carried out at most once."""

    is_accepted: bool = msgspec.field(name="taken")
    reason: str = msgspec.field(default="", name="why")
    is_retryable: bool = msgspec.field(default=False, name="again")


class GatewayStatus(msgspec.Struct, frozen=True):
    """What the leader knows about one gateway; durations in microseconds, -1 if it has not reported."""

    rank: int
    running_number: int = msgspec.field(default=-1, name="runs")
    target_number: int = msgspec.field(default=-1, name="wanted")
    reason: str = msgspec.field(default="", name="why")
    last_seen_us_ago: int = msgspec.field(default=-1, name="heard")
    running_for_us: int = msgspec.field(
        default=-1, name="since"
    )  # lower bound, since its first report of this version


class RolloutStatus(msgspec.Struct, frozen=True):
    """The state of the fleet's versions as the responding gateway knows it.

    ``confirmed_us_ago``: microseconds since a quorum last confirmed this state, -1 if never.
    ``rejection_reason``: why this gateway rejects requests, "" if it serves them.
    ``gateways``: empty unless the responding gateway is the leader.
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
