"""What the settings do not permit is not done: checked over all actions of a gateway."""

from __future__ import annotations

from conftest import CEILED, Bench, of

from orchidlane.policy import RejectRequest, SendPeerMessage


def test_a_gateway_that_may_not_gossip_sends_no_peer_message_when_a_ceiling_is_reached():
    bench = Bench(may_gossip=False, plans=(CEILED,))
    for request in range(300):
        bench.ask(request, customer=request // 10, size=3)
    assert any(rejected.over_quota for rejected in of(bench.log, RejectRequest))
    assert of(bench.log, SendPeerMessage) == []


def test_a_gateway_that_may_not_gossip_sends_no_peer_message_below_its_ceilings():
    bench = Bench(may_gossip=False)
    for request in range(20):
        bench.ask(request, customer=request, size=3)
    bench.run(2_000_000)
    assert of(bench.log, SendPeerMessage) == []
