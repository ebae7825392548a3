"""The tools: small programs over records and views, on the gateway's own core."""

from __future__ import annotations

import contextlib
import json
import sys
from pathlib import Path
from typing import Any

import click
from click.shell_completion import get_completion_class

from orchidlane import recording
from orchidlane.cli.errors import UNCHECKED, clear_errors
from orchidlane.cli.screen import EVERY, Screen, as_rows
from orchidlane.cli.views import SETTINGS, customer_view, node_view, open_state, places, save_state
from orchidlane.gateway.control.policy_settings import policy_settings
from orchidlane.gateway.control.settings_loader import load_settings, parse_host_port
from orchidlane.gateway.telemetry.policy_views import (
    Next,
    View,
    ViewError,
    next_nodes,
    next_request,
    plan_counts,
)
from orchidlane.recording.description import describe
from orchidlane.recording.segment_reader import Entry
from orchidlane.recording.segments import SEGMENT_SUFFIX
from orchidlane.routes import build, load_description
from orchidlane.runtime import Loop, RealWorld
from orchidlane.simulation.audit import audit_folder

PRESSED = 10  # customers of each plan that are told by their numbers


def show(value: Any, lines: list[str], as_json: bool) -> None:
    """Print for a person, or as JSON."""
    click.echo(json.dumps(value, indent=2) if as_json else "\n".join(lines))


@click.command()
@click.argument("where")
@click.argument("customer", required=False)
@click.option("--plan", help="All customers of a plan, in place of one.")
@click.option("--class", "class_name", default="", help="Class of the next request; the first if left out.")
@click.option("--units", type=float, default=1.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def counts(
    where: str, customer: str | None, plan: str | None, class_name: str, units: float, as_json: bool
) -> None:
    """A customer's counts, and what would become of its next request; or a plan's counts.

    WHERE is a gateway's admin address, a state saved by `state`, or a settings file for all its gateways.
    CUSTOMER is a name, a number or a key.
    """
    with clear_errors():
        if (customer is None) == (plan is None):
            raise ValueError("either CUSTOMER or --plan is wanted")
        if plan is not None:
            rows = [_plan_row(place, plan) for place in places(where)]
        else:
            assert customer is not None
            rows = [_customer_row(place, customer, class_name, units) for place in places(where)]
    lines = []
    for row in rows:
        lines += [f"{name:9} {text}" for name, text in row.items() if name not in ("counts", "pressed")]
        lines += [f"  gateway {rank:4} {count}" for rank, count in row.get("counts", {}).items()]
        lines += [
            f"  customer {number:10} {share:.0%} of its burst" for number, share in row.get("pressed", ())
        ]
    show(rows if len(rows) > 1 else rows[0], lines, as_json)


def _customer_row(place: str, customer: str, class_name: str, units: float) -> dict[str, Any]:
    view = customer_view(place, customer)
    found = next_request(view, _kind(view, class_name), units)
    return {
        "gateway": view.gateway,
        "plan": view.plan_names[view.customer[1]] if view.customer else "",
        "decision": found.decision,
        "why": found.why,
        "room": round(found.room, 3),
        "limit": round(found.limit, 3),
        "spent": round(found.total, 3),
        "counts": {str(rank): round(count, 3) for rank, count in found.counts.items()},
    }


def _plan_row(place: str, plan: str) -> dict[str, Any]:
    with open_state(place) as reader:
        if plan not in reader.header.plan_names:
            raise ViewError(f"no plan {plan!r}, allowed: {', '.join(reader.header.plan_names)}")
        found = plan_counts(reader, PRESSED).get(plan)
        gateway = reader.header.gateway
    if found is None:
        return {"gateway": gateway, "plan": plan, "customers": 0}
    return {
        "gateway": gateway,
        "plan": plan,
        "customers": found.customers,
        "spent": round(found.spent, 3),
        "room": round(found.room, 3),
        "closed": found.closed,
        "unheard": found.unheard,
        "out": found.out,
        "pressed": [[number, round(share, 4)] for share, number in found.pressed],
    }


@click.command()
@click.argument("admin")
@click.option("--out", type=click.Path(dir_okay=False), help="Save it to a file, for later looks.")
@click.option("--json", "as_json", is_flag=True)
def state(admin: str, out: str | None, as_json: bool) -> None:
    """All that a gateway knows at one moment (or a saved state), in short; it goes on serving meanwhile."""
    with clear_errors():
        if out:
            save_state(admin, out)
        with open_state(out or admin) as reader:
            header, plans = reader.header, plan_counts(reader, 0)
    now = int(header.context.get("now", header.started_at_us))
    value = {
        "gateway": header.gateway,
        "build": header.build,
        "format": header.format,
        **header.context,
        "requests": len(header.state.requests),
        "peers heard": {str(rank): round((now - at) / 1e6, 3) for rank, at in header.state.last_seen},
        "nodes": len(header.state.endpoints),
        "customers": {name: one.customers for name, one in plans.items()},
    }
    show(value, [f"{name:12} {text}" for name, text in value.items()], as_json)


def _kind(view: View, name: str) -> int:
    if not name:
        return 0
    if name not in view.class_names:
        raise ViewError(f"no class {name!r}, allowed: {', '.join(view.class_names)}")
    return view.class_names.index(name)


@click.command()
@click.argument("admin")
@click.option("--class", "class_name", default="", help="Class of the next request; the first if left out.")
@click.option("--json", "as_json", is_flag=True)
def nodes(admin: str, class_name: str, as_json: bool) -> None:
    """A gateway's view of each node, and where its next request would go."""
    with clear_errors():
        view = node_view(admin)
        sent = next_nodes(view, _kind(view, class_name))
    rows, warm = [], int(str(view.settings["warm_within"]))
    for entry, known, (out, _, typical), listed in view.state.endpoints:
        if listed:
            phase = {0: "gone", 1: "ready", 2: "draining"}[entry[1]]
            cold = bool(entry[4]) and view.now - entry[4] < warm
            rows.append(
                {
                    "node": bytes(entry[0]).decode("utf-8", "replace"),
                    "phase": phase,
                    "cold": cold,
                    "out": out,
                    "slow": round(known[1], 2),
                    "fails": round(known[2], 2),
                    "typical": round(typical, 2),
                    "next": sent.get(bytes(entry[0]), 0),
                }
            )
    lines = ["node                  phase     cold   out  slow  fails  next of 64"]
    for row in rows:
        cells = f"{row['node']:21} {row['phase']:9} {row['cold']!s:6} {row['out']:3} {row['slow']:5}"
        lines.append(f"{cells} {row['fails']:6} {row['next']:5}")
    show(rows, lines, as_json)


@click.command()
@click.argument("admins", nargs=2)
@click.argument("customer")
@click.option("--json", "as_json", is_flag=True)
def diff(admins: tuple[str, str], customer: str, as_json: bool) -> None:
    """Two gateways' views of one customer, and when they would agree; exit 1 where decisions differ."""
    with clear_errors():
        views = [customer_view(admin, customer) for admin in admins]
        found = [next_request(view, 0, 1.0) for view in views]
    apart = _counts_apart(found)
    value = {
        "decisions": [one.decision for one in found],
        "why": [one.why for one in found],
        "spent": [round(one.total, 3) for one in found],
        "room": [round(one.room, 3) for one in found],
        "counts_apart": {str(rank): pair for rank, pair in apart.items()},
        "agree": _agree(views, apart),
    }
    show(value, [f"{name:13} {text}" for name, text in value.items()], as_json)
    sys.exit(0 if found[0].decision == found[1].decision else 1)


def _counts_apart(found: list[Next]) -> dict[int, list[float | None]]:
    ranks = sorted(set(found[0].counts) | set(found[1].counts))
    apart = {rank: [one.counts.get(rank) for one in found] for rank in ranks}
    return {rank: pair for rank, pair in apart.items() if pair[0] != pair[1]}


def _agree(views: list[View], apart: dict[int, list[float | None]]) -> str:
    """When what one knows reaches the other: both tell pending changes, but only who is heard can."""
    if not apart:
        return "now"
    ranks = [int(str(view.settings["rank"])) for view in views]
    heard = [dict(view.state.last_seen).get(ranks[1 - i]) for i, view in enumerate(views)]
    ages = [(view.now - at) / 1e6 if at is not None else None for view, at in zip(views, heard, strict=True)]
    told = ", ".join(
        f"gateway {ranks[i]} heard gateway {ranks[1 - i]} "
        + (f"{age:.1f} s ago" if age is not None else "never")
        for i, age in enumerate(ages)
    )
    pending = [bool(view.state.pending_changes) for view in views]
    when = "with the next message between them" if any(pending) else "with the next approval: none is pending"
    return f"{when}; {told}"


@click.command("replay")
@click.argument("folder")
@click.option("--what-if", "instead", help="Another fleet's settings: what would have changed.")
@click.option("--json", "as_json", is_flag=True)
def replay_command(folder: str, instead: str | None, as_json: bool) -> None:
    """Replay a traffic record through this build.

    Exit 0: no difference; 1: the first one is shown; 3: none, but a broken part could not be checked.
    """
    with clear_errors():
        paths = recording.list_segments(folder)
        if instead:
            return _what_if(paths, instead, as_json)
        found = [recording.replay(life) for life in recording.group_by_incarnation(paths)]
    different = [one.difference for one in found if one.difference is not None]
    unchecked = [one for life in found for one in life.unchecked_parts]
    behind = sum(one.events for one in unchecked)
    cut_short = sum(not one.complete for one in found)
    value = {
        "lives": len(found),
        "events": sum(one.events for one in found),
        "differences": len(different),
        "lives_not_whole": cut_short,
        "events_unchecked": behind,
        "unchecked": [
            one.reason + (" (torn when its gateway ended)" if one.torn else "") for one in unchecked
        ],
    }
    lines = [f"{value['lives']} lives, {value['events']} events, {len(different)} with a difference"]
    if cut_short:
        lines.append(f"{cut_short} lives were not checked to their ends: {behind} events and what was lost")
    lines += value["unchecked"]  # type: ignore[arg-type]
    for difference in different:
        lines += difference.format_lines()
    show(value, lines, as_json)
    sys.exit(1 if different else UNCHECKED if cut_short else 0)


def _what_if(paths: list[str], instead: str, as_json: bool) -> None:
    fleet = load_settings(instead)
    with open(fleet.description, "rb") as file:
        generation = build(load_description(file.read(), fleet.description), fleet.description)
    reader = recording.SegmentReader(paths[0])
    rank = int(reader.header.settings["rank"])
    reader.close()
    settings = policy_settings(fleet, min(rank, len(fleet.gateways) - 1), generation)
    found = recording.simulate_settings(paths, settings, tuple(fleet.plans))
    rows = {
        f"{kind} {plan}": {"recorded": found.recorded[kind, plan], "instead": found.simulated[kind, plan]}
        for kind, plan in sorted(found.recorded)
    }
    lines = ["class and plan                 admitted refused   instead: admitted refused"]
    for name, row in rows.items():
        then, now = row["recorded"], row["instead"]
        lines.append(f"{name:30} {then[0]:8} {then[1]:7} {now[0]:19} {now[1]:7}")
    lines.append(f"{found.changed_decisions} requests would have been decided otherwise")
    show({"rows": rows, "turned": found.changed_decisions}, lines, as_json)


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
    with clear_errors():
        if (request is None) == (customer is None):
            raise ValueError("either REQUEST or --customer is wanted")
        paths = recording.list_segments(folder)
        steps = _steps(paths, request) if request is not None else _arrivals(paths, customer, since, until)
    steps = [step for step in steps if gateway in (None, step["gateway"])]
    if not steps:
        what = f"request {request}" if request is not None else f"request of customer {customer} then"
        click.echo(f"{folder}: no {what}", err=True)
        sys.exit(1)
    lines, began, life = [], steps[0]["now"], None
    for step in steps:
        if request is not None and step["life"] != life:
            began, life = step["now"], step["life"]
            lines.append(f"{step['gateway']}, life {life:x}")
        lines.append(f"{(step['now'] - began) / 1e3:10.3f} ms  {step['gateway']}  {step['event']}")
        lines += [f"{'':15}  -> {action}" for action in step["actions"]]
    show(steps, lines, as_json)


def _steps(paths: list[str], request: int) -> list[dict[str, Any]]:
    steps = []
    for path in paths:
        with contextlib.closing(recording.SegmentReader(path)) as reader:
            for entry in recording.KeyIndex(reader, recording.request_number).entries(request):
                steps.append(_step(reader.header, entry))
    return steps


def _arrivals(paths: list[str], customer: int | None, since: float, until: float) -> list[dict[str, Any]]:
    """The arrivals of a customer's requests and takes, with what the module answered at once."""
    steps: list[dict[str, Any]] = []
    began: int | None = None
    for path in paths:
        with contextlib.closing(recording.SegmentReader(path)) as reader:
            begins = int(reader.header.context.get("now", reader.header.started_at_us))
            began = min(begins, began or begins)
            span = began + int(since * 1e6), began + int(until * 1e6)
            for entry in recording.TimeIndex(reader).between(*span):
                if recording.customer_number(entry) == customer:
                    steps.append(_step(reader.header, entry))
    return sorted(steps, key=lambda step: step["now"])


def _step(header: recording.Header, entry: Entry) -> dict[str, Any]:
    told, actions = describe(entry.event), [describe(one) for one in entry.actions]
    if entry.response is not None:
        response = entry.response
        told = f"answered {response.status} ({response.kind}) after {response.duration_us / 1e3:.3f} ms"
    named = {"gateway": header.gateway, "life": header.started_at_us, "now": entry.at_us}
    return {**named, "event": told, "actions": actions}


@click.command()
@click.argument("where")
@click.option("--once", is_flag=True, help="Two looks a second apart, then end.")
@click.option("--json", "as_json", is_flag=True, help="Implies --once.")
def top(where: str, once: bool, as_json: bool) -> None:
    """A live screen of a fleet: WHERE is a settings file or one gateway's admin address."""
    with clear_errors():
        admins = [(place, parse_host_port(place)) for place in places(where)]
        if where.endswith(SETTINGS):
            admins = [
                (one.name, parse_host_port(one.admin)) for one in load_settings(where).gateways if one.admin
            ]
    loop = Loop(RealWorld())
    screen = Screen(loop, "orchidlane top", admins)
    found: list[dict[str, float]] = []

    def look_twice() -> None:
        screen.look()
        loop.sleep(EVERY)
        found.extend(screen.look())

    with contextlib.suppress(KeyboardInterrupt):
        if not as_json:
            loop.run(screen.show, 2 if once else 0)
            return
        loop.run(look_twice)
        show(as_rows(admins, found), [], as_json)
        sys.exit(0 if all(found) else 1)


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--json", "as_json", is_flag=True)
def audit(folder: str, as_json: bool) -> None:
    """The five rules over the records of gateways, nodes and clients in a folder (`day --keep` leaves all).

    Exit 0: held; 1: a rule was broken; 3: held, but part of a record could not be read.
    """
    with clear_errors():
        kept = audit_folder(folder)
        paths = sorted(str(path) for path in Path(folder).glob(f"*{SEGMENT_SUFFIX}"))
        if kept is None and not paths:
            raise ValueError(f"{folder}: no records of gateways, nodes or clients")
        arrivals = [(one.attempt, one.at) for one in kept[1]] if kept else None
        found = recording.audit_records(paths, arrivals) if paths else None
    value: dict[str, Any] = {}
    held: list[bool] = []
    if kept is not None:
        value["sockets"] = kept[0].as_json()
        held += kept[0].rules.values()
    if found is not None:
        value["gateways"] = _found(found)
        held += found.rules.values()
    lines = [f"{part}: rules {value[part]['rules']}" for part in value]
    if found is not None:
        lines += [f"  {name:12} {text}" for name, text in value["gateways"].items() if name != "rules"]
    show(value, lines, as_json)
    unread = found is not None and found.damaged
    sys.exit(1 if not all(held) else UNCHECKED if unread else 0)


def _found(found: recording.Findings) -> dict[str, Any]:
    return {
        "rules": found.rules,
        "lives": found.incarnations,
        "events": found.events,
        "requests": found.requests,
        "finals": found.responses,
        "open_at_end": found.in_flight_at_end,
        "stood_still": found.late_while_stalled,
        "arrivals": found.arrivals,
        "after_last": found.arrivals_after_last_entry,
        "ceiling_worst": round(found.worst_ceiling_overshoot, 3),
        "faults": dict(found.faults),
        "which": {kind: names[:5] for kind, names in found.names.items()},
        "unread": found.unread_segments,
    }


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print what makes a shell complete this command: `eval "$(orchidlane completion bash)"`."""
    root = click.get_current_context().find_root().command
    made = get_completion_class(shell)
    assert made is not None
    click.echo(made(root, {}, "orchidlane", "_ORCHIDLANE_COMPLETE").source())
