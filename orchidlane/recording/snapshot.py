"""An exact state of a module that goes on deciding: accounts are copied before they are first touched.

Dumping 100,000 accounts at once would hold the loop up for seconds. A ``Snapshot`` fixes one moment between
two events: everything but the accounts is dumped there, which goes with the nodes and the requests under way.
The accounts follow page by page while the module goes on; an account that is about to be read or changed
before its page came is copied first. What the pages hold together is the state of that one moment.

The module reaches its accounts through one dictionary, and through requests under way, whose accounts are
copied at the start. ``track`` puts a dictionary in its place that behaves the same and whose class changes
while a snapshot is taken, so that the module pays nothing at other times.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Protocol

from orchidlane.policy.accounts import Account
from orchidlane.policy.gateway import Gateway
from orchidlane.recording.state_dump import Dump, dump, dump_account

PAGE = 256  # accounts of one page: about 2 ms of the loop


class Watcher(Protocol):
    """Is told of each account before the module reaches for it."""

    def save(self, customer: int) -> None:
        """The account of this customer may be changed, made or dropped next."""


class Accounts(dict[int, Account]):
    """A module's accounts by customer, with those who watch what is done with them."""

    watchers: tuple[Watcher, ...] = ()

    def watch(self, watcher: Watcher) -> None:
        """Tell a watcher of each account before it is reached for."""
        self.watchers = (*self.watchers, watcher)
        self.__class__ = _Watched

    def unwatch(self, watcher: Watcher) -> None:
        """Tell it no more."""
        self.watchers = tuple(one for one in self.watchers if one is not watcher)
        if not self.watchers:
            self.__class__ = Accounts


class _Watched(Accounts):
    """The same dictionary while somebody watches: whoever reaches for an account may change it."""

    def _save(self, customer: int) -> None:
        for watcher in self.watchers:
            watcher.save(customer)

    def __getitem__(self, customer: int) -> Account:
        self._save(customer)
        return super().__getitem__(customer)

    def get(self, customer: int, default: Any = None) -> Any:
        self._save(customer)
        return super().get(customer, default)

    def __setitem__(self, customer: int, account: Account) -> None:
        self._save(customer)
        super().__setitem__(customer, account)

    def __delitem__(self, customer: int) -> None:
        self._save(customer)
        super().__delitem__(customer)


def track(gateway: Gateway) -> None:
    """Let snapshots be taken of a module; once, at its start."""
    if not isinstance(gateway.accounts, Accounts):
        gateway.accounts = Accounts(gateway.accounts)


class Snapshot:
    """One moment of a tracked module. Make it between two events; ``head`` is all but the accounts.

    ``pages`` yields the accounts, each as ``Dump.accounts`` has them, at most ``PAGE`` at a time; go on with
    it whenever there is time, or ``close`` it. Memory: one place for each account, and a row for each that
    was touched before its page.
    """

    def __init__(self, gateway: Gateway) -> None:
        assert isinstance(gateway.accounts, Accounts), "not tracked"
        self._gateway = gateway
        self._accounts: Accounts = gateway.accounts
        self._early: list[list[Any]] = []
        self._order = list(gateway.accounts)
        self._left = set(self._order)
        self.customers = len(self._left)
        self.head: Dump = dump(gateway, accounts=False)
        under_way = [request.account for request in gateway.requests.values()]
        under_way += [request.account for _, request in gateway.attempts.values()]
        for account in under_way:
            if account is not None:
                self.save(account.customer)
        self._accounts.watch(self)

    def save(self, customer: int) -> None:
        """The module is about to reach for an account: copy it, unless its page came."""
        if customer in self._left:
            self._left.remove(customer)
            self._early.append(self._row(customer))

    def pages(self) -> Iterator[list[list[Any]]]:
        """The accounts; each page is made when it is asked for. Closes the snapshot at its end."""
        try:
            while self._left or self._early:
                yield self._page()
        finally:
            self.close()

    def _page(self) -> list[list[Any]]:
        page, self._early = self._early[:PAGE], self._early[PAGE:]
        while self._left and len(page) < PAGE:
            customer = self._order.pop()
            if customer in self._left:
                self._left.remove(customer)
                page.append(self._row(customer))
        return page

    def _row(self, customer: int) -> list[Any]:
        return dump_account(dict.__getitem__(self._accounts, customer))

    def close(self) -> None:
        """No more pages are wanted: the module pays nothing for this snapshot from here on."""
        self._order, self._left, self._early = [], set(), []
        self._accounts.unwatch(self)
