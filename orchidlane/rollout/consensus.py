"""How the voters agree on one ledger after another, without I/O: CASPaxos (Rystsov, 2018).

The ledger is one register. Whoever wants a step prepares a ballot at the voters, takes the ledger that was
accepted under the highest ballot, applies the step and has the result accepted. No log, no snapshot, no
election is needed for safety; that somebody leads (``conduct``) only keeps voters out of each other's way.

    acceptor    Prepare b: b > promised -> promised = b, Promise | else Nack
                Accept b:  b >= promised -> accepted = b, Accepted | else Nack
    proposer    IDLE -> PREPARING -> ACCEPTING -> IDLE; a Nack: PAUSED, then PREPARING with a higher ballot

Invariants, searched in the tests:

- Q1 two ledgers of one index are never both chosen;
- Q2 a promise or a vote is never taken back: ``Keep`` is on disk before anything after it is told;
- Q3 seats: a ledger that changes them, and all before that is settled, is chosen by a majority of the old
  seats and of the new. A seat is a rank and the store that it votes with, and a ballot names the store: who
  lost its disk is somebody else, without a seat.

A voter that starts again asks the others for the latest vote of its store that they saw (``checking``). One
later than its disk has proves that the disk is an old one: it takes a new store, and waits to be admitted. It
goes on once all others answered and saw none; what an earlier life sent and is still on its way they refuse
by the datagrams' incarnation. Where some stay silent, only they may know of a later vote: if the others are a
majority that votes, it has itself admitted by them, else it waits, or an operator says that the disk is good.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from orchidlane.rollout import replicated_state as steps
from orchidlane.rollout.messages import (
    ZERO,
    Accept,
    Accepted,
    Ballot,
    MarkAsk,
    MarkTold,
    Message,
    Nack,
    Prepare,
    Promise,
    Waiting,
)
from orchidlane.rollout.replicated_state import Fenced, Ledger, Refused, Step
from orchidlane.rollout.version import Seat, Version, Vote, has_quorum, name_of

AGAIN = 100_000  # microseconds until those who did not answer are asked again
GIVE_UP = 3_000_000  # microseconds: then no quorum answers
PAUSE = 25_000  # microseconds, doubled each time, of which a random part is waited after a higher ballot
PAUSES_MOST = 6  # doublings
CHECK = 2_000_000  # microseconds that another may stay silent until we have ourselves admitted anew
STORE_BITS = 53


class Kept(msgspec.Struct, frozen=True):
    """What a voter has on disk."""

    store: int
    promised: Ballot = ZERO
    accepted: Ballot = ZERO
    name: str = ""  # of the accepted ledger
    mark: int = 0  # how many votes there were
    marks: dict[int, tuple[int, int]] = {}  # rank -> store and mark of its latest vote that we saw
    said: tuple[int, int, Vote] | None = None  # term, number and our vote: the latest one


class Keep(NamedTuple):
    """On disk before any later action is carried out; ``failed`` where it can't be."""

    kept: Kept


class Hold(NamedTuple):
    """A ledger of ours, to be fetched by its name from here on."""

    name: str
    data: bytes


class Tell(NamedTuple):
    """A datagram to another voter."""

    rank: int
    message: Message


class Chosen(NamedTuple):
    """A ledger is chosen; the step that led to it, if it was taken."""

    ledger: Ledger
    name: str
    ballot: Ballot
    step: Step | None
    refused: str


class Dropped(NamedTuple):
    """The step did not come about here. Where that is not final, it may by somebody else's attempt."""

    step: Step
    why: str
    final: bool = False


class Said(NamedTuple):
    """Worth a line in the log."""

    what: str


Action = Keep | Hold | Tell | Chosen | Dropped | Said


class Stand(Enum):
    """Where a proposer stands."""

    PREPARING = 0
    ACCEPTING = 1
    PAUSED = 2


class _Attempt:
    """One step on its way."""

    def __init__(self, step: Step, now: int) -> None:
        self.step = step
        self.began = now
        self.told = now
        self.stand = Stand.PREPARING
        self.ballot = ZERO
        self.promises: dict[Seat, tuple[Ballot, str, Ledger | None]] = {}
        self.accepts: set[Seat] = set()
        self.ledger: Ledger | None = None
        self.name = ""
        self.refused = ""
        self.final = False  # refused for good
        self.pauses = 0


class Register:
    """One voter: acceptor and proposer. ``ledger`` is the latest one that it knows to be chosen."""

    def __init__(
        self,
        rank: int,
        kept: Kept,
        voted: Ledger | None,
        chosen: Ledger | None,
        rng: random.Random,
        now: int,
        checking: bool = False,
    ) -> None:
        self.rank = rank
        self.kept = kept
        self.voted = voted  # what is accepted
        self.ledger = chosen
        self.ballot = ZERO  # under which the latest was chosen, if by us
        self.random = rng
        self.attempt: _Attempt | None = None
        self.checking = checking  # a disk that an earlier life wrote: it may be an old one
        self._check_since = now
        self._check_told = 0
        self._checked: dict[int, bool] = {}  # who saw no later vote of ours, and whether it votes
        self._out: list[Action] = []

    # -- what a voter may do

    @property
    def seat(self) -> Seat:
        """Ours, if it has one."""
        return Seat(self.rank, self.kept.store)

    @property
    def seated(self) -> bool:
        """Whether our store has a seat in the latest ledger."""
        return self.ledger is not None and self.seat in self.ledger.seats

    @property
    def votes(self) -> bool:
        """Whether we may vote and lead."""
        return self.seated and not self.checking

    # -- events; each gives the actions, in order

    def propose(self, now: int, step: Step) -> list[Action]:
        """Try a step; one at a time."""
        if not self.votes or self.attempt is not None:
            return [Dropped(step, "no vote here" if not self.votes else "another step is on its way")]
        return self._handle(now, lambda: self._begin(now, _Attempt(step, now)))

    def hear(self, now: int, sender: int, message: Message, ledger: Ledger | None = None) -> list[Action]:
        """A message of another voter, with the ledger that it names."""

        def take() -> None:
            match message:
                case Prepare():
                    self._prepare(sender, message)
                case Accept() if ledger is not None:
                    self._accept(sender, message, ledger)
                case Promise():
                    self._promise(now, sender, message, ledger)
                case Accepted():
                    self._accepted(sender, message)
                case Nack():
                    self._nack(now, message)
                case MarkAsk():
                    store, mark = self.kept.marks.get(sender, (0, 0))
                    mark = mark if store == message.store else 0
                    self._tell(sender, MarkTold(message.store, mark, self.votes))
                case MarkTold():
                    self._mark_told(sender, message)

        return self._handle(now, take)

    def learn(self, now: int, ledger: Ledger) -> list[Action]:
        """A chosen ledger that others told of."""

        def take() -> None:
            if self.ledger is None or ledger.index > self.ledger.index:
                self.ledger = ledger

        return self._handle(now, take)

    def tick(self, now: int) -> list[Action]:
        """Time has passed."""
        return self._handle(now, lambda: self._tick(now))

    def failed(self, before: Kept, voted: Ledger | None) -> list[Action]:
        """What was to be kept is not on disk: as if it had never been decided."""
        self.kept, self.voted = before, voted
        attempt, self.attempt = self.attempt, None
        return [Dropped(attempt.step, "this voter's disk failed")] if attempt is not None else []

    def _handle(self, now: int, take: Callable[[], None]) -> list[Action]:
        self._out, before = [], self.kept
        take()
        if self.kept is not before:
            holds = [action for action in self._out if isinstance(action, Hold)]
            rest = [action for action in self._out if not isinstance(action, Hold)]
            return [*holds, Keep(self.kept), *rest]
        return self._out

    # -- acceptor

    def _prepare(self, sender: int, message: Prepare) -> None:
        if not self.votes:
            return
        self._note(sender, message.ballot[2], message.mark)
        if message.ballot < self.kept.promised:
            return self._tell(sender, Nack(message.ballot, self.kept.promised))
        if message.ballot > self.kept.promised:
            self._keep(promised=message.ballot, mark=self.kept.mark + 1)
        kept = self.kept
        self._tell(sender, Promise(message.ballot, kept.accepted, kept.name, kept.store, kept.mark))

    def _accept(self, sender: int, message: Accept, ledger: Ledger) -> None:
        if not self.votes:
            return
        self._note(sender, message.ballot[2], message.mark)
        if message.ballot < self.kept.promised:
            return self._tell(sender, Nack(message.ballot, self.kept.promised))
        if message.ballot != self.kept.accepted:
            self.voted = ledger
            self._keep(
                promised=message.ballot,
                accepted=message.ballot,
                name=message.name,
                mark=self.kept.mark + 1,
            )
        self._tell(sender, Accepted(message.ballot, self.kept.store, self.kept.mark))

    def _keep(self, **changes: object) -> None:
        self.kept = msgspec.structs.replace(self.kept, **changes)

    def _tell(self, rank: int, message: Message) -> None:
        self._out.append(Tell(rank, message))

    # -- proposer

    def _begin(self, now: int, attempt: _Attempt) -> None:
        """A ballot above all that we know of."""
        attempt.ballot = (self.kept.promised[0] + 1, self.rank, self.kept.store)
        attempt.stand, attempt.told = Stand.PREPARING, now
        attempt.promises, attempt.accepts = {}, set()
        attempt.ledger, attempt.name, attempt.refused = None, "", ""
        self.attempt = attempt
        self._keep(promised=attempt.ballot, mark=self.kept.mark + 1)
        attempt.promises[self.seat] = self.kept.accepted, self.kept.name, self.voted
        self._ask(attempt)

    def _ask(self, attempt: _Attempt) -> None:
        """Those who did not answer yet."""
        if attempt.stand is Stand.PREPARING:
            message: Message = Prepare(attempt.ballot, self.kept.mark)
            done: Iterable[Seat] = attempt.promises
        else:
            message, done = Accept(attempt.ballot, attempt.name, self.kept.mark), attempt.accepts
        answered = {seat.rank for seat in done}
        ranks = {seat.rank for seats in self._configurations(attempt) for seat in seats}
        for rank in sorted(ranks - answered - {self.rank}):
            self._tell(rank, message)

    def _configurations(self, attempt: _Attempt) -> list[tuple[Seat, ...]]:
        """The sets of seats of which each has to give a majority."""
        assert self.ledger is not None
        told = (promise[2] for promise in attempt.promises.values())
        # An older one than what we know to be chosen asks for seats that may long be gone.
        later = (one for one in told if one is not None and one.index > self.ledger.index)
        known = [self.ledger, *later] if attempt.ledger is None else [attempt.ledger]
        found = [seats for one in known for seats in (one.seats, one.before) if seats]
        return list(dict.fromkeys(found))

    def _promise(self, now: int, sender: int, message: Promise, ledger: Ledger | None) -> None:
        self._note(sender, message.store, message.mark)
        attempt = self.attempt
        if attempt is None or attempt.stand is not Stand.PREPARING or message.ballot != attempt.ballot:
            return
        if message.name and ledger is None:
            return
        attempt.promises[Seat(sender, message.store)] = message.accepted, message.name, ledger
        if all(has_quorum(seats, attempt.promises) for seats in self._configurations(attempt)):
            self._go_on(now, attempt)
        else:
            self._ask_new(attempt, sender)

    def _ask_new(self, attempt: _Attempt, sender: int) -> None:
        """A promise may tell of seats that were not asked yet."""
        answered = {seat.rank for seat in attempt.promises}
        known = {seat.rank for seat in (self.ledger.seats if self.ledger else ())}
        told = attempt.promises.get(next((s for s in attempt.promises if s.rank == sender), self.seat))
        if told is not None and told[2] is not None:
            for seat in (*told[2].seats, *told[2].before):
                if seat.rank not in answered | known | {self.rank}:
                    self._tell(seat.rank, Prepare(attempt.ballot, self.kept.mark))

    def _go_on(self, now: int, attempt: _Attempt) -> None:
        """A majority promised: the step on the ledger of the highest ballot is to be accepted."""
        assert self.ledger is not None
        if self.kept.promised > attempt.ballot:  # guards Q1: our own acceptor is bound by what it promised
            return self._pause(now, attempt)
        accepted, _, base = max(attempt.promises.values(), key=lambda promise: promise[0])
        if base is None or accepted == ZERO:
            base = self.ledger  # founded, and nothing chosen since
        try:
            made = attempt.step.apply(base)
        except Refused as wrong:
            made, attempt.refused = base, str(wrong)
            attempt.final = not isinstance(wrong, Fenced)
        else:
            broken = steps.wrong_with(base, made)
            assert not broken, broken
        if base.before and base != self.ledger and not made.before:
            made, attempt.refused = base, "the seats are not settled"  # Q3: not known to be chosen
        data = steps.encode(made)
        attempt.ledger, attempt.name = made, name_of(data)
        attempt.stand, attempt.told = Stand.ACCEPTING, now
        self._out.append(Hold(attempt.name, data))
        self.voted = made
        self._keep(accepted=attempt.ballot, name=attempt.name, mark=self.kept.mark + 1)
        attempt.accepts.add(self.seat)
        self._ask(attempt)
        self._settle(attempt)

    def _accepted(self, sender: int, message: Accepted) -> None:
        self._note(sender, message.store, message.mark)
        attempt = self.attempt
        if attempt is None or attempt.stand is not Stand.ACCEPTING or message.ballot != attempt.ballot:
            return
        attempt.accepts.add(Seat(sender, message.store))
        self._settle(attempt)

    def _settle(self, attempt: _Attempt) -> None:
        if not all(has_quorum(seats, attempt.accepts) for seats in self._configurations(attempt)):
            return
        assert attempt.ledger is not None
        self.attempt = None
        self.ledger, self.ballot = attempt.ledger, attempt.ballot
        self._keep(marks=dict(self.kept.marks))  # the votes that it rests on are witnessed on disk
        step = None if attempt.refused else attempt.step
        self._out.append(Chosen(attempt.ledger, attempt.name, attempt.ballot, step, attempt.refused))
        if attempt.refused:
            self._out.append(Dropped(attempt.step, attempt.refused, attempt.final))

    def _nack(self, now: int, message: Nack) -> None:
        if not self.votes:
            return
        if message.promised > self.kept.promised:
            self._keep(promised=(message.promised[0], *self.kept.promised[1:]), mark=self.kept.mark + 1)
        attempt = self.attempt
        if attempt is not None and message.ballot == attempt.ballot and attempt.stand is not Stand.PAUSED:
            self._pause(now, attempt)

    def _pause(self, now: int, attempt: _Attempt) -> None:
        """Somebody else's ballot is higher: again, with a higher one, after a while."""
        attempt.stand = Stand.PAUSED
        attempt.pauses += 1  # longer each time: on a slow network two would else stop each other for ever
        span = PAUSE << min(attempt.pauses, PAUSES_MOST)
        attempt.told = now + int(span * self.random.random())

    def _tick(self, now: int) -> None:
        if self.checking:
            self._check(now)
        attempt = self.attempt
        if attempt is None:
            return
        if now - attempt.began > GIVE_UP or not self.votes:
            self.attempt = None
            self._out.append(Dropped(attempt.step, "no quorum of voters answers"))
        elif attempt.stand is Stand.PAUSED:
            if now >= attempt.told:
                self._begin(now, attempt)
        elif now - attempt.told >= AGAIN:
            attempt.told = now
            self._ask(attempt)

    # -- votes on versions

    def vote(self, now: int, term: int, version: Version, make: Callable[[], Vote]) -> list[Action]:
        """Say yes or no to a version, once in a term: again, it is the same vote, in ``kept.said``."""

        def take() -> None:
            said = self.kept.said
            if self.votes and (said is None or said[:2] < (term, version.number)):
                self._keep(said=(term, version.number, make()), mark=self.kept.mark + 1)

        return self._handle(now, take)

    # -- marks: which disk is an old one

    def _note(self, rank: int, store: int, mark: int) -> None:
        """Remember a vote that we saw; on disk with the next that is kept, at the latest when chosen."""
        known = self.kept.marks.get(rank, (0, 0))
        if known[0] != store or known[1] < mark:  # datagrams come in any order
            self.kept.marks[rank] = store, mark  # not told to anybody before it is kept

    def _others(self) -> list[Seat]:
        return [seat for seat in (self.ledger.seats if self.ledger else ()) if seat.rank != self.rank]

    def _check(self, now: int) -> None:
        others = self._others()
        if not self.seated:
            return
        heard = [seat for seat in others if seat.rank in self._checked]
        voting = [seat for seat in heard if self._checked[seat.rank]]
        if len(heard) == len(others):
            self.checking = False
            self._out.append(Said("votes again"))
        elif now - self._check_since > CHECK and has_quorum((*others, self.seat), voting):
            silent = sorted({seat.rank for seat in others} - self._checked.keys())
            self._out.append(Said(f"has itself admitted anew: gateways {silent} can't say what they saw"))
            self.start_anew()
        elif now - self._check_told >= AGAIN:
            self._check_told = now
            for seat in others:
                if seat.rank not in self._checked:
                    self._tell(seat.rank, MarkAsk(self.kept.store))

    def _mark_told(self, sender: int, message: MarkTold) -> None:
        if not self.checking or message.store != self.kept.store:
            return
        if message.mark > self.kept.mark:
            self._out.append(Said(f"the disk is an old one: gateway {sender} saw later votes"))
            return self.start_anew()
        self._checked[sender] = message.votes

    def start_anew(self) -> None:
        """Nothing that this disk says may be voted by: a new store, which has to be admitted."""
        self.kept = Kept(self.random.getrandbits(STORE_BITS) + 1)
        self.voted, self.attempt, self.checking = None, None, False

    def waiting(self, content: str, seal: bytes) -> Waiting | None:
        """What to tell whoever leads while our store has no seat."""
        return None if self.seated else Waiting(self.kept.store, content, seal)
