"""The audit of a run: five rules over what clients, endpoints and discovery observed on their sockets.

The audit uses no data that a gateway reports about itself. A gateway that was killed or suspended need not
respond to the attempts that were in flight at that time: they are excused, and the report has their number.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec

from orchidlane.simulation import drain_audit, execution_audit, quota_audit, response_audit
from orchidlane.simulation.audit_limits import AuditLimits
from orchidlane.simulation.observations import (
    LIMITS_FILE,
    RECORD_FILES,
    Arrival,
    ClientAttempt,
    EndpointOverload,
    Execution,
    QuotaAttempt,
    Record,
    decode,
)
from orchidlane.simulation.outages import Outages

MAX_EXAMPLES = 5  # attempts or requests that a report names for each kind of violation
TimedRecord = TypeVar("TimedRecord", Arrival, Execution)


@dataclass
class Verdict:
    """What the audit found; each list names the attempts, requests or endpoints that violate a rule."""

    request_count: int
    attempt_count: int
    responses: dict[str, int]  # number of attempts by status, or by outcome without a response
    missing_responses: list[str]
    duplicate_responses: list[str]
    late_responses: list[str]
    excused_count: int  # attempts that rule 1 does not check
    duplicate_effects: list[str]
    rejected_but_executed: list[str]
    sent_after_drain: list[str]
    overloaded_endpoints: list[str]
    worst_ceiling_ratio: float  # largest excess over a ceiling, divided by its slack: above 1 violates rule 5
    execution_count: int
    quota_responses: dict[str, int]  # number of quota attempts by outcome
    units_used: float  # units granted over HTTP and RESP
    units_beyond_quota: float  # part of units_used that one exact store per customer would not have granted

    @property
    def rules(self) -> dict[str, bool]:
        """Whether each of the five rules held, by its number."""
        return {
            "1": not (self.missing_responses or self.duplicate_responses or self.late_responses),
            "2": not (self.duplicate_effects or self.rejected_but_executed),
            "3": not self.sent_after_drain,
            "4": not self.overloaded_endpoints,
            "5": self.worst_ceiling_ratio <= 1,
        }

    def as_json(self) -> dict[str, Any]:
        """Return the report of ``orchidlane day --json``: counts, and examples of each violation."""
        violations = {
            "missing": self.missing_responses,
            "doubled": self.duplicate_responses,
            "late": self.late_responses,
            "effects_twice": self.duplicate_effects,
            "refused_but_ran": self.rejected_but_executed,
            "sent_after_drain": self.sent_after_drain,
        }
        return {
            "requests": self.request_count,
            "tries": self.attempt_count,
            "answers": self.responses,
            **{key: len(names) for key, names in violations.items()},
            "fell_over": len(self.overloaded_endpoints),
            "set_aside": self.excused_count,
            "runs": self.execution_count,
            "takes": self.quota_responses,
            "units": self.units_used,
            "units_beyond_quota": round(self.units_beyond_quota, 1),
            "ceiling_worst": round(self.worst_ceiling_ratio, 3),
            "rules": self.rules,
            "which": {key: names[:MAX_EXAMPLES] for key, names in violations.items() if names},
        }


class AuditedFolder(NamedTuple):
    """The verdict on a run that was saved to a folder, and the attempts that arrived at its endpoints."""

    verdict: Verdict
    arrivals: list[Arrival]


def audit(records: list[Record], limits: AuditLimits) -> Verdict:
    """Return the verdict on the records of one run."""
    attempts = [record for record in records if isinstance(record, ClientAttempt)]
    quota_attempts = [record for record in records if isinstance(record, QuotaAttempt)]
    executions = _sorted_by_time([record for record in records if isinstance(record, Execution)])
    arrivals = _sorted_by_time([record for record in records if isinstance(record, Arrival)])
    outages = Outages(records)
    responses = response_audit.check_responses(records, outages, limits)
    grants = quota_audit.collect_grants(arrivals, quota_attempts)
    return Verdict(
        request_count=len({attempt.request for attempt in attempts}),
        attempt_count=len(attempts),
        responses=_count(_status_or_outcome(attempt) for attempt in attempts),
        missing_responses=responses.missing,
        duplicate_responses=responses.duplicate,
        late_responses=responses.late,
        excused_count=responses.excused_count,
        duplicate_effects=execution_audit.find_duplicate_effects(executions, limits),
        rejected_but_executed=execution_audit.find_rejected_but_executed(attempts, executions, limits),
        sent_after_drain=drain_audit.find_sent_after_drain(arrivals, records, outages, limits),
        overloaded_endpoints=[record.endpoint for record in records if isinstance(record, EndpointOverload)],
        worst_ceiling_ratio=quota_audit.worst_ceiling_ratio(grants, limits),
        execution_count=len(executions),
        quota_responses=_count(attempt.outcome.value for attempt in quota_attempts),
        units_used=sum(grant.units for grant in grants),
        units_beyond_quota=quota_audit.units_beyond_quota(grants, limits),
    )


def audit_folder(folder: str) -> AuditedFolder | None:
    """Return the verdict on a run that was saved to a folder; None if the folder has no saved run.

    Raises ValueError if a file can't be decoded.
    """
    limits_path = Path(folder, LIMITS_FILE)
    if not limits_path.exists():
        return None
    records: list[Record] = []
    for path in sorted(Path(folder).glob(RECORD_FILES)):
        try:
            records += decode(path.read_bytes())
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}: {error}") from None
    try:
        limits = msgspec.json.decode(limits_path.read_bytes(), type=AuditLimits)
    except msgspec.DecodeError as error:
        raise ValueError(f"{limits_path}: {error}") from None
    arrivals = [record for record in records if isinstance(record, Arrival)]
    return AuditedFolder(audit(records, limits), arrivals)


def _sorted_by_time(records: list[TimedRecord]) -> list[TimedRecord]:
    return sorted(records, key=lambda record: record.at)


def _status_or_outcome(attempt: ClientAttempt) -> str:
    return str(attempt.status) if attempt.status else attempt.outcome.value


def _count(names: Iterable[str]) -> dict[str, int]:
    return dict(sorted(Counter(names).items()))
