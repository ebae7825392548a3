"""From a settings file to a typed record."""

from __future__ import annotations

import json
import re
from typing import Any, TypeVar

import msgspec

from orchidlane.config.errors import ConfigError, Place, Problem
from orchidlane.config.quantity import Duration, Size
from orchidlane.config.syntax import parse
from orchidlane.config.unify import unify

Record = TypeVar("Record")
FILE_MOST = 8 << 20  # bytes of a settings file


def load(text: str, file: str, schema: str, root: str, record: type[Record]) -> Record:
    """The record that a file's text gives under definition ``root`` of the schema. Raises ConfigError."""
    value = plain(text, file, schema, root)
    try:
        return msgspec.convert(value, record, dec_hook=_quantity, strict=False)
    except msgspec.ValidationError as wrong:
        path = re.search(r"`\$\.?(.*)`", str(wrong))
        what = str(wrong).split(" - at")[0]
        place = Place(file, 1, 1)
        raise ConfigError([Problem(place, path[1] if path else "", what)]) from None


def plain(text: str, file: str, schema: str, root: str) -> dict[str, Any]:
    """The same as plain values, defaults filled in. Raises ConfigError."""
    if len(text) > FILE_MOST:
        raise ConfigError([Problem(Place(file, 1, 1), "", f"larger than {FILE_MOST} bytes")])
    value: dict[str, Any] = unify([parse(schema, "schema"), parse(text, file)], root)
    return value


def _quantity(kind: type, value: Any) -> Any:
    if kind in (Duration, Size) and isinstance(value, str):
        return kind.parse(value)
    raise NotImplementedError(kind)


def render(value: Any, depth: int = 0) -> str:
    """Plain values as text that the language reads again."""
    if isinstance(value, dict):
        pad = "\t" * (depth + 1)
        inner = "".join(f"{pad}{_label(name)}: {render(part, depth + 1)}\n" for name, part in value.items())
        return "{\n" + inner + "\t" * depth + "}" if inner else "{}"
    if isinstance(value, list):
        pad = "\t" * (depth + 1)
        inner = "".join(f"{pad}{render(part, depth + 1)},\n" for part in value)
        return "[\n" + inner + "\t" * depth + "]" if inner else "[]"
    return json.dumps(value)


def _label(name: str) -> str:
    return name if re.fullmatch(r"[A-Za-z][A-Za-z0-9_]*", name) else json.dumps(name)
