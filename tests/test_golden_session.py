"""The policy as a whole: a fleet's session of many events leads to the same actions as golden data.

Events go in and actions come out as records of the simulator protocol, so names in the code play no part.
What it does not carry (quota requests, counts of another process, changes of replica sets)
is built in ``harness/session_records.py``. ``harness/golden_files.py`` says how the golden file is written.
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
    "large-sets": {"seed": 1, "gateways": 24, "span": 12 * SECOND, "with_quota_events": False},
    "three-gateways": {
        "seed": 2, "gateways": 3, "span": 14 * SECOND, "with_quota_events": False, "maxAttempts": 2,
    },
    "takes-and-moves": {"seed": 3, "gateways": 5, "span": 12 * SECOND, "with_quota_events": True},
    "gateways-alone": {
        "seed": 4, "gateways": 2, "span": 6 * SECOND, "with_quota_events": True,
        "peers": False, "cancel": False, "retryAfter": False,
    },
}  # fmt: skip


@cache
def play_session(name: str) -> Session:
    """A session, run once for all tests."""
    return Session(**SESSIONS[name]).run()


@pytest.mark.parametrize("name", SESSIONS)
def test_a_session_leads_to_the_golden_actions(name):
    session = play_session(name)
    assert session.event_count > 2_000
    check_golden(f"session-{name}", session.golden_value())


def test_the_sessions_lead_to_every_action_that_the_policy_takes():
    found = sum((play_session(name).action_counts for name in SESSIONS), Counter())
    assert set(found) == {SEND, REJECT, FAIL, CANCEL, SET_TIMER, SEND_PEER_MESSAGE, WATCH_ENDPOINTS, 200}


@pytest.mark.parametrize("name", [name for name, terms in SESSIONS.items() if not terms["with_quota_events"]])
def test_the_simulators_process_replies_to_a_session_with_the_golden_bytes(name):
    session = play_session(name)
    sink = io.BytesIO()
    process.serve(io.BytesIO(b"".join(session.frames)), sink)
    replies, codes, at = sink.getvalue(), Counter(), 0
    while at < len(replies):
        count, length = struct.unpack_from("<II", replies, at)
        codes.update(replies[at + 8 + 24 * i] for i in range(count))
        at += 8 + length
    assert codes == session.action_counts
    assert codes[POLICY_FAILURE] == 0
    frames = hashlib.sha256(b"".join(session.frames)).hexdigest()
    digest = hashlib.sha256(replies).hexdigest()
    check_golden(f"wire-{name}", {"frames": frames, "replies": digest, "bytes": len(replies)})
