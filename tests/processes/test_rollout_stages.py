"""Staged rollouts on gateway processes under load: nine gateways, of which five are voters."""

from __future__ import annotations

import itertools
import re
from typing import NamedTuple

import pytest
from harness.process_fleets import COST_RULE, EDITED_COST_RULE, all_run, assert_rules_hold, run_fleet_of_nine

from orchidlane.gateway.rollout_agent.storage import RolloutStorage
from orchidlane.rollout import replicated_state
from orchidlane.runtime import RealBackend

# The edited cost exceeds the burst of every plan, so that no upload is admitted.
GOOD_UPLOAD, BAD_UPLOAD = "worth: 2, cost: 2}", "worth: 2, cost: 40}"


class RunningCount(NamedTuple):
    """How many gateways run a version by a progress line, and how many have not reported to the leader."""

    running: int
    unknown: int

    @classmethod
    def parse(cls, line: str) -> RunningCount:
        """Return the counts of a progress line; only "at least" lines have gateways without a report."""
        match = re.search(r"adopting, (at least )?(\d+) of 9 run it(?:, (\d+) not heard of)?", line)
        assert match is not None, line
        assert bool(match[1]) == bool(match[3]), line
        return cls(int(match[2]), int(match[3] or 0))


def test_a_version_without_regression_passes_all_stages(tmp_path):
    def script(fleet):
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        observed["end"] = fleet.command("propose", "--reason", "by stages")

    observed: dict = {}
    verdict, fleet = run_fleet_of_nine(tmp_path, script, soak="700ms", rate=250.0)
    assert_rules_hold(verdict)
    code, output = observed["end"]
    assert code == 0, output
    counts = [RunningCount.parse(line) for line in output.splitlines() if "adopting" in line]
    exact = [count.running for count in counts if not count.unknown]
    assert exact == sorted(exact), output
    assert len(set(exact)) >= 4, output
    for earlier, later in itertools.pairwise(counts):  # only a gateway without a report may run it unseen
        assert later.running + later.unknown >= earlier.running, output
    assert fleet.served_versions().keys() == {0, 1}


def ranks_of_stage(fleet, voter: int) -> set[int]:
    """Return the gateways that the rollout's stage includes, read from a voter's file."""
    file = RolloutStorage(RealBackend(), str(fleet.folder / f"gw-{voter}")).read_voter()
    rollout = replicated_state.decode(file.accepted_state).rollout
    return {rank for rank in range(fleet.gateway_count) if rollout.includes(rank)}


def latest_entry_number(status) -> int:
    """Return the version number of the latest history entry, -1 if there is none."""
    history = status["history"]
    return history[-1]["version"]["number"] if history else -1


@pytest.mark.parametrize("leader_dies", [False, True], ids=["", "and the leader dies"])
def test_a_stage_with_a_regression_is_rolled_back_under_load(tmp_path, leader_dies):
    def script(fleet):
        fleet.edit_rules(GOOD_UPLOAD, BAD_UPLOAD)
        thread, results = fleet.start_command("propose", "--reason", "uploads cost too much")
        if leader_dies:
            adopted = fleet.wait_for_status(lambda status: status["stage"] == "adopting" or results)
            if not adopted["stage"]:  # on a busy machine the leader may change, and the command fails
                assert results[0][0], results
                thread, results = fleet.start_command("propose", "--reason", "uploads cost too much")
                fleet.wait_for_status(lambda status: status["stage"] == "adopting")
            leader = fleet.leader()
            fleet.kill(leader)
            observed["only the leader was in the stage"] = ranks_of_stage(fleet, leader) == {leader}
        thread.join(80)
        observed["end"] = results
        if leader_dies:
            fleet.start(leader)
        fleet.wait_for_status(all_run(2))
        observed["undone"] = fleet.now()
        # The rollback's history entry follows when all gateways have reported; until then the latest entry is
        # that of version 1.
        observed["status"] = fleet.wait_for_status(lambda status: latest_entry_number(status) == 2)

    observed: dict = {"only the leader was in the stage": False}
    verdict, fleet = run_fleet_of_nine(
        tmp_path,
        script,
        soak="8s",
        lease="8s",  # outlasts an election: gateways that stop serving would look like a regression
        rate=150.0,  # enough responses to compare, also on a busy machine
    )
    assert_rules_hold(verdict)
    code, output = observed["end"][0]
    if observed[
        "only the leader was in the stage"
    ]:  # without responses to compare, the stage outlasts the command
        assert (code, output.splitlines()[-1][:14]) == (3, "it is not over"), observed
    else:
        assert code == 1, observed
    history = observed["status"]["history"]
    assert "undone" in [entry["state"] for entry in history]
    reason = history[-1]["version"]["reason"]
    assert "reverted after a regression: " in reason, reason
    assert "test-upload" in reason, reason
    assert history[-1]["version"]["parts"] == history[0]["version"]["parts"]
    assert len(fleet.served_versions().get(1, set())) <= 5, "the version reached more than two stages"
    assert fleet.served_versions(observed["undone"]).keys() <= {2}
