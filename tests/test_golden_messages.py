"""Messages of rollouts and hot restarts, commands and replicated states have the golden bytes."""

from __future__ import annotations

from typing import Any, get_args

import msgspec
from harness.golden_admin import without_build
from harness.golden_events import SECRET
from harness.golden_files import check_golden
from harness.golden_samples import sample_struct, samples

from orchidlane.gateway.rollout_agent import admin_messages
from orchidlane.hot_restart import messages as restart_messages
from orchidlane.rollout import canary_analysis, commands, replicated_state, version
from orchidlane.rollout import messages as rollout_messages


def test_messages_of_a_rollout_have_the_golden_bytes():
    messages = samples(rollout_messages.Message)
    bodies = {tag: rollout_messages.encode(message) for tag, message in messages.items()}
    assert {tag: rollout_messages.decode(body) for tag, body in bodies.items()} == messages
    check_golden("change-messages", {tag: body.hex() for tag, body in bodies.items()})


def test_messages_of_a_hot_restart_have_the_golden_bytes():
    """Processes of different builds exchange these messages during a hot restart."""
    messages = samples(restart_messages.AnyMessage)
    frames = {tag: restart_messages.encode(message) for tag, message in messages.items()}
    check_golden("upgrade-messages", {tag: data.hex() for tag, data in frames.items()})
    for tag, data in frames.items():
        parser = restart_messages.Parser()
        parser.receive(data)
        assert restart_messages.encode(parser.next_message()) == data, tag


def test_messages_of_the_rollout_api_have_the_golden_names_and_values():
    """Gateways and tools of different builds exchange commands, states, hashes and seals over this API."""
    types_by_name = {
        "command": admin_messages.CommandRequest,
        "how things stand": admin_messages.RolloutStatus,
        "a gateway's state": admin_messages.GatewayStatus,
        "what became of a command": admin_messages.CommandOutcome,
        "answers counted": canary_analysis.ResponseCounts,
        "ledger": replicated_state.ReplicatedState,
        "certificate": version.Certificate,
        "change": replicated_state.Rollout,
    }
    values: dict[str, Any] = {}
    for name, message_type in types_by_name.items():
        body = msgspec.msgpack.encode(sample_struct(message_type))
        assert msgspec.msgpack.decode(body, type=message_type) == sample_struct(message_type)
        values[name] = [body.hex(), without_build(msgspec.msgpack.decode(body))]
    values["name of a content"] = version.content_hash(b"a content")
    values["name of a version's contents"] = sample_struct(version.Version).combined_hash
    values["seal"] = version.compute_seal(SECRET, "admin", "GET", b"/change/status", b"").hex()
    vote = version.cast_vote(
        SECRET, version.VotingMember(1, 77), sample_struct(version.Version), 5, True, "why"
    )
    values["vote"] = without_build(msgspec.to_builtins(vote, builtin_types=(bytes,)))
    check_golden("versions", values)


def test_commands_have_the_golden_bytes():
    samples_of_commands = [sample_struct(command_type) for command_type in get_args(commands.Command)]
    check_golden("ledger-steps", [msgspec.msgpack.encode(command).hex() for command in samples_of_commands])
