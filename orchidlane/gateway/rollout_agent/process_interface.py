"""The interface of the gateway process that the rollout agent uses."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from orchidlane.gateway.control.configuration import ConfigurationSnapshot
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.policy import ReplicaSetChanged
from orchidlane.runtime import EventLoop


class PolicyFeed(Protocol):
    """Takes events for the policy."""

    def feed(self, event: ReplicaSetChanged) -> None:
        """Handle one event and carry out the resulting actions."""


class GatewayProcess(Protocol):
    """The gateway process.

    ``sources`` has the bytes of its own description and customers file. ``configuration`` is the one by
    which requests are handled. ``when_ready`` is called once, when the gateway first serves requests.
    """

    sources: tuple[bytes, bytes] | None
    configuration: ConfigurationSnapshot
    when_ready: Callable[[], None]

    @property
    def loop(self) -> EventLoop:
        """The event loop that runs all tasks."""

    @property
    def fleet(self) -> FleetSettings:
        """The fleet's settings."""

    @property
    def rank(self) -> int:
        """The gateway's index in the fleet."""

    @property
    def secret(self) -> bytes:
        """The fleet's secret key."""

    @property
    def log(self) -> Any:
        """The process's logger."""

    @property
    def policy_driver(self) -> PolicyFeed:
        """The driver of the policy."""

    def send_rollout_datagram(self, rank: int, body: bytes) -> None:
        """Send a datagram about fleet versions."""
