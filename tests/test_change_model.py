"""The register of three voters, searched: two steps at once, two faults anywhere, messages in any order.

Faults: a voter dies and comes back with its disk, an old one or an empty one; a write that fails; a message
twice. A message that is lost is one that never comes. What has to hold in every state: two ledgers of one
index are never both chosen, and a step is taken in its own term alone.
"""

from __future__ import annotations

import copy
import random
from collections import deque
from typing import Any, NamedTuple

import msgspec
import pytest

from orchidlane.rollout import replicated_state as steps
from orchidlane.rollout.consensus import Chosen, Hold, Keep, Kept, Register, Stand, Tell
from orchidlane.rollout.messages import Accept, Accepted, MarkTold, Nack, Promise
from orchidlane.rollout.replicated_state import Admit, Claim, Ledger, Stop
from orchidlane.rollout.version import Certificate, Parts, Seat, Version, name_of

VOTERS = range(3)
FIRST = Ledger(
    1,
    tuple(Seat(rank, 100 + rank) for rank in VOTERS),
    Certificate(Version(0, Parts("r", "c"), 0), 0, (), ()),
    term=1,
    leader=0,
)
TIMELESS = 1_000_000


class Broken(AssertionError):
    """What must never be."""


class Mail(NamedTuple):
    sender: int
    receiver: int
    message: Any


class World:
    """One state: the voters, their disks, what is on its way, what was chosen."""

    def __init__(self, kind: type[Register]) -> None:
        self.kind = kind
        self.ledgers = {name_of(steps.encode(FIRST)): FIRST}  # shared by all states: names say it all
        self.disks = {rank: Kept(100 + rank) for rank in VOTERS}
        self.old = dict(self.disks)
        self.voters = {rank: kind(rank, self.disks[rank], None, FIRST, Fixed(), 0) for rank in VOTERS}
        self.mail: frozenset[Mail] = frozenset()
        self.chosen: dict[int, str] = {}
        self.faults = 0
        self.started: frozenset[int] = frozenset()

    def copy(self) -> World:
        other = copy.copy(self)
        other.disks, other.old, other.chosen = dict(self.disks), dict(self.old), dict(self.chosen)
        other.voters = {rank: _copy(voter) for rank, voter in self.voters.items()}
        return other

    def key(self) -> Any:
        return (
            tuple(_key(voter) for voter in self.voters.values()),
            self.mail,
            tuple(sorted(self.chosen.items())),
            self.faults,
            self.started,
        )

    def carry(self, rank: int, actions: list[Any], write_fails: bool = False) -> None:
        voter = self.voters[rank]
        for action in actions:
            match action:
                case Hold():
                    self.ledgers[action.name] = steps.decode(action.data)
                case Keep():
                    if write_fails:
                        before = self.disks[rank]
                        voter.failed(before, self.ledgers.get(before.name))
                        return
                    self.disks[rank] = action.kept
                case Tell():
                    self.mail |= {Mail(rank, action.rank, action.message)}
                case Chosen():
                    self._choose(action)

    def _choose(self, chosen: Chosen) -> None:
        index = chosen.ledger.index
        if self.chosen.setdefault(index, chosen.name) != chosen.name:
            raise Broken(f"Q1: two ledgers of index {index}")
        step = chosen.step
        if step is not None and not isinstance(step, Claim) and step.term != chosen.ledger.term:
            raise Broken(f"fencing: a step of term {step.term} in term {chosen.ledger.term}")

    def deliver(self, mail: Mail, write_fails: bool = False) -> None:
        message = mail.message
        named = self.ledgers.get(message.name) if isinstance(message, Promise | Accept) else None
        voter = self.voters[mail.receiver]
        self.carry(mail.receiver, voter.hear(TIMELESS, mail.sender, message, named), write_fails)

    def drop_idle_mail(self) -> None:
        """Mail that changes nothing now and never will: answers to an attempt that is over."""
        for mail in list(self.mail):
            attempt = self.voters[mail.receiver].attempt
            answer = isinstance(mail.message, Promise | Accepted | Nack)
            over = attempt is None or attempt.ballot != mail.message.ballot
            late = isinstance(mail.message, Promise) and (over or attempt.stand is not Stand.PREPARING)
            if answer and (over or late):
                self.mail -= {mail}

    def restart(self, rank: int, kept: Kept) -> None:
        self.disks[rank] = kept
        chosen = FIRST  # what it knows to be chosen may be as old as that
        self.voters[rank] = self.kind(
            rank, kept, self.ledgers.get(kept.name), chosen, Fixed(), 0, checking=True
        )

    def check_marks(self, rank: int) -> None:
        """It asks both others, and hears both; from its question on they take nothing of its earlier life.

        The datagrams' incarnation sees to that (``gateway/peers/datagrams.py``).
        """
        voter = self.voters[rank]
        self.mail = frozenset(mail for mail in self.mail if mail.sender != rank)
        for other, theirs in self.voters.items():
            if other != rank and voter.checking:
                store, mark = theirs.kept.marks.get(rank, (0, 0))
                mark = mark if store == voter.kept.store else 0
                self.carry(rank, voter.hear(TIMELESS, other, MarkTold(voter.kept.store, mark, True)))
        self.carry(rank, voter.tick(TIMELESS))


class Fixed(random.Random):
    """The same numbers in each state."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, _bits: int) -> int:
        return 900


def _copy(voter: Register) -> Register:
    other = copy.copy(voter)
    other._checked = dict(voter._checked)
    if voter.attempt is not None:
        attempt = other.attempt = copy.copy(voter.attempt)
        attempt.promises, attempt.accepts = dict(voter.attempt.promises), set(voter.attempt.accepts)
    other.kept = msgspec.structs.replace(voter.kept, marks=dict(voter.kept.marks))
    return other


def _key(voter: Register) -> Any:
    kept, attempt = voter.kept, voter.attempt
    told = None
    if attempt is not None:
        told = (
            attempt.stand,
            attempt.ballot,
            frozenset((seat, promise[0], promise[1]) for seat, promise in attempt.promises.items()),
            frozenset(attempt.accepts),
            attempt.name,
        )
    index = voter.ledger.index if voter.ledger is not None else 0
    marks = tuple(sorted(kept.marks.items()))
    return (
        kept.store,
        kept.promised,
        kept.accepted,
        kept.name,
        kept.mark,
        marks,
        voter.checking,
        index,
        told,
    )


def moves(world: World, plan: dict[int, Any], most: int, faults: tuple[str, ...]):
    """Every next state."""
    for rank, step in plan.items():
        if rank not in world.started and world.voters[rank].votes:
            after = world.copy()
            after.started |= {rank}
            after.carry(rank, after.voters[rank].propose(TIMELESS, step))
            yield after
    for mail in world.mail:
        after = world.copy()
        after.mail -= {mail}
        after.deliver(mail)
        if "old disk" not in faults:
            after.drop_idle_mail()
        yield after
    for rank, voter in world.voters.items():
        if voter.checking:
            after = world.copy()
            after.check_marks(rank)
            yield after
    if world.faults < most:
        yield from failures(world, faults)


def failures(world: World, faults: tuple[str, ...]):
    """Every next state that a fault leads to."""
    for rank in VOTERS:
        kept = {"dies": world.disks[rank], "old disk": world.old[rank], "no disk": Kept(500 + rank)}
        for name in faults:
            if name in kept:
                after = world.copy()
                after.faults += 1
                after.restart(rank, kept[name])
                yield after
    for mail in world.mail if "write" in faults else ():
        after = world.copy()
        after.faults += 1
        after.mail -= {mail}
        after.deliver(mail, write_fails=True)
        yield after
    for mail in world.mail if "twice" in faults else ():
        after = world.copy()
        after.faults += 1
        after.deliver(mail)
        yield after


def search(
    plan: dict[int, Any],
    faults: tuple[str, ...],
    most: int,
    kind: type[Register] = Register,
    bound: int = 60_000,
) -> tuple[int, set[int]]:
    """How many states there are, and which indexes were ever chosen. Raises Broken."""
    first = World(kind)
    seen, queue, indexes = {first.key()}, deque([first]), set()
    while queue and len(seen) < bound:
        world = queue.popleft()
        for after in moves(world, plan, most, faults):
            key = after.key()
            if key not in seen:
                seen.add(key)
                queue.append(after)
                indexes |= after.chosen.keys()
    return len(seen), indexes


TWO_CLAIMS = {0: Claim(0, 2), 1: Claim(1, 2)}


def test_two_that_want_to_lead_without_a_fault():
    states, chosen = search(TWO_CLAIMS, (), 0)
    assert states > 500
    assert 2 in chosen


@pytest.mark.parametrize("fault", ["dies", "old disk", "no disk", "write", "twice"])
def test_two_faults_of_a_kind_anywhere(fault):
    states, chosen = search(TWO_CLAIMS, (fault,), 2)
    assert states > 5_000
    assert 2 in chosen


def test_a_voter_is_admitted_while_another_claims():
    plan = {0: Admit(1, 2, 502), 1: Claim(1, 2)}
    states, chosen = search(plan, ("no disk", "dies"), 2)
    assert states > 5_000
    assert 2 in chosen


class Forgets(Register):
    """Accepts and keeps nothing of it: the next promise tells of nothing."""

    def _accept(self, sender, message, ledger):
        super()._accept(sender, message, ledger)
        self.kept = Kept(self.kept.store, self.kept.promised, mark=self.kept.mark)
        self.voted = None


class OverrulesItself(Register):
    """Its proposer goes on whatever its acceptor promised since; the search found this once."""

    def _go_on(self, now, attempt):
        self.kept = msgspec.structs.replace(self.kept, promised=min(self.kept.promised, attempt.ballot))
        super()._go_on(now, attempt)


class TrustsItsDisk(Register):
    """Goes on with whatever disk it finds."""

    def _mark_told(self, sender, message):
        self._checked[sender] = True


class TakesAnyBallot(Register):
    """Accepts what it promised not to."""

    def _accept(self, sender, message, ledger):
        kept = self.kept
        self.kept = Kept(kept.store, min(kept.promised, message.ballot), kept.accepted, kept.name, kept.mark)
        super()._accept(sender, message, ledger)


@pytest.mark.parametrize(
    ("broken", "faults", "most"),
    [(Forgets, (), 0), (TakesAnyBallot, (), 0), (OverrulesItself, (), 0), (TrustsItsDisk, ("old disk",), 1)],
)
def test_a_voter_that_forgets_its_vote_is_found(broken, faults, most):
    with pytest.raises(Broken, match="Q1"):
        search(TWO_CLAIMS, faults, most, broken, bound=400_000)


def test_a_leader_without_fencing_is_found(monkeypatch):
    plan = {0: Stop(1, 7, "a step of the first term"), 1: Claim(1, 2)}
    search(plan, ("dies",), 1)
    monkeypatch.setattr(steps, "_fence", lambda ledger, term: None)
    monkeypatch.setattr(Stop, "apply", lambda self, ledger: steps._next(ledger, latest=ledger.latest + 1))
    with pytest.raises(Broken, match="fencing"):
        search(plan, ("dies",), 1)
