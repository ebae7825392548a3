"""Copies tables while they change: every row once, then changed rows in rounds until few are left.

This is the pre-copy method of live migration for memory pages (Clark et al., "Live Migration of Virtual
Machines", NSDI 2005, section 3). The pause at the handover then depends only on the last few rows, whatever
the size of the tables. The number of rounds is bounded: rows that change faster than they are sent would
otherwise be sent indefinitely.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any, NamedTuple, Protocol

PAGE_ROWS = 256
MAX_ROUNDS = 5  # of changed rows, after the initial copy of every row
MAX_FINAL_ROWS = 64  # changed rows that may be left for the handover


class Table(Protocol):
    """A table that reports changes to an observer."""

    name: str

    def keys(self) -> Iterable[Hashable]:
        """Return all current keys."""

    def row(self, key: Hashable) -> Any:
        """Return the current row of a key as plain values, None if there is none."""

    def watch(self, changed: dict[Hashable, None] | None) -> None:
        """Add each key that is changed, inserted or removed from now on to ``changed``; None stops this."""


class Page(NamedTuple):
    """Up to ``PAGE_ROWS`` rows of one table, and keys that were removed from it."""

    table: str
    rows: list[Any]
    removed: list[Hashable]


class PreCopy:
    """The copy of several tables: send ``next_page`` until it returns None, then all ``final_pages``."""

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
        """Return the next page; None once few enough rows are left, or after ``MAX_ROUNDS`` rounds."""
        while True:
            for table, unsent in zip(self.tables, self._unsent, strict=True):
                if unsent:
                    keys = unsent[-PAGE_ROWS:]
                    del unsent[-PAGE_ROWS:]  # from the end, so that the cost does not depend on the length
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
        """Allow two more rounds, for rows that changed during the self-check of the new process."""
        self.rounds = min(self.rounds, MAX_ROUNDS - 2)

    def final_pages(self) -> list[Page]:
        """Return all rows that changed since they were last sent, and stop watching the tables."""
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
