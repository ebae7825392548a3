"""Audits the traffic records of all gateways: checks the rules on their entries, merged in order of time.

The simulation's audit observes the sockets of clients and endpoints. This audit has only the gateways'
records, as an operator has them from a real fleet, so it checks the rules that these records can prove:
rules 1, 2, 3 and 5. Rule 4 needs the endpoints' records. Where endpoints kept records too, every arrival
there is looked up among the attempts sent; an arrival that no policy decided on is an ``UNDECIDED_ARRIVAL``.
Memory is in proportion to the requests in flight and the customers, plus the set of all attempts where
endpoints' records are compared.
"""

from __future__ import annotations

import contextlib
import heapq
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from orchidlane import policy
from orchidlane.recording.audit_findings import Findings, Violation
from orchidlane.recording.errors import TruncatedHeaderError
from orchidlane.recording.incarnation_audit import IncarnationAudit
from orchidlane.recording.reference_quota import ReferenceQuota
from orchidlane.recording.replay import group_by_incarnation
from orchidlane.recording.segment_reader import Entry, SegmentReader

MIN_SLACK_UNITS = 1e-9  # divisor for a plan without slack


class _Step(NamedTuple):
    """One entry of a record, with the audit of the incarnation that recorded it."""

    at_us: int
    incarnation: IncarnationAudit
    entry: Entry


def audit_records(paths: list[str], arrivals: Iterable[tuple[str, int]] | None = None) -> Findings:
    """Check the rules on the segments of all gateways. Raises FormatError.

    ``arrivals`` are the names of the attempts that endpoints received, with the time in microseconds. The
    clocks of all machines are assumed to agree.
    """
    findings = Findings()
    ceilings = _CeilingAudit()
    sent_attempts: set[str] | None = set() if arrivals is not None else None
    with contextlib.ExitStack() as stack:
        streams = [
            _read_incarnation(group, findings, sent_attempts, stack) for group in group_by_incarnation(paths)
        ]
        for _, incarnation, entry in heapq.merge(*streams, key=lambda step: step.at_us):
            incarnation.feed(entry)
            ceilings.feed(incarnation, entry)
    findings.worst_ceiling_overshoot = ceilings.worst_overshoot
    if arrivals is not None:
        assert sent_attempts is not None
        _check_arrivals(arrivals, sent_attempts, findings)
    return findings


def _check_arrivals(arrivals: Iterable[tuple[str, int]], sent_attempts: set[str], findings: Findings) -> None:
    for attempt_name, arrived_at_us in arrivals:
        incarnation_name = attempt_name.rsplit("-", 2)[0]
        if attempt_name in sent_attempts:
            findings.arrivals += 1
        elif arrived_at_us > findings.last_entry_at_us.get(incarnation_name, arrived_at_us):
            findings.arrivals_after_last_entry += 1
        else:
            findings.add_fault(Violation.UNDECIDED_ARRIVAL, attempt_name)


def _read_incarnation(
    paths: list[str], findings: Findings, sent_attempts: set[str] | None, stack: contextlib.ExitStack
) -> Iterator[_Step]:
    """Yield the entries of one incarnation in order of time, up to a segment that can't be read."""
    incarnation: IncarnationAudit | None = None
    now = 0
    for path in paths:
        try:
            reader = stack.enter_context(SegmentReader(path))
        except TruncatedHeaderError as error:
            findings.unread_segments.append(str(error))
            findings.damaged = True
            break
        if incarnation is None:
            incarnation = IncarnationAudit(reader.header, findings, sent_attempts)
            findings.incarnations += 1
        for entry in reader.entries():
            now = entry.at_us
            yield _Step(now, incarnation, entry)
        if reader.damage is not None:
            findings.unread_segments.append(str(reader.damage))
            findings.damaged = findings.damaged or not reader.damage.truncated
            break
    if incarnation is not None:
        incarnation.finish(now)


class _CeilingAudit:
    """Checks each customer's ceiling against what all gateways admitted together."""

    def __init__(self) -> None:
        self.worst_overshoot = 0.0  # as a multiple of the slack
        self._quotas: dict[int, ReferenceQuota] = {}

    def feed(self, incarnation: IncarnationAudit, entry: Entry) -> None:
        """Count the units that an entry admits; ``incarnation`` must have checked the entry before."""
        for action in entry.actions:
            match action:
                case policy.GrantQuota():
                    if isinstance(entry.event, policy.QuotaRequested):
                        self._consume(incarnation.settings, entry.event, entry.at_us)
                case policy.SendAttempt():
                    request = incarnation.open_requests.get(action.request)
                    if request is not None and len(request.attempts) == 1:
                        self._consume(incarnation.settings, request.event, entry.at_us)

    def _consume(
        self, settings: policy.Settings, event: policy.RequestArrived | policy.QuotaRequested, now: int
    ) -> None:
        plan = settings.plans[event.plan]
        if not plan.ceiling_rate:
            return
        quota = self._quotas.get(event.customer)
        if quota is None:
            quota = ReferenceQuota(plan.ceiling_rate, plan.ceiling_burst, now)
            self._quotas[event.customer] = quota
        overdrawn_units = quota.consume(now, event.units)
        self.worst_overshoot = max(
            self.worst_overshoot, overdrawn_units / (plan.ceiling_slack or MIN_SLACK_UNITS)
        )
