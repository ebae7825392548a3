"""The processes: a gateway and a stand-in node, with their signals."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.control.settings_loader import read_secret
from orchidlane.gateway.lifecycle.process import GatewayProcess
from orchidlane.gateway.rollout_agent.settings import check_rollout_settings
from orchidlane.runtime import EventLoop, RealBackend
from orchidlane.runtime.signals import serve
from orchidlane.simulation.endpoint_spec import EndpointSpec
from orchidlane.simulation.fake_endpoint import FakeEndpoint


def run_gateway(
    fleet: FleetSettings, rank: int, folder: str | None = None, take_over: bool = False, ready_fd: int = -1
) -> str:
    """Run one gateway: SIGTERM and SIGINT drain it, SIGHUP reloads description and customers.

    With ``take_over`` from the process that runs now; says why nothing became of that, empty if all went
    well. A line "ready" is written to ``ready_fd`` once requests are served.
    """
    if not 0 <= rank < len(fleet.gateways):
        raise ValueError(f"--rank: found {rank}, allowed: 0 to {len(fleet.gateways) - 1}")
    secret = read_secret(fleet.peers.secret_file)
    backend = RealBackend()
    loop = EventLoop(backend)
    check_rollout_settings(fleet)
    program = GatewayProcess(loop, fleet, rank, secret, record_to=folder, take_over=take_over)
    if ready_fd >= 0:
        program.when_ready = lambda: _say_ready(ready_fd)
    serve(loop, backend, program.run, program.stop, program.reload)
    return program.failure


def _say_ready(number: int) -> None:
    with contextlib.suppress(OSError):  # whoever waited is gone
        os.write(number, b"ready\n")
        os.close(number)


def run_node(path: str) -> None:
    """Run one stand-in node until it is killed."""
    spec = msgspec.json.decode(Path(path).read_bytes(), type=EndpointSpec)
    loop = EventLoop(RealBackend())
    with contextlib.suppress(KeyboardInterrupt):
        loop.run(FakeEndpoint(loop, spec).run)
