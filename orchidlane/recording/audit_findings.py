"""The findings of an audit of records: violations by kind, and counts of what was checked."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

MAX_NAMES_PER_VIOLATION = 20


class Violation(StrEnum):
    """The kinds of violations; the values are the names that the command prints."""

    MISSING_RESPONSE = "missing"
    DOUBLE_RESPONSE = "doubled"
    LATE_RESPONSE = "late"
    UNSAFE_RETRY = "sent again"
    REJECTED_AFTER_EXECUTION = "refused but may have run"
    SENT_AFTER_DRAIN = "sent after drain"
    UNDECIDED_ARRIVAL = "undecided"


RULE_OF = {
    Violation.MISSING_RESPONSE: "1",
    Violation.DOUBLE_RESPONSE: "1",
    Violation.LATE_RESPONSE: "1",
    Violation.UNSAFE_RETRY: "2",
    Violation.REJECTED_AFTER_EXECUTION: "2",
    Violation.SENT_AFTER_DRAIN: "3",
    Violation.UNDECIDED_ARRIVAL: "2",
}


@dataclass
class Findings:
    """Violations by kind, with the first names of each, and counts of what was checked."""

    incarnations: int = 0
    events: int = 0
    requests: int = 0
    responses: int = 0
    in_flight_at_end: int = 0  # requests open when their incarnation's record ends; clients may retry them
    late_while_stalled: int = 0  # late responses whose deadline passed while their gateway was stalled
    faults: Counter[str] = field(default_factory=Counter)
    names: dict[str, list[str]] = field(default_factory=dict)
    worst_ceiling_overshoot: float = 0.0  # as a multiple of the slack; up to 1 is allowed
    unread_segments: list[str] = field(default_factory=list)
    # A segment can't be read to its end, and not because its gateway was killed while writing it.
    damaged: bool = False
    arrivals: int = 0  # at endpoints, of attempts that gateways recorded as sent
    arrivals_after_last_entry: int = 0  # at endpoints, of attempts whose entries were lost in a crash
    last_entry_at_us: dict[str, int] = field(default_factory=dict)  # by incarnation name

    def add_fault(self, violation: Violation, name: str) -> None:
        """Count one more violation, by a request or an attempt with this name."""
        self.faults[violation.value] += 1
        names = self.names.setdefault(violation.value, [])
        if len(names) < MAX_NAMES_PER_VIOLATION:
            names.append(name)

    @property
    def rules(self) -> dict[str, bool]:
        """Whether each rule that records can prove was kept, by the rule's number."""
        broken = {RULE_OF[Violation(kind)] for kind in self.faults}
        kept = {rule: rule not in broken for rule in ("1", "2", "3")}
        kept["5"] = self.worst_ceiling_overshoot <= 1
        return kept
