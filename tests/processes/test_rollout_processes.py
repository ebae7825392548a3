"""Rollouts on gateway processes that use loopback sockets, under load and with injected faults.

A fleet has three gateways, all of them voters, or nine of which five are voters, unless a test differs.
"""

from __future__ import annotations

import json
import socket

import msgspec
import pytest
from harness.constants import SECOND
from harness.process_fleets import (
    COST_RULE,
    EDITED_COST_RULE,
    all_run,
    assert_rules_hold,
    run_fleet,
    run_fleet_of_nine,
)

from orchidlane.gateway.control.customers import CustomerRecord, make_customer
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.rollout import messages

LEASE_US = 8 * SECOND


def test_an_edit_is_approved_adopted_and_rolled_back_on_every_gateway(tmp_path):
    """Each response names the version that made it: after the undo, none may come from the undone version."""

    def script(fleet):
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        code, output = fleet.command("propose", "--reason", "curves cost more")
        assert code == 0, output
        observed["done"] = fleet.now()
        fleet.wait_for_status(
            lambda status: (
                status["leads"] and [gateway["runs"] for gateway in status["gateways"]] == [1, 1, 1]
            )
        )
        code, output = fleet.command("undo", "--reason", "too dear")
        assert code == 0, output
        observed["undone"] = fleet.now()
        status = fleet.wait_for_status(lambda status: status["leads"] and status["change"] is None)
        assert status["current"]["parts"] == status["history"][0]["version"]["parts"]
        assert [entry["state"] for entry in status["history"]] == ["done", "done", "done"]
        observed["again"] = fleet.command("undo", "1")

    observed: dict = {}
    verdict, fleet = run_fleet(tmp_path, script)
    assert_rules_hold(verdict)
    assert "already has these contents" in observed["again"][1], observed
    assert fleet.served_versions().keys() <= {0, 1, 2}
    assert fleet.served_versions(observed["done"], observed["undone"]).keys() <= {1, 2}
    assert fleet.served_versions(observed["undone"]).keys() <= {2}


# The leader sends Prepare and Accept for each of the state changes of an edit: propose, approve and finish.
STEPS = [(kind, nth) for nth in (1, 2, 3) for kind in (messages.Prepare, messages.Accept)]


@pytest.mark.parametrize(("kind", "nth"), STEPS, ids=[f"{kind.__name__}-{nth}" for kind, nth in STEPS])
def test_an_edit_completes_or_reverts_if_the_leader_dies_at_any_step(tmp_path, kind, nth):
    def script(fleet):
        fleet.leader()
        ballots: dict[int, set] = {}

        def kill_sender(sender, _receiver, message):
            """Kill the sender when the first copy of its nth ballot of this kind passes.

            Copies to other voters may not have been sent by then. The sender of such messages is the leader;
            on a busy machine that may be another gateway than the one that led before.
            """
            if isinstance(message, kind):
                ballots.setdefault(sender, set()).add(message.ballot)
                if len(ballots[sender]) == nth and "killed" not in observed:
                    observed["killed"] = sender
                    fleet.kill(sender)

        fleet.on_message(kill_sender)
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        observed["end"] = fleet.command("propose", "--reason", "curves cost more")
        assert "killed" in observed, "no leader sent so many ballots of this kind"
        leader = observed["killed"]
        rest = [rank for rank in range(3) if rank != leader]
        status = fleet.wait_for_status(
            lambda status: status["leads"] and status["leader"] in rest and status["change"] is None
        )
        observed["number"] = number = status["current"]["number"]
        fleet.start(leader)
        fleet.wait_for_status(all_run(number))
        observed["all"] = fleet.now()

    observed: dict = {}
    verdict, fleet = run_fleet(tmp_path, script)
    assert_rules_hold(verdict)
    code, output = observed["end"]
    assert code in (0, 1), output
    assert observed["number"] == (1 if code == 0 else 0), (observed, output)
    assert fleet.served_versions(observed["all"]).keys() <= {observed["number"]}


def test_a_leader_in_a_minority_commits_nothing_and_the_majority_proceeds(tmp_path):
    def script(fleet):
        leader = fleet.leader()
        other = (leader + 1) % 5
        minority, majority = {leader, other, 7}, {*range(9)} - {leader, other, 7}
        fleet.cut(minority, majority)
        observed["cut"] = fleet.now()
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        observed["end"] = fleet.command("propose", "--reason", "in a split")
        assert observed["end"][0] == 0, observed["end"]
        observed["over"] = fleet.now()
        observed["healed"] = fleet.now()
        fleet.heal()
        fleet.wait_for_status(all_run(1))
        observed["all"] = fleet.now()
        observed["minority"] = {f"gw-{rank}" for rank in minority}

    observed: dict = {}
    verdict, fleet = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert "not confirmed, and not serving" in observed["end"][1]
    late = fleet.served_versions(observed["cut"] + LEASE_US + SECOND // 2, observed["healed"])
    assert not observed["minority"] & set().union(*late.values()), (
        "a gateway without a quorum serves after its lease has expired"
    )
    assert fleet.served_versions(observed["all"]).keys() <= {1}


@pytest.mark.parametrize("cut_incoming", [True, False], ids=["to the leader", "from the leader"])
def test_a_leader_cut_off_in_one_direction_is_replaced(tmp_path, cut_incoming):
    def script(fleet):
        leader = fleet.leader()
        rest = {*range(9)} - {leader}
        fleet.cut(*((rest, {leader}) if cut_incoming else ({leader}, rest)), both=False)
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        observed["end"] = fleet.command("propose", "--reason", "one way")
        assert observed["end"][0] == 0, observed["end"]
        fleet.heal()
        fleet.wait_for_status(all_run(1))
        observed["all"] = fleet.now()

    observed: dict = {}
    verdict, fleet = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert fleet.served_versions(observed["all"]).keys() <= {1}


def test_a_slow_voter_and_slow_connections_do_not_block_a_rollout(tmp_path):
    def script(fleet):
        leader = fleet.leader()
        fleet.slow_down({(leader + 1) % 5, 8}, 150_000, 64)
        fleet.links.reset_probability.update({(rank, leader): 0.3 for rank in range(9) if rank != leader})
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        observed["end"] = fleet.command("propose", "--reason", "slowly")
        fleet.heal()
        fleet.wait_for_status(all_run(1))

    observed: dict = {}
    verdict, _ = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert observed["end"][0] == 0, observed


def test_a_gateway_that_misses_a_rollback_never_serves_the_undone_version(tmp_path):
    """Three gateways miss the rollback.

    One is frozen with requests in its socket buffers. A voter and another gateway are restarted from files
    that they stored while the undone version ran.
    """

    def script(fleet):
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        assert fleet.command("propose", "--reason", "to be undone")[0] == 0
        frozen, voter = (6, 3)
        old_files = {rank: fleet.files(rank) for rank in (voter, 7)}
        fleet.freeze(frozen)
        observed["frozen_at"] = fleet.now()
        code, observed["output"] = fleet.command("undo")
        assert code == 0, observed
        observed["undone"] = fleet.now()
        fleet.thaw(frozen)
        fleet.kill(voter, 7)
        for rank, files in old_files.items():
            fleet.replace_files(rank, files)
        fleet.start(voter, 7)
        fleet.wait_for_status(all_run(2))
        observed["old disk"] = fleet.log_tail(voter), (fleet.folder / f"gw-{voter}.log").read_text()

    observed: dict = {}
    verdict, fleet = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert "gw-6" not in fleet.served_versions(observed["frozen_at"]).get(1, set()), (
        "served buffered requests"
    )
    assert fleet.served_versions(observed["undone"]).keys() <= {2}
    assert "the disk is an old copy" in observed["old disk"][1], observed["old disk"][0]


def test_a_voter_with_missing_or_truncated_files_waits_for_admission(tmp_path):
    def script(fleet):
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        assert fleet.command("propose", "--reason", "first")[0] == 0
        leader = fleet.leader()
        empty, truncated = ((leader + 1) % 5, (leader + 2) % 5)
        for rank in (empty, truncated):
            fleet.kill(rank)
            files = fleet.files(rank) if rank == truncated else {}
            fleet.replace_files(rank, {path: data[: len(data) // 2] for path, data in files.items()})
            fleet.start(rank)
        fleet.wait_for_status(lambda status: len(status["seats"]) == 5 and status["leads"])
        # The other two voters are killed: the leader and the two admitted voters are the quorum.
        rest = [rank for rank in range(5) if rank not in (leader, empty, truncated)]
        observed["log"] = (fleet.folder / f"gw-{truncated}.log").read_text()
        fleet.kill(*rest)
        observed["end"] = fleet.command("undo")
        fleet.start(*rest)

    observed: dict = {}
    verdict, _ = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert observed["end"][0] == 0, observed["end"]
    assert "voter file unusable; waiting for admission with a new store" in observed["log"]


def test_a_rollout_completes_while_half_the_fleet_dies_and_one_joins(tmp_path):
    def script(fleet):
        fleet.kill(8)
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        thread, results = fleet.start_command("propose", "--reason", "half of it dies")
        fleet.wait_for_status(lambda status: status["stage"] == "adopting")
        leader = fleet.leader()
        dead = [(leader + 1) % 5, (leader + 2) % 5, 5, 6]
        fleet.kill(*dead)
        assert fleet.status()["stage"] == "adopting", "the rollout ended before the gateways were killed"
        fleet.start(8)
        thread.join(60)
        observed["end"] = results
        fleet.start(*dead)
        fleet.wait_for_status(all_run(1))
        observed["all"] = fleet.now()

    observed: dict = {}
    # Dead gateways keep the rollout in the adopting phase for one lease. The lease is longer than the status
    # queries take, so that the script still sees that phase.
    verdict, fleet = run_fleet_of_nine(tmp_path, script, lease="20s")
    assert_rules_hold(verdict)
    assert observed["end"][0][0] == 0, observed
    assert fleet.served_versions(observed["all"]).keys() <= {1}


def test_one_of_two_concurrent_proposals_wins_and_invalid_ones_fail(tmp_path):
    def script(fleet):
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        threads = [
            fleet.start_command("propose", "--author", name, "--reason", f"of {name}")
            for name in ("ann", "bob")
        ]
        for thread, results in threads:
            thread.join(60)
            observed.setdefault("ends", []).append(results[0])
        fleet.edit_rules(EDITED_COST_RULE, "{class: nobody, cost: minus}")
        observed["bad"] = fleet.command("propose")
        observed["unsealed"] = statuses_of_unsealed_calls(fleet)
        observed["status"] = fleet.status()

    observed: dict = {}
    verdict, _ = run_fleet(tmp_path, script)
    assert_rules_hold(verdict)
    assert sorted(code for code, _ in observed["ends"]) == [0, 1], observed
    lost = next(output for code, output in observed["ends"] if code)
    assert "not taken: " in lost
    assert "of ann" in lost or "of bob" in lost or "already" in lost, lost
    code, output = observed["bad"]
    assert code == 2
    assert "paths//sheets" in output
    assert "Traceback" not in output
    assert observed["unsealed"] == {403}
    assert observed["status"]["current"]["number"] == 1


def statuses_of_unsealed_calls(fleet) -> set[int]:
    """Return the HTTP status codes of rollout API calls without a valid seal."""
    address = parse_host_port(fleet.runner.plan.fleet.gateways[0].admin)
    statuses = set()
    for head in (
        b"GET /change/status HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET /change/content/" + b"a" * 64 + b" HTTP/1.1\r\nhost: a\r\norchidlane-seal: 00\r\n\r\n",
        b"POST /change/command HTTP/1.1\r\nhost: a\r\norchidlane-seal: zz\r\ncontent-length: 2\r\n\r\n{}",
        b"PUT /change/content/" + b"a" * 64 + b" HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx",
    ):
        with socket.create_connection(address, 5) as sock:
            sock.sendall(head)
            statuses.add(int(sock.makefile("rb").readline().split()[1]))
    return statuses


def test_a_ceiling_holds_while_a_set_migrates_and_a_gateway_is_frozen(tmp_path):
    """Six gateways, replica sets of three; the audit checks the ceiling over the records of all gateways."""

    def script(fleet):
        path = fleet.folder / "customers.json"
        customers = json.loads(path.read_text())["customers"]
        moving = next(customer for customer in customers if customer["plan"] == "amplio")
        customer = make_customer(
            msgspec.convert(moving, CustomerRecord), fleet.runner.plan.fleet, ["basico", "amplio"]
        )
        moving["first"] = (customer.replica_set_start + 3) % 6
        path.write_text(json.dumps({"customers": customers}))
        leader = fleet.leader()
        frozen = next(rank for rank in range(6) if rank != leader)

        def freeze_at_first_vote(_sender, _receiver, message):
            """Freeze a gateway at the first vote on the version that suspends the migrating customer."""
            if isinstance(message, messages.VersionVote) and "frozen" not in observed:
                observed["frozen"] = True
                fleet.freeze(frozen)

        fleet.on_message(freeze_at_first_vote)
        thread, results = fleet.start_command("propose", "--reason", "the map of sets")
        thread.join(60)
        observed["end"] = results
        fleet.thaw(frozen)
        fleet.wait_for_status(all_run(2))
        observed["status"] = fleet.status()

    observed: dict = {}
    verdict, _ = run_fleet(
        tmp_path, script, gateways=6, rate=250.0, customers=2, plans={"amplio": {"spread": 3}}
    )
    assert_rules_hold(verdict)
    assert observed["end"][0][0] == 0, observed
    assert observed["status"]["current"]["number"] == 2
    assert verdict.worst_ceiling_ratio <= 1


def test_a_voter_keeps_its_version_and_its_votes_in_a_hot_restart(tmp_path):
    """Two processes must never vote with the same file: the old one stops before the new one reads it."""

    def script(fleet):
        fleet.edit_rules(COST_RULE, EDITED_COST_RULE)
        assert fleet.command("propose", "--reason", "before the upgrade")[0] == 0
        leader = fleet.leader()
        other = (leader + 1) % 3
        observed["restarts"] = [fleet.upgrade(rank) for rank in (other, leader)]
        observed["end"] = fleet.command("undo")
        fleet.wait_for_status(all_run(2))
        observed["all"] = fleet.now()
        observed["logs"] = [(fleet.folder / f"gw-{rank}.log").read_text() for rank in (other, leader)]

    observed: dict = {}
    verdict, fleet = run_fleet(tmp_path, script)
    assert_rules_hold(verdict)
    assert [code for code, _ in observed["restarts"]] == [0, 0], observed["restarts"]
    assert observed["end"][0] == 0, observed["end"]
    assert fleet.served_versions(observed["all"]).keys() <= {2}
    assert not any("the disk is an old copy" in log or "Traceback" in log for log in observed["logs"])
