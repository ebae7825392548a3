"""Stored forms and messages are read and written byte for byte as the files in ``corpus/golden`` have them.

The files were written by the build that this test came with; a later build must read them and write the same
bytes from the same values, whatever its types and fields are called. Each form has one builder below, which
names every field that is not plain data in one place.

A form that is added gets its file by ``GOLDEN_WRITE=1 python -m pytest -n 0 tests/test_golden_stored.py``.
Files that are there are never replaced, and without the variable nothing is written: a file that is missing
is a failure. The variable is set by hand only, never in a test run that is to judge anything.
"""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, get_args

import msgspec
import pytest
from harness.policy_harness import SETTINGS, START_US

from orchidlane import policy, recording
from orchidlane.gateway.control import endpoint_list
from orchidlane.gateway.lifecycle.account_store import AccountStore
from orchidlane.gateway.lifecycle.rolling_upgrade import RollDriver, StoredRoll
from orchidlane.gateway.peers import datagrams, query_exchange, token_messages, token_requests
from orchidlane.gateway.rollout_agent import admin_messages, storage
from orchidlane.gateway.telemetry import policy_views
from orchidlane.hot_restart import messages as restart_messages
from orchidlane.hot_restart import rolling_upgrade
from orchidlane.hot_restart.probation import AnswerCounts
from orchidlane.limits import GrantOutcome, GrantStore, TokenOwner
from orchidlane.policy import gossip_codec as module_messages
from orchidlane.policy.accounts import Account, AccountKey, ReplicaCount
from orchidlane.policy.gateway import Gateway
from orchidlane.recording import segments
from orchidlane.recording.state_dump import account_to_row
from orchidlane.rollout import canary_analysis, version
from orchidlane.rollout import messages as version_messages
from orchidlane.rollout import replicated_state as fleet_ledger
from orchidlane.rollout.voter_state import VoterState as VoterKept

GOLDEN = Path(__file__).parent / "corpus" / "golden"
SECRET = b"the golden fleet's key"
BUILD = "1.2.3+0123456789ab"  # fixed: the real name changes with the sources
CLASS_NAMES = ("safe", "keyed in a cell", "unsafe", "keyed", "keyed in a zone")
PLAN_NAMES = ("plain", "capped", "with a ceiling", "idle earns")


class Disk:
    """A clock that stands still, and files in memory, for the parts of the program that keep files."""

    def __init__(self, **kept: bytes) -> None:
        self.files: dict[str, bytes] = kept
        self.world = self

    def now(self) -> int:
        return START_US

    def call_at(self, *_: Any) -> None:
        """No file grows too old here."""

    def aside(self, work: Callable[[], Any]) -> Any:
        return work()

    def read_file(self, path: str) -> bytes | None:
        return self.files.get(path)

    def write_file(self, path: str, data: bytes) -> None:
        self.files[path] = data


# What the golden bytes hold


def golden_accounts() -> list[Account]:
    """Two accounts; all fields of the first are other than a new account's."""
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
    """The state of a module with servers, accounts, requests under way and all else that a state holds."""
    return msgspec.msgpack.decode(golden("module-state.msgpack"), type=recording.StateDump)


def golden_module() -> Gateway:
    """The module that the golden state makes, with whole numbers for times as in one that was never read."""
    module = recording.restore_gateway(SETTINGS, golden_state())
    for known in (module.fleet_health, *module.zone_health.values()):
        known.updated_at_us = int(known.updated_at_us)
    return module


def golden_settings() -> dict[str, Any]:
    """A module's settings as plain values, the way they are read."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(recording.settings_to_stored(SETTINGS)))


def golden_events() -> list[policy.Event]:
    """Each type of event at least once, with each value of the enumerations that an event holds."""
    entries = tuple(
        policy.EndpointEntry(b"10.0.0.%d:80" % phase.value, phase, 1, 2, START_US - 90, 1.5)
        for phase in policy.EndpointState
    )
    return [
        *(policy.EndpointListReceived(kind, 12, entries) for kind in policy.EndpointListKind),
        policy.RequestArrived(1, 7, 2, 1, 1.5, 2_000_000, 1, 3, True),
        policy.QuotaRequested(2, 7, 2, 3, 2.5, 1, 3),
        *(
            policy.AttemptEnded(1, 4, b"10.0.0.1:80", outcome, 50_000, True, 9, 2.25, (0.5, 1.5))
            for outcome in policy.Outcome
        ),
        policy.ResponseStreamStarted(1, 5, b"10.0.0.1:80", 60_000),
        policy.ClientDisconnected(3),
        policy.TimerFired(17),
        *(policy.HealthCheckEnded(b"10.0.0.2:80", outcome, 700, (0.25,)) for outcome in policy.Outcome),
        policy.PeerMessageReceived(2, bytes(range(0, 256, 5))),
        *(policy.CounterAnswered(8, outcome, 6.5, 800) for outcome in policy.Outcome),
        policy.CountRecovered(7, 2, 1, 3, 15_900, 3.25),
        policy.ReplicaSetChanged(7, 2, 1, 3),
    ]


def golden_actions() -> list[policy.Action]:
    """Each type of action once."""
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
    """The head of a traffic record."""
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


def golden_view() -> policy_views.View:
    """What a gateway tells tools of itself and one customer."""
    return policy_views.View(
        format=1,
        build=BUILD,
        gateway="gateway-1",
        now=START_US,
        settings=golden_settings(),
        state=golden_state(),
        class_names=CLASS_NAMES,
        plan_names=PLAN_NAMES,
        customer=(7, 2, 1, 3),
    )


def golden_node_list() -> bytes:
    """A line of the watch for nodes, as a discovery service writes it."""
    nodes = [
        {"address": "10.0.0.1:80", "phase": "ready", "zone": "z1", "cell": "c1", "launched": 55, "size": 1.5},
        {
            "address": "10.0.0.2:80",
            "phase": "draining",
            "zone": "z2",
            "cell": "c2",
            "launched": 66,
            "size": 2,
        },
    ]
    line = {"kind": "whole", "epoch": "epoch-1", "version": 12, "nodes": nodes}
    return json.dumps(line).encode()


def golden_tracker() -> endpoint_list.EndpointListTracker:
    """The list of nodes as one gateway knows it."""
    tracker = endpoint_list.EndpointListTracker("z1", 100)
    tracker.apply_line(golden_node_list())
    return tracker


def golden_roll(phase: rolling_upgrade.Phase) -> StoredRoll:
    """A roll's state in some phase, with one gateway in each place."""
    ones = [
        rolling_upgrade.GatewayState(
            place,
            4_000 + number,
            START_US + number,
            2,
            AnswerCounts(900, 30, 4),
            3_000 + number,
            True,
            "done",
            True,
        )
        for number, place in enumerate(rolling_upgrade.GatewayPhase)
    ]
    state = rolling_upgrade.RollState(
        ones, phase, START_US + 99, True, 4, [3, 1, 2], "gateway-2: it serves less"
    )
    names = [f"gateway-{number}" for number in range(len(ones))]
    return StoredRoll(
        names, ("orchidlane-old serve", "orchidlane-new serve"), [1.5, 2.5, 3.5, 0.5, 9.0], state
    )


def golden_limits_carried() -> dict[str, Any]:
    """What a successor is told of takes, tokens and reservations, beside the tables' rows."""
    return {
        "life": START_US - 1_000_000,
        "numbers": START_US - 999_000,
        "sure_from": START_US - 500_000,
        "credits": [[7, 2.5, START_US + 60_000_000]],
        "answered": [[1, 55, b"an answer told before"]],
    }


def golden_rows() -> dict[str, list[Any]]:
    """Rows of each table that a successor is told of."""
    ends = [outcome.value for outcome in GrantOutcome]
    return {
        "accounts": [
            [
                *(
                    7,
                    [2, 1, 3],
                    24.5,
                    START_US - 40,
                    [[0, 15_900, 3.25], [2, 15_950, 4.5]],
                    7.75,
                    9.25,
                    [2, 0],
                ),
                *(False, 2, [START_US - 9, START_US - 5], START_US - 3, 5.5, 1.5, True),
            ]
        ],
        "tokens": [[b"token-1", 1, 55, START_US + 5_000_000, True, 2.5]],
        "grants": [
            [b"grant-%d" % number, 7, 2.5, START_US + 6_000_000, True, end]
            for number, end in enumerate(["", *ends])
        ],
    }


def golden_peers() -> list[Any]:
    """What came of each peer: rank, incarnation, latest number, which of those before it came."""
    return [[1, START_US - 70, 900, bytes(range(128))], [2, START_US - 60, 800, bytes(range(127, -1, -1))]]


def golden_restart_messages() -> dict[str, Any]:
    """One of each message of a hot restart; every field is other than its default."""
    told = restart_messages
    return {
        "hello": told.Hello(1, BUILD, "gateway-1", 1, 3, PLAN_NAMES),
        "warm": told.Ready(),
        "started": told.Started(),
        "pulse": told.Heartbeat(900, 30, 4, 5_000, 6_000),
        "unfit": told.Failure("its settings are another fleet's"),
        "taken": told.UnitsReply(55, True),
        "heard": told.PeerReply(2, b"\x01an answer"),
        "count": told.CustomerCount(7, 2, 1, 3, 15_900, 3.25),
        "reading": told.ReadStarted(81),
        "began": told.RequestStarted(82),
        "answering": told.ResponseStarted(83),
        "idle": told.ConnectionIdle(84, True, b"GET / HT", (3, b"client", False)),
        "opened": told.ConnectionOpened(85, "resp"),
        "ended": told.ConnectionClosed(86),
        "took": told.ConnectionAdopted(87, True),
        "returned": told.ServingStopped(),
        "offer": told.Offer(BUILD, START_US, START_US - 1_000_000, 4, ("http", "resp", "peers")),
        "place": told.InheritedSocket("http"),
        "rows of accounts": told.TableRows("accounts", golden_rows()["accounts"], [8, 9]),
        "rows of tokens": told.TableRows("tokens", golden_rows()["tokens"], [b"token-2"]),
        "rows of grants": told.TableRows("grants", golden_rows()["grants"], [b"grant-9"]),
        "whole": told.CopyComplete(),
        "final": told.FinalState(
            msgspec.structs.replace(golden_state(), accounts=[]),
            golden_limits_carried(),
            msgspec.to_builtins(golden_tracker().export_state()),
            golden_peers(),
            5_000,
            6_000,
            CLASS_NAMES,
        ),
        "connection": told.ConnectionHandover(
            88, "resp", b"*1\r\n", START_US - 30, START_US - 20, (3, b"client", False)
        ),
        "take": told.UnitsRequest(56, 7, 2, 1, 2.5, 1, 3),
        "tell": told.SendDatagram(2, b"\x02a datagram's body"),
        "granted": told.GrantRecorded(b"grant-1", 7, 2.5, 60_000_000),
        "abort": told.Abort("it does not read"),
        "recall": told.Reclaim("it serves less"),
        "release": told.Release(),
        "ask": told.StatusRequest(),
        "status": told.Status("trial", BUILD, 4_001, "done", 900, 30, 4),
    }


def golden_limit_messages() -> dict[str, Any]:
    """One of each message of the limits between gateways."""
    return {
        "question": token_messages.TokenQuery(55, 1, b"token-1", 7, 66, 2.5),
        "reply": token_messages.TokenReply(55, 2, 1, 2.5, "done before"),
    }


def golden_module_row() -> module_messages.CustomerRow:
    """What one gateway's module tells another of one customer."""
    return module_messages.CustomerRow(7, 2, 1, 3, 2, 15.25, 9.25, 1.5, ((1, 15_900, 3.25), (2, 15_950, 4.5)))


def golden_parts(letter: str) -> version.ContentHashes:
    """The names of a version's contents."""
    return version.ContentHashes(*(digit + 63 * letter for digit in "0123"))


def golden_version(number: int) -> version.Version:
    """A version with all its fields."""
    return version.Version(
        number=number,
        contents=golden_parts("a"),
        base=number - 1,
        author="an author",
        reason="a reason",
        reverts=number - 2,
        proposal_id=f"proposal-{number}",
        followed_by=(golden_parts("b"), golden_parts("c")),
    )


def golden_seats() -> tuple[version.VotingMember, ...]:
    """Three voters."""
    return tuple(version.VotingMember(rank, 9_000_000_000 + rank) for rank in range(3))


def golden_certificate(number: int) -> version.Certificate:
    """What proves that all three voters approved a version."""
    approved, seats = golden_version(number), golden_seats()
    votes = tuple(version.cast_vote(SECRET, seat, approved, 5, True, "it fits") for seat in seats)
    return version.Certificate(approved, 5, seats, votes)


def golden_ledger() -> fleet_ledger.ReplicatedState:
    """A ledger with a change that is asked about, one that it takes back, and a history."""
    asked = fleet_ledger.Rollout(
        golden_version(23), 6, fleet_ledger.RolloutPhase.VOTING, None, b"", "a pause"
    )
    halted = fleet_ledger.Rollout(
        golden_version(22),
        5,
        fleet_ledger.RolloutPhase.ADOPTING,
        golden_certificate(22),
        fleet_ledger.encode_ranks([0, 2, 9], 12),
        "stopped by hand",
    )
    return fleet_ledger.ReplicatedState(
        index=40,
        members=golden_seats(),
        current=golden_certificate(21),
        term=6,
        leader=2,
        previous_members=golden_seats()[:2],
        rollout=asked,
        halted_rollout=halted,
        latest_number=23,
        history=tuple(
            fleet_ledger.HistoryEntry(golden_version(number), state, "why it ended so")
            for number, state in ((18, "done"), (19, "refused"), (20, "undone"))
        ),
    )


def golden_voter_file() -> storage.VoterFile:
    """A voter's disk."""
    kept = VoterKept(
        store_id=9_000_000_001,
        promised=(8, 2, 9_000_000_002),
        accepted=(7, 1, 9_000_000_001),
        accepted_hash=version.content_hash(fleet_ledger.encode(golden_ledger())),
        vote_count=33,
        seen_vote_counts={0: (9_000_000_000, 31), 2: (9_000_000_002, 32)},
        latest_vote=(
            6,
            23,
            version.cast_vote(SECRET, golden_seats()[1], golden_version(23), 6, False, "a rule is broken"),
        ),
    )
    ledger = fleet_ledger.encode(golden_ledger())
    return storage.VoterFile(kept, ledger, ledger[::-1])


def golden_running_file() -> storage.RunningFile:
    """The version that a gateway runs, with its latest ledger."""
    contents = tuple(golden_parts("a").hashes())
    return storage.RunningFile(fleet_ledger.encode(golden_ledger()), golden_certificate(21), contents)


def golden_version_messages() -> dict[str, Any]:
    """One of each message between gateways on the fleet's versions; every field is other than its default."""
    told, name, ballot = version_messages, version.content_hash(b"a ledger"), (8, 2, 9_000_000_002)
    return {
        "ask": told.GossipRequest(555, 40),
        "told": told.GossipResponse(555, 40, name, 1_200, True),
        "hint": told.NewStateHint(41),
        "report": told.AdoptionReport(21, 22, 900, "its contents did not come"),
        "noted": told.AdoptionReportAck(21, 22),
        "prepare": told.Prepare(ballot, 33),
        "promise": told.Promise(ballot, (7, 1, 9_000_000_001), name, 9_000_000_000, 31),
        "nack": told.Nack(ballot, (9, 0, 9_000_000_000)),
        "accept": told.Accept(ballot, name, 34),
        "accepted": told.Accepted(ballot, 9_000_000_001, 35),
        "beat": told.Heartbeat(6, ballot, 77, 40, name),
        "beaten": told.HeartbeatAck(77, 9_000_000_001),
        "voted": told.VersionVote(6, 23, 9_000_000_001, True, bytes(range(16)), "it fits"),
        "waiting": told.AdmissionRequest(9_000_000_001, name, bytes(range(16, 32))),
        "mark ask": told.VoteCountRequest(9_000_000_001),
        "mark told": told.VoteCountResponse(9_000_000_001, 33, True),
    }


def golden_order() -> admin_messages.CommandRequest:
    """A command at the admin address."""
    then = (golden_parts("b"),)
    return admin_messages.CommandRequest(
        "order-1", "propose", 21, "an author", "a reason", golden_parts("a"), 20, then, is_forwarded=True
    )


def golden_status() -> admin_messages.RolloutStatus:
    """How the fleet's versions stand, as the gateway that leads tells it."""
    ledger = golden_ledger()
    assert ledger.rollout is not None and ledger.halted_rollout is not None
    return admin_messages.RolloutStatus(
        gateway=2,
        is_leader=True,
        term=6,
        leader=2,
        confirmed_us_ago=1_200,
        rejection_reason="no quorum for a lease",
        running_version="21:0123456789ab",
        index=40,
        current_version=ledger.current.version,
        rollout_version=ledger.rollout.version,
        phase="asked",
        pause_reason="a pause",
        halted_version=ledger.halted_rollout.version,
        history=ledger.history,
        member_ranks=(0, 1, 2),
        votes={0: "yes", 1: "a rule is broken"},
        gateways=(
            admin_messages.GatewayStatus(0),
            admin_messages.GatewayStatus(1, 21, 22, "its contents did not come", 700, 9_000),
        ),
    )


def golden_tallies() -> dict[str, canary_analysis.AnswerCounts]:
    """What a gateway answered, by class and plan."""
    counts = canary_analysis.AnswerCounts
    return {"safe plain": counts(900, 30, 4, 5, 6, 7), "unsafe capped": counts(80, 3, 2, 1, 9, 8)}


def golden_outcome() -> admin_messages.CommandOutcome:
    """What became of a command."""
    return admin_messages.CommandOutcome(True, "known already as version 21", True)


# How the program writes them


def as_hex(encoded: dict[Any, bytes]) -> bytes:
    """Several small examples as one file: a name for each, and its bytes in hexadecimal."""
    return (json.dumps({name: data.hex() for name, data in encoded.items()}, indent=1) + "\n").encode()


def write_state() -> bytes:
    """The state of the golden module."""
    return msgspec.msgpack.encode(recording.dump_state(golden_module()))


def write_record() -> bytes:
    """A segment with its accounts in two pages, each event, all actions with the first, and an answer."""
    rows = [account_to_row(account) for account in golden_accounts()]
    parts = [
        recording.pack_header(golden_header()),
        recording.pack_account_page(START_US + 1, rows[:1], last=False),
    ]
    for number, event in enumerate(golden_events()):
        parts.append(recording.pack_entry(START_US + 2 + number, event, [] if number else golden_actions()))
    parts.append(recording.pack_account_page(START_US + 90, rows[1:], last=True))
    parts.append(segments.pack_response(START_US + 91, 1, 429, "refused", 6_000))
    return b"".join(parts)


NO_ACCOUNTS: dict[str, list[Any]] = {
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


def account_store(disk: Disk) -> AccountStore:
    """The account store of a gateway whose module holds the golden accounts, or none where they are read."""
    gateway = recording.restore_gateway(
        SETTINGS, msgspec.structs.replace(golden_state(), accounts=[], **NO_ACCOUNTS)
    )
    recording.track_accounts(gateway)
    about = {
        "now": START_US,
        "incarnation": START_US - 1_000_000,
        "sequence": 5_000,
        "generation": 4,
        "open": 2,
    }
    program = SimpleNamespace(
        loop=disk,
        host=SimpleNamespace(loop=disk, rules=gateway, settings=SETTINGS),
        fleet=SimpleNamespace(
            account_store=SimpleNamespace(write_interval_us=2_000_000),
            plans=dict.fromkeys(PLAN_NAMES),
            gateways=[],
        ),
        entry=SimpleNamespace(name="gateway-1"),
        incarnation=START_US - 1_000_000,
        state_names=lambda: (CLASS_NAMES, PLAN_NAMES),
        describe_state=lambda: about,
        superseded=False,
        stopping=False,
        log=SimpleNamespace(error=lambda what, **why: pytest.fail(f"{what}: {why}")),
    )
    return AccountStore(program, "accounts")  # type: ignore[arg-type]


def write_account_store() -> bytes:
    """As the program writes its accounts down at its end."""
    disk = Disk()
    store = account_store(disk)
    store.gateway.host.rules.accounts.update({one.customer: one for one in golden_accounts()})
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(recording, "build_name", lambda: BUILD)
        store.save_final()
    return disk.files["accounts"]


def rolling_of(disk: Disk) -> RollDriver:
    """What carries out a roll of the golden gateways."""
    gateways = [SimpleNamespace(name=name) for name in golden_roll(rolling_upgrade.Phase.ROLLING).names]
    fleet = SimpleNamespace(state_directory="state", gateways=gateways)
    return RollDriver(disk, fleet, None, print)  # type: ignore[arg-type]


def write_roll(phase: rolling_upgrade.Phase) -> bytes:
    """As a roll writes its state down."""
    disk = Disk()
    written = rolling_of(disk)
    written.stored = golden_roll(phase)
    written._store()
    return disk.files["state/roll.json"]


def write_version_file(kind: str) -> bytes:
    """As a gateway writes its voter's file or the one of the version that runs."""
    disk = Disk()
    kept = storage.RolloutStorage(disk, "gateway-1")  # type: ignore[arg-type]
    if kind == "voter":
        kept.write_voter(golden_voter_file())
    else:
        kept.write_running(golden_running_file())
    return disk.files[f"gateway-1.{kind}"]


def write_module_message() -> bytes:
    """As the module tells its peers."""
    sent = START_US // 1000
    return module_messages.encode_message(
        sent, True, True, [module_messages.encode_row(golden_module_row(), sent, 3)]
    )


def write_datagrams() -> dict[str, bytes]:
    """One sealed datagram of each kind."""
    kinds = {
        "module": datagrams.DatagramKind.POLICY,
        "limits": datagrams.DatagramKind.LIMITS,
        "versions": datagrams.DatagramKind.ROLLOUT,
    }
    return {
        name: datagrams.encode_datagram(SECRET, 1, 2, START_US - 5, 900 + kind, b"a body", kind)
        for name, kind in kinds.items()
    }


def write_messages(messages: dict[str, Any], encode: Callable[[Any], bytes]) -> bytes:
    """Each of some messages."""
    return as_hex({name: encode(message) for name, message in messages.items()})


PACK = msgspec.msgpack.encode
WRITERS: dict[str, Callable[[], bytes]] = {  # file -> what the program writes today
    "module-state.msgpack": write_state,
    "traffic-record.olr": write_record,
    "account-store.olr": write_account_store,
    "view.msgpack": lambda: PACK(golden_view()),
    "node-list-cache.json": lambda: golden_tracker().encode_cache(),
    "roll-states.json": lambda: as_hex({phase.value: write_roll(phase) for phase in rolling_upgrade.Phase}),
    "hot-restart-messages.json": lambda: write_messages(golden_restart_messages(), restart_messages.encode),
    "limit-messages.json": lambda: write_messages(golden_limit_messages(), PACK),
    "module-message.bin": write_module_message,
    "datagrams.json": lambda: as_hex(write_datagrams()),
    "ledger.msgpack": lambda: fleet_ledger.encode(golden_ledger()),
    "ledger-name.txt": lambda: version.content_hash(fleet_ledger.encode(golden_ledger())).encode(),
    "content-name.txt": lambda: golden_parts("a").combined_hash.encode(),
    "voter-file.bin": lambda: write_version_file("voter"),
    "running-file.bin": lambda: write_version_file("running"),
    "version-messages.json": lambda: write_messages(golden_version_messages(), version_messages.encode),
    "admin-order.msgpack": lambda: PACK(golden_order()),
    "admin-outcome.msgpack": lambda: PACK(golden_outcome()),
    "admin-status.msgpack": lambda: PACK(golden_status()),
    "admin-status.json": lambda: msgspec.json.encode(golden_status()),
    "admin-history.json": lambda: msgspec.json.encode(golden_status().history),
    "admin-counts.msgpack": lambda: PACK(golden_tallies()),
}


def golden(name: str) -> bytes:
    """The golden bytes of a form."""
    return (GOLDEN / name).read_bytes()


def golden_examples(name: str) -> dict[str, bytes]:
    """The golden bytes of a file with several examples."""
    return {label: bytes.fromhex(data) for label, data in json.loads(golden(name)).items()}


def read_restart_message(name: str) -> Any:
    """A golden message of a hot restart, as the other side reads it."""
    parser = restart_messages.Parser()
    parser.receive(golden_examples("hot-restart-messages.json")[name])
    message = parser.next_message()
    assert parser.next_message() is None, "bytes that belong to no message"
    return message


def write_missing() -> None:
    """Write the golden files that are not there yet, where ``GOLDEN_WRITE=1`` asks for it."""
    if os.environ.get("GOLDEN_WRITE") != "1":
        return
    for name, write in WRITERS.items():
        path = GOLDEN / name
        if not path.exists():
            path.write_bytes(first_state() if name == "module-state.msgpack" else write())


def first_state() -> bytes:
    """A state to begin with: that of a module that lived through random events, all of its fields filled."""
    from test_record import Story

    story = Story(20)
    for _ in range(38):
        story.step()
    gateway = story.bench.gateway
    customers = list(gateway.accounts)
    gateway.pending_deltas = {1: {customers[0]: 1}, 2: {customers[1]: 2}}
    gateway.exhausted_customers = dict.fromkeys(gateway.exhausted_customers, 2)
    return msgspec.msgpack.encode(recording.dump_state(gateway))


write_missing()


def has_default(message: msgspec.Struct) -> list[str]:
    """The fields of a message that have their default."""
    found = []
    for field in msgspec.structs.fields(message):
        made = field.default if field.default_factory is msgspec.NODEFAULT else field.default_factory()
        if getattr(message, field.name) == made:
            found.append(field.name)
    return found


# The files


def test_every_golden_file_has_its_form_and_every_form_its_file():
    assert {path.name for path in GOLDEN.iterdir()} == set(WRITERS)


@pytest.mark.parametrize("name", WRITERS)
def test_the_same_bytes_are_written_from_the_same_values(name):
    assert WRITERS[name]() == golden(name)


# States, records, accounts


def test_the_golden_state_fills_every_field_of_a_state():
    state = golden_state()
    assert [name for name in state.__struct_fields__ if not getattr(state, name)] == []


def test_a_golden_state_makes_a_module_that_is_told_in_the_same_bytes():
    module = golden_module()
    assert msgspec.msgpack.encode(recording.dump_state(module)) == golden("module-state.msgpack")
    assert module.accounts and module.endpoints and module.requests and module.attempts


def test_every_value_of_the_golden_state_stands_where_the_module_looks_for_it():
    module, state = golden_module(), golden_state()
    assert [module.now, module.allowance_refilled_at_us, module.started_at_us] == [
        1_000_549_025,
        1_000_470_794,
        START_US,
    ]
    assert [module.last_attempt_at_us, module.retry_budget] == [1_000_412_080, 2.4499999999999984]
    assert [module.unreachable_share, module.message_allowance] == [0.14782969, 39.0]
    assert module.usual_duration_us == [125_000.0, 125_000.0, 125_000.0, 125_000.0, 122_750.0]
    server, other = (b"\n\x00\x00%c\x00P" % number for number in (2, 4))
    host = module.endpoints[server]
    assert host.entry == policy.EndpointEntry(server, policy.EndpointState.READY, 0, 0, 0, 1.0)
    assert [host.updated_at_us, host.slowness, host.failure_score] == [1_000_184_111, 1.0, 0.0]
    assert [host.in_flight, host.last_active_at_us, host.baseline_load] == [3, 1_000_135_937, 2.0]
    host = module.endpoints[other]
    assert [host.updated_at_us, host.slowness, host.failure_score] == [1_000_378_452, 0.91, 1.942900986755272]
    assert module.zone_health[0].failure_score == 4.747282621307491
    assert [[one.in_flight for one in pool.endpoints] for pool in (module.warm_pool, module.cold_pool)] == [
        [0, 1, 3],
        [0],
    ]
    assert [
        len(pool.endpoints) for pool in (module.cell_pools[0], module.zone_pools[0], module.warm_pool)
    ] == [4, 4, 3]
    assert [host.entry.started_at_us for host in module.warming_queue] == [1_000_518_714]
    request = module.requests[1]
    assert request.event == policy.RequestArrived(1, 5, 0, 2, 1.0, 2_000_000, 0, 3, False)
    assert [request.deadline_at_us, request.sampled_value] == [1_002_009_909, 0.1723255663561437]
    assert request.account is module.accounts[5]
    first, second = request.attempts
    assert [first.sent_at_us, first.load, first.in_flight, first.possibly_executed] == [
        1_000_009_909,
        2.0,
        False,
        False,
    ]
    assert [second.sent_at_us, second.load, second.in_flight, second.possibly_executed] == [
        1_000_412_080,
        4.0,
        True,
        True,
    ]
    assert module.attempts[1, 1] == (second, request)
    attempt, ended = module.attempts[2, 2]
    assert [attempt.sent_at_us, attempt.load, ended.deadline_at_us] == [1_000_378_452, 3.0, 1_002_052_372]
    assert attempt.endpoint is module.endpoints[server] and ended.account is module.accounts[2]
    assert list(module.idle_queue) == state.idle_queue == [1, 4, 5, 0, 2]
    assert list(module.pending_changes) == [1, 0] and module.exhausted_customers == {2: 2}
    assert module.last_seen_at_us == {1: 1_000_413_638} and module.pending_deltas == {1: {5: 1}, 2: {2: 2}}
    assert list(module.awaited_replies) == [(1_000_470_794, 2, 5, 0)]


def test_a_snapshot_of_the_golden_module_holds_the_golden_state():
    module = golden_module()
    recording.track_accounts(module)
    snapshot = recording.Snapshot(module)
    rows = [row for page in snapshot.pages() for row in page]
    state = golden_state()
    told = msgspec.msgpack.decode(msgspec.msgpack.encode((snapshot.state, rows)))
    head = msgspec.structs.replace(state, accounts=[])
    assert told[0] == msgspec.msgpack.decode(msgspec.msgpack.encode(head))
    assert sorted(told[1]) == sorted(msgspec.to_builtins(state.accounts))


def test_the_golden_record_has_every_event_action_and_enumerated_value():
    events, actions = golden_events(), golden_actions()
    assert (
        {type(event) for event in events}
        == set(get_args(policy.Event))
        == set(recording.EVENT_TYPES.values())
    )
    assert (
        {type(action) for action in actions}
        == set(get_args(policy.Action))
        == set(recording.ACTION_TYPES.values())
    )
    for kind in (policy.AttemptEnded, policy.HealthCheckEnded, policy.CounterAnswered):
        assert {one.outcome for one in events if type(one) is kind} == set(policy.Outcome)
    listed = [event for event in events if isinstance(event, policy.EndpointListReceived)]
    assert {event.kind for event in listed} == set(policy.EndpointListKind)
    assert {entry.state for event in listed for entry in event.entries} == set(policy.EndpointState)


def test_a_golden_record_is_read_as_its_values():
    reader = recording.SegmentReader("golden", golden("traffic-record.olr"))
    assert reader.header == golden_header()
    assert reader.header.policy_settings() == SETTINGS
    assert [recording.account_from_row(row) for row in reader.read_state().accounts] == golden_accounts()
    *entries, answer = reader.entries()
    assert reader.damage is None
    assert [entry.event for entry in entries] == golden_events()
    assert [entry.at_us for entry in entries] == [START_US + 2 + number for number in range(len(entries))]
    assert entries[0].actions == golden_actions()
    assert (answer.at_us, answer.event, answer.response) == (START_US + 91, None, (1, 429, "refused", 6_000))


def test_a_golden_account_store_brings_back_its_accounts():
    reader = recording.SegmentReader("golden", golden("account-store.olr"))
    rows = {row[0]: row for row in reader.read_state().accounts}
    assert [recording.account_from_row(rows[one.customer]) for one in golden_accounts()] == golden_accounts()
    store = account_store(Disk(accounts=golden("account-store.olr")))
    assert store.load() == len(golden_accounts())
    accounts = store.gateway.host.rules.accounts
    for one in golden_accounts():
        found = accounts[one.customer]
        assert (found.key, found.spent_total, found.counted_total) == (
            one.key,
            one.spent_total,
            one.counted_total,
        )
        assert (found.limit, found.refilled_at_us) == (max(one.limit, one.spent_total), START_US)


def test_a_golden_view_is_read_as_its_values():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(recording, "build_name", lambda: BUILD)
        assert policy_views.read_view(golden("view.msgpack")) == golden_view()


# Nodes and rolls


def test_a_golden_cache_of_the_node_list_is_read_as_its_nodes():
    tracker = endpoint_list.EndpointListTracker("z1", 100)
    assert tracker.load_cache(golden("node-list-cache.json")) == policy.EndpointListReceived(
        policy.EndpointListKind.CACHED,
        0,
        (
            policy.EndpointEntry(b"10.0.0.1:80", policy.EndpointState.READY, 0, 1, 55, 1.5),
            policy.EndpointEntry(b"10.0.0.2:80", policy.EndpointState.DRAINING, 2, 3, 66, 2.0),
        ),
    )
    assert tracker.endpoints == golden_tracker().endpoints


def test_a_golden_roll_is_read_in_every_phase():
    examples = golden_examples("roll-states.json")
    assert set(examples) == {phase.value for phase in rolling_upgrade.Phase}
    for name, data in examples.items():
        kept = rolling_of(Disk(**{"state/roll.json": data})).load_stored()
        assert kept == golden_roll(rolling_upgrade.Phase(name))
        assert {one.phase for one in kept.state.gateways} == set(rolling_upgrade.GatewayPhase)


# Hot restart


def test_golden_examples_cover_every_message_of_a_hot_restart():
    messages = golden_restart_messages()
    assert {type(one) for one in messages.values()} == set(get_args(restart_messages.AnyMessage))
    assert set(golden_examples("hot-restart-messages.json")) == set(messages)
    assert {name: has_default(one) for name, one in messages.items() if has_default(one)} == {}


@pytest.mark.parametrize("name", golden_restart_messages())
def test_a_golden_message_of_a_hot_restart_is_read_as_its_values(name):
    assert read_restart_message(name) == golden_restart_messages()[name]


def test_rows_of_every_table_are_taken_and_told_again():
    accounts = read_restart_message("rows of accounts").rows
    assert [recording.account_from_row(row) for row in accounts] == golden_accounts()[:1]
    assert PACK([account_to_row(recording.account_from_row(row)) for row in accounts]) == PACK(accounts)
    holder, grants = TokenOwner(1, 10, START_US), GrantStore(100, 1, 1)
    for kept, name in ((holder, "rows of tokens"), (grants, "rows of grants")):
        rows = read_restart_message(name).rows
        for row in rows:
            kept.load(row)
        assert PACK([kept.row(row[0]) for row in rows]) == PACK(rows)


def test_what_the_last_message_before_a_successor_serves_carries_is_taken_and_told_again():
    final = read_restart_message("final")
    quotas = SimpleNamespace(
        token_lifetime_us=1, max_tokens=10, max_grants=10, grant_lifetime_us=1, credit_lifetime_us=1
    )
    fleet = SimpleNamespace(quotas=quotas, gateways=[None] * 3)
    service = token_requests.LimitService(Disk(), fleet, 0, None, print)  # type: ignore[arg-type]
    service.load_state(final.limits)
    again = {**final.limits, "numbers": final.limits["numbers"] + query_exchange.QUERY_IDS_PER_PROCESS}
    assert PACK(service.dump_state()) == PACK(again)
    inbox = datagrams.Inbox(SECRET, 0, 3, START_US, 9.0)
    inbox.load_peer_rows(final.peers)
    assert PACK(inbox.peer_rows()) == PACK(final.peers)
    tracker = endpoint_list.EndpointListTracker("z1", 100)
    tracker.import_state(final.endpoints)
    assert PACK(tracker.export_state()) == PACK(final.endpoints) == PACK(golden_tracker().export_state())
    head = msgspec.structs.replace(golden_state(), accounts=[])
    assert final.policy_state == head


# Between gateways


def test_golden_messages_of_the_limits_are_read_as_their_values():
    here = [
        one
        for one in vars(token_messages).values()
        if getattr(one, "__module__", "") == token_messages.__name__
    ]
    structs = {one for one in here if isinstance(one, type) and issubclass(one, msgspec.Struct)}
    assert {type(one) for one in golden_limit_messages().values()} == structs
    for name, message in golden_limit_messages().items():
        assert has_default(message) == []
        data = golden_examples("limit-messages.json")[name]
        assert (
            msgspec.msgpack.decode(data, type=token_messages.TokenQuery | token_messages.TokenReply)
            == message
        )


def test_a_golden_message_of_the_module_is_read_as_its_values():
    found = module_messages.decode_message(golden("module-message.bin"), START_US // 1000, 3, len(PLAN_NAMES))
    assert found == module_messages.GossipMessage(START_US // 1000, True, True, (golden_module_row(),))


def test_golden_datagrams_of_every_kind_are_taken():
    for number, data in enumerate(golden_examples("datagrams.json").values()):
        inbox = datagrams.Inbox(SECRET, 2, 3, START_US, 9.0, 9.0, 9.0)
        assert inbox.accept(START_US, data) == (number, 1, b"a body")


# Fleet versions


def test_golden_examples_cover_every_message_on_fleet_versions():
    messages = golden_version_messages()
    assert {type(one) for one in messages.values()} == set(get_args(version_messages.Message))
    assert set(golden_examples("version-messages.json")) == set(messages)
    assert {name: has_default(one) for name, one in messages.items() if has_default(one)} == {}


@pytest.mark.parametrize("name", golden_version_messages())
def test_a_golden_message_on_fleet_versions_is_read_as_its_values(name):
    data = golden_examples("version-messages.json")[name]
    assert version_messages.decode(data) == golden_version_messages()[name]


def test_the_golden_ledger_is_read_as_its_values_under_its_name():
    data = golden("ledger.msgpack")
    assert fleet_ledger.decode(data) == golden_ledger()
    assert version.content_hash(data).encode() == golden("ledger-name.txt")


def test_the_golden_ledger_has_changes_in_every_stage_and_fills_every_field():
    ledger = golden_ledger()
    assert ledger.rollout is not None and ledger.halted_rollout is not None
    assert {ledger.rollout.phase, ledger.halted_rollout.phase} == set(fleet_ledger.RolloutPhase)
    filled = (
        ledger,
        ledger.halted_rollout,
        ledger.current,
        *ledger.history,
        ledger.current.version,
        golden_parts("a"),
    )
    assert {type(one).__name__: has_default(one) for one in filled if has_default(one)} == {}


def test_golden_certificates_are_sealed_for_their_versions():
    ledger = fleet_ledger.decode(golden("ledger.msgpack"))
    assert ledger.halted_rollout is not None and ledger.halted_rollout.certificate is not None
    for certificate in (ledger.current, ledger.halted_rollout.certificate):
        assert version.certificate_error(SECRET, certificate) == ""


def test_golden_files_of_the_voter_and_of_what_runs_are_read_as_their_values():
    voter, running = golden("voter-file.bin"), golden("running-file.bin")
    kept = storage.RolloutStorage(
        Disk(**{"gateway-1.voter": voter, "gateway-1.running": running}), "gateway-1"
    )  # type: ignore[arg-type]
    assert kept.read_voter() == golden_voter_file()
    assert kept.read_running() == golden_running_file()
    assert list(kept.contents) == golden_parts("a").hashes()
    for file in (golden_voter_file(), golden_voter_file().voter_state, golden_running_file()):
        assert has_default(file) == []


def test_golden_bodies_of_the_admin_address_are_read_as_their_values():
    read = msgspec.msgpack.decode
    assert read(golden("admin-order.msgpack"), type=admin_messages.CommandRequest) == golden_order()
    assert read(golden("admin-outcome.msgpack"), type=admin_messages.CommandOutcome) == golden_outcome()
    assert read(golden("admin-status.msgpack"), type=admin_messages.RolloutStatus) == golden_status()
    assert (
        read(golden("admin-counts.msgpack"), type=dict[str, canary_analysis.AnswerCounts]) == golden_tallies()
    )
    for body in (golden_order(), golden_outcome(), golden_status().gateways[1]):
        assert has_default(body) == []


def test_what_tools_print_of_fleet_versions_names_every_field_as_before():
    assert (
        msgspec.json.decode(golden("admin-status.json"), type=admin_messages.RolloutStatus) == golden_status()
    )
    history = msgspec.json.decode(golden("admin-history.json"), type=tuple[fleet_ledger.HistoryEntry, ...])
    assert history == golden_status().history
