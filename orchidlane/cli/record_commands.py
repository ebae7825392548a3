"""Commands on traffic records: replay them, simulate other settings, explain a request."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from orchidlane import recording
from orchidlane.cli.errors import EXIT_INCOMPLETE_CHECK, report_input_errors
from orchidlane.cli.output import print_result
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings_loader import load_settings
from orchidlane.recording.description import describe
from orchidlane.routes import build, load_description

MICROSECONDS_PER_SECOND = 1e6
MICROSECONDS_PER_MILLISECOND = 1e3


@click.command("replay")
@click.argument("folder")
@click.option("--what-if", "other_settings", help="Another fleet's settings: what would have changed.")
@click.option("--json", "as_json", is_flag=True)
def replay(folder: str, other_settings: str | None, as_json: bool) -> None:
    """Replay a traffic record through this build.

    Exit 0: no difference; 1: the first one is shown; 3: none, but a broken part could not be checked.
    """
    with report_input_errors():
        paths = recording.list_segments(folder)
        if other_settings:
            _simulate_settings(paths, other_settings, as_json)
            return
        results = [recording.replay(group) for group in recording.group_by_incarnation(paths)]
    differences = [result.difference for result in results if result.difference is not None]
    unchecked_parts = [_describe_unchecked(part) for result in results for part in result.unchecked_parts]
    unchecked_events = sum(part.events for result in results for part in result.unchecked_parts)
    incomplete = sum(not result.complete for result in results)
    events = sum(result.events for result in results)
    value = {
        "lives": len(results),
        "events": events,
        "differences": len(differences),
        "lives_not_whole": incomplete,
        "events_unchecked": unchecked_events,
        "unchecked": unchecked_parts,
    }
    lines = [f"{len(results)} lives, {events} events, {len(differences)} with a difference"]
    if incomplete:
        lines.append(
            f"{incomplete} lives were not checked to the end: {unchecked_events} events, and any lost ones"
        )
    lines += unchecked_parts
    for difference in differences:
        lines += difference.format_lines()
    print_result(value, lines, as_json)
    if differences:
        sys.exit(1)
    sys.exit(EXIT_INCOMPLETE_CHECK if incomplete else 0)


def _describe_unchecked(part: recording.UncheckedPart) -> str:
    return part.reason + (" (truncated when its gateway exited)" if part.torn else "")


def _simulate_settings(paths: list[str], settings_file: str, as_json: bool) -> None:
    fleet = load_settings(settings_file)
    description = Path(fleet.description).read_bytes()
    generation = build(load_description(description, fleet.description), fleet.description)
    with recording.SegmentReader(paths[0]) as reader:
        replica = reader.header.policy_settings().replica
    settings = policy_settings(fleet, min(replica, len(fleet.gateways) - 1), generation)
    result = recording.simulate_settings(paths, settings, tuple(fleet.plans))
    rows = {
        f"{class_name} {plan}": {
            "recorded": result.recorded[class_name, plan],
            "instead": result.simulated[class_name, plan],
        }
        for class_name, plan in sorted(result.recorded)
    }
    lines = ["class and plan                 admitted refused   instead: admitted refused"]
    for name, row in rows.items():
        recorded, simulated = row["recorded"], row["instead"]
        lines.append(f"{name:30} {recorded[0]:8} {recorded[1]:7} {simulated[0]:19} {simulated[1]:7}")
    lines.append(f"{result.changed_decisions} requests would have been decided differently")
    print_result({"rows": rows, "turned": result.changed_decisions}, lines, as_json)


@click.command()
@click.argument("folder")
@click.argument("request", type=int, required=False)
@click.option("--customer", type=int, help="The requests of a customer, by its number, in place of one.")
@click.option("--gateway", help="Only what this one recorded: each life numbers its requests anew.")
@click.option("--since", type=float, default=0.0, help="Seconds from the record's begin.")
@click.option("--until", type=float, default=1e9, help="Seconds from the record's begin.")
@click.option("--json", "as_json", is_flag=True)
def explain(
    folder: str,
    request: int | None,
    customer: int | None,
    gateway: str | None,
    since: float,
    until: float,
    as_json: bool,
) -> None:
    """One request's life, step by step, or the requests of a customer, from a traffic record."""
    with report_input_errors():
        if (request is None) == (customer is None):
            raise ValueError("exactly one of REQUEST and --customer is required")
        paths = recording.list_segments(folder)
        if request is not None:
            steps = _request_steps(paths, request)
        else:
            steps = _customer_arrivals(paths, customer, since, until)
    steps = [step for step in steps if gateway in (None, step["gateway"])]
    if not steps:
        missing = (
            f"request {request}"
            if request is not None
            else f"request of customer {customer} in this time range"
        )
        click.echo(f"{folder}: no {missing}", err=True)
        sys.exit(1)
    print_result(steps, _format_steps(steps, by_incarnation=request is not None), as_json)


def _format_steps(steps: list[dict[str, Any]], by_incarnation: bool) -> list[str]:
    """Return the steps as text; times count from the first step, or from the first of each incarnation."""
    lines = []
    started_at_us = steps[0]["now"]
    incarnation = None
    for step in steps:
        if by_incarnation and step["life"] != incarnation:
            started_at_us = step["now"]
            incarnation = step["life"]
            lines.append(f"{step['gateway']}, life {incarnation:x}")
        elapsed = (step["now"] - started_at_us) / MICROSECONDS_PER_MILLISECOND
        lines.append(f"{elapsed:10.3f} ms  {step['gateway']}  {step['event']}")
        lines += [f"{'':15}  -> {action}" for action in step["actions"]]
    return lines


def _request_steps(paths: list[str], request: int) -> list[dict[str, Any]]:
    steps = []
    for path in paths:
        with recording.SegmentReader(path) as reader:
            index = recording.KeyIndex(reader, recording.request_number)
            steps += [_step(reader.header, entry) for entry in index.entries(request)]
    return steps


def _customer_arrivals(
    paths: list[str], customer: int | None, since: float, until: float
) -> list[dict[str, Any]]:
    """Return the arrivals of a customer's requests, with the policy's immediate decisions."""
    steps: list[dict[str, Any]] = []
    record_started_at_us: int | None = None
    for path in paths:
        with recording.SegmentReader(path) as reader:
            segment_started_at_us = reader.header.written_at_us
            record_started_at_us = min(segment_started_at_us, record_started_at_us or segment_started_at_us)
            entries = recording.TimeIndex(reader).between(
                record_started_at_us + int(since * MICROSECONDS_PER_SECOND),
                record_started_at_us + int(until * MICROSECONDS_PER_SECOND),
            )
            steps += [
                _step(reader.header, entry)
                for entry in entries
                if recording.customer_number(entry) == customer
            ]
    return sorted(steps, key=lambda step: step["now"])


def _step(header: recording.Header, entry: recording.Entry) -> dict[str, Any]:
    text = describe(entry.event)
    if entry.response is not None:
        response = entry.response
        duration = response.duration_us / MICROSECONDS_PER_MILLISECOND
        text = f"answered {response.status} ({response.kind}) after {duration:.3f} ms"
    return {
        "gateway": header.gateway,
        "life": header.started_at_us,
        "now": entry.at_us,
        "event": text,
        "actions": [describe(action) for action in entry.actions],
    }
