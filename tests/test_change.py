"""Fleet versions, the pure parts: contents and certificates, the ledger's steps, undo, mixing, leases."""

from __future__ import annotations

import random

import msgspec
import pytest
from harness.gateway_harness import MATERIALS
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane.gateway.rollout_agent.storage import Damaged, Files, VoterFile
from orchidlane.rollout import compatibility, messages
from orchidlane.rollout import replicated_state as steps
from orchidlane.rollout.bootstrap import found, own_waiting
from orchidlane.rollout.dissemination import Fetch, Spread
from orchidlane.rollout.replicated_state import (
    Admit,
    Approve,
    Claim,
    Fenced,
    Finish,
    Ledger,
    Propose,
    Refused,
    Resume,
    Settle,
    Stage,
    Stop,
    Widen,
    ranks_as_bits,
)
from orchidlane.rollout.rollback import Conflict, customers_without, rules_without
from orchidlane.rollout.version import Certificate, Parts, Seat, Version, cast, has_quorum, why_not_certified
from orchidlane.routes import build, load_description
from orchidlane.runtime import Loop, SimWorld

SECRET = b"a secret that is long enough"
OTHER = b"another secret, as long as that"
SEATS = tuple(Seat(rank, 100 + rank) for rank in range(3))
OLD, NEW, THIRD = Parts("a" * 64, "c" * 64), Parts("b" * 64, "c" * 64), Parts("d" * 64, "c" * 64)
ALL = ranks_as_bits(range(5), 5)
SECOND = 1_000_000


def first() -> Ledger:
    waiting = {rank: own_waiting(SECRET, rank, 100 + rank, OLD) for rank in range(3)}
    made = found(SECRET, range(3), waiting, OLD)
    assert isinstance(made, Ledger)
    return made


def led() -> Ledger:
    return Claim(0, 1).apply(first())


def proposed(latest: Ledger, parts: Parts = NEW, name: str = "one", undoes: int = 0) -> Ledger:
    version = latest.change.version if latest.change else latest.current.version
    return Propose(latest.term, name, parts, version.number, "me", "because", undoes).apply(latest)


def approved(latest: Ledger, yes=(0, 1), reach: bytes = ALL) -> Ledger:
    change = latest.change
    votes = tuple(cast(SECRET, SEATS[rank], change.version, change.term, True, "") for rank in yes)
    return Approve(latest.term, change.version.number, votes, reach).apply(latest)


def finished(latest: Ledger) -> Ledger:
    return Finish(latest.term, latest.change.version.number, "").apply(latest)


# Certificates


def test_a_certificate_holds_for_its_version_and_a_majority_of_its_seats_alone():
    good = approved(proposed(led())).change.certificate
    assert why_not_certified(SECRET, good) == ""
    assert "sealed" in why_not_certified(OTHER, good)
    other = msgspec.structs.replace(good, version=msgspec.structs.replace(good.version, parts=THIRD))
    assert "sealed" in why_not_certified(SECRET, other)
    later = msgspec.structs.replace(good, term=good.term + 1)
    assert "sealed" in why_not_certified(SECRET, later)
    one = msgspec.structs.replace(good, votes=good.votes[:1])
    assert why_not_certified(SECRET, one) == "1 of 3 voters are no quorum"
    twice = msgspec.structs.replace(good, votes=good.votes[:1] * 2)
    assert "no quorum" in why_not_certified(SECRET, twice)
    assert "names no voters" in why_not_certified(SECRET, msgspec.structs.replace(good, seats=()))


def test_a_no_is_no_yes_and_a_vote_of_another_store_counts_for_nothing():
    version = Version(1, NEW, 0)
    no = cast(SECRET, SEATS[0], version, 1, False, "it is bad")
    yes = cast(SECRET, SEATS[1], version, 1, True, "")
    stranger = cast(SECRET, Seat(2, 999), version, 1, True, "")
    found_ = why_not_certified(SECRET, Certificate(version, 1, SEATS, (no, yes, stranger)))
    assert found_ == "2 of 3 voters are no quorum"
    turned = msgspec.structs.replace(no, yes=True)
    assert "sealed" in why_not_certified(SECRET, Certificate(version, 1, SEATS, (turned, yes)))


@given(st.sets(st.integers(0, 6)), st.sets(st.integers(0, 6)))
def test_two_quorums_share_a_seat(ones, others):
    seats = [Seat(rank, rank) for rank in range(7)]
    both = [{seats[rank] for rank in ranks} for ranks in (ones, others)]
    if all(has_quorum(seats, those) for those in both):
        assert both[0] & both[1]


# Founding


def test_a_ledger_is_founded_by_all_voters_with_the_same_files_alone():
    waiting = {rank: own_waiting(SECRET, rank, 100 + rank, OLD) for rank in range(2)}
    assert found(SECRET, range(3), waiting, OLD) == "voters not heard of: [2]"
    waiting[2] = own_waiting(SECRET, 2, 102, NEW)
    assert found(SECRET, range(3), waiting, OLD) == "voters whose files differ from ours: [2]"
    waiting[2] = own_waiting(OTHER, 2, 102, OLD)
    assert "not sealed" in found(SECRET, range(3), waiting, OLD)
    assert why_not_certified(SECRET, first().current) == ""


# Steps


def test_an_edit_goes_its_way_and_every_gateway_is_wanted_to_run_it():
    latest = proposed(led())
    assert latest.change.stage is Stage.ASKED
    assert latest.target(4).version.number == 0
    latest = approved(latest, reach=ranks_as_bits([1, 4], 5))
    assert [latest.target(rank).version.number for rank in range(5)] == [0, 1, 0, 0, 1]
    latest = Widen(latest.term, 1, ALL).apply(latest)
    assert latest.target(0).version.number == 1
    latest = finished(latest)
    assert (latest.current.version.number, latest.change) == (1, None)
    assert [entry.state for entry in latest.history] == ["done", "done"]


def test_two_proposals_at_once_one_wins_and_the_other_hears_who_and_what():
    latest = proposed(led())
    with pytest.raises(Refused, match="version 1 of me is on its way: because"):
        Propose(1, "two", THIRD, 0, "you", "also").apply(latest)
    latest = finished(approved(latest))
    with pytest.raises(Refused, match="made from version 0, but 1 of me came since: because"):
        Propose(1, "two", THIRD, 0, "you", "also").apply(latest)


def test_a_proposal_told_again_is_the_same_one():
    latest = finished(approved(proposed(led(), name="one")))
    with pytest.raises(Refused, match="known already as version 1"):
        Propose(1, "one", NEW, 1, "me", "because").apply(latest)


def test_a_proposal_that_changes_nothing_is_refused():
    with pytest.raises(Refused, match="has these contents already"):
        proposed(led(), OLD)


def test_who_was_followed_by_another_leader_changes_nothing():
    latest = Claim(1, 2).apply(proposed(led()))
    for step in (
        Propose(1, "two", THIRD, 1, "me", "x"),
        Approve(1, 1, (), ALL),
        Stop(1, 1, "x"),
        Resume(1, 1),
        Finish(1, 1, ""),
        Widen(1, 1, ALL),
        Admit(1, 2, 5),
        Settle(1, 1),
    ):
        with pytest.raises(Fenced, match="term 1 is over"):
            step.apply(latest)
    with pytest.raises(Refused, match="term 2 has begun"):
        Claim(0, 2).apply(latest)


def test_votes_are_bound_to_the_term_that_they_were_asked_in():
    latest = Claim(1, 2).apply(proposed(led()))
    assert latest.change.term == 2
    old = tuple(cast(SECRET, SEATS[rank], latest.change.version, 1, True, "") for rank in (0, 1))
    made = Approve(2, 1, old, ALL).apply(latest)
    assert "sealed" in why_not_certified(SECRET, made.change.certificate)


def test_an_undo_on_the_way_takes_the_place_of_the_edit_with_the_prior_contents():
    latest = approved(proposed(led()), reach=ranks_as_bits([1], 5))
    with pytest.raises(Refused, match="prior contents are wanted"):
        Propose(1, "undo", THIRD, 1, "me", "harm", undoes=1).apply(latest)
    asked = Propose(1, "undo", OLD, 1, "me", "harm", undoes=1).apply(latest)
    assert asked.target(1).version.number == 1  # until a quorum approved it
    assert asked.target(0).version.number == 0
    back = approved(asked)
    assert {back.target(rank).version.number for rank in range(5)} == {2}
    assert back.target(0).version.parts == OLD
    assert back.history[-1].state == "undone"
    refused = Stop(1, 2, "no").apply(asked)
    assert refused.change.version.number == 1 and refused.halted is None
    with pytest.raises(Refused, match="itself on its way"):
        Propose(1, "undo it", NEW, 2, "me", "x", undoes=2).apply(back)


def test_undo_is_a_new_number_never_one_turned_back():
    latest = finished(approved(proposed(led())))
    latest = finished(approved(proposed(latest, OLD, "undo", undoes=1)))
    assert latest.current.version.number == 2
    assert latest.current.version.content == first().current.version.content
    turned = msgspec.structs.replace(latest, index=latest.index + 1, latest=1)
    assert steps.wrong_with(latest, turned) == "I1: something went back"


def test_a_stopped_change_goes_no_further_until_it_is_resumed():
    latest = approved(proposed(led()), reach=ranks_as_bits([1], 5))
    stopped = Stop(1, 1, "wait").apply(latest)
    with pytest.raises(Refused, match="stopped: wait"):
        Widen(1, 1, ALL).apply(stopped)
    with pytest.raises(Refused, match="stopped already"):
        Stop(1, 1, "wait").apply(stopped)
    assert Widen(1, 1, ALL).apply(Resume(1, 1).apply(stopped)).target(0).version.number == 1


def test_seats_change_one_at_a_time_and_both_have_to_agree_until_it_is_settled():
    latest = Admit(1, 2, 555).apply(led())
    assert latest.before == SEATS
    with pytest.raises(Refused, match="not settled"):
        Admit(1, 1, 556).apply(latest)
    with pytest.raises(Refused, match="another ledger"):
        Settle(1, latest.index - 1).apply(latest)
    settled = Settle(1, latest.index).apply(latest)
    assert settled.before == () and Seat(2, 555) in settled.seats
    with pytest.raises(Refused, match="so already"):
        Admit(1, 2, 555).apply(settled)
    smaller = Admit(1, 2, 0).apply(settled)
    assert [seat.rank for seat in smaller.seats] == [0, 1]
    both = msgspec.structs.replace(settled, index=settled.index + 1, seats=(Seat(0, 1), Seat(1, 2)))
    assert steps.wrong_with(settled, both).startswith("I5")


CHANCES = st.lists(st.tuples(st.integers(0, 8), st.integers(0, 4), st.booleans()), max_size=40)


@settings(max_examples=150, deadline=None)
@given(CHANCES)
def test_whatever_steps_come_the_invariants_hold(chances):
    latest = first()
    for number, (what, some, flag) in enumerate(chances):
        version = latest.change.version if latest.change else latest.current.version
        parts = latest.current.version.parts if flag else Parts(f"{some:064x}", "c" * 64)
        yes = tuple(cast(SECRET, seat, version, latest.term, True, "") for seat in latest.seats[: 1 + some])
        step = (
            Claim(some % 3, latest.term + flag),
            Propose(latest.term, f"p{number}", parts, version.number, "me", "x", version.number * flag),
            Approve(latest.term, version.number, yes, ALL),
            Stop(latest.term, version.number, "x"),
            Finish(latest.term, version.number, ""),
            Admit(latest.term, some % 3, number * flag),
            Settle(latest.term, latest.index),
            Widen(latest.term, version.number, ALL),
            Resume(latest.term, version.number),
        )[what]
        try:
            after = step.apply(latest)
        except Refused:
            continue
        assert steps.wrong_with(latest, after) == "", (step, latest)
        assert steps.decode(steps.encode(after)) == after
        latest = after
    assert len(latest.history) <= steps.HISTORY


def test_an_adoption_without_a_certificate_is_found():
    latest = proposed(led())
    change = msgspec.structs.replace(latest.change, stage=Stage.ADOPTING, reach=ALL)
    cheat = msgspec.structs.replace(latest, index=latest.index + 1, change=change)
    assert steps.wrong_with(latest, cheat) == "I2: adopted without a quorum's certificate"


# Undo of older edits

RULES = (MATERIALS / "openapi.yaml").read_bytes()


def with_cost(data: bytes, operation: bytes, cost: int) -> bytes:
    place = data.index(b"operationId: " + operation)
    at = data.index(b"}", data.index(b"x-orchidlane: {", place))
    inner = data[data.index(b"x-orchidlane: {", place) : at]
    return (
        data[:place]
        + data[place : at - len(inner)]
        + inner.split(b", cost")[0]
        + b", cost: %d" % cost
        + data[at:]
    )


def costs(data: bytes) -> dict[str, float]:
    generation = build(load_description(data, "o"), "o")
    return {one.name: one.cost for one in generation.operations}


def test_the_latest_edit_is_taken_back_to_the_byte():
    edited = with_cost(RULES, b"readCurve", 7)
    assert costs(edited)["readCurve"] == 7
    assert rules_without(RULES, edited, edited) is RULES


def test_an_older_edit_is_taken_back_and_later_ones_of_other_operations_stay():
    one = with_cost(RULES, b"readCurve", 7)
    two = with_cost(one, b"readSheet", 5)
    three = with_cost(two, b"issueReport", 9)
    found_ = costs(rules_without(one, two, three))
    assert (found_["readCurve"], found_["readSheet"], found_["issueReport"]) == (
        7,
        costs(RULES)["readSheet"],
        9,
    )


def test_an_edit_that_was_edited_again_is_a_conflict_by_the_operations_name():
    one = with_cost(RULES, b"readCurve", 7)
    two = with_cost(one, b"readCurve", 8)
    with pytest.raises(Conflict, match=r"edited again since: paths /sheets/\{material\}/curves.* get"):
        rules_without(RULES, one, two)


def test_an_operation_that_came_goes_and_one_that_went_comes_back():
    start = RULES.index(b"  /sheets/latest:")
    without = RULES[:start] + RULES[RULES.index(b"  /tests/{test}:") :]
    later = with_cost(without, b"readSheet", 5)
    again = costs(rules_without(RULES, without, later))
    assert again["readLatest"] == costs(RULES)["readLatest"] and again["readSheet"] == 5
    later = with_cost(RULES, b"readSheet", 5)
    assert "readLatest" not in costs(rules_without(without, RULES, later))


def customers(**plans: str) -> bytes:
    entries = [{"id": int(key[1:]), "plan": plan, "keys": []} for key, plan in plans.items()]
    return msgspec.json.encode({"customers": entries})


def test_customers_are_taken_back_one_by_one():
    before, after = customers(c1="basico"), customers(c1="basico", c2="basico")
    now = customers(c1="amplio", c2="basico")
    assert msgspec.json.decode(customers_without(before, after, now)) == msgspec.json.decode(
        customers(c1="amplio")
    )
    with pytest.raises(Conflict, match="edited again since: 2"):
        customers_without(before, after, customers(c1="basico", c2="amplio"))


# What may serve side by side


def material(data: bytes, **accounts: tuple) -> compatibility.Material:
    known = {int(key[1:]): compatibility.Account(*told) for key, told in accounts.items()}
    return compatibility.Material(build(load_description(data, "o"), "o"), known)


MIXES = {
    "a cost": (with_cost(RULES, b"readCurve", 7), ""),
    "a class's effect": (RULES.replace(b"effect: unsafe", b"effect: safe"), "classes change (report-issue)"),
    "an operation's class": (
        RULES.replace(
            b"readLatest\n      x-orchidlane: {class: sheet-read}",
            b"readLatest\n      x-orchidlane: {class: report-issue}",
        ),
        "readLatest: from safe to unsafe",
    ),
    "a class that goes": (
        RULES.replace(b"x-orchidlane: {class: report-issue}", b"x-orchidlane: {class: sheet-read}"),
        "classes change (report-issue)",
    ),
    "the key's header": (
        RULES.replace(b"name: Idempotency-Key", b"name: Other-Key"),
        "moves to another header",
    ),
}


@pytest.mark.parametrize("what", MIXES)
def test_rules_that_may_serve_side_by_side(what):
    data, why = MIXES[what]
    found_ = compatibility.why_not_beside(material(RULES), material(data))
    assert data != RULES
    assert (why in found_) if why else found_ == "", found_


def test_sets_and_plans_go_by_steps_of_their_own():
    def one(
        first: int, held: bool = False, ceiling: bool = True, plan: str = "amplio"
    ) -> compatibility.Material:
        return material(RULES, c2=(plan, first, 3, ceiling, held))

    assert compatibility.why_not_beside(one(1), material(RULES, c3=("amplio", 0, 3, True))) == ""
    assert "sets move (customers 2): both sets would have" in compatibility.why_not_beside(one(1), one(2))
    assert compatibility.why_not_beside(one(1), one(2, held=True)) == ""
    assert compatibility.why_not_beside(one(2, held=True), one(2)) == ""
    assert compatibility.why_not_beside(one(1, ceiling=False), one(2, ceiling=False)) == ""
    assert "plans of customers change (2)" in compatibility.why_not_beside(one(1), one(1, plan="basico"))


# Who may serve


def spread(rank: int = 4, now: int = 0) -> Spread:
    return Spread(rank, 5, (0, 1, 2), 2 * SECOND, SECOND // 2, random.Random(1))


def ask(one: Spread, now: int) -> tuple[int, messages.Ask]:
    tell = one.tick(now)[0]
    assert isinstance(tell.message, messages.Ask)
    return tell.rank, tell.message


def test_a_gateway_without_a_ledger_serves_once_a_majority_of_voters_knows_of_none():
    one = spread()
    assert one.why_not_serve(0)
    now = 0
    for _ in range(2):
        now += SECOND
        rank, asked = ask(one, now)
        assert rank in (0, 1, 2)
        one.hear(now, rank, messages.Told(asked.nonce, 0, "", -1, unfounded=True))
    assert one.why_not_serve(now) == ""
    assert one.why_not_serve(now + 3 * SECOND)


def test_age_counts_from_the_question_however_long_the_answer_took():
    one = spread()
    one.learned(0, 3, "name", 0)
    one.runs(True)
    assert one.why_not_serve(2 * SECOND) == ""
    assert one.why_not_serve(2 * SECOND + 1) == "the rules are not confirmed any more"
    _, asked = ask(one, 10 * SECOND)
    told = messages.Told(asked.nonce, 3, "name", SECOND)
    one.hear(20 * SECOND, 0, told)  # it lay in a buffer meanwhile
    assert one.why_not_serve(20 * SECOND)
    assert one.why_not_serve(11 * SECOND) == ""
    _, asked = ask(one, 20 * SECOND)
    one.hear(20 * SECOND, 0, messages.Told(asked.nonce ^ 1, 3, "name", 0))
    assert one.why_not_serve(20 * SECOND), "an answer to no question of ours counts for nothing"


def test_who_should_run_another_version_serves_until_a_lease_after_its_own_was_wanted_last():
    one = spread()
    one.learned(0, 3, "name", 0)
    one.runs(True)
    one.learned(SECOND, 4, "later", SECOND)
    one.runs(False)
    one.confirmed(3 * SECOND)
    assert one.why_not_serve(2 * SECOND) == ""
    assert one.why_not_serve(3 * SECOND) == "other rules are wanted, which are not here yet"
    one.runs(True)
    assert one.why_not_serve(4 * SECOND) == ""


def test_who_starts_anew_serves_by_nothing_but_what_is_wanted():
    one = spread()
    one.learned(SECOND, 3, "name", SECOND)
    one.runs(False)
    assert one.why_not_serve(SECOND) == "other rules are wanted, which are not here yet"


def test_a_later_ledger_is_fetched_and_hinted_to_two_at_any_size():
    one = Spread(4, 340, (0, 1, 2), 2 * SECOND, SECOND // 2, random.Random(1))
    one.learned(0, 3, "name", 0)
    _, asked = ask(one, SECOND)
    assert one.hear(SECOND, 7, messages.Told(asked.nonce, 5, "new", 100)) == [
        Fetch(7, "new", 5, SECOND - 100)
    ]
    hints = one.learned(SECOND, 5, "new", SECOND - 100)
    assert len(hints) == 2 and all(isinstance(tell.message, messages.Hint) for tell in hints)
    assert one.learned(SECOND, 5, "new", None) == []


def test_every_message_fits_into_a_datagram():
    ballot, name = (1 << 40, 399, 1 << 53), "f" * 64
    long = messages.short("é" * 300)
    for message in (
        messages.Ask(1 << 32, 1 << 40),
        messages.Told(1 << 32, 1 << 40, name, 1 << 50, True),
        messages.Report(1 << 40, 1 << 40, 1 << 40, long),
        messages.Promise(ballot, ballot, name, 1 << 53, 1 << 40),
        messages.Accept(ballot, name, 1 << 40),
        messages.Beat(1 << 40, ballot, 1 << 40, 1 << 40, name),
        messages.Voted(1 << 40, 1 << 40, 1 << 53, False, b"s" * 16, long),
        messages.Waiting(1 << 53, "f" * 16, b"s" * 16),
    ):
        data = messages.encode(message)
        assert len(data) <= 256, message
        assert messages.decode(data) == message


@given(st.binary(max_size=256))
def test_no_bytes_of_a_datagram_break_anything(data):
    messages.decode(data)


# Files


def test_a_cut_or_flipped_file_is_told_from_a_good_one():
    world = SimWorld(1)

    def work() -> None:
        files = Files(world, "state/gw-0")
        assert files.read_voter() is None
        files.write_voter(VoterFile(steps_kept()))
        whole = world.files["state/gw-0.voter"]
        assert files.read_voter() == VoterFile(steps_kept())
        for size in range(len(whole)):
            world.files["state/gw-0.voter"] = whole[:size]
            with pytest.raises(Damaged):
                files.read_voter()
        for place in range(len(whole)):
            flipped = bytearray(whole)
            flipped[place] ^= 1
            world.files["state/gw-0.voter"] = bytes(flipped)
            with pytest.raises(Damaged):
                files.read_voter()

    Loop(world).run(work)


def steps_kept():
    from orchidlane.rollout.consensus import Kept

    return Kept(7, (3, 1, 7), (2, 0, 5), "n" * 64, 4, {1: (8, 2)})
