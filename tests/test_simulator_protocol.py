"""The simulator's protocol: byte layouts, malformed input, the process."""

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


def start_record(gateway: int, settings: dict, at: int = 0, seed: int = 5) -> tuple[bytes, bytes]:
    """A record of a gateway's start, and its settings text for the tail."""
    text = json.dumps(settings).encode()
    return struct.pack("<BHQII", 7, gateway, seed, at, len(text)).ljust(48, b"\0"), text


def replies_to(*frames: bytes) -> bytes:
    """The replies of the process to frames."""
    sink = io.BytesIO()
    process.serve(io.BytesIO(b"".join(frames)), sink)
    return sink.getvalue()


def test_an_empty_frame_has_an_empty_reply():
    assert replies_to(bytes.fromhex("00000000000000005a5c800000000000")) == bytes(8)


def test_the_protocols_examples_of_events_are_decoded():
    order = record("05 0300 c4913a5d 00 0000 640ad2557c3bf091 80a90300 00000040 00004040 0000803f 0100")
    bell = record("01 0300 4d00000000000000")
    gone = record("03 0500 192b6f0e")
    answer = record(
        "06 0300 c4913a5d 0000 0a124a07 2b23 6400 44480000 01 5600 0300 0352b81e3f 00006841 0000e040 00000000"
    )
    counted = record("0a 0300 00001842 66080000 6400 90f6890000000000")
    got = decode(order, bell, gone, answer, counted)
    assert got[0] == (
        3,
        policy.RequestArrived(0x5D3A91C4, 0x91F03B7C55D20A64, 0, 0, 2.0, 240000, 1, 3, False),
    )
    assert got[1] == (3, policy.TimerFired(77))
    assert got[2] == (5, policy.ClientDisconnected(0x0E6F2B19))
    ended = got[3][1]
    assert ended.endpoint == ENDPOINT
    assert (ended.request, ended.attempt, ended.duration_us) == (0x5D3A91C4, 0, 18500)
    assert (ended.outcome, ended.final_response_sent, ended.reported_usage) == (
        policy.Outcome.SERVED,
        True,
        0x56,
    )
    assert ended.true_units == 3.0
    assert ended.load_report == pytest.approx((0.62, 14.5, 7.0))
    assert got[4] == (3, policy.CounterCallFinished(0x89F690, policy.Outcome.SERVED, 38.0, 0x866))


def test_the_protocols_example_of_an_endpoint_list_is_decoded():
    tail = bytes.fromhex(
        "0000803f000a124a072b2300000000000000000001000000"[:46]
        + "0000c03f 00 0a9011f2 5423 01 20145d0000000000 01 0000".replace(" ", "")
    )
    got = decode(record("0c 0000 00000000 02000000"), record("09 0300 02 0000 2900000000000000"), tail=tail)
    listed = got[0][1]
    assert (listed.kind, listed.version, len(listed.entries)) == (policy.EndpointListKind.CACHED, 41, 2)
    assert listed.entries[0] == policy.EndpointEntry(ENDPOINT, policy.EndpointState.READY, 0, 0, 0, 1.0)
    assert listed.entries[1].started_at_us == 0x5D1420
    assert (listed.entries[1].zone, listed.entries[1].capacity_share) == (1, 1.5)


def test_the_protocols_examples_of_actions_are_encoded():
    send = policy.SendAttempt(0x5D3A91C4, ENDPOINT, 0x8194DA)
    assert encode(send) == record("41 0300 c4913a5d 0a124a07 2b23 da94810000000000", 24)
    assert encode(policy.SetTimer(0x07A120, 77)) == record("45 0300 20a10700 4d00000000000000", 24)
    tell = encode(policy.SendPeerMessage(0xFFFF, bytes.fromhex("68692037")))
    assert tell == record("48 0300 ffff 00000000 04000000", 24) + b"hi 7"
    assert encode(policy.RejectRequest(7, 9)) == record("42 0300 07000000 09000000", 24)
    assert encode(policy.FailRequest(7)) == record("43 0300 07000000", 24)
    assert encode(policy.CancelAttempt(7, 2)) == record("44 0300 07000000 0200", 24)
    assert encode(policy.CheckHealth(ENDPOINT)) == record("46 0300 0a124a07 2b23", 24)
    assert encode(policy.WatchEndpoints()) == record("4b 0300 01", 24)
    assert encode(policy.FetchEndpoints()) == record("4c 0300", 24)


def test_gateways_of_one_process_decide_as_in_processes_of_their_own():
    one, text = start_record(1, SETTINGS)
    two, _ = start_record(2, SETTINGS, seed=6)
    order = [
        struct.pack("<BHIBHQIfffH", 5, g, i, 0, 0, i % 3, 900000, 1.0, 3.0, 0.0, 0).ljust(48, b"\0")
        for i in range(20)
        for g in (1, 2)
    ]
    together = replies_to(frame(one, two, tail=text), frame(*order, now=9))
    alone = [
        replies_to(frame(start, tail=text), frame(*(o for o in order if o[1] == g), now=9))
        for g, start in ((1, one), (2, two))
    ]

    def records(reply: bytes, gateway: int) -> list[bytes]:
        found, at = [], 0
        while at < len(reply):
            count, length = struct.unpack_from("<II", reply, at)
            found += [reply[at + 8 + 24 * i : at + 32 + 24 * i] for i in range(count)]
            at += 8 + length
        return [r for r in found if r[1] == gateway]

    assert records(alone[0], 1) == records(together, 1) != []
    assert records(alone[1], 2) == records(together, 2) != []


def without(*path: str) -> dict:
    """The settings without one key."""
    settings = json.loads(json.dumps(SETTINGS))
    inner = settings
    for key in path[:-1]:
        inner = inner[key]
    del inner[path[-1]]
    return settings


BAD_INPUT = {
    "a truncated header": b"\1\0\0",
    "a truncated frame": frame(record("01 0300"))[:-3],
    "too few records": struct.pack("<IIQ", 2, 48, 1) + bytes(48),
    "an unknown record": frame(record("63 0300")),
    "an offset outside the tail": frame(record("02 0300 0100 10000000 10000000")),
    "an unknown outcome": frame(record("06 0300 c4913a5d 0000 0a124a07 2b23 0900")),
    "a list never sent": frame(record("09 0300 01 0400")),
    "a gateway never started": frame(record("01 0300")),
    "settings that are not JSON": frame(struct.pack("<BHQII", 7, 1, 1, 0, 3).ljust(48, b"\0"), tail=b"{x}"),
    "settings that are no object": frame(struct.pack("<BHQII", 7, 1, 1, 0, 2).ljust(48, b"\0"), tail=b"[]"),
    "settings without a key": frame(
        start_record(1, without("rules", "coldFrom"))[0], tail=start_record(1, without("rules"))[1]
    ),
}


@pytest.mark.parametrize("bad", BAD_INPUT.values(), ids=BAD_INPUT.keys())
def test_malformed_input_ends_the_process_with_one_line(bad):
    done = subprocess.run(
        [sys.executable, "-m", "orchidlane.simulator_protocol.process"],
        input=bad,
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
        settings_json.parse_settings(json.dumps(without(*path)).encode())


def test_unknown_settings_keys_are_ignored():
    more = {**SETTINGS, "new": 1, "rules": {**SETTINGS["rules"], "newer": 2}}
    assert settings_json.parse_settings(json.dumps(more).encode()) == settings_json.parse_settings(
        json.dumps(SETTINGS).encode()
    )


def test_an_exception_of_the_policy_is_reported_as_a_record(monkeypatch):
    start, text = start_record(1, SETTINGS)

    def broken(*_):
        raise RuntimeError("no such thing")

    monkeypatch.setattr(process.Gateway, "handle", broken)
    reply = replies_to(frame(start, tail=text), frame(record("01 0100")))
    assert b"RuntimeError: no such thing" in reply
    assert reply[-24 - len("RuntimeError: no such thing")] == 74


def test_a_stopped_gateway_can_start_again_in_the_same_frame():
    start, text = start_record(1, SETTINGS)
    reply = replies_to(frame(start, record("08 0100"), start, tail=text))
    assert struct.unpack_from("<I", reply)[0] == 2
