"""The configuration of one gateway process: read at the start, and reloaded while it serves."""

from __future__ import annotations

from typing import Any, Protocol

from orchidlane.gateway.control.configuration import ConfigurationSnapshot, build_snapshot, read_source_files
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.gateway.rollout_agent.agent import RolloutAgent
from orchidlane.routes import DescriptionError, DescriptionProblem
from orchidlane.runtime import EventLoop


class ConfiguredGateway(Protocol):
    """Attributes of the gateway process that the loader uses.

    ``sources`` holds the contents of the files from which ``configuration`` was last read.
    """

    loop: EventLoop
    fleet: FleetSettings
    log: Any
    rollout_agent: RolloutAgent | None
    configuration: ConfigurationSnapshot
    sources: tuple[bytes, bytes] | None


class ConfigurationLoader:
    """Reads the API description and the customers file."""

    def __init__(self, gateway: ConfiguredGateway) -> None:
        self._gateway = gateway

    def load(self, number: int) -> ConfigurationSnapshot:
        """Return the configuration as generation ``number``.

        In a fleet with replicated configuration it is the one that an earlier process ran, if that can be
        restored; otherwise it is read from the files.

        Raises DescriptionError, CustomersError, OSError.
        """
        agent = self._gateway.rollout_agent
        restored = agent.restore(number) if agent is not None else None
        return restored or self._read(number)

    def _read(self, number: int) -> ConfigurationSnapshot:
        gateway = self._gateway
        sources = read_source_files(gateway.loop.backend, gateway.fleet)
        snapshot = build_snapshot(*sources, gateway.fleet, number, gateway.log)
        gateway.sources = sources
        return snapshot

    def load_in_thread(self, number: int) -> ConfigurationSnapshot:
        """Return the same as ``load``; other tasks run in the meantime."""
        return self._gateway.loop.backend.run_in_thread(lambda: self.load(number))

    def reload(self) -> None:
        """Read the files again while serving; an invalid configuration is logged and changes nothing."""
        gateway = self._gateway
        number = gateway.configuration.generation.number + 1
        if gateway.rollout_agent is not None and gateway.rollout_agent.state is not None:
            self._reject("this fleet replicates its configuration: use 'orchidlane change propose' instead")
            return
        try:
            snapshot = gateway.loop.backend.run_in_thread(lambda: self._read(number))
            self._check_classes(snapshot)
        except Exception as error:
            self._reject(str(error))
            return
        gateway.configuration = snapshot
        gateway.log.info("reloaded", generation=snapshot.generation.number)

    def _reject(self, reason: str) -> None:
        self._gateway.log.error("reload refused", reason=reason)

    def _check_classes(self, snapshot: ConfigurationSnapshot) -> None:
        gateway = self._gateway
        if snapshot.generation.classes != gateway.configuration.generation.classes:
            problem = DescriptionProblem(
                "x-orchidlane",
                "the request classes differ from the running ones; changing them requires a restart",
            )
            raise DescriptionError(gateway.fleet.description, [problem])
