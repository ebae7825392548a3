"""Records of the simulator's protocol are decoded to golden values, and encoded to golden bytes."""

from __future__ import annotations

import json
import struct
from typing import get_args

from harness.golden_events import (
    ACTIONS,
    ACTIONS_WITHOUT_RECORD,
    ENDPOINT,
    EVENT_VALUES,
    OTHER_ENDPOINT,
    settings_values,
)
from harness.golden_files import check_golden
from harness.platform_harness import settings
from harness.session_records import record

from orchidlane import policy
from orchidlane.simulator_protocol import codec, settings_json


def record_batches() -> dict[str, list[tuple[list[bytes], bytes]]]:
    """Return, by record code, batches of records that cover it, each with the tail of its frame."""
    text = json.dumps(settings()).encode()
    entries = struct.pack("<fB6sBQBH", 1.5, 0, ENDPOINT, 2, 77, 1, 9)
    entries += struct.pack("<fB6sBQBH", 1.0, 1, OTHER_ENDPOINT, 0, 0, 2, 300)
    entries += struct.pack("<fB6sBQBH", 1.0, 0, OTHER_ENDPOINT, 0, 0, 0, 300)
    list_entries = record(12, "HII", 4, 0, 3)
    outcomes = (100, 301, 302, 303, 304, 305, 306, 307)
    load_report = 3, 0.5, 14.5, 7.0, 0.0
    finished_attempts = [
        record(6, "HIH6sHIBHHB4f", 3, 9, 1, ENDPOINT, outcome, 18_500, outcome == 100, 86, 3, *load_report)
        for outcome in outcomes
    ]
    return {
        "1": [([record(1, "HQ", 3, 1 << 40)], b"")],
        "2": [([record(2, "HHII", 3, 1, 2, 5)], b"..hello..")],
        "3": [([record(3, "HI", 5, 0x0E6F2B19)], b"")],
        "4": [([record(4, "HIH6sI", 3, 9, 1, ENDPOINT, 2_150)], b"")],
        "5": [
            ([record(5, "HIBHQIfffH", 3, 9, 2, 1, 1 << 40, 240_000, 2.5, 3.0, 1.0, bits)], b"")
            for bits in (0, 2, 3)
        ],
        "6": [([outcome_record], b"") for outcome_record in finished_attempts],
        "7": [([record(7, "HQII", 3, 1 << 60, 0, len(text))], text)],
        "8": [([record(8, "H", 3)], b"")],
        "9": [([list_entries, record(9, "HBHQ", 3, kind, 4, 41)], entries) for kind in range(4)],
        "10": [([record(10, "HfIHQ", 3, 38.0, 2_150, outcome, 77)], b"") for outcome in outcomes],
        "11": [
            ([record(11, "HIH6sB4f", 3, 900, outcome, ENDPOINT, 2, 0.25, 2.0, 3.0, 4.0)], b"")
            for outcome in outcomes
        ],
        "12": [([list_entries], entries)],
    }


def test_each_record_is_decoded_to_the_golden_values():
    decoded: dict[str, list] = {}
    for code, batches in record_batches().items():
        for records, tail in batches:
            body = b"".join(records) + tail
            events = [
                [gateway, EVENT_VALUES[type(event)](event)]
                for gateway, event in codec.Decoder().decode_frame(len(records), body)
            ]
            decoded.setdefault(code, []).append(
                {"records": len(records), "body": body.hex(), "events": events}
            )
    assert {int(code) for code in decoded} == set(codec._READERS)
    check_golden("wire-events", decoded)


def test_each_event_that_has_a_record_is_covered():
    without_record = {policy.QuotaRequested, policy.CountRecovered, policy.ReplicaSetChanged}
    covered = {
        event_type for event_type in EVENT_VALUES if event_type not in (codec.StartGateway, codec.StopGateway)
    }
    assert set(get_args(policy.Event)) - covered == without_record


def test_each_action_has_the_golden_record():
    replies = {}
    for code, actions in ACTIONS.items():
        encoder = codec.Encoder()
        for action in actions:
            encoder.add_action(3, action)
        replies[str(code)] = encoder.encode_reply().hex()
        assert encoder.encode_reply()[8] == code
    encoder = codec.Encoder()
    encoder.add_failure(3, "ValueError: what happened")
    replies["74"] = encoder.encode_reply().hex()
    covered = {type(action) for actions in ACTIONS.values() for action in actions}
    assert covered | ACTIONS_WITHOUT_RECORD == set(get_args(policy.Action))
    check_golden("wire-actions", replies)


def test_settings_of_the_simulator_are_parsed_to_the_golden_values():
    texts = {
        "plain": settings(),
        "other words": settings(
            discovery="on_request",
            loadReport={"how": "off", "names": []},
            familyInfo={"peerIntake": 7, "sharedCounter": True, "unitsTop": 2},
            permissions={**settings()["permissions"], "retryAfter": False, "peers": True, "probes": True},
        ),
        "by probes": settings(loadReport={"how": "on_probe", "names": ["util"]}, rank=2, balancers=5),
    }
    values = {
        name: settings_values(settings_json.parse_settings(json.dumps(text).encode()))
        for name, text in texts.items()
    }
    check_golden("wire-settings", {"texts": texts, "values": values})
