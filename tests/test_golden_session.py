"""The policy as a whole: a simulated session of a fleet leads to the actions in the golden files.

Events and actions are records of the simulator's protocol, which do not depend on names in the code.
``harness/session_records.py`` builds the events that the protocol has no record for: quota requests, counts
of another process and changes of replica sets. ``harness/golden_files.py`` says how golden files are written.
"""

from __future__ import annotations

import hashlib
import io
import struct
from collections import Counter
from functools import cache

import pytest
from harness.constants import SECOND
from harness.golden_files import check_golden
from harness.golden_session import Session
from harness.session_records import (
    CANCEL,
    FAIL,
    POLICY_FAILURE,
    REJECT,
    SEND,
    SEND_PEER_MESSAGE,
    SET_TIMER,
    WATCH_ENDPOINTS,
)

from orchidlane.simulator_protocol import process

SESSIONS = {
    "large-sets": {"seed": 1, "gateways": 24, "duration_us": 12 * SECOND, "with_quota_events": False},
    "three-gateways": {
        "seed": 2, "gateways": 3, "duration_us": 14 * SECOND, "with_quota_events": False, "maxAttempts": 2,
    },
    "takes-and-moves": {"seed": 3, "gateways": 5, "duration_us": 12 * SECOND, "with_quota_events": True},
    "gateways-alone": {
        "seed": 4, "gateways": 2, "duration_us": 6 * SECOND, "with_quota_events": True,
        "peers": False, "cancel": False, "retryAfter": False,
    },
}  # fmt: skip


@cache
def finished_session(name: str) -> Session:
    """Return a finished session, which is run once for all tests."""
    return Session(**SESSIONS[name]).run()


@pytest.mark.parametrize("name", SESSIONS)
def test_a_session_leads_to_the_golden_actions(name):
    session = finished_session(name)
    assert session.event_count > 2_000
    check_golden(f"session-{name}", session.golden_value())


def test_the_sessions_lead_to_every_action_that_the_policy_uses():
    counts = sum((finished_session(name).action_counts for name in SESSIONS), Counter())
    assert set(counts) == {SEND, REJECT, FAIL, CANCEL, SET_TIMER, SEND_PEER_MESSAGE, WATCH_ENDPOINTS, 200}


@pytest.mark.parametrize(
    "name", [name for name, options in SESSIONS.items() if not options["with_quota_events"]]
)
def test_the_simulators_process_replies_with_the_golden_bytes(name):
    session = finished_session(name)
    sink = io.BytesIO()
    process.serve(io.BytesIO(b"".join(session.frames)), sink)
    replies, codes, offset = sink.getvalue(), Counter(), 0
    while offset < len(replies):
        count, length = struct.unpack_from("<II", replies, offset)
        codes.update(replies[offset + 8 + 24 * i] for i in range(count))
        offset += 8 + length
    assert codes == session.action_counts
    assert codes[POLICY_FAILURE] == 0
    frames_digest = hashlib.sha256(b"".join(session.frames)).hexdigest()
    replies_digest = hashlib.sha256(replies).hexdigest()
    check_golden(f"wire-{name}", {"frames": frames_digest, "replies": replies_digest, "bytes": len(replies)})
