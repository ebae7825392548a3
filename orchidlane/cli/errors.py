"""What is wrong with the input, one problem a line, and no traceback."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager

import click

from orchidlane.config import ConfigError
from orchidlane.gateway.control.customers import CustomersError
from orchidlane.gateway.telemetry.policy_views import ViewError
from orchidlane.recording import FormatError
from orchidlane.routes import DescriptionError

UNUSABLE = 2
UNCHECKED = 3  # no, but not all of it could be checked


UNREADABLE = (ConfigError, DescriptionError, CustomersError, FormatError, ViewError, ValueError)


@contextmanager
def clear_errors() -> Iterator[None]:
    """What is wrong with the input, one problem a line, and no traceback."""
    try:
        yield
    except UNREADABLE as wrong:
        click.echo(str(wrong), err=True)
        sys.exit(UNUSABLE)
    except OSError as wrong:
        click.echo(f"{wrong.filename or ''}: {wrong.strerror or wrong}".lstrip(": "), err=True)
        sys.exit(UNUSABLE)
