"""Golden values of fleet versions: ledgers, certificates, files and messages."""

from __future__ import annotations

from typing import Any

from harness.golden_policy import SECRET
from orchidlane.gateway.rollout_agent import admin_messages, storage
from orchidlane.rollout import canary_analysis, version
from orchidlane.rollout import messages as version_messages
from orchidlane.rollout import replicated_state as fleet_ledger
from orchidlane.rollout.voter_state import VoterState as VoterKept


def golden_parts(letter: str) -> version.ContentHashes:
    """The names of a version's contents."""
    return version.ContentHashes(*(digit + 63 * letter for digit in "0123"))


def golden_version(number: int) -> version.Version:
    """A version with all its fields."""
    return version.Version(
        number=number,
        contents=golden_parts("a"),
        base=number - 1,
        author="an author",
        reason="a reason",
        reverts=number - 2,
        proposal_id=f"proposal-{number}",
        followed_by=(golden_parts("b"), golden_parts("c")),
    )


def golden_seats() -> tuple[version.VotingMember, ...]:
    """Three voters."""
    return tuple(version.VotingMember(rank, 9_000_000_000 + rank) for rank in range(3))


def golden_certificate(number: int) -> version.Certificate:
    """What proves that all three voters approved a version."""
    approved, seats = golden_version(number), golden_seats()
    votes = tuple(version.cast_vote(SECRET, seat, approved, 5, True, "it fits") for seat in seats)
    return version.Certificate(approved, 5, seats, votes)


def golden_ledger() -> fleet_ledger.ReplicatedState:
    """A ledger with a change that is asked about, one that it takes back, and a history."""
    asked = fleet_ledger.Rollout(
        golden_version(23), 6, fleet_ledger.RolloutPhase.VOTING, None, b"", "a pause"
    )
    halted = fleet_ledger.Rollout(
        golden_version(22),
        5,
        fleet_ledger.RolloutPhase.ADOPTING,
        golden_certificate(22),
        fleet_ledger.encode_ranks([0, 2, 9], 12),
        "stopped by hand",
    )
    return fleet_ledger.ReplicatedState(
        index=40,
        members=golden_seats(),
        current=golden_certificate(21),
        term=6,
        leader=2,
        previous_members=golden_seats()[:2],
        rollout=asked,
        halted_rollout=halted,
        latest_number=23,
        history=tuple(
            fleet_ledger.HistoryEntry(golden_version(number), state, "why it ended so")
            for number, state in ((18, "done"), (19, "refused"), (20, "undone"))
        ),
    )


def golden_voter_file() -> storage.VoterFile:
    """A voter's disk."""
    kept = VoterKept(
        store_id=9_000_000_001,
        promised=(8, 2, 9_000_000_002),
        accepted=(7, 1, 9_000_000_001),
        accepted_hash=version.content_hash(fleet_ledger.encode(golden_ledger())),
        vote_count=33,
        seen_vote_counts={0: (9_000_000_000, 31), 2: (9_000_000_002, 32)},
        latest_vote=(
            6,
            23,
            version.cast_vote(SECRET, golden_seats()[1], golden_version(23), 6, False, "a rule is broken"),
        ),
    )
    ledger = fleet_ledger.encode(golden_ledger())
    return storage.VoterFile(kept, ledger, ledger[::-1])


def golden_running_file() -> storage.RunningFile:
    """The version that a gateway runs, with its latest ledger."""
    contents = tuple(golden_parts("a").hashes())
    return storage.RunningFile(fleet_ledger.encode(golden_ledger()), golden_certificate(21), contents)


def golden_version_messages() -> dict[str, Any]:
    """One of each message between gateways on the fleet's versions; every field is other than its default."""
    told, name, ballot = version_messages, version.content_hash(b"a ledger"), (8, 2, 9_000_000_002)
    return {
        "ask": told.GossipRequest(555, 40),
        "told": told.GossipResponse(555, 40, name, 1_200, True),
        "hint": told.NewStateHint(41),
        "report": told.AdoptionReport(21, 22, 900, "its contents did not come"),
        "noted": told.AdoptionReportAck(21, 22),
        "prepare": told.Prepare(ballot, 33),
        "promise": told.Promise(ballot, (7, 1, 9_000_000_001), name, 9_000_000_000, 31),
        "nack": told.Nack(ballot, (9, 0, 9_000_000_000)),
        "accept": told.Accept(ballot, name, 34),
        "accepted": told.Accepted(ballot, 9_000_000_001, 35),
        "beat": told.Heartbeat(6, ballot, 77, 40, name),
        "beaten": told.HeartbeatAck(77, 9_000_000_001),
        "voted": told.VersionVote(6, 23, 9_000_000_001, True, bytes(range(16)), "it fits"),
        "waiting": told.AdmissionRequest(9_000_000_001, name, bytes(range(16, 32))),
        "mark ask": told.VoteCountRequest(9_000_000_001),
        "mark told": told.VoteCountResponse(9_000_000_001, 33, True),
    }


def golden_order() -> admin_messages.CommandRequest:
    """A command at the admin address."""
    then = (golden_parts("b"),)
    return admin_messages.CommandRequest(
        "order-1", "propose", 21, "an author", "a reason", golden_parts("a"), 20, then, is_forwarded=True
    )


def golden_status() -> admin_messages.RolloutStatus:
    """How the fleet's versions stand, as the gateway that leads tells it."""
    ledger = golden_ledger()
    assert ledger.rollout is not None and ledger.halted_rollout is not None
    return admin_messages.RolloutStatus(
        gateway=2,
        is_leader=True,
        term=6,
        leader=2,
        confirmed_us_ago=1_200,
        rejection_reason="no quorum for a lease",
        running_version="21:0123456789ab",
        index=40,
        current_version=ledger.current.version,
        rollout_version=ledger.rollout.version,
        phase="asked",
        pause_reason="a pause",
        halted_version=ledger.halted_rollout.version,
        history=ledger.history,
        member_ranks=(0, 1, 2),
        votes={0: "yes", 1: "a rule is broken"},
        gateways=(
            admin_messages.GatewayStatus(0),
            admin_messages.GatewayStatus(1, 21, 22, "its contents did not come", 700, 9_000),
        ),
    )


def golden_tallies() -> dict[str, canary_analysis.AnswerCounts]:
    """What a gateway answered, by class and plan."""
    counts = canary_analysis.AnswerCounts
    return {"safe plain": counts(900, 30, 4, 5, 6, 7), "unsafe capped": counts(80, 3, 2, 1, 9, 8)}


def golden_outcome() -> admin_messages.CommandOutcome:
    """What became of a command."""
    return admin_messages.CommandOutcome(True, "known already as version 21", True)
