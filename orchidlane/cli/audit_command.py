"""``orchidlane audit``: check the five rules against the records in a folder."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from orchidlane import recording
from orchidlane.cli.errors import EXIT_INCOMPLETE_CHECK, report_input_errors
from orchidlane.cli.output import print_result
from orchidlane.recording.segments import SEGMENT_SUFFIX
from orchidlane.simulation.audit import audit_folder

MAX_NAMES_SHOWN = 5  # of each kind of violation


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--json", "as_json", is_flag=True)
def audit(folder: str, as_json: bool) -> None:
    """The five rules over the records of gateways, nodes and clients in a folder (`day --keep` leaves all).

    Exit 0: held; 1: a rule was broken; 3: held, but part of a record could not be read.
    """
    with report_input_errors():
        socket_audit = audit_folder(folder)
        paths = sorted(str(path) for path in Path(folder).glob(f"*{SEGMENT_SUFFIX}"))
        if socket_audit is None and not paths:
            raise ValueError(f"{folder}: no records of gateways, nodes or clients")
        arrivals = [(arrival.attempt, arrival.at) for arrival in socket_audit[1]] if socket_audit else None
        findings = recording.audit_records(paths, arrivals) if paths else None
    value: dict[str, Any] = {}
    rules_held: list[bool] = []
    if socket_audit is not None:
        value["sockets"] = socket_audit[0].as_json()
        rules_held += socket_audit[0].rules.values()
    if findings is not None:
        value["gateways"] = _findings_value(findings)
        rules_held += findings.rules.values()
    print_result(value, _format_lines(value), as_json)
    if not all(rules_held):
        sys.exit(1)
    sys.exit(EXIT_INCOMPLETE_CHECK if findings is not None and findings.damaged else 0)


def _format_lines(value: dict[str, Any]) -> list[str]:
    lines = [f"{part}: rules {value[part]['rules']}" for part in value]
    findings = value.get("gateways", {})
    lines += [f"  {name:12} {text}" for name, text in findings.items() if name != "rules"]
    return lines


def _findings_value(findings: recording.Findings) -> dict[str, Any]:
    return {
        "rules": findings.rules,
        "lives": findings.incarnations,
        "events": findings.events,
        "requests": findings.requests,
        "finals": findings.responses,
        "open_at_end": findings.in_flight_at_end,
        "stood_still": findings.late_while_stalled,
        "arrivals": findings.arrivals,
        "after_last": findings.arrivals_after_last_entry,
        "ceiling_worst": round(findings.worst_ceiling_overshoot, 3),
        "faults": dict(findings.faults),
        "which": {kind: names[:MAX_NAMES_SHOWN] for kind, names in findings.names.items()},
        "unread": findings.unread_segments,
    }
