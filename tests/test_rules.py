"""The five rules, by one gateway alone."""

from __future__ import annotations

import pytest
from conftest import SECOND, T0, Bench, entry, listed, of

from orchidlane import policy
from orchidlane.policy import Outcome, admission, gossip_codec, quota, replica_set
from orchidlane.policy.accounts import Account, AccountKey
from orchidlane.policy.gossip_codec import CustomerRow

SAFE_KIND, CELL_KIND, UNSAFE_KIND, ALL_KIND, ZONE_KIND = range(5)
NEVER_RAN = (Outcome.ENDPOINT_FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
MAY_HAVE_RUN = (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED)


def finals(bench: Bench, request: int) -> list:
    """Our final answers to one request."""
    return [
        a
        for a in bench.log
        if isinstance(a, (policy.RejectRequest, policy.FailRequest)) and a.request == request
    ]


# Rule 1


def test_a_request_without_servers_is_held_and_then_ended_in_time():
    bench = Bench(servers=0)
    assert not of(bench.ask(1, left=SECOND), (policy.RejectRequest, policy.FailRequest))
    bench.run(SECOND - 1)
    assert finals(bench, 1) == [policy.RejectRequest(1, 0)]


def test_a_held_request_goes_out_when_a_server_comes():
    bench = Bench(servers=0)
    bench.ask(1)
    bench.run(100_000)
    bench.feed(listed(entry(1)))
    assert len(of(bench.run(100_000), policy.SendAttempt)) == 1


def test_a_timeout_at_the_deadline_is_answered_at_once(bench):
    send = of(bench.ask(1, kind=UNSAFE_KIND), policy.SendAttempt)[0]
    bench.now += 2 * SECOND
    bench.outcome(1, send.endpoint, Outcome.TIMED_OUT, took=2 * SECOND)
    assert finals(bench, 1) == [policy.FailRequest(1)]
    bench.run(5 * SECOND)
    assert len(finals(bench, 1)) == 1


def test_nothing_follows_an_answer_or_a_client_gone(bench):
    send = of(bench.ask(1), policy.SendAttempt)[0]
    bench.outcome(1, send.endpoint, Outcome.SERVED)
    other = of(bench.ask(2), policy.SendAttempt)[0]
    bench.feed(policy.ClientDisconnected(2))
    bench.outcome(2, other.endpoint, Outcome.ERROR)
    assert not of(bench.run(3 * SECOND), (policy.SendAttempt, policy.RejectRequest, policy.FailRequest))


def test_what_is_not_held_is_passed_over(bench):
    assert bench.outcome(99, entry(1).endpoint, Outcome.SERVED) == []
    assert bench.feed(policy.TimerFired(99)) == []
    assert bench.feed(policy.ClientDisconnected(99)) == []


# Rule 2


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_an_unsafe_request_that_may_have_run_is_neither_repeated_nor_refused(bench, outcome):
    send = of(bench.ask(1, kind=UNSAFE_KIND), policy.SendAttempt)[0]
    bench.now += 10_000
    actions = bench.outcome(1, send.endpoint, outcome)
    assert not of(actions, (policy.SendAttempt, policy.RejectRequest))
    assert of(actions, policy.FailRequest) == [policy.FailRequest(1)]


@pytest.mark.parametrize("outcome", NEVER_RAN)
def test_an_unsafe_request_that_never_ran_goes_on(bench, outcome):
    send = of(bench.ask(1, kind=UNSAFE_KIND), policy.SendAttempt)[0]
    assert of(bench.outcome(1, send.endpoint, outcome), policy.SendAttempt)


def test_an_unsafe_request_gets_no_second_copy(bench):
    bench.ask(1, kind=UNSAFE_KIND)
    assert not of(bench.run(3 * SECOND), policy.SendAttempt)


@pytest.mark.parametrize(("kind", "near"), [(CELL_KIND, "cell"), (ZONE_KIND, "zone")])
def test_a_keyed_request_stays_in_its_group(kind, near):
    for seed in range(12):
        bench = Bench(servers=0, seed=seed)
        where = {entry(i).endpoint: i % 2 for i in range(6)}
        bench.feed(listed(*(entry(i, **{near: i % 2}) for i in range(6))))
        send = of(bench.ask(1, kind=kind), policy.SendAttempt)[0]
        bench.now += 10_000
        again = of(bench.outcome(1, send.endpoint, Outcome.CONNECTION_BROKEN), policy.SendAttempt)
        assert [where[a.endpoint] for a in again] == [where[send.endpoint]]


def test_a_keyed_request_with_no_server_of_its_group_fails_in_the_end():
    bench = Bench(servers=0)
    bench.feed(listed(entry(1, cell=1)))
    send = of(bench.ask(1, kind=CELL_KIND), policy.SendAttempt)[0]
    bench.feed(listed(entry(2, cell=2)))
    bench.now += 10_000
    assert not of(bench.outcome(1, send.endpoint, Outcome.CONNECTION_BROKEN), policy.SendAttempt)
    bench.run(2 * SECOND)
    assert finals(bench, 1) == [policy.FailRequest(1)]


def test_a_keyed_request_is_not_repeated_after_its_window(bench):
    send = of(bench.ask(1, kind=ALL_KIND, left=4 * SECOND), policy.SendAttempt)[0]
    bench.now += SECOND + 1
    assert not of(bench.outcome(1, send.endpoint, Outcome.CONNECTION_BROKEN), policy.SendAttempt)
    bench.run(4 * SECOND)
    assert finals(bench, 1) == [policy.RejectRequest(1, 0)]


def test_an_attempt_that_nobody_waits_for_is_called_off(bench):
    bench.ask(1)
    assert of(bench.feed(policy.ClientDisconnected(1)), policy.CancelAttempt) == [policy.CancelAttempt(1, 0)]


def test_attempts_stay_within_the_limit():
    bench = Bench(max_attempts=2)
    send = of(bench.ask(1), policy.SendAttempt)[0]
    send = of(bench.outcome(1, send.endpoint, Outcome.ENDPOINT_FULL), policy.SendAttempt)[0]
    actions = bench.outcome(1, send.endpoint, Outcome.ENDPOINT_FULL, attempt=1)
    assert of(actions, (policy.SendAttempt, policy.RejectRequest)) == [policy.RejectRequest(1, 0)]


# Rule 3


@pytest.mark.parametrize("phase", [policy.EndpointState.DRAINING, policy.EndpointState.GONE])
def test_nothing_new_goes_to_a_draining_or_gone_server(phase):
    bench = Bench(servers=0)
    bench.feed(listed(entry(1), entry(2)))
    bench.feed(listed(entry(1, phase=phase), kind=policy.EndpointListKind.DELTA))
    for request in range(1, 9):
        for send in of(bench.ask(request, customer=request), policy.SendAttempt):
            assert send.endpoint == entry(2).endpoint
            for again in of(bench.outcome(request, send.endpoint, Outcome.ENDPOINT_FULL), policy.SendAttempt):
                assert again.endpoint == entry(2).endpoint


def test_a_whole_list_ends_what_it_lacks_and_binds_held_requests():
    bench = Bench(servers=2)
    bench.feed(listed())
    assert not of(bench.ask(1), policy.SendAttempt)
    assert not of(bench.run(2 * SECOND), policy.SendAttempt)
    assert finals(bench, 1) == [policy.RejectRequest(1, 0)]


def test_a_failed_list_call_changes_nothing(bench):
    bench.feed(policy.EndpointListReceived(policy.EndpointListKind.FAILED, 9, ()))
    assert of(bench.ask(1), policy.SendAttempt)


# Rule 4


def test_a_cold_server_gets_no_more_than_its_part_of_a_warm_ones_share():
    bench = Bench(servers=0)
    cold = entry(9, launched=T0)
    bench.feed(listed(*(entry(i) for i in range(4)), cold))
    sent = {"cold": 0, "warm": 0}
    for request in range(1, 401):
        for send in of(bench.ask(request, customer=request), policy.SendAttempt):
            sent["cold" if send.endpoint == cold.endpoint else "warm"] += 1
            bench.outcome(request, send.endpoint, Outcome.SERVED, took=1_000)
        bench.run(5_000)
    ramp = 0.25 + 0.75 * 2 / 10  # two seconds into ten
    assert sent["warm"] > 300
    assert sent["cold"] <= ramp * sent["warm"] / 4 + 1


def test_a_server_that_restarted_is_cold_again_and_gets_no_burst():
    bench = Bench(servers=0)
    bench.feed(listed(entry(1, launched=T0 - 60 * SECOND)))
    assert len(of(bench.ask(1), policy.SendAttempt)) == 1
    bench.feed(listed(entry(1, launched=T0), kind=policy.EndpointListKind.DELTA))
    sends = [s for r in range(2, 402) for s in of(bench.ask(r, customer=r), policy.SendAttempt)]
    assert 0 < len(sends) <= 0.25 * 400
    for _ in range(50):  # what is held does not try its luck again and again
        bench.run(20_000)
    assert len(of(bench.log, policy.SendAttempt)) <= 0.4 * 400


def test_cold_servers_stay_safe_in_sum_of_many_gateways():
    """A gateway of a large fleet sends to one server less than once in its warm-up: chance has to sum up."""
    cold, sent = entry(9, launched=T0), {True: 0, False: 0}
    for seed in range(200):
        bench = Bench(servers=0, seed=seed, replica_count=200, now=T0 + 2 * SECOND)
        bench.feed(listed(*(entry(i) for i in range(4)), cold))
        for request in range(1, 11):
            for send in of(bench.ask(request, customer=request, size=1), policy.SendAttempt):
                sent[send.endpoint == cold.endpoint] += 1
                bench.outcome(request, send.endpoint, Outcome.SERVED, took=30_000)
    assert 0.2 * sent[False] / 4 < sent[True] < 0.4 * sent[False] / 4


# Rule 5


def test_a_ceiling_is_shared_out_and_starts_empty():
    bench = Bench(servers=4)
    sent = 0
    for request in range(1, 601):  # 6 s, far more than the ceiling lets pass
        for send in of(bench.ask(request, customer=1, plan=2), policy.SendAttempt):
            sent += 1
            bench.outcome(request, send.endpoint, Outcome.SERVED, took=1_000)
        bench.run(10_000)
    assert 0 < sent <= 8 / 3 * 6


def ceiling_row(rights: float, total=0.0) -> CustomerRow:
    """A word on a customer with a ceiling, with rights wanted or given."""
    return CustomerRow(1, 2, 0, 3, 0, 8.0, total, rights, ())


def hear(bench: Bench, sender: int, row: CustomerRow, keep: bool) -> list:
    """A peer's word, which asks for an answer where it wants rights."""
    sent = bench.now // 1_000
    body = gossip_codec.encode_message(sent, keep, keep, [gossip_codec.encode_row(row, sent, 3)])
    return bench.feed(policy.PeerMessageReceived(sender, body))


def test_a_keeper_gives_rights_of_a_ceiling_only_once():
    """What it gives is off its own part first; together no more than the ceiling's store goes out."""
    account = Account(1, AccountKey(2, 0, 3), 8.0, T0)
    keeper = next(r for r in range(3) if replica_set.token_owner(Bench(replica=r).gateway, account) == r)
    bench = Bench(replica=keeper)
    other = (keeper + 1) % 3
    hear(bench, other, ceiling_row(0.0), keep=True)
    bench.now += 30 * SECOND  # its store of 16 x 2/3 is full
    given = 0.0
    for _ in range(5):
        for tell in of(hear(bench, other, ceiling_row(5.0), keep=True), policy.SendPeerMessage):
            message = gossip_codec.decode_message(tell.body, bench.now // 1_000, 3, 4)
            given += message.rows[0].tokens if not message.to_token_owner else 0.0
    assert 10.0 < given <= 16 * 2 / 3


def test_rights_that_were_not_asked_for_are_not_taken():
    """A repeated or made-up gift must not lift a ceiling."""
    bench = Bench(replica=1)
    hear(bench, 0, ceiling_row(16.0), keep=False)
    assert not of(bench.ask(1, customer=1, plan=2), policy.SendAttempt)
    hear(bench, 0, ceiling_row(2.0), keep=False)
    hear(bench, 0, ceiling_row(2.0), keep=False)
    sends = [s for r in range(2, 30) for s in of(bench.ask(r, customer=1, plan=2), policy.SendAttempt)]
    assert 1 <= len(sends) <= 2  # once what was asked for


def test_a_restart_gives_no_fresh_part_of_a_ceiling():
    bench = Bench(now=T0 + 10 * SECOND)
    assert not of(bench.ask(1, plan=2), policy.SendAttempt)
    bench.now += SECOND
    sends = [s for r in range(2, 9) for s in of(bench.ask(r, plan=2), policy.SendAttempt)]
    assert len(sends) <= 5  # its part of eight a second


def test_a_set_of_one_gateway_has_its_whole_quota_for_ever():
    """Guards against a fleet of one that grants each customer its burst once and then nothing."""
    bench = Bench(replica_count=1, may_gossip=False)
    granted = 0
    for number in range(60):
        bench.now += SECOND
        granted += len(of(bench.feed(policy.QuotaRequested(number, 7, 0, 0, 1.0, 0, 1)), policy.GrantQuota))
    assert granted == 60


def ceiled(bench: Bench, units: float) -> bool:
    """Whether a take of a customer with a ceiling, in a set of all three gateways, is granted."""
    event = policy.QuotaRequested(bench.now, 7, 2, 0, units, 0, 3)
    return bool(of(bench.feed(event), policy.GrantQuota))


def test_a_ceilings_part_fills_from_the_gateways_start():
    """A customer that is met late finds what the whole life has earned; met at once, nothing."""
    late, soon = Bench(), Bench()
    assert not ceiled(soon, 1.0)
    late.now += 60 * SECOND
    assert ceiled(late, 2.0)  # its part of the ceiling's store is 16 / 6, as another is the first keeper


def test_a_customer_that_is_forgotten_and_met_again_neither_loses_nor_gains_rights():
    for customer in range(3):  # each gateway is the first keeper of one of these
        bench = Bench()
        account = quota.update_account_key(bench.gateway, customer << 16, 2, 0, 3)
        account.unconfirmed = False
        most = 16.0 * quota.ceiling_share(bench.gateway, account)
        for _ in range(400):
            bench.now += SECOND // 10
            if not bench.gateway.accounts:
                break
            bench.gateway.now = bench.now
            admission.evict_idle_accounts(bench.gateway)
            if bench.gateway.accounts:
                assert account.ceiling_tokens < most
        assert not bench.gateway.accounts  # forgotten as soon as its part is full, and no later
        again = quota.update_account_key(bench.gateway, customer << 16, 2, 0, 3)
        quota.refill(bench.gateway, again)
        assert again.ceiling_tokens == pytest.approx(most)
