"""The one true store that a plan promises each customer: what every gateway's counts are measured against."""

from __future__ import annotations

SECOND = 1_000_000  # microseconds


class TrueStore:
    """Units that fill at a rate up to a burst; full at first. Draw in the order of time."""

    __slots__ = ("burst", "rate", "since", "units")

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.rate = rate  # units a second
        self.burst = burst
        self.units = burst
        self.since = now

    def at(self, now: int) -> float:
        """The units that are there at a time; that is where the store stands then."""
        self.units = min(self.burst, self.units + self.rate * max(0, now - self.since) / SECOND)
        self.since = max(self.since, now)
        return self.units

    def take(self, now: int, units: float) -> bool:
        """Draw units if they are all there; else nothing is drawn."""
        if self.at(now) < units:
            return False
        self.units -= units
        return True

    def force(self, now: int, units: float) -> float:
        """Draw units whether they are there or not; how far the store is below nothing then."""
        self.units = self.at(now) - units
        return max(0.0, -self.units)
