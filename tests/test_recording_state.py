"""State dumps, restored policies, snapshots, and the stored form of events and actions."""

from __future__ import annotations

import msgspec
import pytest
from harness.policy_harness import PolicyHarness
from harness.recording_harness import PolicyFuzzer
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidlane import policy, recording


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**32), st.integers(0, 150))
def test_a_policy_restored_at_any_time_decides_the_same(seed, steps_before):
    fuzzer = PolicyFuzzer(seed)
    for _ in range(steps_before):
        fuzzer.step()
    state = recording.dump_state(fuzzer.harness.gateway)
    packed = msgspec.msgpack.encode(state)
    restored = recording.restore_gateway(
        fuzzer.harness.settings, msgspec.msgpack.decode(packed, type=recording.StateDump)
    )
    first = len(fuzzer.log)
    for _ in range(100):
        fuzzer.step()
    assert msgspec.msgpack.encode(state) == packed  # a dumped state does not change with its gateway
    for now, event, actions in fuzzer.log[first:]:
        assert restored.handle(now, event) == actions
    assert recording.dump_state(restored) == recording.dump_state(fuzzer.harness.gateway)


@given(st.integers(0, 2**32))
def test_events_and_actions_survive_encoding(seed):
    fuzzer = PolicyFuzzer(seed)
    for _ in range(60):
        fuzzer.step()
    for _, event, actions in fuzzer.log:
        wire = msgspec.msgpack.decode(msgspec.msgpack.encode(recording.pack_event(event)))
        assert recording.unpack_event(wire) == event
        for action in actions:
            wire = msgspec.msgpack.decode(msgspec.msgpack.encode(recording.pack_action(action)))
            assert recording.unpack_action(wire) == action


def test_every_event_and_action_has_a_type_number():
    assert set(recording.EVENT_TYPES.values()) == set(policy.Event.__args__)
    assert set(recording.ACTION_TYPES.values()) == set(policy.Action.__args__)


@pytest.mark.parametrize("values", [[], [99, 1], [6, 1, 2], [4, 1], ["x"]])
def test_events_of_a_later_build_are_rejected(values):
    with pytest.raises(recording.FormatError):
        recording.unpack_event(values)


def test_a_state_of_another_format_or_with_dangling_references_is_rejected():
    harness = PolicyHarness()
    state = recording.dump_state(harness.gateway)
    with pytest.raises(recording.FormatError, match="format 9"):
        recording.restore_gateway(harness.settings, msgspec.structs.replace(state, format=9))
    with pytest.raises(recording.FormatError):
        recording.restore_gateway(harness.settings, msgspec.structs.replace(state, pools=[[99], []]))
    with pytest.raises(recording.FormatError):
        recording.restore_gateway(harness.settings, msgspec.structs.replace(state, scalars={}))


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 2**32), st.integers(0, 120), st.integers(1, 3))
def test_a_snapshot_is_the_state_of_its_moment_despite_later_events(seed, steps_before, page_size):
    fuzzer, snapshot_states = PolicyFuzzer(seed), []
    for _ in range(steps_before):
        fuzzer.step()
    gateway = fuzzer.harness.gateway
    recording.track_accounts(gateway)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("orchidlane.recording.snapshot.PAGE_ACCOUNTS", page_size)
        expected = msgspec.msgpack.encode(recording.dump_state(gateway))
        snapshots = recording.Snapshot(gateway), recording.Snapshot(gateway)  # two at once
        for snapshot in snapshots:
            rows = []
            for page_rows in snapshot.pages():
                assert len(page_rows) <= page_size
                rows += msgspec.msgpack.decode(msgspec.msgpack.encode(page_rows))
                for _ in range(4):
                    fuzzer.step()
            snapshot_states.append((snapshot.state, rows))
    state = msgspec.msgpack.decode(expected, type=recording.StateDump)
    for snapshot_state, rows in snapshot_states:
        snapshot_state = msgspec.msgpack.decode(
            msgspec.msgpack.encode(snapshot_state), type=recording.StateDump
        )
        assert sorted(rows) == sorted(state.accounts)
        assert msgspec.structs.replace(snapshot_state, accounts=[]) == msgspec.structs.replace(
            state, accounts=[]
        )
    assert type(gateway.accounts) is recording.ObservableAccounts  # accounts are no longer observed


def test_a_closed_snapshot_no_longer_observes_accounts():
    fuzzer = PolicyFuzzer(3)
    for _ in range(50):
        fuzzer.step()
    gateway = fuzzer.harness.gateway
    recording.track_accounts(gateway)
    snapshot = recording.Snapshot(gateway)
    assert type(gateway.accounts) is not recording.ObservableAccounts
    snapshot.close()
    assert type(gateway.accounts) is recording.ObservableAccounts
    assert list(snapshot.pages()) == []
