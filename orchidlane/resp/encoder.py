"""Encoder of values to RESP2 and RESP3."""

from __future__ import annotations

import math

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

RESP3 = 3


def encode(value: Value, version: int = 2) -> bytes:
    """Return a value as bytes of RESP2 or RESP3; types that RESP2 lacks are sent as its nearest type."""
    parts: list[bytes] = []
    _encode(value, version, parts)
    return b"".join(parts)


def _encode(value: Value, version: int, parts: list[bytes]) -> None:
    if value is None:
        parts.append(b"_\r\n" if version == RESP3 else b"$-1\r\n")
    elif isinstance(value, bool):
        parts.append(_boolean(value, version))
    elif isinstance(value, int):
        parts.append(_integer(value, version))
    elif isinstance(value, float):
        text = _double_text(value)
        parts.append(b",%s\r\n" % text if version == RESP3 else _bulk_string(text))
    elif isinstance(value, bytes):
        parts.append(_bulk_string(value))
    elif isinstance(value, str):
        parts.append(_bulk_string(value.encode()))
    elif isinstance(value, SimpleString):
        parts.append(b"+%s\r\n" % _one_line(value.text))
    elif isinstance(value, ErrorReply):
        parts.append(b"-%s\r\n" % _one_line(value.text))
    elif isinstance(value, VerbatimString):
        parts.append(_verbatim_string(value, version))
    else:
        _encode_aggregate(value, version, parts)


def _encode_aggregate(value: Value, version: int, parts: list[bytes]) -> None:
    if isinstance(value, dict):
        parts.append(b"%%%d\r\n" % len(value) if version == RESP3 else b"*%d\r\n" % (2 * len(value)))
        for key, item in value.items():
            _encode(key, version, parts)
            _encode(item, version, parts)
    elif isinstance(value, AttributedValue):
        if version == RESP3:
            parts.append(b"|%d\r\n" % len(value.attributes))
            for key, item in value.attributes:
                _encode(key, version, parts)
                _encode(item, version, parts)
        _encode(value.value, version, parts)
    elif isinstance(value, SetReply):
        _encode_items(b"~", value.items, version, parts)
    elif isinstance(value, Push):
        _encode_items(b">", value.items, version, parts)
    else:
        _encode_items(b"*", value, version, parts)


def _encode_items(marker: bytes, items: list[Value], version: int, parts: list[bytes]) -> None:
    parts.append(b"%s%d\r\n" % (marker if version == RESP3 else b"*", len(items)))
    for item in items:
        _encode(item, version, parts)


def _bulk_string(data: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(data), data)


def _boolean(value: bool, version: int) -> bytes:
    if version == RESP3:
        return b"#t\r\n" if value else b"#f\r\n"
    return b":%d\r\n" % value


def _integer(value: int, version: int) -> bytes:
    if MIN_INTEGER <= value <= MAX_INTEGER:
        return b":%d\r\n" % value
    return b"(%d\r\n" % value if version == RESP3 else _bulk_string(b"%d" % value)


def _double_text(value: float) -> bytes:
    if math.isinf(value):
        return b"inf" if value > 0 else b"-inf"
    return b"nan" if math.isnan(value) else repr(value).encode()


def _verbatim_string(value: VerbatimString, version: int) -> bytes:
    if version != RESP3:
        return _bulk_string(value.text)
    body = value.kind.encode()[:3].ljust(3) + b":" + value.text
    return b"=%d\r\n%s\r\n" % (len(body), body)


def _one_line(text: str) -> bytes:
    return text.replace("\r", " ").replace("\n", " ").encode()
