"""The five rules over what passed on the sockets, as clients, nodes and the node list saw it.

Nothing here is a gateway's own word. A gateway that was killed or stood still owes nothing for what it held
then: such tries are set aside, and counted.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from orchidlane import policy
from orchidlane.recording import ReferenceQuota
from orchidlane.recording.incarnation_audit import is_safe_to_repeat
from orchidlane.simulation.observations import (
    LIMITS_FILE,
    Arrival,
    ClientAttempt,
    EndpointNotice,
    EndpointOverload,
    Execution,
    Outage,
    QuotaAttempt,
    Record,
    UnexpectedData,
    decode,
)

MAX_NAMES = 5  # of each kind of violation in a report


class RateLimit(NamedTuple):
    """Units per second, and units at once."""

    rate: float
    burst: float


class CeilingLimit(NamedTuple):
    """A customer's ceiling, and how many units the fleet may exceed it by."""

    rate: float
    burst: float
    slack: float


class AuditLimits(msgspec.Struct, frozen=True):
    """Limits that the audit checks a run against; durations in microseconds."""

    classes: dict[str, policy.RequestClass] = msgspec.field(name="effects")  # by class name
    drain_grace_us: int = msgspec.field(name="drain_grace")
    response_slack_us: int = msgspec.field(name="answer_slack")  # a response so late still counts
    arrival_slack_us: int = msgspec.field(name="arrival_slack")  # between decision and reading at an endpoint
    ceilings: dict[int, CeilingLimit]  # by customer
    quotas: dict[int, RateLimit]  # by customer


@dataclass
class Verdict:
    """What the audit found."""

    request_count: int
    attempt_count: int
    responses: dict[str, int]
    missing_responses: list[str]
    duplicate_responses: list[str]
    late_responses: list[str]
    excused_count: int
    duplicate_effects: list[str]
    rejected_but_executed: list[str]
    sent_after_drain: list[str]
    overloaded_endpoints: list[str]
    worst_ceiling_ratio: float  # overshoot over the allowed slack: 1 is at the rule
    execution_count: int
    quota_responses: dict[str, int]
    units_used: float  # passed on over both fronts
    units_beyond_quota: float  # of them beyond the quota of one true store for each customer

    @property
    def rules(self) -> dict[str, bool]:
        """Which of the five held."""
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
            "which": {key: names[:MAX_NAMES] for key, names in violations.items() if names},
        }


def audit(records: list[Record], terms: AuditLimits) -> Verdict:
    """The verdict over one day."""
    tries = [r for r in records if isinstance(r, ClientAttempt)]
    away: dict[str, list[Outage]] = defaultdict(list)
    for record in records:
        if isinstance(record, Outage):
            away[record.process].append(record)
    owed = [t for t in tries if _owed(t, away[t.gateway], terms.response_slack_us)]
    runs = sorted((r for r in records if isinstance(r, Execution)), key=lambda run: run.at)
    arrivals = sorted((r for r in records if isinstance(r, Arrival)), key=lambda arrival: arrival.at)
    takes = [r for r in records if isinstance(r, QuotaAttempt)]
    owed_takes = [t for t in takes if _owes_reply(t, away[t.gateway], terms.response_slack_us)]
    draws = _draws(arrivals, takes)
    return Verdict(
        request_count=len({t.request for t in tries}),
        attempt_count=len(tries),
        responses=dict(sorted(Counter(str(t.status) if t.status else t.outcome for t in tries).items())),
        missing_responses=[t.name for t in owed if t.outcome != "answer"] + [t.name for t in owed_takes],
        duplicate_responses=[t.name for t in tries if t.extra_bytes]
        + [t.name for t in takes if t.extra_bytes]
        + [r.name for r in records if isinstance(r, UnexpectedData)],
        late_responses=[
            t.name
            for t in owed
            if t.outcome == "answer" and t.ended_at > t.give_up_at + terms.response_slack_us
        ],
        excused_count=len(tries) - len(owed),
        duplicate_effects=_effects_twice(runs, terms),
        rejected_but_executed=_refused_but_ran(tries, runs, terms),
        sent_after_drain=_sent_after_drain(arrivals, records, away, terms),
        overloaded_endpoints=[r.endpoint for r in records if isinstance(r, EndpointOverload)],
        worst_ceiling_ratio=_ceiling_worst(draws, terms),
        execution_count=len(runs),
        quota_responses=dict(sorted(Counter(t.outcome for t in takes).items())),
        units_used=sum(units for _, _, units in draws),
        units_beyond_quota=_beyond(draws, terms),
    )


def audit_folder(folder: str) -> tuple[Verdict, list[Arrival]] | None:
    """The verdict over a kept day, and what arrived at its nodes; None where the folder holds none.

    Raises ValueError where a file can't be read.
    """
    terms = Path(folder, LIMITS_FILE)
    if not terms.exists():
        return None
    records: list[Record] = []
    for path in sorted(Path(folder).glob("*.records")):
        try:
            records += decode(path.read_bytes())
        except msgspec.DecodeError as wrong:
            raise ValueError(f"{path}: {wrong}") from None
    try:
        known = msgspec.json.decode(terms.read_bytes(), type=AuditLimits)
    except msgspec.DecodeError as wrong:
        raise ValueError(f"{terms}: {wrong}") from None
    return audit(records, known), [one for one in records if isinstance(one, Arrival)]


def _owed(one: ClientAttempt, gaps: list[Outage], slack: int) -> bool:
    """Whether the try counts: all do that were answered in time, the others unless their gateway was away.

    One that was killed or stood still owes nothing for what it held then. One that drains owes all that it
    has taken; only a connection that it closed before a request came over it may end without a word.
    """
    if one.outcome in ("unreachable", "left"):
        return False
    if one.outcome == "answer" and one.ended_at <= one.give_up_at + slack:
        return True
    for gap in gaps:
        overlaps = gap.began_at <= one.give_up_at + slack and gap.ended_at + slack >= one.at
        if overlaps and (
            gap.reason != "drained" or (one.outcome == "reset" and one.at >= gap.began_at - slack)
        ):
            return False
    return True


def _owes_reply(one: QuotaAttempt, gaps: list[Outage], slack: int) -> bool:
    """Whether a take got no reply from a gateway that ran all the time."""
    if one.outcome not in ("silence", "reset"):
        return False
    return not any(gap.began_at <= one.ended_at + slack and gap.ended_at + slack >= one.at for gap in gaps)


def _draws(arrivals: list[Arrival], takes: list[QuotaAttempt]) -> list[tuple[int, int, float]]:
    """What was passed on over both fronts, once for each try or token: when, customer, units."""
    draws: list[tuple[int, int, float]] = []
    seen: set[str] = set()
    for arrival in arrivals:
        if arrival.client_attempt not in seen:
            seen.add(arrival.client_attempt)
            draws.append((arrival.at, arrival.customer, arrival.units))
    for take in takes:
        if take.outcome == "granted" and take.name not in seen:
            seen.add(take.name)
            draws.append((take.ended_at, take.customer, take.units))
    return sorted(draws)


def _beyond(draws: list[tuple[int, int, float]], terms: AuditLimits) -> float:
    """Units that one true store for each customer would not have held; such a draw takes nothing of it."""
    stores: dict[int, ReferenceQuota] = {}
    beyond = 0.0
    for at, customer, units in draws:
        rate, burst = terms.quotas.get(customer, (0.0, 0.0))
        if rate and not stores.setdefault(customer, ReferenceQuota(rate, burst, at)).try_draw(at, units):
            beyond += units
    return beyond


def _effects_twice(runs: list[Execution], terms: AuditLimits) -> list[str]:
    """Requests whose effect came about more than once, repeats dropped as the nodes of a cell drop them."""
    done: dict[str, list[Execution]] = defaultdict(list)
    for run in runs:
        cls = terms.classes[run.class_name]
        if cls.idempotency is policy.Idempotency.IDEMPOTENT:
            continue
        if not any(_drops(earlier, run, cls) for earlier in done[run.request]):
            done[run.request].append(run)
    return [request for request, effects in done.items() if len(effects) > 1]


def _drops(earlier: Execution, run: Execution, cls: policy.RequestClass) -> bool:
    if (
        cls.idempotency is not policy.Idempotency.IDEMPOTENT_WITH_KEY
        or run.at - earlier.at > cls.deduplication_window_us
    ):
        return False
    return cls.deduplication_scope is policy.DeduplicationScope.ALL or earlier.cell == run.cell


def _refused_but_ran(tries: list[ClientAttempt], runs: list[Execution], terms: AuditLimits) -> list[str]:
    """Answers that call a repeat harmless after the effect may have come about."""
    ran = {run.client_attempt for run in runs}
    found = []
    for one in tries:
        cls = terms.classes[one.class_name]
        if one.is_safe_to_retry and not is_safe_to_repeat(cls) and one.name in ran:
            found.append(one.name)
    return found


def _sent_after_drain(
    arrivals: list[Arrival], records: list[Record], away: dict[str, list[Outage]], terms: AuditLimits
) -> list[str]:
    """Attempts that reached a node later than the grace after their gateway was told that it goes."""
    told: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
    for record in records:
        if isinstance(record, EndpointNotice):
            told[record.gateway, record.endpoint].append((record.at, record.state))
    for news in told.values():
        news.sort()
    found = []
    for arrival in arrivals:
        gaps = away[arrival.gateway]
        born = max(
            (gap.ended_at for gap in gaps if gap.reason != "still" and gap.began_at <= arrival.at), default=0
        )
        news = [
            one
            for one in told.get((arrival.gateway, arrival.endpoint), [])
            if one[0] >= born - terms.response_slack_us
        ]
        place = bisect_right(news, (arrival.at, "~")) - 1
        if place < 0 or news[place][1] == "ready":
            continue
        while place and news[place - 1][1] != "ready":
            place -= 1  # gone after draining: the grace runs from the first word
        at = _awake(news[place][0], gaps)
        if (
            _sent_by(arrival, away[arrival.endpoint], terms.arrival_slack_us)
            > at + terms.drain_grace_us + terms.arrival_slack_us
        ):
            found.append(arrival.attempt)
    return found


def _sent_by(arrival: Arrival, gaps: list[Outage], slack: int) -> int:
    """The earliest that an attempt may have reached a node, which reads late after it stood still."""
    still = [gap.began_at for gap in gaps if gap.began_at <= arrival.at <= gap.ended_at + slack]
    return min(still, default=arrival.at)


def _awake(at: int, gaps: list[Outage]) -> int:
    """When a gateway that stood still could hear."""
    for gap in gaps:
        if gap.began_at <= at <= gap.ended_at:
            at = gap.ended_at
    return at


def _ceiling_worst(draws: list[tuple[int, int, float]], terms: AuditLimits) -> float:
    """The deepest that any ceiling's store went below nothing, over its slack."""
    stores: dict[int, ReferenceQuota] = {}
    worst = 0.0
    for at, customer, units in draws:
        ceiling = terms.ceilings.get(customer)
        if ceiling is None:
            continue
        rate, burst, slack = ceiling
        below = stores.setdefault(customer, ReferenceQuota(rate, burst, at)).draw(at, units)
        worst = max(worst, below / slack)
    return worst
