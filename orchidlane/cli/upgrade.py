"""``orchidlane upgrade``: start a successor of one gateway, and say what became of it."""

from __future__ import annotations

import os
import shlex
import subprocess
import sys
import tempfile
import time
from typing import IO, Any

import click

from orchidlane.cli.errors import clear_errors
from orchidlane.gateway.control.settings import load_fleet, upgrade_address
from orchidlane.gateway.lifecycle.status_query import request_status
from orchidlane.hot_restart import messages
from orchidlane.runtime import Loop, RealWorld

STATUS_INTERVAL_SECONDS = 0.1  # seconds between two looks
STATUS_TIMEOUT_US = 5_000_000  # microseconds
WORDS_MOST, WORDS_LINES = 1 << 20, 5  # bytes looked at, lines told of what a failed successor printed
THIS_PROGRAM = (sys.executable, "-m", "orchidlane")


def successor_command(program: str, settings: str, rank: int) -> list[str]:
    """How a successor of a gateway is started; by this very program where none is named."""
    build = shlex.split(program) or THIS_PROGRAM
    return [*build, "gateway", settings, "--rank", str(rank), "--take-over"]


def _ask(path: str) -> messages.Status | None:
    loop = Loop(RealWorld())
    found: list[messages.Status | None] = []
    loop.run(lambda: found.append(request_status(loop, (path, 0), STATUS_TIMEOUT_US)))
    return found[0]


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
    with clear_errors():
        fleet = load_fleet(settings)
        if not 0 <= rank < len(fleet.gateways):
            raise ValueError(f"--rank: found {rank}, allowed: 0 to {len(fleet.gateways) - 1}")
        at = upgrade_address(fleet, fleet.gateways[rank])
        if at is None:
            raise ValueError(f"{settings}: state: a folder is wanted, where the gateway takes the call")
        before = _ask(at[0])
        if before is None:
            raise ValueError(f"{at[0]}: no gateway answers there")
    if only_status:
        click.echo(
            f"{before.phase}, process {before.pid}, build {before.build}; latest: {before.last_outcome}"
        )
        return
    command = successor_command(program, settings, rank)
    with open(log_to, "a+b") if log_to else tempfile.TemporaryFile() as log:
        since = log.seek(0, os.SEEK_END)
        started = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
        )
        outcome = _await(started, at[0], time.monotonic() + fleet.upgrade.most / 1e6)
        click.echo(outcome["told"])
        if not outcome["passed"]:
            _tell_last_words(log, since)
    sys.exit(0 if outcome["passed"] else 1)


def _tell_last_words(log: IO[bytes], since: int) -> None:
    """What the successor said in plain words, which may be all that is known of it."""
    log.seek(since)
    said = [
        line
        for line in log.read(WORDS_MOST).decode(errors="replace").splitlines()
        if line and line[0] not in "{ "
    ]
    for line in said[-WORDS_LINES:]:
        click.echo(f"its words: {line}", err=True)


def _await(started: subprocess.Popen[bytes], path: str, by: float) -> dict[str, Any]:
    """Until the successor serves alone, or has ended."""
    while time.monotonic() < by:
        if started.poll() is not None:
            status = _ask(path)
            why = status.last_outcome if status is not None else "no gateway answers any more"
            return {"passed": False, "told": f"the old process goes on: {why}"}
        status = _ask(path)
        if status is not None and status.pid == started.pid:
            return {"passed": True, "told": f"passed: process {status.pid}, build {status.build}"}
        time.sleep(STATUS_INTERVAL_SECONDS)
    return {"passed": False, "told": "it took too long; see --status"}
