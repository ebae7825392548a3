"""Brings tables over that go on changing: every row once, then again what changed, until little is left.

As live migration does with memory pages (Clark et al., "Live Migration of Virtual Machines", NSDI 2005,
section 3): the pause at the moment is then that of the last few rows, whatever the size of the tables. Rounds
are bounded, since rows that change faster than they are told would be told for ever.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any, Protocol

PAGE = 256  # rows of one page
ROUNDS = 5  # at most, after the first
SMALL = 64  # rows that the moment may bring: then no further round is made


class Table(Protocol):
    """A table that tells what is touched while somebody watches."""

    name: str

    def keys(self) -> Iterable[Hashable]:
        """All keys there are now."""

    def row(self, key: Hashable) -> Any:
        """The row of a key as plain values, None where there is none now."""

    def watch(self, touched: dict[Hashable, None] | None) -> None:
        """Add each key that is changed, made or taken away from now on; None ends it."""


class PreCopy:
    """The copy of some tables: take ``page`` until it is None, then at the moment all ``rest``."""

    def __init__(self, tables: Iterable[Table]) -> None:
        self.tables = list(tables)
        self.rounds = 0
        self.told = 0
        self._touched: list[dict[Hashable, None]] = [{} for _ in self.tables]
        self._left: list[list[Hashable]] = []
        for table, touched in zip(self.tables, self._touched, strict=True):
            self._left.append(list(table.keys()))
            table.watch(touched)

    def page(self) -> tuple[str, list[Any], list[Hashable]] | None:
        """The next rows of a table, and keys that are gone; None once little is left for the moment."""
        while True:
            for table, left in zip(self.tables, self._left, strict=True):
                if left:
                    keys = left[-PAGE:]
                    del left[-PAGE:]  # a page costs its own rows, however many are left
                    return self._rows(table, keys)
            if self.rounds >= ROUNDS or sum(map(len, self._touched)) <= SMALL:
                return None
            self._next_round()

    def _next_round(self) -> None:
        self.rounds += 1
        for place, table in enumerate(self.tables):
            self._left[place] = list(self._touched[place])
            self._touched[place] = {}
            table.watch(self._touched[place])

    def again(self) -> None:
        """Some time has passed: two more rounds may be made before the moment."""
        self.rounds = min(self.rounds, ROUNDS - 2)

    def rest(self) -> list[tuple[str, list[Any], list[Hashable]]]:
        """All that changed since it was told last; the tables are watched no more."""
        found = []
        for place, table in enumerate(self.tables):
            keys = list(dict.fromkeys([*self._left[place], *self._touched[place]]))
            if keys:
                found.append(self._rows(table, keys))
        self.close()
        return found

    def close(self) -> None:
        """Nothing more is wanted."""
        for table in self.tables:
            table.watch(None)

    def _rows(self, table: Table, keys: list[Hashable]) -> tuple[str, list[Any], list[Hashable]]:
        rows, gone = [], []
        for key in keys:
            row = table.row(key)
            if row is None:
                gone.append(key)
            else:
                rows.append(row)
        self.told += len(keys)
        return table.name, rows, gone
