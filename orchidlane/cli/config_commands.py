"""``orchidlane config``: check a settings file, or show it with its defaults."""

from __future__ import annotations

from pathlib import Path

import click

from orchidlane import config
from orchidlane.cli.errors import report_input_errors
from orchidlane.gateway.control.settings_loader import load_settings, schema_text


@click.group("config")
def config_group() -> None:
    """Check and show settings."""


@config_group.command("check")
@click.argument("file")
def config_check(file: str) -> None:
    """Whether a file of settings can be used; every problem on a line of its own."""
    with report_input_errors():
        load_settings(file)
    click.echo(f"{file}: fine")


@config_group.command("show")
@click.argument("file")
def config_show(file: str) -> None:
    """The settings with all defaults filled in."""
    with report_input_errors():
        value = config.plain_values(Path(file).read_text(), file, schema_text(), "#Fleet")
    fields_in_braces = config.render(value)
    click.echo(fields_in_braces[2:-2].replace("\n\t", "\n").lstrip("\t"))
