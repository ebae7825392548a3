"""Encodes the golden values with the current code, and writes the golden files of new formats.

A format that is added gets its file by ``GOLDEN_WRITE=1 python -m pytest -n 0 tests/test_golden_stored.py``.
Files that exist are never replaced, and without the variable nothing is written: a file that is missing
is a failure. The variable is set by hand only, never in a test run that checks anything.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from harness.golden_gateways import (
    golden_restart_messages,
    golden_roll,
    golden_token_messages,
    golden_tracker,
)
from harness.golden_policy import (
    BUILD,
    CLASS_NAMES,
    EMPTY_TABLES,
    GOLDEN_DIRECTORY,
    PLAN_NAMES,
    SECRET,
    encode_as_hex,
    golden_accounts,
    golden_actions,
    golden_customer_row,
    golden_events,
    golden_examples,
    golden_gateway,
    golden_header,
    golden_state,
    golden_view,
    pack,
)
from harness.golden_rollouts import (
    golden_command_outcome,
    golden_command_request,
    golden_contents,
    golden_replicated_state,
    golden_response_counts,
    golden_rollout_messages,
    golden_running_file,
    golden_status,
    golden_voter_file,
)
from harness.policy_harness import SETTINGS, START_US
from orchidlane import recording
from orchidlane.gateway.lifecycle.account_store import AccountStore
from orchidlane.gateway.lifecycle.rolling_upgrade import RollDriver
from orchidlane.gateway.peers import datagrams
from orchidlane.gateway.rollout_agent import storage
from orchidlane.gateway.telemetry.policy_source import PolicyNames
from orchidlane.hot_restart import messages as restart_messages
from orchidlane.hot_restart import rolling_upgrade
from orchidlane.policy import gossip_codec
from orchidlane.recording import segments
from orchidlane.recording.state_dump import account_to_row
from orchidlane.rollout import messages as rollout_messages
from orchidlane.rollout import replicated_state, version


class FakeEventLoop:
    """An event loop and backend with a fixed clock and files in memory."""

    def __init__(self, **files: bytes) -> None:
        self.files: dict[str, bytes] = files
        self.backend = self

    def now(self) -> int:
        """Return the fixed time of this clock."""
        return START_US

    def call_at(self, *_: Any) -> None:
        """Ignore timers: time doesn't pass."""

    def run_in_thread(self, work: Callable[[], Any]) -> Any:
        """Run the work in the calling thread."""
        return work()

    def read_file(self, path: str) -> bytes | None:
        """Return the content of a file, None where there is none."""
        return self.files.get(path)

    def write_file(self, path: str, data: bytes) -> None:
        """Replace the content of a file."""
        self.files[path] = data


def write_state() -> bytes:
    """Encode the state of the golden policy."""
    return msgspec.msgpack.encode(recording.dump_state(golden_gateway()))


def write_record() -> bytes:
    """Encode a segment: accounts in two pages, each event, all actions with the first, and a response."""
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


def account_store(loop: FakeEventLoop) -> AccountStore:
    """Return the account store of a gateway without accounts."""
    gateway = recording.restore_gateway(
        SETTINGS, msgspec.structs.replace(golden_state(), accounts=[], **EMPTY_TABLES)
    )
    recording.track_accounts(gateway)
    description = {
        "now": START_US,
        "incarnation": START_US - 1_000_000,
        "sequence": 5_000,
        "generation": 4,
        "open": 2,
    }
    process = SimpleNamespace(
        loop=loop,
        policy_driver=SimpleNamespace(loop=loop, gateway=gateway, settings=SETTINGS),
        fleet=SimpleNamespace(
            account_store=SimpleNamespace(write_interval_us=2_000_000),
            plans=dict.fromkeys(PLAN_NAMES),
            gateways=[],
        ),
        entry=SimpleNamespace(name="gateway-1"),
        incarnation=START_US - 1_000_000,
        state_names=lambda: PolicyNames(CLASS_NAMES, PLAN_NAMES),
        describe_state=lambda: description,
        superseded=False,
        stopping=False,
        log=SimpleNamespace(error=lambda event, **fields: pytest.fail(f"{event}: {fields}")),
    )
    return AccountStore(process, "accounts")  # type: ignore[arg-type]


def write_account_store() -> bytes:
    """Return the account store's file that a process writes when it exits."""
    loop = FakeEventLoop()
    store = account_store(loop)
    store.gateway.policy_driver.gateway.accounts.update(
        {account.customer: account for account in golden_accounts()}
    )
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(recording, "build_name", lambda: BUILD)
        store.save_final()
    return loop.files["accounts"]


def make_roll_driver(loop: FakeEventLoop) -> RollDriver:
    """Return the driver of a rolling upgrade of the golden gateways."""
    gateways = [SimpleNamespace(name=name) for name in golden_roll(rolling_upgrade.Phase.ROLLING).names]
    fleet = SimpleNamespace(state_directory="state", gateways=gateways)
    return RollDriver(loop, fleet, None, print)  # type: ignore[arg-type]


def write_roll(phase: rolling_upgrade.Phase) -> bytes:
    """Return the state file of a rolling upgrade in a phase."""
    loop = FakeEventLoop()
    driver = make_roll_driver(loop)
    driver.stored = golden_roll(phase)
    driver._store()
    return loop.files["state/roll.json"]


def write_rolls() -> bytes:
    """Return the state files of a rolling upgrade in each phase, as one file."""
    return encode_as_hex({phase.value: write_roll(phase) for phase in rolling_upgrade.Phase})


def write_rollout_file(kind: str) -> bytes:
    """Return a gateway's file of its voter, or of the version that it runs."""
    loop = FakeEventLoop()
    rollout_storage = storage.RolloutStorage(loop, "gateway-1")  # type: ignore[arg-type]
    if kind == "voter":
        rollout_storage.write_voter(golden_voter_file())
    else:
        rollout_storage.write_running(golden_running_file())
    return loop.files[f"gateway-1.{kind}"]


def write_replicated_state() -> bytes:
    """Encode the golden replicated state."""
    return replicated_state.encode(golden_replicated_state())


def write_replicated_state_hash() -> bytes:
    """Return the hash of the golden replicated state as text."""
    return version.content_hash(write_replicated_state()).encode()


def write_gossip_message() -> bytes:
    """Encode a gossip message."""
    sent_at_ms = START_US // 1000
    return gossip_codec.encode_message(
        sent_at_ms, True, True, [gossip_codec.encode_row(golden_customer_row(), sent_at_ms, 3)]
    )


def write_datagrams() -> dict[str, bytes]:
    """Encode one datagram of each kind."""
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
    """Encode messages as one file, by their names."""
    return encode_as_hex({name: encode(message) for name, message in messages.items()})


WRITERS: dict[str, Callable[[], bytes]] = {  # file name -> encoder of its content with the current code
    "module-state.msgpack": write_state,
    "traffic-record.olr": write_record,
    "account-store.olr": write_account_store,
    "view.msgpack": lambda: pack(golden_view()),
    "node-list-cache.json": lambda: golden_tracker().encode_cache(),
    "roll-states.json": write_rolls,
    "hot-restart-messages.json": lambda: write_messages(golden_restart_messages(), restart_messages.encode),
    "limit-messages.json": lambda: write_messages(golden_token_messages(), pack),
    "module-message.bin": write_gossip_message,
    "datagrams.json": lambda: encode_as_hex(write_datagrams()),
    "ledger.msgpack": write_replicated_state,
    "ledger-name.txt": write_replicated_state_hash,
    "content-name.txt": lambda: golden_contents("a").combined_hash.encode(),
    "voter-file.bin": lambda: write_rollout_file("voter"),
    "running-file.bin": lambda: write_rollout_file("running"),
    "version-messages.json": lambda: write_messages(golden_rollout_messages(), rollout_messages.encode),
    "admin-order.msgpack": lambda: pack(golden_command_request()),
    "admin-outcome.msgpack": lambda: pack(golden_command_outcome()),
    "admin-status.msgpack": lambda: pack(golden_status()),
    "admin-status.json": lambda: msgspec.json.encode(golden_status()),
    "admin-history.json": lambda: msgspec.json.encode(golden_status().history),
    "admin-counts.msgpack": lambda: pack(golden_response_counts()),
}


def read_restart_message(name: str) -> Any:
    """Return a golden message of a hot restart as the other process reads it."""
    parser = restart_messages.Parser()
    parser.receive(golden_examples("hot-restart-messages.json")[name])
    message = parser.next_message()
    assert parser.next_message() is None, "the file has bytes after its message"
    return message


def write_missing() -> None:
    """Write the golden files that do not exist, if the environment has ``GOLDEN_WRITE=1``."""
    if os.environ.get("GOLDEN_WRITE") != "1":
        return
    for name, write in WRITERS.items():
        path = GOLDEN_DIRECTORY / name
        if not path.exists():
            path.write_bytes(first_state() if name == "module-state.msgpack" else write())


def first_state() -> bytes:
    """Return the state of a policy after random events; none of its fields is empty."""
    from harness.recording_harness import PolicyFuzzer

    fuzzer = PolicyFuzzer(20)
    for _ in range(38):
        fuzzer.step()
    gateway = fuzzer.harness.gateway
    customers = list(gateway.accounts)
    gateway.pending_deltas = {1: {customers[0]: 1}, 2: {customers[1]: 2}}
    gateway.exhausted_customers = dict.fromkeys(gateway.exhausted_customers, 2)
    return msgspec.msgpack.encode(recording.dump_state(gateway))


write_missing()
