"""Parser of the settings language, a subset of CUE (cuelang.org, language specification).

Supported: packages, comments, fields (plain, quoted, optional, nested by ``a: b: 1``), definitions
(``#Name``, closed), hidden fields, patterns (``[string]: T``), ``...``, lists (``[...T]``), strings,
numbers, bounds, ``=~`` and ``!~``, ``&``, ``|`` with ``*`` defaults, references and selectors.
Not supported, and rejected: arithmetic, comprehensions, interpolation, imports, attributes.
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

from orchidlane.config.errors import ConfigError, Problem, SourcePosition
from orchidlane.config.expressions import (
    Bound,
    Conjunction,
    Disjunction,
    Expression,
    Field,
    List,
    Literal,
    Reference,
    Struct,
)

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

MAX_EXCERPT_CHARACTERS = 20  # of the input, shown in a syntax error
# A newline after one of these tokens counts as a comma, as in CUE's specification, section "Commas".
LINE_ENDING_TOKENS = frozenset(
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


class _CommaInserter(PostLex):
    """Replaces the newlines that end a declaration or an item by commas."""

    always_accept = ("_NL",)

    def process(self, stream: Iterator[Token]) -> Iterator[Token]:
        """Yield the tokens; a newline becomes a comma or is dropped."""
        last = None
        for token in stream:
            if token.type == "_NL":
                if last in LINE_ENDING_TOKENS:
                    last = "COMMA"
                    yield Token.new_borrow_pos("COMMA", ",", token)
                continue
            last = token.type
            yield token


@dataclass(frozen=True, slots=True)
class _Ellipsis:
    """``...`` in a struct, or ``...T`` in a list."""

    item: Expression | None


@dataclass(frozen=True, slots=True)
class _Pattern:
    value: Expression


Items = list[Any]


class _TreeBuilder(Transformer):
    """Converts Lark's tree to expressions; each method is named after the grammar rule that it handles."""

    def __init__(self, file: str) -> None:
        super().__init__()
        self.file = file

    def _position(self, meta: Any) -> SourcePosition:
        if getattr(meta, "empty", False):
            return SourcePosition(self.file, 1, 1)
        return SourcePosition(self.file, meta.line, meta.column)

    def start(self, parts: Items) -> Struct:
        """Return a whole file as a struct."""
        body = parts[-1] if parts else []
        return self._struct(SourcePosition(self.file, 1, 1), body if isinstance(body, list) else [body])

    def body(self, parts: Items) -> Items:
        """Return the declarations of a file."""
        return parts

    def package(self, _parts: Items) -> None:
        """Ignore the package clause."""

    @v_args(meta=True)
    def struct(self, meta: Any, parts: Items) -> Struct:
        """Return a struct between braces."""
        return self._struct(self._position(meta), parts)

    def _struct(self, position: SourcePosition, parts: Items) -> Struct:
        fields = tuple(part for part in parts if isinstance(part, Field))
        patterns = tuple(part.value for part in parts if isinstance(part, _Pattern))
        return Struct(position, fields, patterns, any(isinstance(part, _Ellipsis) for part in parts))

    def open(self, _parts: Items) -> _Ellipsis:
        """Return the marker of a struct that allows further fields."""
        return _Ellipsis(None)

    def pattern(self, parts: Items) -> _Pattern:
        """Return the constraint of ``[string]: value``. Raises ConfigError for other patterns."""
        names = parts[0].items
        if len(names) != 1 or not isinstance(names[0], Reference) or names[0].names != ("string",):
            raise ConfigError([Problem(parts[0].position, "", "unsupported pattern, allowed: [string]")])
        return _Pattern(parts[1])

    @v_args(meta=True)
    def field(self, meta: Any, parts: Items) -> Field:
        """Return a field; one with three parts is optional."""
        return Field(self._position(meta), parts[0], len(parts) == 3, parts[-1])

    @v_args(meta=True)
    def nested(self, meta: Any, parts: Items) -> Struct:
        """Return the struct that ``a: b: value`` stands for."""
        return self._struct(self._position(meta), parts)

    def label(self, parts: Items) -> str:
        """Return a field's name."""
        token = parts[0]
        return _string_value(token) if token.type == "STRING" else str(token)

    @v_args(meta=True)
    def alternatives(self, meta: Any, parts: Items) -> Expression:
        """Return a disjunction, or its only operand."""
        if len(parts) == 1 and not isinstance(parts[0], tuple):
            return parts[0]
        options = tuple(part if isinstance(part, tuple) else (False, part) for part in parts)
        return Disjunction(self._position(meta), options)

    def default(self, parts: Items) -> tuple[bool, Expression]:
        """Return an alternative that is marked as the default."""
        return True, parts[0]

    @v_args(meta=True)
    def conj(self, meta: Any, parts: Items) -> Expression:
        """Return a conjunction, or its only operand."""
        return parts[0] if len(parts) == 1 else Conjunction(self._position(meta), tuple(parts))

    @v_args(meta=True)
    def bound(self, meta: Any, parts: Items) -> Bound:
        """Return a comparison such as ``>=1``."""
        return Bound(self._position(meta), str(parts[0]), parts[1])

    @v_args(meta=True)
    def literal(self, meta: Any, parts: Items) -> Literal:
        """Return a string or a number."""
        token = parts[0]
        value = _string_value(token) if token.type == "STRING" else _number_value(token)
        return Literal(self._position(meta), value)

    @v_args(meta=True)
    def true(self, meta: Any, _parts: Items) -> Literal:
        """Return the literal ``true``."""
        return Literal(self._position(meta), True)

    @v_args(meta=True)
    def false(self, meta: Any, _parts: Items) -> Literal:
        """Return the literal ``false``."""
        return Literal(self._position(meta), False)

    @v_args(meta=True)
    def null(self, meta: Any, _parts: Items) -> Literal:
        """Return the literal ``null``."""
        return Literal(self._position(meta), None)

    @v_args(meta=True)
    def list(self, meta: Any, parts: Items) -> List:
        """Return a list, with the type of further items where it is open."""
        parts = [part for part in parts if part is not None]
        rest = next((part.item for part in parts if isinstance(part, _Ellipsis)), None)
        return List(
            self._position(meta), tuple(part for part in parts if not isinstance(part, _Ellipsis)), rest
        )

    @v_args(meta=True)
    def rest(self, meta: Any, parts: Items) -> _Ellipsis:
        """Return the marker of an open list, with the type of further items."""
        return _Ellipsis(parts[1] if len(parts) > 1 else Reference(self._position(meta), ("_",)))

    @v_args(meta=True)
    def reference(self, meta: Any, parts: Items) -> Reference:
        """Return a reference by a dotted name."""
        return Reference(self._position(meta), tuple(str(part) for part in parts))


def _string_value(token: Token) -> str:
    return str(json.loads(str(token)))


def _number_value(token: Token) -> int | float:
    text = str(token).replace("_", "")
    return float(text) if any(character in text for character in ".eE") else int(text)


@cache
def _parser() -> Lark:
    return Lark(
        GRAMMAR, parser="lalr", postlex=_CommaInserter(), propagate_positions=True, maybe_placeholders=False
    )


def parse(text: str, file: str) -> Struct:
    """Return the expression of one file. Raises ConfigError for a syntax error or unsupported syntax."""
    try:
        tree = _parser().parse(text + "\n")
        return _TreeBuilder(file).transform(tree)
    except VisitError as error:
        raise error.orig_exc from None
    except UnexpectedInput as error:
        position = SourcePosition(file, max(1, error.line), max(1, error.column))
        near = ""
        if error.pos_in_stream:
            near = text[error.pos_in_stream :][:MAX_EXCERPT_CHARACTERS].split("\n")[0]
        raise ConfigError([Problem(position, "", f"invalid syntax near {near!r}")]) from None
