"""Fleet versions, the pure parts: contents and certificates, the ledger's steps, undo, mixing, leases."""

from __future__ import annotations

import random

import msgspec
import pytest
from harness.gateway_harness import MATERIALS
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane.gateway.rollout_agent.storage import CorruptFileError, RolloutStorage, VoterFile
from orchidlane.rollout import compatibility, messages
from orchidlane.rollout import replicated_state as steps
from orchidlane.rollout.bootstrap import admission_request, bootstrap_state
from orchidlane.rollout.commands import (
    ApproveVersion,
    ChangeMembership,
    ClaimLeadership,
    ExtendRollout,
    FinishRollout,
    ProposeVersion,
    ResumeRollout,
    SettleMembership,
    StopRollout,
)
from orchidlane.rollout.dissemination import Dissemination, FetchState
from orchidlane.rollout.errors import CommandRejectedError, RollbackConflictError, StaleTermError
from orchidlane.rollout.replicated_state import ReplicatedState, RolloutPhase, encode_ranks
from orchidlane.rollout.rollback import revert_customers_edit, revert_description_edit
from orchidlane.rollout.version import (
    Certificate,
    ContentHashes,
    Version,
    VotingMember,
    cast_vote,
    certificate_error,
    has_quorum,
)
from orchidlane.routes import build, load_description
from orchidlane.runtime import Loop, SimWorld

SECRET = b"a secret that is long enough"
OTHER = b"another secret, as long as that"
SEATS = tuple(VotingMember(rank, 100 + rank) for rank in range(3))
OLD, NEW, THIRD = (
    ContentHashes("a" * 64, "c" * 64),
    ContentHashes("b" * 64, "c" * 64),
    ContentHashes("d" * 64, "c" * 64),
)
ALL = encode_ranks(range(5), 5)
SECOND = 1_000_000


def first() -> ReplicatedState:
    waiting = {rank: admission_request(SECRET, rank, 100 + rank, OLD) for rank in range(3)}
    made = bootstrap_state(SECRET, range(3), waiting, OLD)
    assert isinstance(made, ReplicatedState)
    return made


def led() -> ReplicatedState:
    return ClaimLeadership(0, 1).apply(first())


def proposed(
    latest: ReplicatedState, parts: ContentHashes = NEW, name: str = "one", undoes: int = 0
) -> ReplicatedState:
    version = latest.rollout.version if latest.rollout else latest.current.version
    return ProposeVersion(latest.term, name, parts, version.number, "me", "because", undoes).apply(latest)


def approved(latest: ReplicatedState, yes=(0, 1), reach: bytes = ALL) -> ReplicatedState:
    change = latest.rollout
    votes = tuple(cast_vote(SECRET, SEATS[rank], change.version, change.term, True, "") for rank in yes)
    return ApproveVersion(latest.term, change.version.number, votes, reach).apply(latest)


def finished(latest: ReplicatedState) -> ReplicatedState:
    return FinishRollout(latest.term, latest.rollout.version.number, "").apply(latest)


# Certificates


def test_a_certificate_holds_for_its_version_and_a_majority_of_its_seats_alone():
    good = approved(proposed(led())).rollout.certificate
    assert certificate_error(SECRET, good) == ""
    assert "sealed" in certificate_error(OTHER, good)
    other = msgspec.structs.replace(good, version=msgspec.structs.replace(good.version, contents=THIRD))
    assert "sealed" in certificate_error(SECRET, other)
    later = msgspec.structs.replace(good, term=good.term + 1)
    assert "sealed" in certificate_error(SECRET, later)
    one = msgspec.structs.replace(good, votes=good.votes[:1])
    assert certificate_error(SECRET, one) == "1 of 3 voters are no quorum"
    twice = msgspec.structs.replace(good, votes=good.votes[:1] * 2)
    assert "no quorum" in certificate_error(SECRET, twice)
    assert "names no voters" in certificate_error(SECRET, msgspec.structs.replace(good, members=()))


def test_a_no_is_no_yes_and_a_vote_of_another_store_counts_for_nothing():
    version = Version(1, NEW, 0)
    no = cast_vote(SECRET, SEATS[0], version, 1, False, "it is bad")
    yes = cast_vote(SECRET, SEATS[1], version, 1, True, "")
    stranger = cast_vote(SECRET, VotingMember(2, 999), version, 1, True, "")
    found_ = certificate_error(SECRET, Certificate(version, 1, SEATS, (no, yes, stranger)))
    assert found_ == "2 of 3 voters are no quorum"
    turned = msgspec.structs.replace(no, approves=True)
    assert "sealed" in certificate_error(SECRET, Certificate(version, 1, SEATS, (turned, yes)))


@given(st.sets(st.integers(0, 6)), st.sets(st.integers(0, 6)))
def test_two_quorums_share_a_seat(ones, others):
    seats = [VotingMember(rank, rank) for rank in range(7)]
    both = [{seats[rank] for rank in ranks} for ranks in (ones, others)]
    if all(has_quorum(seats, those) for those in both):
        assert both[0] & both[1]


# Founding


def test_a_ledger_is_founded_by_all_voters_with_the_same_files_alone():
    waiting = {rank: admission_request(SECRET, rank, 100 + rank, OLD) for rank in range(2)}
    assert bootstrap_state(SECRET, range(3), waiting, OLD) == "voters not heard of: [2]"
    waiting[2] = admission_request(SECRET, 2, 102, NEW)
    assert bootstrap_state(SECRET, range(3), waiting, OLD) == "voters whose files differ from ours: [2]"
    waiting[2] = admission_request(OTHER, 2, 102, OLD)
    assert "not sealed" in bootstrap_state(SECRET, range(3), waiting, OLD)
    assert certificate_error(SECRET, first().current) == ""


# Steps


def test_an_edit_goes_its_way_and_every_gateway_is_wanted_to_run_it():
    latest = proposed(led())
    assert latest.rollout.phase is RolloutPhase.VOTING
    assert latest.target_certificate(4).version.number == 0
    latest = approved(latest, reach=encode_ranks([1, 4], 5))
    assert [latest.target_certificate(rank).version.number for rank in range(5)] == [0, 1, 0, 0, 1]
    latest = ExtendRollout(latest.term, 1, ALL).apply(latest)
    assert latest.target_certificate(0).version.number == 1
    latest = finished(latest)
    assert (latest.current.version.number, latest.rollout) == (1, None)
    assert [entry.outcome for entry in latest.history] == ["done", "done"]


def test_two_proposals_at_once_one_wins_and_the_other_hears_who_and_what():
    latest = proposed(led())
    with pytest.raises(CommandRejectedError, match="version 1 of me is on its way: because"):
        ProposeVersion(1, "two", THIRD, 0, "you", "also").apply(latest)
    latest = finished(approved(latest))
    with pytest.raises(CommandRejectedError, match="made from version 0, but 1 of me came since: because"):
        ProposeVersion(1, "two", THIRD, 0, "you", "also").apply(latest)


def test_a_proposal_told_again_is_the_same_one():
    latest = finished(approved(proposed(led(), name="one")))
    with pytest.raises(CommandRejectedError, match="known already as version 1"):
        ProposeVersion(1, "one", NEW, 1, "me", "because").apply(latest)


def test_a_proposal_that_changes_nothing_is_refused():
    with pytest.raises(CommandRejectedError, match="has these contents already"):
        proposed(led(), OLD)


def test_who_was_followed_by_another_leader_changes_nothing():
    latest = ClaimLeadership(1, 2).apply(proposed(led()))
    for step in (
        ProposeVersion(1, "two", THIRD, 1, "me", "x"),
        ApproveVersion(1, 1, (), ALL),
        StopRollout(1, 1, "x"),
        ResumeRollout(1, 1),
        FinishRollout(1, 1, ""),
        ExtendRollout(1, 1, ALL),
        ChangeMembership(1, 2, 5),
        SettleMembership(1, 1),
    ):
        with pytest.raises(StaleTermError, match="term 1 is over"):
            step.apply(latest)
    with pytest.raises(CommandRejectedError, match="term 2 has begun"):
        ClaimLeadership(0, 2).apply(latest)


def test_votes_are_bound_to_the_term_that_they_were_asked_in():
    latest = ClaimLeadership(1, 2).apply(proposed(led()))
    assert latest.rollout.term == 2
    old = tuple(cast_vote(SECRET, SEATS[rank], latest.rollout.version, 1, True, "") for rank in (0, 1))
    made = ApproveVersion(2, 1, old, ALL).apply(latest)
    assert "sealed" in certificate_error(SECRET, made.rollout.certificate)


def test_an_undo_on_the_way_takes_the_place_of_the_edit_with_the_prior_contents():
    latest = approved(proposed(led()), reach=encode_ranks([1], 5))
    with pytest.raises(CommandRejectedError, match="prior contents are wanted"):
        ProposeVersion(1, "undo", THIRD, 1, "me", "harm", reverts=1).apply(latest)
    asked = ProposeVersion(1, "undo", OLD, 1, "me", "harm", reverts=1).apply(latest)
    assert asked.target_certificate(1).version.number == 1  # until a quorum approved it
    assert asked.target_certificate(0).version.number == 0
    back = approved(asked)
    assert {back.target_certificate(rank).version.number for rank in range(5)} == {2}
    assert back.target_certificate(0).version.contents == OLD
    assert back.history[-1].outcome == "undone"
    refused = StopRollout(1, 2, "no").apply(asked)
    assert refused.rollout.version.number == 1 and refused.halted_rollout is None
    with pytest.raises(CommandRejectedError, match="itself on its way"):
        ProposeVersion(1, "undo it", NEW, 2, "me", "x", reverts=2).apply(back)


def test_undo_is_a_new_number_never_one_turned_back():
    latest = finished(approved(proposed(led())))
    latest = finished(approved(proposed(latest, OLD, "undo", undoes=1)))
    assert latest.current.version.number == 2
    assert latest.current.version.combined_hash == first().current.version.combined_hash
    turned = msgspec.structs.replace(latest, index=latest.index + 1, latest_number=1)
    assert steps.broken_invariant(latest, turned) == "I1: something went back"


def test_a_stopped_change_goes_no_further_until_it_is_resumed():
    latest = approved(proposed(led()), reach=encode_ranks([1], 5))
    stopped = StopRollout(1, 1, "wait").apply(latest)
    with pytest.raises(CommandRejectedError, match="stopped: wait"):
        ExtendRollout(1, 1, ALL).apply(stopped)
    with pytest.raises(CommandRejectedError, match="stopped already"):
        StopRollout(1, 1, "wait").apply(stopped)
    assert (
        ExtendRollout(1, 1, ALL)
        .apply(ResumeRollout(1, 1).apply(stopped))
        .target_certificate(0)
        .version.number
        == 1
    )


def test_seats_change_one_at_a_time_and_both_have_to_agree_until_it_is_settled():
    latest = ChangeMembership(1, 2, 555).apply(led())
    assert latest.previous_members == SEATS
    with pytest.raises(CommandRejectedError, match="not settled"):
        ChangeMembership(1, 1, 556).apply(latest)
    with pytest.raises(CommandRejectedError, match="another ledger"):
        SettleMembership(1, latest.index - 1).apply(latest)
    settled = SettleMembership(1, latest.index).apply(latest)
    assert settled.previous_members == () and VotingMember(2, 555) in settled.members
    with pytest.raises(CommandRejectedError, match="so already"):
        ChangeMembership(1, 2, 555).apply(settled)
    smaller = ChangeMembership(1, 2, 0).apply(settled)
    assert [seat.rank for seat in smaller.members] == [0, 1]
    both = msgspec.structs.replace(
        settled, index=settled.index + 1, members=(VotingMember(0, 1), VotingMember(1, 2))
    )
    assert steps.broken_invariant(settled, both).startswith("I5")


CHANCES = st.lists(st.tuples(st.integers(0, 8), st.integers(0, 4), st.booleans()), max_size=40)


@settings(max_examples=150, deadline=None)
@given(CHANCES)
def test_whatever_steps_come_the_invariants_hold(chances):
    latest = first()
    for number, (what, some, flag) in enumerate(chances):
        version = latest.rollout.version if latest.rollout else latest.current.version
        parts = latest.current.version.contents if flag else ContentHashes(f"{some:064x}", "c" * 64)
        yes = tuple(
            cast_vote(SECRET, seat, version, latest.term, True, "") for seat in latest.members[: 1 + some]
        )
        step = (
            ClaimLeadership(some % 3, latest.term + flag),
            ProposeVersion(
                latest.term, f"p{number}", parts, version.number, "me", "x", version.number * flag
            ),
            ApproveVersion(latest.term, version.number, yes, ALL),
            StopRollout(latest.term, version.number, "x"),
            FinishRollout(latest.term, version.number, ""),
            ChangeMembership(latest.term, some % 3, number * flag),
            SettleMembership(latest.term, latest.index),
            ExtendRollout(latest.term, version.number, ALL),
            ResumeRollout(latest.term, version.number),
        )[what]
        try:
            after = step.apply(latest)
        except CommandRejectedError:
            continue
        assert steps.broken_invariant(latest, after) == "", (step, latest)
        assert steps.decode(steps.encode(after)) == after
        latest = after
    assert len(latest.history) <= steps.MAX_HISTORY_ENTRIES


def test_an_adoption_without_a_certificate_is_found():
    latest = proposed(led())
    change = msgspec.structs.replace(latest.rollout, phase=RolloutPhase.ADOPTING, target_ranks=ALL)
    cheat = msgspec.structs.replace(latest, index=latest.index + 1, rollout=change)
    assert steps.broken_invariant(latest, cheat) == "I2: adopted without a quorum's certificate"


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
    assert revert_description_edit(RULES, edited, edited) is RULES


def test_an_older_edit_is_taken_back_and_later_ones_of_other_operations_stay():
    one = with_cost(RULES, b"readCurve", 7)
    two = with_cost(one, b"readSheet", 5)
    three = with_cost(two, b"issueReport", 9)
    found_ = costs(revert_description_edit(one, two, three))
    assert (found_["readCurve"], found_["readSheet"], found_["issueReport"]) == (
        7,
        costs(RULES)["readSheet"],
        9,
    )


def test_an_edit_that_was_edited_again_is_a_conflict_by_the_operations_name():
    one = with_cost(RULES, b"readCurve", 7)
    two = with_cost(one, b"readCurve", 8)
    with pytest.raises(
        RollbackConflictError, match=r"edited again since: paths /sheets/\{material\}/curves.* get"
    ):
        revert_description_edit(RULES, one, two)


def test_an_operation_that_came_goes_and_one_that_went_comes_back():
    start = RULES.index(b"  /sheets/latest:")
    without = RULES[:start] + RULES[RULES.index(b"  /tests/{test}:") :]
    later = with_cost(without, b"readSheet", 5)
    again = costs(revert_description_edit(RULES, without, later))
    assert again["readLatest"] == costs(RULES)["readLatest"] and again["readSheet"] == 5
    later = with_cost(RULES, b"readSheet", 5)
    assert "readLatest" not in costs(revert_description_edit(without, RULES, later))


def customers(**plans: str) -> bytes:
    entries = [{"id": int(key[1:]), "plan": plan, "keys": []} for key, plan in plans.items()]
    return msgspec.json.encode({"customers": entries})


def test_customers_are_taken_back_one_by_one():
    before, after = customers(c1="basico"), customers(c1="basico", c2="basico")
    now = customers(c1="amplio", c2="basico")
    assert msgspec.json.decode(revert_customers_edit(before, after, now)) == msgspec.json.decode(
        customers(c1="amplio")
    )
    with pytest.raises(RollbackConflictError, match="edited again since: 2"):
        revert_customers_edit(before, after, customers(c1="basico", c2="amplio"))


# What may serve side by side


def material(data: bytes, **accounts: tuple) -> compatibility.VersionConfiguration:
    known = {int(key[1:]): compatibility.CustomerAssignment(*told) for key, told in accounts.items()}
    return compatibility.VersionConfiguration(build(load_description(data, "o"), "o"), known)


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
    found_ = compatibility.incompatibility(material(RULES), material(data))
    assert data != RULES
    assert (why in found_) if why else found_ == "", found_


def test_sets_and_plans_go_by_steps_of_their_own():
    def one(
        first: int, held: bool = False, ceiling: bool = True, plan: str = "amplio"
    ) -> compatibility.VersionConfiguration:
        return material(RULES, c2=(plan, first, 3, ceiling, held))

    assert compatibility.incompatibility(one(1), material(RULES, c3=("amplio", 0, 3, True))) == ""
    assert "sets move (customers 2): both sets would have" in compatibility.incompatibility(one(1), one(2))
    assert compatibility.incompatibility(one(1), one(2, held=True)) == ""
    assert compatibility.incompatibility(one(2, held=True), one(2)) == ""
    assert compatibility.incompatibility(one(1, ceiling=False), one(2, ceiling=False)) == ""
    assert "plans of customers change (2)" in compatibility.incompatibility(one(1), one(1, plan="basico"))


# Who may serve


def spread(rank: int = 4, now: int = 0) -> Dissemination:
    return Dissemination(rank, 5, (0, 1, 2), 2 * SECOND, SECOND // 2, random.Random(1))


def ask(one: Dissemination, now: int) -> tuple[int, messages.GossipRequest]:
    tell = one.tick(now)[0]
    assert isinstance(tell.message, messages.GossipRequest)
    return tell.rank, tell.message


def test_a_gateway_without_a_ledger_serves_once_a_majority_of_voters_knows_of_none():
    one = spread()
    assert one.rejection_reason(0)
    now = 0
    for _ in range(2):
        now += SECOND
        rank, asked = ask(one, now)
        assert rank in (0, 1, 2)
        one.receive(now, rank, messages.GossipResponse(asked.nonce, 0, "", -1, is_unbootstrapped=True))
    assert one.rejection_reason(now) == ""
    assert one.rejection_reason(now + 3 * SECOND)


def test_age_counts_from_the_question_however_long_the_answer_took():
    one = spread()
    one.learn_state(3, "name", 0)
    one.set_running(True)
    assert one.rejection_reason(2 * SECOND) == ""
    assert one.rejection_reason(2 * SECOND + 1) == "the rules are not confirmed any more"
    _, asked = ask(one, 10 * SECOND)
    told = messages.GossipResponse(asked.nonce, 3, "name", SECOND)
    one.receive(20 * SECOND, 0, told)  # it lay in a buffer meanwhile
    assert one.rejection_reason(20 * SECOND)
    assert one.rejection_reason(11 * SECOND) == ""
    _, asked = ask(one, 20 * SECOND)
    one.receive(20 * SECOND, 0, messages.GossipResponse(asked.nonce ^ 1, 3, "name", 0))
    assert one.rejection_reason(20 * SECOND), "an answer to no question of ours counts for nothing"


def test_who_should_run_another_version_serves_until_a_lease_after_its_own_was_wanted_last():
    one = spread()
    one.learn_state(3, "name", 0)
    one.set_running(True)
    one.learn_state(4, "later", SECOND)
    one.set_running(False)
    one.record_confirmation(3 * SECOND)
    assert one.rejection_reason(2 * SECOND) == ""
    assert one.rejection_reason(3 * SECOND) == "other rules are wanted, which are not here yet"
    one.set_running(True)
    assert one.rejection_reason(4 * SECOND) == ""


def test_who_starts_anew_serves_by_nothing_but_what_is_wanted():
    one = spread()
    one.learn_state(3, "name", SECOND)
    one.set_running(False)
    assert one.rejection_reason(SECOND) == "other rules are wanted, which are not here yet"


def test_a_later_ledger_is_fetched_and_hinted_to_two_at_any_size():
    one = Dissemination(4, 340, (0, 1, 2), 2 * SECOND, SECOND // 2, random.Random(1))
    one.learn_state(3, "name", 0)
    _, asked = ask(one, SECOND)
    assert one.receive(SECOND, 7, messages.GossipResponse(asked.nonce, 5, "new", 100)) == [
        FetchState(7, "new", 5, SECOND - 100)
    ]
    hints = one.learn_state(5, "new", SECOND - 100)
    assert len(hints) == 2 and all(isinstance(tell.message, messages.NewStateHint) for tell in hints)
    assert one.learn_state(5, "new", None) == []


def test_every_message_fits_into_a_datagram():
    ballot, name = (1 << 40, 399, 1 << 53), "f" * 64
    long = messages.truncate_reason("é" * 300)
    for message in (
        messages.GossipRequest(1 << 32, 1 << 40),
        messages.GossipResponse(1 << 32, 1 << 40, name, 1 << 50, True),
        messages.AdoptionReport(1 << 40, 1 << 40, 1 << 40, long),
        messages.Promise(ballot, ballot, name, 1 << 53, 1 << 40),
        messages.Accept(ballot, name, 1 << 40),
        messages.Heartbeat(1 << 40, ballot, 1 << 40, 1 << 40, name),
        messages.VersionVote(1 << 40, 1 << 40, 1 << 53, False, b"s" * 16, long),
        messages.AdmissionRequest(1 << 53, "f" * 16, b"s" * 16),
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
        files = RolloutStorage(world, "state/gw-0")
        assert files.read_voter() is None
        files.write_voter(VoterFile(steps_kept()))
        whole = world.files["state/gw-0.voter"]
        assert files.read_voter() == VoterFile(steps_kept())
        for size in range(len(whole)):
            world.files["state/gw-0.voter"] = whole[:size]
            with pytest.raises(CorruptFileError):
                files.read_voter()
        for place in range(len(whole)):
            flipped = bytearray(whole)
            flipped[place] ^= 1
            world.files["state/gw-0.voter"] = bytes(flipped)
            with pytest.raises(CorruptFileError):
                files.read_voter()

    Loop(world).run(work)


def steps_kept():
    from orchidlane.rollout.voter_state import VoterState

    return VoterState(7, (3, 1, 7), (2, 0, 5), "n" * 64, 4, {1: (8, 2)})
