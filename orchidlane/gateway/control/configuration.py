"""The configuration that requests are handled by: an immutable snapshot, replaced on each change."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidlane.gateway.control.customers import CustomerDirectory, load_customers
from orchidlane.gateway.control.settings import FleetSettings
from orchidlane.routes import Generation, build, load_description
from orchidlane.runtime.backend import Backend


@dataclass
class ConfigurationSnapshot:
    """What requests are handled by; replaced as a whole, never changed in place.

    ``version`` names the fleet's version that it belongs to, "" where the fleet has none.
    """

    generation: Generation
    customers: CustomerDirectory
    log: Any
    log_requests: bool
    version: str = ""


class ContentError(Exception):
    """Contents of a fleet version that no snapshot can be built from."""


def read_source_files(backend: Backend, fleet: FleetSettings) -> tuple[bytes, bytes]:
    """Read the files of the description and of the customers. Raises OSError."""
    return _read(backend, fleet.description), _read(backend, fleet.customers)


def build_snapshot(
    description: bytes, customers: bytes, fleet: FleetSettings, number: int, log: Any
) -> ConfigurationSnapshot:
    """Build a snapshot from a description and customers. Raises DescriptionError, CustomersError."""
    generation = build(load_description(description, fleet.description), fleet.description, number)
    directory = load_customers(customers, fleet.customers, fleet)
    return ConfigurationSnapshot(generation, directory, log, fleet.log_requests)


def _read(backend: Backend, path: str) -> bytes:
    data = backend.read_file(path)
    if data is None:
        raise FileNotFoundError(f"{path}: no such file")
    return data
