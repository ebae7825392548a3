"""Tables that ``PreCopy`` copies, and the state that a new process builds from their rows.

Requests in flight at the handover stay with the old process, so a new process begins without any: no endpoint
has one, and a customer's requests in flight become admissions that peers made lately, which the policy counts
as in flight for the usual duration.
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
        self._touched: dict[Hashable, None] | None = None

    def keys(self) -> Iterable[Hashable]:
        """Return the customers' numbers."""
        return list(self._accounts)

    def row(self, key: Any) -> Any:
        """Return the row of a customer as in ``StateDump.accounts``, None if there is no account."""
        account = dict.get(self._accounts, key)
        return account_to_row(account) if account is not None else None

    def watch(self, touched: dict[Hashable, None] | None) -> None:
        """Observe the dictionary through which the policy reaches its accounts."""
        if self._touched is None and touched is not None:
            self._accounts.add_observer(self)
        elif touched is None and self._touched is not None:
            self._accounts.remove_observer(self)
        self._touched = touched

    def before_access(self, customer: int) -> None:
        """Note an account that the policy has looked up: it may change."""
        if self._touched is not None:
            self._touched[customer] = None


class NamedTable:
    """Tokens or grants by name."""

    def __init__(self, name: str, entries: TokenOwner | GrantStore) -> None:
        self.name = name
        self._entries = entries

    def keys(self) -> Iterable[Hashable]:
        """Return the names of the entries."""
        return list(self._entries.names())

    def row(self, key: Any) -> Any:
        """Return the row of an entry, None if there is none."""
        return self._entries.row(key)

    def watch(self, touched: dict[Hashable, None] | None) -> None:
        """Have the store note the names that it changes."""
        self._entries.changed_names = touched


class ReceivedTables:
    """What a new process has received so far; a row may be received again."""

    def __init__(self, token_owner: TokenOwner, grants: GrantStore) -> None:
        self.accounts: dict[int, Account] = {}
        self.token_owner = token_owner
        self.grants = grants

    def apply(self, table: str, rows: list[Any], removed: list[Any], now: int) -> None:
        """Store rows of one table and remove keys from it. Raises ValueError, KeyError, TypeError."""
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
            in_flight_as_peers = (now for _ in range(account.in_flight))
            account.peer_admissions_at_us = (*account.peer_admissions_at_us, *in_flight_as_peers)
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

    ``old_classes`` has for each class of the new settings its number in the old process, None for a new one.
    Raises FormatError, KeyError.
    """
    scalars = state.scalars
    usual = scalars["usual"]
    changed = scalars["changed"]
    exhausted = scalars.get("closed", ())
    gateway = restore_gateway(settings, state)
    initial = Gateway(settings, 0, gateway.now).baseline_latency_us
    gateway.baseline_latency_us = [
        initial[new] if old is None else usual[old] for new, old in enumerate(old_classes)
    ]
    gateway.accounts = ObservableAccounts(accounts)
    gateway.idle_queue.extend(accounts)  # in any order: it only says which account is examined next
    gateway.pending_changes = {customer: None for customer in changed if customer in accounts}
    gateway.exhausted_customers = {
        customer: 0 for customer in exhausted if customer in accounts
    }  # announced anew
    for endpoint in gateway.endpoints.values():
        endpoint.in_flight = 0
    return gateway


def forfeit_ceiling_tokens(gateway: Gateway) -> None:
    """Reset what another process may have used while it decided in this one's place.

    Its counts were reported as they grew; of ceilings nobody knows what was used, so each part fills from
    nothing, as at a start.
    """
    gateway.started_at_us = gateway.now  # for customers without an account, too
    for account in gateway.accounts.values():
        account.ceiling_tokens = 0.0
        account.requested_tokens = 0.0
