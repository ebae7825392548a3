"""A radix tree over path segments: a match costs work in the length of the path, not in the routes.

Concrete segments go before templated ones at every place (OpenAPI 3.1, Paths Object); a segment may hold
several templates and literals (``{name}.{ending}``). A branch that leads nowhere is left for the next one, so
``/a/{x}/c`` is found beside ``/a/b/d``; the walk keeps to ``VISITS_MOST`` nodes.
"""

from __future__ import annotations

import re
from typing import Generic, TypeVar

Value = TypeVar("Value")
TEMPLATE = re.compile(r"\{([^{}/]+)\}")
VISITS_MOST = 512  # nodes that one match may look at


class _Node(Generic[Value]):
    """What follows one prefix: concrete segments, patterns within a segment, a whole-segment template."""

    __slots__ = ("any", "concrete", "names", "patterns", "value")

    def __init__(self) -> None:
        self.concrete: dict[str, _Node[Value]] = {}
        self.patterns: list[tuple[int, str, re.Pattern[str], _Node[Value]]] = []
        self.any: _Node[Value] | None = None
        self.value: Value | None = None
        self.names: tuple[str, ...] = ()


class Tree(Generic[Value]):
    """Templated paths and their values."""

    def __init__(self) -> None:
        self._root: _Node[Value] = _Node()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, template: str, value: Value) -> None:
        """Add a path such as ``/a/{b}``. Raises ValueError where a template of the same shape stands."""
        node = self._root
        names: list[str] = []
        for segment in template.split("/")[1:]:
            found = TEMPLATE.findall(segment)
            names += found
            node = self._step(node, segment, found)
        if len(set(names)) < len(names):
            raise ValueError(f"{template} names a parameter twice")
        if node.value is not None:
            raise ValueError(f"{template} matches the same paths as another template")
        node.value, node.names = value, tuple(names)
        self._count += 1

    def _step(self, node: _Node[Value], segment: str, names: list[str]) -> _Node[Value]:
        if not names:
            if "{" in segment or "}" in segment:
                raise ValueError(f"a lone brace in the segment {segment!r}")
            return node.concrete.setdefault(segment, _Node())
        if TEMPLATE.fullmatch(segment):
            node.any = node.any or _Node()
            return node.any
        return self._pattern(node, segment)

    def _pattern(self, node: _Node[Value], segment: str) -> _Node[Value]:
        literal = TEMPLATE.split(segment)[::2]
        source = "(.+?)".join(re.escape(part) for part in literal)
        for _, known, _, child in node.patterns:
            if known == source:
                return child
        fresh: _Node[Value] = _Node()
        node.patterns.append((-sum(map(len, literal)), source, re.compile(source, re.S), fresh))
        node.patterns.sort(key=lambda entry: entry[:2])  # the one with the most literal text goes first
        return fresh

    def match(self, path: str) -> tuple[Value, dict[str, str]] | None:
        """The value of the first template that fits, and its parameters as they stand in the path."""
        segments = path.split("/")
        found: list[str] = []
        budget = [VISITS_MOST]
        node = self._walk(self._root, segments, 1, found, budget)
        if node is None or node.value is None:
            return None
        return node.value, dict(zip(node.names, found, strict=True))

    def _walk(
        self, node: _Node[Value], segments: list[str], at: int, found: list[str], budget: list[int]
    ) -> _Node[Value] | None:
        while at < len(segments):
            budget[0] -= 1
            if budget[0] < 0:
                return None
            segment = segments[at]
            child = node.concrete.get(segment)
            if child is not None and not node.patterns and node.any is None:
                node, at = child, at + 1  # the only way: no need to come back
                continue
            return self._branch(node, child, segments, at, found, budget)
        return node if node.value is not None else None

    def _branch(
        self,
        node: _Node[Value],
        concrete: _Node[Value] | None,
        segments: list[str],
        at: int,
        found: list[str],
        budget: list[int],
    ) -> _Node[Value] | None:
        segment, kept = segments[at], len(found)
        ways: list[tuple[_Node[Value], tuple[str, ...]]] = [(concrete, ())] if concrete is not None else []
        for _, _, pattern, child in node.patterns:
            if match := pattern.fullmatch(segment):
                ways.append((child, match.groups()))
        if node.any is not None and segment:
            ways.append((node.any, (segment,)))
        for child, groups in ways:
            found.extend(groups)
            end = self._walk(child, segments, at + 1, found, budget)
            if end is not None:
                return end
            del found[kept:]
        return None
