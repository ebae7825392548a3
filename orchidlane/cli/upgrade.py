"""``orchidlane upgrade``: hot restart of one gateway with a new process, and its outcome."""

from __future__ import annotations

import os
import shlex
import subprocess
import sys
import tempfile
import time
from typing import IO, NamedTuple

import click

from orchidlane.cli.errors import report_input_errors
from orchidlane.gateway.control.settings_loader import hot_restart_address, load_settings
from orchidlane.gateway.lifecycle.status_query import request_status_in_own_loop
from orchidlane.hot_restart.messages import Status

STATUS_INTERVAL_SECONDS = 0.1
STATUS_TIMEOUT_US = 5_000_000
MAX_LOG_BYTES = 1 << 20  # of a failed process's output that is searched
MAX_LOG_LINES = 5  # of that output that are printed
THIS_PROGRAM = (sys.executable, "-m", "orchidlane")


class Outcome(NamedTuple):
    """Whether a hot restart passed, and a line with the result."""

    passed: bool
    summary: str


def new_process_command(program: str, settings: str, rank: int) -> list[str]:
    """Return the command that starts a gateway's new process; an empty ``program`` means this program."""
    build = shlex.split(program) or THIS_PROGRAM
    return [*build, "gateway", settings, "--rank", str(rank), "--take-over"]


def _request_status(path: str) -> Status | None:
    return request_status_in_own_loop((path, 0), STATUS_TIMEOUT_US)


@click.command()
@click.argument("settings")
@click.option(
    "--rank", type=int, default=0, show_default=True, help="Place in the settings' list of gateways."
)
@click.option("--program", default="", help="The successor's command; this very program if left out.")
@click.option("--log", "log_to", type=click.Path(dir_okay=False), help="What the successor prints goes here.")
@click.option("--status", "only_status", is_flag=True, help="Only say how things stand.")
def upgrade(settings: str, rank: int, program: str, log_to: str | None, only_status: bool) -> None:
    """Hand a running gateway over to a new process, with no request lost.

    Exit 0: the successor passed its trial and serves; 1: the old process goes on, and why.
    """
    with report_input_errors():
        fleet = load_settings(settings)
        if not 0 <= rank < len(fleet.gateways):
            raise ValueError(f"--rank: found {rank}, allowed: 0 to {len(fleet.gateways) - 1}")
        address = hot_restart_address(fleet, fleet.gateways[rank])
        if address is None:
            raise ValueError(f"{settings}: state: a folder is required, for the socket of hot restarts")
        path = address[0]
        status = _request_status(path)
        if status is None:
            raise ValueError(f"{path}: no gateway responds at this socket")
    if only_status:
        process = f"process {status.pid}, build {status.build}"
        click.echo(f"{status.phase}, {process}; latest: {status.last_outcome}")
        return
    command = new_process_command(program, settings, rank)
    outcome = _run_new_process(command, log_to, path, fleet.hot_restart.total_timeout_us / 1e6)
    sys.exit(0 if outcome.passed else 1)


def _run_new_process(command: list[str], log_to: str | None, path: str, timeout_seconds: float) -> Outcome:
    """Start a new process in its own session, print the outcome of the hot restart and return it."""
    with open(log_to, "a+b") if log_to else tempfile.TemporaryFile() as log:
        start_offset = log.seek(0, os.SEEK_END)
        new_process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
        )
        outcome = _await_outcome(new_process, path, time.monotonic() + timeout_seconds)
        click.echo(outcome.summary)
        if not outcome.passed:
            _print_last_lines(log, start_offset)
    return outcome


def _print_last_lines(log: IO[bytes], start_offset: int) -> None:
    """Print the last lines that are neither log events nor tracebacks; they may be the only error message."""
    log.seek(start_offset)
    lines = log.read(MAX_LOG_BYTES).decode(errors="replace").splitlines()
    plain_lines = [line for line in lines if line and line[0] not in "{ "]
    for line in plain_lines[-MAX_LOG_LINES:]:
        click.echo(f"its output: {line}", err=True)


def _await_outcome(new_process: subprocess.Popen[bytes], path: str, deadline: float) -> Outcome:
    """Wait until the new process serves alone or has exited."""
    while time.monotonic() < deadline:
        if new_process.poll() is not None:
            status = _request_status(path)
            reason = status.last_outcome if status is not None else "no gateway responds any more"
            return Outcome(False, f"the old process continues to serve: {reason}")
        status = _request_status(path)
        if status is not None and status.pid == new_process.pid:
            return Outcome(True, f"passed: process {status.pid}, build {status.build}")
        time.sleep(STATUS_INTERVAL_SECONDS)
    return Outcome(False, "the hot restart did not finish in time; see --status")
