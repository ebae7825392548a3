"""What the status of a rollout shows before all gateways have reported to a new leader."""

from __future__ import annotations

import random
import re

import msgspec
import pytest
from harness.constants import SECOND
from harness.golden_rollouts import golden_status
from test_rollout_commands import SECRET, first_state

from orchidlane.cli.rollout_text import proposal_progress
from orchidlane.gateway.rollout_agent.admin_messages import CommandRequest, GatewayStatus
from orchidlane.rollout.commands import ClaimLeadership
from orchidlane.rollout.consensus import Voter
from orchidlane.rollout.leader import Leadership, LeadershipSettings
from orchidlane.rollout.messages import AdoptionReport
from orchidlane.rollout.phases import StagingSettings
from orchidlane.rollout.rollout_driver import RolloutSettings
from orchidlane.rollout.voter_state import VoterStart, VoterState


# Guards against "1 of 9 run it" followed by "0 of 9": the leader had died, and the new leader, which had not
# received any reports yet, counted the gateways without a report as not running the version.
@pytest.mark.parametrize(
    ("reported", "expected"),
    [
        (0, "at least 0 of 3 run it, 3 not heard of"),
        (2, "at least 2 of 3 run it, 1 not heard of"),
        (3, "3 of 3 run it"),
    ],
)
def test_a_leader_without_the_reports_of_all_gateways_says_so(reported, expected):
    status = golden_status()
    version = status.rollout_version
    gateways = tuple(
        GatewayStatus(rank, version.number, version.number, last_seen_us_ago=1, running_for_us=1)
        if rank < reported
        else GatewayStatus(rank)
        for rank in range(3)
    )
    request = CommandRequest(version.proposal_id, "propose", 0)
    progress = proposal_progress(request, msgspec.structs.replace(status, gateways=gateways))
    assert expected in progress.line
    assert ("not heard of" in progress.line) == (reported < 3)


# Guards against "0 of 0 run it": the status of a gateway that does not lead has no list of gateways, and the
# command computed an exact count from that.
def test_a_status_without_a_list_of_gateways_gives_no_exact_count():
    status = golden_status()
    request = CommandRequest(status.rollout_version.proposal_id, "propose", 0)
    follower_status = msgspec.structs.replace(status, is_leader=False, gateways=())
    line = proposal_progress(request, follower_status).line
    assert re.search(r"(?<!at least )\b\d+ of \d+ run it", line) is None, line


# Guards against decisions by outdated reports: those of an earlier term show what the gateways ran before
# another voter led in between.
def test_a_voter_that_claims_again_drops_the_reports_of_its_earlier_term():
    rollout = RolloutSettings(8 * SECOND, 20 * SECOND, StagingSettings(0, 2, None, (), ()))
    settings = LeadershipSettings(SECOND // 10, SECOND, rollout)
    start = VoterStart(0, VoterState(100), None, first_state(), random.Random(1), 0)
    leadership = Leadership(Voter(start), 3, SECRET, settings, random.Random(1), 0)
    leadership.driver.receive_report(0, 2, AdoptionReport(4, 4, 10, ""))
    assert isinstance(leadership.next_command(10 * SECOND), ClaimLeadership)
    assert leadership.driver.reports == {}
