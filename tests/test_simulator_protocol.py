"""The simulator's protocol: layouts of records, malformed input and the program that the simulator starts."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from orchidlane import policy
from orchidlane.simulator_protocol import codec, process, settings_json
from orchidlane.simulator_protocol.errors import ProtocolError

ROOT = Path(__file__).parent.parent

SETTINGS = {
    "balancers": 3,
    "charges": {"crossZone": 0.01, "peer": 0.01, "probe": 0.01, "waste": 0.03},
    "classes": [
        {
            "credit": 1.0,
            "deadline": 2000000,
            "dedupWindow": 5000000,
            "effect": "repeatable",
            "group": "all",
            "lateWorth": 0.0,
            "target": 500000,
        }
    ],
    "discovery": "pushed",
    "familyInfo": {"peerIntake": 40.0, "sharedCounter": False},
    "loadReport": {"how": "off", "names": []},
    "locality": 0,
    "packages": [
        {
            "beyondEarns": 0.0,
            "capDepth": 0.0,
            "capSlack": 0.0,
            "hardRate": 0.0,
            "open": 0,
            "overrunCost": 1.0,
            "pays": 1.0,
            "peakUnits": 8.0,
            "perSecond": 2.0,
        }
    ],
    "permissions": {
        "cancel": True,
        "maxAttempts": 4,
        "maxRetryAfter": 1000000,
        "peers": True,
        "probes": True,
        "retryAfter": True,
        "secondCopies": True,
    },
    "rank": 0,
    "rules": {
        "askWithin": 10000000,
        "coldFrom": 0.25,
        "drainGrace": 1000000,
        "fallMultiple": 3.0,
        "overloadFor": 3000000,
        "warmWithin": 18000000,
    },
}

ENDPOINT = bytes.fromhex("0a124a072b23")


def record(text: str, size: int = codec.EVENT_BYTES) -> bytes:
    """Return a record of the protocol's examples, padded with zeros to its size."""
    return bytes.fromhex(text.replace(" ", "")).ljust(size, b"\0")


def decode(*records: bytes, tail: bytes = b""):
    """Return the events of one frame."""
    return codec.Decoder().decode_frame(len(records), b"".join(records) + tail)


def encode(*actions: policy.Action) -> bytes:
    """Return the reply's bytes after its header."""
    encoder = codec.Encoder()
    for action in actions:
        encoder.add_action(3, action)
    return encoder.encode_reply()[8:]


def frame(*records: bytes, tail: bytes = b"", now: int = 1) -> bytes:
    """Return a complete frame."""
    body = b"".join(records) + tail
    return struct.pack("<IIQ", len(records), len(body), now) + body


def start_record(gateway: int, settings: dict, text_offset: int = 0, seed: int = 5) -> tuple[bytes, bytes]:
    """Return the record of a gateway's start, and the settings text that the frame's tail must contain."""
    text = json.dumps(settings).encode()
    return struct.pack("<BHQII", 7, gateway, seed, text_offset, len(text)).ljust(48, b"\0"), text


def replies_to(*frames: bytes) -> bytes:
    """Return the replies to frames, as the program writes them."""
    sink = io.BytesIO()
    process.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_empty_frame_has_an_empty_reply():
    assert replies_to(bytes.fromhex("00000000000000005a5c800000000000")) == bytes(8)


def test_the_protocols_examples_of_events_are_decoded():
    arrived = record("05 0300 c4913a5d 00 0000 640ad2557c3bf091 80a90300 00000040 00004040 0000803f 0100")
    timer = record("01 0300 4d00000000000000")
    disconnected = record("03 0500 192b6f0e")
    finished = record(
        "06 0300 c4913a5d 0000 0a124a07 2b23 6400 44480000 01 5600 0300 0352b81e3f 00006841 0000e040 00000000"
    )
    counter_call = record("0a 0300 00001842 66080000 6400 90f6890000000000")
    events = decode(arrived, timer, disconnected, finished, counter_call)
    assert events[0] == (
        3,
        policy.RequestArrived(0x5D3A91C4, 0x91F03B7C55D20A64, 0, 0, 2.0, 240000, 1, 3, False),
    )
    assert events[1] == (3, policy.TimerFired(77))
    assert events[2] == (5, policy.ClientDisconnected(0x0E6F2B19))
    attempt_finished = events[3][1]
    assert attempt_finished.endpoint == ENDPOINT
    assert (attempt_finished.request, attempt_finished.attempt, attempt_finished.duration_us) == (
        0x5D3A91C4,
        0,
        18500,
    )
    assert (
        attempt_finished.outcome,
        attempt_finished.final_response_sent,
        attempt_finished.reported_usage,
    ) == (
        policy.Outcome.SERVED,
        True,
        0x56,
    )
    assert attempt_finished.true_units == 3.0
    assert attempt_finished.load_report == pytest.approx((0.62, 14.5, 7.0))
    assert events[4] == (3, policy.CounterCallFinished(0x89F690, policy.Outcome.SERVED, 38.0, 0x866))


def test_the_protocols_example_of_an_endpoint_list_is_decoded():
    tail = bytes.fromhex(
        "0000803f000a124a072b2300000000000000000001000000"[:46]
        + "0000c03f 00 0a9011f2 5423 01 20145d0000000000 01 0000".replace(" ", "")
    )
    events = decode(
        record("0c 0000 00000000 02000000"), record("09 0300 02 0000 2900000000000000"), tail=tail
    )
    endpoint_list = events[0][1]
    assert (endpoint_list.kind, endpoint_list.version, len(endpoint_list.entries)) == (
        policy.EndpointListKind.CACHED,
        41,
        2,
    )
    assert endpoint_list.entries[0] == policy.EndpointEntry(
        ENDPOINT, policy.EndpointState.READY, 0, 0, 0, 1.0
    )
    assert endpoint_list.entries[1].started_at_us == 0x5D1420
    assert (endpoint_list.entries[1].zone, endpoint_list.entries[1].capacity_share) == (1, 1.5)


def test_the_protocols_examples_of_actions_are_encoded():
    send = policy.SendAttempt(0x5D3A91C4, ENDPOINT, 0x8194DA)
    assert encode(send) == record("41 0300 c4913a5d 0a124a07 2b23 da94810000000000", 24)
    assert encode(policy.SetTimer(0x07A120, 77)) == record("45 0300 20a10700 4d00000000000000", 24)
    peer_message = encode(policy.SendPeerMessage(0xFFFF, bytes.fromhex("68692037")))
    assert peer_message == record("48 0300 ffff 00000000 04000000", 24) + b"hi 7"
    assert encode(policy.RejectRequest(7, 9)) == record("42 0300 07000000 09000000", 24)
    assert encode(policy.FailRequest(7)) == record("43 0300 07000000", 24)
    assert encode(policy.CancelAttempt(7, 2)) == record("44 0300 07000000 0200", 24)
    assert encode(policy.CheckHealth(ENDPOINT)) == record("46 0300 0a124a07 2b23", 24)
    assert encode(policy.WatchEndpoints()) == record("4b 0300 01", 24)
    assert encode(policy.FetchEndpoints()) == record("4c 0300", 24)


def test_gateways_act_the_same_in_one_process_as_in_separate_processes():
    start_1, text = start_record(1, SETTINGS)
    start_2, _ = start_record(2, SETTINGS, seed=6)
    requests = [
        struct.pack("<BHIBHQIfffH", 5, gateway, request, 0, 0, request % 3, 900000, 1.0, 3.0, 0.0, 0).ljust(
            48, b"\0"
        )
        for request in range(20)
        for gateway in (1, 2)
    ]
    together = replies_to(frame(start_1, start_2, tail=text), frame(*requests, now=9))
    separate = [
        replies_to(
            frame(start, tail=text), frame(*(request for request in requests if request[1] == gateway), now=9)
        )
        for gateway, start in ((1, start_1), (2, start_2))
    ]

    def records(replies: bytes, gateway: int) -> list[bytes]:
        actions, offset = [], 0
        while offset < len(replies):
            count, length = struct.unpack_from("<II", replies, offset)
            actions += [replies[offset + 8 + 24 * i : offset + 32 + 24 * i] for i in range(count)]
            offset += 8 + length
        return [action for action in actions if action[1] == gateway]

    assert records(separate[0], 1) == records(together, 1) != []
    assert records(separate[1], 2) == records(together, 2) != []


def settings_without(*path: str) -> dict:
    """Return the settings without the key at a path."""
    settings = json.loads(json.dumps(SETTINGS))
    inner = settings
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return settings


MALFORMED_INPUT = {
    "a truncated header": b"\1\0\0",
    "a truncated frame": frame(record("01 0300"))[:-3],
    "too few records": struct.pack("<IIQ", 2, 48, 1) + bytes(48),
    "an unknown record": frame(record("63 0300")),
    "an offset outside the tail": frame(record("02 0300 0100 10000000 10000000")),
    "an unknown outcome": frame(record("06 0300 c4913a5d 0000 0a124a07 2b23 0900")),
    "an endpoint list without its entries": frame(record("09 0300 01 0400")),
    "a gateway that did not start": frame(record("01 0300")),
    "settings that are not JSON": frame(struct.pack("<BHQII", 7, 1, 1, 0, 3).ljust(48, b"\0"), tail=b"{x}"),
    "settings that are not an object": frame(
        struct.pack("<BHQII", 7, 1, 1, 0, 2).ljust(48, b"\0"), tail=b"[]"
    ),
    "settings without a key": frame(
        start_record(1, settings_without("rules", "coldFrom"))[0],
        tail=start_record(1, settings_without("rules"))[1],
    ),
}


@pytest.mark.parametrize("malformed", MALFORMED_INPUT.values(), ids=MALFORMED_INPUT.keys())
def test_malformed_input_ends_the_process_with_one_line_on_stderr(malformed):
    done = subprocess.run(
        [sys.executable, "-m", "orchidlane.simulator_protocol.process"],
        input=malformed,
        capture_output=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode != 0
    assert done.stdout == b""
    assert done.stderr.count(b"\n") == 1
    assert b"Traceback" not in done.stderr


@pytest.mark.parametrize("path", [("rank",), ("rules", "coldFrom"), ("familyInfo", "peerIntake")])
def test_a_missing_settings_key_is_named(path):
    with pytest.raises(ProtocolError, match=path[-1]):
        settings_json.parse_settings(json.dumps(settings_without(*path)).encode())


def test_unknown_settings_keys_are_ignored():
    extended = {**SETTINGS, "new": 1, "rules": {**SETTINGS["rules"], "newer": 2}}
    assert settings_json.parse_settings(json.dumps(extended).encode()) == settings_json.parse_settings(
        json.dumps(SETTINGS).encode()
    )


def test_an_exception_raised_by_the_policy_is_reported_as_a_record(monkeypatch):
    start, text = start_record(1, SETTINGS)

    def raise_error(*_):
        raise RuntimeError("no such thing")

    monkeypatch.setattr(process.Gateway, "handle", raise_error)
    reply = replies_to(frame(start, tail=text), frame(record("01 0100")))
    assert b"RuntimeError: no such thing" in reply
    assert reply[-24 - len("RuntimeError: no such thing")] == 74


def test_a_stopped_gateway_can_start_again_in_the_same_frame():
    start, text = start_record(1, SETTINGS)
    reply = replies_to(frame(start, record("08 0100"), start, tail=text))
    assert struct.unpack_from("<I", reply)[0] == 2
