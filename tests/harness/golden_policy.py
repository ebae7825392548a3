"""Golden values of states, records and views, which the files in ``corpus/golden`` encode."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec

from harness.policy_harness import SETTINGS, START_US
from orchidlane import policy, recording
from orchidlane.gateway.telemetry import policy_views
from orchidlane.policy import gossip_codec
from orchidlane.policy.accounts import Account, AccountKey, ReplicaCount
from orchidlane.policy.gateway import Gateway

GOLDEN_DIRECTORY = Path(__file__).parent.parent / "corpus" / "golden"
SECRET = b"the golden fleet's key"
BUILD = "1.2.3+0123456789ab"  # fixed, because the real build name changes with the sources
CLASS_NAMES = ("safe", "keyed in a cell", "unsafe", "keyed", "keyed in a zone")
PLAN_NAMES = ("plain", "capped", "with a ceiling", "idle earns")


def golden_accounts() -> list[Account]:
    """Return two accounts; each field of the first differs from its value in a new account."""
    first = Account(
        customer=7,
        key=AccountKey(2, 1, 3),
        limit=24.5,
        refilled_at_us=START_US - 40,
        replica_counts={0: ReplicaCount(15_900, 3.25), 2: ReplicaCount(15_950, 4.5)},
        counted_total=7.75,
        spent_total=9.25,
        recently_changed=(2, 0),
        unconfirmed=False,
        in_flight=2,
        peer_admissions_at_us=(START_US - 9, START_US - 5),
        announced_at_us=START_US - 3,
        ceiling_tokens=5.5,
        requested_tokens=1.5,
        exhausted=True,
    )
    return [
        first,
        Account(customer=4_000_000_000, key=AccountKey(0, 0, 1), limit=10.0, refilled_at_us=START_US),
    ]


def golden_state() -> recording.StateDump:
    """Return a state dump in which no part is empty: endpoints, accounts, requests in flight and the rest."""
    return msgspec.msgpack.decode(golden("module-state.msgpack"), type=recording.StateDump)


def golden_gateway() -> Gateway:
    """Return the policy restored from the golden state, with times as integers, as before storing."""
    gateway = recording.restore_gateway(SETTINGS, golden_state())
    for estimate in (gateway.fleet_health, *gateway.zone_health.values()):
        estimate.updated_at_us = int(estimate.updated_at_us)
    return gateway


def golden_settings() -> dict[str, Any]:
    """Return a policy's settings as plain values, as they are read back from a record."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(recording.settings_to_stored(SETTINGS)))


def golden_events() -> list[policy.Event]:
    """Return events of every type, which contain every value of the enumerations in events."""
    entries = tuple(
        policy.EndpointEntry(b"10.0.0.%d:80" % state.value, state, 1, 2, START_US - 90, 1.5)
        for state in policy.EndpointState
    )
    return [
        *(policy.EndpointListReceived(kind, 12, entries) for kind in policy.EndpointListKind),
        policy.RequestArrived(1, 7, 2, 1, 1.5, 2_000_000, 1, 3, True),
        policy.QuotaRequested(2, 7, 2, 3, 2.5, 1, 3),
        *(
            policy.AttemptFinished(1, 4, b"10.0.0.1:80", outcome, 50_000, True, 9, 2.25, (0.5, 1.5))
            for outcome in policy.Outcome
        ),
        policy.ResponseStreamStarted(1, 5, b"10.0.0.1:80", 60_000),
        policy.ClientDisconnected(3),
        policy.TimerFired(17),
        *(policy.HealthCheckFinished(b"10.0.0.2:80", outcome, 700, (0.25,)) for outcome in policy.Outcome),
        policy.PeerMessageReceived(2, bytes(range(0, 256, 5))),
        *(policy.CounterCallFinished(8, outcome, 6.5, 800) for outcome in policy.Outcome),
        policy.CountRecovered(7, 2, 1, 3, 15_900, 3.25),
        policy.ReplicaSetChanged(7, 2, 1, 3),
    ]


def golden_actions() -> list[policy.Action]:
    """Return one action of each type."""
    return [
        policy.SendAttempt(1, b"10.0.0.1:80", START_US + 5_000),
        policy.CancelAttempt(1, 4),
        policy.GrantQuota(2),
        policy.RejectRequest(1, 250_000, True),
        policy.FailRequest(3),
        policy.SetTimer(40_000, 17),
        policy.SendPeerMessage(2, b"\x02\x01rows"),
        policy.CheckHealth(b"10.0.0.2:80"),
        policy.WatchEndpoints(),
        policy.FetchEndpoints(),
    ]


def golden_header() -> recording.Header:
    """Return the header of a segment."""
    return recording.Header(
        format=2,
        build=BUILD,
        gateway="gateway-1",
        started_at_us=START_US - 1_000_000,
        number=3,
        settings=golden_settings(),
        state=msgspec.structs.replace(golden_state(), accounts=[]),
        class_names=CLASS_NAMES,
        plan_names=PLAN_NAMES,
        context={
            "now": START_US,
            "incarnation": START_US - 1_000_000,
            "list": ["epoch-1", 12, 2],
            "draining": True,
        },
    )


def golden_view() -> policy_views.PolicyView:
    """Return the view of a gateway and one customer that tools receive."""
    return policy_views.PolicyView(
        format=1,
        build=BUILD,
        gateway="gateway-1",
        now=START_US,
        settings=golden_settings(),
        state=golden_state(),
        class_names=CLASS_NAMES,
        plan_names=PLAN_NAMES,
        customer=policy_views.ViewedCustomer(7, 2, 1, 3),
    )


def golden_customer_row() -> gossip_codec.CustomerRow:
    """Return one customer's row of a gossip message."""
    return gossip_codec.CustomerRow(7, 2, 1, 3, 2, 15.25, 9.25, 1.5, ((1, 15_900, 3.25), (2, 15_950, 4.5)))


def encode_as_hex(encoded: dict[Any, bytes]) -> bytes:
    """Return a file's content for several small examples: a JSON object of names and hexadecimal bytes."""
    return (json.dumps({name: data.hex() for name, data in encoded.items()}, indent=1) + "\n").encode()


EMPTY_TABLES: dict[str, list[Any]] = {
    name: []
    for name in (
        "idle_queue",
        "pending_changes",
        "awaited_replies",
        "requests",
        "detached_attempts",
        "pending_deltas",
        "exhausted_customers",
        "exhaustion_notices",
    )
}


pack = msgspec.msgpack.encode


def golden(name: str) -> bytes:
    """Return the bytes of a golden file."""
    return (GOLDEN_DIRECTORY / name).read_bytes()


def golden_examples(name: str) -> dict[str, bytes]:
    """Return the examples of a golden file, by name."""
    return {label: bytes.fromhex(data) for label, data in json.loads(golden(name)).items()}


def fields_with_default(message: msgspec.Struct) -> list[str]:
    """Return the names of a message's fields that have their default value."""
    names = []
    for field in msgspec.structs.fields(message):
        default = field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()
        if getattr(message, field.name) == default:
            names.append(field.name)
    return names
