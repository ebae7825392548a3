"""A virtual clock, and a network and files in memory, all from one seed."""

from orchidlane.runtime.simulated_backend.backend import SimulatedBackend
from orchidlane.runtime.simulated_backend.network import NetworkFaults

__all__ = ["NetworkFaults", "SimulatedBackend"]
