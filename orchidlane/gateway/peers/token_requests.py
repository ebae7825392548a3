"""Carries out takes, tokens, reservations and give-backs over the fleet; ``orchidlane.limits`` decides on
them.
 Gateways ask each other by sealed datagrams that are sent again until they are answered: every question has
the same answer however often it comes. Questions to ourselves take the same way without a socket.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from enum import IntEnum
from typing import Any, Protocol

import msgspec

from orchidlane.gateway.control.customers import Customer
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.forwarding.policy_driver import PolicyDriver
from orchidlane.limits import (
    Claim,
    Holder,
    Ledger,
    LedgerError,
    Outcome,
    State,
    Verdict,
    holders_of,
    token_name,
)
from orchidlane.runtime import Expired, Loop, Scope, Task

NUMBERS_APART = 1 << 32  # between the questions of a process and those of its successor
ANSWERED_MOST = 4_096  # answers kept, so that a question that comes again is told the same


class Op(IntEnum):
    """What a question asks."""

    CLAIM = 1
    LOOK = 2
    SETTLE = 3
    GIVE_UP = 4
    GIVE_BACK = 5
    COMMIT = 6
    RELEASE = 7


class Question(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """One question; ``number`` names the claim or grant that it is about."""

    id: int
    op: int
    name: bytes
    customer: int = 0
    number: int = 0
    units: float = 0.0


class Reply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Its answer."""

    id: int
    state: int = 0
    rank: int = -1
    units: float = 0.0
    outcome: str = ""


class NoAnswer(Exception):
    """The gateways that would have to know do not answer; nothing was counted by this command."""


class LentLimits(Protocol):
    """Passes grants on to the process that holds them in our place."""

    def granted(self, name: bytes, customer: int, units: float, span: int | None) -> None:
        """Units that were taken, under a name."""


class LimitService:
    """One gateway's part in takes, tokens and reservations."""

    def __init__(
        self,
        loop: Loop,
        fleet: FleetSettings,
        rank: int,
        host: PolicyDriver,
        tell: Callable[[int, bytes], None],
        scope: Scope,
    ) -> None:
        self.loop = loop
        self.terms = fleet.quotas
        self.gateways = len(fleet.gateways)
        self.rank = rank
        self.host = host
        self.tell = tell
        self.scope = scope
        now = loop.now()
        self.life = now
        self.holder = Holder(self.terms.token_lifetime_us, self.terms.max_tokens, now)
        self.ledger = Ledger(
            self.terms.max_grants, self.terms.grant_lifetime_us, self.terms.credit_lifetime_us
        )
        self.granted = self.refused = 0
        self._asked: dict[int, tuple[Task, list[Reply]]] = {}
        self._answered: OrderedDict[tuple[int, int], bytes] = OrderedDict()
        self.lent: LentLimits | None = None  # our successor holds tokens and grants from its moment on
        self.others: Callable[[int, bytes], None] | None = None  # gets answers to questions that are not ours
        self._numbers = now  # a later life asks under other numbers, and is not told old answers

    # -- to another process of this gateway

    def carried(self) -> dict[str, Any]:
        """All but tokens and grants that a successor needs."""
        return {
            "life": self.life,
            "numbers": self._numbers,
            "sure_from": self.holder.sure_from,
            "credits": self.ledger.credits(),
            "answered": [(*key, answer) for key, answer in self._answered.items()],
        }

    def carry_on(self, carried: dict[str, Any]) -> None:
        """Go on where another process of this gateway stood; it still waits for answers to lower numbers."""
        self.life = int(carried["life"])
        self._numbers = int(carried["numbers"]) + NUMBERS_APART
        self.holder.sure_from = int(carried["sure_from"])
        self.ledger.load_credits(carried["credits"])
        self._answered = OrderedDict(((row[0], row[1]), row[2]) for row in carried["answered"])

    def hold_back(self) -> None:
        """Decide again after another process did: what it granted meanwhile is not known here."""
        now = self.loop.now()
        self.lent = None
        self._numbers += 2 * NUMBERS_APART
        self.holder.sure_from = now + self.terms.token_lifetime_us
        self.ledger.drop_credits()

    # -- the store of a customer, as it is known here

    def room(self, customer: Customer) -> float:
        """Units that the customer has left, as far as this gateway knows; nothing is changed."""
        plan = self.host.settings.plans[customer.plan]
        account = self.host.gateway.accounts.get(customer.number)
        if account is None:
            return plan.burst
        gained = plan.rate * (self.loop.now() - account.refilled_at_us) / 1_000_000
        return min(plan.burst, account.remaining + gained)

    def wait_for(self, customer: Customer, units: float) -> int:
        """Microseconds until so many units should be there; 0 where there is no rate."""
        plan = self.host.settings.plans[customer.plan]
        lacking = units - self.room(customer)
        return max(1_000, int(lacking / plan.rate * 1_000_000)) if plan.rate and lacking > 0 else 0

    # -- takes

    def take(self, customer: Customer, units: float, kind: int) -> bool:
        """Paid from what came back, or asked of the module."""
        plan = self.host.settings.plans[customer.plan]
        now = self.loop.now()
        if self.lent is None and self.ledger.pay(
            now, customer.number, units, self.room(customer), plan.burst
        ):
            self.granted += 1
            return True
        admitted = self.host.request_quota(customer, units, kind)
        self.granted += admitted
        self.refused += not admitted
        return admitted

    def take_within(self, customer: Customer, units: float, kind: int, span: int) -> bool:
        """The same, trying again as room should come, for so many microseconds."""
        by = self.loop.now() + span
        while not self.take(customer, units, kind):
            pause = max(self.wait_for(customer, units), 5_000)
            if self.loop.now() + pause > by:
                return False
            self.loop.sleep(pause)
        return True

    def take_once(self, customer: Customer, units: float, kind: int, span: int, token: bytes) -> bool:
        """A take that counts once however often it comes with its token. Raises NoAnswer, LedgerError."""
        name = token_name(customer.number, token)
        by = self.loop.now() + max(span, 2 * self.terms.peer_reply_timeout_us)
        while True:
            number = self._next()
            claim = self._claim(name, customer, number)
            verdict = claim.verdict()
            if verdict is Verdict.DECIDE:
                return self._decide(name, customer, units, kind, span, number, claim)
            self._give_up(name, customer, number, claim)
            if verdict is Verdict.REPEAT:
                return True
            if verdict is Verdict.OUT_OF_REACH or self.loop.now() >= by:
                raise NoAnswer("the take with this token is not settled")
            self.loop.sleep(self.loop.world.random.randint(10_000, 40_000))

    def _decide(
        self, name: bytes, customer: Customer, units: float, kind: int, span: int, number: int, claim: Claim
    ) -> bool:
        if self.ledger.full(self.loop.now()) or not self.take_within(customer, units, kind, span):
            self._give_up(name, customer, number, claim)
            if self.ledger.full(self.loop.now()):
                raise LedgerError("too many grants are remembered")
            return False
        self._grant(name, customer, units)
        settle = Question(0, Op.SETTLE, name, customer.number, number, units)
        self._ask_all(claim.holders, settle, enough=claim.majority)
        return True

    def _grant(self, name: bytes, customer: Customer, units: float, span: int | None = None) -> None:
        if self.lent is not None:
            self.lent.granted(name, customer.number, units, span)
        else:
            self.ledger.grant(self.loop.now(), name, customer.number, units, span)

    def _claim(self, name: bytes, customer: Customer, number: int) -> Claim:
        claim = Claim(holders_of(name, self._set(customer)))
        question = Question(0, Op.CLAIM, name, customer.number, number)
        for rank, reply in self._ask_all(claim.holders, question).items():
            if reply is None:
                claim.miss(rank)
            else:
                claim.hear(rank, (State(reply.state), reply.rank, reply.units))
        return claim

    def _give_up(self, name: bytes, customer: Customer, number: int, claim: Claim) -> None:
        fresh = [rank for rank, (state, _, _) in claim.answers.items() if state is State.FRESH]
        self._ask_all(fresh, Question(0, Op.GIVE_UP, name, customer.number, number))

    def _set(self, customer: Customer) -> list[int]:
        return [(customer.replica_set_start + i) % self.gateways for i in range(customer.replica_set_size)]

    def _next(self) -> int:
        self._numbers += 1
        return self._numbers

    # -- what comes back

    def give_back(self, customer: Customer, token: bytes) -> Outcome:
        """The units of a take come back, once. Raises NoAnswer."""
        name = token_name(customer.number, token)
        holders = holders_of(name, self._set(customer))
        heard = self._ask_all(holders, Question(0, Op.LOOK, name, customer.number))
        replies = [reply for reply in heard.values() if reply is not None]
        owner = next((reply.rank for reply in replies if reply.state == State.GRANTED), None)
        if owner is None:
            if len(replies) <= len(holders) // 2 or any(r.state == State.UNSURE for r in replies):
                raise NoAnswer("too few gateways know of the token")
            return Outcome.UNKNOWN
        return self._at_owner(owner, Op.GIVE_BACK, name, customer)

    def reserve(self, customer: Customer, units: float, kind: int, span: int) -> bytes | None:
        """The name of a reservation, None beyond the quota. Raises LedgerError at the bound."""
        if self.ledger.full(self.loop.now()):
            raise LedgerError("too many grants are remembered")
        if not self.take(customer, units, kind):
            return None
        name = b"%d-%x-%d" % (self.rank, self.life, self._next())
        self._grant(name, customer, units, span)
        return name

    def end_reservation(self, customer: Customer, name: bytes, commit: bool) -> Outcome:
        """Commit or release a reservation, wherever it was made. Raises NoAnswer."""
        rank = name.split(b"-", 1)[0]
        if not rank.isdigit() or int(rank) >= self.gateways or len(name) > 64:
            return Outcome.UNKNOWN
        return self._at_owner(int(rank), Op.COMMIT if commit else Op.RELEASE, name, customer)

    def _at_owner(self, rank: int, op: Op, name: bytes, customer: Customer) -> Outcome:
        reply = self._ask_all([rank], Question(0, op, name, customer.number))[rank]
        if reply is None:
            raise NoAnswer(f"gateway {rank}, which granted the units, does not answer")
        return Outcome(reply.outcome)

    # -- questions and answers

    def _ask_all(
        self, ranks: list[int], question: Question, enough: int | None = None
    ) -> dict[int, Reply | None]:
        """Ask several gateways at once; None for those that do not answer in time."""
        task = self.loop.current
        assert task is not None
        waiting: dict[int, int] = {}
        found: dict[int, Reply | None] = {}
        for rank in ranks:
            asked = msgspec.structs.replace(question, id=self._next())
            if rank == self.rank and self.lent is None:
                found[rank] = self._reply(self.rank, asked)
            else:
                waiting[rank] = asked.id
                self._asked[asked.id] = task, []
                self.tell(rank, msgspec.msgpack.encode(asked))
        by = self.loop.now() + self.terms.peer_reply_timeout_us
        again = self.loop.now() + self.terms.retry_delay_us
        try:
            while self._collect(waiting, found) and (enough is None or len(found) < enough):
                if self.loop.now() >= by:
                    break
                try:
                    self.loop.park(min(by, again))
                except Expired:
                    again = self.loop.now() + self.terms.retry_delay_us
                    for rank, number in waiting.items():
                        asked = msgspec.structs.replace(question, id=number)
                        self.tell(rank, msgspec.msgpack.encode(asked))
        finally:
            for number in waiting.values():
                self._asked.pop(number, None)
        return found | dict.fromkeys(waiting)

    def _collect(self, waiting: dict[int, int], found: dict[int, Reply | None]) -> bool:
        """Move what was answered over; whether something is still waited for."""
        for rank, number in list(waiting.items()):
            replies = self._asked[number][1]
            if replies:
                found[rank] = replies[0]
                del waiting[rank]
                del self._asked[number]
        return bool(waiting)

    def hear(self, sender: int, body: bytes) -> None:
        """A datagram of another gateway: a question, or an answer to one of ours."""
        try:
            message = msgspec.msgpack.decode(body, type=Question | Reply)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return
        if isinstance(message, Reply):
            asked = self._asked.get(message.id)
            if asked is not None:
                asked[1].append(message)
                self.loop.wake(asked[0])
            elif self.others is not None:
                self.others(sender, body)
            return
        known = self._answered.get((sender, message.id))
        if known is None:
            known = msgspec.msgpack.encode(self._reply(sender, message))
            self._answered[sender, message.id] = known
            if len(self._answered) > ANSWERED_MOST:
                self._answered.popitem(last=False)
        self.tell(sender, known)

    def _reply(self, sender: int, asked: Question) -> Reply:
        now, claimant = self.loop.now(), (sender, asked.number)
        if asked.op in (Op.CLAIM, Op.LOOK):
            claims = asked.op == Op.CLAIM
            found = (
                self.holder.claim(now, asked.name, claimant) if claims else self.holder.look(now, asked.name)
            )
            return Reply(asked.id, *found)
        if asked.op == Op.SETTLE:
            self.holder.settle(now, asked.name, claimant, asked.units)
        elif asked.op == Op.GIVE_UP:
            self.holder.give_up(now, asked.name, claimant)
        ends = {Op.GIVE_BACK: self.ledger.give_back, Op.COMMIT: self.ledger.commit}
        ends[Op.RELEASE] = self.ledger.release
        end = ends.get(asked.op)  # type: ignore[call-overload]
        return Reply(asked.id, outcome=end(now, asked.name, asked.customer).value if end else "")
