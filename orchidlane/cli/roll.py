"""``orchidlane roll``: rolling upgrade of all gateways, which is rolled back at the first regression."""

from __future__ import annotations

import contextlib
import os
import select
import shlex
import signal
import subprocess
import sys
from collections.abc import Iterator
from typing import IO

import click

from orchidlane.cli.errors import EXIT_UNUSABLE_INPUT, report_input_errors
from orchidlane.cli.upgrade import THIS_PROGRAM, new_process_command
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import load_settings
from orchidlane.gateway.lifecycle.rolling_upgrade import RollDriver, StoredRoll, UnfinishedRollError
from orchidlane.hot_restart.rolling_upgrade import Phase, RollState
from orchidlane.runtime import EventLoop, RealBackend

# Runs a command once a line is written to its standard input; exits if the input is closed before that.
WAIT_FOR_RELEASE = ("/bin/sh", "-c", 'read -r go && exec "$@"', "sh")
EXIT_CODES = {Phase.DONE: 0, Phase.ROLLED_BACK: 1, Phase.STUCK: 4}


class LocalProcesses:
    """Starts new processes on this machine, each in its own session, so that they outlive this command.

    Implements ``orchidlane.gateway.lifecycle.rolling_upgrade.NewProcessStarter``.
    """

    def __init__(self, settings: list[str], log: IO[bytes]) -> None:
        self.settings = settings  # one path for each gateway
        self.log = log
        self.commands = ("", "")  # of the old build and of the new build
        self._children: dict[int, subprocess.Popen[bytes]] = {}

    def prepare(self, rank: int, new_build: bool) -> int:
        """Start a process that waits for ``release``, and return its process id."""
        command = new_process_command(self.commands[new_build], self.settings[rank], rank)
        child = subprocess.Popen(
            [*WAIT_FOR_RELEASE, *command],
            stdin=subprocess.PIPE,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self._children[child.pid] = child
        return child.pid

    def release(self, pid: int) -> None:
        """Let a prepared process run; if it has already exited, the next status query detects that."""
        child = self._children[pid]
        assert child.stdin is not None
        with contextlib.suppress(BrokenPipeError):
            child.stdin.write(b"go\n")
            child.stdin.close()

    def alive(self, pid: int) -> bool:
        """Return whether a process has not exited; it may be a child of an earlier run of the command."""
        if pid in self._children:
            return self._children[pid].poll() is None
        with _open_process(pid) as descriptor:
            return descriptor is not None and not select.select([descriptor], [], [], 0)[0]

    def kill(self, pid: int) -> None:
        """Kill a process if it has not exited."""
        with _open_process(pid) as descriptor:
            if descriptor is not None:
                signal.pidfd_send_signal(descriptor, signal.SIGKILL)


@contextlib.contextmanager
def _open_process(pid: int) -> Iterator[int | None]:
    """Open a descriptor of a process, readable once it has exited; None if there is no such process.

    See pidfd_open(2).
    """
    try:
        descriptor = os.pidfd_open(pid)
    except OSError:
        yield None
        return
    try:
        yield descriptor
    finally:
        os.close(descriptor)


@click.command()
@click.argument("settings")
@click.option("--program", default="", help="The new build's command.")
@click.option(
    "--back",
    default=shlex.join(THIS_PROGRAM),
    help="The old build's command, to go back; this very program if left out.",
)
@click.option("--each", default="", help="Each gateway's own settings, with {rank} or {name} in the path.")
@click.option("--log", "log_to", type=click.Path(dir_okay=False), help="What the successors print goes here.")
@click.option("--resume", is_flag=True, help="Go on with a roll that was killed or interrupted.")
@click.option("--recall", is_flag=True, help="The same, but back to the old build.")
@click.option("--status", "only_status", is_flag=True, help="Only say how the latest roll stands.")
def roll(
    settings: str,
    program: str,
    back: str,
    each: str,
    log_to: str | None,
    resume: bool,
    recall: bool,
    only_status: bool,
) -> None:
    """Upgrade all gateways of a fleet on this machine, batch by batch.

    Exit 0: all run the new build; 1: harm was seen, and all run the old build again; 4: some could not be
    brought back. It may be killed at any time and resumed.
    """
    with report_input_errors():
        fleet = load_settings(settings)
        if not fleet.state_directory:
            raise ValueError(f"{settings}: state: a folder is required, for the sockets of hot restarts")
        with open(log_to or "/dev/null", "ab") as log:
            starter = LocalProcesses(_settings_paths(fleet, settings, each), log)
            driver = RollDriver(EventLoop(RealBackend()), fleet, starter, click.echo)
            if only_status:
                _print_status(driver.load_stored(), fleet)
                return
            if bool(program) + resume + recall != 1:
                raise ValueError("exactly one of --program, --resume and --recall is required")
            states: list[RollState] = []
            driver.loop.run(lambda: states.append(_run(driver, starter, (back, program), recall)))
    state = states[0]
    click.echo(_summary(state))
    sys.exit(EXIT_CODES[state.phase])


def _settings_paths(fleet: FleetSettings, settings: str, each: str) -> list[str]:
    """Return the path of each gateway's settings file."""
    if not each:
        return [settings] * len(fleet.gateways)
    return [each.format(rank=rank, name=entry.name) for rank, entry in enumerate(fleet.gateways)]


def _run(driver: RollDriver, starter: LocalProcesses, commands: tuple[str, str], recall: bool) -> RollState:
    """Run or resume a rolling upgrade under a lock.

    The lock is a listening Unix socket, which the kernel closes when this process exits.
    """
    path = os.path.abspath(f"{driver.fleet.state_directory}/roll.lock")
    try:
        lock = driver.loop.backend.listen((path, 0))
    except OSError as error:
        raise UnfinishedRollError(f"{path}: another roll is under way: {error.strerror}") from None
    try:
        new_command = commands[1]
        if new_command:
            starter.commands = commands
            driver.begin(commands)
            return driver.run()
        actions = driver.resume()
        starter.commands = driver.stored.commands
        return driver.run(actions, "asked for" if recall else "")
    finally:
        lock.close()


def _summary(state: RollState) -> str:
    return f"{state.phase.value}: {state.reason}" if state.reason else state.phase.value


def _print_status(stored: StoredRoll | None, fleet: FleetSettings) -> None:
    """Print the state of the latest rolling upgrade."""
    if stored is None:
        click.echo("no rolling upgrade was started yet")
        sys.exit(EXIT_UNUSABLE_INPUT)
    old_command, new_command = stored.commands
    click.echo(_summary(stored.state))
    click.echo(f"old  {old_command}\nnew  {new_command}")
    for entry, gateway, load in zip(fleet.gateways, stored.state.gateways, stored.loads, strict=True):
        process = f", process {gateway.new_process_pid}" if gateway.new_process_pid else ""
        phase = gateway.phase.value
        click.echo(f"{entry.name:12} {entry.zone:10} {phase:7} {load:7.1f} responses/s{process}")
