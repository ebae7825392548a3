"""Virtual time that a version takes to reach all gateways of a simulated fleet."""

from __future__ import annotations

import msgspec

from benchmarks.example_policy import MATERIALS
from orchidlane.gateway.control.settings_loader import parse_settings
from orchidlane.gateway.rollout_agent.admin_messages import CommandRequest
from orchidlane.rollout.version import ContentHashes, content_hash
from orchidlane.simulation.rollout_scenarios import RolloutScenario, SimulatedRolloutFleet

SEED = 1
VOTER_COUNT = 5
TIMEOUT_US = 120_000_000  # of virtual time
SHEET_READ_COST = "{class: sheet-read, cost: 2}"


def describe_edit(edit: int) -> bytes:
    """Return the example description with a cost that differs for each edit."""
    description = (MATERIALS / "openapi.yaml").read_bytes()
    return description.replace(SHEET_READ_COST.encode(), b"{class: sheet-read, cost: %d}" % (2 + edit))


class SimulatedRollout:
    """A fleet that adopts one version and reverts it."""

    def __init__(self, gateway_count: int) -> None:
        settings = parse_settings((MATERIALS / "fleet.cue").read_text(), "fleet.cue")
        self._gateway_count = gateway_count
        self._customers = (MATERIALS / "customers.json").read_bytes()
        scenario = RolloutScenario(SEED, gateway_count, VOTER_COUNT)
        self.fleet = SimulatedRolloutFleet(scenario, settings, describe_edit, self._customers)
        # In virtual time: until all gateways run the version, and until all run its reversal
        self.durations_ms: list[int] = []

    def run(self) -> None:
        """Start the fleet, adopt and revert a version, and kill all gateways."""
        fleet = self.fleet
        fleet.backend.files["openapi"] = describe_edit(0)
        fleet.backend.files["customers"] = self._customers
        for rank in range(self._gateway_count):
            fleet.start(rank)
        fleet.wait_until(fleet.has_converged, TIMEOUT_US, "first version not created in time")
        self._adopt(1, describe_edit(1), reverts=0)
        self._adopt(2, describe_edit(0), reverts=1)
        for rank in fleet.running_ranks():
            fleet.kill(rank)

    def _adopt(self, number: int, description: bytes, reverts: int) -> None:
        """Propose a version and wait until all gateways run it."""
        fleet = self.fleet
        description_hash = content_hash(description)
        fleet.call(0, "PUT", f"content/{description_hash}", description)
        hashes = ContentHashes(description_hash, content_hash(self._customers))
        request = CommandRequest(
            f"command-{number}", "propose", number - 1, "bench", "measured", hashes, reverts
        )
        started_at_us = fleet.loop.now()
        fleet.call(0, "POST", "command", msgspec.msgpack.encode(request))
        fleet.wait_until(
            lambda: fleet.has_converged() and self._running_number() == number,
            TIMEOUT_US,
            "version not adopted in time",
        )
        self.durations_ms.append((fleet.loop.now() - started_at_us) // 1_000)

    def _running_number(self) -> int:
        agent = self.fleet.programs[0].rollout_agent
        return agent.agent_state.running_number if agent is not None else -1


def measure_simulated_fleet(gateway_count: int) -> list[int]:
    """Return the virtual milliseconds from a command until all gateways run its version.

    The first value is for a new version, the second for its reversal.
    """
    rollout = SimulatedRollout(gateway_count)
    rollout.fleet.loop.run(rollout.run)
    return rollout.durations_ms
