"""A radix tree over path segments: a match's cost grows with the path, not with the number of routes.

At every position, concrete segments are tried before templated ones (OpenAPI 3.1, Paths Object). A segment
may hold several templates and literals (``{name}.{ending}``). Where a branch does not match, the search
continues with the next one, so ``/a/b/c`` matches ``/a/{x}/c`` even if the tree also holds ``/a/b/d``. One
match visits at most ``MAX_VISITED_NODES`` nodes.
"""

from __future__ import annotations

import re
from typing import Generic, NamedTuple, TypeVar

Value = TypeVar("Value")
TEMPLATE = re.compile(r"\{([^{}/]+)\}")
MAX_VISITED_NODES = 512


class _Pattern(NamedTuple, Generic[Value]):
    """A segment with templates and literals in it; the one with the most literal text is tried first."""

    sort_key: int  # the number of literal characters, negated
    source: str
    expression: re.Pattern[str]
    node: _Node[Value]


class _Node(Generic[Value]):
    """The continuations of one path prefix: concrete segments, patterns, and a whole-segment template."""

    __slots__ = ("concrete", "names", "patterns", "value", "wildcard")

    def __init__(self) -> None:
        self.concrete: dict[str, _Node[Value]] = {}
        self.patterns: list[_Pattern[Value]] = []
        self.wildcard: _Node[Value] | None = None
        self.value: Value | None = None
        self.names: tuple[str, ...] = ()


class Tree(Generic[Value]):
    """Path templates and their values."""

    def __init__(self) -> None:
        self._root: _Node[Value] = _Node()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, template: str, value: Value) -> None:
        """Add a template such as ``/a/{b}``. Raises ValueError if it is invalid or equivalent to another."""
        node = self._root
        names: list[str] = []
        for segment in template.split("/")[1:]:
            segment_names = TEMPLATE.findall(segment)
            names += segment_names
            node = self._child(node, segment, has_template=bool(segment_names))
        if len(set(names)) < len(names):
            raise ValueError(f"{template} names a parameter twice")
        if node.value is not None:
            raise ValueError(f"{template} matches the same paths as another template")
        node.value = value
        node.names = tuple(names)
        self._count += 1

    def _child(self, node: _Node[Value], segment: str, has_template: bool) -> _Node[Value]:
        if not has_template:
            if "{" in segment or "}" in segment:
                raise ValueError(f"unbalanced braces in the segment {segment!r}")
            return node.concrete.setdefault(segment, _Node())
        if TEMPLATE.fullmatch(segment):
            node.wildcard = node.wildcard or _Node()
            return node.wildcard
        return self._pattern_child(node, segment)

    def _pattern_child(self, node: _Node[Value], segment: str) -> _Node[Value]:
        literals = TEMPLATE.split(segment)[::2]
        source = _expression_source([re.escape(literal) for literal in literals])
        for pattern in node.patterns:
            if pattern.source == source:
                return pattern.node
        child: _Node[Value] = _Node()
        sort_key = -sum(len(literal) for literal in literals)
        node.patterns.append(_Pattern(sort_key, source, re.compile(source, re.DOTALL), child))
        node.patterns.sort(key=lambda pattern: (pattern.sort_key, pattern.source))
        return child

    def match(self, path: str) -> tuple[Value, dict[str, str]] | None:
        """Return the value and the parameters of the first template that matches a path in canonical form."""
        search: _Search[Value] = _Search(path.split("/"))
        node = search.walk(self._root, 1)
        if node is None or node.value is None:
            return None
        return node.value, dict(zip(node.names, search.parameters, strict=True))


def _expression_source(literals: list[str]) -> str:
    """Return the regular expression of a segment with a parameter between each two of these escaped literals.

    Each parameter is as short as possible, which never prevents a later one from matching. So no parameter is
    tried again (atomic groups), and the time of a match is proportional to the segment's length.
    """
    first, *middle, last = literals
    parameters = "".join(f"(?>(.+?){literal})" for literal in middle)
    return f"{first}{parameters}(.+){last}"


class _Search(Generic[Value]):
    """The state of one search: the parameters matched so far, and the number of nodes it may still visit."""

    __slots__ = ("parameters", "remaining_visits", "segments")

    def __init__(self, segments: list[str]) -> None:
        self.segments = segments
        self.parameters: list[str] = []
        self.remaining_visits = MAX_VISITED_NODES

    def walk(self, node: _Node[Value], index: int) -> _Node[Value] | None:
        """Return the node that the segments from ``index`` on lead to, or None."""
        segments = self.segments
        remaining_visits = self.remaining_visits
        for position in range(index, len(segments)):
            remaining_visits -= 1
            if remaining_visits < 0:
                self.remaining_visits = remaining_visits
                return None
            child = node.concrete.get(segments[position])
            if child is None or node.patterns or node.wildcard is not None:
                self.remaining_visits = remaining_visits
                return self._branch(node, child, position)
            node = child  # the only branch, so no backtracking is needed
        self.remaining_visits = remaining_visits
        return node if node.value is not None else None

    def _branch(self, node: _Node[Value], concrete: _Node[Value] | None, index: int) -> _Node[Value] | None:
        segment = self.segments[index]
        depth = len(self.parameters)
        branches: list[tuple[_Node[Value], tuple[str, ...]]] = []
        if concrete is not None:
            branches.append((concrete, ()))
        for pattern in node.patterns:
            if match := pattern.expression.fullmatch(segment):
                branches.append((pattern.node, match.groups()))
        if node.wildcard is not None and segment:
            branches.append((node.wildcard, (segment,)))
        for child, parameters in branches:
            self.parameters.extend(parameters)
            end = self.walk(child, index + 1)
            if end is not None:
                return end
            del self.parameters[depth:]
        return None
