"""Whether gateways on the new version do worse than like ones still on the old, at the same moment. Pure.

Each look brings what both sides answered since the last one, by class and plan. For each such stratum and
each kind of harm (refused, failed, late, slow, further attempts) the bad answers of the two sides are
compared given their sum: without harm the new side's part of them is a draw with a known chance, whatever
the load, the hour or the clients. The evidence of a look is a likelihood ratio of harms of several sizes
against a harmless difference (an e-value); their product over looks and their mean over all strata and
kinds that there may be is an e-process. By Ville's inequality it ever passes 1/FALSE_STOPS with a chance of
FALSE_STOPS at most, so it may be looked at at any time.

The same from the other side: old gateways that do worse since some run the new version. A new gateway that
is silent is harm, too; an old one that is silent is no progress; too few answers are waited for, up to a
limit.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import exp, inf, log
from typing import NamedTuple

import msgspec

FALSE_STOPS = 1e-3  # the chance that a harmless version is ever stopped, within the margin below
MARGIN = 1.25  # so many times as many bad answers are not harm: two groups of gateways are never quite alike
HARMS = (2.0, 4.0, 16.0)  # times as many bad answers that the evidence looks for
STRATA_MOST = 64  # classes by plans that are looked at, the first by name
LEAST = 50  # answers of each side before a stage may pass

Stratum = str


class Tally(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one stratum over some span."""

    answers: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0
    slow: int = 0
    attempts: int = 0  # beyond the first

    @property
    def served(self) -> int:
        """Neither refused nor failed."""
        return self.answers - self.refused - self.failed

    def plus(self, other: Tally) -> Tally:
        """Both together."""
        return Tally(*(one + two for one, two in zip(_all(self), _all(other), strict=True)))

    def since(self, earlier: Tally) -> Tally:
        """What came since; a count that went back is of another life."""
        parts = [now - then for now, then in zip(_all(self), _all(earlier), strict=True)]
        return self if min(parts) < 0 else Tally(*parts)


def _all(tally: Tally) -> tuple[int, ...]:
    return msgspec.structs.astuple(tally)


Tallies = Mapping[Stratum, Tally]
KINDS = ("refused", "failed", "late", "slow", "attempts", "served")


class Verdict(NamedTuple):
    """What is known so far."""

    harm: str = ""  # what was found
    enough: bool = False  # answers of both sides to let a stage pass


class Judge:
    """The evidence of one change."""

    def __init__(self) -> None:
        self._logs: dict[tuple[Stratum, str], list[float]] = {}  # for each size of harm
        self.new = self.old = 0

    def look(self, new: Tallies, old: Tallies) -> Verdict:
        """What both sides answered since the last look."""
        for stratum in sorted(new.keys() & old.keys())[:STRATA_MOST]:
            self._weigh(stratum, new[stratum], old[stratum])
        self.new += sum(tally.answers for tally in new.values())
        self.old += sum(tally.answers for tally in old.values())
        return Verdict(self.harm(), min(self.new, self.old) >= LEAST)

    def _weigh(self, stratum: Stratum, new: Tally, old: Tally) -> None:
        if not new.answers or not old.answers:
            return
        for kind in KINDS:
            bad, usual = getattr(new, kind), getattr(old, kind)
            logs = self._logs.setdefault((stratum, kind), [0.0] * len(HARMS))
            for number, harm in enumerate(HARMS):
                # Fewer served says what more refused can't where many are refused on both sides.
                sizes = (1 / MARGIN, 1 / harm) if kind == "served" else (MARGIN, harm)
                logs[number] += _evidence(bad, usual, new.answers, old.answers, *sizes)

    def harm(self) -> str:
        """Which harm the evidence shows, "" while it shows none."""
        if not self._logs:
            return ""
        values = {
            key: sum(exp(min(log_, 700.0)) for log_ in logs) / len(HARMS) for key, logs in self._logs.items()
        }
        others = STRATA_MOST * len(KINDS) - len(values)  # of which nothing is known: 1 each
        if (sum(values.values()) + others) / (len(values) + others) < 1 / FALSE_STOPS:
            return ""
        stratum, kind = max(values, key=lambda key: values[key])
        less = "fewer" if kind == "served" else "more"
        return f"{less} {kind} in {stratum} than where the old version runs"


def _evidence(bad: int, usual: int, answers: int, others: int, margin: float, harm: float) -> float:
    """The log of how much likelier so many of both are the new side's under a harm than without one."""
    none, some = margin * answers / (margin * answers + others), harm * answers / (harm * answers + others)
    return bad * log(some / none) + usual * log((1 - some) / (1 - none))


def sum_of(tallies: Iterable[Tallies]) -> dict[Stratum, Tally]:
    """Several gateways as one."""
    found: dict[Stratum, Tally] = {}
    for one in tallies:
        for stratum, tally in one.items():
            found[stratum] = found.get(stratum, Tally()).plus(tally)
    return found


def between(now: Tallies, then: Tallies) -> dict[Stratum, Tally]:
    """What one gateway answered between two looks."""
    return {stratum: tally.since(then.get(stratum, Tally())) for stratum, tally in now.items()}


def answers_until_found(share: float, usual: float) -> float:
    """About how many answers of each side a harm takes to be found.

    ``usual`` is the share of bad answers on the old side, ``share`` on the new one, all in one stratum.
    """
    if share <= MARGIN * usual:
        return inf
    best = max(
        share * log(harm * (1 + MARGIN) / (MARGIN * (1 + harm))) + usual * log((1 + MARGIN) / (1 + harm))
        for harm in HARMS
    )
    return log(STRATA_MOST * len(KINDS) * len(HARMS) / FALSE_STOPS) / best if best > 0 else inf
