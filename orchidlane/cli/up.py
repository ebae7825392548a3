"""``orchidlane up``: a fleet with its stand-ins, and one screen of what it does."""

from __future__ import annotations

import contextlib
import signal
import socket
import tempfile
from collections import deque

import click
import msgspec

from orchidlane.cli.screen import Screen
from orchidlane.config import Duration
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import load_settings, parse_host_port
from orchidlane.runtime import BACKGROUND, EventLoop, RealBackend
from orchidlane.simulation.process_backend import ProcessFleetBackend
from orchidlane.simulation.scenario import RequestKindEntry, Scenario
from orchidlane.simulation.scenario_plan import make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner

PLACES = ("listen", "peer", "admin", "resp")
KEPT = 100_000  # tries remembered for the closing line
FOR_EVER = 365 * 24 * 3600
KINDS = (
    RequestKindEntry("sheet-read", 0.7, "GET", "/v1/sheets/{}", Duration(15_000)),
    RequestKindEntry("test-upload", 0.2, "PUT", "/v1/tests/{}", Duration(30_000), 2_000),
    RequestKindEntry("report-issue", 0.1, "POST", "/v1/reports", Duration(50_000), 200),
)


def run_fleet(settings: str, rate: float, nodes: int, seconds: int) -> None:
    """Start everything at the addresses of the settings, and show it until Ctrl-C."""
    fleet = load_settings(settings)
    _refuse_taken(settings, fleet)
    click.echo(f"starting {len(fleet.gateways)} gateways and {nodes} stand-in nodes: the screen follows")
    day = Scenario(
        fleet=settings,
        gateway_count=len(fleet.gateways),
        rack_count=max(1, nodes // 2),
        rack_size=2 if nodes > 1 else 1,
        cores=2.0,
        customer_count=20,
        request_rate=rate,
        duration=Duration((seconds or FOR_EVER) * 1_000_000),
        request_kinds=KINDS,
        endpoint_list_delay=(Duration(200_000), Duration(900_000)),
        peer_loss=0.0,
        quota_request_rate=rate / 5,
        upgrade_count=0,
        response_slack=Duration(100_000),
        arrival_slack=Duration(100_000),
        steps=(),
    )
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        backing = ProcessFleetBackend(folder)
        plan = make_plan(day, folder, backing.free_addresses, keep_addresses=True)
        backing.prepare(plan)
        loop = EventLoop(RealBackend())
        plan.endpoints = [msgspec.structs.replace(spec, records_path="") for spec in plan.endpoints]
        runner = ScenarioRunner(loop, plan, backing, deque(maxlen=KEPT))
        door = plan.gateways[0]
        hint = f"curl -i -H 'X-Api-Key: key-of-1' http://{door[0]}:{door[1]}/v1/sheets/steel"
        admins = [(entry.name, parse_host_port(entry.admin)) for entry in plan.fleet.gateways]
        screen = Screen(loop, "orchidlane up", admins, hint)
        signal.signal(signal.SIGTERM, signal.default_int_handler)
        with contextlib.suppress(KeyboardInterrupt):
            try:
                loop.run(_run, loop, runner, screen)
            finally:
                backing.end()


def _refuse_taken(settings: str, fleet: FleetSettings) -> None:
    """Say whose address something else has, before anything is started. Raises ValueError."""
    wanted = [("nodes.list", fleet.endpoints.list_address)]
    for rank, entry in enumerate(fleet.gateways):
        wanted += [(f"gateways.{rank}.{name}", getattr(entry, name)) for name in PLACES]
    for where, at in wanted:
        datagrams = where.endswith(".peer")
        with socket.socket(type=socket.SOCK_DGRAM if datagrams else socket.SOCK_STREAM) as probe:
            if not datagrams:  # connections of an earlier run that fade away are no hindrance
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(parse_host_port(at))
            except OSError as wrong:
                raise ValueError(
                    f"{settings}: {where}: {at}: {wrong.strerror}; does it run already?"
                ) from None


def _run(loop: EventLoop, runner: ScenarioRunner, screen: Screen) -> None:
    loop.spawn(screen.show, priority=BACKGROUND, name="screen")
    verdict = runner.run()
    held = all(verdict.rules.values())
    print(f"{verdict.request_count} requests; rules held: {'all' if held else verdict.rules}")
