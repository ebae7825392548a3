"""Exhaustive breadth-first search of the states of a model.

For models small enough to be searched completely. A state is a value with ``key`` (equal where nothing that
follows can differ), ``moves`` (each a name and the state that it leads to) and ``broken_invariant``. A
counterexample is the shortest list of moves.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol


class State(Protocol):
    """One state of a model."""

    def key(self) -> Hashable:
        """Return what distinguishes it."""

    def moves(self) -> Iterable[tuple[str, State]]:
        """Return what can happen next; a name that begins with "!" is a fault."""

    def broken_invariant(self) -> str | None:
        """Return the invariant that it breaks."""

    def is_good(self) -> bool:
        """Tell whether it must stay within reach without a further fault."""


class Violation(NamedTuple):
    """A broken invariant, and the moves that led to it."""

    invariant: str
    path: list[str]


@dataclass
class Exploration:
    """What a search found; ``stuck_paths`` lead to states from which no good one is reached."""

    state_count: int = 0
    move_count: int = 0
    violations: list[Violation] = field(default_factory=list)
    stuck_paths: list[list[str]] = field(default_factory=list)


class Origin(NamedTuple):
    """How a state was first reached; the first state has no parent."""

    parent: Hashable | None
    move: str


def explore(first: State, max_states: int = 2_000_000, max_examples: int = 3) -> Exploration:
    """Search all states from ``first``. Raises RuntimeError where there are more than ``max_states``."""
    exploration = Exploration()
    origins: dict[Hashable, Origin] = {first.key(): Origin(None, "")}
    predecessors: dict[Hashable, list[Hashable]] = {}  # by moves that are no faults
    good: list[Hashable] = []
    queue: deque[State] = deque([first])
    while queue:
        state = queue.popleft()
        key = state.key()
        exploration.state_count += 1
        if exploration.state_count > max_states:
            raise RuntimeError(f"more than {max_states} states")
        invariant = state.broken_invariant()
        if invariant is not None:
            if len(exploration.violations) < max_examples:
                exploration.violations.append(Violation(invariant, _path(origins, key)))
            continue
        if state.is_good():
            good.append(key)
        for name, following in state.moves():
            exploration.move_count += 1
            following_key = following.key()
            if not name.startswith("!"):
                predecessors.setdefault(following_key, []).append(key)
            if following_key not in origins:
                origins[following_key] = Origin(key, name)
                queue.append(following)
    exploration.stuck_paths = _stuck_paths(origins, _reaching(good, predecessors), max_examples)
    return exploration


def _stuck_paths(
    origins: dict[Hashable, Origin], reaching: set[Hashable], max_examples: int
) -> list[list[str]]:
    stuck = [key for key in origins if key not in reaching]
    return [_path(origins, key) for key in stuck[:max_examples]]


def _path(origins: dict[Hashable, Origin], key: Hashable) -> list[str]:
    """Return the moves from the first state to this one."""
    moves = []
    current: Hashable | None = key
    while current is not None:
        current, move = origins[current]
        moves.append(move)
    return moves[-2::-1] if len(moves) > 1 else []


def _reaching(good: list[Hashable], predecessors: dict[Hashable, list[Hashable]]) -> set[Hashable]:
    """Return all states from which a good one is reached without a fault."""
    reaching = set(good)
    pending = list(good)
    while pending:
        for predecessor in predecessors.get(pending.pop(), ()):
            if predecessor not in reaching:
                reaching.add(predecessor)
                pending.append(predecessor)
    return reaching
