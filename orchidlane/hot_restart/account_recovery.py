"""Restores accounts that an earlier incarnation of a gateway saved. No I/O.

Counts only grow, so what was saved was certainly spent. What was spent since is not known, and could be all
that there was: the remaining units then, and the refill until the earlier incarnation ended. So a customer
begins with nothing remaining, refilling from the latest moment at which the earlier incarnation may still
have spent. The limit is lowered for this, which is local, and not the merged total raised, which peers would
learn. Gossip from a gateway of the replica set that stayed up lifts the limit to where it is.

Of a ceiling's tokens nothing is known, so each part fills from nothing, as at any start. The gateway's own
count begins anew: that of the earlier incarnation is within the merged total.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from orchidlane.policy.accounts import Account
from orchidlane.recording import account_from_row


class PreviousIncarnation(NamedTuple):
    """What is known of the incarnation that saved the accounts; times are microseconds of the clock."""

    rank: int
    plan_names: Sequence[str]  # by its plan numbers
    saved_at_us: int
    valid_until_us: int  # it may have spent until then; ``saved_at_us`` after a clean shutdown
    clean_shutdown: bool


def recover_accounts(
    rows: Iterable[Any], previous: PreviousIncarnation, plans: Sequence[str], now: int
) -> Iterator[Account]:
    """Yield the accounts to begin with, without those whose plan is gone. Raises what bad rows cause."""
    plan_numbers = {name: number for number, name in enumerate(plans)}
    for row in rows:
        account = account_from_row(row)
        plan = plan_numbers.get(previous.plan_names[account.plan])
        if plan is None:
            continue
        account.key = account.key._replace(plan=plan)
        _reset(account, previous, now)
        yield account


def _reset(account: Account, previous: PreviousIncarnation, now: int) -> None:
    clock_went_back = now < previous.saved_at_us  # then the time that has passed is not known
    keeps_remaining = previous.clean_shutdown and not clock_went_back
    remaining = account.remaining if keeps_remaining else 0.0
    account.limit = account.spent_total + max(0.0, remaining)
    account.refilled_at_us = now if clock_went_back else min(now, previous.valid_until_us)
    account.replica_counts.pop(previous.rank, None)
    account.recently_changed = tuple(rank for rank in account.recently_changed if rank != previous.rank)
    account.unconfirmed = account.replica_set_size > 1
    account.exhausted = False
    account.in_flight = 0
    account.announced_at_us = 0
    account.peer_admissions_at_us = ()
    account.ceiling_tokens = 0.0
    account.requested_tokens = 0.0
