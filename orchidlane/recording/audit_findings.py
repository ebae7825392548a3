"""What an audit of records found: violations by kind, and what was looked at."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

MAX_NAMES_PER_VIOLATION = 20


class Violation(StrEnum):
    """The kinds of violations, by the names that the command prints."""

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
    """Violations by kind, with the first few names of each; and what was looked at."""

    incarnations: int = 0
    events: int = 0
    requests: int = 0
    responses: int = 0
    in_flight_at_end: int = 0  # requests of an incarnation that ended: the client's to retry
    late_while_stalled: int = 0  # late responses whose deadline passed while their gateway was stalled
    faults: Counter[str] = field(default_factory=Counter)
    names: dict[str, list[str]] = field(default_factory=dict)
    worst_ceiling_overshoot: float = 0.0  # as a multiple of the slack: 1 is at the limit
    unread_segments: list[str] = field(default_factory=list)
    damaged: bool = False  # a segment ended early, and not because its gateway was killed while writing
    arrivals: int = 0  # at servers, found among the attempts sent
    arrivals_after_last_entry: int = 0  # at servers, lost to the crash that ended the incarnation
    last_entry_at_us: dict[str, int] = field(default_factory=dict)  # by incarnation

    def add_fault(self, violation: Violation, name: str) -> None:
        """Count one more violation."""
        self.faults[violation.value] += 1
        names = self.names.setdefault(violation.value, [])
        if len(names) < MAX_NAMES_PER_VIOLATION:
            names.append(name)

    @property
    def rules(self) -> dict[str, bool]:
        """Whether each of the rules that records can tell of was held."""
        broken = {RULE_OF[Violation(kind)] for kind in self.faults}
        held = {rule: rule not in broken for rule in ("1", "2", "3")}
        held["5"] = self.worst_ceiling_overshoot <= 1
        return held
