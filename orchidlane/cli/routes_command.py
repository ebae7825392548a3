"""``orchidlane routes``: list a description's operations, or explain which one a request matches."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from orchidlane.cli.errors import EXIT_FAILED_CHECK, report_input_errors
from orchidlane.policy import Idempotency
from orchidlane.routes import Generation, Match, Miss, build, load_description


@click.command()
@click.argument("file")
@click.option("--match", "request_line", help="Explain one request, such as 'GET /x/y'.")
def routes(file: str, request_line: str | None) -> None:
    """Print class, cost and path of each operation of a description."""
    with report_input_errors():
        generation = build(load_description(Path(file).read_bytes(), file), file)
    if request_line is None:
        _list_operations(generation)
        return
    method, _, target = request_line.partition(" ")
    match generation.match(method.upper(), target.encode()):
        case Match() as match:
            _explain_match(generation, match)
        case miss:
            _explain_miss(miss)
            sys.exit(EXIT_FAILED_CHECK)


def _list_operations(generation: Generation) -> None:
    for operation in sorted(generation.operations, key=lambda operation: (operation.path, operation.method)):
        idempotency = generation.classes[operation.class_index].idempotency.value
        name_and_cost = f"{operation.class_name:20} {operation.cost:6g}"
        click.echo(f"{name_and_cost} {idempotency:7} {operation.method:7} {operation.path}")


def _explain_miss(miss: Miss) -> None:
    allowed = f"; allow: {', '.join(miss.allow)}" if miss.allow else ""
    click.echo(f"{miss.status} {miss.detail}{allowed}")


def _explain_match(generation: Generation, match: Match) -> None:
    operation = match.operation
    request_class = generation.classes[operation.class_index]
    idempotency = request_class.idempotency
    click.echo(f"operation  {operation.name}: {operation.method} {operation.path}")
    click.echo(f"path       {match.path}")
    for name, value in match.parameters.items():
        click.echo(f"  {name} = {value}")
    weight = f"worth {request_class.priority_weight:g}"
    click.echo(f"class      {operation.class_name}, {weight}, {idempotency.value}")
    if idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
        window = f"{request_class.deduplication_window_us / 1e6:g} s"
        scope = request_class.deduplication_scope.value
        click.echo(f"  repeats are dropped within {window}, group {scope}")
    click.echo(f"cost       {operation.cost:g} units")
    objective = f"{request_class.latency_objective_us / 1e3:g} ms"
    click.echo(f"aim        {objective}, deadline {request_class.deadline_us / 1e3:g} ms")
