"""Tokens, reservations and give-backs: their decisions by interleavings, and over the simulated network."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_day import SECOND, day, quiet, step  # noqa: F401

from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.limits import (
    Claim,
    Holder,
    Ledger,
    LedgerError,
    Outcome,
    State,
    Verdict,
    holders_of,
    token_name,
)
from orchidlane.simulation.backends import simulate

LIFE, NOW = 10, 1_000
NAME = token_name(1, b"t")


def holder(most=10) -> Holder:
    return Holder(LIFE, most, NOW - LIFE)


def test_a_claim_is_told_the_same_and_others_see_it():
    one = holder()
    assert one.claim(NOW, NAME, (0, 1)) == (State.FRESH, 0, 0.0)
    assert one.claim(NOW, NAME, (0, 1)) == (State.FRESH, 0, 0.0)
    assert one.claim(NOW, NAME, (1, 1)) == (State.CLAIMED, 0, 0.0)
    one.settle(NOW, NAME, (0, 1), 3.0)
    assert one.claim(NOW, NAME, (1, 2)) == (State.GRANTED, 0, 3.0)


def test_only_ones_own_unsettled_claim_is_given_up():
    one = holder()
    one.claim(NOW, NAME, (0, 1))
    one.give_up(NOW, NAME, (1, 1))
    assert one.look(NOW, NAME)[0] is State.CLAIMED
    one.give_up(NOW, NAME, (0, 1))
    assert one.look(NOW, NAME)[0] is State.UNKNOWN
    one.claim(NOW, NAME, (0, 2))
    one.settle(NOW, NAME, (0, 2), 1.0)
    one.give_up(NOW, NAME, (0, 2))
    assert one.look(NOW, NAME)[0] is State.GRANTED


def test_a_holder_that_started_lately_or_is_full_is_unsure():
    assert Holder(LIFE, 10, NOW).claim(NOW + LIFE - 1, NAME, (0, 1))[0] is State.UNSURE
    one = holder(most=2)
    for number in range(3):
        state = one.claim(NOW, token_name(1, b"%d" % number), (0, number))[0]
    assert state is State.UNSURE
    assert one.claim(NOW + LIFE, NAME, (0, 9))[0] is State.FRESH
    assert len(one) == 1


@pytest.mark.parametrize(
    ("states", "verdict"),
    [
        ([State.FRESH], Verdict.WAIT),
        ([State.FRESH, State.FRESH], Verdict.DECIDE),
        ([State.FRESH, State.CLAIMED], Verdict.WAIT),
        ([State.FRESH, State.CLAIMED, State.FRESH], Verdict.DECIDE),
        ([State.CLAIMED, State.CLAIMED, State.FRESH], Verdict.BUSY),
        ([State.FRESH, State.UNSURE, State.UNSURE], Verdict.OUT_OF_REACH),
        ([State.GRANTED], Verdict.REPEAT),
    ],
)
def test_a_claimants_verdict(states, verdict):
    claim = Claim([0, 1, 2])
    for rank, state in enumerate(states):
        claim.hear(rank, (state, 5, 1.0))
    assert claim.verdict() is verdict


def test_silent_holders_leave_no_majority():
    claim = Claim([0, 1, 2])
    claim.hear(0, (State.FRESH, 0, 0.0))
    claim.miss(1)
    claim.miss(2)
    assert claim.verdict() is Verdict.OUT_OF_REACH


def test_holders_are_the_same_for_all_and_spread():
    counts: Counter[int] = Counter()
    for number in range(3_000):
        found = holders_of(token_name(7, b"%d" % number), range(10))
        assert found == holders_of(token_name(7, b"%d" % number), reversed(range(10)))
        counts.update(found)
    assert max(counts.values()) < 1.25 * min(counts.values())


@given(st.integers(0, 2**32), st.integers(2, 5))
def test_no_interleaving_counts_a_token_twice(seed, claimants):
    """Claims, answers, settlements, restarts and losses in any order: at most one claimant counts."""
    rng = random.Random(seed)
    holders = {rank: holder() for rank in range(3)}
    claims = {(who, 1): Claim([0, 1, 2]) for who in range(claimants)}
    waiting = [(claimant, rank) for claimant in claims for rank in holders]
    counted: list[tuple[int, int]] = []
    now = NOW
    for _ in range(40):
        now = min(now + (rng.random() < 0.1), NOW + LIFE - 1)
        event = rng.random()
        if event < 0.08:
            holders[rng.randrange(3)] = Holder(LIFE, 10, now)  # a restart forgets everything
        elif event < 0.2 and counted:
            holders[rng.randrange(3)].settle(now, NAME, counted[0], 1.0)
        elif waiting:
            claimant, rank = waiting.pop(rng.randrange(len(waiting)))
            if rng.random() < 0.2:
                claims[claimant].miss(rank)
            else:
                claims[claimant].hear(rank, holders[rank].claim(now, NAME, claimant))
            if claims[claimant].verdict() is Verdict.DECIDE and claimant not in counted:
                counted.append(claimant)
    assert len(counted) <= 1


# The ledger


def test_each_grant_ends_once():
    ledger = Ledger(10, 100, 100)
    ledger.grant(0, b"r", 1, 5.0, span=50)
    assert ledger.commit(10, b"r", 1) is Outcome.DONE
    assert ledger.release(11, b"r", 1) is Outcome.AGAIN
    assert ledger.credit(60, 1) == 0
    ledger.grant(0, b"s", 1, 5.0, span=50)
    assert ledger.release(60, b"s", 1) is Outcome.EXPIRED
    assert ledger.commit(60, b"s", 1) is Outcome.EXPIRED
    assert ledger.credit(60, 1) == 5
    ledger.grant(60, b"t", 1, 2.0)
    assert ledger.give_back(70, b"t", 2) is Outcome.UNKNOWN
    assert ledger.give_back(70, b"t", 1) is Outcome.DONE
    assert ledger.give_back(70, b"t", 1) is Outcome.AGAIN
    assert ledger.credit(70, 1) == 7


def test_a_credit_is_worth_what_a_true_store_has_room_for():
    ledger = Ledger(10, 100, 100)
    ledger.grant(0, b"t", 1, 8.0)
    ledger.give_back(1, b"t", 1)
    assert not ledger.pay(2, 1, 3.0, room=10.0, burst=10.0)
    assert ledger.pay(2, 1, 3.0, room=7.0, burst=10.0)
    assert ledger.credit(2, 1) == 5
    assert ledger.credit(102, 1) == 0


def test_grants_and_credits_are_bounded():
    ledger = Ledger(3, 100, 100)
    for number in range(3):
        ledger.grant(0, b"%d" % number, number, 1.0)
    with pytest.raises(LedgerError):
        ledger.grant(0, b"x", 9, 1.0)
    for number in range(3):
        ledger.give_back(1, b"%d" % number, number)
    ledger.grant(101, b"y", 9, 1.0)
    assert len(ledger) == 1


command = st.tuples(
    st.sampled_from(["take", "reserve", "commit", "release", "back", "pay", "wait"]),
    st.integers(0, 5),
    st.integers(1, 9),
)


@given(st.lists(command, max_size=60))
def test_no_unit_comes_back_that_was_not_taken(commands):
    ledger, now, taken, paid, ended = Ledger(50, 40, 1_000), 0, 0.0, 0.0, Counter()
    names: dict[int, bytes] = {}
    for number, (what, which, amount) in enumerate(commands):
        name = names.get(which, b"none")
        if what in ("take", "reserve"):
            names[which] = name = b"%d" % number
            ledger.grant(now, name, 1, float(amount), 20 if what == "reserve" else None)
            taken += amount
        elif what == "commit":
            ended[name] += ledger.commit(now, name, 1) is Outcome.DONE
        elif what == "release":
            ended[name] += ledger.release(now, name, 1) is Outcome.DONE
        elif what == "back":
            ended[name] += ledger.give_back(now, name, 1) is Outcome.DONE
        elif what == "pay":
            paid += amount * ledger.pay(now, 1, float(amount), room=0.0, burst=1_000.0)
        else:
            now += amount
        assert paid + ledger.credit(now, 1) <= taken
    assert all(count <= 1 for count in ended.values())


# Over the network, with faults


def test_over_the_fleet_no_token_is_counted_twice(monkeypatch):
    counted: Counter[bytes] = Counter()
    take_once, take = LimitService.take_once, PolicyDriver.request_quota
    tokens: dict[int, bytes] = {}

    def noting(self, customer, units, kind, span, token):
        tokens[id(self.loop.current)] = token
        try:
            return take_once(self, customer, units, kind, span, token)
        finally:
            del tokens[id(self.loop.current)]

    def counting(self, customer, units, kind):
        granted = take(self, customer, units, kind)
        token = tokens.get(id(self.loop.current))
        if granted and token is not None:
            counted[token] += 1
        return granted

    monkeypatch.setattr(LimitService, "take_once", noting)
    monkeypatch.setattr(PolicyDriver, "request_quota", counting)
    troubles = (
        step(0.2, "peer_faults", span=6, loss=0.3, double=0.3, delay=150_000),
        step(3.5, "kill_gateway", 0, back=0.1),
        step(4.0, "freeze_gateway", 1, span=0.7),
        step(5.0, "cut_peers", 2, span=0.6),
    )
    verdict = simulate(day(*troubles, span=7, takes=80.0, rate=5.0, customers=200), 3)
    assert verdict.rules == dict.fromkeys("12345", True), verdict.as_json()
    assert verdict.takes["granted"] > 100
    assert sum(counted.values()) > 100
    assert max(counted.values()) == 1


def test_seven_times_the_quota_over_both_fronts_of_all_gateways_stays_within_it():
    verdict = simulate(day(span=6, takes=60.0, rate=60.0, customers=4), 2)
    assert verdict.rules == dict.fromkeys("12345", True)
    assert verdict.takes["refused"] > 20
    assert verdict.answers["429"] > 20
    assert verdict.beyond <= 0.1 * verdict.units
