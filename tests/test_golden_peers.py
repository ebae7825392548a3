"""Messages and datagrams between gateways are encoded to the golden bytes and decoded from them."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
from harness.constants import SECOND
from harness.gateway_harness import (
    good,
)
from harness.golden_events import SECRET, customer_row, message_values, seal_datagram
from harness.golden_files import check_golden
from harness.golden_samples import samples
from harness.platform_harness import PlatformHarness, call, settings

from orchidlane.gateway.peers import datagrams, token_messages
from orchidlane.policy import gossip_codec

ROWS = {
    "one row": [customer_row(7, 0, 0, 3, 0, 4.5, 11.25, 0.0, ((0, 1_000, 6.0), (2, 990, 5.25)))],
    "a brief row": [customer_row(1 << 33, 1, 2, 3, 2, 0.0, 300.0625, 0.0, ())],
    "rights of a ceiling": [customer_row(9, 2, 1, 2, 1, 0.0, 0.0, 12.75, ((1, 15_000, 0.0625),))],
    "a set of all, wrapped": [customer_row(8, 0, 2, 3, 0, 2.0, 9.0, 0.0, ((1, 16_000, 1.0), (2, 0, 8.0)))],
    "no row": [],
    "several": [
        customer_row(number, number % 3, number % 3, 1 + number % 3, 0, number, number, 0.0, ())
        for number in range(9)
    ],
}


SENT_AT_US = {
    "early": 1_000_000,
    "its low bits repeat": (1 << 32) + 5,
    "just before they repeat": (1 << 32) - 1,
}


def packed_messages() -> dict[str, bytes]:
    """Return messages with every combination of rows, sending time and flags, by their description."""
    messages = {}
    for what, rows in ROWS.items():
        for when, sent in SENT_AT_US.items():
            for wants_reply, to_token_owner in ((False, False), (True, False), (False, True), (True, True)):
                parts = gossip_codec.take_fitting(gossip_codec.encode_row(row, sent, 3) for row in rows)
                messages[f"{what}, {when}, {wants_reply:d}{to_token_owner:d}"] = gossip_codec.encode_message(
                    sent, wants_reply, to_token_owner, parts
                )
    return messages


def test_messages_between_gateways_are_encoded_to_the_golden_bytes():
    check_golden("peer-messages", {what: body.hex() for what, body in packed_messages().items()})


def test_messages_between_gateways_are_decoded_to_the_golden_values():
    """The encoded messages come from the golden file; damaged copies of one must not decode as valid."""
    decoded, encoded_messages = (
        {},
        json.loads((Path(__file__).parent / "corpus/golden_surface/peer-messages.json").read_text()),
    )
    for what, text in encoded_messages.items():
        body = bytes.fromhex(text)
        for now in (1_000_400, (1 << 32) + 300):
            decoded[f"{what}, read at {now}"] = message_values(gossip_codec.decode_message(body, now, 3, 3))
    body = bytes.fromhex(encoded_messages["one row, early, 11"])
    for offset in range(len(body)):
        changed = body[:offset] + bytes((body[offset] ^ 0x81,)) + body[offset + 1 :]
        decoded[f"byte {offset} changed"] = message_values(
            gossip_codec.decode_message(changed, 1_000_400, 3, 3)
        )
        decoded[f"cut at {offset}"] = message_values(
            gossip_codec.decode_message(body[:offset], 1_000_400, 3, 3)
        )
    decoded["a number too long"] = message_values(
        gossip_codec.decode_message(body[:6] + b"\xff" * 12, 1_000_400, 3, 3)
    )
    assert None in decoded.values()
    check_golden("peer-messages-read", decoded)


def test_rows_that_exceed_the_size_of_a_message_are_left_out():
    rows = [customer_row(1 << 30, 0, 0, 3, 0, 1.0, units, 0.0, ((0, 0, units),)) for units in range(60)]
    parts = gossip_codec.take_fitting(gossip_codec.encode_row(row, 1_000_000, 3) for row in rows)
    check_golden("peer-messages-full", {"rows": len(parts), "bytes": b"".join(parts).hex()})


def test_datagrams_are_encoded_to_the_golden_bytes_and_accepted():
    kinds = {"module": 0, "limits": 1, "versions": 2}
    encoded = {what: seal_datagram(kind, b"body of " + what.encode()).hex() for what, kind in kinds.items()}
    encoded["empty"] = seal_datagram(0, b"").hex()
    encoded["largest"] = seal_datagram(1, bytes(range(256))).hex()
    check_golden("sealed-datagrams", encoded)
    inbox = datagrams.Inbox(SECRET, 2, 3, 1_000, 10.0, 10.0, 10.0)
    assert [
        inbox.accept(1_000, seal_datagram(kind, b"x", sequence))
        for sequence, kind in enumerate(kinds.values(), 1)
    ] == [(kind, 1, b"x") for kind in kinds.values()]


def test_invalid_datagrams_are_rejected_for_the_golden_reasons():
    valid = seal_datagram(0, b"x")
    invalid = {
        "short": valid[:20],
        "too long": valid + bytes(300),
        "another magic": b"XX" + valid[2:],
        "another format": valid[:2] + b"\2" + valid[3:],
        "an unknown kind": seal_datagram(9, b"x"),
        "to another": datagrams.encode_datagram(SECRET, 1, 0, 900, 5, b"x"),
        "of our own rank": datagrams.encode_datagram(SECRET, 2, 2, 900, 5, b"x"),
        "of no gateway": datagrams.encode_datagram(SECRET, 9, 2, 900, 5, b"x"),
        "of another key": datagrams.encode_datagram(b"another key, long enough", 1, 2, 900, 5, b"x"),
        "changed": valid[:-1] + bytes((valid[-1] ^ 1,)),
        "a life far ahead": seal_datagram(0, b"x", incarnation=61_000_000_000),
    }
    rejected = {}
    for what, data in invalid.items():
        inbox = datagrams.Inbox(SECRET, 2, 3, 1_000, 10.0, 10.0, 10.0)
        assert inbox.accept(1_000, data) is None
        rejected[what] = inbox.rejected
    inbox = datagrams.Inbox(SECRET, 2, 3, 1_000, 2.0)
    accepted = [inbox.accept(1_000, seal_datagram(0, b"x", number)) is not None for number in (7, 7, 6, 8)]
    rejected["7, 7, 6, 8 with an intake of two"] = [accepted, inbox.rejected]
    rejected["carried to a successor"] = [[*row[:3], row[3].hex()] for row in inbox.peer_rows()]
    check_golden("refused-datagrams", rejected)


def test_token_queries_and_replies_have_the_golden_bytes():
    messages = samples(token_messages.TokenQuery | token_messages.TokenReply)
    bodies = {tag: msgspec.msgpack.encode(message) for tag, message in messages.items()}
    for tag, body in bodies.items():
        assert (
            msgspec.msgpack.decode(body, type=token_messages.TokenQuery | token_messages.TokenReply)
            == messages[tag]
        )
    shortest = [
        token_messages.TokenQuery(5, token_messages.TokenOperation.LOOK_UP, b"name"),
        token_messages.TokenReply(5),
    ]
    more = {f"shortest {i}": msgspec.msgpack.encode(message) for i, message in enumerate(shortest)}
    more |= {f"op {op.value}": bytes((op.value,)) for op in token_messages.TokenOperation}
    check_golden("limit-messages", {what: body.hex() for what, body in (bodies | more).items()})


def test_the_platforms_gateways_send_the_golden_datagrams():
    bodies = []

    def test(harness):
        peer = harness.backend.bind_datagrams(("127.0.0.1", 7947))

        def receive_all() -> None:
            while True:
                bodies.append(peer.recv()[0].hex())

        harness.scope.spawn(receive_all)
        for number in range(4):
            raw = call(
                request_id=f"r{number}", client=f"{number:016x}", quota_info="units=1,spread=2,first=0"
            )
            assert harness.ask(raw)[0] == 200
        harness.loop.sleep(2 * SECOND)

    permissions = {**settings()["permissions"], "peers": True}
    addresses = ["127.0.0.1:7946", "127.0.0.1:7947"]
    PlatformHarness(good, good, peers=addresses, settings=settings(balancers=2, permissions=permissions)).run(
        test
    )
    assert bodies
    check_golden("platform-datagrams", bodies)
