"""Decoder of RESP2 and RESP3 values and commands.

The decoder keeps a stack of open aggregates instead of recursing. It checks depth, counts and lengths before
it stores anything. Servers use ``next_command`` (arrays of bulk strings, or inline commands); ``next_value``
reads values of all types. After invalid input every call raises ProtocolError, as the decoder can't determine
where the next value starts.
"""

from __future__ import annotations

import re
from typing import Any

from orchidlane.resp.errors import ProtocolError
from orchidlane.resp.limits import Limits
from orchidlane.resp.values import (
    MAX_INTEGER,
    MIN_INTEGER,
    AttributedValue,
    ErrorReply,
    Push,
    SetReply,
    SimpleString,
    Value,
    VerbatimString,
)

# The first byte of a value states its type.
SIMPLE_STRING = ord("+")
SIMPLE_ERROR = ord("-")
INTEGER = ord(":")
BULK_STRING = ord("$")
ARRAY = ord("*")
NULL = ord("_")
BOOLEAN = ord("#")
DOUBLE = ord(",")
BIG_NUMBER = ord("(")
BULK_ERROR = ord("!")
VERBATIM_STRING = ord("=")
MAP = ord("%")
SET = ord("~")
PUSH = ord(">")
ATTRIBUTE = ord("|")
BULK_TYPES = (BULK_STRING, BULK_ERROR, VERBATIM_STRING)
AGGREGATE_TYPES = (ARRAY, MAP, SET, PUSH, ATTRIBUTE)
STREAMABLE_TYPES = (BULK_STRING, BULK_ERROR, VERBATIM_STRING, ARRAY, MAP, SET, PUSH)

CARRIAGE_RETURN = ord("\r")
INTEGER_TEXT = re.compile(rb"[+-]?[0-9]{1,19}")
BIG_NUMBER_TEXT = re.compile(rb"[+-]?[0-9]+")
DOUBLE_TEXT = re.compile(rb"[+-]?(?:inf|[0-9]+(?:\.[0-9]*)?(?:[eE][+-]?[0-9]+)?)|nan")
INLINE_WORD = re.compile(rb'"((?:[^"\\]|\\.)*)"|(\S+)')
INLINE_ESCAPE = re.compile(rb"\\(.)")
MAX_LENGTH_DIGITS = 19
COMPACT_FROM_BYTES = 65_536  # decoded bytes are removed from the buffer once there are more than this


class _OpenAggregate:
    """An aggregate whose items have not all been read."""

    __slots__ = ("items", "kind", "missing_items")

    def __init__(self, kind: int, missing_items: int) -> None:
        self.kind = kind
        self.missing_items = missing_items
        self.items: list[Value] = []


class Decoder:
    """Decodes the bytes that it receives to values or commands."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._buffer = bytearray()
        self._position = 0  # of the first unread byte
        self._stack: list[_OpenAggregate] = []
        self._total_items = 0  # of the current value
        self._bulk: tuple[int, int] | None = None  # type and bytes of a bulk string that is still to be read
        self._has_failed = False

    @property
    def pending_bytes(self) -> int:
        """Number of bytes received but not decoded, plus one for each open aggregate."""
        return len(self._buffer) - self._position + len(self._stack)

    def unread_bytes(self) -> bytes | None:
        """Return the bytes of an incomplete command, so that another decoder can continue with them.

        Return None if the incomplete value can't be a command.
        """
        data = bytearray()
        for aggregate in self._stack:
            if aggregate.kind != ARRAY or len(self._stack) > 1:
                return None
            if not all(isinstance(item, bytes) for item in aggregate.items):
                return None
            data += b"*%d\r\n" % (len(aggregate.items) + aggregate.missing_items)
            for item in aggregate.items:
                data += b"$%d\r\n%s\r\n" % (len(item), item)
        if self._bulk is not None:
            data += b"%c%d\r\n" % self._bulk
        return bytes(data + self._buffer[self._position :])

    def receive(self, data: bytes) -> None:
        """Append input."""
        if self._position > COMPACT_FROM_BYTES or self._position == len(self._buffer):
            del self._buffer[: self._position]
            self._position = 0
        self._buffer += data

    def next_command(self) -> list[bytes] | None:
        """Return the next command as its words, or None until more bytes arrive. Raises ProtocolError.

        An empty line, an empty array or a null array gives an empty list.
        """
        if not self._stack and self._bulk is None:
            if self._position >= len(self._buffer):
                return None
            if self._buffer[self._position] != ARRAY:
                return self._read_inline_command()
        result = self.next_value()
        if result is None:
            return None
        (command,) = result
        if command is None or command == []:
            return []
        if not isinstance(command, list) or not all(isinstance(word, bytes) for word in command):
            self._has_failed = True
            raise ProtocolError("a command is an array of bulk strings")
        return command

    def next_value(self) -> tuple[Value] | None:
        """Return the next value in a tuple of one, or None until more bytes arrive. Raises ProtocolError."""
        self._check_not_failed()
        try:
            return self._read_value()
        except ProtocolError:
            self._has_failed = True
            raise

    def _check_not_failed(self) -> None:
        if self._has_failed:
            raise ProtocolError("the connection is out of step")

    def _read_value(self) -> tuple[Value] | None:
        while True:
            part = self._read_part()
            if part is None:
                return None
            complete = self._add(part[0])
            if complete is not None:
                self._total_items = 0
                return complete

    def _read_part(self) -> tuple[Any] | None:
        """Return a scalar or the aggregate that was pushed on the stack; None until more bytes arrive."""
        if self._bulk is not None:
            return self._read_bulk_body()
        line = self._read_line()
        if line is None:
            return None
        kind, text = (line[0], line[1:]) if line else (0, b"")
        if kind in STREAMABLE_TYPES and text == b"?":
            raise ProtocolError("streamed strings and aggregates are not taken here")
        if kind in BULK_TYPES:
            length = self._parse_length(text, self.limits.max_bulk_bytes, nullable=kind == BULK_STRING)
            if length is None:
                return (None,)
            self._bulk = kind, length
            return self._read_bulk_body()
        if kind in AGGREGATE_TYPES:
            return self._open_aggregate(kind, text)
        return (self._parse_simple(kind, text),)

    def _open_aggregate(self, kind: int, text: bytes) -> tuple[Any]:
        count = self._parse_length(text, self.limits.max_items, nullable=kind == ARRAY)
        if count is None:
            return (None,)
        if len(self._stack) >= self.limits.max_depth:
            raise ProtocolError(f"nested deeper than {self.limits.max_depth}")
        items = count * 2 if kind in (MAP, ATTRIBUTE) else count
        self._total_items += items
        if self._total_items > self.limits.max_total_items:
            raise ProtocolError(f"more than {self.limits.max_total_items} items in one value")
        if kind == ATTRIBUTE:
            items += 1  # the value that the attributes belong to
        aggregate = _OpenAggregate(kind, items)
        if items == 0:
            return (_aggregate_value(aggregate),)
        self._stack.append(aggregate)
        return (aggregate,)

    def _add(self, value: Any) -> tuple[Value] | None:
        """Add a value to the aggregate that it belongs to; return the outermost one when it is complete."""
        if isinstance(value, _OpenAggregate):
            return None
        while self._stack:
            aggregate = self._stack[-1]
            aggregate.items.append(value)
            aggregate.missing_items -= 1
            if aggregate.missing_items:
                return None
            self._stack.pop()
            value = _aggregate_value(aggregate)
        return (value,)

    def _read_line(self) -> bytes | None:
        max_bytes = self.limits.max_line_bytes
        end = self._buffer.find(b"\n", self._position, self._position + max_bytes + 2)
        if end < 0:
            if len(self._buffer) - self._position > max_bytes:
                raise ProtocolError(f"a line longer than {max_bytes} bytes")
            return None
        if end == self._position or self._buffer[end - 1] != CARRIAGE_RETURN:
            raise ProtocolError("a line does not end with CRLF")
        line = bytes(self._buffer[self._position : end - 1])
        if b"\r" in line:
            raise ProtocolError("a CR within a line")
        self._position = end + 1
        return line

    def _parse_length(self, text: bytes, maximum: int, nullable: bool) -> int | None:
        if nullable and text == b"-1":
            return None
        if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS:
            raise ProtocolError("a length is no number")
        if int(text) > maximum:
            raise ProtocolError(f"a length beyond {maximum}")
        return int(text)

    def _read_bulk_body(self) -> tuple[Any] | None:
        assert self._bulk is not None
        kind, length = self._bulk
        end = self._position + length
        if len(self._buffer) < end + 2:
            return None
        if self._buffer[end : end + 2] != b"\r\n":
            raise ProtocolError("a bulk string does not end where its length says")
        data = bytes(self._buffer[self._position : end])
        self._position = end + 2
        self._bulk = None
        if kind == BULK_ERROR:
            return (ErrorReply(data.decode("utf-8", "replace")),)
        if kind == VERBATIM_STRING:
            if len(data) < 4 or data[3:4] != b":":
                raise ProtocolError("a verbatim string without its format")
            return (VerbatimString(data[:3].decode("latin-1"), data[4:]),)
        return (data,)

    def _parse_simple(self, kind: int, text: bytes) -> Value:
        if kind == SIMPLE_STRING:
            return SimpleString(text.decode("utf-8", "replace"))
        if kind == SIMPLE_ERROR:
            return ErrorReply(text.decode("utf-8", "replace"))
        if kind == INTEGER and INTEGER_TEXT.fullmatch(text) and MIN_INTEGER <= int(text) <= MAX_INTEGER:
            return int(text)
        if kind == NULL and text == b"":
            return None
        if kind == BOOLEAN and text in (b"t", b"f"):
            return text == b"t"
        if kind == DOUBLE and DOUBLE_TEXT.fullmatch(text):
            return float(text)
        if kind == BIG_NUMBER and self._is_big_number(text):
            return int(text)
        raise ProtocolError("no value begins like this")

    def _is_big_number(self, text: bytes) -> bool:
        return len(text) <= self.limits.max_big_number_digits and bool(BIG_NUMBER_TEXT.fullmatch(text))

    def _read_inline_command(self) -> list[bytes] | None:
        """Read the words of one line, separated by spaces and optionally quoted, as typed in a terminal."""
        self._check_not_failed()
        max_bytes = self.limits.max_line_bytes
        end = self._buffer.find(b"\n", self._position, self._position + max_bytes + 1)
        if end < 0:
            if len(self._buffer) - self._position > max_bytes:
                self._has_failed = True
                raise ProtocolError("an inline command is too long")
            return None
        line = bytes(self._buffer[self._position : end]).rstrip(b"\r")
        self._position = end + 1
        return [
            INLINE_ESCAPE.sub(rb"\1", quoted) if quoted else plain
            for quoted, plain in INLINE_WORD.findall(line)
        ]


def _aggregate_value(aggregate: _OpenAggregate) -> Value:
    """Return the value of an aggregate whose items have all been read."""
    items = aggregate.items
    if aggregate.kind == ARRAY:
        return items
    if aggregate.kind == SET:
        return SetReply(items)
    if aggregate.kind == PUSH:
        return Push(items)
    if aggregate.kind == ATTRIBUTE:
        return AttributedValue(list(zip(items[:-1:2], items[1:-1:2], strict=True)), items[-1])
    pairs = list(zip(items[::2], items[1::2], strict=True))
    try:
        return dict(pairs)
    except TypeError:  # a key that is not hashable in Python
        return pairs
