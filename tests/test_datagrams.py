"""Authenticated datagrams between gateways: which ones an inbox accepts, and why it rejects others."""

from __future__ import annotations

import pytest
from harness.constants import SECOND
from hypothesis import given
from hypothesis import strategies as st

from orchidlane.gateway.peers.datagrams import MAX_BODY_BYTES, REPLAY_WINDOW, Inbox, encode_datagram

SECRET = b"0123456789abcdef"
NOW = 1_000_000_000


def make_inbox(rate=1000.0) -> Inbox:
    """Return the inbox of gateway 0 in a fleet of 3, with ``rate`` policy datagrams per second."""
    return Inbox(SECRET, 0, 3, NOW, rate, 0)


def datagram(sequence=1, sender=1, receiver=0, incarnation=NOW, body=b"hello", secret=SECRET) -> bytes:
    """Encode a datagram, by default one that gateway 0 accepts."""
    return encode_datagram(secret, sender, receiver, incarnation, sequence, body)


def test_a_datagram_is_accepted_once():
    inbox = make_inbox()
    assert inbox.accept(NOW, datagram()) == (0, 1, b"hello")
    assert inbox.accept(NOW, datagram()) is None
    assert inbox.rejected == {"replay": 1}


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (datagram(secret=b"another secret!!"), "mac"),
        (datagram(receiver=2), "address"),
        (datagram(sender=0), "address"),
        (datagram(sender=7), "address"),
        (datagram(incarnation=NOW + 3600 * SECOND), "clock"),
        (datagram()[:-1], "mac"),
        (datagram() + b"x" * MAX_BODY_BYTES, "size"),
        (b"", "size"),
        (b"XX" + datagram()[2:], "format"),
    ],
)
def test_an_invalid_datagram_is_rejected_and_counted_by_its_reason(data, reason):
    inbox = make_inbox()
    assert inbox.accept(NOW, data) is None
    assert inbox.rejected == {reason: 1}


def test_an_earlier_incarnation_is_rejected_after_a_later_one_was_seen():
    inbox = make_inbox()
    assert inbox.accept(NOW, datagram(incarnation=NOW, sequence=50))
    assert inbox.accept(NOW, datagram(incarnation=NOW + 5, sequence=1))
    assert inbox.accept(NOW, datagram(incarnation=NOW, sequence=51)) is None


def test_the_rate_of_datagrams_is_limited_and_refills_with_time():
    inbox = make_inbox(rate=10.0)
    accepted = [inbox.accept(NOW, datagram(sequence=number)) for number in range(30)]
    assert sum(data is not None for data in accepted) == 10
    assert inbox.accept(NOW + SECOND, datagram(sequence=40)) is not None


@given(st.lists(st.integers(1, 3 * REPLAY_WINDOW), max_size=60))
def test_each_sequence_number_is_accepted_at_most_once_in_any_order(numbers):
    inbox = make_inbox()
    accepted = [number for number in numbers if inbox.accept(NOW, datagram(sequence=number))]
    assert len(accepted) == len(set(accepted))
    latest = 0
    for number in numbers:
        if number > latest - REPLAY_WINDOW and number not in accepted:
            assert number <= latest - REPLAY_WINDOW + 1 or number in accepted
        latest = max(latest, number)
