"""Restarts of a gateway with the accounts that its earlier incarnation saved: no quota is spent twice."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, GatewayHarness
from harness.gateway_harness import SETTINGS as FLEET_SETTINGS
from harness.hot_restart_harness import slow
from harness.policy_harness import PLAIN_PLAN, SETTINGS
from harness.scenarios import make_scenario
from hypothesis import given
from hypothesis import strategies as st

from orchidlane import policy
from orchidlane.config import Duration
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.hot_restart.account_recovery import PreviousIncarnation, recover_accounts
from orchidlane.policy.accounts import Account, AccountKey, ReplicaCount
from orchidlane.policy.gateway import Gateway
from orchidlane.recording.state_dump import account_to_row
from orchidlane.runtime import EventLoop
from orchidlane.runtime.simulated_backend import SimulatedBackend
from orchidlane.simulation.audit import Verdict
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner
from orchidlane.simulation.simulated_fleet import SimulatedFleetBackend

pytestmark = pytest.mark.usefixtures("quiet_log")

START = 10**15
PLANS = ("basico", "amplio")
# Units granted from a burst of 40: a customer is rejected once less than a quarter of its burst remains
# (``quota.EXHAUSTED_BELOW_SHARE``).
ALMOST_FULL = 30


def make_gateway(rate: float, burst: float) -> Gateway:
    """Return the only gateway of a fleet, with one plan."""
    plan = dataclasses.replace(PLAIN_PLAN, rate=rate, burst=burst)
    settings = dataclasses.replace(SETTINGS, replica_count=1, may_gossip=False, plans=(plan,))
    return Gateway(settings, 1, START)


def admits(gateway: Gateway, now: int, units: float) -> bool:
    """Request units of quota, and return whether they were granted."""
    event = policy.QuotaRequested(now, 1, 0, 0, units, 0, 1)
    return any(isinstance(action, policy.GrantQuota) for action in gateway.handle(now, event))


@given(
    st.lists(st.tuples(st.integers(0, 3_000), st.integers(1, 6)), max_size=40),
    st.integers(0, 39),
    st.integers(0, 20_000),
    st.integers(0, 5_000),
)
def test_two_incarnations_together_stay_within_one_token_bucket(
    requests, save_before_request, gap_ms, valid_ms
):
    """Check this for any requests, any time of the save, and any duration between the incarnations."""
    rate, burst = 5.0, 12.0
    gateway, now, row, saved_at = make_gateway(rate, burst), START, None, START
    spent: list[tuple[int, float]] = []
    for number, (pause_ms, units) in enumerate(requests):
        now += pause_ms * MS
        if number == save_before_request or row is None:
            account = gateway.accounts.get(1)
            row, saved_at = (account_to_row(account) if account else None), now
        if row is not None and now > saved_at + valid_ms * MS:
            break  # the gateway would have saved its accounts again by then
        if admits(gateway, now, units):
            spent.append((now, units))
    if row is None:
        return
    now = max(now, saved_at) + gap_ms * MS
    restarted = make_gateway(rate, burst)
    (account,) = recover_accounts(
        [row], PreviousIncarnation(0, ["a"], saved_at, saved_at + valid_ms * MS, False), ["a"], now
    )
    restarted.accounts[1] = account
    restarted.idle_queue.append(1)
    for _ in range(30):
        if admits(restarted, now, 1.0):
            spent.append((now, 1.0))
        now += 100 * MS
    remaining, last = burst, START
    for spent_at, units in spent:
        remaining, last = min(burst, remaining + rate * (spent_at - last) / SECOND) - units, spent_at
        assert remaining > -1e-6


def test_counts_are_recovered_and_other_state_is_reset():
    counts = {0: ReplicaCount(5, 10.0), 1: ReplicaCount(6, 20.0)}
    account = Account(7, AccountKey(1, 0, 3), 90.0, START, counts, 30.0, 30.0, (1, 0), False, 2)
    account.ceiling_tokens, account.peer_admissions_at_us, account.announced_at_us = 9.0, (START,), START
    row = account_to_row(account)
    previous = PreviousIncarnation(0, PLANS, START, START + 4 * SECOND, False)
    (recovered,) = recover_accounts([row], previous, ("amplio", "other"), START + 9 * SECOND)
    assert (recovered.plan, recovered.remaining, recovered.refilled_at_us) == (0, 0.0, START + 4 * SECOND)
    assert (
        recovered.replica_counts,
        recovered.recently_changed,
        recovered.spent_total,
        recovered.counted_total,
    ) == (
        {1: (6, 20.0)},
        (1,),
        30.0,
        30.0,
    )
    assert (
        recovered.unconfirmed,
        recovered.in_flight,
        recovered.ceiling_tokens,
        recovered.peer_admissions_at_us,
    ) == (
        True,
        0,
        0.0,
        (),
    )
    (after_clean_shutdown,) = recover_accounts(
        [row], previous._replace(valid_until_us=START, clean_shutdown=True), PLANS, START + 9 * SECOND
    )
    assert (after_clean_shutdown.remaining, after_clean_shutdown.refilled_at_us) == (60.0, START)
    (clock_went_back,) = recover_accounts(
        [row], previous._replace(clean_shutdown=True), PLANS, START - SECOND
    )
    assert (clock_went_back.remaining, clock_went_back.refilled_at_us) == (0.0, START - SECOND)
    assert list(recover_accounts([row], previous, ("another",), START)) == []


class SingleGateway(GatewayHarness):
    """The only gateway of a fleet, with a state directory."""

    def __init__(self, *handlers) -> None:
        example = parse_settings(FLEET_SETTINGS, "fleet.cue")
        plans = {"basico": msgspec.structs.replace(example.plans["basico"], rate=2.0, burst=40.0)}
        super().__init__(*handlers, state="/sim", gateways=example.gateways[:1], plans=plans)

    def spend(self, count: int) -> int:
        """Send ``count`` requests, one after another; return how many were served."""
        return sum(self.ask(GET)[0] == 200 for _ in range(count))


def restart(harness: GatewayHarness) -> None:
    """Start the gateway again, and wait until it serves."""
    harness.start()
    harness.loop.sleep(300 * MS)


def test_killed_gateway_gives_no_customer_a_second_burst():
    def test(harness: SingleGateway) -> None:
        assert harness.spend(20) == 20
        harness.loop.sleep(6 * SECOND)  # the account is saved; 32 units remain
        assert harness.spend(20) == 20
        harness.backend.kill(harness.process)
        restart(harness)
        assert harness.spend(40) == 0
        harness.loop.sleep(40 * SECOND)
        assert harness.spend(40) >= ALMOST_FULL

    SingleGateway(slow, slow).run(test)


def test_clean_restart_keeps_the_remaining_units():
    def test(harness: SingleGateway) -> None:
        assert harness.spend(20) == 20
        harness.program.stop()
        while harness.process.tasks:
            harness.loop.sleep(10 * MS)
        harness.backend.kill(harness.process)
        restart(harness)
        assert 10 <= harness.spend(40) <= 14

    SingleGateway(slow, slow).run(test)


@pytest.mark.parametrize("damaged", [b"", b"garbage", b"OLREC1\n", None])
def test_unreadable_accounts_are_ignored_and_an_expired_file_is_removed(damaged):
    def test(harness: SingleGateway) -> None:
        path = "/sim/gw-0.accounts"
        assert harness.spend(10) == 10
        harness.loop.sleep(6 * SECOND)
        harness.backend.kill(harness.process)
        data = harness.backend.files[path]
        harness.backend.files[path] = data[: len(data) // 2] if damaged is None else damaged
        restart(harness)
        assert harness.spend(40) >= ALMOST_FULL  # as without saved accounts
        assert harness.backend.files[path] != data

        def disk_full(_path: str, _data: bytes) -> None:
            raise OSError(28, "No space left on device")

        harness.backend.write_file = disk_full
        harness.loop.sleep(60 * SECOND)
        assert path not in harness.backend.files
        assert harness.ask(GET)[0] == 200

    SingleGateway(slow, slow).run(test)


class KilledFleet:
    """A simulated fleet whose three gateways are killed at the same time, four times."""

    def __init__(self, save_interval_us: int) -> None:
        backend = SimulatedBackend(11)
        self.loop = EventLoop(backend)
        self.fleet_backend = SimulatedFleetBackend(self.loop, backend)
        scenario = make_scenario(span=12, request_rate=160.0, customer_count=6, quota_request_rate=0.0)
        plan = make_plan(scenario, "sim", self.fleet_backend.free_addresses)
        interval = Duration(save_interval_us)
        account_store = msgspec.structs.replace(plan.fleet.account_store, write_interval_us=interval)
        plan.fleet = msgspec.structs.replace(plan.fleet, account_store=account_store)
        self.fleet_backend.prepare(plan)
        self.runner = ScenarioRunner(self.loop, plan, self.fleet_backend)

    def kill_and_restart_all(self) -> None:
        """Kill all gateways at the same time and start them again, four times."""
        while self.runner.http_clients is None:
            self.loop.sleep(50 * MS)
        for _ in range(4):
            self.loop.sleep(2_500 * MS)
            for rank in range(3):
                self.fleet_backend.stop_gateway(rank, kill=True)
            for rank in range(3):
                self.fleet_backend.start_gateway(rank)

    def run(self) -> Verdict:
        """Return the audit's verdict."""
        verdicts: list[Verdict] = []

        def run_both() -> None:
            self.loop.spawn(self.kill_and_restart_all, process=self.loop.main_process)
            verdicts.append(self.runner.run())

        self.loop.run(run_both)
        return verdicts[0]


def test_saved_accounts_reduce_what_a_killed_fleet_grants_beyond_quota():
    """Run the same scenario of kills with and without saved accounts."""
    without_saved = KilledFleet(save_interval_us=0).run().units_beyond_quota
    verdict = KilledFleet(save_interval_us=SECOND).run()
    with_saved = verdict.units_beyond_quota
    assert verdict.rules["5"]
    assert verdict.rules["2"]
    assert without_saved > 20
    assert with_saved < without_saved / 3, (without_saved, with_saved)
