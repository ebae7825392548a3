"""Stored formats are read and written byte for byte as in the files in ``corpus/golden``.

The files were written by an earlier build; a later build must read them and write the same bytes from the
same values, whatever its types and fields are called. Each format has one builder in
``harness/golden_policy``, ``golden_gateways`` or ``golden_rollouts``, which names every field that is not
plain data in one place.
"""

from __future__ import annotations

from typing import get_args

import msgspec
import pytest
from harness.golden_policy import (
    BUILD,
    GOLDEN_DIRECTORY,
    golden,
    golden_accounts,
    golden_actions,
    golden_events,
    golden_gateway,
    golden_header,
    golden_state,
    golden_view,
)
from harness.golden_writers import WRITERS, FakeEventLoop, account_store
from harness.policy_harness import SETTINGS, START_US

from orchidlane import policy, recording
from orchidlane.gateway.telemetry import policy_views
from orchidlane.policy.gateway import Gateway


@pytest.fixture
def gateway() -> Gateway:
    """Return the policy that is restored from the golden state."""
    return golden_gateway()


def test_every_golden_file_has_its_writer_and_every_writer_its_file():
    assert {path.name for path in GOLDEN_DIRECTORY.iterdir()} == set(WRITERS)


@pytest.mark.parametrize("name", WRITERS)
def test_the_same_bytes_are_written_from_the_same_values(name):
    assert WRITERS[name]() == golden(name)


def test_the_golden_state_fills_every_field_of_a_state():
    state = golden_state()
    assert [name for name in state.__struct_fields__ if not getattr(state, name)] == []


def test_a_policy_restored_from_the_golden_state_has_the_same_dump(gateway):
    assert msgspec.msgpack.encode(recording.dump_state(gateway)) == golden("module-state.msgpack")
    assert gateway.accounts
    assert gateway.endpoints
    assert gateway.requests
    assert gateway.attempts


ENDPOINT, OTHER_ENDPOINT = (b"\n\x00\x00%c\x00P" % number for number in (2, 4))


def test_every_scalar_of_the_golden_state_is_restored(gateway):
    assert gateway.now == 1_000_549_025
    assert gateway.allowance_refilled_at_us == 1_000_470_794
    assert gateway.started_at_us == START_US
    assert gateway.last_attempt_at_us == 1_000_412_080
    assert gateway.retry_budget == 2.4499999999999984
    assert gateway.unreachable_share == 0.14782969
    assert gateway.message_allowance == 39.0
    assert gateway.baseline_latency_us == [125_000.0, 125_000.0, 125_000.0, 125_000.0, 122_750.0]


def test_every_endpoint_of_the_golden_state_is_restored(gateway):
    endpoint = gateway.endpoints[ENDPOINT]
    assert endpoint.entry == policy.EndpointEntry(ENDPOINT, policy.EndpointState.READY, 0, 0, 0, 1.0)
    assert [endpoint.updated_at_us, endpoint.slowness, endpoint.failure_score] == [1_000_184_111, 1.0, 0.0]
    assert [endpoint.in_flight, endpoint.last_active_at_us] == [3, 1_000_135_937]
    assert endpoint.baseline_load == 2.0
    other = gateway.endpoints[OTHER_ENDPOINT]
    assert [other.updated_at_us, other.slowness] == [1_000_378_452, 0.91]
    assert other.failure_score == 1.942900986755272
    assert gateway.zone_health[0].failure_score == 4.747282621307491
    assert [pooled.in_flight for pooled in gateway.warm_pool.endpoints] == [0, 1, 3]
    assert [pooled.in_flight for pooled in gateway.slow_start_pool.endpoints] == [0]
    assert len(gateway.cell_pools[0].endpoints) == 4
    assert len(gateway.zone_pools[0].endpoints) == 4
    assert len(gateway.warm_pool.endpoints) == 3
    assert [queued.entry.started_at_us for queued in gateway.slow_start_queue] == [1_000_518_714]


def test_every_request_of_the_golden_state_is_restored(gateway):
    request = gateway.requests[1]
    assert request.event == policy.RequestArrived(1, 5, 0, 2, 1.0, 2_000_000, 0, 3, False)
    assert [request.deadline_at_us, request.sampled_value] == [1_002_009_909, 0.1723255663561437]
    assert request.account is gateway.accounts[5]
    first, second = request.attempts
    assert [first.sent_at_us, first.load] == [1_000_009_909, 2.0]
    assert [first.in_flight, first.possibly_executed] == [False, False]
    assert [second.sent_at_us, second.load] == [1_000_412_080, 4.0]
    assert [second.in_flight, second.possibly_executed] == [True, True]
    assert gateway.attempts[1, 1] == (second, request)
    attempt, finished_request = gateway.attempts[2, 2]
    assert [attempt.sent_at_us, attempt.load, finished_request.deadline_at_us] == [
        1_000_378_452,
        3.0,
        1_002_052_372,
    ]
    assert attempt.endpoint is gateway.endpoints[ENDPOINT]
    assert finished_request.account is gateway.accounts[2]


def test_every_queue_of_the_golden_state_is_restored(gateway):
    assert list(gateway.idle_queue) == golden_state().idle_queue == [1, 4, 5, 0, 2]
    assert list(gateway.pending_changes) == [1, 0]
    assert gateway.exhausted_customers == {2: 2}
    assert gateway.last_seen_at_us == {1: 1_000_413_638}
    assert gateway.pending_deltas == {1: {5: 1}, 2: {2: 2}}
    assert list(gateway.awaited_replies) == [(1_000_470_794, 2, 5, 0)]


def test_a_snapshot_of_the_golden_policy_holds_the_golden_state(gateway):
    recording.track_accounts(gateway)
    snapshot = recording.Snapshot(gateway)
    rows = [row for page in snapshot.pages() for row in page]
    state = golden_state()
    snapshot_state, snapshot_rows = msgspec.msgpack.decode(msgspec.msgpack.encode((snapshot.state, rows)))
    state_without_accounts = msgspec.structs.replace(state, accounts=[])
    assert snapshot_state == msgspec.msgpack.decode(msgspec.msgpack.encode(state_without_accounts))
    assert sorted(snapshot_rows) == sorted(msgspec.to_builtins(state.accounts))


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
    for event_type in (policy.AttemptFinished, policy.HealthCheckFinished, policy.CounterCallFinished):
        assert {event.outcome for event in events if type(event) is event_type} == set(policy.Outcome)
    listed = [event for event in events if isinstance(event, policy.EndpointListReceived)]
    assert {event.kind for event in listed} == set(policy.EndpointListKind)
    assert {entry.state for event in listed for entry in event.entries} == set(policy.EndpointState)


def test_a_golden_record_is_read_as_its_values():
    reader = recording.SegmentReader("golden", golden("traffic-record.olr"))
    assert reader.header == golden_header()
    assert reader.header.policy_settings() == SETTINGS
    assert [recording.account_from_row(row) for row in reader.read_state().accounts] == golden_accounts()
    *entries, response_entry = reader.entries()
    assert reader.damage is None
    assert [entry.event for entry in entries] == golden_events()
    assert [entry.at_us for entry in entries] == [START_US + 2 + number for number in range(len(entries))]
    assert entries[0].actions == golden_actions()
    assert (response_entry.at_us, response_entry.event, response_entry.response) == (
        START_US + 91,
        None,
        (1, 429, "refused", 6_000),
    )


def test_the_accounts_of_a_golden_account_store_are_restored():
    reader = recording.SegmentReader("golden", golden("account-store.olr"))
    rows = {row[0]: row for row in reader.read_state().accounts}
    assert [
        recording.account_from_row(rows[account.customer]) for account in golden_accounts()
    ] == golden_accounts()
    store = account_store(FakeEventLoop(accounts=golden("account-store.olr")))
    assert store.load() == len(golden_accounts())
    accounts = store.gateway.policy_driver.gateway.accounts
    for account in golden_accounts():
        restored = accounts[account.customer]
        assert (restored.key, restored.spent_total, restored.counted_total) == (
            account.key,
            account.spent_total,
            account.counted_total,
        )
        assert (restored.limit, restored.refilled_at_us) == (
            max(account.limit, account.spent_total),
            START_US,
        )


def test_a_golden_view_is_read_as_its_values():
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(recording, "build_name", lambda: BUILD)
        assert policy_views.decode_view(golden("view.msgpack")) == golden_view()
