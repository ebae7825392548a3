"""Decoder of values and commands, encoder for both versions.
 The decoder keeps a stack of open aggregates instead of recursing: depth, counts and lengths are bounded
before anything is stored. ``next_command`` is a server's side (arrays of bulk strings, or inline commands),
``next_value`` reads anything. A breach raises ``Broken`` and leaves the decoder dead; what follows can't be
told apart.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Any

from orchidlane.resp.values import Attributed, ErrorReply, Push, SetReply, Simple, Value, Verbatim

NUMBER = re.compile(rb"[+-]?[0-9]{1,19}")
BIG_NUMBER = re.compile(rb"[+-]?[0-9]+")
DOUBLE = re.compile(rb"[+-]?(?:inf|[0-9]+(?:\.[0-9]*)?(?:[eE][+-]?[0-9]+)?)|nan")
INT_MOST = (1 << 63) - 1
AGGREGATES = b"*%~>|"
STREAMED = b"$*%~>=!"


class Broken(Exception):
    """The other side broke the protocol or a bound."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds: bytes but for the counts."""

    line: int = 65_536
    bulk: int = 1 << 20
    count: int = 65_536  # items of one aggregate
    total: int = 262_144  # items of one value with all within
    depth: int = 32
    big_number: int = 4_096  # digits


class _Open:
    """An aggregate whose items are still coming."""

    __slots__ = ("items", "kind", "left")

    def __init__(self, kind: int, left: int) -> None:
        self.kind = kind
        self.left = left
        self.items: list[Value] = []


def _is_bulk(value: Any) -> bool:
    return isinstance(value, bytes)


class Decoder:
    """Bytes in, values out."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self._buffer = bytearray()
        self._at = 0
        self._stack: list[_Open] = []
        self._total = 0
        self._bulk: tuple[int, int] | None = None  # kind and length of one that is coming
        self._dead = False

    @property
    def pending(self) -> int:
        """Bytes of values that are not complete."""
        return len(self._buffer) - self._at + len(self._stack)

    def unread(self) -> bytes | None:
        """The bytes of commands that are not complete, for another decoder; None where they are none's."""
        out = bytearray()
        for opened in self._stack:
            if opened.kind != 42 or len(self._stack) > 1 or not all(map(_is_bulk, opened.items)):
                return None
            out += b"*%d\r\n" % (len(opened.items) + opened.left)
            for item in opened.items:
                out += b"$%d\r\n%s\r\n" % (len(item), item)
        if self._bulk is not None:
            out += b"%c%d\r\n" % self._bulk
        return bytes(out + self._buffer[self._at :])

    def receive(self, data: bytes) -> None:
        """Feed bytes."""
        if self._at > 65_536 or self._at == len(self._buffer):
            del self._buffer[: self._at]
            self._at = 0
        self._buffer += data

    def next_command(self) -> list[bytes] | None:
        """The next command as its words; an empty list for an empty line. None until more bytes come."""
        if not self._stack and self._bulk is None:
            if self._at >= len(self._buffer):
                return None
            if self._buffer[self._at] != 42:
                return self._inline()
        found = self._guard()
        if found is None:
            return None
        (command,) = found
        if command is None or command == []:
            return []
        if not isinstance(command, list) or not all(isinstance(word, bytes) for word in command):
            self._dead = True
            raise Broken("a command is an array of bulk strings")
        return command

    def next_value(self) -> tuple[Value] | None:
        """The next value in a tuple of one, or None until more bytes come."""
        return self._guard()

    def _guard(self) -> tuple[Value] | None:
        if self._dead:
            raise Broken("the connection is out of step")
        try:
            return self._value()
        except Broken:
            self._dead = True
            raise

    # -- values

    def _value(self) -> tuple[Value] | None:
        while True:
            found = self._scalar()
            if found is None:
                return None
            done = self._close(found)
            if done is not None:
                self._total = 0
                return done

    def _scalar(self) -> tuple[Any] | None:
        """One scalar, or a new aggregate on the stack, told by the tuple being an _Open."""
        if self._bulk is not None:
            return self._bulk_body()
        line = self._line()
        if line is None:
            return None
        kind, rest = (line[0], line[1:]) if line else (0, b"")
        if kind in STREAMED and rest == b"?":
            raise Broken("streamed strings and aggregates are not taken here")
        if kind in b"$=!":
            length = self._length(rest, self.limits.bulk, kind == 36)
            if length is None:
                return (None,)
            self._bulk = kind, length
            return self._bulk_body()
        if kind in AGGREGATES:
            return self._open(kind, rest)
        return (self._simple(kind, rest),)

    def _open(self, kind: int, rest: bytes) -> tuple[Any]:
        count = self._length(rest, self.limits.count, kind == 42)
        if count is None:
            return (None,)
        if len(self._stack) >= self.limits.depth:
            raise Broken(f"nested deeper than {self.limits.depth}")
        each = 2 if kind in b"%|" else 1
        self._total += count * each
        if self._total > self.limits.total:
            raise Broken(f"more than {self.limits.total} items in one value")
        extra = 1 if kind == 124 else 0  # an attribute takes the value after it along
        opened = _Open(kind, count * each + extra)
        if opened.left == 0:
            return (_finished(opened),)
        self._stack.append(opened)
        return (opened,)

    def _close(self, found: tuple[Any]) -> tuple[Value] | None:
        """Put a value where it belongs; the outermost one when it is complete."""
        value = found[0]
        if isinstance(value, _Open):
            return None
        while self._stack:
            inner = self._stack[-1]
            inner.items.append(value)
            inner.left -= 1
            if inner.left:
                return None
            self._stack.pop()
            value = _finished(inner)
        return (value,)

    def _line(self) -> bytes | None:
        end = self._buffer.find(b"\n", self._at, self._at + self.limits.line + 2)
        if end < 0:
            if len(self._buffer) - self._at > self.limits.line:
                raise Broken(f"a line longer than {self.limits.line} bytes")
            return None
        if end == self._at or self._buffer[end - 1] != 13:
            raise Broken("a line does not end with CRLF")
        line = bytes(self._buffer[self._at : end - 1])
        if b"\r" in line:
            raise Broken("a CR within a line")
        self._at = end + 1
        return line

    def _length(self, text: bytes, most: int, nullable: bool) -> int | None:
        if nullable and text == b"-1":
            return None
        if not text.isdigit() or len(text) > 19:
            raise Broken("a length is no number")
        if int(text) > most:
            raise Broken(f"a length beyond {most}")
        return int(text)

    def _bulk_body(self) -> tuple[Any] | None:
        assert self._bulk is not None
        kind, length = self._bulk
        end = self._at + length
        if len(self._buffer) < end + 2:
            return None
        if self._buffer[end : end + 2] != b"\r\n":
            raise Broken("a bulk string does not end where its length says")
        data = bytes(self._buffer[self._at : end])
        self._at, self._bulk = end + 2, None
        if kind == 33:
            return (ErrorReply(data.decode("utf-8", "replace")),)
        if kind == 61:
            if len(data) < 4 or data[3:4] != b":":
                raise Broken("a verbatim string without its format")
            return (Verbatim(data[:3].decode("latin-1"), data[4:]),)
        return (data,)

    def _simple(self, kind: int, rest: bytes) -> Value:
        if kind == 43:
            return Simple(rest.decode("utf-8", "replace"))
        if kind == 45:
            return ErrorReply(rest.decode("utf-8", "replace"))
        if kind == 58 and NUMBER.fullmatch(rest) and -INT_MOST - 1 <= int(rest) <= INT_MOST:
            return int(rest)
        if kind == 95 and rest == b"":
            return None
        if kind == 35 and rest in (b"t", b"f"):
            return rest == b"t"
        if kind == 44 and DOUBLE.fullmatch(rest):
            return float(rest)
        if kind == 40 and BIG_NUMBER.fullmatch(rest) and len(rest) <= self.limits.big_number:
            return int(rest)
        raise Broken("no value begins like this")

    # -- inline commands

    def _inline(self) -> list[bytes] | None:
        """Words on a line, apart by blanks, perhaps quoted: what a person types."""
        if self._dead:
            raise Broken("the connection is out of step")
        end = self._buffer.find(b"\n", self._at, self._at + self.limits.line + 1)
        if end < 0:
            if len(self._buffer) - self._at > self.limits.line:
                self._dead = True
                raise Broken("an inline command is too long")
            return None
        line = bytes(self._buffer[self._at : end]).rstrip(b"\r")
        self._at = end + 1
        words = re.findall(rb'"((?:[^"\\]|\\.)*)"|(\S+)', line)
        return [re.sub(rb"\\(.)", rb"\1", quoted) if quoted else plain for quoted, plain in words]


def _finished(opened: _Open) -> Value:
    items = opened.items
    if opened.kind == 42:
        return items
    if opened.kind == 126:
        return SetReply(items)
    if opened.kind == 62:
        return Push(items)
    if opened.kind == 124:
        return Attributed(list(zip(items[:-1:2], items[1:-1:2], strict=True)), items[-1])
    pairs = list(zip(items[::2], items[1::2], strict=True))
    try:
        return dict(pairs)
    except TypeError:  # a key that can't be one in Python
        return pairs


def encode(value: Value, version: int = 2) -> bytes:
    """A value as bytes of RESP2 or RESP3; what RESP2 lacks is told in its nearest form."""
    out: list[bytes] = []
    _encode(value, version, out)
    return b"".join(out)


def _encode(value: Value, version: int, out: list[bytes]) -> None:
    if value is None:
        out.append(b"_\r\n" if version == 3 else b"$-1\r\n")
    elif isinstance(value, bool):
        out.append((b"#t\r\n" if value else b"#f\r\n") if version == 3 else b":%d\r\n" % value)
    elif isinstance(value, int):
        out.append(_integer(value, version))
    elif isinstance(value, float):
        text = _double(value)
        out.append(b",%s\r\n" % text if version == 3 else b"$%d\r\n%s\r\n" % (len(text), text))
    elif isinstance(value, bytes):
        out.append(b"$%d\r\n%s\r\n" % (len(value), value))
    elif isinstance(value, str):
        _encode(value.encode(), version, out)
    elif isinstance(value, Simple):
        out.append(b"+%s\r\n" % _one_line(value.text))
    elif isinstance(value, ErrorReply):
        out.append(b"-%s\r\n" % _one_line(value.text))
    else:
        _encode_more(value, version, out)


def _encode_more(value: Value, version: int, out: list[bytes]) -> None:
    if isinstance(value, Verbatim):
        body = value.kind.encode()[:3].ljust(3) + b":" + value.text
        _encode(value.text, version, out) if version == 2 else out.append(
            b"=%d\r\n%s\r\n" % (len(body), body)
        )
    elif isinstance(value, dict):
        out.append(b"%%%d\r\n" % len(value) if version == 3 else b"*%d\r\n" % (2 * len(value)))
        for key, item in value.items():
            _encode(key, version, out)
            _encode(item, version, out)
    elif isinstance(value, Attributed):
        if version == 3:
            out.append(b"|%d\r\n" % len(value.attributes))
            for key, item in value.attributes:
                _encode(key, version, out)
                _encode(item, version, out)
        _encode(value.value, version, out)
    else:
        mark = {SetReply: b"~", Push: b">"}.get(type(value), b"*") if version == 3 else b"*"
        items = value.items if isinstance(value, SetReply | Push) else value
        out.append(b"%s%d\r\n" % (mark, len(items)))
        for item in items:
            _encode(item, version, out)


def _integer(value: int, version: int) -> bytes:
    if -INT_MOST - 1 <= value <= INT_MOST:
        return b":%d\r\n" % value
    return b"(%d\r\n" % value if version == 3 else b"$%d\r\n%d\r\n" % (len(str(value)), value)


def _double(value: float) -> bytes:
    if math.isinf(value):
        return b"inf" if value > 0 else b"-inf"
    return b"nan" if math.isnan(value) else repr(value).encode()


def _one_line(text: str) -> bytes:
    return text.replace("\r", " ").replace("\n", " ").encode()
