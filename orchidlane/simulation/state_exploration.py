"""Exhaustive breadth-first search of the states of a model.

The model must be small enough to be searched completely. Two states have the same ``key`` if their futures
cannot differ; ``moves`` are the transitions from a state, each with a name and the next state. A
counterexample is a shortest list of moves to a state that violates an invariant.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol


class State(Protocol):
    """One state of a model."""

    def key(self) -> Hashable:
        """Return a value that is equal for states with the same future."""

    def moves(self) -> Iterable[tuple[str, State]]:
        """Return the moves by name, each with the next state; a name that starts with "!" is a fault."""

    def broken_invariant(self) -> str | None:
        """Return the invariant that the state violates; None if it violates none."""

    def is_goal(self) -> bool:
        """Return whether the state is a goal; one must be reachable from each state without another fault."""


class Violation(NamedTuple):
    """A violated invariant, and the moves from the first state to the violation."""

    invariant: str
    path: list[str]


@dataclass
class Exploration:
    """The result of a search; ``stuck_paths`` lead to states from which no goal is reachable."""

    state_count: int = 0
    move_count: int = 0
    violations: list[Violation] = field(default_factory=list)
    stuck_paths: list[list[str]] = field(default_factory=list)


class Origin(NamedTuple):
    """How a state was first reached; the first state has no parent."""

    parent: Hashable | None
    move: str


def explore(first: State, max_states: int = 2_000_000, max_examples: int = 3) -> Exploration:
    """Search all states reachable from ``first``. Raises RuntimeError beyond ``max_states`` states."""
    exploration = Exploration()
    origins: dict[Hashable, Origin] = {first.key(): Origin(None, "")}
    predecessors: dict[Hashable, list[Hashable]] = {}  # by key, over moves that are no faults
    goals: list[Hashable] = []
    queue: deque[State] = deque([first])
    while queue:
        state = queue.popleft()
        key = state.key()
        exploration.state_count += 1
        if exploration.state_count > max_states:
            raise RuntimeError(f"the model has more than {max_states} states")
        invariant = state.broken_invariant()
        if invariant is not None:
            if len(exploration.violations) < max_examples:
                exploration.violations.append(Violation(invariant, _path(origins, key)))
            continue
        if state.is_goal():
            goals.append(key)
        for name, following in state.moves():
            exploration.move_count += 1
            following_key = following.key()
            if not name.startswith("!"):
                predecessors.setdefault(following_key, []).append(key)
            if following_key not in origins:
                origins[following_key] = Origin(key, name)
                queue.append(following)
    exploration.stuck_paths = _stuck_paths(origins, _reaching(goals, predecessors), max_examples)
    return exploration


def _stuck_paths(
    origins: dict[Hashable, Origin], reaching: set[Hashable], max_examples: int
) -> list[list[str]]:
    stuck = [key for key in origins if key not in reaching]
    return [_path(origins, key) for key in stuck[:max_examples]]


def _path(origins: dict[Hashable, Origin], key: Hashable) -> list[str]:
    """Return the moves from the first state to the state with this key."""
    moves = []
    current: Hashable | None = key
    while current is not None:
        current, move = origins[current]
        moves.append(move)
    return moves[-2::-1] if len(moves) > 1 else []


def _reaching(goals: list[Hashable], predecessors: dict[Hashable, list[Hashable]]) -> set[Hashable]:
    """Return the keys of all states from which a goal is reachable without a fault."""
    reaching = set(goals)
    pending = list(goals)
    while pending:
        for predecessor in predecessors.get(pending.pop(), ()):
            if predecessor not in reaching:
                reaching.add(predecessor)
                pending.append(predecessor)
    return reaching
