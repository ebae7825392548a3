"""Golden values of fleet versions: ledgers, certificates, files and messages."""

from __future__ import annotations

from typing import Any

from harness.golden_policy import SECRET
from orchidlane.gateway.rollout_agent import admin_api, agent, storage
from orchidlane.rollout import messages as version_messages
from orchidlane.rollout import replicated_state as fleet_ledger
from orchidlane.rollout import version
from orchidlane.rollout.canary_analysis import Tally
from orchidlane.rollout.consensus import Kept as VoterKept


def golden_parts(letter: str) -> version.Parts:
    """The names of a version's contents."""
    return version.Parts(*(digit + 63 * letter for digit in "0123"))


def golden_version(number: int) -> version.Version:
    """A version with all its fields."""
    return version.Version(
        number=number,
        parts=golden_parts("a"),
        base=number - 1,
        author="an author",
        reason="a reason",
        undoes=number - 2,
        proposal=f"proposal-{number}",
        then=(golden_parts("b"), golden_parts("c")),
    )


def golden_seats() -> tuple[version.Seat, ...]:
    """Three voters."""
    return tuple(version.Seat(rank, 9_000_000_000 + rank) for rank in range(3))


def golden_certificate(number: int) -> version.Certificate:
    """What proves that all three voters approved a version."""
    approved, seats = golden_version(number), golden_seats()
    votes = tuple(version.cast(SECRET, seat, approved, 5, True, "it fits") for seat in seats)
    return version.Certificate(approved, 5, seats, votes)


def golden_ledger() -> fleet_ledger.Ledger:
    """A ledger with a change that is asked about, one that it takes back, and a history."""
    asked = fleet_ledger.Change(golden_version(23), 6, fleet_ledger.Stage.ASKED, None, b"", "a pause")
    halted = fleet_ledger.Change(
        golden_version(22),
        5,
        fleet_ledger.Stage.ADOPTING,
        golden_certificate(22),
        fleet_ledger.ranks_as_bits([0, 2, 9], 12),
        "stopped by hand",
    )
    return fleet_ledger.Ledger(
        index=40,
        seats=golden_seats(),
        current=golden_certificate(21),
        term=6,
        leader=2,
        before=golden_seats()[:2],
        change=asked,
        halted=halted,
        latest=23,
        history=tuple(
            fleet_ledger.Entry(golden_version(number), state, "why it ended so")
            for number, state in ((18, "done"), (19, "refused"), (20, "undone"))
        ),
    )


def golden_voter_file() -> storage.VoterFile:
    """A voter's disk."""
    kept = VoterKept(
        store=9_000_000_001,
        promised=(8, 2, 9_000_000_002),
        accepted=(7, 1, 9_000_000_001),
        name=version.name_of(fleet_ledger.encode(golden_ledger())),
        mark=33,
        marks={0: (9_000_000_000, 31), 2: (9_000_000_002, 32)},
        said=(
            6,
            23,
            version.cast(SECRET, golden_seats()[1], golden_version(23), 6, False, "a rule is broken"),
        ),
    )
    ledger = fleet_ledger.encode(golden_ledger())
    return storage.VoterFile(kept, ledger, ledger[::-1])


def golden_running_file() -> storage.RunningFile:
    """The version that a gateway runs, with its latest ledger."""
    contents = tuple(golden_parts("a").names())
    return storage.RunningFile(fleet_ledger.encode(golden_ledger()), golden_certificate(21), contents)


def golden_version_messages() -> dict[str, Any]:
    """One of each message between gateways on the fleet's versions; every field is other than its default."""
    told, name, ballot = version_messages, version.name_of(b"a ledger"), (8, 2, 9_000_000_002)
    return {
        "ask": told.Ask(555, 40),
        "told": told.Told(555, 40, name, 1_200, True),
        "hint": told.Hint(41),
        "report": told.Report(21, 22, 900, "its contents did not come"),
        "noted": told.Noted(21, 22),
        "prepare": told.Prepare(ballot, 33),
        "promise": told.Promise(ballot, (7, 1, 9_000_000_001), name, 9_000_000_000, 31),
        "nack": told.Nack(ballot, (9, 0, 9_000_000_000)),
        "accept": told.Accept(ballot, name, 34),
        "accepted": told.Accepted(ballot, 9_000_000_001, 35),
        "beat": told.Beat(6, ballot, 77, 40, name),
        "beaten": told.Beaten(77, 9_000_000_001),
        "voted": told.Voted(6, 23, 9_000_000_001, True, bytes(range(16)), "it fits"),
        "waiting": told.Waiting(9_000_000_001, name, bytes(range(16, 32))),
        "mark ask": told.MarkAsk(9_000_000_001),
        "mark told": told.MarkTold(9_000_000_001, 33, True),
    }


def golden_order() -> admin_api.Order:
    """A command at the admin address."""
    then = (golden_parts("b"),)
    return admin_api.Order(
        "order-1", "propose", 21, "an author", "a reason", golden_parts("a"), 20, then, passed_on=True
    )


def golden_status() -> admin_api.Status:
    """How the fleet's versions stand, as the gateway that leads tells it."""
    ledger = golden_ledger()
    assert ledger.change is not None and ledger.halted is not None
    return admin_api.Status(
        gateway=2,
        leads=True,
        term=6,
        leader=2,
        confirmed=1_200,
        serves="no quorum for a lease",
        running="21:0123456789ab",
        index=40,
        current=ledger.current.version,
        change=ledger.change.version,
        stage="asked",
        paused="a pause",
        halted=ledger.halted.version,
        history=ledger.history,
        seats=(0, 1, 2),
        votes={0: "yes", 1: "a rule is broken"},
        gateways=(
            admin_api.GatewayState(0),
            admin_api.GatewayState(1, 21, 22, "its contents did not come", 700, 9_000),
        ),
    )


def golden_tallies() -> dict[str, Tally]:
    """What a gateway answered, by class and plan."""
    return {"safe plain": Tally(900, 30, 4, 5, 6, 7), "unsafe capped": Tally(80, 3, 2, 1, 9, 8)}


def golden_outcome() -> agent.Outcome:
    """What became of a command."""
    return agent.Outcome(True, "known already as version 21", True)
