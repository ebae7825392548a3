"""Copies tables that go on changing: every row once, then again what changed, until little is left.

As live migration does with memory pages (Clark et al., "Live Migration of Virtual Machines", NSDI 2005,
section 3): the pause at the handover is then that of the last few rows, whatever the size of the tables.
Rounds are bounded, since rows that change faster than they are sent would be sent for ever.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any, NamedTuple, Protocol

PAGE_ROWS = 256
MAX_ROUNDS = 5  # after the first, which sends every row
MAX_FINAL_ROWS = 64  # that may be left to the handover


class Table(Protocol):
    """A table that reports changes to an observer."""

    name: str

    def keys(self) -> Iterable[Hashable]:
        """Return all current keys."""

    def row(self, key: Hashable) -> Any:
        """Return the row of a key as plain values, None if there is none now."""

    def watch(self, touched: dict[Hashable, None] | None) -> None:
        """Add each key that is changed, inserted or removed from now on to ``touched``; None ends it."""


class Page(NamedTuple):
    """Some rows of one table, and keys that were removed from it."""

    table: str
    rows: list[Any]
    removed: list[Hashable]


class PreCopy:
    """The copy of some tables: send each ``next_page`` until it is None, then all ``final_pages``."""

    def __init__(self, tables: Iterable[Table]) -> None:
        self.tables = list(tables)
        self.rounds = 0
        self.rows_sent = 0
        self._changed: list[dict[Hashable, None]] = [{} for _ in self.tables]
        self._unsent: list[list[Hashable]] = []
        for table, changed in zip(self.tables, self._changed, strict=True):
            self._unsent.append(list(table.keys()))
            table.watch(changed)

    def next_page(self) -> Page | None:
        """Return the next page; None once few enough rows are left for the handover."""
        while True:
            for table, unsent in zip(self.tables, self._unsent, strict=True):
                if unsent:
                    keys = unsent[-PAGE_ROWS:]
                    del unsent[-PAGE_ROWS:]  # at the end: a page costs its own rows, however many are left
                    return self._make_page(table, keys)
            if self.rounds >= MAX_ROUNDS or sum(map(len, self._changed)) <= MAX_FINAL_ROWS:
                return None
            self._start_round()

    def _start_round(self) -> None:
        self.rounds += 1
        for index, table in enumerate(self.tables):
            self._unsent[index] = list(self._changed[index])
            self._changed[index] = {}
            table.watch(self._changed[index])

    def allow_more_rounds(self) -> None:
        """Allow two more rounds, for what changed while the new process checked itself."""
        self.rounds = min(self.rounds, MAX_ROUNDS - 2)

    def final_pages(self) -> list[Page]:
        """Return all that changed since it was sent last, and stop watching the tables."""
        pages = []
        for index, table in enumerate(self.tables):
            keys = list(dict.fromkeys([*self._unsent[index], *self._changed[index]]))
            if keys:
                pages.append(self._make_page(table, keys))
        self.close()
        return pages

    def close(self) -> None:
        """Stop watching the tables."""
        for table in self.tables:
            table.watch(None)

    def _make_page(self, table: Table, keys: list[Hashable]) -> Page:
        page = Page(table.name, [], [])
        for key in keys:
            row = table.row(key)
            if row is None:
                page.removed.append(key)
            else:
                page.rows.append(row)
        self.rows_sent += len(keys)
        return page
