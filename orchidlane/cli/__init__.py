"""The ``orchidlane`` command and its sub-commands."""

from orchidlane.cli.main import main

__all__ = ["main"]
