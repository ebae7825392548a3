"""Dissemination of the replicated state, leases, and the messages of rollouts."""

from __future__ import annotations

import random

import pytest
from harness.constants import SECOND
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.rollout import messages
from orchidlane.rollout.dissemination import Dissemination, FetchState
from orchidlane.rollout.messages import Ballot


def dissemination() -> Dissemination:
    """Return gateway 4 of 5, with three voters and a lease of 2 s."""
    return Dissemination(4, 5, (0, 1, 2), 2 * SECOND, SECOND // 2, random.Random(1))


def poll(gateway: Dissemination, now: int) -> tuple[int, messages.GossipRequest]:
    """Return the request of the next poll, with the rank of its receiver."""
    send = gateway.tick(now)[0]
    assert isinstance(send.message, messages.GossipRequest)
    return send.rank, send.message


def test_a_gateway_without_a_state_serves_once_most_voters_have_none():
    gateway = dissemination()
    assert gateway.rejection_reason(0)
    now = 0
    for _ in range(2):
        now += SECOND
        rank, request = poll(gateway, now)
        assert rank in (0, 1, 2)
        gateway.receive(now, rank, messages.GossipResponse(request.nonce, 0, "", -1, is_unbootstrapped=True))
    assert gateway.rejection_reason(now) == ""
    assert gateway.rejection_reason(now + 3 * SECOND)


def test_the_lease_counts_from_the_request_however_late_the_response_is():
    gateway = dissemination()
    gateway.learn_state(3, "hash 3", 0)
    gateway.set_running(True)
    assert gateway.rejection_reason(2 * SECOND) == ""
    assert gateway.rejection_reason(2 * SECOND + 1) == "no quorum confirms the version any more"
    _, request = poll(gateway, 10 * SECOND)
    response = messages.GossipResponse(request.nonce, 3, "hash 3", SECOND)
    gateway.receive(20 * SECOND, 0, response)  # the response was delayed by 10 s
    assert gateway.rejection_reason(20 * SECOND)
    assert gateway.rejection_reason(11 * SECOND) == ""
    _, request = poll(gateway, 20 * SECOND)
    gateway.receive(20 * SECOND, 0, messages.GossipResponse(request.nonce ^ 1, 3, "hash 3", 0))
    assert gateway.rejection_reason(20 * SECOND), "a response to a request that was not sent must not count"


def test_a_gateway_behind_its_target_serves_until_its_lease_is_over():
    gateway = dissemination()
    gateway.learn_state(3, "hash 3", 0)
    gateway.set_running(True)
    gateway.learn_state(4, "hash 4", SECOND)
    gateway.set_running(False)
    gateway.record_confirmation(3 * SECOND)
    assert gateway.rejection_reason(2 * SECOND) == ""
    assert (
        gateway.rejection_reason(3 * SECOND)
        == "another version is assigned to this gateway and not adopted yet"
    )
    gateway.set_running(True)
    assert gateway.rejection_reason(4 * SECOND) == ""


def test_a_restarted_gateway_serves_only_by_its_target_version():
    gateway = dissemination()
    gateway.learn_state(3, "hash 3", SECOND)
    gateway.set_running(False)
    assert (
        gateway.rejection_reason(SECOND) == "another version is assigned to this gateway and not adopted yet"
    )


def test_a_later_state_is_fetched_and_two_gateways_get_a_hint():
    gateway = Dissemination(4, 340, (0, 1, 2), 2 * SECOND, SECOND // 2, random.Random(1))
    gateway.learn_state(3, "hash 3", 0)
    _, request = poll(gateway, SECOND)
    assert gateway.receive(SECOND, 7, messages.GossipResponse(request.nonce, 5, "hash 5", 100)) == [
        FetchState(7, "hash 5", 5, SECOND - 100)
    ]
    hints = gateway.learn_state(5, "hash 5", SECOND - 100)
    assert len(hints) == 2
    assert all(isinstance(send.message, messages.NewStateHint) for send in hints)
    assert gateway.learn_state(5, "hash 5", None) == []


BALLOT = Ballot(1 << 40, 399, 1 << 53)
HASH = "f" * 64
LONG_REASON = messages.truncate_reason("é" * 300)


@pytest.mark.parametrize(
    "message",
    [
        messages.GossipRequest(1 << 32, 1 << 40),
        messages.GossipResponse(1 << 32, 1 << 40, HASH, 1 << 50, True),
        messages.AdoptionReport(1 << 40, 1 << 40, 1 << 40, LONG_REASON),
        messages.Promise(BALLOT, BALLOT, HASH, 1 << 53, 1 << 40),
        messages.Accept(BALLOT, HASH, 1 << 40),
        messages.Heartbeat(1 << 40, BALLOT, 1 << 40, 1 << 40, HASH),
        messages.VersionVote(1 << 40, 1 << 40, 1 << 53, False, b"s" * 16, LONG_REASON),
        messages.AdmissionRequest(1 << 53, "f" * 16, b"s" * 16),
    ],
    ids=lambda message: type(message).__name__,
)
def test_every_message_fits_into_a_datagram(message):
    data = messages.encode(message)
    assert len(data) <= 256
    assert messages.decode(data) == message


@given(st.binary(max_size=256))
def test_decoding_an_arbitrary_datagram_raises_no_error(data):
    messages.decode(data)
