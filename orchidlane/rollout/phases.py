"""Adoption of a version in stages, with a rollback at harm. Decides without I/O.

    batch ──all of it run the version──> soak ──no harm, enough answers──> a larger batch ... ──> all
                                           │ harm, a silent gateway, or too few answers for too long
                                           └──> a rollback is proposed: a new version with the prior contents

``hot_restart.rolling_batches`` decides which gateways may be at risk together: a share of all, of any replica
set, of the load, and of so many zones. Only the replicated state has to last: the next leader judges the
stage anew, from its beginning.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from orchidlane.hot_restart import rolling_batches
from orchidlane.rollout.canary_analysis import CanaryAnalysis, CountsByStratum, merge_counts

SAMPLE_SIZE = 8  # gateways of each side that are asked for their counts
MAX_SOAKS_WITHOUT_VERDICT = 6
SILENCE_TIMEOUT_US = 3_000_000  # of a gateway on the new version


@dataclass(frozen=True)
class StagingSettings:
    """How a fleet adopts a version; with a soak of 0 microseconds, all gateways at once."""

    soak_us: int
    growth_factor: int
    limits: rolling_batches.RiskLimits
    zones: tuple[str, ...]  # of each gateway
    replica_set_sizes: tuple[int, ...]


class CanaryObservation(NamedTuple):
    """What a sample of both sides answered since the last observation, by rank."""

    new: Mapping[int, CountsByStratum]
    old: Mapping[int, CountsByStratum]
    silent: Sequence[int]  # of those on the new version


class StageController:
    """The stages of one rollout, as the leader sees them. Times are microseconds of its clock."""

    def __init__(self, settings: StagingSettings, number: int, now: int) -> None:
        self.settings = settings
        self.number = number
        self.target_ranks = b""
        self.analysis = CanaryAnalysis()
        self.harm = ""
        self._silent_since: dict[int, int] = {}
        self._soak_started_at = now
        self._has_enough_responses = False
        self._is_soaking = False

    def update_stage(self, now: int, target_ranks: bytes, ranks_behind: Iterable[int]) -> None:
        """Take note of the gateways of the stage, and of those that do not run the version yet."""
        if target_ranks != self.target_ranks:
            self.target_ranks = target_ranks
            self._is_soaking = False
            self._has_enough_responses = False
            self.analysis = CanaryAnalysis()  # other gateways are compared from here on
        if not self._is_soaking and not list(ranks_behind):
            self._is_soaking = True
            self._soak_started_at = now

    def observe(self, now: int, observation: CanaryObservation) -> None:
        """Weigh what both sides answered."""
        new = merge_counts(observation.new.values())
        old = merge_counts(observation.old.values())
        verdict = self.analysis.observe(new, old)
        self._has_enough_responses = verdict.has_enough_responses
        self.harm = self.harm or verdict.harm
        self._silent_since = {rank: self._silent_since.get(rank, now) for rank in observation.silent}
        timed_out = [rank for rank, since in self._silent_since.items() if now - since > SILENCE_TIMEOUT_US]
        if timed_out and not self.harm:
            self.harm = f"gateway {timed_out[0]} does not answer any more"

    def verdict(self, now: int) -> str | None:
        """Return None while the stage goes on, "" once it passed, else the reason for a rollback."""
        if self.harm:
            return self.harm
        soaked_us = now - self._soak_started_at
        if not self._is_soaking or soaked_us < self.settings.soak_us:
            return None
        if self._has_enough_responses:
            return ""
        if soaked_us > MAX_SOAKS_WITHOUT_VERDICT * self.settings.soak_us:
            return "too few answers to tell whether it does harm"
        return None


def first_batch(settings: StagingSettings, loads: Sequence[float]) -> list[int]:
    """Return one gateway of median load, so that its answers say something and few clients are at risk."""
    if not settings.soak_us:
        return list(range(len(loads)))
    by_load = sorted(range(len(loads)), key=lambda rank: (loads[rank], rank))
    return by_load[len(by_load) // 2 :][:1]


def next_batch(settings: StagingSettings, loads: Sequence[float], reached: Sequence[int]) -> list[int]:
    """Return the gateways to add: as many as may be at risk at once; those that passed no longer are."""
    rest = [rank for rank in range(len(loads)) if rank not in set(reached)]
    members = tuple(
        rolling_batches.Member(rank, zone, loads[rank]) for rank, zone in enumerate(settings.zones)
    )
    fleet = rolling_batches.Fleet(members, settings.replica_set_sizes)
    max_size = max(1, len(reached) * settings.growth_factor)
    return rolling_batches.largest_batch(fleet, settings.limits, rest, [], max_size) or rest[:1]


def sample(ranks: Sequence[int], round_number: int) -> list[int]:
    """Return a sample of bounded size, another one each round: the work does not grow with the fleet."""
    if len(ranks) <= SAMPLE_SIZE:
        return list(ranks)
    start = round_number * SAMPLE_SIZE % len(ranks)
    return [ranks[(start + i) % len(ranks)] for i in range(SAMPLE_SIZE)]
