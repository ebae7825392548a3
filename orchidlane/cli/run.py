"""The processes that the command runs: a gateway and a fake endpoint, with their signals."""

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
    fleet: FleetSettings,
    rank: int,
    record_folder: str | None = None,
    is_hot_restart: bool = False,
    ready_descriptor: int = -1,
) -> str:
    """Run one gateway: SIGTERM and SIGINT drain it, SIGHUP reloads description and customers.

    With ``is_hot_restart`` it replaces the running process. Return the reason why that failed, or an empty
    text. A line "ready" is written to ``ready_descriptor``, if not negative, once requests are served.
    Raises ValueError for a rank that the fleet does not have.
    """
    if not 0 <= rank < len(fleet.gateways):
        raise ValueError(f"--rank: found {rank}, allowed: 0 to {len(fleet.gateways) - 1}")
    secret = read_secret(fleet.peers.secret_file)
    backend = RealBackend()
    loop = EventLoop(backend)
    check_rollout_settings(fleet)
    gateway = GatewayProcess(
        loop, fleet, rank, secret, record_to=record_folder, is_hot_restart=is_hot_restart
    )
    if ready_descriptor >= 0:
        gateway.when_ready = lambda: _write_ready(ready_descriptor)
    serve(loop, backend, gateway.run, gateway.stop, gateway.reload)
    return gateway.failure


def _write_ready(descriptor: int) -> None:
    with contextlib.suppress(OSError):  # the reader has closed its end
        os.write(descriptor, b"ready\n")
        os.close(descriptor)


def run_node(spec_path: str) -> None:
    """Run one fake endpoint with the parameters in a file, until it is killed."""
    spec = msgspec.json.decode(Path(spec_path).read_bytes(), type=EndpointSpec)
    loop = EventLoop(RealBackend())
    with contextlib.suppress(KeyboardInterrupt):
        loop.run(FakeEndpoint(loop, spec).run)
