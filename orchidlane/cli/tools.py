"""The tools: small programs over records and views, on the gateway's own core."""

from __future__ import annotations

import json
import socket
import sys
from typing import Any
from urllib.parse import quote

import click

from .. import http1, record
from ..gateway.probe import View, ViewError, next_nodes, next_request, read_view
from ..gateway.settings import address, load_fleet, module_settings
from ..http1 import Data, End, Malformed, Response
from ..record.segments import Entry
from ..routes import build, load_description
from .errors import clear_errors

PATIENCE = 5.0  # seconds for a gateway's view
VIEW_MOST = 64 << 20  # bytes


def fetch_view(admin: str, query: str) -> View:
    """The view that a running gateway tells at its admin address. Raises ViewError, OSError."""
    parser, body = http1.ResponseParser(), b""
    status = 0
    with socket.create_connection(address(admin), PATIENCE) as sock:
        sock.sendall(http1.request_head("GET", f"/view{query}".encode(), [(b"host", b"admin")]))
        try:
            while not isinstance(event := parser.next_event(), End):
                if event is None:
                    parser.receive(sock.recv(65536))
                elif isinstance(event, Response):
                    status = event.status
                elif isinstance(event, Data):
                    body += event.data
                    if len(body) > VIEW_MOST:
                        raise ViewError("the view is too large")
        except Malformed as wrong:
            raise ViewError(f"{admin} does not answer as a gateway: {wrong}") from None
    if status != 200:
        raise ViewError(body.decode("utf-8", "replace").strip() or f"{admin} answers {status}")
    return read_view(body)


def show(value: Any, lines: list[str], as_json: bool) -> None:
    """Print for a person, or as JSON."""
    click.echo(json.dumps(value, indent=2) if as_json else "\n".join(lines))


@click.command()
@click.argument("admin")
@click.argument("customer")
@click.option("--class", "class_name", default="", help="Class of the next request; the first if left out.")
@click.option("--units", type=float, default=1.0, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def counts(admin: str, customer: str, class_name: str, units: float, as_json: bool) -> None:
    """A customer's counts at a gateway (its admin address), and what would become of its next request."""
    with clear_errors():
        view = fetch_view(admin, f"?customer={quote(customer, safe='')}")
        found = next_request(view, _kind(view, class_name), units)
    told = {f"gateway {rank}": round(count, 3) for rank, count in found.counts.items()}
    value = {
        "gateway": view.gateway,
        "plan": view.plan_names[view.customer[1]] if view.customer else "",
        "decision": found.decision,
        "why": found.why,
        "room": round(found.room, 3),
        "limit": round(found.limit, 3),
        "spent": round(found.total, 3),
        "counts": told,
    }
    lines = [f"{name:9} {text}" for name, text in value.items() if name != "counts"]
    lines += [f"  {name:12} {count}" for name, count in told.items()]
    show(value, lines, as_json)


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
        view = fetch_view(admin, "")
        sent = next_nodes(view, _kind(view, class_name))
    rows, warm = [], int(str(view.settings["warm_within"]))
    for entry, known, (out, _, typical), listed in view.state.hosts:
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
    """Two gateways' views of one customer; exit 1 where their next decisions differ."""
    with clear_errors():
        views = [fetch_view(admin, f"?customer={quote(customer, safe='')}") for admin in admins]
        found = [next_request(view, 0, 1.0) for view in views]
    ranks = sorted(set(found[0].counts) | set(found[1].counts))
    apart = {rank: [one.counts.get(rank) for one in found] for rank in ranks}
    apart = {rank: pair for rank, pair in apart.items() if pair[0] != pair[1]}
    value = {
        "decisions": [one.decision for one in found],
        "spent": [round(one.total, 3) for one in found],
        "room": [round(one.room, 3) for one in found],
        "counts_apart": {str(rank): pair for rank, pair in apart.items()},
    }
    show(value, [f"{name:13} {text}" for name, text in value.items()], as_json)
    sys.exit(0 if found[0].decision == found[1].decision else 1)


@click.command("replay")
@click.argument("folder")
@click.option("--what-if", "instead", help="Another fleet's settings: what would have changed.")
@click.option("--json", "as_json", is_flag=True)
def replay_command(folder: str, instead: str | None, as_json: bool) -> None:
    """Replay a traffic record through this build; exit 1 at the first difference."""
    with clear_errors():
        paths = record.read_folder(folder)
        if instead:
            return _what_if(paths, instead, as_json)
        lives: dict[str, list[str]] = {}
        for path in paths:
            lives.setdefault(path.rpartition("-")[0], []).append(path)
        found = [record.replay(life) for life in lives.values()]
    different = [one.difference for one in found if one.difference is not None]
    broken = [str(broken) for one in found for broken in one.broken]
    events = sum(one.events for one in found)
    value = {"lives": len(found), "events": events, "differences": len(different), "broken": broken}
    lines = [f"{len(found)} lives, {events} events, {len(different)} with a difference", *broken]
    for difference in different:
        lines += difference.lines()
    show(value, lines, as_json)
    sys.exit(1 if different else 0)


def _what_if(paths: list[str], instead: str, as_json: bool) -> None:
    fleet = load_fleet(instead)
    with open(fleet.description, "rb") as file:
        generation = build(load_description(file.read(), fleet.description), fleet.description)
    reader = record.SegmentReader(paths[0])
    rank = int(reader.header.settings["rank"])
    reader.close()
    settings = module_settings(fleet, min(rank, len(fleet.gateways) - 1), generation)
    found = record.what_if(paths, settings, tuple(fleet.plans))
    rows = {
        f"{kind} {plan}": {"recorded": found.recorded[kind, plan], "instead": found.instead[kind, plan]}
        for kind, plan in sorted(found.recorded)
    }
    lines = ["class and plan                 admitted refused   instead: admitted refused"]
    for name, row in rows.items():
        then, now = row["recorded"], row["instead"]
        lines.append(f"{name:30} {then[0]:8} {then[1]:7} {now[0]:19} {now[1]:7}")
    lines.append(f"{found.turned} requests would have been decided otherwise")
    show({"rows": rows, "turned": found.turned}, lines, as_json)


@click.command()
@click.argument("folder")
@click.argument("request", type=int)
@click.option("--json", "as_json", is_flag=True)
def explain(folder: str, request: int, as_json: bool) -> None:
    """One request's life, step by step, from a traffic record."""
    steps: list[dict[str, Any]] = []
    with clear_errors():
        for path in record.read_folder(folder):
            reader = record.SegmentReader(path)
            for entry in record.RequestIndex(reader).entries(request):
                steps.append({"gateway": reader.header.gateway, **_step(entry)})
            reader.close()
    if not steps:
        click.echo(f"{folder}: no request {request}", err=True)
        sys.exit(1)
    began = steps[0]["now"]
    lines = []
    for step in steps:
        lines.append(f"{(step['now'] - began) / 1e3:10.3f} ms  {step['gateway']}  {step['event']}")
        lines += [f"{'':15}  -> {action}" for action in step["actions"]]
    show(steps, lines, as_json)


def _step(entry: Entry) -> dict[str, Any]:
    if entry.event is None:
        _, status, kind, span = entry.facts
        told = f"answered {status} ({kind}) after {span / 1e3:.3f} ms"
        return {"now": entry.now, "event": told, "actions": []}
    return {"now": entry.now, "event": repr(entry.event), "actions": [repr(one) for one in entry.actions]}
