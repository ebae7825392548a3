"""The interface by which a scenario starts, stops and suspends its gateways and endpoints."""

from __future__ import annotations

from typing import Protocol

from orchidlane.runtime import EventLoop, EventLoopError
from orchidlane.runtime.backend import Address
from orchidlane.simulation.endpoint_spec import EndpointSpec

START_TIMEOUT_US = 20_000_000
CONNECT_TIMEOUT_US = 200_000
CONNECT_INTERVAL_US = 20_000


class FleetBackend(Protocol):
    """Controls the gateways, by rank, and the endpoints, by name: as processes or within a simulation."""

    def free_addresses(self, count: int) -> list[Address]:
        """Return addresses that nothing listens on."""

    def start_gateway(self, rank: int) -> None:
        """Start a gateway."""

    def stop_gateway(self, rank: int, kill: bool) -> None:
        """Kill a gateway, or start its graceful shutdown."""

    def gateway_has_exited(self, rank: int) -> bool:
        """Return whether a gateway that is being stopped has exited."""

    def start_hot_restart(self, rank: int) -> None:
        """Start the new process of a gateway's hot restart."""

    def kill_new_process(self, rank: int) -> None:
        """Kill the new process of a gateway's hot restart."""

    def hot_restart_result(self, rank: int, loop: EventLoop) -> bool | None:
        """Return whether the new process has replaced the old one; None while this is undecided."""

    def freeze_gateway(self, rank: int, frozen: bool) -> None:
        """Suspend a gateway, or resume it."""

    def start_endpoint(self, spec: EndpointSpec) -> None:
        """Start an endpoint."""

    def kill_endpoint(self, name: str) -> None:
        """Kill an endpoint."""

    def freeze_endpoint(self, name: str, frozen: bool) -> None:
        """Suspend an endpoint, or resume it."""

    def check_leaks(self) -> None:
        """Check that no gateway keeps state of finished requests. Raises AssertionError."""

    def stop_all(self) -> None:
        """Kill all processes that run."""


def wait_until_listening(loop: EventLoop, address: Address) -> None:
    """Wait until a connection to an address succeeds. Raises EventLoopError after ``START_TIMEOUT_US``."""
    deadline = loop.now() + START_TIMEOUT_US
    while True:
        try:
            loop.backend.connect(address, loop.now() + CONNECT_TIMEOUT_US).close()
        except EventLoopError:
            if loop.now() > deadline:
                raise
            loop.sleep(CONNECT_INTERVAL_US)
        else:
            return
