"""The last check before the first byte of an attempt is sent. Does no I/O.

The policy decides at the time of an event; then a connection may take a while to be made, and the process may
stand still. What was right at the decision can break a rule now. An attempt that may not be sent any more
ends as never sent, which is true, and the policy decides anew.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from orchidlane import policy

WINDOW_MARGIN_US = 30_000  # before a deduplication window ends: for the way to the endpoint


class RejectionReason(StrEnum):
    """Why an attempt may not be sent."""

    CLIENT_LEFT = "client"
    DEADLINE = "deadline"
    DRAINING = "draining"
    GONE = "gone"
    NOT_IDEMPOTENT = "unsafe"
    WINDOW = "window"


class PendingSend(NamedTuple):
    """What is known of an attempt that is about to be sent; times in microseconds.

    ``endpoint_state`` is ready, draining or gone. ``first_sent_at`` is when the first byte was sent of the
    request's first attempt that was possibly executed, None where none was. ``has_client_left`` is whether
    the client's connection has ended, by the state of its socket.
    """

    endpoint_state: str
    deadline: int
    idempotency: policy.Idempotency
    deduplication_window_us: int
    first_sent_at: int | None
    has_client_left: bool


def rejection_reason(now: int, pending: PendingSend) -> RejectionReason | None:
    """Return why the attempt may not be sent any more, or None."""
    if pending.has_client_left:
        return RejectionReason.CLIENT_LEFT
    if now >= pending.deadline:
        return RejectionReason.DEADLINE
    if pending.endpoint_state != "ready":
        return RejectionReason(pending.endpoint_state)
    if pending.first_sent_at is None or pending.idempotency is policy.Idempotency.IDEMPOTENT:
        return None
    if pending.idempotency is policy.Idempotency.NOT_IDEMPOTENT:
        return RejectionReason.NOT_IDEMPOTENT
    if now >= pending.first_sent_at + pending.deduplication_window_us - WINDOW_MARGIN_US:
        return RejectionReason.WINDOW
    return None
