"""What one gateway granted and may take back: reservations, takes that can be given back, and credits.
 Counts only grow, so units that come back are a credit of the gateway that granted them: a later take of
the same customer through it is paid from the credit and counted no more. A credit is worth at most what a
true store would have room for (the burst less what is there now), since a store that is full loses what is
put back.
 Each grant has one owner, so exactly one of commit, release, give-back and expiry happens to it. A restart
forgets grants and credits: their units stay counted, which costs the customer and never the quota.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """What became of a command on a grant."""

    DONE = "done"
    AGAIN = "done before"
    EXPIRED = "expired"
    UNKNOWN = "unknown"


class LedgerError(Exception):
    """A bound is reached."""


@dataclass(slots=True)
class _Grant:
    customer: int
    units: float
    expires: int
    reserved: bool  # comes back by itself when it expires
    ended: Outcome | None = None


@dataclass(slots=True)
class _Credit:
    units: float
    expires: int


class Ledger:
    """Grants and credits of one gateway, at most ``most`` of each; spans in microseconds."""

    def __init__(self, most: int, life: int, credit_life: int) -> None:
        self.most = most
        self.life = life
        self.credit_life = credit_life
        self._grants: dict[bytes, _Grant] = {}
        self._due: list[tuple[int, bytes]] = []
        self.touched: dict[bytes, None] | None = None  # grants that changed, while somebody watches
        self._credits: OrderedDict[int, _Credit] = OrderedDict()  # in the order of their expiry

    def __len__(self) -> int:
        return len(self._grants)

    def grant(self, now: int, name: bytes, customer: int, units: float, span: int | None = None) -> None:
        """Remember a take; with a span it is a reservation. Raises LedgerError at the bound."""
        self.expire(now)
        if len(self._grants) >= self.most:
            raise LedgerError(f"{self.most} grants are remembered already")
        expires = now + (self.life if span is None else span)
        self._grants[name] = _Grant(customer, units, expires, reserved=span is not None)
        heapq.heappush(self._due, (expires, name))
        self._touch(name)

    def full(self, now: int) -> bool:
        """Whether no further grant can be remembered."""
        self.expire(now)
        return len(self._grants) >= self.most

    def commit(self, now: int, name: bytes, customer: int) -> Outcome:
        """A reservation is used: its units stay counted."""
        return self._end(now, name, customer, reserved=True, back=False)

    def release(self, now: int, name: bytes, customer: int) -> Outcome:
        """A reservation is not used: its units come back."""
        return self._end(now, name, customer, reserved=True, back=True)

    def give_back(self, now: int, name: bytes, customer: int) -> Outcome:
        """A take was not used: its units come back, once."""
        return self._end(now, name, customer, reserved=False, back=True)

    def _end(self, now: int, name: bytes, customer: int, reserved: bool, back: bool) -> Outcome:
        grant = self._grants.get(name)
        self.expire(now)
        if grant is None or grant.customer != customer or grant.reserved != reserved:
            return Outcome.UNKNOWN
        if grant.ended is not None:
            return grant.ended if grant.ended is Outcome.EXPIRED else Outcome.AGAIN
        if grant.expires <= now:
            return Outcome.EXPIRED
        grant.ended = Outcome.DONE
        self._touch(name)
        if back:
            self._add_credit(now, grant)
        return Outcome.DONE

    def expire(self, now: int) -> None:
        """Reservations that are over come back; what ended is forgotten a life later."""
        while self._due and self._due[0][0] <= now:
            _, name = heapq.heappop(self._due)
            grant = self._grants.get(name)
            if grant is None:
                continue
            if grant.ended is None and grant.reserved:
                grant.ended = Outcome.EXPIRED
                self._touch(name)
                self._add_credit(now, grant)
                heapq.heappush(self._due, (now + self.life, name))
            else:
                del self._grants[name]
                self._touch(name)

    # -- to another process of this gateway

    def _touch(self, name: bytes) -> None:
        if self.touched is not None:
            self.touched[name] = None

    def names(self) -> list[bytes]:
        """All grants that are remembered."""
        return list(self._grants)

    def row(self, name: bytes) -> list[object] | None:
        """A grant as plain values, None where it is not remembered."""
        grant = self._grants.get(name)
        if grant is None:
            return None
        ended = grant.ended.value if grant.ended else ""
        return [name, grant.customer, grant.units, grant.expires, grant.reserved, ended]

    def load(self, row: list[object]) -> None:
        """Remember a grant as ``row`` told it."""
        name, customer, units, expires, reserved, ended = row
        outcome = Outcome(ended) if ended else None
        self._grants[name] = _Grant(customer, units, expires, reserved, outcome)  # type: ignore
        due = expires + self.life if outcome is not None else expires  # type: ignore
        heapq.heappush(self._due, (due, name))  # type: ignore

    def forget(self, name: bytes) -> None:
        """A grant that was told is not remembered any more."""
        self._grants.pop(name, None)

    def credits(self) -> list[tuple[int, float, int]]:
        """All credits: customer, units, when they expire."""
        return [(customer, one.units, one.expires) for customer, one in self._credits.items()]

    def load_credits(self, rows: list[tuple[int, float, int]]) -> None:
        """Take credits over, in the order in which they were told."""
        self._credits = OrderedDict((row[0], _Credit(row[1], row[2])) for row in rows)

    def drop_credits(self) -> None:
        """They are another process's now."""
        self._credits.clear()

    def _add_credit(self, now: int, grant: _Grant) -> None:
        """What comes back joins the customer's credit; at the bound the oldest credit goes."""
        left = self.credit(now, grant.customer)
        self._credits[grant.customer] = _Credit(left + grant.units, now + self.credit_life)
        self._credits.move_to_end(grant.customer)
        while len(self._credits) > self.most or next(iter(self._credits.values())).expires <= now:
            self._credits.popitem(last=False)

    def credit(self, now: int, customer: int) -> float:
        """Units of the customer that came back and are not used."""
        credit = self._credits.get(customer)
        return credit.units if credit is not None and credit.expires > now else 0.0

    def pay(self, now: int, customer: int, units: float, room: float, burst: float) -> bool:
        """Pay a take from the customer's credit, if that holds all of it; ``room`` is what the store has."""
        self.expire(now)
        have = min(self.credit(now, customer), max(0.0, burst - room))
        if have < units:
            return False
        self._credits[customer].units -= units
        return True
