"""Unification: from trees to plain values.

A field's value is the meet of all its conjuncts, each an expression with the scope that it was written in.
``_Evaluator.value`` flattens references, ``&`` and parentheses, then meets what is left: structs field by
field, lists item by item, scalars with types and bounds, and choices by trying their options, defaults first
where several remain. Problems are collected, not raised, so that one run names them all.
"""

from __future__ import annotations

import itertools
import re
from dataclasses import dataclass, field
from typing import Any

from orchidlane.config.errors import ConfigError, Place, Problem
from orchidlane.config.syntax import Bound, Choice, Expr, List, Literal, Reference, Struct, Unify

OPTIONS_MOST = 512  # combinations of options tried for one field
DEPTH_MOST = 60  # references and fields within each other
TYPES = ("int", "float", "number", "string", "bool", "bytes", "_")


class _Absent:
    """Stands for a value that is not concrete."""

    def __repr__(self) -> str:
        return "absent"


ABSENT = _Absent()


@dataclass(eq=False)
class Scope:
    """A struct literal's names, the merged fields of its struct, and the scope around it."""

    own: frozenset[str]
    merged: dict[str, list[Conjunct]]
    outer: Scope | None

    def find(self, name: str) -> list[Conjunct] | None:
        """The conjuncts of the nearest field of that name."""
        scope: Scope | None = self
        while scope is not None:
            if name in scope.own:
                return scope.merged[name]
            scope = scope.outer
        return None


@dataclass(eq=False)
class Conjunct:
    """An expression, its scope, and whether it came through a definition (which closes structs)."""

    expr: Expr
    scope: Scope | None
    closed: bool = False


@dataclass
class Result:
    """A value, or problems; ``bounds`` describe what a value that is not concrete may be."""

    value: Any = ABSENT
    problems: list[Problem] = field(default_factory=list)
    allowed: str = ""


def unify(trees: list[Struct], root: str) -> Any:
    """The value of definition ``root`` met with all the trees. Raises ConfigError with all that is wrong."""
    evaluator = _Evaluator()
    schema, *files = trees
    scope = evaluator.top(schema)
    definition = scope.find(root)
    assert definition is not None, root
    conjuncts = [Conjunct(c.expr, c.scope, closed=True) for c in definition]
    conjuncts += [Conjunct(tree, scope) for tree in files]
    result = evaluator.value(conjuncts, "", 0, files[0].place if files else schema.place)
    if result.problems:
        raise ConfigError(result.problems)
    return result.value


class _Evaluator:
    def __init__(self) -> None:
        self.choosing = 0

    def top(self, schema: Struct) -> Scope:
        """The scope of a file's own fields."""
        merged: dict[str, list[Conjunct]] = {}
        scope = Scope(frozenset(f.name for f in schema.fields), merged, None)
        for one in schema.fields:
            merged.setdefault(one.name, []).append(Conjunct(one.value, scope))
        return scope

    # -- one value

    def value(self, conjuncts: list[Conjunct], path: str, depth: int, place: Place) -> Result:
        """The meet of the conjuncts."""
        if depth > DEPTH_MOST:
            return Result(problems=[Problem(place, path, "refers to itself")])
        flat: list[Conjunct] = []
        for conjunct in conjuncts:
            problem = self._flatten(conjunct, flat, path, 0)
            if problem is not None:
                return Result(problems=[problem])
        choices = [c for c in flat if isinstance(c.expr, Choice)]
        if choices:
            rest = [c for c in flat if not isinstance(c.expr, Choice)]
            return self._choose(choices, rest, path, depth, place)
        structs = [c for c in flat if isinstance(c.expr, Struct)]
        lists = [c for c in flat if isinstance(c.expr, List)]
        scalars = [c for c in flat if not isinstance(c.expr, Struct | List) and not _is_top(c.expr)]
        kinds = [group for group in (structs, lists, scalars) if group]
        if len(kinds) > 1:
            return self._conflict(kinds, path, place)
        if structs:
            return self._struct(structs, path, depth, place)
        if lists:
            return self._list(lists, path, depth, place)
        return self._scalar(scalars, path, place)

    def _flatten(self, conjunct: Conjunct, flat: list[Conjunct], path: str, hops: int) -> Problem | None:
        expr = conjunct.expr
        if isinstance(expr, Unify):
            for part in expr.parts:
                problem = self._flatten(Conjunct(part, conjunct.scope, conjunct.closed), flat, path, hops + 1)
                if problem is not None:
                    return problem
            return None
        if isinstance(expr, Reference) and not _is_builtin(expr, conjunct.scope):
            return self._follow(conjunct, expr, flat, path, hops)
        flat.append(conjunct)
        return None

    def _follow(
        self, conjunct: Conjunct, expr: Reference, flat: list[Conjunct], path: str, hops: int
    ) -> Problem | None:
        if hops > DEPTH_MOST:
            return Problem(expr.place, path, f"{'.'.join(expr.names)} refers to itself")
        found = conjunct.scope.find(expr.names[0]) if conjunct.scope else None
        for name in expr.names[1:]:
            found = self._select(found or [], name)
        if not found:
            return Problem(expr.place, path, f"{'.'.join(expr.names)} is not defined")
        closes = conjunct.closed or any(name.startswith("#") for name in expr.names)
        for target in found:
            problem = self._flatten(
                Conjunct(target.expr, target.scope, closes or target.closed), flat, path, hops + 1
            )
            if problem is not None:
                return problem
        return None

    def _select(self, conjuncts: list[Conjunct], name: str) -> list[Conjunct]:
        flat: list[Conjunct] = []
        for conjunct in conjuncts:
            self._flatten(conjunct, flat, "", 0)
        merged, _, _ = self._merge([c for c in flat if isinstance(c.expr, Struct)])
        return merged.get(name, [])

    # -- choices

    def _choose(
        self, choices: list[Conjunct], rest: list[Conjunct], path: str, depth: int, place: Place
    ) -> Result:
        """Options that meet with the rest; several left are settled by their defaults, if those agree."""
        sets = [self._options(choice) for choice in choices]
        count = 1
        for options in sets:
            count *= len(options)
        if count > OPTIONS_MOST:
            return Result(problems=[Problem(place, path, f"more than {OPTIONS_MOST} combinations")])
        good: list[tuple[bool, Result]] = []
        failed: list[Result] = []
        for pick in itertools.product(*sets):
            result = self.value([*rest, *(conjunct for _, conjunct in pick)], path, depth + 1, place)
            if result.problems:
                failed.append(result)
            else:
                good.append((all(default for default, _ in pick), result))
        left = [result for default, result in good if default] or [result for _, result in good]
        values = [result.value for result in left]
        if left and all(value == values[0] and value is not ABSENT for value in values):
            return left[0]
        if left:
            return Result(allowed=" | ".join(dict.fromkeys(result.allowed for result in left)))
        return self._none_fits(choices, rest, failed, path, place)

    def _options(self, choice: Conjunct) -> list[tuple[bool, Conjunct]]:
        assert isinstance(choice.expr, Choice)
        some = any(default for default, _ in choice.expr.options)
        return [
            (default or not some, Conjunct(option, choice.scope, choice.closed))
            for default, option in choice.expr.options
        ]

    def _none_fits(
        self, choices: list[Conjunct], rest: list[Conjunct], failed: list[Result], path: str, place: Place
    ) -> Result:
        scalars = [c for c in rest if isinstance(c.expr, Literal)]
        if scalars:
            allowed = " & ".join(describe(c.expr) for c in choices)
            what = f"found {describe(scalars[-1].expr)}, allowed: {allowed}"
            return Result(problems=[Problem(scalars[-1].expr.place, path, what)])
        best = min(failed, key=lambda result: len(result.problems), default=Result())
        return Result(problems=best.problems or [Problem(place, path, "no option fits")])

    # -- structs

    def _merge(self, structs: list[Conjunct]) -> tuple[dict[str, list[Conjunct]], dict[str, bool], Any]:
        """All fields of the structs by name, whether each is optional, and the first place of each."""
        merged: dict[str, list[Conjunct]] = {}
        optional: dict[str, bool] = {}
        places: dict[str, Place] = {}
        for conjunct in structs:
            tree = conjunct.expr
            assert isinstance(tree, Struct)
            scope = Scope(frozenset(f.name for f in tree.fields), merged, conjunct.scope)
            for one in tree.fields:
                closes = conjunct.closed or one.name.startswith("#")
                merged.setdefault(one.name, []).append(Conjunct(one.value, scope, closes))
                optional[one.name] = optional.get(one.name, True) and one.optional
                if not conjunct.closed or one.name not in places:
                    places[one.name] = one.place
        return merged, optional, places

    def _struct(self, structs: list[Conjunct], path: str, depth: int, place: Place) -> Result:
        merged, optional, places = self._merge(structs)
        here = next((c.expr.place for c in structs if not c.closed), place)
        result = Result(value={})
        result.problems += self._unknown(structs, path)
        for name, conjuncts in merged.items():
            if name.startswith(("#", "_")) or (optional[name] and self._only_schema(name, structs)):
                continue
            conjuncts = [*conjuncts, *self._patterns(structs, name)]
            inner = f"{path}.{name}" if path else name
            where = places[name] if any(not c.closed for c in conjuncts) else here
            found = self.value(conjuncts, inner, depth + 1, where)
            result.problems += found.problems
            if found.value is not ABSENT:
                result.value[name] = found.value
            elif not found.problems:
                what = f"is missing, allowed: {found.allowed or 'anything'}"
                result.problems.append(Problem(where, inner, what))
        return result

    def _only_schema(self, name: str, structs: list[Conjunct]) -> bool:
        """Whether an optional field is nowhere given."""
        return not any(
            one.name == name and not one.optional
            for c in structs
            if isinstance(c.expr, Struct)
            for one in c.expr.fields
        )

    def _patterns(self, structs: list[Conjunct], name: str) -> list[Conjunct]:
        return [
            Conjunct(pattern, c.scope, c.closed)
            for c in structs
            if isinstance(c.expr, Struct) and not any(f.name == name for f in c.expr.fields)
            for pattern in c.expr.patterns
        ]

    def _unknown(self, structs: list[Conjunct], path: str) -> list[Problem]:
        """Fields that a closed struct does not know."""
        closed = [c.expr for c in structs if c.closed and isinstance(c.expr, Struct)]
        if not closed or any(tree.open or tree.patterns for tree in closed):
            return []
        known = {one.name for tree in closed for one in tree.fields}
        problems = []
        for conjunct in structs:
            if conjunct.closed or not isinstance(conjunct.expr, Struct):
                continue
            for one in conjunct.expr.fields:
                if one.name not in known and not one.name.startswith(("#", "_")):
                    inner = f"{path}.{one.name}" if path else one.name
                    what = f"is no field here, allowed: {', '.join(sorted(known))}"
                    problems.append(Problem(one.place, inner, what))
        return problems

    # -- lists

    def _list(self, lists: list[Conjunct], path: str, depth: int, place: Place) -> Result:
        result = Result(value=[])
        most = max(len(c.expr.items) for c in lists if isinstance(c.expr, List))
        for index in range(most):
            conjuncts = []
            for conjunct in lists:
                tree = conjunct.expr
                assert isinstance(tree, List)
                if index < len(tree.items):
                    conjuncts.append(Conjunct(tree.items[index], conjunct.scope, conjunct.closed))
                elif tree.rest is not None:
                    conjuncts.append(Conjunct(tree.rest, conjunct.scope, conjunct.closed))
                else:
                    what = f"has {most} items, allowed: {len(tree.items)}"
                    return Result(problems=[Problem(place, path, what)])
            inner = f"{path}[{index}]"
            found = self.value(conjuncts, inner, depth + 1, _place_of(conjuncts, place))
            result.problems += found.problems
            if found.value is ABSENT and not found.problems:
                result.problems.append(Problem(place, inner, f"is missing, allowed: {found.allowed}"))
            result.value.append(found.value)
        return result

    # -- scalars

    def _scalar(self, scalars: list[Conjunct], path: str, place: Place) -> Result:
        allowed = " & ".join(dict.fromkeys(describe(c.expr) for c in scalars))
        literals = [c.expr for c in scalars if isinstance(c.expr, Literal)]
        if not literals:
            return Result(allowed=allowed)
        first = literals[-1]
        for conjunct in scalars:
            if not self._admits(conjunct, first.value):
                others = [describe(c.expr) for c in scalars if c.expr is not first]
                what = f"found {describe(first)}, allowed: {' & '.join(dict.fromkeys(others))}"
                return Result(problems=[Problem(first.place, path, what)])
        return Result(value=first.value, allowed=allowed)

    def _admits(self, conjunct: Conjunct, value: Any) -> bool:
        expr = conjunct.expr
        if isinstance(expr, Literal):
            return type(expr.value) is type(value) and bool(expr.value == value)
        if isinstance(expr, Reference):
            return _is_of(expr.names[0], value)
        assert isinstance(expr, Bound)
        operand = expr.operand
        if not isinstance(operand, Literal):
            found = self.value([Conjunct(operand, conjunct.scope)], "", 0, expr.place).value
        else:
            found = operand.value
        return _meets(expr.operator, value, found)

    def _conflict(self, kinds: list[list[Conjunct]], path: str, place: Place) -> Result:
        given = [c for group in kinds for c in group if not c.closed] or kinds[-1]
        others = [c for group in kinds for c in group if c not in given] or kinds[0]
        what = f"found {describe(given[-1].expr)}, allowed: {describe(others[0].expr)}"
        return Result(problems=[Problem(given[-1].expr.place, path, what)])


def _place_of(conjuncts: list[Conjunct], place: Place) -> Place:
    return next((c.expr.place for c in conjuncts if not c.closed), place)


def _is_top(expr: Expr) -> bool:
    return isinstance(expr, Reference) and expr.names == ("_",)


def _is_builtin(expr: Reference, scope: Scope | None) -> bool:
    return (
        len(expr.names) == 1 and expr.names[0] in TYPES and (scope is None or not scope.find(expr.names[0]))
    )


def _is_of(name: str, value: Any) -> bool:
    if name == "int":
        return type(value) is int
    if name == "float":
        return type(value) is float
    if name == "number":
        return type(value) in (int, float)
    return type(value) is {"string": str, "bool": bool, "bytes": bytes}.get(name)


def _meets(operator: str, value: Any, operand: Any) -> bool:
    if operator in ("=~", "!~"):
        return isinstance(value, str) and (re.search(operand, value) is not None) == (operator == "=~")
    if operator == "!=":
        return bool(value != operand)
    numbers = type(value) in (int, float) and type(operand) in (int, float)
    if not numbers and not (isinstance(value, str) and isinstance(operand, str)):
        return False
    compare = {">=": value >= operand, "<=": value <= operand, ">": value > operand, "<": value < operand}
    return compare[operator]


def describe(expr: Expr) -> str:
    """An expression as it may be written, shortened."""
    match expr:
        case Literal():
            return repr(expr.value).replace("'", '"') if isinstance(expr.value, str) else _cue(expr.value)
        case Bound():
            return f"{expr.operator}{describe(expr.operand)}"
        case Reference():
            return ".".join(expr.names)
        case Unify():
            return " & ".join(describe(part) for part in expr.parts)
        case Choice():
            return " | ".join("*" * default + describe(option) for default, option in expr.options)
        case Struct():
            return "{" + ", ".join(one.name for one in expr.fields) + "}"
        case List():
            return "[...]"


def _cue(value: Any) -> str:
    return (
        {True: "true", False: "false", None: "null"}.get(value, str(value))
        if not isinstance(value, int | float) or isinstance(value, bool)
        else str(value)
    )
