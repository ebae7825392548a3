"""Commands that run scenarios: one scenario, or random faults for many seeds.

Each command imports the simulation when it is called, so that the other commands start without it.
"""

from __future__ import annotations

import json
import logging
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click
import structlog

from orchidlane.cli.errors import EXIT_FAILED_CHECK, report_input_errors

if TYPE_CHECKING:
    from orchidlane.simulation.scenario import Scenario


@click.command()
@click.argument("script")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--world", "backend", type=click.Choice(["real", "simulated"]), default="real", show_default=True
)
@click.option("--json", "report_path", type=click.Path(dir_okay=False), help="Write the verdict to a file.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep logs and records in this folder.")
@click.option(
    "--bench-day",
    "bench_day_path",
    type=click.Path(dir_okay=False),
    help="Troubles from a day file of the bench.",
)
def day(
    script: str,
    seed: int,
    backend: str,
    report_path: str | None,
    keep: str | None,
    bench_day_path: str | None,
) -> None:
    """Play a scripted day and audit it: exit 0 only when all five rules held."""
    from orchidlane.simulation.process_backend import run_processes
    from orchidlane.simulation.simulated_fleet import simulate

    with report_input_errors():
        scenario = _load_scenario(script, bench_day_path)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
    verdict = simulate(scenario, seed) if backend == "simulated" else run_processes(scenario, seed, keep)
    text = json.dumps(verdict.as_json(), indent=2)
    if report_path:
        Path(report_path).write_text(text + "\n")
    click.echo(text)
    sys.exit(0 if all(verdict.rules.values()) else EXIT_FAILED_CHECK)


def _load_scenario(script: str, bench_day_path: str | None) -> Scenario:
    """Return a script's scenario, with the faults of a bench's day file; report how they were mapped."""
    from orchidlane.simulation.bench_scenario import map_bench_scenario
    from orchidlane.simulation.scenario import load_scenario

    scenario = load_scenario(script)
    if not bench_day_path:
        return scenario
    mapped = map_bench_scenario(Path(bench_day_path).read_bytes(), scenario)
    for line in mapped.mapped:
        click.echo(f"mapped    {line}", err=True)
    for line in mapped.unmapped:
        click.echo(f"unmapped  {line}", err=True)
    return mapped.scenario


@click.command()
@click.argument("script")
@click.option("--first", type=int, default=1, show_default=True)
@click.option("--count", type=int, default=200, show_default=True)
@click.option("--jobs", type=int, default=None, help="Days played at once; as many as cores if left out.")
def seeds(script: str, first: int, count: int, jobs: int | None) -> None:
    """Play random troubles over a script's fleet in the simulated world, a day for each seed."""
    from orchidlane.simulation.random_faults import broken_seeds, run_seeds
    from orchidlane.simulation.scenario import load_scenario

    with report_input_errors():
        scenario = load_scenario(script)
    verdicts = run_seeds(scenario, range(first, first + count), jobs or os.cpu_count() or 1)
    broken_verdicts = broken_seeds(verdicts)
    for seed, verdict in broken_verdicts.items():
        click.echo(f"seed {seed}: {json.dumps(verdict)}")
    requests = sum(int(str(verdict.get("requests", 0))) for verdict in verdicts.values())
    click.echo(f"{len(verdicts)} days, {requests} requests, {len(broken_verdicts)} with a broken rule")
    sys.exit(EXIT_FAILED_CHECK if broken_verdicts else 0)
