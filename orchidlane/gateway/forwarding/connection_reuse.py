"""Decides which idle connections are reused, by what became of earlier requests over such ones. No I/O.

An idle connection may be closed by the other side, or by something between, without our knowledge; a request
written to it was then possibly executed. How long connections really last differs from what is agreed. So the
requests are counted by how long their connection had been idle, in classes of doubling length, and of these
the ones that ended without a byte of a response. Once an idle class loses more than new connections do, by a
share that is worth a handshake, connections of that class are not reused. Counts decay, so that a class is
tried again some time later.
"""

from __future__ import annotations

SHORTEST_IDLE_US = 16_000  # bound of the first class
IDLE_CLASSES = 12  # the last one is for everything beyond 16 s
MAX_LOSS_SHARE = 0.02  # of requests: what a new connection costs
MAX_NON_IDEMPOTENT_LOSS_SHARE = 0.004
PRIOR_REQUESTS = 20.0  # without loss, that each class starts with
HALF_LIFE_US = 8_000_000
MAX_DECAY_STEPS = 64
NEW_CONNECTION = 0  # the class of new connections


class ReuseStatistics:
    """Counts requests and losses by idle class."""

    def __init__(self, now: int) -> None:
        self._requests = [0.0] * (IDLE_CLASSES + 1)
        self._losses = [0.0] * (IDLE_CLASSES + 1)
        self._decayed_at = now

    def may_reuse(self, idle_us: int, is_non_idempotent: bool, now: int) -> bool:
        """Return whether a connection that was idle for so long may carry a request."""
        self._decay(now)
        excess_loss = self._loss_share(_idle_class(idle_us)) - self._loss_share(NEW_CONNECTION)
        return excess_loss <= (MAX_NON_IDEMPOTENT_LOSS_SHARE if is_non_idempotent else MAX_LOSS_SHARE)

    def record(self, idle_us: int | None, was_lost: bool, now: int) -> None:
        """Count a request over a connection that was idle for so long, None for a new one."""
        self._decay(now)
        idle_class = NEW_CONNECTION if idle_us is None else _idle_class(idle_us)
        self._requests[idle_class] += 1
        self._losses[idle_class] += was_lost

    def _loss_share(self, idle_class: int) -> float:
        return self._losses[idle_class] / (PRIOR_REQUESTS + self._requests[idle_class])

    def _decay(self, now: int) -> None:
        while now - self._decayed_at >= HALF_LIFE_US:
            if now - self._decayed_at > MAX_DECAY_STEPS * HALF_LIFE_US:
                self._decayed_at = now - HALF_LIFE_US  # after a standstill, or a long time without requests
            self._decayed_at += HALF_LIFE_US
            self._requests = [count / 2 for count in self._requests]
            self._losses = [count / 2 for count in self._losses]


def _idle_class(idle_us: int) -> int:
    return 1 + min(IDLE_CLASSES - 1, (max(0, idle_us) // SHORTEST_IDLE_US).bit_length())
