"""Expected values of the golden files of rollouts: states, certificates, stored files and messages."""

from __future__ import annotations

from typing import Any

from harness.golden_policy import SECRET
from orchidlane.gateway.rollout_agent import admin_messages, storage
from orchidlane.rollout import canary_analysis, replicated_state, version
from orchidlane.rollout import messages as rollout_messages
from orchidlane.rollout.voter_state import VoterState


def golden_contents(letter: str) -> version.ContentHashes:
    """Return the content hashes of a version; each is a digit followed by copies of one letter."""
    return version.ContentHashes(*(digit + 63 * letter for digit in "0123"))


def golden_version(number: int) -> version.Version:
    """Return a version with a value in each field."""
    return version.Version(
        number=number,
        contents=golden_contents("a"),
        base=number - 1,
        author="an author",
        reason="a reason",
        reverts=number - 2,
        proposal_id=f"proposal-{number}",
        followed_by=(golden_contents("b"), golden_contents("c")),
    )


def golden_members() -> tuple[version.VotingMember, ...]:
    """Return three voting members."""
    return tuple(version.VotingMember(rank, 9_000_000_000 + rank) for rank in range(3))


def golden_certificate(number: int) -> version.Certificate:
    """Return the certificate of a version that all three voters approved."""
    approved, members = golden_version(number), golden_members()
    votes = tuple(version.cast_vote(SECRET, member, approved, 5, True, "it fits") for member in members)
    return version.Certificate(approved, 5, members, votes)


def golden_replicated_state() -> replicated_state.ReplicatedState:
    """Return a state with a rollout in its voting phase, a halted rollout and a history."""
    voting = replicated_state.Rollout(
        golden_version(23), 6, replicated_state.RolloutPhase.VOTING, None, b"", "a pause"
    )
    halted = replicated_state.Rollout(
        golden_version(22),
        5,
        replicated_state.RolloutPhase.ADOPTING,
        golden_certificate(22),
        replicated_state.encode_ranks([0, 2, 9], 12),
        "stopped by hand",
    )
    return replicated_state.ReplicatedState(
        index=40,
        members=golden_members(),
        current=golden_certificate(21),
        term=6,
        leader=2,
        previous_members=golden_members()[:2],
        rollout=voting,
        halted_rollout=halted,
        latest_number=23,
        history=tuple(
            replicated_state.HistoryEntry(golden_version(number), state, "why it ended so")
            for number, state in ((18, "done"), (19, "refused"), (20, "undone"))
        ),
    )


def golden_voter_file() -> storage.VoterFile:
    """Return the file of a voter."""
    voter_state = VoterState(
        store_id=9_000_000_001,
        promised=(8, 2, 9_000_000_002),
        accepted=(7, 1, 9_000_000_001),
        accepted_hash=version.content_hash(replicated_state.encode(golden_replicated_state())),
        vote_count=33,
        seen_vote_counts={0: (9_000_000_000, 31), 2: (9_000_000_002, 32)},
        latest_vote=(
            6,
            23,
            version.cast_vote(SECRET, golden_members()[1], golden_version(23), 6, False, "a rule is broken"),
        ),
    )
    state = replicated_state.encode(golden_replicated_state())
    return storage.VoterFile(voter_state, state, state[::-1])


def golden_running_file() -> storage.RunningFile:
    """Return the file of the version that a gateway runs, with its latest replicated state."""
    contents = tuple(golden_contents("a").hashes())
    return storage.RunningFile(
        replicated_state.encode(golden_replicated_state()), golden_certificate(21), contents
    )


def golden_rollout_messages() -> dict[str, Any]:
    """Return one message of each type of the rollout protocol; no field has its default value."""
    state_hash, ballot = version.content_hash(b"a ledger"), (8, 2, 9_000_000_002)
    return {
        "ask": rollout_messages.GossipRequest(555, 40),
        "told": rollout_messages.GossipResponse(555, 40, state_hash, 1_200, True),
        "hint": rollout_messages.NewStateHint(41),
        "report": rollout_messages.AdoptionReport(21, 22, 900, "its contents did not come"),
        "noted": rollout_messages.AdoptionReportAck(21, 22),
        "prepare": rollout_messages.Prepare(ballot, 33),
        "promise": rollout_messages.Promise(ballot, (7, 1, 9_000_000_001), state_hash, 9_000_000_000, 31),
        "nack": rollout_messages.Nack(ballot, (9, 0, 9_000_000_000)),
        "accept": rollout_messages.Accept(ballot, state_hash, 34),
        "accepted": rollout_messages.Accepted(ballot, 9_000_000_001, 35),
        "beat": rollout_messages.Heartbeat(6, ballot, 77, 40, state_hash),
        "beaten": rollout_messages.HeartbeatAck(77, 9_000_000_001),
        "voted": rollout_messages.VersionVote(6, 23, 9_000_000_001, True, bytes(range(16)), "it fits"),
        "waiting": rollout_messages.AdmissionRequest(9_000_000_001, state_hash, bytes(range(16, 32))),
        "mark ask": rollout_messages.VoteCountRequest(9_000_000_001),
        "mark told": rollout_messages.VoteCountResponse(9_000_000_001, 33, True),
    }


def golden_command_request() -> admin_messages.CommandRequest:
    """Return a command request for the admin API."""
    followed_by = (golden_contents("b"),)
    return admin_messages.CommandRequest(
        "order-1",
        "propose",
        21,
        "an author",
        "a reason",
        golden_contents("a"),
        20,
        followed_by,
        is_forwarded=True,
    )


def golden_status() -> admin_messages.RolloutStatus:
    """Return the status of a rollout as the leader reports it."""
    state = golden_replicated_state()
    assert state.rollout is not None
    assert state.halted_rollout is not None
    return admin_messages.RolloutStatus(
        gateway=2,
        is_leader=True,
        term=6,
        leader=2,
        confirmed_us_ago=1_200,
        rejection_reason="no quorum for a lease",
        running_version="21:0123456789ab",
        index=40,
        current_version=state.current.version,
        rollout_version=state.rollout.version,
        phase="asked",
        pause_reason="a pause",
        halted_version=state.halted_rollout.version,
        history=state.history,
        member_ranks=(0, 1, 2),
        votes={0: "yes", 1: "a rule is broken"},
        gateways=(
            admin_messages.GatewayStatus(0),
            admin_messages.GatewayStatus(1, 21, 22, "its contents did not come", 700, 9_000),
        ),
    )


def golden_response_counts() -> dict[str, canary_analysis.ResponseCounts]:
    """Return the response counts of a gateway by class and plan."""
    counts = canary_analysis.ResponseCounts
    return {"safe plain": counts(900, 30, 4, 5, 6, 7), "unsafe capped": counts(80, 3, 2, 1, 9, 8)}


def golden_command_outcome() -> admin_messages.CommandOutcome:
    """Return the outcome of a command."""
    return admin_messages.CommandOutcome(True, "known already as version 21", True)
