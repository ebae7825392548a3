"""``orchidlane up``: a fleet with fake endpoints and clients, and a live screen."""

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
from orchidlane.simulation.scenario_plan import ScenarioPlan, make_plan
from orchidlane.simulation.scenario_runner import ScenarioRunner

MICROSECONDS_PER_SECOND = 1_000_000
ADDRESS_FIELDS = ("listen", "peer", "admin", "resp")
DATAGRAM_ADDRESS_FIELD = "peer"
ENDING_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
MAX_OBSERVATIONS = 100_000  # that the rules are checked against at the end
UNLIMITED_SECONDS = 365 * 24 * 3600
REQUEST_KINDS = (
    RequestKindEntry("sheet-read", 0.7, "GET", "/v1/sheets/{}", Duration(15_000)),
    RequestKindEntry("test-upload", 0.2, "PUT", "/v1/tests/{}", Duration(30_000), 2_000),
    RequestKindEntry("report-issue", 0.1, "POST", "/v1/reports", Duration(50_000), 200),
)


def run_demo_fleet(settings: str, rate: float, nodes: int, seconds: int) -> None:
    """Start gateways, fake endpoints and clients at the addresses of the settings; show them until Ctrl-C.

    ``rate`` is in requests a second; 0 ``seconds`` means no end. Raises ValueError for an address in use.
    """
    fleet = load_settings(settings)
    _check_addresses_are_free(settings, fleet)
    click.echo(f"starting {len(fleet.gateways)} gateways and {nodes} stand-in nodes: the screen follows")
    scenario = _demo_scenario(settings, fleet, rate, nodes, seconds)
    with tempfile.TemporaryDirectory(prefix="orchidlane-") as folder:
        fleet_backend = ProcessFleetBackend(folder)
        plan = make_plan(scenario, folder, fleet_backend.free_addresses, keep_addresses=True)
        fleet_backend.prepare(plan)
        loop = EventLoop(RealBackend())
        plan.endpoints = [msgspec.structs.replace(spec, records_path="") for spec in plan.endpoints]
        runner = ScenarioRunner(loop, plan, fleet_backend, deque(maxlen=MAX_OBSERVATIONS))
        screen = _screen(loop, plan)
        for number in ENDING_SIGNALS:
            signal.signal(number, signal.default_int_handler)
        with contextlib.suppress(KeyboardInterrupt):
            try:
                loop.run(_run, loop, runner, screen)
            finally:
                _ignore_signals()  # a second signal must not interrupt the clean-up
                fleet_backend.stop_all()


def _ignore_signals() -> None:
    for number in ENDING_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _demo_scenario(settings: str, fleet: FleetSettings, rate: float, nodes: int, seconds: int) -> Scenario:
    """Return a scenario with a steady load and without faults."""
    return Scenario(
        fleet=settings,
        gateway_count=len(fleet.gateways),
        rack_count=max(1, nodes // 2),
        rack_size=2 if nodes > 1 else 1,
        cores=2.0,
        customer_count=20,
        request_rate=rate,
        duration=Duration((seconds or UNLIMITED_SECONDS) * MICROSECONDS_PER_SECOND),
        request_kinds=REQUEST_KINDS,
        endpoint_list_delay=(Duration(200_000), Duration(900_000)),
        peer_loss=0.0,
        quota_request_rate=rate / 5,
        hot_restart_count=0,
        response_slack=Duration(100_000),
        arrival_slack=Duration(100_000),
        steps=(),
    )


def _screen(loop: EventLoop, plan: ScenarioPlan) -> Screen:
    host, port = plan.gateways[0]
    hint = f"curl -i -H 'X-Api-Key: key-of-1' http://{host}:{port}/v1/sheets/steel"
    admins = [(entry.name, parse_host_port(entry.admin)) for entry in plan.fleet.gateways]
    return Screen(loop, "orchidlane up", admins, hint)


def _check_addresses_are_free(settings: str, fleet: FleetSettings) -> None:
    """Raise ValueError for the first address that is in use, before any process is started."""
    _check_address_is_free(settings, "nodes.list", fleet.endpoints.list_address, socket.SOCK_STREAM)
    for rank, entry in enumerate(fleet.gateways):
        for field in ADDRESS_FIELDS:
            kind = socket.SOCK_DGRAM if field == DATAGRAM_ADDRESS_FIELD else socket.SOCK_STREAM
            _check_address_is_free(settings, f"gateways.{rank}.{field}", getattr(entry, field), kind)


def _check_address_is_free(settings: str, path: str, address: str, kind: socket.SocketKind) -> None:
    with socket.socket(type=kind) as probe:
        if kind == socket.SOCK_STREAM:  # connections of an earlier run may still be in TIME_WAIT
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(parse_host_port(address))
        except OSError as error:
            raise ValueError(
                f"{settings}: {path}: {address}: {error.strerror}; is the fleet already running?"
            ) from None


def _run(loop: EventLoop, runner: ScenarioRunner, screen: Screen) -> None:
    loop.spawn(screen.show, priority=BACKGROUND, name="screen")
    verdict = runner.run()
    all_held = all(verdict.rules.values())
    print(f"{verdict.request_count} requests; rules held: {'all' if all_held else verdict.rules}")
