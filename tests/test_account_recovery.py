"""A gateway that restarts with the accounts that its earlier incarnation saved: no quota is spent twice."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest
from harness.constants import MS, SECOND
from harness.gateway_harness import GET, GatewayHarness
from harness.gateway_harness import SETTINGS as FLEET
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
ALMOST_FULL = 30  # of a burst of 40: below a quarter a customer is exhausted, quota.EXHAUSTED_BELOW_SHARE


def make_gateway(rate: float, burst: float) -> Gateway:
    """Return a gateway alone in its fleet, with one plan."""
    plan = dataclasses.replace(PLAIN_PLAN, rate=rate, burst=burst)
    settings = dataclasses.replace(SETTINGS, replica_count=1, may_gossip=False, plans=(plan,))
    return Gateway(settings, 1, START)


def admits(gateway: Gateway, now: int, units: float) -> bool:
    """Request quota; return whether it was granted."""
    event = policy.QuotaRequested(now, 1, 0, 0, units, 0, 1)
    return any(isinstance(action, policy.GrantQuota) for action in gateway.handle(now, event))


@given(
    st.lists(st.tuples(st.integers(0, 3_000), st.integers(1, 6)), max_size=40),
    st.integers(0, 39),
    st.integers(0, 20_000),
    st.integers(0, 5_000),
)
def test_no_incarnation_spends_what_an_earlier_one_may_have_spent(requests, saved_before, gap, valid_for):
    """Whatever was requested and whenever it was saved, both together stay within one token bucket."""
    rate, burst = 5.0, 12.0
    gateway, now, row, saved_at = make_gateway(rate, burst), START, None, START
    spent: list[tuple[int, float]] = []
    for number, (span, units) in enumerate(requests):
        now += span * MS
        if number == saved_before or row is None:
            account = gateway.accounts.get(1)
            row, saved_at = (account_to_row(account) if account else None), now
        if row is not None and now > saved_at + valid_for * MS:
            break  # it would have been renewed by then
        if admits(gateway, now, units):
            spent.append((now, units))
    if row is None:
        return
    now = max(now, saved_at) + gap * MS
    restarted = make_gateway(rate, burst)
    (account,) = recover_accounts(
        [row], PreviousIncarnation(0, ["a"], saved_at, saved_at + valid_for * MS, False), ["a"], now
    )
    restarted.accounts[1] = account
    restarted.idle_queue.append(1)
    for _ in range(30):
        if admits(restarted, now, 1.0):
            spent.append((now, 1.0))
        now += 100 * MS
    remaining, last = burst, START
    for when, units in spent:
        remaining, last = min(burst, remaining + rate * (when - last) / SECOND) - units, when
        assert remaining > -1e-6


def test_counts_are_recovered_and_the_rest_is_reset():
    counts = {0: ReplicaCount(5, 10.0), 1: ReplicaCount(6, 20.0)}
    account = Account(7, AccountKey(1, 0, 3), 90.0, START, counts, 30.0, 30.0, (1, 0), False, 2)
    account.ceiling_tokens, account.peer_admissions_at_us, account.announced_at_us = 9.0, (START,), START
    row = account_to_row(account)
    previous = PreviousIncarnation(0, PLANS, START, START + 4 * SECOND, False)
    (found,) = recover_accounts([row], previous, ("amplio", "other"), START + 9 * SECOND)
    assert (found.plan, found.remaining, found.refilled_at_us) == (0, 0.0, START + 4 * SECOND)
    assert (found.replica_counts, found.recently_changed, found.spent_total, found.counted_total) == (
        {1: (6, 20.0)},
        (1,),
        30.0,
        30.0,
    )
    assert (found.unconfirmed, found.in_flight, found.ceiling_tokens, found.peer_admissions_at_us) == (
        True,
        0,
        0.0,
        (),
    )
    (clean,) = recover_accounts(
        [row], previous._replace(valid_until_us=START, clean_shutdown=True), PLANS, START + 9 * SECOND
    )
    assert (clean.remaining, clean.refilled_at_us) == (60.0, START)
    (back,) = recover_accounts([row], previous._replace(clean_shutdown=True), PLANS, START - SECOND)
    assert (back.remaining, back.refilled_at_us) == (0.0, START - SECOND)
    assert list(recover_accounts([row], previous, ("another",), START)) == []


class SingleGateway(GatewayHarness):
    """One gateway in its fleet, with a folder for its state."""

    def __init__(self, *handlers) -> None:
        example = parse_settings(FLEET, "fleet.cue")
        plans = {"basico": msgspec.structs.replace(example.plans["basico"], rate=2.0, burst=40.0)}
        super().__init__(*handlers, state="/sim", gateways=example.gateways[:1], plans=plans)

    def spend(self, count: int) -> int:
        """Send so many requests, one after another; return how many were served."""
        return sum(self.ask(GET)[0] == 200 for _ in range(count))


def restart(harness: GatewayHarness) -> None:
    """Start the gateway again."""
    harness.start()
    harness.loop.sleep(300 * MS)


def test_a_killed_gateway_gives_no_customer_a_second_burst():
    def test(harness: SingleGateway) -> None:
        assert harness.spend(20) == 20
        harness.loop.sleep(6 * SECOND)  # it is saved; 32 units remain
        assert harness.spend(20) == 20
        harness.backend.kill(harness.process)
        restart(harness)
        assert harness.spend(40) == 0
        harness.loop.sleep(40 * SECOND)
        assert harness.spend(40) >= ALMOST_FULL

    SingleGateway(slow, slow).run(test)


def test_clean_restart_continues_exactly():
    def test(harness: SingleGateway) -> None:
        assert harness.spend(20) == 20
        harness.program.stop()
        while harness.process.tasks:
            harness.loop.sleep(10 * MS)
        harness.backend.kill(harness.process)
        restart(harness)
        assert 10 <= harness.spend(40) <= 14

    SingleGateway(slow, slow).run(test)


@pytest.mark.parametrize("spoil", [b"", b"garbage", b"OLREC1\n", None])
def test_unreadable_accounts_are_ignored_and_an_expired_file_is_removed(spoil):
    def test(harness: SingleGateway) -> None:
        path = "/sim/gw-0.accounts"
        assert harness.spend(10) == 10
        harness.loop.sleep(6 * SECOND)
        harness.backend.kill(harness.process)
        data = harness.backend.files[path]
        harness.backend.files[path] = data[: len(data) // 2] if spoil is None else spoil
        restart(harness)
        assert harness.spend(40) >= ALMOST_FULL  # as without any
        assert harness.backend.files[path] != data

        def disk_full(_path: str, _data: bytes) -> None:
            raise OSError(28, "No space left on device")

        harness.backend.write_file = disk_full
        harness.loop.sleep(60 * SECOND)
        assert path not in harness.backend.files
        assert harness.ask(GET)[0] == 200

    SingleGateway(slow, slow).run(test)


class KilledFleet:
    """A simulated fleet whose three gateways are killed together four times."""

    def __init__(self, save_interval_us: int) -> None:
        backend = SimulatedBackend(11)
        self.loop = EventLoop(backend)
        self.backing = SimulatedFleetBackend(self.loop, backend)
        scenario = make_scenario(span=12, request_rate=160.0, customer_count=6, quota_request_rate=0.0)
        plan = make_plan(scenario, "sim", self.backing.free_addresses)
        interval = Duration(save_interval_us)
        account_store = msgspec.structs.replace(plan.fleet.account_store, write_interval_us=interval)
        plan.fleet = msgspec.structs.replace(plan.fleet, account_store=account_store)
        self.backing.prepare(plan)
        self.runner = ScenarioRunner(self.loop, plan, self.backing)

    def kill_and_restart_all(self) -> None:
        """Kill all gateways and start them again, four times."""
        while self.runner.http_clients is None:
            self.loop.sleep(50 * MS)
        for _ in range(4):
            self.loop.sleep(2_500 * MS)
            for rank in range(3):
                self.backing.end_gateway(rank, kill=True)
            for rank in range(3):
                self.backing.start_gateway(rank)

    def run(self) -> Verdict:
        """Return the audit's verdict."""
        verdicts: list[Verdict] = []

        def work() -> None:
            self.loop.spawn(self.kill_and_restart_all, process=self.loop.main_process)
            verdicts.append(self.runner.run())

        self.loop.run(work)
        return verdicts[0]


def test_fleet_killed_together_exceeds_its_quotas_less_with_saved_accounts():
    """The same scenario of kills with and without saved accounts."""
    without_saved = KilledFleet(save_interval_us=0).run().units_beyond_quota
    verdict = KilledFleet(save_interval_us=SECOND).run()
    with_saved = verdict.units_beyond_quota
    assert verdict.rules["5"]
    assert verdict.rules["2"]
    assert without_saved > 20
    assert with_saved < without_saved / 3, (without_saved, with_saved)
