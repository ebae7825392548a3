"""Tables that ``PreCopy`` copies, and the state that a new process builds from their rows.

Requests in flight at the handover stay with the old process, so a new process starts with none: each
endpoint's count of requests in flight starts at zero. A customer's requests in flight are recorded as recent
admissions of peers, which the policy counts as in flight for the usual duration of a request.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any

import msgspec

from orchidlane import policy
from orchidlane.limits import GrantStore, TokenOwner
from orchidlane.policy.accounts import Account
from orchidlane.policy.gateway import Gateway
from orchidlane.recording import (
    ObservableAccounts,
    StateDump,
    account_from_row,
    account_to_row,
    dump_state,
    restore_gateway,
    track_accounts,
)


class AccountsTable:
    """The accounts of a policy: counts, limits and tokens of each customer."""

    name = "accounts"

    def __init__(self, gateway: Gateway) -> None:
        track_accounts(gateway)
        self._accounts: ObservableAccounts = gateway.accounts  # type: ignore[assignment]
        self._changed: dict[Hashable, None] | None = None  # None: not watched

    def keys(self) -> Iterable[Hashable]:
        """Return the numbers of all customers with an account."""
        return list(self._accounts)

    def row(self, key: Any) -> Any:
        """Return the row of a customer as in ``StateDump.accounts``, None if there is no account."""
        account = dict.get(self._accounts, key)
        return account_to_row(account) if account is not None else None

    def watch(self, changed: dict[Hashable, None] | None) -> None:
        """Record each account that the policy accesses in ``changed``; None stops this."""
        if self._changed is None and changed is not None:
            self._accounts.add_observer(self)
        elif changed is None and self._changed is not None:
            self._accounts.remove_observer(self)
        self._changed = changed

    def before_access(self, customer: int) -> None:
        """Record an account that the policy is about to access, since it may change."""
        if self._changed is not None:
            self._changed[customer] = None


class NamedTable:
    """Tokens of a token owner, or grants, by name."""

    def __init__(self, name: str, entries: TokenOwner | GrantStore) -> None:
        self.name = name
        self._entries = entries

    def keys(self) -> Iterable[Hashable]:
        """Return the names of the entries."""
        return list(self._entries.names())

    def row(self, key: Any) -> Any:
        """Return the row of an entry, None if there is none."""
        return self._entries.row(key)

    def watch(self, changed: dict[Hashable, None] | None) -> None:
        """Let the store record the names of entries that it changes in ``changed``; None stops this."""
        self._entries.changed_names = changed


class ReceivedTables:
    """The rows that a new process has received so far; a row may be received several times."""

    def __init__(self, token_owner: TokenOwner, grants: GrantStore) -> None:
        self.accounts: dict[int, Account] = {}
        self.token_owner = token_owner
        self.grants = grants

    def apply(self, table: str, rows: list[Any], removed: list[Any], now: int) -> None:
        """Store rows of one table and remove keys from it.

        ``now`` is the clock in microseconds. Raises ValueError, KeyError or TypeError if a table's name or a
        row is invalid.
        """
        if table == AccountsTable.name:
            self._apply_accounts(rows, removed, now)
            return
        entries: Any = {"tokens": self.token_owner, "grants": self.grants}[table]
        for row in rows:
            entries.load(row)
        for name in removed:
            entries.forget(name)

    def _apply_accounts(self, rows: list[Any], removed: list[Any], now: int) -> None:
        for row in rows:
            account = account_from_row(row)
            in_flight_admitted_at_us = (now for _ in range(account.in_flight))
            account.peer_admissions_at_us = (*account.peer_admissions_at_us, *in_flight_admitted_at_us)
            account.in_flight = 0
            self.accounts[account.customer] = account
        for customer in removed:
            self.accounts.pop(customer, None)


def final_policy_state(gateway: Gateway) -> StateDump:
    """Return the state of a policy without its accounts and without requests in flight."""
    state = dump_state(gateway, customers=[])
    scalars = {
        **state.scalars,
        "changed": list(gateway.pending_changes),
        "closed": list(gateway.exhausted_customers),
    }
    return msgspec.structs.replace(state, scalars=scalars)


def restore_policy(
    settings: policy.Settings, state: StateDump, accounts: dict[int, Account], old_classes: list[int | None]
) -> Gateway:
    """Build a new process's policy.

    ``old_classes`` has, for each request class of the new settings, its number in the old process, None for a
    class that the old process did not have. Raises FormatError or KeyError if the state is invalid.
    """
    scalars = state.scalars
    old_baseline_us = scalars["usual"]
    changed = scalars["changed"]
    exhausted = scalars.get("closed", ())
    gateway = restore_gateway(settings, state)
    initial = Gateway(settings, 0, gateway.now).baseline_latency_us
    gateway.baseline_latency_us = [
        initial[new] if old is None else old_baseline_us[old] for new, old in enumerate(old_classes)
    ]
    gateway.accounts = ObservableAccounts(accounts)
    gateway.idle_queue.extend(accounts)  # any order will do: it only decides which account is examined next
    gateway.pending_changes = {customer: None for customer in changed if customer in accounts}
    # 0: attached to no message so far, so that each exhausted customer is announced again
    gateway.exhausted_customers = {customer: 0 for customer in exhausted if customer in accounts}
    for endpoint in gateway.endpoints.values():
        endpoint.in_flight = 0
    return gateway


def forfeit_ceiling_tokens(gateway: Gateway) -> None:
    """Reset the ceiling tokens, which another process may have used while it decided in this one's place.

    The other process reported its counts as they grew, but not its use of ceiling tokens. So this gateway's
    share of each ceiling fills from zero, as at a start.
    """
    gateway.started_at_us = gateway.now  # also covers customers without an account
    for account in gateway.accounts.values():
        account.ceiling_tokens = 0.0
        account.requested_tokens = 0.0
