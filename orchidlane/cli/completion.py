"""``orchidlane completion``: print the completion script of a shell."""

from __future__ import annotations

import click
from click.shell_completion import get_completion_class


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print what makes a shell complete this command: `eval "$(orchidlane completion bash)"`."""
    root = click.get_current_context().find_root().command
    completion_class = get_completion_class(shell)
    assert completion_class is not None
    click.echo(completion_class(root, {}, "orchidlane", "_ORCHIDLANE_COMPLETE").source())
