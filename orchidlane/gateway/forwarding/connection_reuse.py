"""Decides which idle connections may be reused, from the losses of earlier requests. Does no I/O.

The endpoint or a middlebox may have closed an idle connection before the gateway notices; a request written
to it then counts as possibly executed. The configured idle timeout is no guarantee. So requests are counted
in classes by how long their connection had been idle (each class is twice as long as the one before), and so
are the lost requests, which got no byte of a response. Connections of a class are not reused while its loss
rate exceeds that of new connections by more than a handshake is worth. Counts decay over time, so that a
class is tried again later.
"""

from __future__ import annotations

FIRST_CLASS_IDLE_US = 16_000  # upper bound of the first idle class
IDLE_CLASS_COUNT = 12  # the last class has no upper bound: everything beyond 16 s
MAX_LOSS_SHARE = 0.02  # of requests, beyond the losses of new connections: worth a handshake
MAX_NON_IDEMPOTENT_LOSS_SHARE = 0.004
PRIOR_REQUESTS = 20.0  # without loss, added to each class so that a few losses don't decide
HALF_LIFE_US = 8_000_000
MAX_DECAY_STEPS = 64
NEW_CONNECTION = 0  # index of the class of new connections


class ReuseStatistics:
    """Counts requests and lost requests by idle class."""

    def __init__(self, now: int) -> None:
        self._requests = [0.0] * (IDLE_CLASS_COUNT + 1)
        self._losses = [0.0] * (IDLE_CLASS_COUNT + 1)
        self._decayed_at = now

    def may_reuse(self, idle_us: int, is_non_idempotent: bool, now: int) -> bool:
        """Return whether a connection that was idle for ``idle_us`` may carry a request."""
        self._decay(now)
        excess_loss = self._loss_share(_idle_class(idle_us)) - self._loss_share(NEW_CONNECTION)
        return excess_loss <= (MAX_NON_IDEMPOTENT_LOSS_SHARE if is_non_idempotent else MAX_LOSS_SHARE)

    def record(self, idle_us: int | None, was_lost: bool, now: int) -> None:
        """Count a request over a connection that was idle for ``idle_us``, None for a new connection."""
        self._decay(now)
        idle_class = NEW_CONNECTION if idle_us is None else _idle_class(idle_us)
        self._requests[idle_class] += 1
        self._losses[idle_class] += was_lost

    def _loss_share(self, idle_class: int) -> float:
        return self._losses[idle_class] / (PRIOR_REQUESTS + self._requests[idle_class])

    def _decay(self, now: int) -> None:
        while now - self._decayed_at >= HALF_LIFE_US:
            if now - self._decayed_at > MAX_DECAY_STEPS * HALF_LIFE_US:
                self._decayed_at = (
                    now - HALF_LIFE_US
                )  # after a pause of the process, or a long time without requests
            self._decayed_at += HALF_LIFE_US
            self._requests = [count / 2 for count in self._requests]
            self._losses = [count / 2 for count in self._losses]


def _idle_class(idle_us: int) -> int:
    return 1 + min(IDLE_CLASS_COUNT - 1, (max(0, idle_us) // FIRST_CLASS_IDLE_US).bit_length())
