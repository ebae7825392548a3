"""Permissions: a gateway returns no action that its settings do not permit."""

from __future__ import annotations

import pytest
from harness.policy_harness import CEILING_PLAN, PolicyHarness, actions_of
from harness.recording_harness import PolicyFuzzer

from orchidlane.policy import CancelAttempt, CheckHealth, RejectRequest, SendPeerMessage

FORBIDDEN_ACTIONS = (SendPeerMessage, CancelAttempt, CheckHealth)


def test_without_gossip_permission_no_message_is_sent_at_a_ceiling():
    harness = PolicyHarness(may_gossip=False, plans=(CEILING_PLAN,))
    for request in range(300):
        harness.request(request, customer=request // 10, replica_set_size=3)
    assert any(rejected.over_quota for rejected in actions_of(harness.actions, RejectRequest))
    assert actions_of(harness.actions, SendPeerMessage) == []


def test_without_gossip_permission_no_message_is_sent_below_a_ceiling():
    harness = PolicyHarness(may_gossip=False)
    for request in range(20):
        harness.request(request, customer=request, replica_set_size=3)
    harness.advance(2_000_000)
    assert actions_of(harness.actions, SendPeerMessage) == []


# Guards against any path by which an event leads to an action that the settings do not permit.
@pytest.mark.parametrize("seed", range(20))
def test_no_event_leads_to_an_action_without_its_permission(seed):
    fuzzer = PolicyFuzzer(seed, may_gossip=False, may_cancel=False, may_check_health=False)
    for _ in range(400):
        fuzzer.step()
    assert actions_of(fuzzer.harness.actions, FORBIDDEN_ACTIONS) == []
