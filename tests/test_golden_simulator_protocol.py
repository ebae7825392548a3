"""Records of the simulator's protocol are read and written as the golden ones."""

from __future__ import annotations

import json
import struct
from typing import get_args

from harness.golden_events import (
    ACTIONS,
    ENDPOINT,
    EVENT_VALUES,
    NOT_ON_THE_WIRE,
    OTHER_ENDPOINT,
    settings_values,
)
from harness.golden_files import check_golden
from harness.platform_harness import settings

from orchidlane import policy
from orchidlane.simulator_protocol import codec, settings_json


def record(code: int, layout: str, *values) -> bytes:
    """A record of an event, by the protocol's layout."""
    return struct.pack("<B" + layout, code, *values).ljust(codec.EVENT_BYTES, b"\0")


def frames_of_the_wire() -> dict[str, list[tuple[list[bytes], bytes]]]:
    """Batches by the record code that they are about: records and tail."""
    text = json.dumps(settings()).encode()
    entries = struct.pack("<fB6sBQBH", 1.5, 0, ENDPOINT, 2, 77, 1, 9)
    entries += struct.pack("<fB6sBQBH", 1.0, 1, OTHER_ENDPOINT, 0, 0, 2, 300)
    entries += struct.pack("<fB6sBQBH", 1.0, 0, OTHER_ENDPOINT, 0, 0, 0, 300)
    listed = record(12, "HII", 4, 0, 3)
    outcomes = (100, 301, 302, 303, 304, 305, 306, 307)
    report = 3, 0.5, 14.5, 7.0, 0.0
    ended = [
        record(6, "HIH6sHIBHHB4f", 3, 9, 1, ENDPOINT, outcome, 18_500, outcome == 100, 86, 3, *report)
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
        "6": [([one], b"") for one in ended],
        "7": [([record(7, "HQII", 3, 1 << 60, 0, len(text))], text)],
        "8": [([record(8, "H", 3)], b"")],
        "9": [([listed, record(9, "HBHQ", 3, kind, 4, 41)], entries) for kind in range(4)],
        "10": [([record(10, "HfIHQ", 3, 38.0, 2_150, outcome, 77)], b"") for outcome in outcomes],
        "11": [
            ([record(11, "HIH6sB4f", 3, 900, outcome, ENDPOINT, 2, 0.25, 2.0, 3.0, 4.0)], b"")
            for outcome in outcomes
        ],
        "12": [([listed], entries)],
    }


def test_each_record_of_the_wire_is_read_as_the_golden_values():
    found: dict[str, list] = {}
    for code, batches in frames_of_the_wire().items():
        for records, tail in batches:
            body = b"".join(records) + tail
            events = [
                [gateway, EVENT_VALUES[type(event)](event)]
                for gateway, event in codec.Decoder().decode_frame(len(records), body)
            ]
            found.setdefault(code, []).append({"records": len(records), "body": body.hex(), "events": events})
    assert {int(code) for code in found} == set(codec._READERS)
    check_golden("wire-events", found)


def test_each_event_that_the_wire_has_is_covered():
    of_code = {policy.QuotaRequested, policy.CountRecovered, policy.ReplicaSetChanged}  # not of the wire
    covered = {kind for kind in EVENT_VALUES if kind not in (codec.StartGateway, codec.StopGateway)}
    assert set(get_args(policy.Event)) - covered == of_code


def test_each_action_has_the_golden_record():
    found = {}
    for code, actions in ACTIONS.items():
        encoder = codec.Encoder()
        for action in actions:
            encoder.add_action(3, action)
        found[str(code)] = encoder.encode_reply().hex()
        assert encoder.encode_reply()[8] == code
    encoder = codec.Encoder()
    encoder.add_failure(3, "ValueError: what happened")
    found["74"] = encoder.encode_reply().hex()
    covered = {type(action) for actions in ACTIONS.values() for action in actions}
    assert covered | NOT_ON_THE_WIRE == set(get_args(policy.Action))
    check_golden("wire-actions", found)


def test_settings_of_the_wire_are_read_as_the_golden_values():
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
    found = {
        what: settings_values(settings_json.parse_settings(json.dumps(text).encode()))
        for what, text in texts.items()
    }
    check_golden("wire-settings", {"texts": texts, "values": found})
