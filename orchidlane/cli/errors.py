"""Exit codes, and the printing of input errors without a traceback."""

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

EXIT_FAILED_CHECK = 1  # a rule was violated, or a check failed
EXIT_UNUSABLE_INPUT = 2
EXIT_INCOMPLETE_CHECK = 3  # no fault was found, but a part could not be checked

INPUT_ERRORS = (ConfigError, DescriptionError, CustomersError, FormatError, ViewError, ValueError)


@contextmanager
def report_input_errors() -> Iterator[None]:
    """Print an error of the input, one problem per line, and exit with EXIT_UNUSABLE_INPUT."""
    try:
        yield
    except INPUT_ERRORS as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_UNUSABLE_INPUT)
    except OSError as error:
        click.echo(f"{error.filename or ''}: {error.strerror or error}".lstrip(": "), err=True)
        sys.exit(EXIT_UNUSABLE_INPUT)
