"""Output of commands, as text or as JSON."""

from __future__ import annotations

import json
from typing import Any

import click


def print_result(value: Any, lines: list[str], as_json: bool) -> None:
    """Print the lines of text, or the value as JSON."""
    click.echo(json.dumps(value, indent=2) if as_json else "\n".join(lines))
