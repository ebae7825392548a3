"""Sums over the fleet in the simulated world: cold hosts, and what passes beyond quotas on a quiet day."""

from __future__ import annotations

from collections import deque

import pytest
from harness.fleet_house import Fleet, Terms
from harness.platform_house import MS, SECOND

from orchidlane.policy import admission, endpoint_registry, gossip, quota, token_owner
from orchidlane.recording.reference_quota import ReferenceQuota

PLAN = {
    "beyondEarns": 0,
    "capDepth": 0,
    "capSlack": 0,
    "hardRate": 0,
    "open": 0,
    "overrunCost": 1,
    "pays": 1,
}
ROOMY = [{**PLAN, "name": "roomy", "perSecond": 1_000.0, "peakUnits": 4_000.0}]
CROWD = [(0, 1.0)] * 50


def replaced(fleet: Fleet) -> None:
    """Six in ten hosts are replaced within two seconds, and gateways are killed and start anew meanwhile."""
    going = fleet.hosts[: fleet.terms.hosts * 6 // 10]
    for number, host in enumerate(going):
        fleet.add()
        fleet.loop.sleep(2 * SECOND // len(going))
        fleet.remove(host)
        if number % 2:
            fleet.restart(number % fleet.terms.gateways)


def worst(fleet: Fleet) -> float:
    return max(fleet.over_budget(host) for host in fleet.hosts if host.started)


@pytest.mark.parametrize("load", [0.6, 0.9])
@pytest.mark.parametrize("gateways", [5, 20, 30])
def test_cold_hosts_are_kept_within_their_budget_by_the_whole_fleet(gateways, load):
    """Also where the settings allow no more than what a cold host can do."""
    terms = Terms(gateways=gateways, hosts=10, load=load, fall_multiple=1.0)
    fleet = Fleet(terms, ROOMY, CROWD, seed=gateways).play(replaced)
    cold = [host for host in fleet.hosts if host.started]
    assert len(cold) == 6 and all(len(host.came) > 5 for host in cold)  # they are used, or nothing is shown
    assert worst(fleet) <= 1.0
    assert fleet.statuses[200] > 0.5 * sum(fleet.statuses.values())


def test_a_fleet_that_sends_cold_hosts_what_warm_ones_get_is_found(monkeypatch):
    """The check can fail: without the ramp the same day breaks it."""
    monkeypatch.setattr(endpoint_registry, "is_warm", lambda state, endpoint: True)
    terms = Terms(gateways=20, hosts=10, load=0.9, fall_multiple=1.0)
    assert worst(Fleet(terms, ROOMY, CROWD, seed=20).play(replaced)) > 1.0


@pytest.mark.parametrize("load", [0.9, 2.5])
def test_all_hosts_cold_at_once_are_kept_within_their_budget(load):
    """A zone that returns, or a start of everything: nobody else takes what the cold ones can't."""

    def all_new(fleet: Fleet) -> None:
        old = list(fleet.hosts)
        for _ in old:
            fleet.add()
        fleet.loop.sleep(100 * MS)
        for host in old:
            fleet.remove(host)

    terms = Terms(gateways=20, hosts=6, load=load)
    assert worst(Fleet(terms, ROOMY, CROWD, seed=3).play(all_new)) <= 1.0


# -- a quiet day

QUIET = [
    {**PLAN, "name": "small", "perSecond": 1.0, "peakUnits": 5.0},
    {**PLAN, "name": "large", "perSecond": 6.0, "peakUnits": 12.0, "overrunCost": 0.8, "pays": 1.6},
]
# Customers by plan and requests a second: most use under half of their quota, some nearly all, some far more
ASKING = [(0, 0.4)] * 30 + [(0, 0.95)] * 6 + [(0, 3.0)] * 4 + [(1, 2.4)] * 8 + [(1, 5.6)] * 2 + [(1, 18.0)]
LATE = SECOND  # so late the policy that it is measured against sees the true state


class LatePolicy:
    """Lets a customer in by the true state of its store, as it was some time ago."""

    def __init__(self, rate: float, burst: float, now: int) -> None:
        self.seen, self.true = ReferenceQuota(rate, burst, now), ReferenceQuota(rate, burst, now)
        self._taken: deque[int] = deque()

    def beyond(self, now: int) -> bool | None:
        """Whether it sends a request beyond the quota; None where it sends none."""
        while self._taken and self._taken[0] <= now - LATE:
            self.seen.draw(self._taken.popleft(), 1.0)
        if self.seen.available_at(now - LATE) < 1.0:
            return None
        if not self.true.try_draw(now, 1.0):
            return True
        self._taken.append(now)
        return False


def prices(fleet: Fleet, start: int) -> tuple[float, float]:
    """What goes beyond quotas costs so much of the worth inside them: ours, and under the late policy."""
    worth = inside = ours = late = 0.0
    stores, policies, offered = {}, {}, {}
    for number, (plan, _) in enumerate(fleet.customers):
        rate, burst = fleet.plans[plan]["perSecond"], fleet.plans[plan]["peakUnits"]
        stores[number], offered[number] = (
            ReferenceQuota(rate, burst, start),
            ReferenceQuota(rate, burst, start),
        )
        policies[number] = LatePolicy(rate, burst, start)
    for now, customer in fleet.asked:
        plan = fleet.plans[fleet.customers[customer][0]]
        worth = plan["pays"]
        inside += worth * offered[customer].try_draw(now, 1.0)
        late += worth * plan["overrunCost"] * (policies[customer].beyond(now) is True)
    for now, customer in fleet.sent:
        plan = fleet.plans[fleet.customers[customer][0]]
        ours += plan["pays"] * plan["overrunCost"] * (not stores[customer].try_draw(now, 1.0))
    return ours / inside, late / inside


def quiet_day(gateways: int) -> tuple[Fleet, float, float]:
    rate = sum(share for _, share in ASKING)
    terms = Terms(gateways=gateways, hosts=10, load=rate / 800, span=20 * SECOND)
    fleet = Fleet(terms, QUIET, ASKING, seed=gateways)
    start = fleet.loop.now()
    fleet.play(lambda fleet: None)
    return fleet, *prices(fleet, start)


@pytest.mark.parametrize("gateways", [5, 20, 30])
def test_on_a_quiet_day_little_more_passes_beyond_quotas_than_where_the_true_state_is_seen_late(gateways):
    fleet, ours, late = quiet_day(gateways)
    assert ours <= late + 0.1, (ours, late)
    assert fleet.statuses[200] > 0.5 * sum(fleet.statuses.values()) > 500


def test_a_fleet_without_counts_of_each_other_is_found(monkeypatch):
    """The check can fail: where nobody hears of the others, each lets in the whole quota."""
    monkeypatch.setattr(gossip, "peer_message_received", lambda state, event: None)
    monkeypatch.setattr(admission, "admits", admits_by_itself)
    monkeypatch.setattr(token_owner, "UNREACHABLE_SMOOTHING", 0.0)  # nor takes silence for a partition
    _, ours, late = quiet_day(20)
    assert ours > late + 0.1, (ours, late)


def admits_by_itself(state, event, account) -> bool:
    quota.refill(state, account)
    return account.remaining >= event.units
