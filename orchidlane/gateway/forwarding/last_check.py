"""The last look before the first byte of an attempt leaves. Decides without I/O.

The module decides at the time of an event; a connection may take a while to be made, and the process may
stand still between. What was right then can break a rule now. An attempt that may not leave any more ends as
never sent, which is true, and the module decides anew.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidlane import policy

MARGIN = 30_000  # microseconds before a keyed window ends: for the way to the node
CLIENT_LEFT = "client"


class Leaving(NamedTuple):
    """What is known of an attempt that is about to leave; times in microseconds.

    ``phase`` is what the list last said of the node, ``first_left`` when the first byte of the
    request's first attempt that may have run left, None where none may have; ``client_left`` is whether
    the client's connection has ended, as its socket has it.
    """

    phase: str
    give_up_at: int
    effect: policy.Idempotency
    window: int
    first_left: int | None
    client_left: bool


def why_not(now: int, leaving: Leaving) -> str | None:
    """Why the attempt may not leave any more, or None."""
    if leaving.client_left:
        return CLIENT_LEFT
    if now >= leaving.give_up_at:
        return "deadline"
    if leaving.phase != "ready":
        return leaving.phase
    if leaving.first_left is None or leaving.effect is policy.Idempotency.IDEMPOTENT:
        return None
    if leaving.effect is policy.Idempotency.NOT_IDEMPOTENT:
        return "unsafe"
    if now >= leaving.first_left + leaving.window - MARGIN:
        return "window"
    return None
