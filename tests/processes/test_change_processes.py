"""Fleet versions with whole processes on loopback sockets, under load, with faults between them.

Three voters where one of them dies; else nine gateways, five of them voters.
"""

from __future__ import annotations

import json
import socket

import msgspec
import pytest
from harness.process_fleets import COST, EDITED, SECOND, fleet_of, rules_hold

from orchidlane.gateway.control.customers import CustomerRecord, make_customer
from orchidlane.gateway.control.settings_loader import parse_host_port
from orchidlane.rollout import messages

LEASE = 2 * SECOND


def test_an_edit_is_approved_adopted_and_undone_on_every_gateway(tmp_path):
    """Three voters. An answer carries the version that it was made by; after the undo the prior one alone."""

    def work(fleet):
        fleet.edit_rules(COST, EDITED)
        code, words = fleet.command("propose", "--reason", "curves cost more")
        assert code == 0, words
        told["done"] = fleet.now()
        fleet.until(lambda one: one["leads"] and [it["runs"] for it in one["gateways"]] == [1, 1, 1])
        code, words = fleet.command("undo", "--reason", "too dear")
        assert code == 0, words
        told["undone"] = fleet.now()
        status = fleet.until(lambda one: one["leads"] and one["change"] is None)
        assert status["current"]["parts"] == status["history"][0]["version"]["parts"]
        assert [entry["state"] for entry in status["history"]] == ["done", "done", "done"]
        told["again"] = fleet.command("undo", "1")

    told: dict = {}
    verdict, fleet = fleet_of(tmp_path, work)
    rules_hold(verdict)
    assert "has these contents already" in told["again"][1], told
    assert fleet.seen().keys() <= {0, 1, 2}
    assert fleet.seen(told["done"], told["undone"]).keys() <= {1, 2}
    assert fleet.seen(told["undone"]).keys() <= {2}


# The leader's own datagrams on the way of one edit: prepare and accept for each of propose, approve, finish.
STEPS = [(kind, nth) for nth in (1, 2, 3) for kind in (messages.Prepare, messages.Accept)]


@pytest.mark.parametrize(("kind", "nth"), STEPS, ids=[f"{kind.__name__}-{nth}" for kind, nth in STEPS])
def test_the_leader_is_killed_at_each_step_and_the_change_goes_on_or_back(tmp_path, kind, nth):
    def work(fleet):
        fleet.leader()
        ballots: dict[int, set] = {}

        def strike(sender, _receiver, message):
            """Kill it as the first copy of its nth message of the kind passes; the others may never leave.

            Whoever sends such messages leads: on a busy machine that may not be who led a moment ago.
            """
            if isinstance(message, kind):
                ballots.setdefault(sender, set()).add(message.ballot)
                if len(ballots[sender]) == nth and "killed" not in told:
                    told["killed"] = sender
                    fleet.kill(sender)

        fleet.on_message(strike)
        fleet.edit_rules(COST, EDITED)
        told["end"] = fleet.command("propose", "--reason", "curves cost more")
        assert "killed" in told, "the leader never came so far"
        leader = told["killed"]
        rest = [rank for rank in range(3) if rank != leader]
        status = fleet.until(lambda one: one["leads"] and one["leader"] in rest and one["change"] is None)
        told["number"] = number = status["current"]["number"]
        fleet.start(leader)
        fleet.until(
            lambda one: one["leads"] and all(gateway["runs"] == number for gateway in one["gateways"])
        )
        told["all"] = fleet.now()

    told: dict = {}
    verdict, fleet = fleet_of(tmp_path, work, lease="1500ms")
    rules_hold(verdict)
    code, words = told["end"]
    assert code in (0, 1), words
    assert told["number"] == (1 if code == 0 else 0), (told, words)
    assert fleet.seen(told["all"]).keys() <= {told["number"]}


def nine(tmp_path, work, **change):
    return fleet_of(tmp_path, work, gateways=9, voters=5, **change)


def test_a_leader_in_the_minority_changes_nothing_and_the_majority_goes_on(tmp_path):
    def work(fleet):
        leader = fleet.leader()
        other = (leader + 1) % 5
        minority, majority = {leader, other, 7}, {*range(9)} - {leader, other, 7}
        fleet.cut(minority, majority)
        told["cut"] = fleet.now()
        fleet.edit_rules(COST, EDITED)
        told["end"] = fleet.command("propose", "--reason", "in a split")
        assert told["end"][0] == 0, told["end"]
        told["over"] = fleet.now()
        told["healed"] = fleet.now()
        fleet.heal()
        fleet.until(lambda one: one["leads"] and all(gateway["runs"] == 1 for gateway in one["gateways"]))
        told["all"] = fleet.now()
        told["minority"] = {f"gw-{rank}" for rank in minority}

    told: dict = {}
    verdict, fleet = nine(tmp_path, work)
    rules_hold(verdict)
    assert "not confirmed, and not serving" in told["end"][1]
    late = fleet.seen(told["cut"] + LEASE + SECOND // 2, told["healed"])
    assert not told["minority"] & set().union(*late.values()), "who was cut off serves on after its lease"
    assert fleet.seen(told["all"]).keys() <= {1}


@pytest.mark.parametrize("deaf", [True, False], ids=["leader hears nobody", "nobody hears the leader"])
def test_a_leader_that_is_cut_off_one_way_is_followed_by_another(tmp_path, deaf):
    def work(fleet):
        leader = fleet.leader()
        rest = {*range(9)} - {leader}
        fleet.cut(*((rest, {leader}) if deaf else ({leader}, rest)), both=False)
        fleet.edit_rules(COST, EDITED)
        told["end"] = fleet.command("propose", "--reason", "one way")
        assert told["end"][0] == 0, told["end"]
        fleet.heal()
        fleet.until(lambda one: one["leads"] and all(gateway["runs"] == 1 for gateway in one["gateways"]))
        told["all"] = fleet.now()

    told: dict = {}
    verdict, fleet = nine(tmp_path, work)
    rules_hold(verdict)
    assert fleet.seen(told["all"]).keys() <= {1}


def test_a_slow_voter_and_connections_that_trickle_hold_nothing_up_for_good(tmp_path):
    def work(fleet):
        leader = fleet.leader()
        fleet.slow({(leader + 1) % 5, 8}, 150_000, 64)
        fleet.links.reset.update({(rank, leader): 0.3 for rank in range(9) if rank != leader})
        fleet.edit_rules(COST, EDITED)
        told["end"] = fleet.command("propose", "--reason", "slowly")
        fleet.heal()
        fleet.until(lambda one: one["leads"] and all(gateway["runs"] == 1 for gateway in one["gateways"]))

    told: dict = {}
    verdict, _ = nine(tmp_path, work)
    rules_hold(verdict)
    assert told["end"][0] == 0, told


def test_who_stood_still_during_an_undo_or_comes_back_with_old_files_serves_nothing_undone(tmp_path):
    """With requests in its buffers, and with the files of the undone version. One of them is a voter."""

    def work(fleet):
        fleet.edit_rules(COST, EDITED)
        assert fleet.command("propose", "--reason", "to be undone")[0] == 0
        asleep, voter = (6, 3)
        kept = {rank: fleet.files(rank) for rank in (voter, 7)}
        fleet.still(asleep)
        told["asleep"] = fleet.now()
        code, told["words"] = fleet.command("undo")
        assert code == 0, told
        told["undone"] = fleet.now()
        fleet.wake(asleep)
        fleet.kill(voter, 7)
        for rank, files in kept.items():
            fleet.put_back(rank, files)
        fleet.start(voter, 7)
        fleet.until(lambda one: one["leads"] and all(gateway["runs"] == 2 for gateway in one["gateways"]))
        told["old disk"] = fleet.words(voter), (fleet.folder / f"gw-{voter}.log").read_text()

    told: dict = {}
    verdict, fleet = nine(tmp_path, work)
    rules_hold(verdict)
    assert "gw-6" not in fleet.seen(told["asleep"]).get(1, set()), "requests in its buffers"
    assert fleet.seen(told["undone"]).keys() <= {2}
    assert "the disk is an old one" in told["old disk"][1], told["old disk"][0]


def test_a_voter_with_an_empty_or_cut_disk_waits_until_it_is_admitted(tmp_path):
    def work(fleet):
        fleet.edit_rules(COST, EDITED)
        assert fleet.command("propose", "--reason", "first")[0] == 0
        leader = fleet.leader()
        empty, cut = ((leader + 1) % 5, (leader + 2) % 5)
        for rank in (empty, cut):
            fleet.kill(rank)
            files = fleet.files(rank) if rank == cut else {}
            fleet.put_back(rank, {path: data[: len(data) // 2] for path, data in files.items()})
            fleet.start(rank)
        fleet.until(lambda one: len(one["seats"]) == 5 and one["leads"])
        # Two others die: the quorum is the leader and the two that were admitted.
        rest = [rank for rank in range(5) if rank not in (leader, empty, cut)]
        told["log"] = (fleet.folder / f"gw-{cut}.log").read_text()
        fleet.kill(*rest)
        told["end"] = fleet.command("undo")
        fleet.start(*rest)

    told: dict = {}
    verdict, _ = nine(tmp_path, work)
    rules_hold(verdict)
    assert told["end"][0] == 0, told["end"]
    assert "the voter's disk is lost: it waits to be admitted" in told["log"]


def test_half_of_the_fleet_dies_during_a_change_and_one_joins_in_its_midst(tmp_path):
    def work(fleet):
        fleet.kill(8)
        fleet.edit_rules(COST, EDITED)
        thread, found = fleet.begin("propose", "--reason", "half of it dies")
        fleet.until(lambda one: one["stage"] == "adopting")
        leader = fleet.leader()
        dead = [(leader + 1) % 5, (leader + 2) % 5, 5, 6]
        fleet.kill(*dead)
        fleet.start(8)
        thread.join(60)
        told["end"] = found
        fleet.start(*dead)
        fleet.until(lambda one: one["leads"] and all(gateway["runs"] == 1 for gateway in one["gateways"]))
        told["all"] = fleet.now()

    told: dict = {}
    verdict, fleet = nine(tmp_path, work)
    rules_hold(verdict)
    assert told["end"][0][0] == 0, told
    assert fleet.seen(told["all"]).keys() <= {1}


def test_of_two_proposers_one_wins_and_bad_content_reaches_no_voter(tmp_path):
    def work(fleet):
        fleet.edit_rules(COST, EDITED)
        threads = [
            fleet.begin("propose", "--author", name, "--reason", f"of {name}") for name in ("ann", "bob")
        ]
        for thread, found in threads:
            thread.join(60)
            told.setdefault("ends", []).append(found[0])
        fleet.edit_rules(EDITED, "{class: nobody, cost: minus}")
        told["bad"] = fleet.command("propose")
        told["forged"] = forged(fleet)
        told["status"] = fleet.status()

    told: dict = {}
    verdict, _ = fleet_of(tmp_path, work)
    rules_hold(verdict)
    assert sorted(code for code, _ in told["ends"]) == [0, 1], told
    lost = next(words for code, words in told["ends"] if code)
    assert "not taken: " in lost and ("of ann" in lost or "of bob" in lost or "already" in lost), lost
    assert told["bad"][0] == 2 and "paths//sheets" in told["bad"][1] and "Traceback" not in told["bad"][1]
    assert told["forged"] == {403}
    assert told["status"]["current"]["number"] == 1


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


def test_a_set_moves_while_its_subscriber_bursts_over_all_gateways_and_a_keeper_stands_still(tmp_path):
    """Six gateways, sets of three. The audit holds the ceiling over all that nodes saw."""

    def work(fleet):
        path = fleet.folder / "customers.json"
        customers = json.loads(path.read_text())["customers"]
        moving = next(one for one in customers if one["plan"] == "amplio")
        known = make_customer(
            msgspec.convert(moving, CustomerRecord), fleet.runner.plan.fleet, ["basico", "amplio"]
        )
        moving["first"] = (known.replica_set_start + 3) % 6
        path.write_text(json.dumps({"customers": customers}))
        leader = fleet.leader()
        asleep = next(rank for rank in range(6) if rank != leader)

        def strike(_sender, _receiver, message):
            """It stands still from the first vote on the hold on."""
            if isinstance(message, messages.VersionVote) and "still" not in told:
                told["still"] = True
                fleet.still(asleep)

        fleet.on_message(strike)
        thread, found = fleet.begin("propose", "--reason", "the map of sets")
        thread.join(60)
        told["end"] = found
        fleet.wake(asleep)
        fleet.until(lambda one: one["leads"] and all(gateway["runs"] == 2 for gateway in one["gateways"]))
        told["status"] = fleet.status()

    told: dict = {}
    verdict, _ = fleet_of(
        tmp_path, work, gateways=6, rate=250.0, customers=2, plans={"amplio": {"spread": 3}}
    )
    rules_hold(verdict)
    assert told["end"][0][0] == 0, told
    assert told["status"]["current"]["number"] == 2
    assert verdict.ceiling_worst <= 1


GOOD_UPLOAD, BAD_UPLOAD = "worth: 2, cost: 2}", "worth: 2, cost: 40}"  # beyond any plan's burst


def test_a_good_version_passes_all_stages_old_beside_new(tmp_path):
    def work(fleet):
        fleet.edit_rules(COST, EDITED)
        told["end"] = fleet.command("propose", "--reason", "by stages")

    told: dict = {}
    verdict, fleet = nine(tmp_path, work, soak="700ms", rate=250.0)
    rules_hold(verdict)
    code, words = told["end"]
    assert code == 0, words
    done = [
        int(line.split("adopting, ")[1].split(" of")[0]) for line in words.splitlines() if "adopting" in line
    ]
    assert done == sorted(done) and len(set(done)) >= 4, words
    assert fleet.seen().keys() == {0, 1}


@pytest.mark.parametrize("dies", [False, True], ids=["", "and the leader dies"])
def test_a_bad_stage_is_found_and_taken_back_under_load(tmp_path, dies):
    def work(fleet):
        fleet.edit_rules(GOOD_UPLOAD, BAD_UPLOAD)
        thread, found = fleet.begin("propose", "--reason", "uploads cost too much")
        if dies:
            adopted = fleet.until(lambda one: one["stage"] == "adopting" or found)
            if not adopted["stage"]:  # on a busy machine another one led meanwhile: the command said so
                assert found[0][0], found
                thread, found = fleet.begin("propose", "--reason", "uploads cost too much")
                fleet.until(lambda one: one["stage"] == "adopting")
            leader = fleet.leader()
            fleet.kill(leader)
        thread.join(80)
        told["end"] = found
        if dies:
            fleet.start(leader)
        told["status"] = fleet.until(
            lambda one: one["leads"] and all(gateway["runs"] == 2 for gateway in one["gateways"])
        )
        told["undone"] = fleet.now()

    told: dict = {}
    verdict, fleet = nine(tmp_path, work, soak="8s", rate=150.0)  # answers enough on a busy machine, too
    rules_hold(verdict)
    assert told["end"] and told["end"][0][0] == 1, told
    history = told["status"]["history"]
    assert "undone" in [entry["state"] for entry in history]
    reason = history[-1]["version"]["reason"]
    assert "stopped at harm: " in reason and "test-upload" in reason, reason
    assert history[-1]["version"]["parts"] == history[0]["version"]["parts"]
    assert len(fleet.seen().get(1, set())) <= 5, "more than two stages went by it"
    assert fleet.seen(told["undone"]).keys() <= {2}


def test_a_voter_that_is_upgraded_goes_on_with_the_version_and_its_votes(tmp_path):
    """Never two processes that vote with one disk: the old one stops before the new one reads it."""

    def work(fleet):
        fleet.edit_rules(COST, EDITED)
        assert fleet.command("propose", "--reason", "before the upgrade")[0] == 0
        leader = fleet.leader()
        other = (leader + 1) % 3
        told["upgrades"] = [fleet.upgrade(rank) for rank in (other, leader)]
        told["end"] = fleet.command("undo")
        fleet.until(lambda one: one["leads"] and all(gateway["runs"] == 2 for gateway in one["gateways"]))
        told["all"] = fleet.now()
        told["logs"] = [(fleet.folder / f"gw-{rank}.log").read_text() for rank in (other, leader)]

    told: dict = {}
    verdict, fleet = fleet_of(tmp_path, work)
    rules_hold(verdict)
    assert [code for code, _ in told["upgrades"]] == [0, 0], told["upgrades"]
    assert told["end"][0] == 0, told["end"]
    assert fleet.seen(told["all"]).keys() <= {2}
    assert not any("the disk is an old one" in log or "Traceback" in log for log in told["logs"])
