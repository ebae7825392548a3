"""Commands that run processes: a gateway, a fake endpoint, a demo fleet.

Each command imports what it runs when it is called, so that the other commands start without these imports.
"""

from __future__ import annotations

import sys

import click

from orchidlane.cli.errors import EXIT_FAILED_CHECK, report_input_errors
from orchidlane.gateway.control.settings_loader import load_settings


@click.command()
@click.argument("settings")
@click.option("--rank", type=int, default=0, help="Place in the settings' list of gateways.")
@click.option(
    "--record", "folder", type=click.Path(file_okay=False, exists=True), help="Record traffic here."
)
@click.option("--take-over", is_flag=True, help="Go on in place of the process that runs now; see `upgrade`.")
@click.option("--ready-fd", type=int, default=-1, help="A line is written to this descriptor once it serves.")
def gateway(settings: str, rank: int, folder: str | None, take_over: bool, ready_fd: int) -> None:
    """Run one gateway of the fleet until SIGTERM."""
    from orchidlane.cli.run import run_gateway

    with report_input_errors():
        failure = run_gateway(load_settings(settings), rank, folder, take_over, ready_fd)
    if failure:
        click.echo(f"the hot restart failed: {failure}", err=True)
        sys.exit(EXIT_FAILED_CHECK)


@click.command()
@click.argument("settings")
@click.option("--rate", type=float, default=30.0, show_default=True, help="Stand-in requests a second.")
@click.option("--nodes", type=int, default=6, show_default=True, help="Stand-in nodes, two to a rack.")
@click.option("--seconds", type=int, default=0, help="Stop by itself; 0 goes on until Ctrl-C.")
def up(settings: str, rate: float, nodes: int, seconds: int) -> None:
    """Run a fleet with stand-ins for trying out, and show what it does."""
    from orchidlane.cli.up import run_demo_fleet

    with report_input_errors():
        run_demo_fleet(settings, rate, nodes, seconds)


@click.command("lab-node", hidden=True)
@click.argument("spec")
def lab_node(spec: str) -> None:
    """Run one stand-in node."""
    from orchidlane.cli.run import run_node

    run_node(spec)
