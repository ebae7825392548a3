"""The exact token bucket that a plan promises each customer: the reference for the gateways' counts."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1_000_000


class ReferenceQuota:
    """A token bucket that refills at a rate up to a burst, full at first; calls come in order of time."""

    __slots__ = ("burst", "rate", "units", "updated_at_us")

    def __init__(self, rate: float, burst: float, now_us: int) -> None:
        self.rate = rate  # units per second
        self.burst = burst
        self.units = burst
        self.updated_at_us = now_us

    def available_at(self, now_us: int) -> float:
        """Refill the bucket up to a time; return the units that are available then."""
        elapsed_us = max(0, now_us - self.updated_at_us)
        self.units = min(self.burst, self.units + self.rate * elapsed_us / MICROSECONDS_PER_SECOND)
        self.updated_at_us = max(self.updated_at_us, now_us)
        return self.units

    def try_consume(self, now_us: int, units: float) -> bool:
        """Consume units if all of them are available, else none; return whether they were consumed."""
        if self.available_at(now_us) < units:
            return False
        self.units -= units
        return True

    def consume(self, now_us: int, units: float) -> float:
        """Consume units even if they are not available; return by how many units the bucket is overdrawn."""
        self.units = self.available_at(now_us) - units
        return max(0.0, -self.units)
