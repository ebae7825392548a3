"""The golden files and messages of rollouts are decoded to the expected values."""

from __future__ import annotations

from typing import get_args

import msgspec
import pytest
from harness.golden_policy import SECRET, fields_with_default, golden, golden_examples
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
from harness.golden_writers import FakeEventLoop

from orchidlane.gateway.rollout_agent import admin_messages, storage
from orchidlane.rollout import canary_analysis, replicated_state, version
from orchidlane.rollout import messages as rollout_messages


def test_golden_examples_cover_every_message_of_a_rollout():
    messages = golden_rollout_messages()
    assert {type(message) for message in messages.values()} == set(get_args(rollout_messages.Message))
    assert set(golden_examples("version-messages.json")) == set(messages)
    assert {
        name: fields_with_default(message)
        for name, message in messages.items()
        if fields_with_default(message)
    } == {}


@pytest.mark.parametrize("name", golden_rollout_messages())
def test_a_golden_message_of_a_rollout_is_decoded_to_its_values(name):
    data = golden_examples("version-messages.json")[name]
    assert rollout_messages.decode(data) == golden_rollout_messages()[name]


def test_the_golden_replicated_state_has_its_values_and_its_hash():
    data = golden("ledger.msgpack")
    assert replicated_state.decode(data) == golden_replicated_state()
    assert version.content_hash(data).encode() == golden("ledger-name.txt")


def test_the_golden_replicated_state_covers_every_phase_and_field():
    state = golden_replicated_state()
    assert state.rollout is not None
    assert state.halted_rollout is not None
    assert {state.rollout.phase, state.halted_rollout.phase} == set(replicated_state.RolloutPhase)
    structs = (
        state,
        state.halted_rollout,
        state.current,
        *state.history,
        state.current.version,
        golden_contents("a"),
    )
    assert {
        type(struct).__name__: fields_with_default(struct)
        for struct in structs
        if fields_with_default(struct)
    } == {}


def test_golden_certificates_are_valid_for_their_versions():
    state = replicated_state.decode(golden("ledger.msgpack"))
    assert state.halted_rollout is not None
    assert state.halted_rollout.certificate is not None
    for certificate in (state.current, state.halted_rollout.certificate):
        assert version.certificate_error(SECRET, certificate) == ""


def test_golden_voter_and_running_files_are_decoded_to_their_values():
    voter, running = golden("voter-file.bin"), golden("running-file.bin")
    rollout_storage = storage.RolloutStorage(
        FakeEventLoop(**{"gateway-1.voter": voter, "gateway-1.running": running}), "gateway-1"
    )  # type: ignore[arg-type]
    assert rollout_storage.read_voter() == golden_voter_file()
    assert rollout_storage.read_running() == golden_running_file()
    assert list(rollout_storage.contents) == golden_contents("a").hashes()
    for file in (golden_voter_file(), golden_voter_file().voter_state, golden_running_file()):
        assert fields_with_default(file) == []


def test_golden_bodies_of_the_admin_api_are_decoded_to_their_values():
    decode = msgspec.msgpack.decode
    assert (
        decode(golden("admin-order.msgpack"), type=admin_messages.CommandRequest) == golden_command_request()
    )
    assert (
        decode(golden("admin-outcome.msgpack"), type=admin_messages.CommandOutcome)
        == golden_command_outcome()
    )
    assert decode(golden("admin-status.msgpack"), type=admin_messages.RolloutStatus) == golden_status()
    assert (
        decode(golden("admin-counts.msgpack"), type=dict[str, canary_analysis.ResponseCounts])
        == golden_response_counts()
    )
    for body in (golden_command_request(), golden_command_outcome(), golden_status().gateways[1]):
        assert fields_with_default(body) == []


def test_json_output_of_rollouts_has_the_golden_field_names():
    assert (
        msgspec.json.decode(golden("admin-status.json"), type=admin_messages.RolloutStatus) == golden_status()
    )
    history = msgspec.json.decode(
        golden("admin-history.json"), type=tuple[replicated_state.HistoryEntry, ...]
    )
    assert history == golden_status().history
