"""The five rules over what passed on the sockets, as clients, nodes and the node list saw it.

Nothing here is a gateway's own word. A gateway that was killed or stood still owes nothing for what it held
then: such tries are set aside, and counted.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from orchidlane import policy
from orchidlane.recording import ReferenceQuota
from orchidlane.recording.incarnation_audit import is_safe_to_repeat
from orchidlane.simulation.observations import (
    TERMS,
    Arrival,
    Away,
    Extra,
    Fell,
    Record,
    Run,
    Take,
    Told,
    Try,
    decode,
)


@dataclass(frozen=True, slots=True)
class Terms:
    """What the rules' figures are; spans in microseconds."""

    effects: dict[str, policy.RequestClass]  # by class name
    drain_grace: int
    answer_slack: int  # a final answer so late still counts: the way back
    arrival_slack: int  # between a gateway's decision and a node's reading
    ceilings: dict[int, tuple[float, float, float]]  # customer -> rate, burst, slack
    quotas: dict[int, tuple[float, float]]  # customer -> rate, burst


@dataclass
class Verdict:
    """What the audit found."""

    requests: int
    tries: int
    answers: dict[str, int]
    missing: list[str]
    doubled: list[str]
    late: list[str]
    set_aside: int
    effects_twice: list[str]
    refused_but_ran: list[str]
    sent_after_drain: list[str]
    fell_over: list[str]
    ceiling_worst: float  # overshoot over the allowed slack: 1 is at the rule
    runs: int
    takes: dict[str, int]
    units: float  # passed on over both fronts
    beyond: float  # of them beyond the quota of one true store for each customer

    @property
    def rules(self) -> dict[str, bool]:
        """Which of the five held."""
        return {
            "1": not (self.missing or self.doubled or self.late),
            "2": not (self.effects_twice or self.refused_but_ran),
            "3": not self.sent_after_drain,
            "4": not self.fell_over,
            "5": self.ceiling_worst <= 1,
        }

    def as_json(self) -> dict[str, Any]:
        """Counts, with the first few names of what went wrong."""
        lists = ("missing", "doubled", "late", "effects_twice", "refused_but_ran", "sent_after_drain")
        found: dict[str, Any] = {"requests": self.requests, "tries": self.tries, "answers": self.answers}
        found |= {name: len(getattr(self, name)) for name in lists}
        found |= {"fell_over": len(self.fell_over), "set_aside": self.set_aside, "runs": self.runs}
        found |= {"takes": self.takes, "units": self.units, "units_beyond_quota": round(self.beyond, 1)}
        found |= {"ceiling_worst": round(self.ceiling_worst, 3), "rules": self.rules}
        found["which"] = {name: getattr(self, name)[:5] for name in lists if getattr(self, name)}
        return found


def audit(records: list[Record], terms: Terms) -> Verdict:
    """The verdict over one day."""
    tries = [r for r in records if isinstance(r, Try)]
    away: dict[str, list[Away]] = defaultdict(list)
    for record in records:
        if isinstance(record, Away):
            away[record.who].append(record)
    owed = [t for t in tries if _owed(t, away[t.gateway], terms.answer_slack)]
    runs = sorted((r for r in records if isinstance(r, Run)), key=lambda run: run.at)
    arrivals = sorted((r for r in records if isinstance(r, Arrival)), key=lambda arrival: arrival.at)
    takes = [r for r in records if isinstance(r, Take)]
    owed_takes = [t for t in takes if _owes_reply(t, away[t.gateway], terms.answer_slack)]
    draws = _draws(arrivals, takes)
    return Verdict(
        requests=len({t.request for t in tries}),
        tries=len(tries),
        answers=dict(sorted(Counter(str(t.status) if t.status else t.end for t in tries).items())),
        missing=[t.name for t in owed if t.end != "answer"] + [t.name for t in owed_takes],
        doubled=[t.name for t in tries if t.extra]
        + [t.name for t in takes if t.extra]
        + [r.name for r in records if isinstance(r, Extra)],
        late=[t.name for t in owed if t.end == "answer" and t.ended > t.by + terms.answer_slack],
        set_aside=len(tries) - len(owed),
        effects_twice=_effects_twice(runs, terms),
        refused_but_ran=_refused_but_ran(tries, runs, terms),
        sent_after_drain=_sent_after_drain(arrivals, records, away, terms),
        fell_over=[r.node for r in records if isinstance(r, Fell)],
        ceiling_worst=_ceiling_worst(draws, terms),
        runs=len(runs),
        takes=dict(sorted(Counter(t.end for t in takes).items())),
        units=sum(units for _, _, units in draws),
        beyond=_beyond(draws, terms),
    )


def audit_folder(folder: str) -> tuple[Verdict, list[Arrival]] | None:
    """The verdict over a kept day, and what arrived at its nodes; None where the folder holds none.

    Raises ValueError where a file can't be read.
    """
    terms = Path(folder, TERMS)
    if not terms.exists():
        return None
    records: list[Record] = []
    for path in sorted(Path(folder).glob("*.records")):
        try:
            records += decode(path.read_bytes())
        except msgspec.DecodeError as wrong:
            raise ValueError(f"{path}: {wrong}") from None
    try:
        known = msgspec.json.decode(terms.read_bytes(), type=Terms)
    except msgspec.DecodeError as wrong:
        raise ValueError(f"{terms}: {wrong}") from None
    return audit(records, known), [one for one in records if isinstance(one, Arrival)]


def _owed(one: Try, gaps: list[Away], slack: int) -> bool:
    """Whether the try counts: all do that were answered in time, the others unless their gateway was away.

    One that was killed or stood still owes nothing for what it held then. One that drains owes all that it
    has taken; only a connection that it closed before a request came over it may end without a word.
    """
    if one.end in ("unreachable", "left"):
        return False
    if one.end == "answer" and one.ended <= one.by + slack:
        return True
    for gap in gaps:
        overlaps = gap.begin <= one.by + slack and gap.end + slack >= one.at
        if overlaps and (gap.why != "drained" or (one.end == "reset" and one.at >= gap.begin - slack)):
            return False
    return True


def _owes_reply(one: Take, gaps: list[Away], slack: int) -> bool:
    """Whether a take got no reply from a gateway that ran all the time."""
    if one.end not in ("silence", "reset"):
        return False
    return not any(gap.begin <= one.ended + slack and gap.end + slack >= one.at for gap in gaps)


def _draws(arrivals: list[Arrival], takes: list[Take]) -> list[tuple[int, int, float]]:
    """What was passed on over both fronts, once for each try or token: when, customer, units."""
    draws: list[tuple[int, int, float]] = []
    seen: set[str] = set()
    for arrival in arrivals:
        if arrival.attempt_of not in seen:
            seen.add(arrival.attempt_of)
            draws.append((arrival.at, arrival.customer, arrival.units))
    for take in takes:
        if take.end == "granted" and take.name not in seen:
            seen.add(take.name)
            draws.append((take.ended, take.customer, take.units))
    return sorted(draws)


def _beyond(draws: list[tuple[int, int, float]], terms: Terms) -> float:
    """Units that one true store for each customer would not have held; such a draw takes nothing of it."""
    stores: dict[int, ReferenceQuota] = {}
    beyond = 0.0
    for at, customer, units in draws:
        rate, burst = terms.quotas.get(customer, (0.0, 0.0))
        if rate and not stores.setdefault(customer, ReferenceQuota(rate, burst, at)).try_draw(at, units):
            beyond += units
    return beyond


def _effects_twice(runs: list[Run], terms: Terms) -> list[str]:
    """Requests whose effect came about more than once, repeats dropped as the nodes of a cell drop them."""
    done: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        cls = terms.effects[run.class_name]
        if cls.idempotency is policy.Idempotency.IDEMPOTENT:
            continue
        if not any(_drops(earlier, run, cls) for earlier in done[run.request]):
            done[run.request].append(run)
    return [request for request, effects in done.items() if len(effects) > 1]


def _drops(earlier: Run, run: Run, cls: policy.RequestClass) -> bool:
    if (
        cls.idempotency is not policy.Idempotency.IDEMPOTENT_WITH_KEY
        or run.at - earlier.at > cls.deduplication_window_us
    ):
        return False
    return cls.deduplication_scope is policy.DeduplicationScope.ALL or earlier.cell == run.cell


def _refused_but_ran(tries: list[Try], runs: list[Run], terms: Terms) -> list[str]:
    """Answers that call a repeat harmless after the effect may have come about."""
    ran = {run.attempt_of for run in runs}
    found = []
    for one in tries:
        cls = terms.effects[one.class_name]
        if one.harmless and not is_safe_to_repeat(cls) and one.name in ran:
            found.append(one.name)
    return found


def _sent_after_drain(
    arrivals: list[Arrival], records: list[Record], away: dict[str, list[Away]], terms: Terms
) -> list[str]:
    """Attempts that reached a node later than the grace after their gateway was told that it goes."""
    told: dict[tuple[str, str], list[tuple[int, str]]] = defaultdict(list)
    for record in records:
        if isinstance(record, Told):
            told[record.gateway, record.node].append((record.at, record.phase))
    for news in told.values():
        news.sort()
    found = []
    for arrival in arrivals:
        gaps = away[arrival.gateway]
        born = max((gap.end for gap in gaps if gap.why != "still" and gap.begin <= arrival.at), default=0)
        news = [
            one
            for one in told.get((arrival.gateway, arrival.node), [])
            if one[0] >= born - terms.answer_slack
        ]
        place = bisect_right(news, (arrival.at, "~")) - 1
        if place < 0 or news[place][1] == "ready":
            continue
        while place and news[place - 1][1] != "ready":
            place -= 1  # gone after draining: the grace runs from the first word
        at = _awake(news[place][0], gaps)
        if (
            _sent_by(arrival, away[arrival.node], terms.arrival_slack)
            > at + terms.drain_grace + terms.arrival_slack
        ):
            found.append(arrival.attempt)
    return found


def _sent_by(arrival: Arrival, gaps: list[Away], slack: int) -> int:
    """The earliest that an attempt may have reached a node, which reads late after it stood still."""
    still = [gap.begin for gap in gaps if gap.begin <= arrival.at <= gap.end + slack]
    return min(still, default=arrival.at)


def _awake(at: int, gaps: list[Away]) -> int:
    """When a gateway that stood still could hear."""
    for gap in gaps:
        if gap.begin <= at <= gap.end:
            at = gap.end
    return at


def _ceiling_worst(draws: list[tuple[int, int, float]], terms: Terms) -> float:
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
