"""Ceilings while gateways disagree on a customer's replica set, as after a SIGHUP to some of them."""

from __future__ import annotations

from harness.constants import SECOND
from harness.policy_harness import PolicyHarness, actions_of

from orchidlane.policy import GrantQuota, Plan, QuotaRequested

CEILING_ALONE = Plan(0.0, 0.0, 0, 1.0, 0.0, 1.0, 8.0, 16.0, 2.0)  # no quota below it
GATEWAYS = 6
CUSTOMERS = 10
BURST = 60  # units asked of each gateway at once
OLD_START, NEW_START, SET_SIZE = 0, 3, 3
RELOADED = (3, 4, 5)  # the others never hear of the new set


def granted_units(harness: PolicyHarness, customer: int, start: int) -> int:
    """Ask a gateway for units one by one; return how many it granted."""
    granted = 0
    for number in range(BURST):
        event = QuotaRequested(number, customer, 0, 0, 1.0, start, SET_SIZE)
        granted += len(actions_of(harness.feed(event), GrantQuota))
    return granted


# Guards against a ceiling passed while some gateways count by the old set and others by the new one.
def test_a_ceiling_holds_while_gateways_disagree_on_a_replica_set():
    gateways = [
        PolicyHarness(replica=rank, replica_count=GATEWAYS, plans=(CEILING_ALONE,))
        for rank in range(GATEWAYS)
    ]
    allowed = CEILING_ALONE.ceiling_burst + CEILING_ALONE.ceiling_slack
    over = {}
    for customer in range(CUSTOMERS):
        for harness in gateways:
            harness.advance(20 * SECOND)
        granted = sum(
            granted_units(harness, customer, NEW_START if rank in RELOADED else OLD_START)
            for rank, harness in enumerate(gateways)
        )
        if granted > allowed:
            over[customer] = granted
    assert over == {}, f"allowed: {allowed}"
