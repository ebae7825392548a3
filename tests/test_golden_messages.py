"""Messages of rollouts and hot restarts, commands and states of versions have the golden bytes."""

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
    found = samples(rollout_messages.Message)
    bodies = {tag: rollout_messages.encode(message) for tag, message in found.items()}
    assert {tag: rollout_messages.decode(body) for tag, body in bodies.items()} == found
    check_golden("change-messages", {tag: body.hex() for tag, body in bodies.items()})


def test_messages_of_a_hot_restart_have_the_golden_bytes():
    """An old process and a new one talk to each other across builds."""
    found = samples(restart_messages.AnyMessage)
    frames = {tag: restart_messages.encode(message) for tag, message in found.items()}
    check_golden("upgrade-messages", {tag: data.hex() for tag, data in frames.items()})
    for tag, data in frames.items():
        parser = restart_messages.Parser()
        parser.receive(data)
        assert restart_messages.encode(parser.next_message()) == data, tag


def test_replicated_states_commands_and_statuses_have_the_golden_names_and_values():
    """Messages between gateways and tools over the admin API, and hashes and seals."""
    kinds = {
        "command": admin_messages.CommandRequest,
        "how things stand": admin_messages.RolloutStatus,
        "a gateway's state": admin_messages.GatewayStatus,
        "what became of a command": admin_messages.CommandOutcome,
        "answers counted": canary_analysis.ResponseCounts,
        "ledger": replicated_state.ReplicatedState,
        "certificate": version.Certificate,
        "change": replicated_state.Rollout,
    }
    found: dict[str, Any] = {}
    for what, kind in kinds.items():
        body = msgspec.msgpack.encode(sample_struct(kind))
        assert msgspec.msgpack.decode(body, type=kind) == sample_struct(kind)
        found[what] = [body.hex(), without_build(msgspec.msgpack.decode(body))]
    found["name of a content"] = version.content_hash(b"a content")
    found["name of a version's contents"] = sample_struct(version.Version).combined_hash
    found["seal"] = version.compute_seal(SECRET, "admin", "GET", b"/change/status", b"").hex()
    vote = version.cast_vote(
        SECRET, version.VotingMember(1, 77), sample_struct(version.Version), 5, True, "why"
    )
    found["vote"] = without_build(msgspec.to_builtins(vote, builtin_types=(bytes,)))
    check_golden("versions", found)


def test_commands_have_the_golden_bytes():
    encoded = [sample_struct(kind) for kind in get_args(commands.Command)]
    check_golden("ledger-steps", [msgspec.msgpack.encode(one).hex() for one in encoded])
