"""Load a settings file into a typed record."""

from __future__ import annotations

import json
import re
from typing import Any, TypeVar

import msgspec

from orchidlane.config.errors import ConfigError, Problem, SourcePosition
from orchidlane.config.parser import parse
from orchidlane.config.quantity import Duration, Size
from orchidlane.config.unification import unify

Record = TypeVar("Record")
MAX_FILE_BYTES = 8 << 20


def load(text: str, file: str, schema: str, root: str, record: type[Record]) -> Record:
    """Return a file's settings, met with the definition ``root`` of a schema, as a record.

    Raises ConfigError with all problems.
    """
    value = plain_values(text, file, schema, root)
    try:
        return msgspec.convert(value, record, dec_hook=_decode_quantity, strict=False)
    except msgspec.ValidationError as error:
        path = re.search(r"`\$\.?(.*)`", str(error))
        message = str(error).split(" - at")[0]
        raise ConfigError([Problem(SourcePosition(file, 1, 1), path[1] if path else "", message)]) from None


def plain_values(text: str, file: str, schema: str, root: str) -> dict[str, Any]:
    """Return the settings of a file as plain values, with all defaults. Raises ConfigError."""
    if len(text) > MAX_FILE_BYTES:
        raise ConfigError([Problem(SourcePosition(file, 1, 1), "", f"larger than {MAX_FILE_BYTES} bytes")])
    value: dict[str, Any] = unify([parse(schema, "schema"), parse(text, file)], root)
    return value


def _decode_quantity(kind: type, value: Any) -> Any:
    if kind in (Duration, Size) and isinstance(value, str):
        return kind.parse(value)
    raise NotImplementedError(kind)


def render(value: Any, depth: int = 0) -> str:
    """Return plain values as text in the settings language."""
    if isinstance(value, dict):
        pad = "\t" * (depth + 1)
        fields = (f"{_render_label(name)}: {render(part, depth + 1)}" for name, part in value.items())
        inner = "".join(f"{pad}{field}\n" for field in fields)
        return "{\n" + inner + "\t" * depth + "}" if inner else "{}"
    if isinstance(value, list):
        pad = "\t" * (depth + 1)
        inner = "".join(f"{pad}{render(part, depth + 1)},\n" for part in value)
        return "[\n" + inner + "\t" * depth + "]" if inner else "[]"
    return json.dumps(value)


def _render_label(name: str) -> str:
    return name if re.fullmatch(r"[A-Za-z][A-Za-z0-9_]*", name) else json.dumps(name)
