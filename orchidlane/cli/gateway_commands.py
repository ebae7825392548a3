"""Commands on running gateways: their state, their views of the endpoints, and a live screen."""

from __future__ import annotations

import contextlib
import sys
from typing import Any

import click

from orchidlane.cli.errors import report_input_errors
from orchidlane.cli.gateway_figures import Figures
from orchidlane.cli.output import print_result
from orchidlane.cli.screen import REFRESH_INTERVAL_US, Screen, rates_as_json
from orchidlane.cli.views import (
    SETTINGS_SUFFIX,
    find_sources,
    load_endpoint_view,
    open_state,
    request_class_number,
    save_state,
)
from orchidlane.gateway.control.settings_loader import load_settings, parse_host_port
from orchidlane.gateway.telemetry.plan_counts import count_by_plan
from orchidlane.gateway.telemetry.policy_views import PolicyView
from orchidlane.gateway.telemetry.predictions import predict_endpoints
from orchidlane.policy import EndpointState
from orchidlane.policy.endpoints import Endpoint
from orchidlane.recording import listed_endpoints
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.runtime.backend import Address

MICROSECONDS_PER_SECOND = 1e6
STATE_NAMES = {
    EndpointState.GONE: "gone",
    EndpointState.READY: "ready",
    EndpointState.DRAINING: "draining",
}


@click.command()
@click.argument("admin")
@click.option("--out", type=click.Path(dir_okay=False), help="Save it to a file, for later looks.")
@click.option("--json", "as_json", is_flag=True)
def state(admin: str, out: str | None, as_json: bool) -> None:
    """All that a gateway knows at one moment (or a saved state), in short; it goes on serving meanwhile."""
    with report_input_errors():
        if out:
            save_state(admin, out)
        with open_state(out or admin) as reader:
            header = reader.header
            plans = count_by_plan(reader, 0)
    last_seen = {
        str(replica): round((header.written_at_us - seen_at_us) / MICROSECONDS_PER_SECOND, 3)
        for replica, seen_at_us in header.state.last_seen
    }
    value = {
        "gateway": header.gateway,
        "build": header.build,
        "format": header.format,
        **header.context,
        "requests": len(header.state.requests),
        "peers heard": last_seen,
        "nodes": len(header.state.endpoints),
        "customers": {plan: plan_counts.customers for plan, plan_counts in plans.items()},
    }
    print_result(value, [f"{name:12} {text}" for name, text in value.items()], as_json)


@click.command()
@click.argument("admin")
@click.option("--class", "class_name", default="", help="Class of the next request; the first if left out.")
@click.option("--json", "as_json", is_flag=True)
def nodes(admin: str, class_name: str, as_json: bool) -> None:
    """A gateway's view of each node, and where its next request would go."""
    with report_input_errors():
        view = load_endpoint_view(admin)
        next_requests = predict_endpoints(view, request_class_number(view, class_name))
        rows = [_endpoint_row(view, endpoint, next_requests) for endpoint in listed_endpoints(view.state)]
    lines = ["node                  phase     cold   out  slow  fails  next of 64"]
    for row in rows:
        cells = f"{row['node']:21} {row['phase']:9} {row['cold']!s:6} {row['out']:3} {row['slow']:5}"
        lines.append(f"{cells} {row['fails']:6} {row['next']:5}")
    print_result(rows, lines, as_json)


def _endpoint_row(view: PolicyView, endpoint: Endpoint, next_requests: dict[bytes, int]) -> dict[str, Any]:
    entry = endpoint.entry
    is_warming_up = False
    if entry.started_at_us:
        is_warming_up = view.now - entry.started_at_us < view.policy_settings().slow_start_duration_us
    return {
        "node": entry.endpoint.decode("utf-8", "replace"),
        "phase": STATE_NAMES[entry.state],
        "cold": is_warming_up,
        "out": endpoint.in_flight,
        "slow": round(endpoint.slowness, 2),
        "fails": round(endpoint.failure_score, 2),
        "typical": round(endpoint.baseline_load, 2),
        "next": next_requests.get(entry.endpoint, 0),
    }


@click.command()
@click.argument("where")
@click.option("--once", is_flag=True, help="Two looks a second apart, then end.")
@click.option("--json", "as_json", is_flag=True, help="Implies --once.")
def top(where: str, once: bool, as_json: bool) -> None:
    """A live screen of a fleet: WHERE is a settings file or one gateway's admin address."""
    with report_input_errors():
        admins = _admin_addresses(where)
    loop = EventLoop(RealBackend())
    screen = Screen(loop, "orchidlane top", admins)
    with contextlib.suppress(KeyboardInterrupt):
        if not as_json:
            loop.run(screen.show, 2 if once else 0)
            return
        rows: list[Figures] = []

        def read_twice() -> None:
            screen.read_rates()
            loop.sleep(REFRESH_INTERVAL_US)
            rows.extend(screen.read_rates())

        loop.run(read_twice)
        print_result(rates_as_json(admins, rows), [], as_json)
        sys.exit(0 if all(rows) else 1)


def _admin_addresses(where: str) -> list[tuple[str, Address]]:
    """Return the names and admin addresses of a settings file's gateways, or of one gateway."""
    if not where.endswith(SETTINGS_SUFFIX):
        return [(where, parse_host_port(where))]
    find_sources(where)  # raises ViewError where no gateway has an admin address
    return [
        (entry.name, parse_host_port(entry.admin)) for entry in load_settings(where).gateways if entry.admin
    ]
