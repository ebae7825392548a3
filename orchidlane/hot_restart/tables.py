"""The tables of a gateway as ``PreCopy`` brings them over, and what a successor makes of their rows.

What is out when the state passes stays with the old process, so a successor begins with nothing out: at nodes
it counts from none, and a customer's open requests become approvals that others made lately, which the module
takes to be out for as long as usual.
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
    """The counts, limits and rights of each customer."""

    name = "accounts"

    def __init__(self, gateway: Gateway) -> None:
        track_accounts(gateway)
        self._accounts: ObservableAccounts = gateway.accounts  # type: ignore[assignment]
        self._touched: dict[Hashable, None] | None = None

    def keys(self) -> Iterable[Hashable]:
        """Customers."""
        return list(self._accounts)

    def row(self, key: Any) -> Any:
        """As ``StateDump.accounts`` has it."""
        account = dict.get(self._accounts, key)
        return account_to_row(account) if account is not None else None

    def watch(self, touched: dict[Hashable, None] | None) -> None:
        """By the dictionary through which the module reaches its accounts."""
        if self._touched is None and touched is not None:
            self._accounts.add_observer(self)
        elif touched is None and self._touched is not None:
            self._accounts.remove_observer(self)
        self._touched = touched

    def before_access(self, customer: int) -> None:
        """The module reaches for an account: it may change."""
        if self._touched is not None:
            self._touched[customer] = None


class NamedTable:
    """Tokens or grants, by their names."""

    def __init__(self, name: str, kept: TokenOwner | GrantStore) -> None:
        self.name = name
        self._kept = kept

    def keys(self) -> Iterable[Hashable]:
        """Names."""
        return list(self._kept.names())

    def row(self, key: Any) -> Any:
        """As the holder or ledger tells it."""
        return self._kept.row(key)

    def watch(self, touched: dict[Hashable, None] | None) -> None:
        """By the holder's or ledger's own word."""
        self._kept.touched = touched


class Carried:
    """What a successor has been told so far; rows may be told again."""

    def __init__(self, holder: TokenOwner, ledger: GrantStore) -> None:
        self.accounts: dict[int, Account] = {}
        self.holder = holder
        self.ledger = ledger

    def take(self, table: str, rows: list[Any], gone: list[Any], now: int) -> None:
        """Rows of one table, and keys of it that are gone. Raises ValueError, KeyError, TypeError."""
        if table == AccountsTable.name:
            for row in rows:
                account = account_from_row(row)
                account.peer_admissions_at_us = (
                    *account.peer_admissions_at_us,
                    *(now for _ in range(account.in_flight)),
                )
                account.in_flight = 0
                self.accounts[account.customer] = account
            for customer in gone:
                self.accounts.pop(customer, None)
            return
        kept: Any = {"tokens": self.holder, "grants": self.ledger}[table]
        for row in rows:
            kept.load(row)
        for name in gone:
            kept.forget(name)


def module_at_moment(gateway: Gateway) -> StateDump:
    """All of a module but its accounts and what is out."""
    told = dump_state(gateway, customers=[])
    plain = {
        **told.scalars,
        "changed": list(gateway.pending_changes),
        "closed": list(gateway.exhausted_customers),
    }
    return msgspec.structs.replace(told, scalars=plain)


def module_of(
    settings: policy.Settings, told: StateDump, accounts: dict[int, Account], kinds: list[int | None]
) -> Gateway:
    """A successor's module. ``kinds``: for each of its classes the old number of it, None for a new one.

    Raises FormatError, KeyError.
    """
    usual, changed, closed = told.scalars["usual"], told.scalars["changed"], told.scalars.get("closed", ())
    gateway = restore_gateway(settings, told)
    fresh = Gateway(settings, 0, gateway.now).usual_duration_us
    gateway.usual_duration_us = [fresh[i] if old is None else usual[old] for i, old in enumerate(kinds)]
    gateway.accounts = ObservableAccounts(accounts)
    gateway.idle_queue.extend(accounts)  # the order of looks is free
    gateway.pending_changes = {customer: None for customer in changed if customer in accounts}
    gateway.exhausted_customers = {customer: 0 for customer in closed if customer in accounts}  # told of anew
    for host in gateway.endpoints.values():
        host.in_flight = 0
    return gateway


def hold_back(gateway: Gateway) -> None:
    """A module that decides again after another process did: rights that it may have used are not ours.

    Its counts were told as they grew; of ceilings nobody knows what was lent, so each part fills from
    nothing, as at a start.
    """
    gateway.started_at_us = gateway.now  # those not met yet, too
    for account in gateway.accounts.values():
        account.ceiling_tokens = account.requested_tokens = 0.0
