"""How the program writes the golden values today, and how files of new forms are written.

A form that is added gets its file by ``GOLDEN_WRITE=1 python -m pytest -n 0 tests/test_golden_stored.py``.
Files that are there are never replaced, and without the variable nothing is written: a file that is missing
is a failure. The variable is set by hand only, never in a test run that is to judge anything.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from harness.golden_gateways import (
    golden_limit_messages,
    golden_restart_messages,
    golden_roll,
    golden_tracker,
)
from harness.golden_policy import (
    BUILD,
    CLASS_NAMES,
    GOLDEN,
    NO_ACCOUNTS,
    PACK,
    PLAN_NAMES,
    SECRET,
    as_hex,
    golden_accounts,
    golden_actions,
    golden_events,
    golden_examples,
    golden_header,
    golden_module,
    golden_module_row,
    golden_state,
    golden_view,
)
from harness.golden_rollouts import (
    golden_ledger,
    golden_order,
    golden_outcome,
    golden_parts,
    golden_running_file,
    golden_status,
    golden_tallies,
    golden_version_messages,
    golden_voter_file,
)
from harness.policy_harness import SETTINGS, START_US
from orchidlane import recording
from orchidlane.gateway.lifecycle.account_store import AccountStore
from orchidlane.gateway.lifecycle.rolling_upgrade import RollDriver
from orchidlane.gateway.peers import datagrams
from orchidlane.gateway.rollout_agent import storage
from orchidlane.gateway.telemetry.policy_host import PolicyNames
from orchidlane.hot_restart import messages as restart_messages
from orchidlane.hot_restart import rolling_upgrade
from orchidlane.policy import gossip_codec as module_messages
from orchidlane.recording import segments
from orchidlane.recording.state_dump import account_to_row
from orchidlane.rollout import messages as version_messages
from orchidlane.rollout import replicated_state as fleet_ledger
from orchidlane.rollout import version


class Disk:
    """A clock that stands still, and files in memory, for the parts of the program that keep files."""

    def __init__(self, **kept: bytes) -> None:
        self.files: dict[str, bytes] = kept
        self.backend = self

    def now(self) -> int:
        return START_US

    def call_at(self, *_: Any) -> None:
        """No file grows too old here."""

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        return work()

    def read_file(self, path: str) -> bytes | None:
        return self.files.get(path)

    def write_file(self, path: str, data: bytes) -> None:
        self.files[path] = data


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
        policy_driver=SimpleNamespace(loop=disk, gateway=gateway, settings=SETTINGS),
        fleet=SimpleNamespace(
            account_store=SimpleNamespace(write_interval_us=2_000_000),
            plans=dict.fromkeys(PLAN_NAMES),
            gateways=[],
        ),
        entry=SimpleNamespace(name="gateway-1"),
        incarnation=START_US - 1_000_000,
        state_names=lambda: PolicyNames(CLASS_NAMES, PLAN_NAMES),
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
    store.gateway.policy_driver.gateway.accounts.update({one.customer: one for one in golden_accounts()})
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
    from harness.event_story import EventStory

    story = EventStory(20)
    for _ in range(38):
        story.step()
    gateway = story.bench.gateway
    customers = list(gateway.accounts)
    gateway.pending_deltas = {1: {customers[0]: 1}, 2: {customers[1]: 2}}
    gateway.exhausted_customers = dict.fromkeys(gateway.exhausted_customers, 2)
    return msgspec.msgpack.encode(recording.dump_state(gateway))


write_missing()
