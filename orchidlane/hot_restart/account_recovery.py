"""What a gateway that starts anew makes of accounts that its earlier life wrote down. Decides without I/O.

Counts only grow, so what is written down was spent for certain. What was spent since is not known, and could
be all that there was: the room then, and what came back until the earlier life ended. So a customer begins
with no room, filling from the latest moment at which the earlier life may still have spent. Nothing is held
back from others: the limit is lowered, which is ours alone, and not the total raised, which is told. A
gateway of the customer's set that lived on knows better, and its word lifts the limit to where it is.

Of a ceiling's rights nobody knows what was used, so each part fills from nothing, as at any start. Our own
count begins a new life: an earlier one's is within the total.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from orchidlane.policy.accounts import Account
from orchidlane.recording import account_from_row


class Life(NamedTuple):
    """What is known of the earlier one. Times are microseconds of the one clock."""

    rank: int
    plans: Sequence[str]  # its numbers of plans
    taken: int  # when the accounts were
    until: int  # when it may have spent at the latest; ``taken`` where it ended in order
    clean: bool


def survivors(rows: Iterable[Any], life: Life, plans: Sequence[str], now: int) -> Iterator[Account]:
    """The accounts to begin with, of those whose plan there still is. Raises what bad rows cause."""
    numbers = {name: number for number, name in enumerate(plans)}
    back = now < life.taken  # the clock went back: how long it has been is not known
    risen = now if back else min(now, life.until)
    for row in rows:
        account = account_from_row(row)
        plan = numbers.get(life.plans[account.plan])
        if plan is None:
            continue
        account.key = account.key._replace(plan=plan)
        room = account.remaining if life.clean and not back else 0.0
        account.limit, account.refilled_at_us = account.spent_total + max(0.0, room), risen
        account.replica_counts.pop(life.rank, None)
        account.recently_changed = tuple(rank for rank in account.recently_changed if rank != life.rank)
        account.unconfirmed, account.exhausted = account.replica_set_size > 1, False
        account.in_flight = account.announced_at_us = 0
        account.peer_admissions_at_us, account.ceiling_tokens, account.requested_tokens = (), 0.0, 0.0
        yield account
