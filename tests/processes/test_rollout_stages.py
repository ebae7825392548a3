"""Rollouts by stages with whole processes under load: nine gateways, five of them voters."""

from __future__ import annotations

import itertools
import re
from typing import NamedTuple

import pytest
from harness.process_fleets import COST, EDITED, all_run, assert_rules_hold, run_fleet_of_nine

from orchidlane.gateway.rollout_agent.storage import RolloutStorage
from orchidlane.rollout import replicated_state
from orchidlane.runtime import RealBackend

GOOD_UPLOAD, BAD_UPLOAD = "worth: 2, cost: 2}", "worth: 2, cost: 40}"  # beyond any plan's burst


class RunningCount(NamedTuple):
    """How many gateways run a version by a line of progress, and how many the leader has not heard of."""

    running: int
    unknown: int

    @classmethod
    def parse(cls, line: str) -> RunningCount:
        """Return the count of a line; an exact one leaves no gateway unknown."""
        match = re.search(r"adopting, (at least )?(\d+) of 9 run it(?:, (\d+) not heard of)?", line)
        assert match is not None, line
        assert bool(match[1]) == bool(match[3]), line
        return cls(int(match[2]), int(match[3] or 0))


def test_a_harmless_version_passes_all_stages(tmp_path):
    def script(fleet):
        fleet.edit_rules(COST, EDITED)
        observed["end"] = fleet.command("propose", "--reason", "by stages")

    observed: dict = {}
    verdict, fleet = run_fleet_of_nine(tmp_path, script, soak="700ms", rate=250.0)
    assert_rules_hold(verdict)
    code, output = observed["end"]
    assert code == 0, output
    counts = [RunningCount.parse(line) for line in output.splitlines() if "adopting" in line]
    known = [count.running for count in counts if not count.unknown]
    assert known == sorted(known), output
    assert len(set(known)) >= 4, output
    for earlier, later in itertools.pairwise(counts):  # who is not heard of may run it, nobody else
        assert later.running + later.unknown >= earlier.running, output
    assert fleet.served_versions().keys() == {0, 1}


def ranks_of_stage(fleet, voter: int) -> set[int]:
    """Return the gateways that should run the rollout's version, by the voter's file."""
    file = RolloutStorage(RealBackend(), str(fleet.folder / f"gw-{voter}")).read_voter()
    rollout = replicated_state.decode(file.accepted_state).rollout
    return {rank for rank in range(fleet.count) if rollout.includes(rank)}


def latest_entry_number(status) -> int:
    """Return the number of the version that the history's last entry is about, -1 without any."""
    history = status["history"]
    return history[-1]["version"]["number"] if history else -1


@pytest.mark.parametrize("dies", [False, True], ids=["", "and the leader dies"])
def test_a_harmful_stage_is_detected_and_rolled_back_under_load(tmp_path, dies):
    def script(fleet):
        fleet.edit_rules(GOOD_UPLOAD, BAD_UPLOAD)
        thread, found = fleet.start_command("propose", "--reason", "uploads cost too much")
        if dies:
            adopted = fleet.wait_for_status(lambda status: status["stage"] == "adopting" or found)
            if not adopted["stage"]:  # on a busy machine another one led meanwhile: the command said so
                assert found[0][0], found
                thread, found = fleet.start_command("propose", "--reason", "uploads cost too much")
                fleet.wait_for_status(lambda status: status["stage"] == "adopting")
            leader = fleet.leader()
            fleet.kill(leader)
            observed["nobody runs it"] = ranks_of_stage(fleet, leader) == {leader}
        thread.join(80)
        observed["end"] = found
        if dies:
            fleet.start(leader)
        fleet.wait_for_status(all_run(2))
        observed["undone"] = fleet.now()
        # The rollback's own entry follows once all gateways have reported; until then the last is version 1's
        observed["status"] = fleet.wait_for_status(lambda status: latest_entry_number(status) == 2)

    observed: dict = {"nobody runs it": False}
    verdict, fleet = run_fleet_of_nine(
        tmp_path,
        script,
        soak="8s",
        lease="8s",  # longer than an election: no gateway stops serving, which would look like harm
        rate=150.0,  # answers enough on a busy machine, too
    )
    assert_rules_hold(verdict)
    code, output = observed["end"][0]
    if observed["nobody runs it"]:  # without evidence the stage lasts longer than the command waits
        assert (code, output.splitlines()[-1][:14]) == (3, "it is not over"), observed
    else:
        assert code == 1, observed
    history = observed["status"]["history"]
    assert "undone" in [entry["state"] for entry in history]
    reason = history[-1]["version"]["reason"]
    assert "reverted after a regression: " in reason, reason
    assert "test-upload" in reason, reason
    assert history[-1]["version"]["parts"] == history[0]["version"]["parts"]
    assert len(fleet.served_versions().get(1, set())) <= 5, "more than two stages went by it"
    assert fleet.served_versions(observed["undone"]).keys() <= {2}
