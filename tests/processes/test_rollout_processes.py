"""Fleet versions with whole processes on loopback sockets, under load, with faults between them.

Three voters where one of them dies; else nine gateways, five of them voters.
"""

from __future__ import annotations

import json
import socket

import msgspec
import pytest
from harness.constants import SECOND
from harness.process_fleets import COST, EDITED, all_run, assert_rules_hold, run_fleet, run_fleet_of_nine

from orchidlane.gateway.control.customers import CustomerRecord, make_customer
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.rollout import messages

LEASE = 8 * SECOND


def test_an_edit_is_approved_adopted_and_rolled_back_on_every_gateway(tmp_path):
    """Three voters. An answer carries the version that it was made by; after the undo the prior one alone."""

    def script(fleet):
        fleet.edit_rules(COST, EDITED)
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


# The leader's own datagrams on the way of one edit: prepare and accept for each of propose, approve, finish.
STEPS = [(kind, nth) for nth in (1, 2, 3) for kind in (messages.Prepare, messages.Accept)]


@pytest.mark.parametrize(("kind", "nth"), STEPS, ids=[f"{kind.__name__}-{nth}" for kind, nth in STEPS])
def test_the_leader_is_killed_at_each_step_and_the_change_goes_on_or_back(tmp_path, kind, nth):
    def script(fleet):
        fleet.leader()
        ballots: dict[int, set] = {}

        def strike(sender, _receiver, message):
            """Kill it as the first copy of its nth message of the kind passes; the others may never leave.

            Whoever sends such messages leads: on a busy machine that may not be who led a moment ago.
            """
            if isinstance(message, kind):
                ballots.setdefault(sender, set()).add(message.ballot)
                if len(ballots[sender]) == nth and "killed" not in observed:
                    observed["killed"] = sender
                    fleet.kill(sender)

        fleet.on_message(strike)
        fleet.edit_rules(COST, EDITED)
        observed["end"] = fleet.command("propose", "--reason", "curves cost more")
        assert "killed" in observed, "the leader never came so far"
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


def test_a_leader_in_a_minority_partition_commits_nothing_and_the_majority_proceeds(tmp_path):
    def script(fleet):
        leader = fleet.leader()
        other = (leader + 1) % 5
        minority, majority = {leader, other, 7}, {*range(9)} - {leader, other, 7}
        fleet.cut(minority, majority)
        observed["cut"] = fleet.now()
        fleet.edit_rules(COST, EDITED)
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
    late = fleet.served_versions(observed["cut"] + LEASE + SECOND // 2, observed["healed"])
    assert not observed["minority"] & set().union(*late.values()), "who was cut off serves on after its lease"
    assert fleet.served_versions(observed["all"]).keys() <= {1}


@pytest.mark.parametrize("deaf", [True, False], ids=["leader hears nobody", "nobody hears the leader"])
def test_a_leader_cut_off_in_one_direction_is_replaced(tmp_path, deaf):
    def script(fleet):
        leader = fleet.leader()
        rest = {*range(9)} - {leader}
        fleet.cut(*((rest, {leader}) if deaf else ({leader}, rest)), both=False)
        fleet.edit_rules(COST, EDITED)
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
        fleet.edit_rules(COST, EDITED)
        observed["end"] = fleet.command("propose", "--reason", "slowly")
        fleet.heal()
        fleet.wait_for_status(all_run(1))

    observed: dict = {}
    verdict, _ = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert observed["end"][0] == 0, observed


def test_a_gateway_frozen_or_restored_during_a_rollback_does_not_serve_the_reverted_version(
    tmp_path,
):
    """With requests in its buffers, and with the files of the undone version. One of them is a voter."""

    def script(fleet):
        fleet.edit_rules(COST, EDITED)
        assert fleet.command("propose", "--reason", "to be undone")[0] == 0
        asleep, voter = (6, 3)
        kept = {rank: fleet.files(rank) for rank in (voter, 7)}
        fleet.freeze(asleep)
        observed["asleep"] = fleet.now()
        code, observed["output"] = fleet.command("undo")
        assert code == 0, observed
        observed["undone"] = fleet.now()
        fleet.thaw(asleep)
        fleet.kill(voter, 7)
        for rank, files in kept.items():
            fleet.replace_files(rank, files)
        fleet.start(voter, 7)
        fleet.wait_for_status(all_run(2))
        observed["old disk"] = fleet.log_tail(voter), (fleet.folder / f"gw-{voter}.log").read_text()

    observed: dict = {}
    verdict, fleet = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert "gw-6" not in fleet.served_versions(observed["asleep"]).get(1, set()), "requests in its buffers"
    assert fleet.served_versions(observed["undone"]).keys() <= {2}
    assert "the disk is an old copy" in observed["old disk"][1], observed["old disk"][0]


def test_a_voter_with_an_empty_or_truncated_disk_waits_until_it_is_admitted(tmp_path):
    def script(fleet):
        fleet.edit_rules(COST, EDITED)
        assert fleet.command("propose", "--reason", "first")[0] == 0
        leader = fleet.leader()
        empty, cut = ((leader + 1) % 5, (leader + 2) % 5)
        for rank in (empty, cut):
            fleet.kill(rank)
            files = fleet.files(rank) if rank == cut else {}
            fleet.replace_files(rank, {path: data[: len(data) // 2] for path, data in files.items()})
            fleet.start(rank)
        fleet.wait_for_status(lambda status: len(status["seats"]) == 5 and status["leads"])
        # Two others die: the quorum is the leader and the two that were admitted.
        rest = [rank for rank in range(5) if rank not in (leader, empty, cut)]
        observed["log"] = (fleet.folder / f"gw-{cut}.log").read_text()
        fleet.kill(*rest)
        observed["end"] = fleet.command("undo")
        fleet.start(*rest)

    observed: dict = {}
    verdict, _ = run_fleet_of_nine(tmp_path, script)
    assert_rules_hold(verdict)
    assert observed["end"][0] == 0, observed["end"]
    assert "the voter's disk is lost: it waits to be admitted" in observed["log"]


def test_a_rollout_completes_while_half_of_the_fleet_dies_and_a_gateway_joins(tmp_path):
    def script(fleet):
        fleet.kill(8)
        fleet.edit_rules(COST, EDITED)
        thread, found = fleet.start_command("propose", "--reason", "half of it dies")
        fleet.wait_for_status(lambda status: status["stage"] == "adopting")
        leader = fleet.leader()
        dead = [(leader + 1) % 5, (leader + 2) % 5, 5, 6]
        fleet.kill(*dead)
        assert fleet.status()["stage"] == "adopting", "the gateways died after the rollout"
        fleet.start(8)
        thread.join(60)
        observed["end"] = found
        fleet.start(*dead)
        fleet.wait_for_status(all_run(1))
        observed["all"] = fleet.now()

    observed: dict = {}
    # A dead gateway holds the rollout in its phase for a lease, which has to outlast some status queries.
    verdict, fleet = run_fleet_of_nine(tmp_path, script, lease="20s")
    assert_rules_hold(verdict)
    assert observed["end"][0][0] == 0, observed
    assert fleet.served_versions(observed["all"]).keys() <= {1}


def test_one_of_two_concurrent_proposals_wins_and_invalid_content_reaches_no_voter(tmp_path):
    def script(fleet):
        fleet.edit_rules(COST, EDITED)
        threads = [
            fleet.start_command("propose", "--author", name, "--reason", f"of {name}")
            for name in ("ann", "bob")
        ]
        for thread, found in threads:
            thread.join(60)
            observed.setdefault("ends", []).append(found[0])
        fleet.edit_rules(EDITED, "{class: nobody, cost: minus}")
        observed["bad"] = fleet.command("propose")
        observed["forged"] = forged(fleet)
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
    assert observed["forged"] == {403}
    assert observed["status"]["current"]["number"] == 1


def forged(fleet) -> set[int]:
    """What whoever merely reaches the admin address gets."""
    at = parse_host_port(fleet.runner.plan.fleet.gateways[0].admin)
    found = set()
    for head in (
        b"GET /change/status HTTP/1.1\r\nhost: a\r\n\r\n",
        b"GET /change/content/" + b"a" * 64 + b" HTTP/1.1\r\nhost: a\r\norchidlane-seal: 00\r\n\r\n",
        b"POST /change/command HTTP/1.1\r\nhost: a\r\norchidlane-seal: zz\r\ncontent-length: 2\r\n\r\n{}",
        b"PUT /change/content/" + b"a" * 64 + b" HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\nx",
    ):
        with socket.create_connection(at, 5) as sock:
            sock.sendall(head)
            found.add(int(sock.makefile("rb").readline().split()[1]))
    return found


def test_a_ceiling_holds_while_a_replica_set_migrates_and_a_token_owner_is_frozen(tmp_path):
    """Six gateways, sets of three. The audit holds the ceiling over all that nodes saw."""

    def script(fleet):
        path = fleet.folder / "customers.json"
        customers = json.loads(path.read_text())["customers"]
        moving = next(customer for customer in customers if customer["plan"] == "amplio")
        known = make_customer(
            msgspec.convert(moving, CustomerRecord), fleet.runner.plan.fleet, ["basico", "amplio"]
        )
        moving["first"] = (known.replica_set_start + 3) % 6
        path.write_text(json.dumps({"customers": customers}))
        leader = fleet.leader()
        asleep = next(rank for rank in range(6) if rank != leader)

        def strike(_sender, _receiver, message):
            """It stands still from the first vote on the hold on."""
            if isinstance(message, messages.VersionVote) and "still" not in observed:
                observed["still"] = True
                fleet.freeze(asleep)

        fleet.on_message(strike)
        thread, found = fleet.start_command("propose", "--reason", "the map of sets")
        thread.join(60)
        observed["end"] = found
        fleet.thaw(asleep)
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


def test_a_voter_keeps_its_version_and_votes_through_a_hot_restart(tmp_path):
    """Never two processes that vote with one disk: the old one stops before the new one reads it."""

    def script(fleet):
        fleet.edit_rules(COST, EDITED)
        assert fleet.command("propose", "--reason", "before the upgrade")[0] == 0
        leader = fleet.leader()
        other = (leader + 1) % 3
        observed["upgrades"] = [fleet.upgrade(rank) for rank in (other, leader)]
        observed["end"] = fleet.command("undo")
        fleet.wait_for_status(all_run(2))
        observed["all"] = fleet.now()
        observed["logs"] = [(fleet.folder / f"gw-{rank}.log").read_text() for rank in (other, leader)]

    observed: dict = {}
    verdict, fleet = run_fleet(tmp_path, script)
    assert_rules_hold(verdict)
    assert [code for code, _ in observed["upgrades"]] == [0, 0], observed["upgrades"]
    assert observed["end"][0] == 0, observed["end"]
    assert fleet.served_versions(observed["all"]).keys() <= {2}
    assert not any("the disk is an old copy" in log or "Traceback" in log for log in observed["logs"])
