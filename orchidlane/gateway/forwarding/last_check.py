"""The last check before the first byte of an attempt is sent. Does no I/O.

The policy decides at the time of an event; after that, connecting may take a while and the process may be
paused, so that an attempt that was allowed then would break one of the five rules now. An attempt that may no
longer be sent finishes as not sent, and the policy decides again.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from orchidlane import policy

WINDOW_MARGIN_US = 30_000  # before the end of a deduplication window, for the transfer to the endpoint


class RejectionReason(StrEnum):
    """Why an attempt may not be sent."""

    CLIENT_LEFT = "client"
    DEADLINE = "deadline"
    DRAINING = "draining"
    GONE = "gone"
    NOT_IDEMPOTENT = "unsafe"
    WINDOW = "window"


class PendingSend(NamedTuple):
    """An attempt that is about to be sent; times are in microseconds of the loop's clock.

    ``endpoint_state`` is ready, draining or gone. ``first_sent_at`` is when the request's first attempt that
    was possibly executed sent its first byte, None where there was none. ``has_client_left`` is whether the
    client's connection is closed, by the state of its socket.
    """

    endpoint_state: str
    deadline: int
    idempotency: policy.Idempotency
    deduplication_window_us: int
    first_sent_at: int | None
    has_client_left: bool


def rejection_reason(now: int, pending: PendingSend) -> RejectionReason | None:
    """Return why the attempt may no longer be sent, None where it may be."""
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
