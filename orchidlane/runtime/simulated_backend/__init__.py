"""A virtual clock, and a network and files in memory, all from one seed."""

from orchidlane.runtime.simulated_backend.backend import NetworkFaults, SimulatedBackend

__all__ = ["NetworkFaults", "SimulatedBackend"]
