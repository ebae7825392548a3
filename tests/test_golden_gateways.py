"""Golden files of endpoint lists, rolling upgrades, hot restarts and gateways' messages can be read."""

from __future__ import annotations

from types import SimpleNamespace
from typing import get_args

import msgspec
import pytest
from harness.golden_gateways import (
    golden_restart_messages,
    golden_roll,
    golden_token_messages,
    golden_tracker,
)
from harness.golden_policy import (
    PLAN_NAMES,
    SECRET,
    fields_with_default,
    golden,
    golden_accounts,
    golden_customer_row,
    golden_examples,
    golden_state,
    pack,
)
from harness.golden_writers import FakeEventLoop, make_roll_driver, read_restart_message
from harness.policy_harness import START_US

from orchidlane import policy, recording
from orchidlane.gateway.control import endpoint_list
from orchidlane.gateway.peers import datagrams, query_exchange, token_messages, token_requests
from orchidlane.hot_restart import messages as restart_messages
from orchidlane.hot_restart import rolling_upgrade
from orchidlane.limits import GrantStore, TokenOwner
from orchidlane.policy import gossip_codec
from orchidlane.recording.state_dump import account_to_row


def test_a_golden_cache_of_the_endpoint_list_is_loaded_as_its_endpoints():
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


def test_a_golden_rolling_upgrade_is_read_in_every_phase():
    examples = golden_examples("roll-states.json")
    assert set(examples) == {phase.value for phase in rolling_upgrade.Phase}
    for name, data in examples.items():
        stored = make_roll_driver(FakeEventLoop(**{"state/roll.json": data})).load_stored()
        assert stored == golden_roll(rolling_upgrade.Phase(name))
        assert {gateway.phase for gateway in stored.state.gateways} == set(rolling_upgrade.GatewayPhase)


def test_golden_examples_cover_every_message_of_a_hot_restart():
    messages = golden_restart_messages()
    assert {type(message) for message in messages.values()} == set(get_args(restart_messages.AnyMessage))
    assert set(golden_examples("hot-restart-messages.json")) == set(messages)
    assert {
        name: fields_with_default(message)
        for name, message in messages.items()
        if fields_with_default(message)
    } == {}


@pytest.mark.parametrize("name", golden_restart_messages())
def test_a_golden_message_of_a_hot_restart_is_read_as_its_values(name):
    assert read_restart_message(name) == golden_restart_messages()[name]


def test_rows_of_accounts_are_loaded_and_dumped_again():
    accounts = read_restart_message("rows of accounts").rows
    assert [recording.account_from_row(row) for row in accounts] == golden_accounts()[:1]
    assert pack([account_to_row(recording.account_from_row(row)) for row in accounts]) == pack(accounts)


@pytest.mark.parametrize(
    ("table", "name"),
    [(TokenOwner(1, 10, START_US), "rows of tokens"), (GrantStore(100, 1, 1), "rows of grants")],
    ids=["tokens", "grants"],
)
def test_rows_of_tokens_and_grants_are_loaded_and_dumped_again(table, name):
    rows = read_restart_message(name).rows
    for row in rows:
        table.load(row)
    assert pack([table.row(row[0]) for row in rows]) == pack(rows)


def test_the_final_state_of_a_hot_restart_is_loaded_and_dumped_again():
    final = read_restart_message("final")
    quotas = SimpleNamespace(
        token_lifetime_us=1, max_tokens=10, max_grants=10, grant_lifetime_us=1, credit_lifetime_us=1
    )
    fleet = SimpleNamespace(quotas=quotas, gateways=[None] * 3)
    service = token_requests.LimitService(FakeEventLoop(), fleet, 0, None, print)  # type: ignore[arg-type]
    service.load_state(final.limits)
    expected = {**final.limits, "numbers": final.limits["numbers"] + query_exchange.QUERY_IDS_PER_PROCESS}
    assert pack(service.dump_state()) == pack(expected)
    inbox = datagrams.Inbox(SECRET, 0, 3, START_US, 9.0)
    inbox.load_peer_rows(final.peers)
    assert pack(inbox.peer_rows()) == pack(final.peers)
    tracker = endpoint_list.EndpointListTracker("z1", 100)
    tracker.import_state(final.endpoints)
    assert pack(tracker.export_state()) == pack(final.endpoints) == pack(golden_tracker().export_state())
    state_without_accounts = msgspec.structs.replace(golden_state(), accounts=[])
    assert final.policy_state == state_without_accounts


def test_golden_token_messages_are_decoded_to_their_values():
    defined = [
        value
        for value in vars(token_messages).values()
        if getattr(value, "__module__", "") == token_messages.__name__
    ]
    structs = {value for value in defined if isinstance(value, type) and issubclass(value, msgspec.Struct)}
    assert {type(message) for message in golden_token_messages().values()} == structs
    for name, message in golden_token_messages().items():
        assert fields_with_default(message) == []
        data = golden_examples("limit-messages.json")[name]
        assert (
            msgspec.msgpack.decode(data, type=token_messages.TokenQuery | token_messages.TokenReply)
            == message
        )


def test_a_golden_gossip_message_is_decoded_to_its_values():
    message = gossip_codec.decode_message(golden("module-message.bin"), START_US // 1000, 3, len(PLAN_NAMES))
    assert message == gossip_codec.GossipMessage(START_US // 1000, True, True, (golden_customer_row(),))


def test_golden_datagrams_of_every_kind_are_accepted():
    for kind, data in enumerate(golden_examples("datagrams.json").values()):
        inbox = datagrams.Inbox(SECRET, 2, 3, START_US, 9.0, 9.0, 9.0)
        assert inbox.accept(START_US, data) == (kind, 1, b"a body")
