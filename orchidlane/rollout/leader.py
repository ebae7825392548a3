"""What whoever leads does next, and who leads. Decides without I/O.

Leading is for progress alone; what it may do is fenced by the ledger's term. A voter that hears no beat for a
while claims the next term. Beats that a quorum answers prove, as of when they were sent, that no later ledger
was chosen: that is the moment from which every gateway's lease counts (``spread``).

A change goes on by what the ledger says and what voters and gateways tell again and again, so that whoever
leads next goes on from there: votes to whoever leads in a term, reports until whoever leads has noted them.
"""

from __future__ import annotations

import random
from collections import deque

import msgspec

from orchidlane.rollout import phases as stages
from orchidlane.rollout.consensus import Register, Tell
from orchidlane.rollout.messages import Beat, Beaten, Noted, Report, Voted, Waiting
from orchidlane.rollout.replicated_state import (
    Admit,
    Approve,
    Change,
    Claim,
    Finish,
    Ledger,
    Propose,
    Settle,
    Stage,
    Step,
    Stop,
    Widen,
    has_rank,
    ranks_as_bits,
)
from orchidlane.rollout.version import Seat, Vote, has_quorum, is_cast, majority

COMMANDS_MOST = 8  # that wait
CLAIMS_MOST = 4  # doublings of the wait between two claims
BEATS_MOST = 16  # whose answers may still come
NEAR = 2_000_000  # microseconds: a voter that waits for a seat said so since
DRIFT = 1.02  # how much faster one clock may run than another
TOLD_MOST = 5  # gateways that are named in a reason


class Terms(msgspec.Struct, frozen=True):
    """Spans in microseconds."""

    lease: int
    beat: int
    silence: int  # after which another voter claims to lead
    decide: int  # for a quorum to vote on a change
    stages: stages.Terms


class Reported(msgspec.Struct):
    """What a gateway said last."""

    number: int
    wanted: int
    why: str
    load: int
    at: int
    since: int  # when it first said this number


class Conductor:
    """One voter's part in leading."""

    def __init__(
        self, register: Register, gateways: int, secret: bytes, terms: Terms, rng: random.Random, now: int
    ) -> None:
        self.register = register
        self.gateways = gateways
        self.secret = secret
        self.terms = terms
        self.random = rng
        self.led = -1  # the term that we claimed
        self.fresh: int | None = None  # when a quorum confirmed our ledger
        self.heard = now  # the latest beat of another, or when we started
        self._claims = 0  # of ours since anybody was heard to lead
        self.patience = self._patience()
        self.reports: dict[int, Reported] = {}
        self.waiting: dict[int, tuple[Waiting, int]] = {}
        self.votes: dict[int, Vote] = {}
        self.commands: deque[Step] = deque()
        self._beats: dict[int, tuple[int, set[Seat]]] = {}
        self._beat = 0
        self._heeded = -1  # whose beat was the latest
        self._beaten = now
        self._stage: tuple[object, ...] = ()
        self._since = self._claimed = now
        self.stager: stages.Stager | None = None

    def _patience(self) -> int:
        wide = 1 << min(self._claims, CLAIMS_MOST)  # on a slow network claims would else stop each other
        return int(self.terms.silence * (1 + wide * self.random.random()))

    @property
    def ledger(self) -> Ledger | None:
        """The latest that we know."""
        return self.register.ledger

    @property
    def leads(self) -> bool:
        """Whether we lead, as far as we know."""
        ledger = self.ledger
        return (
            ledger is not None
            and self.register.votes
            and (ledger.leader, ledger.term) == (self.register.rank, self.led)
        )

    def lead_first(self) -> None:
        """We founded the ledger: nobody leads yet, so there is nobody to wait for."""
        self.patience = -1

    # -- beats

    def beat(self, now: int) -> list[Tell]:
        """Say that we lead, when it is time."""
        ledger = self.ledger
        if not self.leads or ledger is None or now - self._beaten < self.terms.beat:
            return []
        if now - max(self.fresh or 0, self._claimed) > self.terms.silence:
            return []  # guards against a leader that is heard and hears nobody: another has to claim
        self._beaten = now
        self._beat += 1
        own = self.register.kept.promised == self.register.ballot
        self._beats[self._beat] = now, {self.register.seat} if own else set()
        while len(self._beats) > BEATS_MOST:
            del self._beats[next(iter(self._beats))]
        kept = self.register.kept
        message = Beat(ledger.term, self.register.ballot, self._beat, ledger.index, kept.name)
        ranks = {seat.rank for seat in (*ledger.seats, *ledger.before)} - {self.register.rank}
        self._confirm(self._beat)
        return [Tell(rank, message) for rank in sorted(ranks)]

    def hear_beat(self, now: int, sender: int, beat: Beat) -> list[Tell]:
        """Somebody leads; it is answered where no later ballot was promised."""
        ledger, register = self.ledger, self.register
        if ledger is not None and beat.term < ledger.term:
            return []
        self._claims = 0
        self.heard, self.patience, self._heeded = now, self._patience(), sender
        if not register.votes or beat.ballot < register.kept.promised:
            return []
        return [Tell(sender, Beaten(beat.number, register.kept.store))]

    def heeds(self, now: int, sender: int) -> bool:
        """Whether a ballot of a voter is looked at: not while another leads, and is heard to.

        Guards against one that hears nobody and claims again and again: each of its ballots would stop the
        one that leads. To ignore a ballot is as if it were lost.
        """
        if self.leads:
            return self.fresh is None or now - self.fresh > self.terms.silence
        return sender == self._heeded or now - self.heard > self.terms.silence

    def hear_beaten(self, sender: int, message: Beaten) -> None:
        """An answer to a beat of ours."""
        if message.number in self._beats:
            self._beats[message.number][1].add(Seat(sender, message.store))
            self._confirm(message.number)

    def _confirm(self, number: int) -> None:
        ledger, (at, seats) = self.ledger, self._beats[number]
        if ledger is None or not self.leads:
            return
        if all(has_quorum(each, seats) for each in (ledger.seats, ledger.before) if each):
            self.fresh = at if self.fresh is None else max(self.fresh, at)

    # -- what is told

    def hear_report(self, now: int, sender: int, report: Report) -> list[Tell]:
        """What a gateway runs."""
        known = self.reports.get(sender)
        since = known.since if known is not None and known.number == report.number else now
        self.reports[sender] = Reported(report.number, report.wanted, report.why, report.load, now, since)
        return [Tell(sender, Noted(report.number, report.wanted))]

    def hear_vote(self, sender: int, voted: Voted) -> None:
        """A vote on what is asked about, in this term."""
        change = self._change(Stage.ASKED)
        if change is None or (voted.term, voted.number) != (change.term, change.version.number):
            return
        vote = Vote(sender, voted.store, voted.yes, voted.why, voted.seal)
        if is_cast(self.secret, vote, change.version, change.term):
            self.votes[sender] = vote

    def hear_waiting(self, now: int, sender: int, waiting: Waiting) -> None:
        """A voter whose store has no seat."""
        self.waiting[sender] = waiting, now

    def command(self, step: Step) -> bool:
        """Take a step that is asked for, whose term is filled in; False where too many wait."""
        if len(self.commands) >= COMMANDS_MOST:
            return False
        self.commands.append(step)
        return True

    def _change(self, stage: Stage) -> Change | None:
        change = self.ledger.change if self.ledger is not None else None
        return change if change is not None and change.stage is stage else None

    # -- the next step

    def next_step(self, now: int) -> Step | None:
        """What is to be tried now."""
        if not self.register.votes or self.register.attempt is not None:
            return None
        ledger = self.ledger
        assert ledger is not None
        if not self.leads:
            if now - self.heard <= self.patience:
                return None
            return self._claim(now, ledger)
        if now - max(self.fresh or 0, self._claimed) > 3 * self.terms.silence + self.patience:
            return self._claim(now, ledger)  # our beats are not answered: a later ballot was promised
        self._note_stage(now, ledger)
        return self._by_rules(now, ledger) or self._by_command()

    def _claim(self, now: int, ledger: Ledger) -> Step:
        self._claims += 1
        self.heard, self.patience, self._claimed = now, self._patience(), now
        self.led = ledger.term + 1
        self.fresh = None
        self.votes.clear()
        return Claim(self.register.rank, self.led)

    def _note_stage(self, now: int, ledger: Ledger) -> None:
        """When the change came to where it stands, by our own clock."""
        change = ledger.change
        stage = (ledger.term, change.version.number, change.stage, change.reach) if change else ()
        if stage != self._stage:
            if stage[:3] != self._stage[:3]:
                self.votes.clear()
            if change is None or self.stager is None or self.stager.number != change.version.number:
                self.stager = stages.Stager(self.terms.stages, change.version.number, now) if change else None
            self._stage, self._since = stage, now

    def _by_rules(self, now: int, ledger: Ledger) -> Step | None:
        if ledger.before:
            return Settle(ledger.term, ledger.index)
        for rank, (waiting, at) in sorted(self.waiting.items()):
            seat = next((seat for seat in ledger.seats if seat.rank == rank), None)
            if seat is not None and seat.store != waiting.store and now - at < NEAR:
                return Admit(ledger.term, rank, waiting.store)
        change = ledger.change
        if change is None:
            return None
        if change.stage is Stage.ASKED:
            return self._decide(now, ledger, change)
        return self._adopt(now, ledger, change)

    def _decide(self, now: int, ledger: Ledger, change: Change) -> Step | None:
        """By the votes that came, or the silence of those who did not vote."""
        number, seats = change.version.number, set(ledger.seats)
        votes = [vote for vote in self.votes.values() if Seat(vote.rank, vote.store) in seats]
        yes = tuple(vote for vote in votes if vote.yes)
        if len(yes) >= majority(ledger.seats):
            first = stages.first_batch(self.terms.stages, self.loads())
            reach = first if self._is_staged(ledger, change) else range(self.gateways)
            return Approve(ledger.term, number, yes, ranks_as_bits(reach, self.gateways))
        no = [vote for vote in votes if not vote.yes]
        reasons = "; ".join(f"gateway {vote.rank}: {vote.why}" for vote in no)
        if len(no) > len(seats) - majority(ledger.seats):
            return Stop(ledger.term, number, reasons)
        if now - self._since > self.terms.decide:
            silent = sorted({seat.rank for seat in seats} - {vote.rank for vote in votes})
            return Stop(ledger.term, number, f"no quorum said yes; silent: {silent}; {reasons}")
        return None

    def _is_staged(self, ledger: Ledger, change: Change) -> bool:
        """Whether it goes by stages: not what takes harm back, nor a move of sets, which goes by shares."""
        same = change.version.parts.customers == ledger.current.version.parts.customers
        return bool(self.terms.stages.soak) and not change.version.undoes and same

    def loads(self) -> list[float]:
        """Answers a second of each gateway, as it said last."""
        found = (self.reports.get(rank) for rank in range(self.gateways))
        return [float(known.load) if known is not None else 0.0 for known in found]

    def _adopt(self, now: int, ledger: Ledger, change: Change) -> Step | None:
        """All of the stage have confirmed, or can't serve by anything else any more."""
        number, missing = change.version.number, self.missing(change)
        reached = [rank for rank in range(self.gateways) if has_rank(change.reach, rank)]
        late = now - self._since > self.terms.lease * DRIFT
        if len(reached) == self.gateways:
            if missing and not late:
                return None
            names = ", ".join(map(str, missing[:TOLD_MOST])) + (" ..." if len(missing) > TOLD_MOST else "")
            why = f"not confirmed, and not serving: {len(missing)}: {names}" if missing else ""
            return Finish(self.led, number, why)
        assert self.stager is not None
        self.stager.at(now, change.reach, () if late else missing)
        verdict = self.stager.verdict(now)
        if verdict:
            return self._take_back(ledger, change, verdict)
        if verdict is None or change.paused:
            return None
        more = stages.next_batch(self.terms.stages, self.loads(), reached)
        return Widen(self.led, number, ranks_as_bits(more, self.gateways))

    def _take_back(self, ledger: Ledger, change: Change, why: str) -> Step:
        """A stage that does harm is undone by itself."""
        number, parts = change.version.number, ledger.current.version.parts
        return Propose(
            self.led, f"harm-{number}", parts, number, "the fleet", f"stopped at harm: {why}", number
        )

    def sides(self, change: Change, turn: int) -> tuple[list[int], list[int]]:
        """Gateways that run a change's version and such that run the one before: a sample of each."""
        number = change.version.number
        runs = {rank: known.number for rank, known in self.reports.items()}
        new = [rank for rank in sorted(runs) if runs[rank] == number]
        old = [rank for rank in sorted(runs) if runs[rank] != number and not change.reaches(rank)]
        return stages.sample(new, turn), stages.sample(old, turn)

    def missing(self, change: Change) -> list[int]:
        """The gateways that are to run a version and did not say that they do."""
        number = change.version.number
        return [
            rank
            for rank in range(self.gateways)
            if has_rank(change.reach, rank)
            and ((known := self.reports.get(rank)) is None or known.number != number)
        ]

    def _by_command(self) -> Step | None:
        if not self.commands:
            return None
        return msgspec.structs.replace(self.commands.popleft(), term=self.led)
