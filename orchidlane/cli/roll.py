"""``orchidlane roll``: upgrade all gateways of a fleet, stop at the first sign of harm and go back."""

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

from orchidlane.cli.errors import UNUSABLE, clear_errors
from orchidlane.cli.upgrade import THIS_PROGRAM, successor_command
from orchidlane.gateway.control.settings import Fleet, load_fleet
from orchidlane.gateway.lifecycle.rolling_upgrade import RollDriver, StoredRoll, UnfinishedRollError
from orchidlane.hot_restart import rolling_upgrade as decisions
from orchidlane.runtime import Loop, RealWorld

WAIT_FOR_RELEASE = ("/bin/sh", "-c", 'read -r go && exec "$@"', "sh")  # ends by itself if nobody lets it run


class LocalProcesses:
    """Successors as processes of this machine, in sessions of their own: they outlive the roll."""

    def __init__(self, settings: list[str], log: IO[bytes]) -> None:
        self.settings = settings  # one for each gateway
        self.log = log
        self.commands = ("", "")
        self._ours: dict[int, subprocess.Popen[bytes]] = {}

    def prepare(self, rank: int, new: bool) -> int:
        """See ``rolling.Starter``; so are the others."""
        started = subprocess.Popen(
            [*WAIT_FOR_RELEASE, *successor_command(self.commands[new], self.settings[rank], rank)],
            stdin=subprocess.PIPE,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self._ours[started.pid] = started
        return started.pid

    def release(self, pid: int) -> None:
        own = self._ours[pid]
        assert own.stdin is not None
        try:
            own.stdin.write(b"go\n")
            own.stdin.close()
        except BrokenPipeError:
            pass  # it is gone, as the next look will find

    def alive(self, pid: int) -> bool:
        if pid in self._ours:
            return self._ours[pid].poll() is None
        with _process(pid) as number:
            return number is not None and not select.select([number], [], [], 0)[0]

    def kill(self, pid: int) -> None:
        with _process(pid) as number:
            if number is not None:
                signal.pidfd_send_signal(number, signal.SIGKILL)


@contextlib.contextmanager
def _process(pid: int) -> Iterator[int | None]:
    """A descriptor of a process, readable once it has ended, pidfd_open(2); None where there is none."""
    try:
        number = os.pidfd_open(pid)
    except OSError:
        yield None
        return
    try:
        yield number
    finally:
        os.close(number)


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
    with clear_errors():
        fleet = load_fleet(settings)
        if not fleet.state:
            raise ValueError(f"{settings}: state: a folder is wanted, where the gateways take the call")
        own = [each.format(rank=rank, name=one.name) for rank, one in enumerate(fleet.gateways)]
        with open(log_to or "/dev/null", "ab") as log:
            starter = LocalProcesses(own if each else [settings] * len(fleet.gateways), log)
            rolling = RollDriver(Loop(RealWorld()), fleet, starter, click.echo)
            if only_status:
                return _show(rolling.load_stored(), fleet)
            if bool(program) + resume + recall != 1:
                raise ValueError("one of --program, --resume and --recall is wanted")
            found: list[decisions.RollState] = []
            rolling.loop.run(lambda: found.append(_run(rolling, starter, (back, program), recall)))
    state = found[0]
    click.echo(f"{state.phase.value}" + (f": {state.reason}" if state.reason else ""))
    sys.exit({decisions.Phase.DONE: 0, decisions.Phase.ROLLED_BACK: 1}.get(state.phase, 4))


def _run(
    rolling: RollDriver, starter: LocalProcesses, programs: tuple[str, str], recall: bool
) -> decisions.RollState:
    """Under a lock that a kernel gives up if we die."""
    at = os.path.abspath(f"{rolling.fleet.state}/roll.lock"), 0
    try:
        lock = rolling.loop.world.listen(at)
    except OSError as wrong:
        raise UnfinishedRollError(f"{at[0]}: another roll is under way: {wrong.strerror}") from None
    try:
        if programs[1]:
            starter.commands = programs
            rolling.begin(programs)
            return rolling.run()
        actions = rolling.resume()
        starter.commands = rolling.stored.commands
        return rolling.run(actions, "asked for" if recall else "")
    finally:
        lock.close()


def _show(kept: StoredRoll | None, fleet: Fleet) -> None:
    if kept is None:
        click.echo("no roll so far")
        sys.exit(UNUSABLE)
    state = kept.state
    click.echo(f"{state.phase.value}" + (f": {state.reason}" if state.reason else ""))
    click.echo(f"old  {kept.commands[0]}\nnew  {kept.commands[1]}")
    for entry, one, load in zip(fleet.gateways, state.gateways, kept.loads, strict=True):
        told = f", process {one.successor_pid}" if one.successor_pid else ""
        click.echo(f"{entry.name:12} {entry.zone:10} {one.phase.value:7} {load:7.1f} answers/s{told}")
