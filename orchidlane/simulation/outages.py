"""The times at which gateways and endpoints of a run did not serve, for the rules of the audit."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from orchidlane.simulation.observations import Outage, OutageReason, Record


class Outages:
    """The outages of each process, in the order of the records."""

    def __init__(self, records: Iterable[Record]) -> None:
        self._by_process: dict[str, list[Outage]] = defaultdict(list)
        for record in records:
            if isinstance(record, Outage):
                self._by_process[record.process].append(record)

    def of(self, process: str) -> list[Outage]:
        """Return the outages of a process."""
        return self._by_process.get(process, [])

    def overlapping(self, process: str, start: int, end: int) -> list[Outage]:
        """Return the outages of a process that overlap an interval, whose ends belong to it."""
        return [outage for outage in self.of(process) if outage.began_at <= end and outage.ended_at >= start]

    def last_start(self, process: str, at: int) -> int:
        """Return the end of the latest restart that began by ``at``; 0 if the process was never restarted."""
        starts = [
            outage.ended_at
            for outage in self.of(process)
            if outage.reason is not OutageReason.FROZEN and outage.began_at <= at
        ]
        return max(starts, default=0)

    def next_running(self, process: str, at: int) -> int:
        """Return the first time from ``at`` on at which a process runs."""
        for outage in self.of(process):
            if outage.began_at <= at <= outage.ended_at:
                at = outage.ended_at
        return at
