"""Ceilings while gateways disagree on a customer's replica set, as after a SIGHUP to only some of them."""

from __future__ import annotations

from harness.constants import SECOND
from harness.policy_harness import PolicyHarness, actions_of

from orchidlane.policy import GrantQuota, Plan, QuotaRequested

CEILING_ONLY_PLAN = Plan(0.0, 0.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)  # no rate limit besides the ceiling
GATEWAYS = 6
CUSTOMERS = 10
UNITS_REQUESTED = 60  # from each gateway, one unit per request
OLD_START, NEW_START, SET_SIZE = 0, 3, 3
RELOADED = (3, 4, 5)  # ranks that use the new set; the others keep the old one


def granted_units(harness: PolicyHarness, customer: int, start: int) -> int:
    """Request units from a gateway one by one; return how many it granted."""
    granted = 0
    for number in range(UNITS_REQUESTED):
        event = QuotaRequested(number, customer, 0, 0, 1.0, start, SET_SIZE)
        granted += len(actions_of(harness.feed(event), GrantQuota))
    return granted


# Guards against exceeding a ceiling while some gateways use the old replica set and others the new one.
def test_a_ceiling_holds_while_gateways_disagree_on_a_replica_set():
    gateways = [
        PolicyHarness(replica=rank, replica_count=GATEWAYS, plans=(CEILING_ONLY_PLAN,))
        for rank in range(GATEWAYS)
    ]
    allowed = CEILING_ONLY_PLAN.ceiling_burst + CEILING_ONLY_PLAN.ceiling_slack
    granted_over_ceiling = {}
    for customer in range(CUSTOMERS):
        for harness in gateways:
            harness.advance(20 * SECOND)
        granted = sum(
            granted_units(harness, customer, NEW_START if rank in RELOADED else OLD_START)
            for rank, harness in enumerate(gateways)
        )
        if granted > allowed:
            granted_over_ceiling[customer] = granted
    assert granted_over_ceiling == {}, f"units allowed: {allowed}"
