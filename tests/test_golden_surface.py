"""What others see of the code, byte by byte: datagrams, the binary wire, pages, the command, settings.

Golden data in ``tests/corpus/golden_surface`` was written by an earlier build (``golden.py`` tells how);
today's code must give exactly the same. The code's own types are built in the first part of this file only.
"""

from __future__ import annotations

import hashlib
import json
import re
import shutil
import struct
import sys
from enum import Enum
from pathlib import Path
from typing import Any, get_args, get_type_hints

import click
import msgspec
import pytest
from click.testing import CliRunner
from golden import check_golden
from harness.gateway_harness import (
    GET,
    KEY,
    REPORT,
    SETTINGS,
    UPLOAD,
    GatewayHarness,
    good,
    request,
    resets_after,
)
from harness.platform_house import PlatformHouse, call, settings
from harness.platform_house import file as platform_file

from orchidlane import config, policy, resp
from orchidlane.cli.main import main
from orchidlane.gateway.control import settings_loader
from orchidlane.gateway.peers import datagrams, token_messages
from orchidlane.gateway.rollout_agent import admin_messages
from orchidlane.hot_restart import messages as upgrade_messages
from orchidlane.platform import configuration as platform_config
from orchidlane.policy import gossip_codec
from orchidlane.rollout import canary_analysis, commands, replicated_state, version
from orchidlane.rollout import messages as change_messages
from orchidlane.simulation import scenario as lab_day
from orchidlane.simulator_protocol import codec, settings_json

MATERIALS = Path(__file__).parent.parent / "examples" / "materials"
SECOND = 1_000_000
SERVER = bytes.fromhex("0a124a072b23")
OTHER_SERVER = bytes.fromhex("0a9011f25423")
SECRET = b"0123456789abcdef"

# The code's own types, each built in one place from plain values


def counts_row(customer, plan, first, size, reach, room, total, rights, counts) -> gossip_codec.CustomerRow:
    """What a message tells of one customer."""
    return gossip_codec.CustomerRow(customer, plan, first, size, reach, room, total, rights, counts)


def row_values(row: gossip_codec.CustomerRow) -> list:
    """The same as plain values."""
    amounts = [row.remaining, row.spent_total, row.tokens, [list(count) for count in row.replica_counts]]
    return [row.customer, row.plan, row.replica_set_start, row.replica_set_size, row.forward_count, *amounts]


def message_values(message: gossip_codec.GossipMessage | None) -> list | None:
    """A decoded message as plain values."""
    if message is None:
        return None
    return [
        message.sent_at_ms,
        message.wants_reply,
        message.to_token_owner,
        [row_values(row) for row in message.rows],
    ]


def request_values(event: policy.RequestArrived) -> list:
    """A client's request as plain values."""
    counts = [
        event.units,
        event.time_left_us,
        event.replica_set_start,
        event.replica_set_size,
        event.is_retry,
    ]
    return [event.request, event.customer, event.plan, event.request_class, *counts]


def outcome_values(event: policy.AttemptEnded) -> list:
    """How an attempt ended as plain values."""
    ended = [event.outcome.value, event.duration_us, event.answered, event.use, event.true_units]
    return [event.request, event.attempt, event.endpoint.hex(), *ended, list(event.load_report)]


def list_values(event: policy.EndpointListReceived) -> list:
    """News of discovery as plain values."""
    entries = [
        [one.endpoint.hex(), one.state.value, one.zone, one.cell, one.started_at_us, one.capacity_share]
        for one in event.entries
    ]
    return [event.kind.value, event.version, entries]


def start_values(event: codec.StartGateway) -> list:
    """A gateway's start as plain values."""
    return [event.seed, settings_values(event.settings)]


EVENT_VALUES: dict[type, Any] = {
    policy.TimerFired: lambda event: [event.token],
    policy.PeerMessageReceived: lambda event: [event.sender, event.body.hex()],
    policy.ClientDisconnected: lambda event: [event.request],
    policy.ResponseStreamStarted: lambda event: [
        event.request,
        event.attempt,
        event.endpoint.hex(),
        event.duration_us,
    ],
    policy.RequestArrived: request_values,
    policy.AttemptEnded: outcome_values,
    policy.EndpointListReceived: list_values,
    policy.CounterAnswered: lambda event: [event.name, event.outcome.value, event.value, event.duration_us],
    policy.HealthCheckEnded: lambda event: [
        event.endpoint.hex(),
        event.outcome.value,
        event.duration_us,
        list(event.load_report),
    ],
    codec.StartGateway: start_values,
    codec.StopGateway: lambda event: [],
}

ACTIONS: dict[int, list[policy.Action]] = {  # by the code of its record
    65: [policy.SendAttempt(0x5D3A91C4, SERVER, 0x8194DA), policy.SendAttempt(7, SERVER, 0)],
    66: [policy.RejectRequest(7, 9), policy.RejectRequest(7, 0, True)],
    67: [policy.FailRequest(7)],
    68: [policy.CancelAttempt(7, 2)],
    69: [policy.SetTimer(500_000, 77)],
    70: [policy.CheckHealth(SERVER)],
    72: [policy.SendPeerMessage(0xFFFF, b"hi 7"), policy.SendPeerMessage(2, b"")],
    75: [policy.WatchEndpoints()],
    76: [policy.FetchEndpoints()],
}
NOT_OF_THE_WIRE = {policy.GrantQuota}


def settings_values(s: policy.Settings) -> dict:
    """Settings as plain values under names of their own."""
    return {
        "rank and fleet": [s.replica, s.replica_count, s.zone],
        "classes": [
            [
                c.latency_objective_us,
                c.deadline_us,
                c.priority_weight,
                c.late_priority_weight,
                c.idempotency.value,
                c.deduplication_scope.value,
                c.deduplication_window_us,
            ]
            for c in s.classes
        ],
        "plans": [
            [p.rate, p.burst, p.max_in_flight, p.price, p.over_quota_credit, p.over_quota_charge]
            for p in s.plans
        ],
        "ceilings": [[p.ceiling_rate, p.ceiling_burst, p.ceiling_slack] for p in s.plans],
        "permissions": [s.may_gossip, s.may_check_health, s.may_cancel, s.may_hedge],
        "attempts": [s.max_attempts, s.max_retry_after_us],
        "charges": [
            s.peer_messages_per_second,
            s.peer_charge,
            s.health_check_charge,
            s.waste_charge,
            s.cross_zone_charge,
        ],
        "counter and list": [s.has_shared_counter, s.polls_endpoint_list, s.poll_timeout_us],
        "reports": [s.load_report_source.value, list(s.load_report_names)],
        "nodes": [
            s.slow_start_initial_share,
            s.slow_start_duration_us,
            s.overload_multiple,
            s.overload_duration_us,
            s.drain_grace_us,
        ],
    }


def sealed(kind: int, body: bytes, sequence: int = 5, incarnation: int = 900) -> bytes:
    """A datagram from gateway 1 to gateway 2."""
    return datagrams.encode_datagram(SECRET, 1, 2, incarnation, sequence, body, kind)


# Messages between gateways

ROWS = {
    "one row": [counts_row(7, 0, 0, 3, 0, 4.5, 11.25, 0.0, ((0, 1_000, 6.0), (2, 990, 5.25)))],
    "a brief row": [counts_row(1 << 33, 1, 2, 3, 2, 0.0, 300.0625, 0.0, ())],
    "rights of a ceiling": [counts_row(9, 2, 1, 2, 1, 0.0, 0.0, 12.75, ((1, 15_000, 0.0625),))],
    "a set of all, wrapped": [counts_row(8, 0, 2, 3, 0, 2.0, 9.0, 0.0, ((1, 16_000, 1.0), (2, 0, 8.0)))],
    "no row": [],
    "several": [counts_row(one, one % 3, one % 3, 1 + one % 3, 0, one, one, 0.0, ()) for one in range(9)],
}
SENT = {"early": 1_000_000, "its low bits repeat": (1 << 32) + 5, "just before they repeat": (1 << 32) - 1}


def packed_messages() -> dict[str, bytes]:
    """Every kind of message, by what it is."""
    found = {}
    for what, rows in ROWS.items():
        for when, sent in SENT.items():
            for ask, keep in ((False, False), (True, False), (False, True), (True, True)):
                parts = gossip_codec.take_fitting(gossip_codec.encode_row(row, sent, 3) for row in rows)
                found[f"{what}, {when}, {ask:d}{keep:d}"] = gossip_codec.encode_message(
                    sent, ask, keep, parts
                )
    return found


def test_messages_between_gateways_are_packed_to_the_golden_bytes():
    check_golden("peer-messages", {what: body.hex() for what, body in packed_messages().items()})


def test_messages_between_gateways_are_read_as_the_golden_values():
    """The bytes are those of the golden file; so are damaged ones, most of which are no message."""
    found, all_bytes = (
        {},
        json.loads((Path(__file__).parent / "corpus/golden_surface/peer-messages.json").read_text()),
    )
    for what, text in all_bytes.items():
        body = bytes.fromhex(text)
        for now in (1_000_400, (1 << 32) + 300):
            found[f"{what}, read at {now}"] = message_values(gossip_codec.decode_message(body, now, 3, 3))
    body = bytes.fromhex(all_bytes["one row, early, 11"])
    for place in range(len(body)):
        changed = body[:place] + bytes((body[place] ^ 0x81,)) + body[place + 1 :]
        found[f"byte {place} changed"] = message_values(gossip_codec.decode_message(changed, 1_000_400, 3, 3))
        found[f"cut at {place}"] = message_values(gossip_codec.decode_message(body[:place], 1_000_400, 3, 3))
    found["a number too long"] = message_values(
        gossip_codec.decode_message(body[:6] + b"\xff" * 12, 1_000_400, 3, 3)
    )
    assert None in found.values()
    check_golden("peer-messages-read", found)


def test_what_does_not_fit_into_a_message_is_left_out():
    rows = [counts_row(1 << 30, 0, 0, 3, 0, 1.0, one, 0.0, ((0, 0, one),)) for one in range(60)]
    parts = gossip_codec.take_fitting(gossip_codec.encode_row(row, 1_000_000, 3) for row in rows)
    check_golden("peer-messages-full", {"rows": len(parts), "bytes": b"".join(parts).hex()})


# Sealed datagrams


def test_datagrams_are_sealed_to_the_golden_bytes_and_taken():
    kinds = {"module": 0, "limits": 1, "versions": 2}
    found = {what: sealed(kind, b"body of " + what.encode()).hex() for what, kind in kinds.items()}
    found["empty"] = sealed(0, b"").hex()
    found["largest"] = sealed(1, bytes(range(256))).hex()
    check_golden("sealed-datagrams", found)
    inbox = datagrams.Inbox(SECRET, 2, 3, 1_000, 10.0, 10.0, 10.0)
    assert [
        inbox.accept(1_000, sealed(kind, b"x", sequence)) for sequence, kind in enumerate(kinds.values(), 1)
    ] == [(kind, 1, b"x") for kind in kinds.values()]


def test_datagrams_that_are_not_for_us_are_refused_by_the_golden_reasons():
    good_one = sealed(0, b"x")
    wrong = {
        "short": good_one[:20],
        "too long": good_one + bytes(300),
        "another magic": b"XX" + good_one[2:],
        "another format": good_one[:2] + b"\2" + good_one[3:],
        "an unknown kind": sealed(9, b"x"),
        "to another": datagrams.encode_datagram(SECRET, 1, 0, 900, 5, b"x"),
        "of our own rank": datagrams.encode_datagram(SECRET, 2, 2, 900, 5, b"x"),
        "of no gateway": datagrams.encode_datagram(SECRET, 9, 2, 900, 5, b"x"),
        "of another key": datagrams.encode_datagram(b"another key, long enough", 1, 2, 900, 5, b"x"),
        "changed": good_one[:-1] + bytes((good_one[-1] ^ 1,)),
        "a life far ahead": sealed(0, b"x", incarnation=61_000_000_000),
    }
    found = {}
    for what, data in wrong.items():
        inbox = datagrams.Inbox(SECRET, 2, 3, 1_000, 10.0, 10.0, 10.0)
        assert inbox.accept(1_000, data) is None
        found[what] = inbox.rejected
    inbox = datagrams.Inbox(SECRET, 2, 3, 1_000, 2.0)
    taken = [inbox.accept(1_000, sealed(0, b"x", number)) is not None for number in (7, 7, 6, 8)]
    found["7, 7, 6, 8 with an intake of two"] = [taken, inbox.rejected]
    found["carried to a successor"] = [[*row[:3], row[3].hex()] for row in inbox.peer_rows()]
    check_golden("refused-datagrams", found)


# Messages of MessagePack: of the limits, of the fleet's versions, of an upgrade


def sample(kind: Any, number: int) -> Any:
    """A value of a type, drawn from nothing but its place: names play no part."""
    if kind is int:
        return 1_000 + 37 * number
    if kind is float:
        return number + 0.5
    if kind is bool:
        return number % 2 == 0
    if kind is str:
        return f"text {number}"
    if kind is bytes:
        return bytes((number, 0, 255))
    if isinstance(kind, type) and issubclass(kind, Enum):
        return next(iter(kind))
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return sample_struct(kind)
    if isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields"):
        parts = get_type_hints(kind).values()
        return kind(*(sample(part, number + place) for place, part in enumerate(parts)))
    parts = get_args(kind)
    if type(None) in parts:
        return sample(parts[0], number)
    if not parts:
        return [1, b"any", 0.5] if kind is list else 7
    origin = getattr(kind, "__origin__", None)
    if origin is dict:
        return {sample(parts[0], number): sample(parts[1], number)}
    if origin is tuple and parts[-1] is not Ellipsis:
        return tuple(sample(part, number + place) for place, part in enumerate(parts))
    return origin(sample(parts[0], number + place) for place in range(2)) if origin else 7


def sample_struct(kind: type[msgspec.Struct]) -> msgspec.Struct:
    """A message with a value in each field."""
    fields = msgspec.structs.fields(kind)
    return kind(*(sample(field.type, number) for number, field in enumerate(fields)))


def samples(union: Any) -> dict[str, msgspec.Struct]:
    """A message of each type of a union, by the tag on the wire."""
    return {str(kind.__struct_config__.tag): sample_struct(kind) for kind in get_args(union)}


def test_questions_of_the_limits_have_the_golden_bytes():
    found = samples(token_messages.TokenQuery | token_messages.TokenReply)
    bodies = {tag: msgspec.msgpack.encode(message) for tag, message in found.items()}
    for tag, body in bodies.items():
        assert (
            msgspec.msgpack.decode(body, type=token_messages.TokenQuery | token_messages.TokenReply)
            == found[tag]
        )
    shortest = [
        token_messages.TokenQuery(5, token_messages.TokenOperation.LOOK_UP, b"name"),
        token_messages.TokenReply(5),
    ]
    more = {f"shortest {place}": msgspec.msgpack.encode(one) for place, one in enumerate(shortest)}
    more |= {f"op {op.value}": bytes((op.value,)) for op in token_messages.TokenOperation}
    check_golden("limit-messages", {what: body.hex() for what, body in (bodies | more).items()})


def test_messages_of_the_fleets_versions_have_the_golden_bytes():
    found = samples(change_messages.Message)
    bodies = {tag: change_messages.encode(message) for tag, message in found.items()}
    assert {tag: change_messages.decode(body) for tag, body in bodies.items()} == found
    check_golden("change-messages", {tag: body.hex() for tag, body in bodies.items()})


def test_messages_of_an_upgrade_have_the_golden_bytes():
    """An old process and a new one talk to each other across builds."""
    found = samples(upgrade_messages.AnyMessage)
    frames = {tag: upgrade_messages.encode(message) for tag, message in found.items()}
    check_golden("upgrade-messages", {tag: data.hex() for tag, data in frames.items()})
    for tag, data in frames.items():
        parser = upgrade_messages.Parser()
        parser.receive(data)
        assert upgrade_messages.encode(parser.next_message()) == data, tag


def test_ledgers_commands_and_states_of_versions_have_the_golden_names_and_values():
    """What gateways and tools send each other over the admin address, and what names contents and seals."""
    kinds = {
        "command": admin_messages.CommandRequest,
        "how things stand": admin_messages.RolloutStatus,
        "a gateway's state": admin_messages.GatewayStatus,
        "what became of a command": admin_messages.CommandOutcome,
        "answers counted": canary_analysis.AnswerCounts,
        "ledger": replicated_state.ReplicatedState,
        "certificate": version.Certificate,
        "change": replicated_state.Rollout,
    }
    found: dict[str, Any] = {}
    for what, kind in kinds.items():
        body = msgspec.msgpack.encode(sample_struct(kind))
        assert msgspec.msgpack.decode(body, type=kind) == sample_struct(kind)
        found[what] = [body.hex(), without_build(msgspec.msgpack.decode(body))]
    found["name of a content"] = version.content_hash(b"a content")
    found["name of a version's contents"] = sample_struct(version.Version).combined_hash
    found["seal"] = version.compute_seal(SECRET, "admin", "GET", b"/change/status", b"").hex()
    vote = version.cast_vote(
        SECRET, version.VotingMember(1, 77), sample_struct(version.Version), 5, True, "why"
    )
    found["vote"] = without_build(msgspec.to_builtins(vote, builtin_types=(bytes,)))
    check_golden("versions", found)


def test_steps_of_the_ledger_have_the_golden_bytes():
    steps = [sample_struct(kind) for kind in get_args(commands.Command)]
    check_golden("ledger-steps", [msgspec.msgpack.encode(one).hex() for one in steps])


# The binary wire


def record(code: int, layout: str, *values) -> bytes:
    """A record of an event, by the protocol's layout."""
    return struct.pack("<B" + layout, code, *values).ljust(codec.EVENT_BYTES, b"\0")


def frames_of_the_wire() -> dict[str, list[tuple[list[bytes], bytes]]]:
    """Batches by the record code that they are about: records and tail."""
    text = json.dumps(settings()).encode()
    entries = struct.pack("<fB6sBQBH", 1.5, 0, SERVER, 2, 77, 1, 9)
    entries += struct.pack("<fB6sBQBH", 1.0, 1, OTHER_SERVER, 0, 0, 2, 300)
    entries += struct.pack("<fB6sBQBH", 1.0, 0, OTHER_SERVER, 0, 0, 0, 300)
    listed = record(12, "HII", 4, 0, 3)
    outcomes = (100, 301, 302, 303, 304, 305, 306, 307)
    report = 3, 0.5, 14.5, 7.0, 0.0
    ended = [
        record(6, "HIH6sHIBHHB4f", 3, 9, 1, SERVER, outcome, 18_500, outcome == 100, 86, 3, *report)
        for outcome in outcomes
    ]
    return {
        "1": [([record(1, "HQ", 3, 1 << 40)], b"")],
        "2": [([record(2, "HHII", 3, 1, 2, 5)], b"..hello..")],
        "3": [([record(3, "HI", 5, 0x0E6F2B19)], b"")],
        "4": [([record(4, "HIH6sI", 3, 9, 1, SERVER, 2_150)], b"")],
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
            ([record(11, "HIH6sB4f", 3, 900, outcome, SERVER, 2, 0.25, 2.0, 3.0, 4.0)], b"")
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
    assert covered | NOT_OF_THE_WIRE == set(get_args(policy.Action))
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


# The platform's datagrams


def test_the_platforms_gateways_send_the_golden_datagrams():
    bodies = []

    def test(house):
        peer = house.world.datagrams(("127.0.0.1", 7947))

        def hear() -> None:
            while True:
                bodies.append(peer.recv()[0].hex())

        house.scope.spawn(hear)
        for number in range(4):
            asked = call(number=f"r{number}", client=f"{number:016x}", extras="units=1,spread=2,first=0")
            assert house.ask(asked)[0] == 200
        house.loop.sleep(2 * SECOND)

    may = {**settings()["permissions"], "peers": True}
    addresses = ["127.0.0.1:7946", "127.0.0.1:7947"]
    PlatformHouse(good, good, peers=addresses, settings=settings(balancers=2, permissions=may)).run(test)
    assert bodies
    check_golden("platform-datagrams", bodies)


# Admin answers and the metrics page


def without_build(value: Any) -> Any:
    """Bytes as text, and the build left out: each build has a name of its own."""
    if isinstance(value, dict):
        return {str(key): "" if key == "build" else without_build(part) for key, part in value.items()}
    if isinstance(value, (list, tuple)):
        return [without_build(part) for part in value]
    return value.hex() if isinstance(value, bytes) else value


def samples_of(page: bytes) -> list[str]:
    """Names, labels, types and values of a page of metrics; its prose may change."""
    return [line for line in page.decode().splitlines() if not line.startswith("# HELP ")]


def ask_admin(house: GatewayHarness, target: str) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and body of an answer at the admin address."""
    stream = house.world.connect(("127.0.0.1", 8280))
    stream.send(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    status, headers, body = house.answer(stream)
    return status, {name.decode(): value.decode() for name, value in headers}, body


def admin_answers() -> dict[str, Any]:
    """What the admin address of a gateway answers after a few requests."""
    found: dict[str, Any] = {}

    def test(house):
        for raw in (GET, REPORT, UPLOAD, GET, GET, b"nonsense\r\n\r\n"):
            house.ask(raw)
        for target in ("/health", "/nothing", "/view?customer=nobody", "/change/status", "/change/content/x"):
            status, headers, body = ask_admin(house, target)
            found[target] = [status, headers, body.decode()]
        status, headers, body = ask_admin(house, "/metrics")
        del headers["content-length"]
        found["/metrics"] = [status, headers, samples_of(body)]
        for target in ("/view", "/view?customer=1"):
            body = ask_admin(house, target)[2]
            found[target] = without_build(msgspec.msgpack.decode(body))
        body, at, frames = ask_admin(house, "/state")[2], 7, []
        found["/state"] = [body[:at].decode(), frames]
        while at < len(body):
            length, _ = struct.unpack_from("<II", body, at)
            frames.append(without_build(msgspec.msgpack.decode(body[at + 8 : at + 8 + length])))
            at += 8 + length

    GatewayHarness(good, resets_after, good, seed=5).run(test)
    return found


def test_the_admin_address_gives_the_golden_answers():
    check_golden("admin-answers", admin_answers())


# The command


def flags(command: click.Command) -> dict[str, Any]:
    """Verbs, arguments and options of a command and of all below it; prose may change."""
    found: dict[str, Any] = {"hidden": command.hidden, "parameters": []}
    for one in command.params:
        kind = one.type.to_info_dict()
        row = {"kind": one.param_type_name, "words": [*one.opts, *one.secondary_opts], "count": one.nargs}
        row |= {"type": kind["param_type"], "required": one.required, "many": one.multiple}
        row |= {"choices": list(kind.get("choices", ()))}
        if isinstance(one, click.Option):
            given = isinstance(one.default, (str, int, float))  # else click's own mark for no default
            default = str(one.default).replace(sys.executable, "python") if given else ""
            row |= {"flag": one.is_flag, "default": default}
        else:
            row["words"] = []  # an argument's name is prose
        found["parameters"].append(row)
    if isinstance(command, click.Group):
        found["verbs"] = {name: flags(one) for name, one in command.commands.items()}
    return found


def verbs(command: click.Command, words: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """Each command by its words."""
    below = command.commands.items() if isinstance(command, click.Group) else ()
    return [words] + [found for name, one in below for found in verbs(one, (*words, name))]


def run(*arguments: str) -> tuple[int, str]:
    """Exit code and output of the command."""
    result = CliRunner().invoke(main, arguments)
    assert result.exception is None or isinstance(result.exception, SystemExit), result.exception
    return result.exit_code, result.output


def test_the_command_has_the_golden_verbs_and_flags():
    check_golden("command", flags(main))


@pytest.mark.parametrize("words", verbs(main), ids=" ".join)
def test_each_command_tells_of_its_flags(words):
    code, text = run(*words, "--help")
    command = main
    for word in words:
        command = command.commands[word]
    assert code == 0
    for one in command.params:
        assert one.param_type_name == "argument" or any(word in text for word in one.opts)


def test_settings_and_routes_are_shown_as_golden():
    found = {
        "config show": run("config", "show", str(MATERIALS / "fleet.cue")),
        "routes": run("routes", str(MATERIALS / "openapi.yaml")),
        "routes --match": run("routes", str(MATERIALS / "openapi.yaml"), "--match", "PUT /v1/tests/7"),
    }
    check_golden("command-output", {what: list(pair) for what, pair in found.items()})


@pytest.mark.parametrize("script", ["bad", "quiet"])
def test_a_simulated_day_gives_the_golden_verdict(script, tmp_path):
    report = tmp_path / "verdict.json"
    source = str(MATERIALS / f"{script}.cue")
    code, _ = run("day", source, "--world", "simulated", "--seed", "3", "--json", str(report))
    digest = hashlib.sha256(report.read_bytes()).hexdigest()
    verdict = json.loads(report.read_bytes())
    check_golden(f"day-{script}", {"exit": code, "sha256": digest, "verdict": verdict})


def without_place(text: str, folder: Path) -> str:
    """An output without what differs by machine and build: the folder, and the build's name."""
    return re.sub(r'"build": ".*?"', '"build": ""', text.replace(str(folder), "FOLDER"))


def test_tools_tell_the_golden_json_of_a_saved_state(tmp_path):
    path = tmp_path / "state.olr"

    def test(house):
        for raw in (GET, REPORT, UPLOAD, GET, GET):
            house.ask(raw)
        path.write_bytes(ask_admin(house, "/state")[2])

    GatewayHarness(good, resets_after, good, seed=5).run(test)
    calls = {
        "state": ("state", str(path), "--json"),
        "counts of a customer": ("counts", str(path), "1", "--json"),
        "counts beyond": ("counts", str(path), "1", "--units", "100000", "--json"),
        "counts of a plan": ("counts", str(path), "--plan", "basico", "--json"),
        "diff": ("diff", str(path), str(path), "1", "--json"),
    }
    found = {what: run(*words) for what, words in calls.items()}
    check_golden(
        "tools-of-a-state",
        {what: [code, without_place(text, tmp_path)] for what, (code, text) in found.items()},
    )


def test_tools_tell_the_golden_json_of_a_record(tmp_path):
    """A record of a released format, so that none of it depends on what this build writes."""
    shutil.copy(Path(__file__).parent / "corpus/record/format-2.olr", tmp_path / "gw-1-0.olr")
    folder = str(tmp_path)
    calls = {
        "replay": ("replay", folder, "--json"),
        "audit": ("audit", folder, "--json"),
    }
    found = {what: run(*words) for what, words in calls.items()}
    check_golden(
        "tools-of-a-record",
        {what: [code, without_place(text, tmp_path)] for what, (code, text) in found.items()},
    )


@pytest.mark.parametrize("words", [("38",), ("--customer", "3")], ids=["request", "customer"])
def test_explain_tells_the_golden_json(words, tmp_path):
    """Its events and actions are told as text with the names of their types and fields."""
    shutil.copy(Path(__file__).parent / "corpus/record/format-2.olr", tmp_path / "gw-1-0.olr")
    code, text = run("explain", str(tmp_path), *words, "--json")
    check_golden(f"explain-{words[0].lstrip('-')}", [code, json.loads(text)])


# What clients of the gateway are answered


def http_answer(house: GatewayHarness, raw: bytes) -> list:
    """Status, headers and body of an answer; of a problem its keys, whose prose may change."""
    status, headers, body = house.ask(raw)
    fields = {name.decode(): value.decode() for name, value in headers}
    if fields.get("content-type") != "application/problem+json":
        return [status, fields, body.decode()]
    fields.pop("content-length", None)
    problem = json.loads(body)
    return [status, fields, sorted(problem), problem["status"]]


def test_clients_over_http_get_the_golden_answers():
    """Status, headers and body: served, each error, and beyond the quota."""
    asked = {
        "served": GET,
        "served under a key": UPLOAD,
        "without a key": b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\n\r\n",
        "of no customer": b"GET /v1/sheets/a HTTP/1.1\r\nHost: g\r\nX-Api-Key: other\r\n\r\n",
        "no such path": request("GET", "/v1/nothing"),
        "no such method": request("DELETE", "/v1/reports"),
        "a wrong patience": request("GET", "/v1/sheets/a", "Give-Up-After-Ms: soon\r\n"),
        "without its key": request("PUT", "/v1/tests/1", body=b"x"),
        "broken": b"nonsense\r\n\r\n",
    }
    found: dict[str, Any] = {}

    def test(house):
        for what, raw in asked.items():
            found[what] = http_answer(house, raw)
        for number in range(30):
            found[f"request {number}"] = http_answer(house, GET)

    def test_broken(house):
        found["may have run"] = http_answer(house, REPORT)

    GatewayHarness(good, good, seed=5, plans=settings_loader.parse_settings(SETTINGS, "fleet.cue").plans).run(
        test
    )
    GatewayHarness(resets_after, seed=5).run(test_broken)
    assert {answer[0] for answer in found.values()} >= {200, 400, 401, 404, 405, 429, 502}
    check_golden("http-answers", found)


def test_clients_over_resp_get_the_golden_replies():
    """Each command once at least, by the bytes of its reply."""
    key = KEY.decode()
    commands = [
        ["PING"], ["PING", "x"], ["ECHO", "x"], ["HELLO"], ["HELLO", "3"], ["SELECT", "0"], ["SELECT", "1"],
        ["CLIENT", "SETNAME", "a"], ["CLIENT", "GETNAME"], ["COMMAND", "COUNT"], ["COMMAND", "DOCS"],
        ["LIMIT.INFO"], ["LIMIT.PEEK", key], ["LIMIT.TAKE", key, "2"], ["LIMIT.TAKE", key, "100000"],
        ["LIMIT.TAKE", key, "1", "WITHIN", "5", "CLASS", "sheet-read"],
        ["LIMIT.TAKE", key, "2", "IDEMPOTENT", "t"], ["LIMIT.TAKE", key, "2", "IDEMPOTENT", "t"],
        ["LIMIT.GIVEBACK", key, "t"], ["LIMIT.GIVEBACK", key, "t"], ["LIMIT.GIVEBACK", key, "other"],
        ["LIMIT.RESERVE", key, "3", "FOR", "10000"], ["LIMIT.COMMIT", key, "RESERVED"],
        ["LIMIT.RELEASE", key, "RESERVED"],
        ["LIMIT.RELEASE", key, "0-0-1"], ["LIMIT.RELEASE", key, "none"],
        ["CL.THROTTLE", key, "2999", "1000", "1"], ["CL.THROTTLE", key, "2999", "1000", "1", "5"],
        ["CL.THROTTLE", key, "9", "10", "1"],
        ["LIMIT.TAKE", "of nobody", "1"], ["LIMIT.TAKE", key, "many"], ["LIMIT.TAKE"], ["NOTHING"],
        ["AUTH", "a password"], ["RESET"], ["QUIT"],
    ]  # fmt: skip
    found = []

    def test(house):
        house.loop.sleep(4 * SECOND)  # tokens are sure from then on
        stream = house.world.connect(("127.0.0.1", 8380))
        reserved = ""
        for words in commands:
            named = [reserved if word == "RESERVED" else word for word in words]
            stream.send(resp.encode(named))
            house.loop.sleep(500_000)
            reply = stream.recv(deadline=house.loop.now() + SECOND).decode()
            reserved = reply.split("\r\n")[1] if words[0] == "LIMIT.RESERVE" else reserved
            # Of an error its first word counts, the rest is prose.
            found.append([words, reply.split()[0] if reply.startswith("-") else reply])

    fleet = settings_loader.parse_settings(SETTINGS, "fleet.cue")
    GatewayHarness(good, gateways=fleet.gateways[:1], seed=5).run(test)
    check_golden("resp-replies", found)


# Settings


SMALLEST = """
description: "d.yaml"
customers:   "c.json"
gateways: [{name: "a", listen: "127.0.0.1:1", peer: "127.0.0.1:2"}]
plans: p: {rate: 1, burst: 2}
plans: q: {rate: 0, burst: 0, ceiling: {rate: 1, burst: 2}}
nodes: list: "127.0.0.1:3"
peers: secret_file: "s"
"""
SMALLEST_DAY = """
fleet: "f.cue"
gateways: 1
racks: 1
rack_size: 1
customers: 1
rate: 1
span: "1s"
kinds: [{class: "c", share: 1, method: "GET", target: "/", work: "1ms"}]
steps: [{at: "1s", do: "kill_gateway"}]
"""


def schema_without_comments(text: str) -> list[str]:
    """The lines of a schema: names, bounds and defaults."""
    lines = [re.sub(r"\s*//.*", "", line) for line in text.splitlines()]
    return [" ".join(line.split()) for line in lines if line.strip()]


def paths_of(value: Any, *path: Any) -> list[tuple[Any, ...]]:
    """The path of each key within a value."""
    inner = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    return [found for key, part in inner for found in [(*path, key), *paths_of(part, *path, key)]]


def is_accepted(value: dict) -> bool:
    """Whether the platform's configuration file may be so."""
    try:
        platform_config.parse(json.dumps(value).encode(), "config.json")
    except platform_config.ConfigError:
        return False
    return True


def test_the_platforms_configuration_has_the_golden_keys():
    """Which keys may be missing, and which may not."""
    known = {"generation": 3, "reset": True, "instances": []}
    whole = platform_file(known=known)
    found = {"whole": is_accepted(whole)}
    for path in paths_of(whole):
        value = json.loads(json.dumps(whole))
        inner = value
        for key in path[:-1]:
            inner = inner[key]
        del inner[path[-1]]
        found["without " + "/".join(map(str, path))] = is_accepted(value)
    assert found["whole"]
    check_golden("platform-configuration", found)


def test_settings_have_the_golden_names_and_defaults():
    schema = settings_loader.schema_text()
    found = config.plain_values(SMALLEST, "smallest.cue", schema, "#Fleet")
    settings_loader.parse_settings(SMALLEST, "smallest.cue")
    check_golden("settings", {"defaults": found, "schema": schema_without_comments(schema)})


def test_scripted_days_have_the_golden_names_and_defaults():
    schema = lab_day.DAY_SCHEMA.read_text()
    found = config.plain_values(SMALLEST_DAY, "smallest.cue", schema, "#Day")
    config.load(SMALLEST_DAY, "smallest.cue", schema, "#Day", lab_day.Day)
    check_golden("settings-of-a-day", {"defaults": found, "schema": schema_without_comments(schema)})
