"""The fleet's ledger: the one value that the voters agree on, and the steps from one to the next.

    none ──Propose──> ASKED ──Approve──> ADOPTING ──Finish──> none, its version is the current one
                        │ Stop              │ Propose that undoes it: the new one is ASKED, this one halted
                        └──> none           └──> approved, it replaces the halted one; stopped, that goes on

A step is data and ``apply`` is pure: the same step on the same ledger gives the same bytes anywhere. Every
step of a leader names its term; a ledger of a later term refuses it, so that a leader that was followed by
another changes nothing. Invariants, checked by ``wrong_with`` and searched in the tests:

- I1 the index, the term and the latest number only grow;
- I2 the current version and one that is adopted have the certificate of a quorum of the seats of their time;
- I3 at most one change is under way, beside one that it takes back;
- I4 a version that undoes one under way has the contents of the version before that one;
- I5 seats change by one at a time, and not while the last change of them is not settled.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import Any

import msgspec

from orchidlane.rollout.version import TEXT_MOST, Certificate, Parts, Seat, Version, Vote, has_quorum

HISTORY = 16  # versions that are remembered, with their contents


class Stage(Enum):
    """Where a change stands."""

    ASKED = "asked"  # the voters look at it
    ADOPTING = "adopting"


class Change(msgspec.Struct, frozen=True):
    """A version on its way; ``reach``: the ranks that are to run it, a bit each."""

    version: Version
    term: int
    stage: Stage = Stage.ASKED
    certificate: Certificate | None = None
    reach: bytes = b""
    paused: str = ""  # why it goes no further

    def reaches(self, rank: int) -> bool:
        """Whether a gateway is to run it."""
        return self.stage is Stage.ADOPTING and has_rank(self.reach, rank)


class Entry(msgspec.Struct, frozen=True):
    """What became of a version."""

    version: Version
    state: str  # done, refused, undone
    why: str = ""


class Ledger(msgspec.Struct, frozen=True):
    """What the voters agree on; all else follows from it."""

    index: int
    seats: tuple[Seat, ...]
    current: Certificate
    term: int = 0
    leader: int = -1  # rank
    before: tuple[Seat, ...] = ()  # the seats before their last change, until that is settled
    change: Change | None = None
    halted: Change | None = None  # that the change takes back
    latest: int = 0  # number
    history: tuple[Entry, ...] = ()

    def target(self, rank: int) -> Certificate:
        """The version that a gateway is to run."""
        for change in (self.change, self.halted):
            if change is not None and change.reaches(rank):
                assert change.certificate is not None
                return change.certificate
        return self.current

    def versions(self) -> list[Version]:
        """All that are known of, the latest first."""
        under_way = [one.version for one in (self.change, self.halted) if one is not None]
        known = {one.number: one for one in (entry.version for entry in self.history)}
        known |= {one.number: one for one in (self.current.version, *under_way)}
        return [known[number] for number in sorted(known, reverse=True)]


def encode(ledger: Ledger) -> bytes:
    """A ledger as bytes, the same ones anywhere."""
    return msgspec.msgpack.encode(ledger)


def decode(data: bytes) -> Ledger:
    """The ledger of bytes from another process. Raises msgspec.DecodeError."""
    return msgspec.msgpack.decode(data, type=Ledger)


def ranks_as_bits(ranks: Iterable[int], gateways: int) -> bytes:
    """A set of ranks, a bit each."""
    bits = bytearray(-(-gateways // 8))
    for rank in ranks:
        bits[rank >> 3] |= 1 << (rank & 7)
    return bytes(bits)


def has_rank(bits: bytes, rank: int) -> bool:
    """Whether a rank is in such a set."""
    return 0 <= rank < 8 * len(bits) and bool(bits[rank >> 3] >> (rank & 7) & 1)


class Refused(Exception):
    """A step that the ledger does not take, and why."""


class Fenced(Refused):
    """Its term is over: whoever leads now may take it."""


# Steps


class Claim(msgspec.Struct, frozen=True):
    """A voter leads from now on, in the next term."""

    rank: int
    term: int

    def apply(self, ledger: Ledger) -> Ledger:
        """Votes are bound to a term: what is asked is asked anew."""
        if ledger.term >= self.term:
            raise Refused(f"term {ledger.term} has begun, led by gateway {ledger.leader}")
        if self.rank not in {seat.rank for seat in ledger.seats}:
            raise Refused(f"gateway {self.rank} is no voter any more")
        change = ledger.change
        if change is not None and change.stage is Stage.ASKED:
            change = msgspec.structs.replace(change, term=self.term)
        return _next(ledger, term=self.term, leader=self.rank, change=change)


class Propose(msgspec.Struct, frozen=True):
    """A version is wanted; ``base`` is the latest version that its author knew of."""

    term: int
    id: str  # told again, it is the same one
    parts: Parts
    base: int
    author: str
    reason: str
    undoes: int = 0
    then: tuple[Parts, ...] = ()

    def apply(self, ledger: Ledger) -> Ledger:
        """One change at a time, but for one that takes back what is under way."""
        _fence(ledger, self.term)
        for known in ledger.versions():
            if known.proposal == self.id:
                raise Refused(f"known already as version {known.number}")
        active = ledger.change
        halts = active is not None and active.version.number == self.undoes != 0
        if active is not None and not halts:
            other = active.version
            raise Refused(f"version {other.number} of {other.author} is on its way: {other.reason}")
        if halts:
            assert active is not None
            self._may_halt(ledger, active)
        latest = active.version if halts and active else ledger.current.version
        if self.base != latest.number:
            raise Refused(
                f"made from version {self.base}, but {latest.number} of {latest.author} came since:"
                f" {latest.reason}"
            )
        if self.parts == latest.parts:
            raise Refused(f"version {latest.number} has these contents already")
        version = Version(
            number=ledger.latest + 1,
            parts=self.parts,
            base=self.base,
            author=self.author[:TEXT_MOST],
            reason=self.reason[:TEXT_MOST],
            undoes=self.undoes,
            proposal=self.id,
            then=self.then,
        )
        change = Change(version, ledger.term)
        return _next(ledger, change=change, halted=active, latest=version.number)

    def _may_halt(self, ledger: Ledger, active: Change) -> None:
        if ledger.halted is not None or active.version.undoes:
            raise Refused("what takes a change back is itself on its way")
        if active.stage is not Stage.ADOPTING:
            raise Refused(f"version {active.version.number} is not approved yet: stop it instead")
        if self.parts != ledger.current.version.parts:
            raise Refused("to take a change back on its way, the prior contents are wanted")


class Approve(msgspec.Struct, frozen=True):
    """A quorum said yes: the first gateways are to run it."""

    term: int
    number: int
    votes: tuple[Vote, ...]  # whose seals were checked
    reach: bytes

    def apply(self, ledger: Ledger) -> Ledger:
        """With the votes as its certificate. What it takes back is over with."""
        change = _asked(ledger, self.term, self.number)
        yes = tuple(vote for vote in self.votes if vote.yes)
        if not has_quorum(ledger.seats, {Seat(vote.rank, vote.store) for vote in yes}):
            raise Refused("no quorum said yes")
        certificate = Certificate(change.version, change.term, ledger.seats, yes)
        change = msgspec.structs.replace(
            change, stage=Stage.ADOPTING, certificate=certificate, reach=self.reach
        )
        history = ledger.history
        if ledger.halted is not None:
            taken = ledger.halted.version
            history = (*history, Entry(taken, "undone", f"by version {change.version.number}"))
        return _next(ledger, change=change, halted=None, history=history)


class Widen(msgspec.Struct, frozen=True):
    """More gateways are to run it."""

    term: int
    number: int
    reach: bytes

    def apply(self, ledger: Ledger) -> Ledger:
        """Never fewer: back goes only an undo."""
        change = _adopting(ledger, self.term, self.number)
        if change.paused:
            raise Refused(f"it is stopped: {change.paused}")
        wider = bytes(a | b for a, b in zip(change.reach, self.reach, strict=True))
        if wider == change.reach:
            raise Refused("nobody is added")
        return _next(ledger, change=msgspec.structs.replace(change, reach=wider))


class Stop(msgspec.Struct, frozen=True):
    """It goes no further: one that is asked ends, one that is adopted waits where it is."""

    term: int
    number: int
    why: str
    id: str = ""

    def apply(self, ledger: Ledger) -> Ledger:
        """See the class."""
        _fence(ledger, self.term)
        change = _numbered(ledger, self.number)
        why = self.why[:TEXT_MOST]
        if change.stage is Stage.ASKED:
            entry = Entry(change.version, "refused", why)
            return _next(ledger, change=ledger.halted, halted=None, history=(*ledger.history, entry))
        if change.paused:
            raise Refused(f"it is stopped already: {change.paused}")
        return _next(ledger, change=msgspec.structs.replace(change, paused=why or "by command"))


class Resume(msgspec.Struct, frozen=True):
    """A stopped one goes on."""

    term: int
    number: int
    id: str = ""

    def apply(self, ledger: Ledger) -> Ledger:
        """See the class."""
        change = _adopting(ledger, self.term, self.number)
        if not change.paused:
            raise Refused("it is not stopped")
        return _next(ledger, change=msgspec.structs.replace(change, paused=""))


class Finish(msgspec.Struct, frozen=True):
    """All run it, or don't serve."""

    term: int
    number: int
    why: str  # who does not serve

    def apply(self, ledger: Ledger) -> Ledger:
        """It is the current one; what is to follow it is asked about."""
        change = _adopting(ledger, self.term, self.number)
        assert change.certificate is not None
        done, following, latest = change.version, None, ledger.latest
        history = (*ledger.history, Entry(done, "done", self.why[:TEXT_MOST]))
        if done.then:
            latest += 1
            parts, *later = done.then
            next_one = msgspec.structs.replace(
                done, number=latest, parts=parts, base=done.number, undoes=0, then=tuple(later)
            )
            following = Change(next_one, ledger.term)
        return _next(ledger, change=following, current=change.certificate, history=history, latest=latest)


class Admit(msgspec.Struct, frozen=True):
    """A voter's seat goes to another store of it, a rank gets a seat, or (store 0) gives it up."""

    term: int
    rank: int
    store: int

    def apply(self, ledger: Ledger) -> Ledger:
        """One seat at a time; until it is settled both the old and the new seats have to agree."""
        _fence(ledger, self.term)
        if ledger.before:
            raise Refused("the last change of seats is not settled")
        others = tuple(seat for seat in ledger.seats if seat.rank != self.rank)
        seats = tuple(sorted((*others, Seat(self.rank, self.store)), key=lambda seat: seat.rank))
        if not self.store:
            seats = others
        if seats == ledger.seats:
            raise Refused("the seats are so already")
        if not seats:
            raise Refused("the last voter can't leave")
        return _next(ledger, seats=seats, before=ledger.seats)


class Settle(msgspec.Struct, frozen=True):
    """The ledger with this index is chosen: the seats before its change count no more."""

    term: int
    index: int

    def apply(self, ledger: Ledger) -> Ledger:
        """See the class."""
        _fence(ledger, self.term)
        if ledger.index != self.index or not ledger.before:
            raise Refused("another ledger came since")
        return _next(ledger, before=())


Step = (
    Claim | Propose | Approve | Widen | Stop | Resume | Finish | Admit | Settle
)  # fmt: skip


def _fence(ledger: Ledger, term: int) -> None:
    if ledger.term != term:
        raise Fenced(f"term {term} is over: gateway {ledger.leader} leads in term {ledger.term}")


def _numbered(ledger: Ledger, number: int) -> Change:
    if ledger.change is None or ledger.change.version.number != number:
        raise Refused(f"version {number} is not on its way")
    return ledger.change


def _asked(ledger: Ledger, term: int, number: int) -> Change:
    _fence(ledger, term)
    change = _numbered(ledger, number)
    if change.stage is not Stage.ASKED or change.term != term:
        raise Refused(f"version {number} is not asked about in term {term}")
    return change


def _adopting(ledger: Ledger, term: int, number: int) -> Change:
    _fence(ledger, term)
    change = _numbered(ledger, number)
    if change.stage is not Stage.ADOPTING:
        raise Refused(f"version {number} is not approved")
    return change


def _next(ledger: Ledger, **changes: Any) -> Ledger:
    history = changes.get("history", ledger.history)[-HISTORY:]
    return msgspec.structs.replace(ledger, index=ledger.index + 1, **{**changes, "history": history})


def wrong_with(before: Ledger, after: Ledger) -> str:
    """Which invariant a step from one ledger to the next broke; "" if none."""
    if after.index != before.index + 1 or after.term < before.term or after.latest < before.latest:
        return "I1: something went back"
    for change in (after.change, after.halted):
        if change is not None and change.stage is Stage.ADOPTING:
            proof = change.certificate
            yes = {Seat(vote.rank, vote.store) for vote in proof.votes if vote.yes} if proof else set()
            if proof is None or proof.version != change.version or not has_quorum(proof.seats, yes):
                return "I2: adopted without a quorum's certificate"
    if after.halted is not None and after.change is None:
        return "I3: something is taken back by nothing"
    back = after.change if after.halted is not None else None
    if back is not None and back.version.parts != after.current.version.parts:
        return "I4: what takes a change back is not the prior version"
    moved = set(after.seats) ^ set(before.seats)
    if moved and (before.before or len({seat.rank for seat in moved}) > 1 or after.before != before.seats):
        return "I5: more than one seat changed"
    return ""
