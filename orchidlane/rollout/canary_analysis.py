"""Canary analysis: whether gateways on the new version do worse than those on the old version. Pure.

Each observation holds what both sides responded since the previous observation, by request class and plan (a
stratum). For each stratum and each kind of outcome (refused, failed, late, slow, further attempts, served),
the counts of the two sides are compared given their sum: without a regression, the new side's part of the
sum is binomially distributed with a known probability, whatever the load, the time of day or the clients, as
both sides are observed over the same time.

The evidence of one observation is the likelihood ratio of regressions of several sizes against a tolerated
difference (an e-value). The product over the observations, averaged over all possible strata and kinds, is an
e-process. By Ville's inequality it exceeds 1/FALSE_POSITIVE_RATE at any time with a probability of at most
FALSE_POSITIVE_RATE, so it may be tested after each observation.

Limits of the analysis: it does not detect that gateways on the old version do worse because others run the
new one. Gateways that do not respond are handled in ``phases``: a silent gateway on the new version fails the
stage, a silent one on the old version only adds no responses. Where responses are few, the stage waits for
more, up to a limit.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import exp, inf, log
from typing import NamedTuple

import msgspec

FALSE_POSITIVE_RATE = 1e-3  # share of versions without a regression that are stopped at any time
TOLERATED_RATIO = 1.25  # of bad responses, new side to old: two groups of gateways are never quite alike
REGRESSION_RATIOS = (2.0, 4.0, 16.0)  # of bad responses, new side to old: the sizes that are tested for
MAX_STRATA = 64  # in one observation; the first in alphabetical order are analyzed
MIN_RESPONSES = 50  # on each side before a stage may pass
MAX_EXPONENT = 700.0  # ``exp`` of more than about 709 overflows a float

Stratum = str


class ResponseCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts of the final responses in one stratum over some time, by outcome."""

    responses: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0
    slow: int = 0
    attempts: int = 0  # beyond the first one of each request

    @property
    def served(self) -> int:
        """Responses that were neither refused nor failed."""
        return self.responses - self.refused - self.failed

    def plus(self, other: ResponseCounts) -> ResponseCounts:
        """Return the sums."""
        return ResponseCounts(*(a + b for a, b in zip(_values(self), _values(other), strict=True)))

    def since(self, earlier: ResponseCounts) -> ResponseCounts:
        """Return what was counted since; counts that went down are a later incarnation's, returned whole."""
        differences = [a - b for a, b in zip(_values(self), _values(earlier), strict=True)]
        return self if min(differences) < 0 else ResponseCounts(*differences)


def _values(counts: ResponseCounts) -> tuple[int, ...]:
    return msgspec.structs.astuple(counts)


CountsByStratum = Mapping[Stratum, ResponseCounts]
SERVED = "served"
OUTCOME_KINDS = ("refused", "failed", "late", "slow", "attempts", SERVED)


class Verdict(NamedTuple):
    """What the evidence shows so far; ``regression`` describes a regression, "" while none is shown."""

    regression: str = ""
    has_enough_responses: bool = False


class CanaryAnalysis:
    """The evidence gathered in one stage of a rollout."""

    def __init__(self) -> None:
        # one value for each of REGRESSION_RATIOS
        self._log_likelihood_ratios: dict[tuple[Stratum, str], list[float]] = {}
        self.new_responses = 0
        self.old_responses = 0

    def observe(self, new: CountsByStratum, old: CountsByStratum) -> Verdict:
        """Add the responses of both sides since the last observation, and return what the evidence shows."""
        for stratum in sorted(new.keys() & old.keys())[:MAX_STRATA]:
            self._add_evidence(stratum, new[stratum], old[stratum])
        self.new_responses += sum(counts.responses for counts in new.values())
        self.old_responses += sum(counts.responses for counts in old.values())
        return Verdict(self.regression(), min(self.new_responses, self.old_responses) >= MIN_RESPONSES)

    def _add_evidence(self, stratum: Stratum, new: ResponseCounts, old: ResponseCounts) -> None:
        if not new.responses or not old.responses:
            return
        for kind in OUTCOME_KINDS:
            new_count = getattr(new, kind)
            old_count = getattr(old, kind)
            logs = self._log_likelihood_ratios.setdefault((stratum, kind), [0.0] * len(REGRESSION_RATIOS))
            for position, regression_ratio in enumerate(REGRESSION_RATIOS):
                ratios = (TOLERATED_RATIO, regression_ratio)
                if kind == SERVED:
                    # Where most requests are refused on both sides, their number can't rise by such a ratio,
                    # but the number of served ones can fall by it.
                    ratios = (1 / TOLERATED_RATIO, 1 / regression_ratio)
                logs[position] += _log_likelihood_ratio(
                    new_count, old_count, new.responses, old.responses, *ratios
                )

    def regression(self) -> str:
        """Return the regression with the strongest evidence; "" while the evidence shows none."""
        if not self._log_likelihood_ratios:
            return ""
        e_values = {
            key: sum(exp(min(value, MAX_EXPONENT)) for value in logs) / len(REGRESSION_RATIOS)
            for key, logs in self._log_likelihood_ratios.items()
        }
        unobserved = MAX_STRATA * len(OUTCOME_KINDS) - len(e_values)  # each has an e-value of 1
        mean = (sum(e_values.values()) + unobserved) / (len(e_values) + unobserved)
        if mean < 1 / FALSE_POSITIVE_RATE:
            return ""
        stratum, kind = max(e_values, key=lambda key: e_values[key])
        comparative = "fewer" if kind == SERVED else "more"
        return f"{comparative} {kind} in {stratum} than on gateways with the old version"


def _log_likelihood_ratio(
    new_count: int,
    old_count: int,
    new_responses: int,
    old_responses: int,
    tolerated_ratio: float,
    regression_ratio: float,
) -> float:
    """Return the log of the likelihood ratio of a regression against a tolerated difference.

    Compared is the new side's part of all responses with the outcome. The ratios are the outcome's share on
    the new side, divided by that on the old side.
    """
    tolerated_part = tolerated_ratio * new_responses / (tolerated_ratio * new_responses + old_responses)
    regression_part = regression_ratio * new_responses / (regression_ratio * new_responses + old_responses)
    return new_count * log(regression_part / tolerated_part) + old_count * log(
        (1 - regression_part) / (1 - tolerated_part)
    )


def merge_counts(counts: Iterable[CountsByStratum]) -> dict[Stratum, ResponseCounts]:
    """Return the sums over several gateways."""
    merged: dict[Stratum, ResponseCounts] = {}
    for gateway_counts in counts:
        for stratum, added in gateway_counts.items():
            merged[stratum] = merged.get(stratum, ResponseCounts()).plus(added)
    return merged


def counts_since(now: CountsByStratum, earlier: CountsByStratum) -> dict[Stratum, ResponseCounts]:
    """Return what one gateway counted between two observations."""
    return {stratum: counts.since(earlier.get(stratum, ResponseCounts())) for stratum, counts in now.items()}


def expected_responses_to_detect(canary_share: float, baseline_share: float) -> float:
    """Return about how many responses of each side it takes to detect a regression in one stratum.

    ``canary_share`` is the share of bad responses on the new side, ``baseline_share`` that on the old side.
    The result is infinite where the difference is tolerated.
    """
    if canary_share <= TOLERATED_RATIO * baseline_share:
        return inf
    evidence_per_response = max(
        canary_share * log(ratio * (1 + TOLERATED_RATIO) / (TOLERATED_RATIO * (1 + ratio)))
        + baseline_share * log((1 + TOLERATED_RATIO) / (1 + ratio))
        for ratio in REGRESSION_RATIOS
    )
    if evidence_per_response <= 0:
        return inf
    needed_evidence = log(MAX_STRATA * len(OUTCOME_KINDS) * len(REGRESSION_RATIOS) / FALSE_POSITIVE_RATE)
    return needed_evidence / evidence_per_response
