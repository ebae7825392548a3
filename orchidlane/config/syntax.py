"""The grammar of the subset and the tree that it gives.

In the subset: packages, comments, fields (plain, quoted, optional, nested by ``a: b: 1``), definitions
(``#Name``, closed), hidden fields, patterns (``[string]: T``), ``...``, lists (``[...T]``), strings,
numbers, bounds, ``=~`` and ``!~``, ``&``, ``|`` with ``*`` defaults, references and selectors.
Not in it: arithmetic, comprehensions, interpolation, imports, attributes. What is not in it is refused.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from functools import cache
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput, v_args
from lark.exceptions import VisitError
from lark.lark import PostLex

from orchidlane.config.errors import ConfigError, Place, Problem

GRAMMAR = r"""
start: (package ",")? body
package: "package" NAME
body: [decl ("," decl)* ","?]
?decl: field | pattern | ELLIPSIS -> open
field: label OPTIONAL? ":" value
pattern: list ":" value
?value: (field | pattern) -> nested | expr
label: NAME | DEFINITION | HIDDEN | STRING
?expr: option ("|" option)* -> alternatives
?option: "*" conj -> default | conj
?conj: unary ("&" unary)* -> conj
?unary: OPERATOR atom -> bound | atom
?atom: literal | struct | list | reference | "(" expr ")"
literal: STRING | NUMBER | "true" -> true | "false" -> false | "null" -> null
struct: "{" [decl ("," decl)* ","?] "}"
list: "[" [item ("," item)* ","?] "]"
?item: ELLIPSIS expr? -> rest | expr
reference: (NAME | DEFINITION | HIDDEN) ("." (NAME | DEFINITION))*

OPTIONAL: "?"
ELLIPSIS: "..."
OPERATOR: ">=" | "<=" | "!=" | "=~" | "!~" | ">" | "<"
NAME: /[A-Za-z][A-Za-z0-9_]*/
HIDDEN: /_[A-Za-z0-9_]*/
DEFINITION: /#[A-Za-z][A-Za-z0-9_]*/
STRING: /"(?:[^"\\\n]|\\.)*"/
NUMBER: /-?[0-9][0-9_]*(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?/
_NL: /(?:\r?\n[ \t]*)+/
COMMENT: /\/\/[^\n]*/
%ignore /[ \t]+/
%ignore COMMENT
"""

# A newline ends a field where the line could end there: CUE's own rule for leaving commas out.
ENDS_A_LINE = frozenset(
    [
        "NAME",
        "HIDDEN",
        "DEFINITION",
        "STRING",
        "NUMBER",
        "ELLIPSIS",
        "OPTIONAL",
        "TRUE",
        "FALSE",
        "NULL",
        "RBRACE",
        "RSQB",
        "RPAR",
    ]
)


class _Commas(PostLex):
    """Puts a comma where a newline stands for one."""

    always_accept = ("_NL",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """Tokens without newlines, with the commas that they stand for."""
        last = None
        for token in stream:
            if token.type == "_NL":
                if last in ENDS_A_LINE:
                    last = "COMMA"
                    yield Token.new_borrow_pos("COMMA", ",", token)
                continue
            last = token.type
            yield token


@dataclass(frozen=True, slots=True, eq=False)
class Literal:
    """A concrete scalar."""

    place: Place
    value: Any


@dataclass(frozen=True, slots=True, eq=False)
class Bound:
    """``>=1``, ``=~"re"`` and their like."""

    place: Place
    operator: str
    operand: Expr


@dataclass(frozen=True, slots=True, eq=False)
class Reference:
    """``a.b`` or ``#Definition``."""

    place: Place
    names: tuple[str, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Unify:
    """``a & b``."""

    place: Place
    parts: tuple[Expr, ...]


@dataclass(frozen=True, slots=True, eq=False)
class Choice:
    """``*a | b``: the options, each with whether it is a default."""

    place: Place
    options: tuple[tuple[bool, Expr], ...]


@dataclass(frozen=True, slots=True, eq=False)
class Field:
    """One field of a struct."""

    place: Place
    name: str
    optional: bool
    value: Expr


@dataclass(frozen=True, slots=True, eq=False)
class Struct:
    """Fields, patterns for names that no field names, and whether ``...`` stands in it."""

    place: Place
    fields: tuple[Field, ...]
    patterns: tuple[Expr, ...]
    open: bool


@dataclass(frozen=True, slots=True, eq=False)
class List:
    """Items, and what further ones must be (None: there may be none)."""

    place: Place
    items: tuple[Expr, ...]
    rest: Expr | None


Expr = Literal | Bound | Reference | Unify | Choice | Struct | List


@dataclass(frozen=True, slots=True)
class _Open:
    """``...`` in a struct, or ``...T`` in a list."""

    of: Expr | None


@dataclass(frozen=True, slots=True)
class _Pattern:
    of: Expr


Items = list[Any]


class _Build(Transformer):
    """Lark's tree into ours."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def _at(self, meta: Any) -> Place:
        if getattr(meta, "empty", False):
            return Place(self.file, 1, 1)
        return Place(self.file, meta.line, meta.column)

    @v_args(meta=True)
    def start(self, meta: Any, parts: Items) -> Struct:
        body = parts[-1] if parts else []
        return self._struct(Place(self.file, 1, 1), body if isinstance(body, list) else [body])

    def body(self, parts: Items) -> Items:
        return parts

    def package(self, _parts: Items) -> None:
        return None

    @v_args(meta=True)
    def struct(self, meta: Any, parts: Items) -> Struct:
        return self._struct(self._at(meta), parts)

    def _struct(self, place: Place, parts: Items) -> Struct:
        fields = tuple(part for part in parts if isinstance(part, Field))
        patterns = tuple(part.of for part in parts if isinstance(part, _Pattern))
        return Struct(place, fields, patterns, any(isinstance(part, _Open) for part in parts))

    def open(self, _parts: Items) -> _Open:
        return _Open(None)

    def pattern(self, parts: Items) -> _Pattern:
        names = parts[0].items
        if len(names) != 1 or not isinstance(names[0], Reference) or names[0].names != ("string",):
            raise ConfigError([Problem(parts[0].place, "", "only [string] stands for names")])
        return _Pattern(parts[1])

    @v_args(meta=True)
    def field(self, meta: Any, parts: Items) -> Field:
        return Field(self._at(meta), parts[0], len(parts) == 3, parts[-1])

    @v_args(meta=True)
    def nested(self, meta: Any, parts: Items) -> Struct:
        return self._struct(self._at(meta), parts)

    def label(self, parts: Items) -> str:
        token = parts[0]
        return _text(token) if token.type == "STRING" else str(token)

    @v_args(meta=True)
    def alternatives(self, meta: Any, parts: Items) -> Expr:
        if len(parts) == 1 and not isinstance(parts[0], tuple):
            return parts[0]
        options = tuple(part if isinstance(part, tuple) else (False, part) for part in parts)
        return Choice(self._at(meta), options)

    def default(self, parts: Items) -> tuple[bool, Expr]:
        return True, parts[0]

    @v_args(meta=True)
    def conj(self, meta: Any, parts: Items) -> Expr:
        return parts[0] if len(parts) == 1 else Unify(self._at(meta), tuple(parts))

    @v_args(meta=True)
    def bound(self, meta: Any, parts: Items) -> Bound:
        return Bound(self._at(meta), str(parts[0]), parts[1])

    @v_args(meta=True)
    def literal(self, meta: Any, parts: Items) -> Literal:
        token = parts[0]
        return Literal(self._at(meta), _text(token) if token.type == "STRING" else _number(token))

    @v_args(meta=True)
    def true(self, meta: Any, _parts: Items) -> Literal:
        return Literal(self._at(meta), True)

    @v_args(meta=True)
    def false(self, meta: Any, _parts: Items) -> Literal:
        return Literal(self._at(meta), False)

    @v_args(meta=True)
    def null(self, meta: Any, _parts: Items) -> Literal:
        return Literal(self._at(meta), None)

    @v_args(meta=True)
    def list(self, meta: Any, parts: Items) -> List:
        parts = [part for part in parts if part is not None]
        rest = next((part.of for part in parts if isinstance(part, _Open)), None)
        return List(self._at(meta), tuple(part for part in parts if not isinstance(part, _Open)), rest)

    @v_args(meta=True)
    def rest(self, meta: Any, parts: Items) -> _Open:
        return _Open(parts[1] if len(parts) > 1 else Reference(self._at(meta), ("_",)))

    @v_args(meta=True)
    def reference(self, meta: Any, parts: Items) -> Reference:
        return Reference(self._at(meta), tuple(str(part) for part in parts))


def _text(token: Token) -> str:
    return str(json.loads(str(token)))


def _number(token: Token) -> int | float:
    text = str(token).replace("_", "")
    return float(text) if any(mark in text for mark in ".eE") else int(text)


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", postlex=_Commas(), propagate_positions=True, maybe_placeholders=False)


def parse(text: str, file: str) -> Struct:
    """The tree of one file. Raises ConfigError at what is not of the subset."""
    try:
        tree = _parser().parse(text + "\n")
        return _Build(file).transform(tree)
    except VisitError as wrong:
        raise wrong.orig_exc from None
    except UnexpectedInput as wrong:
        place = Place(file, max(1, wrong.line), max(1, wrong.column))
        near = text[wrong.pos_in_stream or 0 :][:20].split("\n")[0] if wrong.pos_in_stream else ""
        raise ConfigError([Problem(place, "", f"not of the settings' language near {near!r}")]) from None
