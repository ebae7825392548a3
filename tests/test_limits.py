"""Idempotency tokens, reservations and refunds: in any order of events, and in a simulated fleet."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from harness.scenarios import ALL_RULES_HOLD, make_scenario, make_step
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.gateway.peers.token_requests import LimitService
from orchidlane.limits import (
    ClaimVerdict,
    GrantOutcome,
    GrantStore,
    GrantStoreFullError,
    OwnerReply,
    TokenClaim,
    TokenOwner,
    TokenState,
    owners_of,
    token_name,
)
from orchidlane.limits.tokens import ClaimId
from orchidlane.simulation.simulated_fleet import simulate

pytestmark = pytest.mark.usefixtures("quiet_log")

LIFETIME = 10
NOW = 1_000
NAME = token_name(1, b"t")


def token_owner(max_tokens=10) -> TokenOwner:
    """Return an owner that started a token lifetime ago, so that its replies are reliable."""
    return TokenOwner(LIFETIME, max_tokens, NOW - LIFETIME)


def test_a_repeated_claim_gets_the_same_reply_and_other_claimants_see_it():
    owner = token_owner()
    assert owner.claim(NOW, NAME, ClaimId(0, 1)) == (TokenState.FRESH, 0, 0.0)
    assert owner.claim(NOW, NAME, ClaimId(0, 1)) == (TokenState.FRESH, 0, 0.0)
    assert owner.claim(NOW, NAME, ClaimId(1, 1)) == (TokenState.CLAIMED, 0, 0.0)
    owner.settle(NOW, NAME, ClaimId(0, 1), 3.0)
    assert owner.claim(NOW, NAME, ClaimId(1, 2)) == (TokenState.GRANTED, 0, 3.0)


def test_a_claimant_withdraws_only_its_own_unsettled_claim():
    owner = token_owner()
    owner.claim(NOW, NAME, ClaimId(0, 1))
    owner.withdraw(NOW, NAME, ClaimId(1, 1))
    assert owner.look_up(NOW, NAME)[0] is TokenState.CLAIMED
    owner.withdraw(NOW, NAME, ClaimId(0, 1))
    assert owner.look_up(NOW, NAME)[0] is TokenState.UNKNOWN
    owner.claim(NOW, NAME, ClaimId(0, 2))
    owner.settle(NOW, NAME, ClaimId(0, 2), 1.0)
    owner.withdraw(NOW, NAME, ClaimId(0, 2))
    assert owner.look_up(NOW, NAME)[0] is TokenState.GRANTED


def test_an_owner_that_started_recently_or_is_full_is_unsure():
    assert (
        TokenOwner(LIFETIME, 10, NOW).claim(NOW + LIFETIME - 1, NAME, ClaimId(0, 1))[0] is TokenState.UNSURE
    )
    owner = token_owner(max_tokens=2)
    for number in range(3):
        state = owner.claim(NOW, token_name(1, b"%d" % number), ClaimId(0, number))[0]
    assert state is TokenState.UNSURE
    assert owner.claim(NOW + LIFETIME, NAME, ClaimId(0, 9))[0] is TokenState.FRESH
    assert len(owner) == 1


@pytest.mark.parametrize(
    ("states", "verdict"),
    [
        ([TokenState.FRESH], ClaimVerdict.WAIT),
        ([TokenState.FRESH, TokenState.FRESH], ClaimVerdict.DECIDE),
        ([TokenState.FRESH, TokenState.CLAIMED], ClaimVerdict.WAIT),
        ([TokenState.FRESH, TokenState.CLAIMED, TokenState.FRESH], ClaimVerdict.DECIDE),
        ([TokenState.CLAIMED, TokenState.CLAIMED, TokenState.FRESH], ClaimVerdict.BUSY),
        ([TokenState.FRESH, TokenState.UNSURE, TokenState.UNSURE], ClaimVerdict.NO_MAJORITY),
        ([TokenState.GRANTED], ClaimVerdict.ALREADY_GRANTED),
    ],
)
def test_the_verdict_follows_from_the_owners_replies(states, verdict):
    claim = TokenClaim([0, 1, 2])
    for replica, state in enumerate(states):
        claim.add_reply(replica, OwnerReply(state, 5, 1.0))
    assert claim.verdict() is verdict


def test_owners_that_time_out_leave_no_majority():
    claim = TokenClaim([0, 1, 2])
    claim.add_reply(0, OwnerReply(TokenState.FRESH, 0))
    claim.add_timeout(1)
    claim.add_timeout(2)
    assert claim.verdict() is ClaimVerdict.NO_MAJORITY


def test_all_gateways_choose_the_same_owners_and_spread_them_evenly():
    counts: Counter[int] = Counter()
    for number in range(3_000):
        owners = owners_of(token_name(7, b"%d" % number), range(10))
        assert owners == owners_of(token_name(7, b"%d" % number), reversed(range(10)))
        counts.update(owners)
    assert max(counts.values()) < 1.25 * min(counts.values())


@given(st.integers(0, 2**32), st.integers(2, 5))
def test_no_interleaving_counts_a_token_twice(seed, claimants):
    """With claims, settlements, restarts and timeouts in any order, at most one claimant counts the units."""
    rng = random.Random(seed)
    owners = {replica: token_owner() for replica in range(3)}
    claims = {ClaimId(claimant, 1): TokenClaim([0, 1, 2]) for claimant in range(claimants)}
    waiting = [(claim_id, replica) for claim_id in claims for replica in owners]
    counted: list[ClaimId] = []
    now = NOW
    for _ in range(40):
        now = min(now + (rng.random() < 0.1), NOW + LIFETIME - 1)
        event = rng.random()
        if event < 0.08:
            owners[rng.randrange(3)] = TokenOwner(LIFETIME, 10, now)  # a restart loses all claims
        elif event < 0.2 and counted:
            owners[rng.randrange(3)].settle(now, NAME, counted[0], 1.0)
        elif waiting:
            claim_id, replica = waiting.pop(rng.randrange(len(waiting)))
            if rng.random() < 0.2:
                claims[claim_id].add_timeout(replica)
            else:
                claims[claim_id].add_reply(replica, owners[replica].claim(now, NAME, claim_id))
            if claims[claim_id].verdict() is ClaimVerdict.DECIDE and claim_id not in counted:
                counted.append(claim_id)
    assert len(counted) <= 1


# Grants and credits


def test_a_grant_is_committed_released_refunded_or_expired_only_once():
    grants = GrantStore(10, 100, 100)
    grants.add_grant(0, b"r", 1, 5.0, reserved_for_us=50)
    assert grants.commit(10, b"r", 1) is GrantOutcome.DONE
    assert grants.release(11, b"r", 1) is GrantOutcome.ALREADY_DONE
    assert grants.credit(60, 1) == 0
    grants.add_grant(0, b"s", 1, 5.0, reserved_for_us=50)
    assert grants.release(60, b"s", 1) is GrantOutcome.EXPIRED
    assert grants.commit(60, b"s", 1) is GrantOutcome.EXPIRED
    assert grants.credit(60, 1) == 5
    grants.add_grant(60, b"t", 1, 2.0)
    assert grants.refund(70, b"t", 2) is GrantOutcome.UNKNOWN
    assert grants.refund(70, b"t", 1) is GrantOutcome.DONE
    assert grants.refund(70, b"t", 1) is GrantOutcome.ALREADY_DONE
    assert grants.credit(70, 1) == 7


def test_usable_credit_is_limited_to_the_free_capacity_of_the_bucket():
    grants = GrantStore(10, 100, 100)
    grants.add_grant(0, b"t", 1, 8.0)
    grants.refund(1, b"t", 1)
    assert not grants.pay_from_credit(2, 1, 3.0, remaining=10.0, burst=10.0)
    assert grants.pay_from_credit(2, 1, 3.0, remaining=7.0, burst=10.0)
    assert grants.credit(2, 1) == 5
    assert grants.credit(102, 1) == 0


def test_grants_and_credits_are_bounded():
    grants = GrantStore(3, 100, 100)
    for number in range(3):
        grants.add_grant(0, b"%d" % number, number, 1.0)
    with pytest.raises(GrantStoreFullError):
        grants.add_grant(0, b"x", 9, 1.0)
    for number in range(3):
        grants.refund(1, b"%d" % number, number)
    grants.add_grant(101, b"y", 9, 1.0)
    assert len(grants) == 1


COMMAND_STRATEGY = st.tuples(
    st.sampled_from(["grant", "reserve", "commit", "release", "refund", "pay", "wait"]),
    st.integers(0, 5),
    st.integers(1, 9),
)


@given(st.lists(COMMAND_STRATEGY, max_size=60))
def test_refunds_never_exceed_the_granted_units(commands):
    grants = GrantStore(50, 40, 1_000)
    now = 0
    granted = 0.0
    paid = 0.0
    completions: Counter[bytes] = Counter()
    names: dict[int, bytes] = {}
    for number, (action, slot, amount) in enumerate(commands):
        name = names.get(slot, b"none")
        if action in ("grant", "reserve"):
            names[slot] = name = b"%d" % number
            grants.add_grant(now, name, 1, float(amount), 20 if action == "reserve" else None)
            granted += amount
        elif action == "commit":
            completions[name] += grants.commit(now, name, 1) is GrantOutcome.DONE
        elif action == "release":
            completions[name] += grants.release(now, name, 1) is GrantOutcome.DONE
        elif action == "refund":
            completions[name] += grants.refund(now, name, 1) is GrantOutcome.DONE
        elif action == "pay":
            paid += amount * grants.pay_from_credit(now, 1, float(amount), remaining=0.0, burst=1_000.0)
        else:
            now += amount
        assert paid + grants.credit(now, 1) <= granted
    assert all(count <= 1 for count in completions.values())


# In a simulated fleet


def test_no_token_is_counted_twice_in_a_fleet_with_faults(monkeypatch):
    counted: Counter[bytes] = Counter()
    take_idempotent = LimitService.take_idempotent
    request_quota = PolicyDriver.request_quota
    tokens: dict[int, bytes] = {}

    def record_token(self, customer, units, request_class, timeout_us, token):
        tokens[id(self.loop.current)] = token
        try:
            return take_idempotent(self, customer, units, request_class, timeout_us, token)
        finally:
            del tokens[id(self.loop.current)]

    def count_grants(self, customer, units, request_class):
        granted = request_quota(self, customer, units, request_class)
        token = tokens.get(id(self.loop.current))
        if granted and token is not None:
            counted[token] += 1
        return granted

    monkeypatch.setattr(LimitService, "take_idempotent", record_token)
    monkeypatch.setattr(PolicyDriver, "request_quota", count_grants)
    faults = (
        make_step(0.2, "peer_faults", span=6, loss=0.3, duplication=0.3, delay=150_000),
        make_step(3.5, "kill_gateway", 0, back=0.1),
        make_step(4.0, "freeze_gateway", 1, span=0.7),
        make_step(5.0, "cut_peers", 2, span=0.6),
    )
    verdict = simulate(
        make_scenario(*faults, span=7, quota_request_rate=80.0, request_rate=5.0, customer_count=200), 3
    )
    assert verdict.rules == ALL_RULES_HOLD, verdict.as_json()
    assert verdict.quota_responses["granted"] > 100
    assert sum(counted.values()) > 100
    assert max(counted.values()) == 1


def test_demand_over_http_and_resp_together_stays_within_the_quota():
    """Guards against separate counts: both servers of all gateways get seven times the quota together."""
    verdict = simulate(make_scenario(span=6, quota_request_rate=60.0, request_rate=60.0, customer_count=4), 2)
    assert verdict.rules == ALL_RULES_HOLD
    assert verdict.quota_responses["refused"] > 20
    assert verdict.responses["429"] > 20
    assert verdict.units_beyond_quota <= 0.1 * verdict.units_used
