"""Permissions: no action of a gateway is one that its settings do not permit."""

from __future__ import annotations

import pytest
from harness.event_story import EventStory
from harness.policy_harness import CEILING_PLAN, PolicyHarness, actions_of

from orchidlane.policy import CancelAttempt, CheckHealth, RejectRequest, SendPeerMessage

FORBIDDEN_ACTIONS = (SendPeerMessage, CancelAttempt, CheckHealth)


def test_a_gateway_that_may_not_gossip_sends_no_peer_message_when_a_ceiling_is_reached():
    harness = PolicyHarness(may_gossip=False, plans=(CEILING_PLAN,))
    for request in range(300):
        harness.request(request, customer=request // 10, replica_set_size=3)
    assert any(rejected.over_quota for rejected in actions_of(harness.actions, RejectRequest))
    assert actions_of(harness.actions, SendPeerMessage) == []


def test_a_gateway_that_may_not_gossip_sends_no_peer_message_below_its_ceilings():
    harness = PolicyHarness(may_gossip=False)
    for request in range(20):
        harness.request(request, customer=request, replica_set_size=3)
    harness.advance(2_000_000)
    assert actions_of(harness.actions, SendPeerMessage) == []


# Guards against one more path by which an event leads to an action that the settings rule out.
@pytest.mark.parametrize("seed", range(20))
def test_no_event_makes_a_gateway_without_permissions_do_what_needs_one(seed):
    story = EventStory(seed, may_gossip=False, may_cancel=False, may_check_health=False)
    for _ in range(400):
        story.step()
    assert actions_of(story.bench.actions, FORBIDDEN_ACTIONS) == []
