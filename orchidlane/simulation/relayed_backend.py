"""Gateway processes that connect to each other through relays, so that tests can inject network faults."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

from orchidlane import config
from orchidlane.gateway.control.settings_loader import parse_host_port, schema_text
from orchidlane.runtime.backend import format_address
from orchidlane.simulation.network_links import LinkRoute, Pair
from orchidlane.simulation.process_backend import ProcessFleetBackend
from orchidlane.simulation.scenario_plan import ScenarioPlan, gateway_settings, render_settings

DESCRIPTION_FILE = "openapi.yaml"
FLEET_FILE = "fleet.cue"  # the settings that commands use
COMMANDS_RANK = -1  # in place of a rank, for settings without relays: commands connect directly


class RelayedFleetBackend(ProcessFleetBackend):
    """Gateway processes, each with settings that have the addresses of relays for the other gateways.

    ``edit_settings`` changes the settings of the gateways and of the commands before they are written.
    """

    def __init__(self, folder: str, edit_settings: Callable[[dict[str, Any]], None]) -> None:
        super().__init__(folder)
        self.edit_settings = edit_settings
        self.routes: dict[Pair, LinkRoute] = {}
        self.ready_pipes: dict[int, int] = {}  # read ends, by rank

    def prepare(self, plan: ScenarioPlan) -> None:
        """Write the settings of each gateway, and those that commands use."""
        super().prepare(plan)
        count = plan.scenario.gateway_count
        pairs = [(client, server) for client in range(count) for server in range(count) if client != server]
        admins = [parse_host_port(entry.admin) for entry in plan.fleet.gateways]
        addresses = self.free_addresses(len(pairs))
        self.routes = {
            pair: LinkRoute(address, admins[pair[1]]) for pair, address in zip(pairs, addresses, strict=True)
        }
        description = Path(plan.fleet.description).read_bytes()
        (self.folder / DESCRIPTION_FILE).write_bytes(description)
        self._write_settings(FLEET_FILE, plan.settings_text, COMMANDS_RANK)
        for rank in range(count):
            self._write_settings(f"gw-{rank}.cue", gateway_settings(plan, rank), rank)

    def _write_settings(self, name: str, text: str, rank: int) -> None:
        settings = config.plain_values(text, name, schema_text(), "#Fleet")
        settings["description"] = str(self.folder / DESCRIPTION_FILE)
        self.edit_settings(settings)
        for (client, server), route in self.routes.items():
            if client == rank:
                settings["gateways"][server]["admin"] = format_address(route.relay)
        (self.folder / name).write_text(render_settings(settings))

    def start_gateway(self, rank: int) -> None:
        """Start a gateway process that inherits the write end of its ready pipe."""
        read_end, write_end = os.pipe()
        if rank in self.ready_pipes:
            os.close(self.ready_pipes[rank])
        self.ready_pipes[rank] = read_end
        name = f"gw-{rank}"
        arguments = (*self.gateway_arguments(rank), "--ready-fd", str(write_end))
        self.processes[name] = self.start_process(name, *arguments, inherited_fds=(write_end,))
        os.close(write_end)

    def stop_all(self) -> None:
        """Kill all processes, and close the ready pipes."""
        super().stop_all()
        for read_end in self.ready_pipes.values():
            os.close(read_end)
        self.ready_pipes.clear()
