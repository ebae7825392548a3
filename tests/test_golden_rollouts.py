"""Files and messages of fleet versions are read and written as the golden ones."""

from __future__ import annotations

from typing import get_args

import msgspec
import pytest
from harness.golden_policy import SECRET, golden, golden_examples, has_default
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
from harness.golden_writers import Disk

from orchidlane.gateway.rollout_agent import admin_messages, storage
from orchidlane.rollout import canary_analysis, version
from orchidlane.rollout import messages as version_messages
from orchidlane.rollout import replicated_state as fleet_ledger


def test_golden_examples_cover_every_message_of_a_rollout():
    messages = golden_version_messages()
    assert {type(one) for one in messages.values()} == set(get_args(version_messages.Message))
    assert set(golden_examples("version-messages.json")) == set(messages)
    assert {name: has_default(one) for name, one in messages.items() if has_default(one)} == {}


@pytest.mark.parametrize("name", golden_version_messages())
def test_a_golden_message_of_a_rollout_is_decoded_to_its_values(name):
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


def test_golden_certificates_are_signed_for_their_versions():
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
