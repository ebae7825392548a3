"""The command line: one command, sub-commands, each a small program."""

from orchidlane.cli.main import main

__all__ = ["main"]
