"""Canary analysis: whether gateways on the new version do worse than like ones on the old. Pure.

Each observation brings what both sides answered since the last one, by class and plan (a stratum). For each
stratum and each kind of harm (refused, failed, late, slow, further attempts) the bad answers of the two sides
are compared given their sum: without harm the new side's part of them is a draw with a known probability,
whatever the load, the hour or the clients. The two sides are compared at the same moment. The evidence of an
observation is a likelihood ratio of harms of several sizes against a harmless difference (an e-value); the
product over the observations and the mean over all strata and kinds that there may be is an e-process. By
Ville's inequality it ever passes 1/FALSE_POSITIVE_RATE with a probability of at most FALSE_POSITIVE_RATE, so
that it may be tested at any time.

Not judged: old gateways that do worse since some run the new version. A new gateway that is silent is harm
too; an old one that is silent is no progress; for more answers the stage waits, up to a limit.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import exp, inf, log
from typing import NamedTuple

import msgspec

FALSE_POSITIVE_RATE = 1e-3  # of harmless versions that are ever stopped
HARMLESS_RATIO = 1.25  # of bad answers: two groups of gateways are never quite alike
HARM_RATIOS = (2.0, 4.0, 16.0)  # of bad answers, for which evidence is gathered
MAX_STRATA = 64  # the first by name
MIN_RESPONSES = 50  # of each side before a stage may pass
MAX_EXPONENT = 700.0  # of a float

Stratum = str


class ResponseCounts(msgspec.Struct, frozen=True, array_like=True):
    """Final answers of one stratum in some time."""

    responses: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0
    slow: int = 0
    attempts: int = 0  # beyond the first

    @property
    def served(self) -> int:
        """Answers that were neither refused nor failed."""
        return self.responses - self.refused - self.failed

    def plus(self, other: ResponseCounts) -> ResponseCounts:
        """Return the sums."""
        return ResponseCounts(*(a + b for a, b in zip(_values(self), _values(other), strict=True)))

    def since(self, earlier: ResponseCounts) -> ResponseCounts:
        """Return the differences; a count that went back is of another incarnation, and taken as it is."""
        differences = [a - b for a, b in zip(_values(self), _values(earlier), strict=True)]
        return self if min(differences) < 0 else ResponseCounts(*differences)


def _values(counts: ResponseCounts) -> tuple[int, ...]:
    return msgspec.structs.astuple(counts)


CountsByStratum = Mapping[Stratum, ResponseCounts]
SERVED = "served"
OUTCOME_KINDS = ("refused", "failed", "late", "slow", "attempts", SERVED)


class Verdict(NamedTuple):
    """What the evidence shows so far; ``harm`` is "" while it shows none."""

    harm: str = ""
    has_enough_responses: bool = False


class CanaryAnalysis:
    """The evidence of one stage."""

    def __init__(self) -> None:
        # for each of HARM_RATIOS
        self._log_likelihood_ratios: dict[tuple[Stratum, str], list[float]] = {}
        self.new_responses = 0
        self.old_responses = 0

    def observe(self, new: CountsByStratum, old: CountsByStratum) -> Verdict:
        """Weigh what both sides answered since the last observation."""
        for stratum in sorted(new.keys() & old.keys())[:MAX_STRATA]:
            self._add_evidence(stratum, new[stratum], old[stratum])
        self.new_responses += sum(counts.responses for counts in new.values())
        self.old_responses += sum(counts.responses for counts in old.values())
        return Verdict(self.harm(), min(self.new_responses, self.old_responses) >= MIN_RESPONSES)

    def _add_evidence(self, stratum: Stratum, new: ResponseCounts, old: ResponseCounts) -> None:
        if not new.responses or not old.responses:
            return
        for kind in OUTCOME_KINDS:
            new_bad = getattr(new, kind)
            old_bad = getattr(old, kind)
            logs = self._log_likelihood_ratios.setdefault((stratum, kind), [0.0] * len(HARM_RATIOS))
            for number, harm_ratio in enumerate(HARM_RATIOS):
                ratios = (HARMLESS_RATIO, harm_ratio)
                if kind == SERVED:
                    # Fewer served tells what more refused can't, where many are refused on both sides.
                    ratios = (1 / HARMLESS_RATIO, 1 / harm_ratio)
                logs[number] += _log_likelihood_ratio(new_bad, old_bad, new.responses, old.responses, *ratios)

    def harm(self) -> str:
        """Return the harm that the evidence shows most clearly; "" while it shows none."""
        if not self._log_likelihood_ratios:
            return ""
        e_values = {
            key: sum(exp(min(value, MAX_EXPONENT)) for value in logs) / len(HARM_RATIOS)
            for key, logs in self._log_likelihood_ratios.items()
        }
        unobserved = MAX_STRATA * len(OUTCOME_KINDS) - len(e_values)  # with an e-value of 1 each
        mean = (sum(e_values.values()) + unobserved) / (len(e_values) + unobserved)
        if mean < 1 / FALSE_POSITIVE_RATE:
            return ""
        stratum, kind = max(e_values, key=lambda key: e_values[key])
        comparative = "fewer" if kind == SERVED else "more"
        return f"{comparative} {kind} in {stratum} than where the old version runs"


def _log_likelihood_ratio(
    new_bad: int,
    old_bad: int,
    new_responses: int,
    old_responses: int,
    harmless_ratio: float,
    harm_ratio: float,
) -> float:
    """Return the log of how much likelier the new side's part of the bad answers is under a harm."""
    harmless_part = harmless_ratio * new_responses / (harmless_ratio * new_responses + old_responses)
    harmful_part = harm_ratio * new_responses / (harm_ratio * new_responses + old_responses)
    return new_bad * log(harmful_part / harmless_part) + old_bad * log(
        (1 - harmful_part) / (1 - harmless_part)
    )


def merge_counts(counts: Iterable[CountsByStratum]) -> dict[Stratum, ResponseCounts]:
    """Return the sums over several gateways."""
    merged: dict[Stratum, ResponseCounts] = {}
    for of_gateway in counts:
        for stratum, added in of_gateway.items():
            merged[stratum] = merged.get(stratum, ResponseCounts()).plus(added)
    return merged


def counts_since(now: CountsByStratum, earlier: CountsByStratum) -> dict[Stratum, ResponseCounts]:
    """Return what one gateway answered between two observations."""
    return {stratum: counts.since(earlier.get(stratum, ResponseCounts())) for stratum, counts in now.items()}


def expected_responses_to_detect(harmful_share: float, baseline_share: float) -> float:
    """Return about how many answers of each side it takes to detect a harm, in one stratum.

    ``baseline_share`` is the share of bad answers on the old side, ``harmful_share`` on the new one.
    """
    if harmful_share <= HARMLESS_RATIO * baseline_share:
        return inf
    evidence_per_answer = max(
        harmful_share * log(ratio * (1 + HARMLESS_RATIO) / (HARMLESS_RATIO * (1 + ratio)))
        + baseline_share * log((1 + HARMLESS_RATIO) / (1 + ratio))
        for ratio in HARM_RATIOS
    )
    if evidence_per_answer <= 0:
        return inf
    needed = log(MAX_STRATA * len(OUTCOME_KINDS) * len(HARM_RATIOS) / FALSE_POSITIVE_RATE)
    return needed / evidence_per_answer
