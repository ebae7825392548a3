"""Restores accounts that an earlier incarnation of a gateway saved. No I/O.

Counts only grow, so the saved units were certainly spent. How many units were spent after the save is
unknown. It may be every unit that was available: those remaining at the save and the refill until the earlier
incarnation stopped. Therefore a customer starts with no units remaining, and the refill starts at the latest
time at which the earlier incarnation may still have spent units. This is done by lowering the limit, which
has only a local effect; a raised merged total would be sent to peers. Gossip from a gateway of the replica
set that kept running raises the limit to its true value.

The ceiling tokens in use are unknown, so each gateway's share of a ceiling fills from zero, as at any start.
The gateway's own count restarts at zero: the merged total includes that of the earlier incarnation.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from orchidlane.policy.accounts import Account
from orchidlane.recording import account_from_row


class PreviousIncarnation(NamedTuple):
    """The incarnation that saved the accounts; times are in microseconds of the gateway's clock."""

    rank: int
    plan_names: Sequence[str]  # indexed by that incarnation's plan numbers
    saved_at_us: int
    valid_until_us: int  # it may have spent units until then; ``saved_at_us`` after a clean shutdown
    clean_shutdown: bool


def recover_accounts(
    rows: Iterable[Any], previous: PreviousIncarnation, plans: Sequence[str], now: int
) -> Iterator[Account]:
    """Yield the accounts to start with; accounts of a plan that no longer exists are left out.

    Passes on any exception that decoding an invalid row raises.
    """
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
    clock_went_back = now < previous.saved_at_us  # the time since the save is then unknown
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
