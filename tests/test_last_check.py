"""The last check before the first byte of an attempt is sent."""

from __future__ import annotations

import pytest

from orchidlane import policy
from orchidlane.gateway.forwarding.last_check import PendingSend, rejection_reason

NOW, SECOND = 1_000_000_000, 1_000_000


def pending(**changes) -> PendingSend:
    """Return an attempt that may be sent, with changes to its fields."""
    values = {
        "endpoint_state": "ready",
        "deadline": NOW + SECOND,
        "idempotency": policy.Idempotency.IDEMPOTENT_WITH_KEY,
        "deduplication_window_us": SECOND,
        "first_sent_at": None,
        "has_client_left": False,
    }
    return PendingSend(**(values | changes))


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"deadline": NOW}, "deadline"),
        ({"endpoint_state": "draining"}, "draining"),
        ({"endpoint_state": "gone"}, "gone"),
        ({"first_sent_at": NOW - SECOND // 2}, None),
        ({"first_sent_at": NOW - SECOND}, "window"),
        ({"first_sent_at": NOW - SECOND, "idempotency": policy.Idempotency.IDEMPOTENT}, None),
        ({"first_sent_at": NOW, "idempotency": policy.Idempotency.NOT_IDEMPOTENT}, "unsafe"),
        ({"has_client_left": True}, "client"),
        ({"has_client_left": True, "first_sent_at": NOW - SECOND // 2}, "client"),
    ],
)
def test_an_attempt_is_sent_only_if_it_breaks_no_rule(changes, reason):
    assert rejection_reason(NOW, pending(**changes)) == reason
