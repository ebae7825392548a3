"""The simulated backend: a virtual clock, a network and files in memory, all determined by one seed."""

from orchidlane.runtime.simulated_backend.backend import SimulatedBackend
from orchidlane.runtime.simulated_backend.network import NetworkFaults

__all__ = ["NetworkFaults", "SimulatedBackend"]
