"""Every state that some state machines and what lies between them can come to, by breadth-first search.

For models small enough to be searched whole: a state is a value with ``key`` (equal where nothing that
follows can differ), ``moves`` (each a name and the state that it leads to) and ``wrong`` (what must never be,
or None). A counterexample is the shortest list of moves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Protocol


class State(Protocol):
    """One state of a model."""

    def key(self) -> Hashable:
        """What distinguishes it."""

    def moves(self) -> Iterable[tuple[str, State]]:
        """What can happen next; a name that begins with "!" is a fault."""

    def wrong(self) -> str | None:
        """The invariant that it breaks."""

    def good(self) -> bool:
        """Whether it is one that must stay within reach without a further fault."""


@dataclass
class Explored:
    """What a search found."""

    states: int = 0
    moves: int = 0
    wrong: list[tuple[str, list[str]]] = field(default_factory=list)  # the invariant, and how it came
    stuck: list[list[str]] = field(default_factory=list)  # ways to states from which no good one is reached


def explore(first: State, most: int = 2_000_000, kept: int = 3) -> Explored:
    """Search all states from ``first``. Raises RuntimeError over ``most`` of them."""
    found = Explored()
    parents: dict[Hashable, tuple[Hashable | None, str]] = {first.key(): (None, "")}
    back: dict[Hashable, list[Hashable]] = {}
    good: list[Hashable] = []
    queue: deque[State] = deque([first])
    while queue:
        state = queue.popleft()
        key = state.key()
        found.states += 1
        if found.states > most:
            raise RuntimeError(f"more than {most} states")
        why = state.wrong()
        if why is not None:
            if len(found.wrong) < kept:
                found.wrong.append((why, _path(parents, key)))
            continue
        if state.good():
            good.append(key)
        for name, after in state.moves():
            found.moves += 1
            other = after.key()
            if not name.startswith("!"):
                back.setdefault(other, []).append(key)
            if other not in parents:
                parents[other] = key, name
                queue.append(after)
    reached = _backwards(good, back)
    for key in parents:
        if key not in reached and len(found.stuck) < kept:
            found.stuck.append(_path(parents, key))
    return found


def _path(parents: dict[Hashable, tuple[Hashable | None, str]], key: Hashable) -> list[str]:
    names = []
    at: Hashable | None = key
    while at is not None:
        at, name = parents[at]
        names.append(name)
    return names[-2::-1] if len(names) > 1 else []


def _backwards(good: list[Hashable], back: dict[Hashable, list[Hashable]]) -> set[Hashable]:
    reached, left = set(good), list(good)
    while left:
        for before in back.get(left.pop(), ()):
            if before not in reached:
                reached.add(before)
                left.append(before)
    return reached
