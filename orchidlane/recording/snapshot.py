"""An exact state of a policy that goes on deciding: accounts are copied before they are first accessed.

Dumping 100,000 accounts at once would hold the loop up for seconds. A ``Snapshot`` fixes one moment between
two events: everything but the accounts is dumped there, which costs in proportion to the endpoints and the
requests in flight. The accounts follow page by page while the policy goes on; an account that is about to be
read or changed before its page came is copied first. What the pages hold together is the state of that one
moment.

The policy reaches its accounts through one dictionary, and through pending requests, whose accounts are
copied at the start. ``track_accounts`` puts a dictionary in its place that behaves the same and whose class
changes while a snapshot is taken, so that the policy pays nothing at other times.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Protocol

from orchidlane.policy.accounts import Account
from orchidlane.policy.gateway import Gateway
from orchidlane.recording.state_dump import StateDump, account_to_row, dump_state

PAGE_ACCOUNTS = 256  # about 2 ms of the loop


class AccountObserver(Protocol):
    """Is notified of each account before the policy accesses it."""

    def before_access(self, customer: int) -> None:
        """Note that the account of this customer may be changed, created or dropped next."""


class ObservableAccounts(dict[int, Account]):
    """The accounts of a policy by customer, with the observers of their use."""

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
    """The same dictionary while somebody observes it: whoever accesses an account may change it."""

    def _notify(self, customer: int) -> None:
        for observer in self.observers:
            observer.before_access(customer)

    def __getitem__(self, customer: int) -> Account:
        self._notify(customer)
        return super().__getitem__(customer)

    def get(self, customer: int, default: Any = None) -> Any:
        """Return an account, after the observers were notified."""
        self._notify(customer)
        return super().get(customer, default)

    def __setitem__(self, customer: int, account: Account) -> None:
        self._notify(customer)
        super().__setitem__(customer, account)

    def __delitem__(self, customer: int) -> None:
        self._notify(customer)
        super().__delitem__(customer)


def track_accounts(gateway: Gateway) -> None:
    """Let snapshots be taken of a policy; once, at its start."""
    if not isinstance(gateway.accounts, ObservableAccounts):
        gateway.accounts = ObservableAccounts(gateway.accounts)


class Snapshot:
    """One moment of a tracked policy, to be made between two events; ``state`` is all but the accounts.

    ``pages`` yields the accounts as rows of ``StateDump.accounts``, at most ``PAGE_ACCOUNTS`` at a time; go
    on with it whenever there is time, or ``close`` it. Memory: one number for each account, and a row for
    each account that was accessed before its page.
    """

    def __init__(self, gateway: Gateway) -> None:
        assert isinstance(gateway.accounts, ObservableAccounts), "not tracked"
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
        """Copy an account that the policy is about to access, unless its page came."""
        if customer in self._remaining:
            self._remaining.remove(customer)
            self._rows_copied_early.append(self._row(customer))

    def pages(self) -> Iterator[list[list[Any]]]:
        """Yield the accounts; each page is made when it is asked for. Closes the snapshot at its end."""
        try:
            while self._remaining or self._rows_copied_early:
                yield self._next_page()
        finally:
            self.close()

    def close(self) -> None:
        """Drop the remaining pages: the policy pays nothing for this snapshot from here on."""
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
