"""The ``orchidlane`` command: its group of sub-commands.

Exit codes: 0 success, 1 a rule was violated or a check failed, 2 the input can't be used, 3 no fault was
found, but a part could not be checked. ``change``, ``roll`` and ``upgrade`` describe their own.
"""

from __future__ import annotations

import logging
import sys

import click
import structlog

from orchidlane.cli.audit_command import audit
from orchidlane.cli.change import change
from orchidlane.cli.completion import completion
from orchidlane.cli.config_commands import config_group
from orchidlane.cli.customer_commands import counts, diff
from orchidlane.cli.gateway_commands import nodes, state, top
from orchidlane.cli.process_commands import gateway, lab_node, up
from orchidlane.cli.record_commands import explain, replay
from orchidlane.cli.roll import roll
from orchidlane.cli.routes_command import routes
from orchidlane.cli.simulation_commands import day, seeds
from orchidlane.cli.upgrade import upgrade

COMMANDS: tuple[click.Command, ...] = (
    gateway,
    up,
    lab_node,
    day,
    seeds,
    config_group,
    routes,
    audit,
    completion,
    counts,
    diff,
    explain,
    nodes,
    replay,
    state,
    top,
    change,
    roll,
    upgrade,
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="orchidlane")
def main() -> None:
    """An API gateway that keeps quotas and priorities across a fleet of instances."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        cache_logger_on_first_use=True,
    )


for command in COMMANDS:
    main.add_command(command)
