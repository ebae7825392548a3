"""Unification of expressions into plain values.

A field's value is the meet of all its conjuncts, each an expression with the scope that it was written in.
``_Evaluator.evaluate`` flattens references, ``&`` and parentheses, then meets what remains: structs field by
field, lists item by item, scalars with types and bounds, and disjunctions by trying their options; where
several options fit, the defaults decide. Problems are collected, not raised, so that one run reports all of
them.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import Any

from orchidlane.config.errors import ConfigError, Problem, SourcePosition
from orchidlane.config.expressions import (
    Bound,
    Conjunction,
    Disjunction,
    Expression,
    List,
    Literal,
    Reference,
    Struct,
)
from orchidlane.config.scalars import describe, has_type, is_builtin_type, is_top, satisfies

MAX_COMBINATIONS = 512  # combinations of options tried for one field
MAX_DEPTH = 60  # of nested fields, and of references to references


class _Absent:
    """Stands for a value that is not concrete."""

    def __repr__(self) -> str:
        return "absent"


ABSENT = _Absent()


@dataclass(eq=False)
class Scope:
    """A struct literal's names, the merged fields of its struct, and the scope around it."""

    names: frozenset[str]
    merged: dict[str, list[Conjunct]]
    outer: Scope | None

    def find(self, name: str) -> list[Conjunct] | None:
        """Return the conjuncts of the nearest field of that name."""
        scope: Scope | None = self
        while scope is not None:
            if name in scope.names:
                return scope.merged[name]
            scope = scope.outer
        return None


@dataclass(eq=False)
class Conjunct:
    """An expression, its scope, and whether it is part of a definition, which closes its structs."""

    expression: Expression
    scope: Scope | None
    is_closed: bool = False


@dataclass
class Result:
    """A value, or problems; ``allowed`` describes what a value that is not concrete may be."""

    value: Any = ABSENT
    problems: list[Problem] = field(default_factory=list)
    allowed: str = ""


def unify(trees: list[Struct], root: str) -> Any:
    """Return the meet of the files and the schema's definition ``root``; the schema is the first tree.

    Raises ConfigError with all problems.
    """
    evaluator = _Evaluator()
    schema, *files = trees
    scope = evaluator.file_scope(schema)
    definition = scope.find(root)
    assert definition is not None, root
    conjuncts = [Conjunct(c.expression, c.scope, is_closed=True) for c in definition]
    conjuncts += [Conjunct(tree, scope) for tree in files]
    result = evaluator.evaluate(conjuncts, "", 0, files[0].position if files else schema.position)
    if result.problems:
        raise ConfigError(result.problems)
    return result.value


@dataclass
class _MergedFields:
    """The fields of several structs, by name."""

    conjuncts: dict[str, list[Conjunct]] = field(default_factory=dict)
    optional: dict[str, bool] = field(default_factory=dict)
    positions: dict[str, SourcePosition] = field(default_factory=dict)  # where each is first declared


class _Evaluator:
    def file_scope(self, schema: Struct) -> Scope:
        """Return the scope of a file's own fields."""
        merged: dict[str, list[Conjunct]] = {}
        scope = Scope(frozenset(f.name for f in schema.fields), merged, None)
        for member in schema.fields:
            merged.setdefault(member.name, []).append(Conjunct(member.value, scope))
        return scope

    # -- values

    def evaluate(self, conjuncts: list[Conjunct], path: str, depth: int, position: SourcePosition) -> Result:
        """Return the meet of the conjuncts."""
        if depth > MAX_DEPTH:
            return Result(problems=[Problem(position, path, "refers to itself")])
        flat: list[Conjunct] = []
        for conjunct in conjuncts:
            problem = self._flatten(conjunct, flat, path, 0)
            if problem is not None:
                return Result(problems=[problem])
        choices = [c for c in flat if isinstance(c.expression, Disjunction)]
        if choices:
            rest = [c for c in flat if not isinstance(c.expression, Disjunction)]
            return self._disjunction(choices, rest, path, depth, position)
        structs = [c for c in flat if isinstance(c.expression, Struct)]
        lists = [c for c in flat if isinstance(c.expression, List)]
        scalars = [
            c for c in flat if not isinstance(c.expression, Struct | List) and not is_top(c.expression)
        ]
        kinds = [group for group in (structs, lists, scalars) if group]
        if len(kinds) > 1:
            return self._conflict(kinds, path)
        if structs:
            return self._struct(structs, path, depth, position)
        if lists:
            return self._list(lists, path, depth, position)
        return self._scalar(scalars, path)

    def _flatten(self, conjunct: Conjunct, flat: list[Conjunct], path: str, hops: int) -> Problem | None:
        expression = conjunct.expression
        if isinstance(expression, Conjunction):
            for part in expression.parts:
                problem = self._flatten(
                    Conjunct(part, conjunct.scope, conjunct.is_closed), flat, path, hops + 1
                )
                if problem is not None:
                    return problem
            return None
        if isinstance(expression, Reference) and not _is_builtin(expression, conjunct.scope):
            return self._follow(conjunct, expression, flat, path, hops)
        flat.append(conjunct)
        return None

    def _follow(
        self, conjunct: Conjunct, expression: Reference, flat: list[Conjunct], path: str, hops: int
    ) -> Problem | None:
        if hops > MAX_DEPTH:
            return Problem(expression.position, path, f"{'.'.join(expression.names)} refers to itself")
        targets = conjunct.scope.find(expression.names[0]) if conjunct.scope else None
        for name in expression.names[1:]:
            targets = self._select(targets or [], name)
        if not targets:
            return Problem(expression.position, path, f"{'.'.join(expression.names)} is not defined")
        closes = conjunct.is_closed or any(name.startswith("#") for name in expression.names)
        for target in targets:
            problem = self._flatten(
                Conjunct(target.expression, target.scope, closes or target.is_closed), flat, path, hops + 1
            )
            if problem is not None:
                return problem
        return None

    def _select(self, conjuncts: list[Conjunct], name: str) -> list[Conjunct]:
        flat: list[Conjunct] = []
        for conjunct in conjuncts:
            self._flatten(conjunct, flat, "", 0)
        structs = [c for c in flat if isinstance(c.expression, Struct)]
        return self._merge(structs).conjuncts.get(name, [])

    # -- disjunctions

    def _disjunction(
        self, choices: list[Conjunct], rest: list[Conjunct], path: str, depth: int, position: SourcePosition
    ) -> Result:
        """Return the option that fits the other conjuncts; of several, the defaults decide if they agree."""
        sets = [self._options(choice) for choice in choices]
        count = 1
        for options in sets:
            count *= len(options)
        if count > MAX_COMBINATIONS:
            return Result(problems=[Problem(position, path, f"more than {MAX_COMBINATIONS} combinations")])
        fitting: list[tuple[bool, Result]] = []
        failed: list[Result] = []
        for combination in itertools.product(*sets):
            result = self.evaluate(
                [*rest, *(conjunct for _, conjunct in combination)], path, depth + 1, position
            )
            if result.problems:
                failed.append(result)
            else:
                fitting.append((all(default for default, _ in combination), result))
        remaining = [result for default, result in fitting if default] or [result for _, result in fitting]
        values = [result.value for result in remaining]
        if remaining and all(value == values[0] and value is not ABSENT for value in values):
            return remaining[0]
        if remaining:
            return Result(allowed=" | ".join(dict.fromkeys(result.allowed for result in remaining)))
        return self._no_option_fits(choices, rest, failed, path, position)

    def _options(self, choice: Conjunct) -> list[tuple[bool, Conjunct]]:
        assert isinstance(choice.expression, Disjunction)
        has_default = any(default for default, _ in choice.expression.options)
        return [
            (default or not has_default, Conjunct(option, choice.scope, choice.is_closed))
            for default, option in choice.expression.options
        ]

    def _no_option_fits(
        self,
        choices: list[Conjunct],
        rest: list[Conjunct],
        failed: list[Result],
        path: str,
        position: SourcePosition,
    ) -> Result:
        scalars = [c for c in rest if isinstance(c.expression, Literal)]
        if scalars:
            allowed = " & ".join(describe(c.expression) for c in choices)
            message = f"found {describe(scalars[-1].expression)}, allowed: {allowed}"
            return Result(problems=[Problem(scalars[-1].expression.position, path, message)])
        best = min(failed, key=lambda result: len(result.problems), default=Result())
        return Result(problems=best.problems or [Problem(position, path, "no option fits")])

    # -- structs

    def _merge(self, structs: list[Conjunct]) -> _MergedFields:
        merged = _MergedFields()
        for conjunct in structs:
            tree = conjunct.expression
            assert isinstance(tree, Struct)
            scope = Scope(frozenset(f.name for f in tree.fields), merged.conjuncts, conjunct.scope)
            for member in tree.fields:
                name = member.name
                closes = conjunct.is_closed or name.startswith("#")
                merged.conjuncts.setdefault(name, []).append(Conjunct(member.value, scope, closes))
                merged.optional[name] = merged.optional.get(name, True) and member.optional
                if not conjunct.is_closed or name not in merged.positions:
                    merged.positions[name] = member.position
        return merged

    def _struct(self, structs: list[Conjunct], path: str, depth: int, position: SourcePosition) -> Result:
        merged = self._merge(structs)
        struct_position = next((c.expression.position for c in structs if not c.is_closed), position)
        result = Result(value={})
        result.problems += self._unknown_fields(structs, path)
        for name, own_conjuncts in merged.conjuncts.items():
            is_hidden = name.startswith(("#", "_"))
            if is_hidden or (merged.optional[name] and self._is_not_given(name, structs)):
                continue
            conjuncts = [*own_conjuncts, *self._patterns(structs, name)]
            field_path = f"{path}.{name}" if path else name
            is_given = any(not c.is_closed for c in conjuncts)
            field_position = merged.positions[name] if is_given else struct_position
            member = self.evaluate(conjuncts, field_path, depth + 1, field_position)
            result.problems += member.problems
            if member.value is not ABSENT:
                result.value[name] = member.value
            elif not member.problems:
                message = f"is missing, allowed: {member.allowed or 'anything'}"
                result.problems.append(Problem(field_position, field_path, message))
        return result

    def _is_not_given(self, name: str, structs: list[Conjunct]) -> bool:
        """Return whether no struct gives an optional field a value."""
        return not any(
            member.name == name and not member.optional
            for c in structs
            if isinstance(c.expression, Struct)
            for member in c.expression.fields
        )

    def _patterns(self, structs: list[Conjunct], name: str) -> list[Conjunct]:
        return [
            Conjunct(pattern, c.scope, c.is_closed)
            for c in structs
            if isinstance(c.expression, Struct) and not any(f.name == name for f in c.expression.fields)
            for pattern in c.expression.patterns
        ]

    def _unknown_fields(self, structs: list[Conjunct], path: str) -> list[Problem]:
        """Return a problem for each field that the closed structs do not declare."""
        closed = [c.expression for c in structs if c.is_closed and isinstance(c.expression, Struct)]
        if not closed or any(tree.is_open or tree.patterns for tree in closed):
            return []
        declared_names = {member.name for tree in closed for member in tree.fields}
        problems = []
        for conjunct in structs:
            if conjunct.is_closed or not isinstance(conjunct.expression, Struct):
                continue
            for member in conjunct.expression.fields:
                if member.name not in declared_names and not member.name.startswith(("#", "_")):
                    field_path = f"{path}.{member.name}" if path else member.name
                    message = f"is not a field here, allowed: {', '.join(sorted(declared_names))}"
                    problems.append(Problem(member.position, field_path, message))
        return problems

    # -- lists

    def _list(self, lists: list[Conjunct], path: str, depth: int, position: SourcePosition) -> Result:
        result = Result(value=[])
        length = max(len(c.expression.items) for c in lists if isinstance(c.expression, List))
        for index in range(length):
            conjuncts = []
            for conjunct in lists:
                tree = conjunct.expression
                assert isinstance(tree, List)
                item = tree.items[index] if index < len(tree.items) else tree.rest
                if item is None:
                    message = f"has {length} items, allowed: {len(tree.items)}"
                    return Result(problems=[Problem(position, path, message)])
                conjuncts.append(Conjunct(item, conjunct.scope, conjunct.is_closed))
            item_path = f"{path}[{index}]"
            element = self.evaluate(
                conjuncts, item_path, depth + 1, _first_given_position(conjuncts, position)
            )
            result.problems += element.problems
            if element.value is ABSENT and not element.problems:
                message = f"is missing, allowed: {element.allowed}"
                result.problems.append(Problem(position, item_path, message))
            result.value.append(element.value)
        return result

    # -- scalars

    def _scalar(self, scalars: list[Conjunct], path: str) -> Result:
        allowed = " & ".join(dict.fromkeys(describe(c.expression) for c in scalars))
        literals = [c.expression for c in scalars if isinstance(c.expression, Literal)]
        if not literals:
            return Result(allowed=allowed)
        literal = literals[-1]
        for conjunct in scalars:
            if not self._allows(conjunct, literal.value):
                others = [describe(c.expression) for c in scalars if c.expression is not literal]
                message = f"found {describe(literal)}, allowed: {' & '.join(dict.fromkeys(others))}"
                return Result(problems=[Problem(literal.position, path, message)])
        return Result(value=literal.value, allowed=allowed)

    def _allows(self, conjunct: Conjunct, value: Any) -> bool:
        expression = conjunct.expression
        if isinstance(expression, Literal):
            return type(expression.value) is type(value) and bool(expression.value == value)
        if isinstance(expression, Reference):
            return has_type(expression.names[0], value)
        assert isinstance(expression, Bound)
        operand = expression.operand
        if not isinstance(operand, Literal):
            bound = self.evaluate([Conjunct(operand, conjunct.scope)], "", 0, expression.position).value
        else:
            bound = operand.value
        return satisfies(expression.operator, value, bound)

    def _conflict(self, kinds: list[list[Conjunct]], path: str) -> Result:
        given = [c for group in kinds for c in group if not c.is_closed] or kinds[-1]
        others = [c for group in kinds for c in group if c not in given] or kinds[0]
        message = f"found {describe(given[-1].expression)}, allowed: {describe(others[0].expression)}"
        return Result(problems=[Problem(given[-1].expression.position, path, message)])


def _first_given_position(conjuncts: list[Conjunct], position: SourcePosition) -> SourcePosition:
    return next((c.expression.position for c in conjuncts if not c.is_closed), position)


def _is_builtin(expression: Reference, scope: Scope | None) -> bool:
    """Return whether a name is a built-in type that no field in scope shadows."""
    return is_builtin_type(expression) and (scope is None or not scope.find(expression.names[0]))
