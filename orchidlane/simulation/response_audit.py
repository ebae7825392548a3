"""Rule 1: each attempt gets exactly one response, in time."""

from __future__ import annotations

from typing import NamedTuple

from orchidlane.simulation.audit_limits import AuditLimits
from orchidlane.simulation.observations import (
    AttemptOutcome,
    ClientAttempt,
    OutageReason,
    QuotaAttempt,
    QuotaOutcome,
    Record,
    UnexpectedData,
)
from orchidlane.simulation.outages import Outages


class ResponseFindings(NamedTuple):
    """Names of attempts without, with several or with a late response; number of attempts not checked."""

    missing: list[str]
    duplicate: list[str]
    late: list[str]
    excused_count: int


def check_responses(records: list[Record], outages: Outages, limits: AuditLimits) -> ResponseFindings:
    """Check the responses of HTTP and the replies of RESP."""
    slack_us = limits.response_slack_us
    attempts = [record for record in records if isinstance(record, ClientAttempt)]
    quota_attempts = [record for record in records if isinstance(record, QuotaAttempt)]
    checked = [attempt for attempt in attempts if _is_checked(attempt, outages, slack_us)]
    answered = [attempt for attempt in checked if attempt.outcome is AttemptOutcome.ANSWERED]
    unanswered = [attempt for attempt in checked if attempt.outcome is not AttemptOutcome.ANSWERED]
    unanswered_quota = [attempt for attempt in quota_attempts if _lacks_reply(attempt, outages, slack_us)]
    return ResponseFindings(
        missing=[
            *(attempt.name for attempt in unanswered),
            *(attempt.name for attempt in unanswered_quota),
        ],
        duplicate=[
            *(attempt.name for attempt in attempts if attempt.extra_bytes),
            *(attempt.name for attempt in quota_attempts if attempt.extra_bytes),
            *(record.name for record in records if isinstance(record, UnexpectedData)),
        ],
        late=[attempt.name for attempt in answered if attempt.finished_at > attempt.give_up_at + slack_us],
        excused_count=len(attempts) - len(checked),
    )


def _is_checked(attempt: ClientAttempt, outages: Outages, slack_us: int) -> bool:
    """Return whether rule 1 checks an attempt: it was answered in time, or its gateway served all the time.

    A gateway that drains must respond to every request that it has accepted. Only a connection that it closed
    before a request arrived on it may be without a response.
    """
    if attempt.outcome in (AttemptOutcome.UNREACHABLE, AttemptOutcome.CLIENT_LEFT):
        return False
    deadline = attempt.give_up_at + slack_us
    if attempt.outcome is AttemptOutcome.ANSWERED and attempt.finished_at <= deadline:
        return True
    for outage in outages.overlapping(attempt.gateway, attempt.at - slack_us, deadline):
        was_reset = attempt.outcome is AttemptOutcome.RESET and attempt.at >= outage.began_at - slack_us
        if outage.reason is not OutageReason.DRAINED or was_reset:
            return False
    return True


def _lacks_reply(attempt: QuotaAttempt, outages: Outages, slack_us: int) -> bool:
    """Return whether an attempt has no reply although its gateway served all the time."""
    if attempt.outcome not in (QuotaOutcome.TIMED_OUT, QuotaOutcome.RESET):
        return False
    return not outages.overlapping(attempt.gateway, attempt.at - slack_us, attempt.finished_at + slack_us)
