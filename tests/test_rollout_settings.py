"""Checks of the rollout settings before a gateway starts."""

from __future__ import annotations

import msgspec
import pytest
from harness.constants import MATERIALS, MS

from orchidlane.config import Duration
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.gateway.rollout_agent.settings import check_rollout_settings

FLEET = MATERIALS / "fleet.cue"


def fleet_with(
    lease_ms: int, election_timeout_ms: int, heartbeat_interval_ms: int = 150, poll_interval_ms: int = 100
) -> FleetSettings:
    """Return the settings of the example fleet with three voters and the given times."""
    fleet = parse_settings(FLEET.read_text(), "fleet.cue")
    rollout = msgspec.structs.replace(
        fleet.rollout,
        voting_members=("gw-0", "gw-1", "gw-2"),
        lease_us=Duration(lease_ms * MS),
        election_timeout_us=Duration(election_timeout_ms * MS),
        heartbeat_interval_us=Duration(heartbeat_interval_ms * MS),
        poll_interval_us=Duration(poll_interval_ms * MS),
    )
    return msgspec.structs.replace(fleet, rollout=rollout, state_directory="state")


# Guards against a lease that expires before a new leader is elected: when the leader failed under such
# settings, all nine gateways rejected every request for 2.4 s.
def test_a_lease_shorter_than_an_election_is_rejected_with_both_durations():
    with pytest.raises(ValueError, match=r"change\.lease: found 2 s, allowed: more than 7\.75 s"):
        check_rollout_settings(fleet_with(lease_ms=2_000, election_timeout_ms=1_500))


@pytest.mark.parametrize(("lease_ms", "is_valid"), [(7_750, False), (7_751, True), (8_000, True)])
def test_a_lease_must_be_longer_than_an_election_and_a_poll_interval(lease_ms, is_valid):
    fleet = fleet_with(lease_ms, election_timeout_ms=1_500)
    if is_valid:
        check_rollout_settings(fleet)
    else:
        with pytest.raises(ValueError, match=r"change\.lease"):
            check_rollout_settings(fleet)


def test_the_default_rollout_times_are_accepted():
    fleet = parse_settings(FLEET.read_text(), "fleet.cue")
    voters = ("gw-0", "gw-1", "gw-2")
    rollout = msgspec.structs.replace(fleet.rollout, voting_members=voters)
    check_rollout_settings(msgspec.structs.replace(fleet, rollout=rollout, state_directory="state"))
