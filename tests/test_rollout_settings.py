"""Settings of versions: what is refused before a gateway starts."""

from __future__ import annotations

import msgspec
import pytest
from harness.constants import MATERIALS, MS

from orchidlane.config import Duration
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.gateway.rollout_agent.settings import check_rollout_settings

FLEET = MATERIALS / "fleet.cue"


def fleet_with(lease_ms: int, silence_ms: int, beat_ms: int = 150, every_ms: int = 100) -> FleetSettings:
    """Return the example's fleet with three voters and these times."""
    fleet = parse_settings(FLEET.read_text(), "fleet.cue")
    rollout = msgspec.structs.replace(
        fleet.rollout,
        voting_members=("gw-0", "gw-1", "gw-2"),
        lease_us=Duration(lease_ms * MS),
        election_timeout_us=Duration(silence_ms * MS),
        heartbeat_interval_us=Duration(beat_ms * MS),
        poll_interval_us=Duration(every_ms * MS),
    )
    return msgspec.structs.replace(fleet, rollout=rollout, state_directory="state")


# Guards against settings under which a leader's death made all nine gateways reject everything for 2.4 s.
def test_a_lease_that_an_election_may_outlast_is_refused_with_both_figures():
    with pytest.raises(ValueError, match=r"change\.lease: found 2 s, wanted more than 7\.75 s"):
        check_rollout_settings(fleet_with(lease_ms=2_000, silence_ms=1_500))


@pytest.mark.parametrize(("lease_ms", "is_valid"), [(7_750, False), (7_751, True), (8_000, True)])
def test_the_shortest_lease_is_just_longer_than_an_election_and_its_news(lease_ms, is_valid):
    fleet = fleet_with(lease_ms, silence_ms=1_500)
    if is_valid:
        check_rollout_settings(fleet)
    else:
        with pytest.raises(ValueError, match=r"change\.lease"):
            check_rollout_settings(fleet)


def test_the_default_times_are_accepted():
    fleet = parse_settings(FLEET.read_text(), "fleet.cue")
    voters = ("gw-0", "gw-1", "gw-2")
    rollout = msgspec.structs.replace(fleet.rollout, voting_members=voters)
    check_rollout_settings(msgspec.structs.replace(fleet, rollout=rollout, state_directory="state"))
