"""Adoption of a version in stages, with a rollback at a regression. Contains decisions only, without I/O.

    batch ──all of it runs the version──> soak ──no regression, enough responses──> a larger batch ... ──> all
                                            │ regression, a silent gateway, or too few responses for too long
                                            └──> a rollback is proposed: a version with the prior contents

``hot_restart.rolling_batches`` decides which gateways may be at risk together: it limits their share of all
gateways, of any replica set and of the load, and the number of their zones. The analysis of a stage is held
in memory only: a new leader starts the analysis of the present stage again, from the replicated state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from orchidlane.hot_restart import rolling_batches
from orchidlane.rollout.canary_analysis import CanaryAnalysis, CountsByStratum, merge_counts

SAMPLE_SIZE = 8  # gateways of each side whose counts are requested in one observation
MAX_SOAKS_WITHOUT_VERDICT = 6  # soak times that a stage may last with too few responses
SILENCE_TIMEOUT_US = 3_000_000  # after which a silent gateway on the new version fails the stage


@dataclass(frozen=True)
class StagingSettings:
    """How a fleet adopts a version.

    ``soak_us`` is how long a stage is observed; with 0, all gateways adopt the version at once. Each stage
    adds at most ``growth_factor`` times as many gateways as all stages before it together have.
    """

    soak_us: int
    growth_factor: int
    limits: rolling_batches.RiskLimits
    zones: tuple[str, ...]  # of the gateways, by rank
    replica_set_sizes: tuple[int, ...]


class CanaryObservation(NamedTuple):
    """Response counts of a sample of both sides since the last observation, by rank."""

    new: Mapping[int, CountsByStratum]
    old: Mapping[int, CountsByStratum]
    silent: Sequence[int]  # ranks of the gateways on the new version that did not respond


class StageController:
    """The stages of one rollout, as the leader tracks them. Times are microseconds of the leader's clock."""

    def __init__(self, settings: StagingSettings, number: int, now: int) -> None:
        self.settings = settings
        self.number = number
        self.target_ranks = b""
        self.analysis = CanaryAnalysis()
        self.regression = ""
        self._silent_since: dict[int, int] = {}
        self._soak_started_at = now
        self._has_enough_responses = False
        self._is_soaking = False

    def update_stage(self, now: int, target_ranks: bytes, ranks_behind: Iterable[int]) -> None:
        """Record the gateways of the stage, and start its soak once none of them is behind.

        ``ranks_behind`` are the gateways that should run the version and do not yet.
        """
        if target_ranks != self.target_ranks:
            self.target_ranks = target_ranks
            self._is_soaking = False
            self._has_enough_responses = False
            self.analysis = CanaryAnalysis()  # the next stage compares other gateways
        if not self._is_soaking and not list(ranks_behind):
            self._is_soaking = True
            self._soak_started_at = now

    def observe(self, now: int, observation: CanaryObservation) -> None:
        """Add an observation to the analysis."""
        new = merge_counts(observation.new.values())
        old = merge_counts(observation.old.values())
        verdict = self.analysis.observe(new, old)
        self._has_enough_responses = verdict.has_enough_responses
        self.regression = self.regression or verdict.regression
        self._silent_since = {rank: self._silent_since.get(rank, now) for rank in observation.silent}
        timed_out = [rank for rank, since in self._silent_since.items() if now - since > SILENCE_TIMEOUT_US]
        if timed_out and not self.regression:
            self.regression = f"gateway {timed_out[0]} no longer responds"

    def verdict(self, now: int) -> str | None:
        """Return None while the stage lasts, "" once it has passed, otherwise the reason for a rollback."""
        if self.regression:
            return self.regression
        soaked_us = now - self._soak_started_at
        if not self._is_soaking or soaked_us < self.settings.soak_us:
            return None
        if self._has_enough_responses:
            return ""
        if soaked_us > MAX_SOAKS_WITHOUT_VERDICT * self.settings.soak_us:
            return "too few responses to rule out a regression"
        return None


def first_batch(settings: StagingSettings, loads: Sequence[float]) -> list[int]:
    """Return the ranks of the first stage: one gateway of median load, or all gateways without a soak.

    At median load the gateway has enough responses for the analysis, and few clients are at risk.
    """
    if not settings.soak_us:
        return list(range(len(loads)))
    by_load = sorted(range(len(loads)), key=lambda rank: (loads[rank], rank))
    return by_load[len(by_load) // 2 :][:1]


def next_batch(settings: StagingSettings, loads: Sequence[float], current_ranks: Sequence[int]) -> list[int]:
    """Return the ranks to add to ``current_ranks``: as many as may be at risk at once.

    Gateways of earlier stages no longer count as at risk.
    """
    remaining = [rank for rank in range(len(loads)) if rank not in set(current_ranks)]
    members = tuple(
        rolling_batches.Member(rank, zone, loads[rank]) for rank, zone in enumerate(settings.zones)
    )
    fleet = rolling_batches.Fleet(members, settings.replica_set_sizes)
    max_size = max(1, len(current_ranks) * settings.growth_factor)
    return rolling_batches.largest_batch(fleet, settings.limits, remaining, [], max_size) or remaining[:1]


def sample(ranks: Sequence[int], round_number: int) -> list[int]:
    """Return at most SAMPLE_SIZE ranks, others in each round: the work does not grow with the fleet."""
    if len(ranks) <= SAMPLE_SIZE:
        return list(ranks)
    start = round_number * SAMPLE_SIZE % len(ranks)
    return [ranks[(start + i) % len(ranks)] for i in range(SAMPLE_SIZE)]
