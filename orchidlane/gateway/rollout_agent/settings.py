"""Checks and conversions of the fleet's rollout settings."""

from __future__ import annotations

from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings import RolloutSettings as RolloutEntry
from orchidlane.hot_restart.rolling_batches import RiskLimits
from orchidlane.rollout.leader import LeadershipSettings, longest_election_us
from orchidlane.rollout.phases import StagingSettings
from orchidlane.rollout.rollout_driver import RolloutSettings

MICROSECONDS_PER_SECOND = 1_000_000
VOTER_COUNTS = (3, 5, 7)


def check_rollout_settings(fleet: FleetSettings) -> None:
    """Raise ValueError if the settings name voters but do not meet the requirements of voting."""
    voters = fleet.rollout.voting_members
    names = [entry.name for entry in fleet.gateways]
    if not voters:
        return
    if len(voters) not in VOTER_COUNTS or len(set(voters)) != len(voters):
        raise ValueError(f"change.voters: found {len(voters)}, allowed: 3, 5 or 7 different gateways")
    unknown = [name for name in voters if name not in names]
    if unknown:
        raise ValueError(f"change.voters: {', '.join(unknown)}: not the name of a gateway of this fleet")
    without_admin = [entry.name for entry in fleet.gateways if not entry.admin]
    if without_admin:
        raise ValueError(f"change.voters: gateways without an admin address: {', '.join(without_admin)}")
    if not fleet.state_directory:
        raise ValueError(
            "state: not set; change.voters needs a directory where votes and versions are stored"
        )
    _check_lease(fleet.rollout)


def _check_lease(rollout: RolloutEntry) -> None:
    """Raise ValueError if all gateways would stop serving before a failed leader can be replaced."""
    election_us = longest_election_us(rollout.heartbeat_interval_us, rollout.election_timeout_us)
    needed_us = election_us + rollout.poll_interval_us
    if rollout.lease_us <= needed_us:
        raise ValueError(
            f"change.lease: found {rollout.lease_us / MICROSECONDS_PER_SECOND:g} s, allowed: more than"
            f" {needed_us / MICROSECONDS_PER_SECOND:g} s, the longest time until all gateways have a new"
            " leader with these values of change.beat, change.silence and change.every"
        )


def voter_ranks(fleet: FleetSettings) -> list[int]:
    """Return the ranks of the voters named in the settings."""
    names = [entry.name for entry in fleet.gateways]
    return [names.index(name) for name in fleet.rollout.voting_members]


def leadership_settings(fleet: FleetSettings) -> LeadershipSettings:
    """Return the intervals of leader election and rollouts."""
    return LeadershipSettings(
        heartbeat_interval_us=fleet.rollout.heartbeat_interval_us,
        election_timeout_us=fleet.rollout.election_timeout_us,
        rollout=RolloutSettings(
            lease_us=fleet.rollout.lease_us,
            vote_timeout_us=fleet.rollout.decision_timeout_us,
            staging=staging_settings(fleet),
        ),
    )


def staging_settings(fleet: FleetSettings) -> StagingSettings:
    """Return the settings of a rollout's stages, which have the batch limits of a rolling upgrade."""
    upgrade = fleet.rolling_upgrade
    count = len(fleet.gateways)
    return StagingSettings(
        soak_us=int(fleet.rollout.soak_us),
        growth_factor=upgrade.max_batch_growth,
        limits=RiskLimits(
            upgrade.max_share, upgrade.max_replica_set_share, upgrade.max_zones, upgrade.max_load_share
        ),
        zones=tuple(entry.zone for entry in fleet.gateways),
        replica_set_sizes=tuple(
            sorted({min(plan.replica_set_size or count, count) for plan in fleet.plans.values()})
        ),
    )
