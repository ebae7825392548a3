"""The ``orchidlane`` command.

Exit codes: 0 done, 1 the answer is no (a rule broken, a check failed), 2 the input can't be used, 3 no fault
found, but not all could be checked.
"""

from __future__ import annotations

import json
import logging
import os
import sys
from pathlib import Path

import click
import structlog

from orchidlane import config
from orchidlane.cli.audit_command import audit
from orchidlane.cli.change import change
from orchidlane.cli.completion import completion
from orchidlane.cli.customer_commands import counts, diff
from orchidlane.cli.errors import clear_errors
from orchidlane.cli.gateway_commands import nodes, state, top
from orchidlane.cli.record_commands import explain, replay
from orchidlane.cli.roll import roll
from orchidlane.cli.upgrade import upgrade
from orchidlane.gateway.control.settings_loader import load_settings, schema_text
from orchidlane.routes import Match, build, load_description


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


@main.command()
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

    with clear_errors():
        failed = run_gateway(load_settings(settings), rank, folder, take_over, ready_fd)
    if failed:
        click.echo(f"the take-over ended: {failed}", err=True)
        sys.exit(1)


@main.command()
@click.argument("settings")
@click.option("--rate", type=float, default=30.0, show_default=True, help="Stand-in requests a second.")
@click.option("--nodes", type=int, default=6, show_default=True, help="Stand-in nodes, two to a rack.")
@click.option("--seconds", type=int, default=0, help="Stop by itself; 0 goes on until Ctrl-C.")
def up(settings: str, rate: float, nodes: int, seconds: int) -> None:
    """Run a fleet with stand-ins for trying out, and show what it does."""
    from orchidlane.cli.up import run_fleet

    with clear_errors():
        run_fleet(settings, rate, nodes, seconds)


@main.command("lab-node", hidden=True)
@click.argument("spec")
def lab_node(spec: str) -> None:
    """Run one stand-in node."""
    from orchidlane.cli.run import run_node

    run_node(spec)


@main.command()
@click.argument("script")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--world", type=click.Choice(["real", "simulated"]), default="real", show_default=True)
@click.option("--json", "report", type=click.Path(dir_okay=False), help="Write the verdict to a file.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep logs and records in this folder.")
@click.option("--bench-day", type=click.Path(dir_okay=False), help="Troubles from a day file of the bench.")
def day(
    script: str, seed: int, world: str, report: str | None, keep: str | None, bench_day: str | None
) -> None:
    """Play a scripted day and audit it: exit 0 only when all five rules held."""
    from orchidlane.simulation.bench_scenario import map_bench_scenario
    from orchidlane.simulation.process_backend import run_processes
    from orchidlane.simulation.scenario import load_scenario
    from orchidlane.simulation.simulated_fleet import simulate

    with clear_errors():
        loaded = load_scenario(script)
        if bench_day:
            mapped = map_bench_scenario(Path(bench_day).read_bytes(), loaded)
            loaded = mapped.scenario
            for line in mapped.mapped:
                click.echo(f"mapped  {line}", err=True)
            for line in mapped.unmapped:
                click.echo(f"left    {line}", err=True)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
    verdict = simulate(loaded, seed) if world == "simulated" else run_processes(loaded, seed, keep)
    text = json.dumps(verdict.as_json(), indent=2)
    if report:
        Path(report).write_text(text + "\n")
    click.echo(text)
    sys.exit(0 if all(verdict.rules.values()) else 1)


@main.command()
@click.argument("script")
@click.option("--first", type=int, default=1, show_default=True)
@click.option("--count", type=int, default=200, show_default=True)
@click.option("--jobs", type=int, default=None, help="Days played at once; as many as cores if left out.")
def seeds(script: str, first: int, count: int, jobs: int | None) -> None:
    """Play random troubles over a script's fleet in the simulated world, a day for each seed."""
    from orchidlane.simulation.random_faults import broken_seeds, run_seeds
    from orchidlane.simulation.scenario import load_scenario

    with clear_errors():
        loaded = load_scenario(script)
    found = run_seeds(loaded, range(first, first + count), jobs or os.cpu_count() or 1)
    wrong = broken_seeds(found)
    for seed, verdict in wrong.items():
        click.echo(f"seed {seed}: {json.dumps(verdict)}")
    requests = sum(int(str(verdict.get("requests", 0))) for verdict in found.values())
    click.echo(f"{len(found)} days, {requests} requests, {len(wrong)} with a broken rule")
    sys.exit(1 if wrong else 0)


@main.group("config")
def config_group() -> None:
    """Check and show settings."""


@config_group.command("check")
@click.argument("file")
def config_check(file: str) -> None:
    """Whether a file of settings can be used; every problem on a line of its own."""
    with clear_errors():
        load_settings(file)
    click.echo(f"{file}: fine")


@config_group.command("show")
@click.argument("file")
def config_show(file: str) -> None:
    """The settings with all defaults filled in."""
    with clear_errors():
        value = config.plain_values(Path(file).read_text(), file, schema_text(), "#Fleet")
    click.echo(config.render(value)[2:-2].replace("\n\t", "\n").lstrip("\t"))


@main.command()
@click.argument("file")
@click.option("--match", help="Explain one request, such as 'GET /x/y'.")
def routes(file: str, match: str | None) -> None:
    """Print class, cost and path of each operation of a description."""
    with clear_errors():
        generation = build(load_description(Path(file).read_bytes(), file), file)
    if match is None:
        for one in sorted(generation.operations, key=lambda operation: (operation.path, operation.method)):
            cls = generation.classes[one.class_index]
            click.echo(
                f"{one.class_name:20} {one.cost:6g} {cls.idempotency.value:7} {one.method:7} {one.path}"
            )
        return
    method, _, target = match.partition(" ")
    found = generation.match(method.upper(), target.encode())
    if not isinstance(found, Match):
        click.echo(
            f"{found.status} {found.detail}" + (f"; allow: {', '.join(found.allow)}" if found.allow else "")
        )
        sys.exit(1)
    operation, cls = found.operation, generation.classes[found.operation.class_index]
    click.echo(f"operation  {operation.name}: {operation.method} {operation.path}")
    click.echo(f"path       {found.path}")
    for name, value in found.parameters.items():
        click.echo(f"  {name} = {value}")
    click.echo(f"class      {operation.class_name}, worth {cls.priority_weight:g}, {cls.idempotency.value}")
    if cls.idempotency.value == "keyed":
        click.echo(
            f"  repeats are dropped within {cls.deduplication_window_us / 1e6:g} s,"
            f" group {cls.deduplication_scope.value}"
        )
    click.echo(f"cost       {operation.cost:g} units")
    click.echo(f"aim        {cls.latency_objective_us / 1e3:g} ms, deadline {cls.deadline_us / 1e3:g} ms")


for command in (
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
):
    main.add_command(command)
