"""When the gateways and endpoints of a run did not serve, as the audit excuses it."""

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

    def overlapping(self, process: str, begin: int, end: int) -> list[Outage]:
        """Return the outages of a process that have a time in common with this interval."""
        return [outage for outage in self.of(process) if outage.began_at <= end and outage.ended_at >= begin]

    def last_start(self, process: str, at: int) -> int:
        """Return when a process last started before a time; 0 if it runs since the begin."""
        starts = [
            outage.ended_at
            for outage in self.of(process)
            if outage.reason is not OutageReason.FROZEN and outage.began_at <= at
        ]
        return max(starts, default=0)

    def next_running(self, process: str, at: int) -> int:
        """Return the first time from ``at`` on that a process runs."""
        for outage in self.of(process):
            if outage.began_at <= at <= outage.ended_at:
                at = outage.ended_at
        return at
