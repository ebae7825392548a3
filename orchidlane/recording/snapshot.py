"""Takes the exact state of a running policy: each account is copied before the policy next accesses it.

Dumping 100,000 accounts at once would block the event loop for seconds. A ``Snapshot`` is of one moment
between two events: everything except the accounts is dumped at once, which costs in proportion to the
endpoints and the requests in flight. The accounts follow page by page while the policy continues; an account
that the policy is about to read or change before its page is made is copied first. All pages together have
the accounts as they were at that moment.

The policy reaches its accounts through one dictionary, and through pending requests, whose accounts are
copied at the start. ``track_accounts`` replaces the dictionary by one that behaves the same and whose class
changes while a snapshot is taken, so that accounts cost nothing extra at other times.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Protocol

from orchidlane.policy.accounts import Account
from orchidlane.policy.gateway import Gateway
from orchidlane.recording.state_dump import StateDump, account_to_row, dump_state

PAGE_ACCOUNTS = 256  # dumping them takes the event loop about 2 ms


class AccountObserver(Protocol):
    """An observer that is notified of each account before the policy accesses it."""

    def before_access(self, customer: int) -> None:
        """Handle that the policy may change, create or drop this customer's account next."""


class ObservableAccounts(dict[int, Account]):
    """The accounts of a policy by customer, which can have observers."""

    observers: tuple[AccountObserver, ...] = ()

    def add_observer(self, observer: AccountObserver) -> None:
        """Notify an observer of each account before it is accessed."""
        self.observers = (*self.observers, observer)
        self.__class__ = _ObservedAccounts

    def remove_observer(self, observer: AccountObserver) -> None:
        """Stop notifying an observer."""
        self.observers = tuple(other for other in self.observers if other is not observer)
        if not self.observers:
            self.__class__ = ObservableAccounts


class _ObservedAccounts(ObservableAccounts):
    """The dictionary while it has observers; reads notify too, since the reader may change the account."""

    def _notify(self, customer: int) -> None:
        for observer in self.observers:
            observer.before_access(customer)

    def __getitem__(self, customer: int) -> Account:
        self._notify(customer)
        return super().__getitem__(customer)

    def get(self, customer: int, default: Any = None) -> Any:
        """Notify the observers, then return an account or the default."""
        self._notify(customer)
        return super().get(customer, default)

    def __setitem__(self, customer: int, account: Account) -> None:
        self._notify(customer)
        super().__setitem__(customer, account)

    def __delitem__(self, customer: int) -> None:
        self._notify(customer)
        super().__delitem__(customer)


def track_accounts(gateway: Gateway) -> None:
    """Prepare a policy for snapshots; called once, when the policy starts."""
    if not isinstance(gateway.accounts, ObservableAccounts):
        gateway.accounts = ObservableAccounts(gateway.accounts)


class Snapshot:
    """The state of a tracked policy at one moment; create it between two events.

    ``state`` has everything except the accounts. ``pages`` yields the accounts as rows of
    ``StateDump.accounts``, at most ``PAGE_ACCOUNTS`` at a time, and may be iterated as slowly as needed. Call
    ``close`` where not all pages are read. Memory: one number for each account, and a row for each account
    that was accessed before its page was made.
    """

    def __init__(self, gateway: Gateway) -> None:
        assert isinstance(gateway.accounts, ObservableAccounts), "track_accounts was not called"
        self._accounts: ObservableAccounts = gateway.accounts
        self._rows_copied_early: list[list[Any]] = []
        self._order = list(gateway.accounts)
        self._remaining = set(self._order)
        self.account_count = len(self._remaining)
        self.state: StateDump = dump_state(gateway, include_accounts=False)
        accounts_in_use = [request.account for request in gateway.requests.values()]
        accounts_in_use += [request.account for _, request in gateway.attempts.values()]
        for account in accounts_in_use:
            if account is not None:
                self.before_access(account.customer)
        self._accounts.add_observer(self)

    def before_access(self, customer: int) -> None:
        """Copy an account that the policy is about to access, unless it is copied already."""
        if customer in self._remaining:
            self._remaining.remove(customer)
            self._rows_copied_early.append(self._row(customer))

    def pages(self) -> Iterator[list[list[Any]]]:
        """Yield the accounts page by page, each made on demand; close the snapshot at the end."""
        try:
            while self._remaining or self._rows_copied_early:
                yield self._next_page()
        finally:
            self.close()

    def close(self) -> None:
        """Drop the remaining pages and stop observing the policy's accounts."""
        self._order = []
        self._remaining = set()
        self._rows_copied_early = []
        self._accounts.remove_observer(self)

    def _next_page(self) -> list[list[Any]]:
        page = self._rows_copied_early[:PAGE_ACCOUNTS]
        self._rows_copied_early = self._rows_copied_early[PAGE_ACCOUNTS:]
        while self._remaining and len(page) < PAGE_ACCOUNTS:
            customer = self._order.pop()
            if customer in self._remaining:
                self._remaining.remove(customer)
                page.append(self._row(customer))
        return page

    def _row(self, customer: int) -> list[Any]:
        return account_to_row(dict.__getitem__(self._accounts, customer))
